//! Whom a node asks for new versions: a lead of its data centre, or the store.
//!
//! The leads of a data centre are ranked alike by all of its nodes. Each node asks the best one that is of
//! help; a lead whose betters are of no help reads the store itself, and so does every node that no lead
//! helps. So one node of a data centre reads the store while it answers, and another one as soon as that
//! one is silent or hears nothing of the store.

use std::collections::BTreeMap;

use super::budget::ApplyBudget;
use super::fetch::Peer;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::decide::pacing::Backoff;

/// A lead that was of no help is left alone for so long.
const LEAD_SKIP_MS: u64 = 3_000;

/// Failures of the store in a row from which a node that reads it tells its followers so.
const STORE_FAILING_THRESHOLD: u32 = 2;

/// Pauses of a lead after failures of the store, whose rates all nodes share.
const RETRY_BACKOFF: Backoff = Backoff::new(50, 1_000);

/// After a version so long ago another one is to be expected soon.
const RECENT_VERSION_MS: u64 = 10_000;

/// Doublings of the time that the store's answer may take, one for each that came too late in a row.
const TIMEOUT_DOUBLINGS_MAX: u32 = 2;

/// The leads of a data centre as one of its nodes sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leads {
    /// Those ranked before this node, best first.
    pub higher_ranked: Vec<Peer>,
    /// Whether this node is a lead too.
    pub is_lead: bool,
    /// Whether no node of another data centre is known to be alive.
    pub is_only_data_centre: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Read the store.
    Store,
    /// Ask a lead for versions newer than the one held.
    Lead {
        /// Which.
        lead: Peer,
        /// How long it may wait for one; 0 for what it holds now.
        wait_ms: u64,
        /// What its answer may take beyond that.
        answer_timeout_ms: u64,
    },
}

/// How a lead stands to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadState {
    /// How long ago the store last told it, or whom it follows, what is newest.
    pub store_age_ms: u64,
    /// Its reads of the store fail.
    pub store_failing: bool,
}

/// How a read of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// It was refused, or the connection broke.
    Refused,
    /// No answer came in time.
    TimedOut,
}

/// Decides whom one node asks. Time is an argument, in milliseconds of any steady clock.
#[derive(Debug, Default)]
pub struct LeadChoice {
    leads: Leads,
    store_tried: bool,
    following: Option<NodeId>,
    skipped_until_ms: BTreeMap<NodeId, u64>,
    failures: u32,
    timeouts: u32,
    /// The newest version held, and since when.
    newest_held: Option<(Version, u64)>,
}

impl LeadChoice {
    /// Takes in who leads.
    pub fn set_leads(&mut self, leads: Leads) {
        self.leads = leads;
    }

    /// Takes in which version is held now.
    pub fn note_held(&mut self, now_ms: u64, held: Version) {
        if self
            .newest_held
            .is_none_or(|(newest_held, _)| newest_held < held)
        {
            self.newest_held = Some((held, now_ms));
        }
    }

    /// What to do now.
    pub fn next_read(&mut self, now_ms: u64, budget: ApplyBudget) -> NextRead {
        // The first question of a life is the store's: its answer tells below which version nothing may
        // be enforced.
        if !self.store_tried {
            return NextRead::Store;
        }
        self.skipped_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let is_skipped = |lead: &&Peer| self.skipped_until_ms.contains_key(&lead.node);
        let Some(lead) = self
            .leads
            .higher_ranked
            .iter()
            .find(|lead| !is_skipped(lead))
        else {
            self.following = None;
            return NextRead::Store;
        };
        let (wait_ms, answer_timeout_ms) = match self.following == Some(lead.node) {
            true => (budget.follow_wait_ms(), budget.follow_answer_timeout_ms()),
            // Whether it is there and of help shows sooner without a wait.
            false => (0, budget.probe_answer_timeout_ms()),
        };
        NextRead::Lead {
            lead: *lead,
            wait_ms,
            answer_timeout_ms,
        }
    }

    /// A lead has answered; whether it is of help.
    pub fn lead_answered(
        &mut self,
        now_ms: u64,
        lead: NodeId,
        state: LeadState,
        budget: ApplyBudget,
    ) -> bool {
        let is_stale = state.store_age_ms > budget.store_age_max_ms();
        if state.store_failing || is_stale {
            self.skip_lead(now_ms, lead);
            return false;
        }
        self.following = Some(lead);
        self.failures = 0;
        self.timeouts = 0;
        true
    }

    /// A lead gave no answer.
    pub fn lead_failed(&mut self, now_ms: u64, lead: NodeId) {
        self.skip_lead(now_ms, lead);
    }

    fn skip_lead(&mut self, now_ms: u64, lead: NodeId) {
        self.skipped_until_ms.insert(lead, now_ms + LEAD_SKIP_MS);
        if self.following == Some(lead) {
            self.following = None;
        }
    }

    /// How long a read of the store waits for news. A long wait saves reads; it is for quiet times, and where
    /// readers elsewhere would tell of a version that is missed here.
    pub fn store_wait_ms(&self, now_ms: u64, budget: ApplyBudget) -> u64 {
        let is_active = |(_, since_ms): (Version, u64)| now_ms < since_ms + RECENT_VERSION_MS;
        match self.leads.is_only_data_centre || self.newest_held.is_some_and(is_active) {
            true => budget.short_store_wait_ms(),
            false => budget.long_store_wait_ms(),
        }
    }

    /// What the beginning of the store's answer may take beyond that. A store that is slow gets longer.
    pub fn store_answer_timeout_ms(&self, budget: ApplyBudget) -> u64 {
        budget.store_answer_timeout_ms() << self.timeouts.min(TIMEOUT_DOUBLINGS_MAX)
    }

    /// The store has answered.
    pub fn store_answered(&mut self) {
        self.store_tried = true;
        self.failures = 0;
        self.timeouts = 0;
    }

    /// A read of the store has failed; the pause before the next.
    pub fn store_failed(&mut self, failure: StoreFailure, budget: ApplyBudget) -> u64 {
        self.store_tried = true;
        let pause_ms = match self.leads.is_lead {
            true => RETRY_BACKOFF.pause_ms(self.failures),
            false => budget.non_lead_store_pause_ms(),
        };
        self.failures += 1;
        self.timeouts = match failure {
            StoreFailure::Refused => 0,
            StoreFailure::TimedOut => self.timeouts + 1,
        };
        // A lead may hear of the store by now.
        self.skipped_until_ms.clear();
        pause_ms
    }

    /// Whether nothing is heard of the store here, so that this node is of no help as a lead.
    pub fn is_store_failing(&self) -> bool {
        self.timeouts > 0 || self.failures >= STORE_FAILING_THRESHOLD
    }
}
