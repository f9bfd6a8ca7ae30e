//! Asks the nodes of backend servers that are taken for ended whether they are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::core::member::{Liveness, Member};
use crate::decide::crashes::UnsettledEnd;
use crate::node::state::NodeState;
use crate::proxy::view::MembershipView;

/// Mean number of nodes of the mesh that ask about one backend server at each interval. All nodes that have a record of
/// its end may ask, so a single one needs no answer.
const ASKING_NODES: f64 = 4.0;

/// Checks the ends that count under requests. Those that are refuted no longer do.
pub(super) fn check(node: &Arc<NodeState>) {
    let now_ms = node.proxy.uptime_ms();
    let ends = node.proxy.crashes().unsettled_ends(now_ms);
    if ends.is_empty() {
        return;
    }
    let view = node.proxy.view.load();
    let asking_share = ASKING_NODES / view.alive_count().max(1) as f64;
    for end in ends {
        let Some(member) = member_with_start(&view, &end) else {
            continue;
        };
        if member.node == node.proxy.local_id {
            let within = Duration::from_millis(now_ms.saturating_sub(end.recorded_ms));
            if node.proxy.pool.has_announced_within(end.start, within) {
                refute(node, &end);
            }
        } else if rand::random::<f64>() < asking_share {
            let address = member.dial_address(&node.proxy.settings.place);
            tokio::spawn(ask(Arc::clone(node), address, end));
        }
    }
}

/// The member whose backend server is running under the start that is taken for ended.
fn member_with_start<'a>(view: &'a MembershipView, end: &UnsettledEnd) -> Option<&'a Member> {
    let mut members = view.members.iter();
    members.find(|member| {
        member.backend_start == Some(end.start)
            && matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
    })
}

async fn ask(node: Arc<NodeState>, address: SocketAddr, end: UnsettledEnd) {
    let Some(mut client) = node.control_pool.client(address) else {
        return;
    };
    let age_ms = node.proxy.uptime_ms().saturating_sub(end.recorded_ms);
    let within = Duration::from_millis(age_ms);
    let result = match client.check_backend(end.start, within).await {
        Ok(true) => {
            refute(&node, &end);
            "refuted"
        }
        Ok(false) => "open",
        Err(error) => {
            log::debug!(peer:% = address, error:%; "cannot ask whether a backend server has ended");
            node.control_pool.discard(address);
            "failed"
        }
    };
    metrics::counter!("dragonflywall_crash_checks_total", "result" => result).increment(1);
}

fn refute(node: &NodeState, end: &UnsettledEnd) {
    if !node.proxy.crashes().refute(end) {
        return;
    }
    node.proxy.crash_reported.notify_one();
    log::info!(crashes = end.crashes.len(); "a backend server that was taken for ended has announced itself since");
}
