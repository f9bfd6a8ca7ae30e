//! Drains a node: it takes no new work and finishes what it has.

use std::io::ErrorKind::ConnectionRefused;
use std::time::Duration;

use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ops::operator_client::{Error, OperatorEndpoint, Result, request_json};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How far a drain is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Whether the node refuses new work.
    pub draining: bool,
    /// Requests that it is still running.
    pub in_flight: u64,
}

impl DrainStatus {
    /// Whether the backend server may be stopped.
    pub fn is_done(&self) -> bool {
        self.draining && self.in_flight == 0
    }
}

/// Asks `node` to drain; asking again does no harm.
pub async fn drain(node: &OperatorEndpoint) -> Result<DrainStatus> {
    request_json(node, Method::POST, "/drain").await
}

/// Asks until nothing is in flight or `timeout` is over; calls `report` at each change.
pub async fn wait_drained(
    node: &OperatorEndpoint,
    timeout: Duration,
    mut report: impl FnMut(DrainStatus),
) -> Result<DrainStatus> {
    let deadline = Instant::now() + timeout;
    let mut last = drain(node).await?;
    report(last);
    while !last.is_done() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        let current = match drain(node).await {
            Ok(current) => current,
            // Guards against a wait for a node that was stopped meanwhile: it ends only when
            // nothing is in flight, and then nobody listens at its address.
            Err(Error::Connect { source, .. }) if source.kind() == ConnectionRefused => {
                DrainStatus {
                    draining: true,
                    in_flight: 0,
                }
            }
            Err(error) => {
                log::debug!(error:%; "the node did not answer; asking again");
                last
            }
        };
        if current != last {
            report(current);
        }
        last = current;
    }
    Ok(last)
}
