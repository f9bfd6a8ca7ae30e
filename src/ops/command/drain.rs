//! Drains the backend server of a node: the node admits no new requests to it and completes those in flight.

use std::io::ErrorKind::ConnectionRefused;
use std::time::Duration;

use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ops::operator_client::{Error, OperatorEndpoint, Result, request_json};

/// Interval at which a draining node is queried.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of a drain, as the node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Whether the node refuses new requests to its backend server.
    pub draining: bool,
    /// Number of requests that the backend server is still running.
    pub in_flight: u64,
}

impl DrainStatus {
    /// Whether the drain is complete, so that the backend server may be stopped.
    pub fn is_done(&self) -> bool {
        self.draining && self.in_flight == 0
    }
}

/// Starts to drain `node`, or returns the progress if it is draining already.
pub async fn drain(node: &OperatorEndpoint) -> Result<DrainStatus> {
    request_json(node, Method::POST, "/drain").await
}

/// Drains `node` and waits until no requests are in flight, or until `timeout` has passed. Calls
/// `report` each time the progress changes.
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
            // The node was stopped in the meantime. It stops only when no requests are in flight, and
            // then refuses connections. Without this case the command would wait for it in vain.
            Err(Error::Connect { source, .. }) if source.kind() == ConnectionRefused => {
                DrainStatus {
                    draining: true,
                    in_flight: 0,
                }
            }
            Err(error) => {
                log::debug!(error:%; "the node did not answer; trying again");
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
