//! Follows a configuration that operators write into the store as a whole.
//!
//! One long-running read tells of each new version within a round trip. It is renewed every
//! [`WAIT`], so that a connection which went silent costs no more than that.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use crate::decide::pacing::{Backoff, jittered_ms};
use crate::store::{Error, Feed, Position, Result, Told};

/// How long one read waits for news. A connection can go silent without a word, and then a new
/// version is heard of only with the next read.
const WAIT: Duration = Duration::from_secs(5);

/// Pauses after failures. The store's rates are shared by all nodes, and a version that was accepted
/// right after an outage is to be in force within seconds.
const RETRY: Backoff = Backoff::new(50, 1_000);

/// Follows `feed` until `stop`; `again` asks for the newest version at once.
pub(crate) async fn run(
    feed: impl Feed,
    configuration: ActorRef<ConfigurationMsg>,
    again: Arc<Notify>,
    stop: CancellationToken,
) {
    let follower = Follower {
        feed,
        configuration,
        again,
    };
    stop.run_until_cancelled(follower.follow()).await;
}

struct Follower<F> {
    feed: F,
    configuration: ActorRef<ConfigurationMsg>,
    again: Arc<Notify>,
}

impl<F: Feed> Follower<F> {
    async fn follow(&self) {
        let mut position = None;
        let mut failures = 0;
        loop {
            let read = tokio::select! {
                read = self.read(position) => read,
                // The process was frozen: what is under way may be from before.
                () = self.again.notified() => {
                    position = None;
                    continue;
                }
            };
            match read {
                Ok(told) => {
                    failures = 0;
                    position = Some(told.position);
                    self.tell(ConfigurationMsg::Written(told.configuration.map(Box::new)));
                }
                Err(Error::HistoryGone) => {
                    log::info!("the store has dropped its history; reading the newest version");
                    position = None;
                }
                Err(error) => {
                    log::debug!(error:%; "following the configuration failed");
                    self.tell(ConfigurationMsg::NotRead);
                    let pause_ms = jittered_ms(RETRY.pause_ms(failures), rand::random());
                    failures += 1;
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    async fn read(&self, position: Option<Position>) -> Result<Told> {
        match position {
            None => self.feed.newest().await,
            Some(position) => self.feed.after(position, WAIT).await,
        }
    }

    fn tell(&self, message: ConfigurationMsg) {
        // The actor is gone only while the process ends.
        let _ = self.configuration.cast(message);
    }
}
