//! Table of events at the design size, such as configuration changes, restarts and outages, with
//! the traffic that each causes.

use super::Slopes;
use crate::report::{Table, format_number};
use crate::requirements;

/// Announcements that other members receive when one VM restarts: its backend server is gone, has
/// started again, and is serving.
const ANNOUNCEMENTS_PER_RESTART: f64 = 3.0;

struct Event {
    name: &'static str,
    /// Nodes that stop and start again in one event.
    nodes: f64,
    /// Average number of events a day; 0 where none is given.
    per_day: f64,
}

const EVENTS: [Event; 4] = [
    Event {
        name: "one VM restarted or replaced",
        nodes: 1.0,
        per_day: requirements::RESTARTS_PER_DAY,
    },
    Event {
        name: "a rack or switch (20 VMs assumed)",
        nodes: requirements::NODES_PER_RACK,
        per_day: 1.0 / 45.0,
    },
    Event {
        name: "a data centre",
        nodes: requirements::NODES / requirements::DATA_CENTRES,
        per_day: 4.0 / 365.0,
    },
    Event {
        name: "all nodes at once",
        nodes: requirements::NODES,
        per_day: 0.0,
    },
];

pub(super) fn table(slopes: &Slopes) -> Table {
    let estimate = |slope: &super::Slope| slope.at_design_size().value;
    let mut rows = vec![vec![
        "a change of configuration".to_owned(),
        format_number(requirements::CHANGES_PER_DAY),
        format_number(estimate(&slopes.node_bytes_per_change)),
        format_number(estimate(&slopes.link_bytes_per_change)),
        format_number(estimate(&slopes.reads_per_change)),
        format_number(estimate(&slopes.writes_per_change)),
        format_number(average_bytes_per_s(
            estimate(&slopes.node_bytes_per_change),
            requirements::CHANGES_PER_DAY,
        )),
    ]];
    rows.extend(EVENTS.iter().map(|event| restart_row(slopes, event)));
    Table {
        title: "Events",
        command: String::new(),
        columns: vec![
            "event",
            "a day",
            "bytes at each node",
            "bytes over the regional link",
            "platform reads",
            "platform writes",
            "bytes/s at each node, on average over a day",
        ],
        rows,
    }
}

fn average_bytes_per_s(bytes: f64, per_day: f64) -> f64 {
    bytes * per_day / requirements::SECONDS_PER_DAY
}

/// Estimates the cost of an event in which nodes restart. The cost of what these nodes fetch is the
/// cost of a full restart of the mesh, multiplied by their share of all nodes. Every node also
/// receives the announcements of each restarted backend server.
fn restart_row(slopes: &Slopes, event: &Event) -> Vec<String> {
    let share = event.nodes / requirements::NODES;
    let estimate = |slope: &super::Slope| slope.at_design_size().value;
    let announcement_bytes =
        event.nodes * ANNOUNCEMENTS_PER_RESTART * estimate(&slopes.node_bytes_per_announcement);
    let fetched_bytes = share * estimate(&slopes.full_restart_node_bytes);
    let bytes = announcement_bytes + fetched_bytes;
    vec![
        event.name.to_owned(),
        match event.per_day {
            0.0 => "-".to_owned(),
            per_day => format_number(per_day),
        },
        format_number(bytes),
        format_number(share * estimate(&slopes.full_restart_link_bytes)),
        format_number(share * estimate(&slopes.full_restart_reads)),
        format_number(share * estimate(&slopes.full_restart_writes)),
        format_number(average_bytes_per_s(bytes, event.per_day)),
    ]
}
