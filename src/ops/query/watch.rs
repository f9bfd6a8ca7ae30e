//! Follows how a version spreads, until every node enforces it.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::core::status::Status;
use crate::core::version::Version;
use crate::ops::operator_client::OperatorEndpoint;
use crate::ops::query::progress::{self, Progress};
use crate::ops::query::status::{Result, fetch};

/// Often enough to see a change of about a second spread; one answer costs a node less than a
/// millisecond.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks `nodes` until they know of no living node that enforces less than `version`, or until
/// `timeout` is over; calls `report` at each change. A node that does not answer is asked again: it
/// may be restarting. The last failure is the result if none ever answers.
pub async fn watch(
    nodes: &[OperatorEndpoint],
    version: Version,
    timeout: Duration,
    mut report: impl FnMut(&Progress),
) -> Result<Progress> {
    let deadline = Instant::now() + timeout;
    let mut last: Option<Progress> = None;
    loop {
        match fetch_all(nodes).await {
            Ok(statuses) => {
                let current = progress::from_statuses(&statuses, version);
                if last.as_ref() != Some(&current) {
                    report(&current);
                }
                if current.is_complete() {
                    return Ok(current);
                }
                last = Some(current);
            }
            Err(error) if Instant::now() >= deadline => return last.ok_or(error),
            Err(_) => (),
        }
        if Instant::now() >= deadline
            && let Some(last) = last
        {
            return Ok(last);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The answers of all nodes that answer; the last failure if none does.
async fn fetch_all(nodes: &[OperatorEndpoint]) -> Result<Vec<Status>> {
    let mut requests = JoinSet::new();
    for node in nodes {
        let node = node.clone();
        requests.spawn(async move { fetch(&node).await });
    }
    let mut statuses = Vec::with_capacity(nodes.len());
    let mut last_error = None;
    for answer in requests.join_all().await {
        match answer {
            Ok(status) => statuses.push(status),
            Err(error) => last_error = Some(error),
        }
    }
    match last_error {
        Some(error) if statuses.is_empty() => Err(error),
        _ => Ok(statuses),
    }
}
