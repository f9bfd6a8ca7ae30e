//! Follows the configuration that operators write into the store as a whole.
//!
//! One node of each data centre, its lead, keeps a long poll open at the store, which returns each new version
//! within one round trip. The other nodes keep a long poll open at the lead, which returns the difference to the
//! version that they hold. [`LeadChoice`] selects the lead. A version that arrives neither way in time is fetched
//! from peers, see [`crate::distribution::fetch`].
//!
//! | design | why it is used or not |
//! |---|---|
//! | every node reads the store | not used: in a burst of changes, 83 nodes that each read 56 KB four times a second need more than the link between the regions carries |
//! | new versions spread by gossip alone | not used: a node that is cut off from its neighbours but not from the store, or whose neighbours have just died, receives a version too late |
//! | **one lead for each data centre** | used: a lead that is gone, or cannot read the store, is replaced by the next |

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::ActorRef;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::configuration::ConfigurationMsg;
use super::registration;
use super::state::NodeState;
use crate::core::mechanism::Mechanism;
use crate::core::version::Version;
use crate::decide::backoff::jittered_ms;
use crate::decide::freeze::Epoch;
use crate::decide::freshness::{FreshnessProof, PeerProof};
use crate::distribution::Offer;
use crate::distribution::fetch::Peer;
use crate::distribution::lead_choice::{LeadChoice, Leads, NextRead, StartTimes, StoreFailure};
use crate::store::{Error, Feed, FeedPosition, FeedUpdate, OrdersRead, RolloutTable};
use crate::util::clock;

#[cfg(test)]
mod tests;

/// Age from which a position is dropped and the newest configuration is read instead. A read from an old position
/// would return every version since then, each a whole configuration.
const MAX_POSITION_AGE: Duration = Duration::from_secs(1);

/// Time in which a node joins the mesh after it has read the addresses of other nodes.
const FIRST_START_JOIN_MS: u64 = 500;

/// An answer is logged as late if it takes this much longer than its long poll was allowed to wait.
const LATE_ANSWER_MS: u64 = 300;

/// Follows `feed` or a lead until `stop` is cancelled. A notification of `resync` aborts the read in progress and
/// reads the newest version at once.
pub(crate) async fn run(
    node: Arc<NodeState>,
    feed: impl Feed + RolloutTable,
    configuration: ActorRef<ConfigurationMsg>,
    resync: Arc<Notify>,
    stop: CancellationToken,
) {
    let lead_choice = match node.proxy.mechanisms().is_enabled(Mechanism::StoreReader) {
        true => LeadChoice::starting(start_times(&node)),
        false => LeadChoice::default(),
    };
    let follower = Follower {
        node,
        feed,
        configuration,
        lead_choice,
        position: None,
        stored_version: None,
    };
    stop.run_until_cancelled(follower.follow(&resync)).await;
}

/// When this node, which has just started, reads the store itself. While the mesh starts for the first time, nodes find
/// each other in turn, and many of them rank highest in their incomplete view for a while.
fn start_times(node: &NodeState) -> StartTimes {
    let joined_ms = match node.proxy.settings.is_first_start {
        true => clock::whole_ms(registration::FIRST_START_SPREAD) + FIRST_START_JOIN_MS,
        false => 0,
    };
    let lead_reads_at_ms = node.proxy.uptime_ms() + joined_ms;
    StartTimes {
        lead_reads_at_ms,
        reads_at_ms: lead_reads_at_ms + node.budget().start_lead_wait_ms(),
    }
}

struct Follower<F> {
    node: Arc<NodeState>,
    feed: F,
    configuration: ActorRef<ConfigurationMsg>,
    lead_choice: LeadChoice,
    /// Position in the history of the store up to which this node has read, and when it was reached.
    position: Option<(FeedPosition, Instant)>,
    /// Version of the configuration in the store at that position; none if there is none or it cannot be decoded.
    stored_version: Option<Version>,
}

impl<F: Feed + RolloutTable> Follower<F> {
    async fn follow(mut self, resync: &Notify) {
        loop {
            tokio::select! {
                () = self.poll_once() => (),
                // The process was frozen: the read in progress may have started before the freeze.
                () = resync.notified() => self.position = None,
            }
        }
    }

    async fn poll_once(&mut self) {
        let read = self.next_read();
        let follows = match &read {
            NextRead::Store | NextRead::AwaitLeads { .. } => None,
            NextRead::Lead { lead, .. } => Some(lead.node),
        };
        self.node.followed_node.send_replace(follows);
        match read {
            NextRead::Store => self.read_store().await,
            NextRead::AwaitLeads { wait_ms } => self.await_leads(wait_ms).await,
            NextRead::Lead {
                lead,
                wait_ms,
                answer_timeout_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                self.poll_lead(lead, wait, Duration::from_millis(answer_timeout_ms))
                    .await;
            }
        }
        self.node.store_failing.send_if_modified(|stored| {
            let is_failing = self.lead_choice.is_store_failing();
            std::mem::replace(stored, is_failing) != is_failing
        });
    }

