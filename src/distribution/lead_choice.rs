//! Which source a node asks for new versions: a lead of its data centre, or the store.
//!
//! A lead is a node that reads the store for the others of its data centre. All nodes of a data
//! centre rank its leads in the same order. Each node asks the highest ranked lead that answers
//! with current data. A lead reads the store itself if no lead ranked above it does so, and so does
//! every other node if all leads fail. Thus one node of a data centre reads the store while it
//! answers, and another one takes over as soon as that node stops answering or cannot read the
//! store.

use std::collections::BTreeMap;

use super::budget::ApplyBudget;
use super::fetch::Peer;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::decide::backoff::Backoff;

/// How long a lead is not asked after it failed to answer or could not read the store.
const LEAD_SKIP_MS: u64 = 3_000;

/// Failed reads of the store in a row after which a node reports to its followers that it cannot
/// read the store. A single timeout is enough too; see [`LeadChoice::is_store_failing`].
const STORE_FAILING_THRESHOLD: u32 = 2;

/// Pauses of a lead after failed reads of the store, whose rate limits all nodes share.
const RETRY_BACKOFF: Backoff = Backoff::new(50, 1_000);

/// Time after the last new version during which versions count as frequent, so that reads of the
/// store wait for a shorter time.
const RECENT_VERSION_MS: u64 = 10_000;

/// Maximum number of times that the timeout for the store's answer is doubled: once for each
/// consecutive timeout.
const TIMEOUT_DOUBLINGS_MAX: u32 = 2;

/// The leads of a data centre, as one of its nodes ranks them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leads {
    /// Leads ranked above this node, highest first; all leads if this node is not one.
    pub higher_ranked: Vec<Peer>,
    /// Leads ranked below this node, highest first.
    pub lower_ranked: Vec<Peer>,
    /// Whether this node is a lead.
    pub is_lead: bool,
    /// Whether no node of another data centre is known to be alive.
    pub is_only_data_centre: bool,
}

impl Leads {
    /// Whether no other live node has been found, or the ranking has not been made yet.
    fn is_alone(&self) -> bool {
        let has_leads = !self.higher_ranked.is_empty() || !self.lower_ranked.is_empty();
        !has_leads && (self.is_only_data_centre || !self.is_lead)
    }
}

/// The next read of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Read the store.
    Store,
    /// Ask a lead for versions newer than the held one.
    Lead {
        /// The lead to ask.
        lead: Peer,
        /// How long the lead may wait for a newer version; 0 to get what it holds now.
        wait_ms: u64,
        /// How long its answer may take in addition to that wait.
        answer_timeout_ms: u64,
    },
    /// Wait until other nodes are found, for `wait_ms` at most.
    AwaitLeads {
        /// How long to wait.
        wait_ms: u64,
    },
}

/// Where the first version after a start comes from. It settles the floor of the versions that may be enforced, so it
/// must be at least as new as what the previous process at this address enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum FirstRead {
    /// The store.
    #[default]
    Store,
    /// A lead that has asked the store since this node started.
    Lead(StartTimes),
    /// It has been read.
    Done,
}

/// When a node that starts reads the store itself, in milliseconds of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartTimes {
    /// From when it does so if no lead is ranked above it.
    pub lead_reads_at_ms: u64,
    /// From when it does so if no lead has answered.
    pub reads_at_ms: u64,
}

/// How current a lead's data from the store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadState {
    /// Time since the store last answered the lead, or the node that the lead follows.
    pub store_age_ms: u64,
    /// Whether the lead's reads of the store fail.
    pub store_failing: bool,
}

/// How a read of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store refused it, or the connection was lost.
    Refused,
    /// The store did not answer in time.
    TimedOut,
}

/// Decides which source one node reads from. Times are arguments, in milliseconds of any monotonic
/// clock.
#[derive(Debug, Default)]
pub struct LeadChoice {
    leads: Leads,
    first_read: FirstRead,
    following: Option<NodeId>,
    skipped_until_ms: BTreeMap<NodeId, u64>,
    failures: u32,
    timeouts: u32,
    /// Newest held version, and since when it is held.
    newest_held: Option<(Version, u64)>,
}

impl LeadChoice {
    /// The choice of a node that has just started and leaves its first version to a lead. Without this it reads the store
    /// first.
    pub fn starting(times: StartTimes) -> Self {
        Self {
            first_read: FirstRead::Lead(times),
            ..Self::default()
        }
    }

    /// Sets the leads of the data centre.
    pub fn set_leads(&mut self, leads: Leads) {
        self.leads = leads;
    }

    /// The leads of the data centre that were set last.
    pub fn leads(&self) -> &Leads {
        &self.leads
    }

    /// Records which version is held now.
    pub fn note_held(&mut self, now_ms: u64, held: Version) {
        if self
            .newest_held
            .is_none_or(|(newest_held, _)| newest_held < held)
        {
            self.newest_held = Some((held, now_ms));
        }
    }

