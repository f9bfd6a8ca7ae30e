//! Fetches configuration content from a peer or the store, as decided by [`crate::distribution::Fetcher`].

use std::time::Duration;

use crate::core::member::Distance;
use crate::core::version::Stamp;
use crate::distribution::{Fetch, Offer, Source};
use crate::node::configuration::ConfigurationOrigin;
use crate::node::state::NodeState;
use crate::node::store;

/// Runs `fetch` and returns the content, or nothing if the source fails, does not have it or exceeds its time
/// limit. A peer sends the difference from `held` where it can.
pub(crate) async fn fetch(
    node: &NodeState,
    origin: &ConfigurationOrigin,
    held: Stamp,
    fetch: &Fetch,
) -> Option<Offer> {
    match fetch.source {
        Source::Store => match origin {
            ConfigurationOrigin::Published(store) => {
                store::read_offer(store, held, fetch.wanted).await
            }
            ConfigurationOrigin::Feed(_) => {
                log::error!(
                    "unexpected fetch from the store: this node follows the configuration feed and fetches only from peers"
                );
                None
            }
        },
        Source::Peer {
            address, distance, ..
        } => {
            let mut client = node.control_pool.client(address)?;
            let response = client.fetch(held.version, fetch.wanted.version);
            let budget = node.budget();
            let timeout_ms = match distance {
                Distance::DataCentre | Distance::Region => budget.region_fetch_timeout_ms(),
                Distance::Mesh => budget.cross_region_fetch_timeout_ms(),
            };
            let timeout = Duration::from_millis(timeout_ms);
            let response = tokio::time::timeout(timeout, response).await;
            response.ok()?.ok().flatten()
        }
    }
}
