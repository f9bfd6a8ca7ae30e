//! Follows how a version spreads, until every node enforces it.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::version::Version;
use crate::ops::operator::NodeAccess;
use crate::ops::query::progress::{self, Progress};
use crate::ops::query::status::{Result, fetch};

/// Often enough to see a change of about a second spread; one answer costs a node less than a
/// millisecond.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks `node` until it knows of no living node that enforces less than `version`,
/// or until `limit` is over; calls `report` at each change. A node that does not answer is asked
/// again: it may be restarting. Its last failure is the result if it never answers.
pub async fn watch(
    node: &NodeAccess,
    version: Version,
    limit: Duration,
    mut report: impl FnMut(&Progress),
) -> Result<Progress> {
    let deadline = Instant::now() + limit;
    let mut last: Option<Progress> = None;
    loop {
        match fetch(node).await {
            Ok(status) => {
                let now = progress::of_status(&status, version);
                if last.as_ref() != Some(&now) {
                    report(&now);
                }
                if now.is_complete() {
                    return Ok(now);
                }
                last = Some(now);
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