    /// Source to read from now.
    pub fn next_read(&mut self, now_ms: u64, budget: ApplyBudget) -> NextRead {
        let start_wait_ms = match self.first_read {
            FirstRead::Store => return NextRead::Store,
            FirstRead::Lead(times) => match self.start_wait_ms(now_ms, times) {
                0 => return NextRead::Store,
                wait_ms => Some(wait_ms),
            },
            FirstRead::Done => None,
        };
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
            return match start_wait_ms.filter(|_| self.leads.higher_ranked.is_empty()) {
                Some(wait_ms) => NextRead::AwaitLeads { wait_ms },
                None => NextRead::Store,
            };
        };
        if let Some(start_wait_ms) = start_wait_ms {
            return NextRead::Lead {
                lead: *lead,
                wait_ms: start_wait_ms.min(budget.follow_wait_ms()),
                answer_timeout_ms: budget.probe_answer_timeout_ms(),
            };
        }
        let (wait_ms, answer_timeout_ms) = match self.following == Some(lead.node) {
            true => (budget.follow_wait_ms(), budget.follow_answer_timeout_ms()),
            // A request without a wait shows sooner whether the lead answers and has current data.
            false => (0, budget.probe_answer_timeout_ms()),
        };
        NextRead::Lead {
            lead: *lead,
            wait_ms,
            answer_timeout_ms,
        }
    }

    /// How long this node, which has just started, still leaves its first version to a lead.
    fn start_wait_ms(&self, now_ms: u64, times: StartTimes) -> u64 {
        let is_first = self.leads.higher_ranked.is_empty() && !self.leads.is_alone();
        let reads_at_ms = match is_first {
            true => times.lead_reads_at_ms.min(times.reads_at_ms),
            false => times.reads_at_ms,
        };
        reads_at_ms.saturating_sub(now_ms)
    }

    /// Records the answer of a lead. Returns whether its data is current, so that it is followed.
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

    /// Records whether the current data of a lead is at least as new as what the previous process at this address
    /// enforced. Returns whether the node may rely on it; before that it has to read the store.
    pub fn settle_first_read(&mut self, is_from_after_start: bool) -> bool {
        if let FirstRead::Lead(_) = self.first_read {
            self.first_read = match is_from_after_start {
                true => FirstRead::Done,
                false => FirstRead::Store,
            };
        }
        self.first_read == FirstRead::Done
    }

    /// Records that a lead did not answer.
    pub fn lead_failed(&mut self, now_ms: u64, lead: NodeId) {
        self.skip_lead(now_ms, lead);
    }

    fn skip_lead(&mut self, now_ms: u64, lead: NodeId) {
        self.skipped_until_ms.insert(lead, now_ms + LEAD_SKIP_MS);
        if self.following == Some(lead) {
            self.following = None;
        }
    }

    /// How long a read of the store waits for a newer version. A long wait saves reads. It is used
    /// only when versions are rare and other data centres read the store too, from which a version
    /// that is missed here would arrive by gossip.
    pub fn store_wait_ms(&self, now_ms: u64, budget: ApplyBudget) -> u64 {
        let is_recent = |(_, since_ms): (Version, u64)| now_ms < since_ms + RECENT_VERSION_MS;
        match self.leads.is_only_data_centre || self.newest_held.is_some_and(is_recent) {
            true => budget.short_store_wait_ms(),
            false => budget.long_store_wait_ms(),
        }
    }

    /// How long the store may take to begin its answer, in addition to the wait. Doubles after each
    /// timeout.
    pub fn store_answer_timeout_ms(&self, budget: ApplyBudget) -> u64 {
        budget.store_answer_timeout_ms() << self.timeouts.min(TIMEOUT_DOUBLINGS_MAX)
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self) {
        self.first_read = FirstRead::Done;
        self.failures = 0;
        self.timeouts = 0;
    }

    /// Records that a read of the store failed. Returns the pause before the next read, in
    /// milliseconds.
    pub fn store_failed(&mut self, failure: StoreFailure, budget: ApplyBudget) -> u64 {
        self.first_read = FirstRead::Done;
        let pause_ms = match self.leads.is_lead {
            true => RETRY_BACKOFF.delay_ms(self.failures),
            false => budget.non_lead_store_pause_ms(),
        };
        self.failures += 1;
        self.timeouts = match failure {
            StoreFailure::Refused => 0,
            StoreFailure::TimedOut => self.timeouts + 1,
        };
        // The leads may be able to read the store by now, so all of them are asked again.
        self.skipped_until_ms.clear();
        pause_ms
    }

    /// Whether this node cannot read the store at present, so that its followers have to use
    /// another lead: its last read timed out, or [`STORE_FAILING_THRESHOLD`] reads in a row failed.
    pub fn is_store_failing(&self) -> bool {
        self.timeouts > 0 || self.failures >= STORE_FAILING_THRESHOLD
    }
}
