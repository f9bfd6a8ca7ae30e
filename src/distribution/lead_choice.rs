//! Whom a node asks for new versions: a lead of its data centre, or the store.
//!
//! The leads of a data centre are ranked alike by all of its nodes. Each node asks the best one that is of
//! help; a lead whose betters are of no help reads the store itself, and so does every node that no lead
//! helps. So one node of a data centre reads the store while it answers, and another one as soon as that
//! one is silent or hears nothing of the store.

use std::collections::BTreeMap;

use super::budget::Budget;
use super::fetch::Peer;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::decide::backoff::Backoff;

/// A lead that was of no help is left alone for so long.
const LEFT_ALONE_MS: u64 = 3_000;

/// Failures of the store in a row from which a node that reads it tells its followers so.
const BLIND_FAILURES: u32 = 2;

/// Pauses of a lead after failures of the store, whose rates all nodes share.
const RETRY: Backoff = Backoff::new(50, 1_000);

/// After a version so long ago another one is to be expected soon.
const ACTIVE_MS: u64 = 10_000;

/// Doublings of the time that the store's answer may take, one for each that came too late in a row.
const SLOW_DOUBLINGS_MAX: u32 = 2;

/// The leads of a data centre as one of its nodes sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leads {
    /// Those ranked before this node, best first.
    pub before: Vec<Peer>,
    /// Whether this node is a lead too.
    pub own: bool,
    /// Whether no node of another data centre is known to be alive.
    pub alone: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Read the store.
    Store,
    /// Ask a lead for versions newer than the one held.
    Lead {
        /// Which.
        lead: Peer,
        /// How long it may wait for one; 0 for what it holds now.
        wait_ms: u64,
        /// What its answer may take beyond that.
        answer_ms: u64,
    },
}

/// How a lead stands to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadState {
    /// How long ago the store last told it, or whom it follows, what is newest.
    pub store_age_ms: u64,
    /// Its reads of the store fail.
    pub blind: bool,
}

/// How a read of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// It was refused, or the connection broke.
    Refused,
    /// No answer came in time.
    Silent,
}

/// Decides whom one node asks. Time is an argument, in milliseconds of any steady clock.
#[derive(Debug, Default)]
pub struct LeadChoice {
    leads: Leads,
    asked_store: bool,
    following: Option<NodeId>,
    left_alone_until_ms: BTreeMap<NodeId, u64>,
    failures: u32,
    silences: u32,
    /// The newest version held, and since when.
    newest: Option<(Version, u64)>,
}

impl LeadChoice {
    /// Takes in who leads.
    pub fn set_leads(&mut self, leads: Leads) {
        self.leads = leads;
    }

    /// Takes in which version is held now.
    pub fn note_held(&mut self, now_ms: u64, held: Version) {
        if self.newest.is_none_or(|(newest, _)| newest < held) {
            self.newest = Some((held, now_ms));
        }
    }

    /// What to do now.
    pub fn next(&mut self, now_ms: u64, budget: Budget) -> Ask {
        // The first question of a life is the store's: its answer tells below which version nothing may
        // be enforced.
        if !self.asked_store {
            return Ask::Store;
        }
        self.left_alone_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let is_left_alone = |lead: &&Peer| self.left_alone_until_ms.contains_key(&lead.node);
        let Some(lead) = self.leads.before.iter().find(|lead| !is_left_alone(lead)) else {
            self.following = None;
            return Ask::Store;
        };
        let (wait_ms, answer_ms) = match self.following == Some(lead.node) {
            true => (budget.follow_wait_ms(), budget.follow_answer_ms()),
            // Whether it is there and of help shows sooner without a wait.
            false => (0, budget.probe_answer_ms()),
        };
        Ask::Lead {
            lead: *lead,
            wait_ms,
            answer_ms,
        }
    }

    /// A lead has answered; whether it is of help.
    pub fn lead_answered(
        &mut self,
        now_ms: u64,
        lead: NodeId,
        state: LeadState,
        budget: Budget,
    ) -> bool {
        let is_old = state.store_age_ms > budget.store_age_max_ms();
        if state.blind || is_old {
            self.leave_alone(now_ms, lead);
            return false;
        }
        self.following = Some(lead);
        self.failures = 0;
        self.silences = 0;
        true
    }

    /// A lead gave no answer.
    pub fn lead_silent(&mut self, now_ms: u64, lead: NodeId) {
        self.leave_alone(now_ms, lead);
    }

    fn leave_alone(&mut self, now_ms: u64, lead: NodeId) {
        self.left_alone_until_ms
            .insert(lead, now_ms + LEFT_ALONE_MS);
        if self.following == Some(lead) {
            self.following = None;
        }
    }

    /// How long a read of the store waits for news. A long wait saves reads; it is for quiet times, and where
    /// readers elsewhere would tell of a version that is missed here.
    pub fn store_wait_ms(&self, now_ms: u64, budget: Budget) -> u64 {
        let is_active = |(_, since_ms): (Version, u64)| now_ms < since_ms + ACTIVE_MS;
        match self.leads.alone || self.newest.is_some_and(is_active) {
            true => budget.short_store_wait_ms(),
            false => budget.long_store_wait_ms(),
        }
    }

    /// What the beginning of the store's answer may take beyond that. A store that is slow gets longer.
    pub fn store_answer_ms(&self, budget: Budget) -> u64 {
        budget.store_answer_ms() << self.silences.min(SLOW_DOUBLINGS_MAX)
    }

    /// The store has answered.
    pub fn store_answered(&mut self) {
        self.asked_store = true;
        self.failures = 0;
        self.silences = 0;
    }

    /// A read of the store has failed; the pause before the next.
    pub fn store_failed(&mut self, failure: StoreFailure, budget: Budget) -> u64 {
        self.asked_store = true;
        let pause_ms = match self.leads.own {
            true => RETRY.delay_ms(self.failures),
            false => budget.solo_pause_ms(),
        };
        self.failures += 1;
        self.silences = match failure {
            StoreFailure::Refused => 0,
            StoreFailure::Silent => self.silences + 1,
        };
        // A lead may hear of the store by now.
        self.left_alone_until_ms.clear();
        pause_ms
    }

    /// Whether nothing is heard of the store here, so that this node is of no help as a lead.
    pub fn is_blind(&self) -> bool {
        self.silences > 0 || self.failures >= BLIND_FAILURES
    }
}
