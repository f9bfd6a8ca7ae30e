//! What each role needs at the design size.

use super::{Results, Slopes};
use crate::convergence;
use crate::design;
use crate::report::{Table, figure};
use crate::requests;

pub(super) fn table(slopes: &Slopes, results: &Results) -> Table {
    let mut rows = Vec::new();
    // The deployment with more slots makes the larger demand on its nodes.
    if let Some(requests) = results.requests.first() {
        rows.push(proxy(requests));
    }
    rows.push(member(slopes));
    rows.extend(carrier(slopes, results));
    rows.push(watcher(slopes));
    rows.extend(publisher(slopes, &results.convergence));
    rows.push(platform_table(slopes));
    rows.push(object_store(slopes, results));
    rows.push(link(slopes));
    Table {
        title: "Roles",
        command: String::new(),
        columns: vec![
            "role",
            "state",
            "messages",
            "processor time",
            "memory",
            "mechanism that carries it",
        ],
        rows,
    }
}

fn row(cells: [String; 6]) -> Vec<String> {
    cells.into()
}

fn at(slope: &super::Slope) -> f64 {
    slope.at_design().value
}

fn proxy(requests: &requests::Measured) -> Vec<String> {
    let per_node = design::CALLS_PER_S / design::NODES;
    let cost = &requests.cost;
    let core_percent = per_node * (cost.entry.slope + cost.gate.slope) / 1e4;
    let added = requests.added.iter().map(requests::Added::p99_ms);
    let added_ms = added.fold(f64::MIN, f64::max);
    row([
        "node as proxy".to_owned(),
        "calls in flight; kept connections to callers, gates and its backend server".to_owned(),
        format!("{} calls/s as entry and as many as gate", figure(per_node)),
        format!(
            "{} % of a core; adds {} ms for 99 in 100 ({} % of {} ms)",
            figure(core_percent),
            figure(added_ms),
            figure(100.0 * added_ms / design::ADDED_MAX_MS),
            design::ADDED_MAX_MS
        ),
        format!(
            "{} KB for each kept connection",
            figure(requests.connection_kb.slope)
        ),
        "one hop to the gate, that alone counts slots; bodies stream".to_owned(),
    ])
}

fn member(slopes: &Slopes) -> Vec<String> {
    let members_mb = slopes.anonymous_mb.fit.slope * design::NODES;
    row([
        "node as member".to_owned(),
        format!("a statement of each of {} members", design::NODES),
        format!(
            "{} bytes/s idle; {} bytes for each announcement of any endpoint",
            figure(at(&slopes.idle_bytes_per_s)),
            figure(at(&slopes.node_bytes_per_announcement))
        ),
        format!(
            "{} % of a core, idle",
            figure(at(&slopes.idle_core_percent))
        ),
        format!("{} MB above an empty node's", figure(members_mb)),
        "gossip over few stable neighbours; only the owner writes a statement".to_owned(),
    ])
}

fn carrier(slopes: &Slopes, results: &Results) -> Option<Vec<String>> {
    let holder = results.holder.last()?;
    let per_day = design::CHANGES_PER_DAY;
    let processor_ms = at(&slopes.processor_ms_per_change);
    Some(row([
        "node as carrier".to_owned(),
        format!(
            "the configuration of {} services and its last deltas: {} bytes compressed",
            holder.services, holder.snapshot_bytes
        ),
        format!(
            "{} bytes for each change, {} changes a day: {} bytes/s",
            figure(at(&slopes.node_bytes_per_change)),
            per_day,
            figure(at(&slopes.node_bytes_per_change) * per_day / design::DAY_S)
        ),
        format!(
            "{} ms for each change: {} % of a core; {} µs of it to verify, compile and swap",
            figure(processor_ms),
            figure(processor_ms * per_day / design::DAY_S / 10.0),
            figure(holder.apply_delta_us)
        ),
        format!("{} KB", figure(holder.held_kb)),
        "peers serve peers; a delta where the parent is held".to_owned(),
    ]))
}

fn watcher(slopes: &Slopes) -> Vec<String> {
    row([
        "node as watcher".to_owned(),
        "none of its own".to_owned(),
        format!(
            "{} reads/s of the head by all watchers together",
            figure(at(&slopes.idle_reads_per_s))
        ),
        "part of the node's idle share".to_owned(),
        "part of the node's".to_owned(),
        "rendezvous hash over the live view; two at once, or none, cost seconds or bytes only"
            .to_owned(),
    ])
}

fn publisher(slopes: &Slopes, measured: &[convergence::Measured]) -> Option<Vec<String>> {
    let delta_bytes = measured.last()?.delta_bytes;
    Some(row([
        "publisher".to_owned(),
        "none; a command that ends".to_owned(),
        format!(
            "{} reads and {} writes for each change (nodes' own reads included), a delta of {} \
             bytes, hints to two nodes of each data centre of one region",
            figure(at(&slopes.reads_per_change)),
            figure(at(&slopes.writes_per_change)),
            figure(delta_bytes)
        ),
        "an operator's VM, seconds a day".to_owned(),
        "an operator's VM".to_owned(),
        "one conditional transaction".to_owned(),
    ]))
}

fn platform_table(slopes: &Slopes) -> Vec<String> {
    let versions = design::CHANGES_PER_DAY;
    row([
        "platform table".to_owned(),
        format!(
            "{} node rows; {versions} version rows and as many publication rows a day",
            design::NODES
        ),
        format!(
            "idle {} reads/s and {} writes/s; in a herd restart at most {} and {} in a second",
            figure(at(&slopes.idle_reads_per_s)),
            figure(at(&slopes.idle_writes_per_s)),
            figure(at(&slopes.herd_peak_reads)),
            figure(at(&slopes.herd_peak_writes))
        ),
        "the platform's".to_owned(),
        "the platform's".to_owned(),
        "staggered, jittered registration; refusals (429) are retried later".to_owned(),
    ])
}

fn object_store(slopes: &Slopes, results: &Results) -> Vec<String> {
    let delta_bytes = results.convergence.last().map_or(0.0, |m| m.delta_bytes);
    let snapshot_bytes = results
        .holder
        .last()
        .map_or(0.0, |holder| holder.snapshot_bytes as f64);
    let per_day = (delta_bytes + snapshot_bytes) * design::CHANGES_PER_DAY;
    row([
        "object store".to_owned(),
        format!(
            "{} bytes a day, two objects for each change",
            figure(per_day)
        ),
        format!(
            "within the {} reads for each change",
            figure(at(&slopes.reads_per_change))
        ),
        "the platform's".to_owned(),
        "the platform's".to_owned(),
        "content addressed, so writing twice does no harm; nodes ask peers first".to_owned(),
    ])
}

fn link(slopes: &Slopes) -> Vec<String> {
    let idle = at(&slopes.idle_link_bytes_per_s);
    let change = at(&slopes.link_bytes_per_change);
    let daily_mb = (idle * design::DAY_S + change * design::CHANGES_PER_DAY) / 1e6;
    row([
        "regional link".to_owned(),
        "none".to_owned(),
        format!(
            "{} bytes/s idle ({} % of 2 x 30 Mbit/s), {} bytes for each change, {} MB a day",
            figure(idle),
            figure(100.0 * idle / 2.0 / design::LINK_BYTES_PER_S),
            figure(change),
            figure(daily_mb)
        ),
        "none".to_owned(),
        "none".to_owned(),
        "few bridges between regions; content crosses once for each region".to_owned(),
    ])
}