    fn next_read(&mut self) -> NextRead {
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

    /// Waits until the ranking of leads changes, for `wait_ms` at most.
    async fn await_leads(&self, wait_ms: u64) {
        let mut leads = self.node.leads.subscribe();
        let known = self.lead_choice.leads();
        let changed = leads.wait_for(|leads| leads != known);
        // It ends by itself only with the process.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
    }

    async fn poll_lead(&mut self, lead: Peer, wait: Duration, answer_timeout: Duration) {
        let base_version = *self.node.held_version.borrow();
        let rollouts_digest = self.node.rollouts().digest();
        let Some(mut client) = self.node.control_pool.client(lead.address) else {
            return self
                .lead_choice
                .lead_failed(self.node.proxy.uptime_ms(), lead.node);
        };
        let asked_in = self.node.proxy.freezes.epoch();
        let started = Instant::now();
        let asked_ms = self.node.proxy.uptime_ms();
        let mut leads = self.node.leads.subscribe();
        let answer = tokio::select! {
            answer = client.follow(base_version, rollouts_digest, wait, answer_timeout) => answer,
            // The ranking has changed, so that another lead may be preferred now.
            _ = leads.changed() => return,
        };
        let took_ms = clock::since_ms(started);
        if !self.node.proxy.is_current(asked_in) {
            // Neither the answer nor its absence shows the state of the lead after a freeze.
            return;
        }
        let response = match answer {
            Ok(response) => response,
            Err(error) => {
                log::info!(lead:% = lead.node, error:%, took_ms; "the lead did not answer");
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
        let is_current = self
            .lead_choice
            .lead_answered(now_ms, lead.node, state, budget);
        if !is_current {
            log::info!(
                lead:% = lead.node, store_age_ms = state.store_age_ms, store_failing = state.store_failing;
                "the lead cannot read the store or its data is too old"
            );
        }
        self.node.proxy.record_store_read(state.store_age_ms);
        let proof = self.record_peer_proof(response.proof, asked_ms, took_ms);
        let is_reliable = is_current && self.settle_first_read(response.offer.as_ref(), proof);
        // Before the version can be enforced, so that no request ignores a roll-out.
        if let Some(rollouts) = &response.rollouts {
            self.node.merge_rollouts(rollouts);
        }
        if let Some(offer) = response.offer {
            self.send(ConfigurationMsg::LeadOffer {
                offer,
                base_version,
                is_current: is_reliable,
            });
        }
    }

    /// Records a current answer of a lead, with the proof that was made of it. Returns whether the offer in it settles the
    /// floor: after a start it has to be what the store held since then.
    fn settle_first_read(&mut self, offer: Option<&Offer>, proof: Option<FreshnessProof>) -> bool {
        let is_newest =
            |proof: FreshnessProof| offer.is_some_and(|offer| offer.stamp.version >= proof.version);
        self.lead_choice
            .settle_first_read(proof.is_some_and(is_newest))
    }

    async fn read_store(&mut self) {
        let asked_in = self.node.proxy.freezes.epoch();
        let last_read_age_ms = self.node.proxy.store_age_ms().unwrap_or(0);
        let budget = self.node.budget();
        let answer_timeout =
            Duration::from_millis(self.lead_choice.store_answer_timeout_ms(budget));
        let started = Instant::now();
        let asked_ms = self.node.proxy.uptime_ms();
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
                (
                    wait,
                    self.feed.newest_after(position, wait, answer_timeout).await,
                )
            }
        };
        let took_ms = clock::since_ms(started);
        if !self.node.proxy.is_current(asked_in) {
            self.position = None;
            return;
        }
        match read {
            Ok(answer) => {
                log_late_answer("store", took_ms, wait, answer.len_bytes);
                self.record_proof(&answer, asked_ms, recent.is_some());
                let merged = self.merge_orders(&answer).await;
                if !self.node.proxy.is_current(asked_in) {
                    // The process was frozen while the states of the roll-outs were read.
                    self.position = None;
                    return;
                }
                // An answer without a change is sent when the wait is over.
                let age_ms = clock::since_ms(started).saturating_sub(clock::whole_ms(wait));
                match merged {
                    Ok(()) => self.handle_store_answer(answer, age_ms, last_read_age_ms, asked_in),
                    Err(error) => self.handle_store_failure(&error, took_ms).await,
                }
            }
            Err(Error::HistoryGone) => {
                log::info!(
                    "the store no longer has the history after the last position; reading the newest version"
                );
                self.position = None;
            }
            Err(error) => self.handle_store_failure(&error, took_ms).await,
        }
    }

    /// Records that the store has shown which version was the newest at `asked_ms`. With `only_changes` it was asked for changes
    /// since the last position.
    fn record_proof(&mut self, answer: &FeedUpdate, asked_ms: u64, only_changes: bool) {
        let changed = answer.configuration.as_ref();
        let changed = changed.map(|configuration| configuration.version);
        let is_unchanged = only_changes && changed.is_none() && !answer.is_unreadable;
        if !is_unchanged {
            self.stored_version = changed;
        }
        if let Some(version) = self.stored_version {
            let proof = FreshnessProof::from_store(version, asked_ms);
            self.node.proxy.freshness().record(proof);
        }
    }

    /// Merges the orders of roll-outs that the store answered with, before the configuration can be
    /// enforced. When all orders are read, the states are read too, unless there was no order or state.
    async fn merge_orders(&self, answer: &FeedUpdate) -> Result<(), Error> {
        self.node.set_store_clock(answer.store_ms);
        match &answer.orders {
            OrdersRead::Changed(orders) if orders.is_empty() => (),
            OrdersRead::Changed(orders) => self.node.update_rollouts(|book| {
                let merge = |(service, order)| book.merge_order(service, order);
                orders.iter().map(merge).fold(false, |any, new| any | new)
            }),
            OrdersRead::All(orders) => {
                let position = answer.position.0;
                // A roll-out may have ended, and its order been deleted, since this node heard of it.
                let is_unused = orders.is_empty() && self.node.rollouts().is_empty();
                let states = match is_unused {
                    true => BTreeMap::new(),
                    false => self.feed.states().await?,
                };
                self.node.update_rollouts(|book| {
                    let mut changed = book.merge_all_orders(position, orders);
                    for (service, state) in states {
                        changed |= book.merge_state(&service, state);
                    }
                    changed
                });
            }
        }
        Ok(())
    }

    fn handle_store_answer(
        &mut self,
        answer: FeedUpdate,
        age_ms: u64,
        last_read_age_ms: u64,
        asked_in: Epoch,
    ) {
        self.lead_choice.store_answered();
        self.position = Some((answer.position, Instant::now()));
        self.node.proxy.record_store_read(age_ms);
        self.send(ConfigurationMsg::StoreRead {
            configuration: answer.configuration.map(Box::new),
            last_read_age_ms,
            asked_in,
        });
    }

    async fn handle_store_failure(&mut self, error: &Error, took_ms: u64) {
        let failure = match error {
            Error::TimedOut { .. } => StoreFailure::TimedOut,
            _ => StoreFailure::Refused,
        };
        let pause_ms = self.lead_choice.store_failed(failure, self.node.budget());
        let pause_ms = jittered_ms(pause_ms, rand::random());
        log::info!(error:%, took_ms, pause_ms; "reading the store failed");
        self.send(ConfigurationMsg::StoreReadFailed);
        self.node
            .store_failing
            .send_replace(self.lead_choice.is_store_failing());
        let pause = tokio::time::sleep(Duration::from_millis(pause_ms));
        tokio::join!(pause, self.ask_lower_lead());
    }

    /// Asks a lead that is ranked below this node for its versions, if the age of the configuration is limited: that lead
    /// may reach the store while this node does not.
    async fn ask_lower_lead(&self) {
        if self.node.proxy.settings.key_freshness_ms.is_none() {
            return;
        }
        let lower_ranked = self.node.leads.borrow().lower_ranked.clone();
        let answer_timeout_ms = self.node.budget().probe_answer_timeout_ms();
        for lead in lower_ranked {
            let asked_ms = self.node.proxy.uptime_ms();
            let started = Instant::now();
            let base_version = *self.node.held_version.borrow();
            let digest = self.node.rollouts().digest();
            let Some(mut client) = self.node.control_pool.client(lead.address) else {
                continue;
            };
            let answer_timeout = Duration::from_millis(answer_timeout_ms);
            let answer = client.follow(base_version, digest, Duration::ZERO, answer_timeout);
            let response = match answer.await {
                Ok(response) => response,
                Err(error) => {
                    log::debug!(lead:% = lead.node, error:%; "a lower lead did not answer");
                    continue;
                }
            };
            self.record_peer_proof(response.proof, asked_ms, clock::since_ms(started));
            if let Some(offer) = response.offer {
                self.send(ConfigurationMsg::LeadOffer {
                    offer,
                    base_version,
                    is_current: false,
                });
            }
            if !response.state.store_failing {
                return;
            }
        }
    }

    /// Records what a peer's answer proves; nothing if that is from before the start of this process.
    fn record_peer_proof(
        &self,
        proof: Option<PeerProof>,
        asked_ms: u64,
        took_ms: u64,
    ) -> Option<FreshnessProof> {
        let proof = proof.and_then(|proof| FreshnessProof::from_peer(proof, asked_ms, took_ms))?;
        self.node.proxy.freshness().record(proof);
        Some(proof)
    }

    fn send(&self, message: ConfigurationMsg) {
        // Sending fails only while the process is shutting down.
        let _ = self.configuration.cast(message);
    }
}

/// Logs an answer that took [`LATE_ANSWER_MS`] longer than `wait`, the time limit of its long poll, or more.
fn log_late_answer(source: &str, took_ms: u64, wait: Duration, len_bytes: usize) {
    let wait_ms = clock::whole_ms(wait);
    if took_ms >= wait_ms + LATE_ANSWER_MS {
        log::warn!(source, took_ms, wait_ms, len_bytes; "late answer to a long poll");
    }
}
