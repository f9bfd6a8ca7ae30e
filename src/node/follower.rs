//! Follows a configuration that operators write into the store as a whole.
//!
//! One node of each data centre, its lead, has a read of the store under way that tells of each new
//! version within a round trip; the others have one under way at the lead, and get the difference.
//! Whoever has no lead, gets no answer from it, or hears from it that the store has not spoken for
//! long reads the store itself.
//!
//! | way | why (not) |
//! |---|---|
//! | every node reads the store | 83 nodes that each read 56 KB four times a second in a burst of changes need more than the link between the regions carries |
//! | news by gossip alone | a node that is cut off from its neighbours and not from the store, or whose neighbours have just died, hears of a version too late |
//! | **a lead for each data centre** | a lead that is gone shows at once, as its answer is being waited for |

use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::ActorRef;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use super::state::NodeState;
use crate::core::member::NodeId;
use crate::decide::pacing::{Backoff, jittered_ms};
use crate::distribution::fetch::Peer;
use crate::store::{Error, Feed, Position, Told};
use crate::util::clock;

/// How long one read of the store waits for news. A connection can go silent without a word, and then a
/// new version is heard of only with the next read.
const STORE_WAIT: Duration = Duration::from_secs(2);
/// The same at a lead. A lead that has vanished silently is noticed within this and the time that an
/// answer takes, which leaves time to read the store before a version has to be in force.
const LEAD_WAIT: Duration = Duration::from_secs(1);

/// Age of the store's last word, as a lead tells it, from which the lead is no help: it reads every
/// [`STORE_WAIT`], and a slow store takes a quarter of a second.
const STALE_MS: u64 = 3_000;
/// A lead that was no help is left alone for so long.
const LEAD_PAUSE_MS: u64 = 3_000;

/// A position that was reached longer ago is given up for the newest configuration: the store answers with
/// every version since, a whole configuration each.
const POSITION_AGE_MAX: Duration = Duration::from_secs(1);

/// An answer that takes so much longer than it was to wait for news is logged as late.
const LATE_MS: u64 = 300;

/// Pauses after failures of the store. Its rates are shared by all nodes, and a version that was accepted
/// right after an outage is to be in force within seconds.
const RETRY: Backoff = Backoff::new(50, 1_000);

/// Follows `feed`, or the lead, until `stop`; `again` asks for the newest version at once.
pub(crate) async fn run(
    node: Arc<NodeState>,
    feed: impl Feed,
    configuration: ActorRef<ConfigurationMsg>,
    again: Arc<Notify>,
    stop: CancellationToken,
) {
    let follower = Follower {
        node,
        feed,
        configuration,
        position: None,
        asked_store: false,
        failures: 0,
        unhelpful: None,
    };
    stop.run_until_cancelled(follower.follow(&again)).await;
}

struct Follower<F> {
    node: Arc<NodeState>,
    feed: F,
    configuration: ActorRef<ConfigurationMsg>,
    /// Up to where the store's history is known, and since when.
    position: Option<(Position, Instant)>,
    /// The store has been asked once, whether or not it has answered.
    asked_store: bool,
    /// Failures of the store in a row.
    failures: u32,
    /// A lead that was no help, and until when it is left alone.
    unhelpful: Option<(NodeId, u64)>,
}

impl<F: Feed> Follower<F> {
    async fn follow(mut self, again: &Notify) {
        loop {
            tokio::select! {
                () = self.step() => (),
                // The process was frozen: what is under way may be from before.
                () = again.notified() => self.position = None,
            }
        }
    }

    async fn step(&mut self) {
        match self.lead() {
            Some(lead) => self.ask_lead(lead).await,
            None => self.read_store().await,
        }
    }

    /// Whom to ask instead of the store.
    fn lead(&self) -> Option<Peer> {
        // The first question of a life is the store's: its answer tells below which version nothing
        // may be enforced.
        if !self.asked_store {
            return None;
        }
        let lead = *self.node.lead.borrow();
        let now_ms = self.node.age_ms();
        let left_alone = |lead: &Peer| {
            let unhelpful = self.unhelpful;
            unhelpful.is_some_and(|(node, until_ms)| node == lead.node && now_ms < until_ms)
        };
        lead.filter(|lead| !left_alone(lead))
    }

