//! Follows the distribution of a version until every node enforces it.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::core::status::Status;
use crate::core::version::Version;
use crate::ops::operator_client::OperatorEndpoint;
use crate::ops::query::progress::{self, Progress};
use crate::ops::query::status::{Result, fetch};

/// Interval at which nodes are queried. A version takes about a second to spread, so this shows
/// intermediate progress. One answer costs a node less than a millisecond.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Queries `nodes` until, according to them, every live node enforces `version` or a later one, or
/// until `timeout` has passed. Calls `report` each time the progress changes. A node that does not
/// answer may be restarting, so it is queried again. If no node ever answers, the result is the last
/// error.
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

/// Returns the statuses of all nodes that answer, or the last error if none does.
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
