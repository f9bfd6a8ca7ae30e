//! Reports requests under which backend servers have ended to other nodes.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::core::member::{Liveness, Member, NodeId};
use crate::core::request_digest::HeadDigest;
use crate::decide::crashes::CrashUpdate;
use crate::distribution::relay::{self, Branch};
use crate::node::state::NodeState;

mod unsettled;

/// Shortest time between two reports. Changes in between are reported together.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which this node checks whether backend servers that are taken for ended have.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which old records are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Number of nodes that are sent a report at the same time, if those that were to pass it on did not.
const CONCURRENT_SENDS: usize = 32;
/// Time within which a node has to answer a report, for each send that it takes until the last node has it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Reports changes until `stop` is cancelled.
pub(crate) async fn run(node: Arc<NodeState>, stop: CancellationToken) {
    stop.run_until_cancelled(report_always(node)).await;
}

async fn report_always(node: Arc<NodeState>) {
    let mut settled_at = Instant::now();
    let mut expired_at = Instant::now();
    loop {
        let pause = match node.proxy.crashes().is_empty() {
            true => EXPIRY_INTERVAL,
            false => SETTLE_INTERVAL,
        };
        let changed = node.proxy.crash_reported.notified();
        if tokio::time::timeout(pause, changed).await.is_ok() {
            let updates = node.proxy.crashes().take_updates();
            report(&node, updates);
            set_gauge(&node);
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
        if settled_at.elapsed() >= SETTLE_INTERVAL {
            settled_at = Instant::now();
            unsettled::check(&node);
        }
        if expired_at.elapsed() >= EXPIRY_INTERVAL {
            expired_at = Instant::now();
            remove_expired(&node);
        }
    }
}

fn remove_expired(node: &NodeState) {
    let now_ms = node.proxy.uptime_ms();
    let mut book = node.proxy.crashes();
    if book.is_empty() {
        return;
    }
    book.remove_expired(now_ms);
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
    let mut recipients: Vec<&Member> = others
        .filter(|member| is_for_all || collectors.contains(&member.node))
        .collect();
    // Nodes of one data centre pass a report on among themselves, large ones to small ones.
    recipients.sort_by_key(|&member| {
        let place = (&member.place.region, &member.place.data_centre);
        (place, Reverse(member.capacity), member.node)
    });
    let recipients = recipients.iter().map(|member| member.node).collect();
    tokio::spawn(send_to_all(Arc::clone(node), recipients, updates));
}

/// Sends a report to `recipients`, also to those that no other node passed it on to.
async fn send_to_all(node: Arc<NodeState>, recipients: Vec<NodeId>, updates: Arc<[CrashUpdate]>) {
    let left_out = pass_on(&node, recipients, Arc::clone(&updates)).await;
    for recipients in left_out.chunks(CONCURRENT_SENDS) {
        let mut sends = JoinSet::new();
        for recipient in recipients {
            let branch = Branch {
                relay: *recipient,
                further: Vec::new(),
            };
            sends.spawn(send(Arc::clone(&node), branch, Arc::clone(&updates)));
        }
        sends.join_all().await;
    }
}

/// Sends a report to `recipients` by way of some of them. Returns those to which nobody has sent it.
pub(crate) async fn pass_on(
    node: &Arc<NodeState>,
    recipients: Vec<NodeId>,
    updates: Arc<[CrashUpdate]>,
) -> Vec<NodeId> {
    let mut sends = JoinSet::new();
    for branch in relay::branches(recipients) {
        sends.spawn(send(Arc::clone(node), branch, Arc::clone(&updates)));
    }
    sends.join_all().await.into_iter().flatten().collect()
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

/// Sends a report to the relay of a branch. Returns the nodes of the branch to which nobody has sent it.
async fn send(
    node: Arc<NodeState>,
    branch: Branch<NodeId>,
    updates: Arc<[CrashUpdate]>,
) -> Vec<NodeId> {
    // The sender's view may contain nodes that this one's does not.
    let Some(address) = address_of(&node, branch.relay) else {
        return branch.into_recipients();
    };
    let Some(mut client) = node.control_pool.client(address) else {
        return branch.into_recipients();
    };
    let Branch { relay, further } = branch;
    let timeout = REPORT_TIMEOUT * (1 + relay::depth(further.len()));
    let answer = client.report_crashes(&updates, &further, timeout).await;
    let result = if answer.is_ok() { "answered" } else { "failed" };
    metrics::counter!("dragonflywall_crash_reports_sent_total", "result" => result).increment(1);
    answer.unwrap_or_else(|error| {
        log::info!(to:% = relay, error:%; "a report of requests under which backend servers ended was not delivered");
        node.control_pool.discard(address);
        further
    })
}

fn address_of(node: &NodeState, recipient: NodeId) -> Option<SocketAddr> {
    let view = node.proxy.view.load();
    let member = view
        .members
        .iter()
        .find(|member| member.node == recipient)?;
    Some(member.dial_address(&node.proxy.settings.place))
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
