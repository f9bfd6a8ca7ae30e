//! What each kind of event of the letter costs at the design size.

use super::Slopes;
use crate::design;
use crate::report::{Table, figure};

/// A restarted backend server announces itself gone, back and serving.
const ANNOUNCEMENTS_PER_RESTART: f64 = 3.0;

struct Event {
    name: &'static str,
    /// Nodes that stop and come back, and how often a day on average.
    nodes: f64,
    per_day: f64,
}

const EVENTS: [Event; 4] = [
    Event {
        name: "one VM restarted or replaced",
        nodes: 1.0,
        per_day: design::RESTARTS_PER_DAY,
    },
    Event {
        name: "a rack or switch (20 VMs assumed)",
        nodes: design::RACK_NODES,
        per_day: 1.0 / 45.0,
    },
    Event {
        name: "a data centre",
        nodes: design::NODES / design::DATA_CENTRES,
        per_day: 4.0 / 365.0,
    },
    Event {
        name: "all nodes at once",
        nodes: design::NODES,
        per_day: 0.0,
    },
];

pub(super) fn table(slopes: &Slopes) -> Table {
    let at = |slope: &super::Slope| slope.at_design().value;
    let mut rows = vec![vec![
        "a change of configuration".to_owned(),
        figure(design::CHANGES_PER_DAY),
        figure(at(&slopes.node_bytes_per_change)),
        figure(at(&slopes.link_bytes_per_change)),
        figure(at(&slopes.reads_per_change)),
        figure(at(&slopes.writes_per_change)),
        figure(average(
            at(&slopes.node_bytes_per_change),
            design::CHANGES_PER_DAY,
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

fn average(bytes: f64, per_day: f64) -> f64 {
    bytes * per_day / design::DAY_S
}

/// What a returning node fetches for itself is a herd's cost per node; what all others hear of it
/// is that of its announcements.
fn restart_row(slopes: &Slopes, event: &Event) -> Vec<String> {
    let share = event.nodes / design::NODES;
    let at = |slope: &super::Slope| slope.at_design().value;
    let heard = event.nodes * ANNOUNCEMENTS_PER_RESTART * at(&slopes.node_bytes_per_announcement);
    let fetched = share * at(&slopes.herd_node_bytes);
    let bytes = heard + fetched;
    vec![
        event.name.to_owned(),
        match event.per_day {
            0.0 => "-".to_owned(),
            per_day => figure(per_day),
        },
        figure(bytes),
        figure(share * at(&slopes.herd_link_bytes)),
        figure(share * at(&slopes.herd_reads)),
        figure(share * at(&slopes.herd_writes)),
        figure(average(bytes, event.per_day)),
    ]
}
