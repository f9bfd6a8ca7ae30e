//! Tells other nodes of requests under which backend servers have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::core::member::{Liveness, Member, NodeId};
use crate::core::request_digest::HeadDigest;
use crate::decide::crashes::CrashUpdate;
use crate::node::state::NodeState;

/// Shortest time between two reports. Changes in between are reported together.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which old records are removed.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);
/// Number of nodes that are sent a report at the same time.
const CONCURRENT_SENDS: usize = 32;
/// Time within which a node has to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Reports changes until `stop` is cancelled.
pub(crate) async fn run(node: Arc<NodeState>, stop: CancellationToken) {
    stop.run_until_cancelled(report_always(node)).await;
}

async fn report_always(node: Arc<NodeState>) {
    loop {
        let changed = node.proxy.crash_reported.notified();
        if tokio::time::timeout(FORGET_INTERVAL, changed)
            .await
            .is_err()
        {
            forget_old(&node);
            continue;
        }
        let updates = node.proxy.crashes().take_updates();
        report(&node, updates);
        set_gauge(&node);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

fn forget_old(node: &NodeState) {
    let now_ms = node.proxy.uptime_ms();
    let mut book = node.proxy.crashes();
    if book.is_empty() {
        return;
    }
    book.forget_expired(now_ms);
    drop(book);
    set_gauge(node);
}

fn set_gauge(node: &NodeState) {
    let requests = node.proxy.crashes().len();
    metrics::gauge!("dragonflywall_crash_requests").set(requests as f64);
}

/// Sends each update to the node that collects the reports on its request, or to all nodes.
fn report(node: &Arc<NodeState>, updates: Vec<CrashUpdate>) {
    if updates.is_empty() {
        return;
    }
    let updates: Arc<[CrashUpdate]> = updates.into();
    let view = node.proxy.view.load();
    let is_other = |member: &&Member| {
        let is_running = matches!(member.liveness, Liveness::Alive | Liveness::Suspect);
        is_running && member.node != node.proxy.local_id
    };
    let place = &node.proxy.settings.place;
    let others = view.members.iter().filter(is_other);
    let mut collectors = Vec::new();
    for update in updates.iter().filter(|update| update.to_collector) {
        collectors.push(collector(
            update.request.head,
            node.proxy.local_id,
            others.clone(),
        ));
    }
    let is_for_all = updates.iter().any(|update| !update.to_collector);
    let recipients = others.filter(|member| is_for_all || collectors.contains(&member.node));
    let recipients: Vec<(NodeId, SocketAddr)> = recipients
        .map(|member| (member.node, member.dial_address(place)))
        .collect();
    tokio::spawn(send_to(Arc::clone(node), recipients, updates));
}

async fn send_to(
    node: Arc<NodeState>,
    recipients: Vec<(NodeId, SocketAddr)>,
    updates: Arc<[CrashUpdate]>,
) {
    for recipients in recipients.chunks(CONCURRENT_SENDS) {
        let mut sends = JoinSet::new();
        for (recipient, address) in recipients.iter().copied() {
            let (node, updates) = (Arc::clone(&node), Arc::clone(&updates));
            sends.spawn(async move { send(&node, recipient, address, &updates).await });
        }
        sends.join_all().await;
    }
}

/// The node that collects the reports on a request: the same one for all nodes with the same view of the mesh.
fn collector<'a>(
    request: HeadDigest,
    local: NodeId,
    others: impl Iterator<Item = &'a Member>,
) -> NodeId {
    let weight = |node: &NodeId| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&request.0.to_be_bytes());
        hasher.update(node.to_string().as_bytes());
        *hasher.finalize().as_bytes()
    };
    let nodes = others.map(|member| member.node).chain([local]);
    nodes.max_by_key(weight).unwrap_or(local)
}

async fn send(node: &NodeState, to: NodeId, address: SocketAddr, updates: &[CrashUpdate]) {
    let Some(mut client) = node.control_pool.client(address) else {
        return;
    };
    let answer = client.report_crashes(updates, REPORT_TIMEOUT).await;
    let result = if answer.is_ok() { "answered" } else { "failed" };
    metrics::counter!("dragonflywall_crash_reports_sent_total", "result" => result).increment(1);
    if let Err(error) = answer {
        log::info!(to:%, error:%; "a report of requests under which backend servers ended was not delivered");
        node.control_pool.discard(address);
    }
}

/// Merges what another node reports.
pub(crate) fn merge(node: &NodeState, updates: &[CrashUpdate]) {
    let now_ms = node.proxy.uptime_ms();
    let mut changed = 0;
    {
        let mut book = node.proxy.crashes();
        for update in updates {
            changed += u64::from(book.merge(now_ms, update.request, &update.record));
        }
    }
    if changed > 0 {
        metrics::counter!("dragonflywall_crash_reports_total", "source" => "peer")
            .increment(changed);
        node.proxy.crash_reported.notify_one();
    }
}
