//! Table of the state, traffic, CPU time and memory that each role needs at the design size.

use super::{Results, Slopes};
use crate::convergence;
use crate::report::{Table, format_number};
use crate::requests;
use crate::requirements;

pub(super) fn table(slopes: &Slopes, results: &Results) -> Table {
    let mut rows = Vec::new();
    // The first deployment has more slots for each backend server, so its nodes handle more load.
    if let Some(requests) = results.requests.first() {
        rows.push(proxy_row(requests));
    }
    rows.push(member_row(slopes));
    rows.extend(carrier_row(slopes, results));
    rows.push(watcher_row(slopes));
    rows.extend(publisher_row(slopes, &results.convergence));
    rows.push(platform_table_row(slopes));
    rows.push(object_store_row(slopes, results));
    rows.push(link_row(slopes));
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

fn estimate(slope: &super::Slope) -> f64 {
    slope.at_design_size().value
}

fn proxy_row(requests: &requests::DeploymentResults) -> Vec<String> {
    let node_calls_per_s = requirements::CALLS_PER_S / requirements::NODES;
    let cost = &requests.cost;
    let core_percent = node_calls_per_s * (cost.entry_fit.slope + cost.gate_fit.slope) / 1e4;
    let added_p99_ms = requests
        .added_latency
        .iter()
        .map(requests::AddedLatency::p99_ms);
    let added_ms = added_p99_ms.fold(f64::MIN, f64::max);
    row([
        "node as proxy".to_owned(),
        "calls in flight; kept connections to callers, gates and its backend server".to_owned(),
        format!(
            "{} calls/s as entry and as many as gate",
            format_number(node_calls_per_s)
        ),
        format!(
            "{} % of a core; adds {} ms for 99 in 100 ({} % of {} ms)",
            format_number(core_percent),
            format_number(added_ms),
            format_number(100.0 * added_ms / requirements::ADDED_LATENCY_MAX_MS),
            requirements::ADDED_LATENCY_MAX_MS
        ),
        format!(
            "{} KB for each kept connection",
            format_number(requests.connection_kb.slope)
        ),
        "one hop to the gate, that alone counts slots; bodies stream".to_owned(),
    ])
}

fn member_row(slopes: &Slopes) -> Vec<String> {
    let members_mb = slopes.anonymous_mb.fit.slope * requirements::NODES;
    row([
        "node as member".to_owned(),
        format!("a statement of each of {} members", requirements::NODES),
        format!(
            "{} bytes/s idle; {} bytes for each announcement of any endpoint",
            format_number(estimate(&slopes.node_idle_bytes_per_s)),
            format_number(estimate(&slopes.node_bytes_per_announcement))
        ),
        format!(
            "{} % of a core, idle",
            format_number(estimate(&slopes.node_idle_core_percent))
        ),
        format!("{} MB above an empty node's", format_number(members_mb)),
        "gossip over few stable neighbours; only the owner writes a statement".to_owned(),
    ])
}

fn carrier_row(slopes: &Slopes, results: &Results) -> Option<Vec<String>> {
    let holder = results.holder.last()?;
    let changes_per_day = requirements::CHANGES_PER_DAY;
    let processor_ms = estimate(&slopes.processor_ms_per_change);
    Some(row([
        "node as carrier".to_owned(),
        format!(
            "the configuration of {} services and its last deltas: {} bytes compressed",
            holder.services, holder.snapshot_bytes
        ),
        format!(
            "{} bytes for each change, {} changes a day: {} bytes/s",
            format_number(estimate(&slopes.node_bytes_per_change)),
            changes_per_day,
            format_number(
                estimate(&slopes.node_bytes_per_change) * changes_per_day
                    / requirements::SECONDS_PER_DAY
            )
        ),
        format!(
            "{} ms for each change: {} % of a core; {} µs of it to verify, compile and swap",
            format_number(processor_ms),
            format_number(processor_ms * changes_per_day / requirements::SECONDS_PER_DAY / 10.0),
            format_number(holder.apply_delta_us)
        ),
        format!("{} KB", format_number(holder.memory_kb)),
        "peers serve peers; a delta where the parent is held".to_owned(),
    ]))
}

fn watcher_row(slopes: &Slopes) -> Vec<String> {
    row([
        "node as watcher".to_owned(),
        "none of its own".to_owned(),
        format!(
            "{} reads/s of the head by all watchers together",
            format_number(estimate(&slopes.idle_reads_per_s))
        ),
        "part of the node's idle share".to_owned(),
        "part of the node's".to_owned(),
        "rendezvous hash over the live view; two at once, or none, cost seconds or bytes only"
            .to_owned(),
    ])
}

fn publisher_row(slopes: &Slopes, measured: &[convergence::SizeResults]) -> Option<Vec<String>> {
    let delta_bytes = measured.last()?.delta_bytes;
    Some(row([
        "publisher".to_owned(),
        "none; a command that ends".to_owned(),
        format!(
            "{} reads and {} writes for each change (nodes' own reads included), a delta of {} \
             bytes, hints to two nodes of each data centre of one region",
            format_number(estimate(&slopes.reads_per_change)),
            format_number(estimate(&slopes.writes_per_change)),
            format_number(delta_bytes)
        ),
        "an operator's VM, seconds a day".to_owned(),
        "an operator's VM".to_owned(),
        "one conditional transaction".to_owned(),
    ]))
}

fn platform_table_row(slopes: &Slopes) -> Vec<String> {
    let versions = requirements::CHANGES_PER_DAY;
    row([
        "platform table".to_owned(),
        format!(
            "{} node rows; {versions} version rows and as many publication rows a day",
            requirements::NODES
        ),
        format!(
            "idle {} reads/s and {} writes/s; in a herd restart at most {} and {} in a second",
            format_number(estimate(&slopes.idle_reads_per_s)),
            format_number(estimate(&slopes.idle_writes_per_s)),
            format_number(estimate(&slopes.full_restart_peak_reads)),
            format_number(estimate(&slopes.full_restart_peak_writes))
        ),
        "the platform's".to_owned(),
        "the platform's".to_owned(),
        "staggered, jittered registration; refusals (429) are retried later".to_owned(),
    ])
}

fn object_store_row(slopes: &Slopes, results: &Results) -> Vec<String> {
    let delta_bytes = results
        .convergence
        .last()
        .map_or(0.0, |size| size.delta_bytes);
    let snapshot_bytes = results
        .holder
        .last()
        .map_or(0.0, |holder| holder.snapshot_bytes as f64);
    let bytes_per_day = (delta_bytes + snapshot_bytes) * requirements::CHANGES_PER_DAY;
    row([
        "object store".to_owned(),
        format!(
            "{} bytes a day, two objects for each change",
            format_number(bytes_per_day)
        ),
        format!(
            "within the {} reads for each change",
            format_number(estimate(&slopes.reads_per_change))
        ),
        "the platform's".to_owned(),
        "the platform's".to_owned(),
        "content addressed, so writing twice does no harm; nodes ask peers first".to_owned(),
    ])
}

fn link_row(slopes: &Slopes) -> Vec<String> {
    let idle = estimate(&slopes.idle_link_bytes_per_s);
    let change = estimate(&slopes.link_bytes_per_change);
    let daily_mb =
        (idle * requirements::SECONDS_PER_DAY + change * requirements::CHANGES_PER_DAY) / 1e6;
    row([
        "regional link".to_owned(),
        "none".to_owned(),
        format!(
            "{} bytes/s idle ({} % of 2 x 30 Mbit/s), {} bytes for each change, {} MB a day",
            format_number(idle),
            format_number(100.0 * idle / 2.0 / requirements::LINK_BYTES_PER_S),
            format_number(change),
            format_number(daily_mb)
        ),
        "none".to_owned(),
        "none".to_owned(),
        "few bridges between regions; content crosses once for each region".to_owned(),
    ])
}
