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
use crate::decide::pacing::jittered_ms;
use crate::distribution::fetch::Peer;
use crate::distribution::lead_choice::{LeadChoice, Leads, NextRead, StoreFailure};
use crate::store::{Error, Feed, Position, Told};
use crate::util::clock;

/// A position that was reached longer ago is given up for the newest configuration: the store answers with
/// every version since, a whole configuration each.
const MAX_POSITION_AGE: Duration = Duration::from_secs(1);

/// An answer that takes so much longer than it was to wait for news is logged as late.
const LATE_ANSWER_MS: u64 = 300;

/// Follows `feed`, or a lead, until `stop`; `resync` asks for the newest version at once.
pub(crate) async fn run(
    node: Arc<NodeState>,
    feed: impl Feed,
    configuration: ActorRef<ConfigurationMsg>,
    resync: Arc<Notify>,
    stop: CancellationToken,
) {
    let follower = Follower {
        node,
        feed,
        configuration,
        lead_choice: LeadChoice::default(),
        position: None,
    };
    stop.run_until_cancelled(follower.follow(&resync)).await;
}

struct Follower<F> {
    node: Arc<NodeState>,
    feed: F,
    configuration: ActorRef<ConfigurationMsg>,
    lead_choice: LeadChoice,
    /// Up to where the store's history is known, and since when.
    position: Option<(Position, Instant)>,
}

impl<F: Feed> Follower<F> {
    async fn follow(mut self, resync: &Notify) {
        loop {
            tokio::select! {
                () = self.step() => (),
                // The process was frozen: what is under way may be from before.
                () = resync.notified() => self.position = None,
            }
        }
    }

    async fn step(&mut self) {
        let ask = self.next_ask();
        let follows = match &ask {
            NextRead::Store => None,
            NextRead::Lead { lead, .. } => Some(lead.node),
        };
        self.node.followed_node.send_replace(follows);
        match ask {
            NextRead::Store => self.read_store().await,
            NextRead::Lead {
                lead,
                wait_ms,
                answer_timeout_ms: answer_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                self.ask_lead(lead, wait, Duration::from_millis(answer_ms))
                    .await;
            }
        }
        self.node.store_failing.send_if_modified(|stored| {
            let is_failing = self.lead_choice.is_store_failing();
            std::mem::replace(stored, is_failing) != is_failing
        });
    }

    fn next_ask(&mut self) -> NextRead {
        let now_ms = self.node.proxy.uptime_ms();
        self.lead_choice.set_leads(self.leads());
        self.lead_choice
            .note_held(now_ms, *self.node.held_version.borrow());
        self.lead_choice.next_read(now_ms, self.node.budget())
    }

    fn leads(&self) -> Leads {
        let leads = self.node.leads.borrow().clone();
        match self
            .node
            .proxy
            .mechanisms()
            .is_enabled(Mechanism::StoreReader)
        {
            true => leads,
            false => Leads {
                higher_ranked: Vec::new(),
                is_lead: true,
                ..leads
            },
        }
    }

    async fn ask_lead(&mut self, lead: Peer, wait: Duration, answer_timeout: Duration) {
        let base_version = *self.node.held_version.borrow();
        let Some(mut client) = self.node.control_pool.client(lead.address) else {
            return self
                .lead_choice
                .lead_failed(self.node.proxy.uptime_ms(), lead.node);
        };
        let started = Instant::now();
        let mut leads = self.node.leads.subscribe();
        let answer = tokio::select! {
            answer = client.follow(base_version, wait, answer_timeout) => answer,
            // Another one may be better by now.
            _ = leads.changed() => return,
        };
        let took_ms = clock::since_ms(started);
        let response = match answer {
            Ok(response) => response,
            Err(error) => {
                log::info!(lead:% = lead.node, error:%, took_ms; "the lead gives no answer");
                self.node.control_pool.discard(lead.address);
                return self
                    .lead_choice
                    .lead_failed(self.node.proxy.uptime_ms(), lead.node);
            }
        };
        let offered = response.offer.as_ref();
        let len_bytes = offered.map_or(0, |offer| offer.content.len_bytes());
        log_late_answer("lead", took_ms, wait, len_bytes);
        let (now_ms, budget) = (self.node.proxy.uptime_ms(), self.node.budget());
        let state = response.state;
        if !self
            .lead_choice
            .lead_answered(now_ms, lead.node, state, budget)
        {
            log::info!(
                lead:% = lead.node, store_age_ms = state.store_age_ms, blind = state.store_failing;
                "the lead hears nothing of the store"
            );
        }
        self.node.proxy.record_store_read(state.store_age_ms);
        if let Some(offer) = response.offer {
            self.send(ConfigurationMsg::LeadOffer {
                offer,
                base_version,
            });
        }
    }

    async fn read_store(&mut self) {
        let last_read_age_ms = self.node.proxy.store_age_ms().unwrap_or(0);
        let budget = self.node.budget();
        let answer_timeout =
            Duration::from_millis(self.lead_choice.store_answer_timeout_ms(budget));
        let started = Instant::now();
        let recent = self
            .position
            .filter(|(_, reached_at)| reached_at.elapsed() < MAX_POSITION_AGE);
        let (wait, read) = match recent {
            None => (Duration::ZERO, self.feed.newest(answer_timeout).await),
            Some((position, _)) => {
                let wait_ms = self
                    .lead_choice
                    .store_wait_ms(self.node.proxy.uptime_ms(), budget);
                let wait = Duration::from_millis(wait_ms);
                (wait, self.feed.after(position, wait, answer_timeout).await)
            }
        };
        let took_ms = clock::since_ms(started);
        match read {
            Ok(answer) => {
                log_late_answer("store", took_ms, wait, answer.len_bytes);
                self.handle_store_answer(answer, last_read_age_ms);
            }
            Err(Error::HistoryGone) => {
                log::info!("the store has dropped its history; reading the newest version");
                self.position = None;
            }
            Err(error) => self.handle_store_failure(&error, took_ms).await,
        }
    }

    fn handle_store_answer(&mut self, answer: Told, last_read_age_ms: u64) {
        self.lead_choice.store_answered();
        self.position = Some((answer.position, Instant::now()));
        self.node.proxy.record_store_read(0);
        self.send(ConfigurationMsg::StoreRead {
            configuration: answer.configuration.map(Box::new),
            last_read_age_ms,
        });
    }

    async fn handle_store_failure(&mut self, error: &Error, took_ms: u64) {
        let failure = match error {
            Error::Silent { .. } => StoreFailure::TimedOut,
            _ => StoreFailure::Refused,
        };
        let pause_ms = self.lead_choice.store_failed(failure, self.node.budget());
        let pause_ms = jittered_ms(pause_ms, rand::random());
        log::info!(error:%, took_ms, pause_ms; "reading the store failed");
        self.send(ConfigurationMsg::StoreReadFailed);
        self.node
            .store_failing
            .send_replace(self.lead_choice.is_store_failing());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    fn send(&self, message: ConfigurationMsg) {
        // The actor is gone only while the process ends.
        let _ = self.configuration.cast(message);
    }
}

/// Logs an answer that took longer than `wait`, for which it may wait for news, and [`LATE_ANSWER_MS`].
fn log_late_answer(source: &str, took_ms: u64, wait: Duration, len_bytes: usize) {
    let wait_ms = clock::whole_ms(wait);
    if took_ms >= wait_ms + LATE_ANSWER_MS {
        log::warn!(source, took_ms, wait_ms, len_bytes; "an answer came late");
    }
}
