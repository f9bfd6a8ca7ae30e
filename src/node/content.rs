//! Fetches content from a peer or the store, as the fetcher has decided.

use std::time::Duration;

use crate::core::member::Distance;
use crate::core::version::Stamp;
use crate::distribution::{Fetch, Offer, Source};
use crate::node::configuration::Origin;
use crate::node::state::NodeState;
use crate::node::store;
use crate::peer::client::CONTENT_TIMEOUT;

/// Longest wait for content from a peer of the region. One that takes longer is frozen, and
/// somebody else has it.
const NEAR_FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes a fetch; what was found, if anything.
pub(crate) async fn fetch(
    node: &NodeState,
    origin: &Origin,
    held: Stamp,
    fetch: &Fetch,
) -> Option<Offer> {
    match fetch.source {
        Source::Store => match origin {
            Origin::Published(store) => store::offer(store, held, fetch.want).await,
            Origin::Written(again) => {
                // What it reads comes as a message of its own.
                again.notify_one();
                None
            }
        },
        Source::Peer {
            address, distance, ..
        } => {
            let mut client = node.control.client(address)?;
            let found = client.fetch(held.version, fetch.want.version);
            let limit = match distance {
                Distance::DataCentre | Distance::Region => NEAR_FETCH_TIMEOUT,
                Distance::Mesh => CONTENT_TIMEOUT,
            };
            let found = tokio::time::timeout(limit, found).await;
            found.ok()?.ok().flatten()
        }
    }
}
