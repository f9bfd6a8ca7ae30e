//! Fetches content from a peer or the store, as the fetcher has decided.

use std::time::Duration;

use crate::core::member::Distance;
use crate::core::version::Stamp;
use crate::distribution::{Fetch, Offer, Source};
use crate::node::configuration::Origin;
use crate::node::state::NodeState;
use crate::node::store;

/// Makes a fetch; what was found, if anything.
pub(crate) async fn fetch(
    node: &NodeState,
    origin: &Origin,
    held: Stamp,
    fetch: &Fetch,
) -> Option<Offer> {
    match fetch.source {
        Source::Store => match origin {
            Origin::Published(store) => store::offer(store, held, fetch.wanted).await,
            Origin::Written(_) => {
                log::error!("a node that follows the store fetches from peers alone");
                None
            }
        },
        Source::Peer {
            address, distance, ..
        } => {
            let mut client = node.control.client(address)?;
            let found = client.fetch(held.version, fetch.wanted.version);
            let budget = node.budget();
            let limit_ms = match distance {
                Distance::DataCentre | Distance::Region => budget.region_fetch_timeout_ms(),
                Distance::Mesh => budget.cross_region_fetch_timeout_ms(),
            };
            let limit = Duration::from_millis(limit_ms);
            let found = tokio::time::timeout(limit, found).await;
            found.ok()?.ok().flatten()
        }
    }
}