    async fn ask_lead(&mut self, lead: Peer) {
        let mut changes = self.node.lead.subscribe();
        let have = *self.node.held.borrow();
        let Some(mut client) = self.node.control.client(lead.address) else {
            return self.leave_alone(lead);
        };
        let began = Instant::now();
        let answer = tokio::select! {
            answer = client.follow(have, LEAD_WAIT) => answer,
            _ = changes.wait_for(|now| now.map(|now| now.node) != Some(lead.node)) => return,
        };
        let newer = match answer {
            Ok(newer) => newer,
            Err(error) => {
                log::info!(
                    lead:% = lead.node, error:%, took_ms = clock::since_ms(began);
                    "the lead gives no answer; reading the store"
                );
                self.node.control.forget(lead.address);
                return self.leave_alone(lead);
            }
        };
        let len_bytes = newer
            .offer
            .as_ref()
            .map_or(0, |offer| offer.content.len_bytes());
        log_late("lead", began, LEAD_WAIT, len_bytes);
        if newer.store_age_ms >= STALE_MS {
            log::info!(
                lead:% = lead.node, store_age_ms = newer.store_age_ms;
                "the lead has not heard of the store for long; reading the store"
            );
            self.leave_alone(lead);
        }
        self.node.store_was_read(newer.store_age_ms);
        if let Some(offer) = newer.offer {
            self.tell(ConfigurationMsg::FromLead { offer, have });
        }
    }

    fn leave_alone(&mut self, lead: Peer) {
        let until_ms = self.node.age_ms() + LEAD_PAUSE_MS;
        self.unhelpful = Some((lead.node, until_ms));
    }

    async fn read_store(&mut self) {
        let unwatched_ms = self.node.store_age_ms().unwrap_or(0);
        let began = Instant::now();
        let recent = self
            .position
            .filter(|(_, reached)| reached.elapsed() < POSITION_AGE_MAX);
        let (wait, read) = match recent {
            None => (Duration::ZERO, self.feed.newest().await),
            Some((position, _)) => (STORE_WAIT, self.feed.after(position, STORE_WAIT).await),
        };
        self.asked_store = true;
        match read {
            Ok(told) => {
                log_late("store", began, wait, told.len_bytes);
                self.store_told(told, unwatched_ms);
            }
            Err(Error::HistoryGone) => {
                log::info!("the store has dropped its history; reading the newest version");
                self.position = None;
            }
            Err(error) => self.store_failed(&error, began).await,
        }
    }

    fn store_told(&mut self, told: Told, unwatched_ms: u64) {
        self.failures = 0;
        self.position = Some((told.position, Instant::now()));
        self.node.store_was_read(0);
        self.tell(ConfigurationMsg::Written {
            configuration: told.configuration.map(Box::new),
            unwatched_ms,
        });
    }

    async fn store_failed(&mut self, error: &Error, began: Instant) {
        log::info!(
            error:%, took_ms = clock::since_ms(began), failures = self.failures;
            "reading the store failed"
        );
        self.tell(ConfigurationMsg::NotRead);
        let pause_ms = jittered_ms(RETRY.pause_ms(self.failures), rand::random());
        self.failures += 1;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        // Another node may reach the store.
        self.unhelpful = None;
    }

    fn tell(&self, message: ConfigurationMsg) {
        // The actor is gone only while the process ends.
        let _ = self.configuration.cast(message);
    }
}

/// Logs an answer that took longer than `wait`, for which it may wait for news, and [`LATE_MS`].
fn log_late(source: &str, began: Instant, wait: Duration, len_bytes: usize) {
    let took_ms = clock::since_ms(began);
    let wait_ms = clock::whole_ms(wait);
    if took_ms >= wait_ms + LATE_MS {
        log::warn!(source, took_ms, wait_ms, len_bytes; "an answer came late");
    }
}
