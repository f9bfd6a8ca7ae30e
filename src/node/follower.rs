//! Follows a configuration that operators write into the store as a whole.
//!
//! One node of each data centre, its lead, has a read of the store under way that tells of each new
//! version within a round trip; the others have one under way at the lead, and get the difference.
//! [`LeadChoice`] decides who that is. What comes neither way in time is fetched from peers, see
//! [`crate::distribution::fetch`].
//!
//! | way | why (not) |
//! |---|---|
//! | every node reads the store | 83 nodes that each read 56 KB four times a second in a burst of changes need more than the link between the regions carries |
//! | news by gossip alone | a node that is cut off from its neighbours and not from the store, or whose neighbours have just died, hears of a version too late |
//! | **a lead for each data centre** | a lead that is gone, or hears nothing of the store, is replaced by the next |

use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::ActorRef;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use super::state::NodeState;
use crate::core::mechanism::Mechanism;
use crate::decide::backoff::jittered_ms;
use crate::distribution::fetch::Peer;
use crate::distribution::lead_choice::{Ask, LeadChoice, Leads, StoreFailure};
use crate::store::{Error, Feed, Position, Told};
use crate::util::clock;

/// A position that was reached longer ago is given up for the newest configuration: the store answers with
/// every version since, a whole configuration each.
const POSITION_AGE_MAX: Duration = Duration::from_secs(1);

/// An answer that takes so much longer than it was to wait for news is logged as late.
const LATE_MS: u64 = 300;

/// Follows `feed`, or a lead, until `stop`; `again` asks for the newest version at once.
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
        choice: LeadChoice::default(),
        position: None,
    };
    stop.run_until_cancelled(follower.follow(&again)).await;
}

struct Follower<F> {
    node: Arc<NodeState>,
    feed: F,
    configuration: ActorRef<ConfigurationMsg>,
    choice: LeadChoice,
    /// Up to where the store's history is known, and since when.
    position: Option<(Position, Instant)>,
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
        let ask = self.next();
        let follows = match &ask {
            Ask::Store => None,
            Ask::Lead { lead, .. } => Some(lead.node),
        };
        self.node.follows.send_replace(follows);
        match ask {
            Ask::Store => self.read_store().await,
            Ask::Lead {
                lead,
                wait_ms,
                answer_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                self.ask_lead(lead, wait, Duration::from_millis(answer_ms))
                    .await;
            }
        }
        self.node.blind.send_if_modified(|known| {
            let blind = self.choice.is_blind();
            std::mem::replace(known, blind) != blind
        });
    }

    fn next(&mut self) -> Ask {
        let now_ms = self.node.proxy.age_ms();
        self.choice.set_leads(self.leads());
        self.choice.note_held(now_ms, *self.node.held.borrow());
        self.choice.next(now_ms, self.node.budget())
    }

    fn leads(&self) -> Leads {
        let leads = self.node.leads.borrow().clone();
        match self.node.proxy.without().has(Mechanism::Leads) {
            true => leads,
            false => Leads {
                before: Vec::new(),
                own: true,
                ..leads
            },
        }
    }

    async fn ask_lead(&mut self, lead: Peer, wait: Duration, answer: Duration) {
        let have = *self.node.held.borrow();
        let Some(mut client) = self.node.control.client(lead.address) else {
            return self.choice.lead_silent(self.node.proxy.age_ms(), lead.node);
        };
        let began = Instant::now();
        let mut leads = self.node.leads.subscribe();
        let answer = tokio::select! {
            answer = client.follow(have, wait, answer) => answer,
            // Another one may be better by now.
            _ = leads.changed() => return,
        };
        let took_ms = clock::since_ms(began);
        let newer = match answer {
            Ok(newer) => newer,
            Err(error) => {
                log::info!(lead:% = lead.node, error:%, took_ms; "the lead gives no answer");
                self.node.control.forget(lead.address);
                return self.choice.lead_silent(self.node.proxy.age_ms(), lead.node);
            }
        };
        let offered = newer.offer.as_ref();
        let len_bytes = offered.map_or(0, |offer| offer.content.len_bytes());
        log_late("lead", took_ms, wait, len_bytes);
        let (now_ms, budget) = (self.node.proxy.age_ms(), self.node.budget());
        let state = newer.state;
        if !self.choice.lead_answered(now_ms, lead.node, state, budget) {
            log::info!(
                lead:% = lead.node, store_age_ms = state.store_age_ms, blind = state.blind;
                "the lead hears nothing of the store"
            );
        }
        self.node.proxy.store_was_read(state.store_age_ms);
        if let Some(offer) = newer.offer {
            self.tell(ConfigurationMsg::FromLead { offer, have });
        }
    }

    async fn read_store(&mut self) {
        let unwatched_ms = self.node.proxy.store_age_ms().unwrap_or(0);
        let budget = self.node.budget();
        let answer = Duration::from_millis(self.choice.store_answer_ms(budget));
        let began = Instant::now();
        let recent = self
            .position
            .filter(|(_, reached)| reached.elapsed() < POSITION_AGE_MAX);
        let (wait, read) = match recent {
            None => (Duration::ZERO, self.feed.newest(answer).await),
            Some((position, _)) => {
                let wait_ms = self.choice.store_wait_ms(self.node.proxy.age_ms(), budget);
                let wait = Duration::from_millis(wait_ms);
                (wait, self.feed.after(position, wait, answer).await)
            }
        };
        let took_ms = clock::since_ms(began);
        match read {
            Ok(told) => {
                log_late("store", took_ms, wait, told.len_bytes);
                self.store_told(told, unwatched_ms);
            }
            Err(Error::HistoryGone) => {
                log::info!("the store has dropped its history; reading the newest version");
                self.position = None;
            }
            Err(error) => self.store_failed(&error, took_ms).await,
        }
    }

    fn store_told(&mut self, told: Told, unwatched_ms: u64) {
        self.choice.store_answered();
        self.position = Some((told.position, Instant::now()));
        self.node.proxy.store_was_read(0);
        self.tell(ConfigurationMsg::Written {
            configuration: told.configuration.map(Box::new),
            unwatched_ms,
        });
    }

    async fn store_failed(&mut self, error: &Error, took_ms: u64) {
        let failure = match error {
            Error::Silent { .. } => StoreFailure::Silent,
            _ => StoreFailure::Refused,
        };
        let pause_ms = self.choice.store_failed(failure, self.node.budget());
        let pause_ms = jittered_ms(pause_ms, rand::random());
        log::info!(error:%, took_ms, pause_ms; "reading the store failed");
        self.tell(ConfigurationMsg::NotRead);
        self.node.blind.send_replace(self.choice.is_blind());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    fn tell(&self, message: ConfigurationMsg) {
        // The actor is gone only while the process ends.
        let _ = self.configuration.cast(message);
    }
}

/// Logs an answer that took longer than `wait`, for which it may wait for news, and [`LATE_MS`].
fn log_late(source: &str, took_ms: u64, wait: Duration, len_bytes: usize) {
    let wait_ms = clock::whole_ms(wait);
    if took_ms >= wait_ms + LATE_MS {
        log::warn!(source, took_ms, wait_ms, len_bytes; "an answer came late");
    }
}
