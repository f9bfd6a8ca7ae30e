//! Roll-outs on the request path: which versions an entry node chooses among, what a gate admits, and
//! what it counts of its backend server's responses.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use arc_swap::ArcSwap;

use crate::core::member::NodeId;
use crate::core::names::{ResourceName, ServiceName, SoftwareVersion};
use crate::core::rollout::RolloutBook;
use crate::decide::load_balancing::{RankedEndpoints, VersionSet};
use crate::decide::rollout::exposure::{self, CandidateGuard};
use crate::decide::rollout::focus;
use crate::decide::rollout::tally::{GateCounter, GateState};
use crate::decide::rollout::{ExposureCredit, NodeTally, Stage, VersionPolicy, VersionRole};
use crate::util::clock;
use crate::util::lock::lock_ignoring_poison;

/// Versions that are restricted, by service. Services without a roll-out are not contained.
pub(crate) type Policies = HashMap<ServiceName, VersionPolicy>;

/// What this node as an entry node keeps of the roll-out of one service.
#[derive(Debug, Default)]
struct EntryState {
    credit: ExposureCredit,
    guard: CandidateGuard,
    /// The order that was received last, and when.
    received: Option<(u64, Instant)>,
}

impl EntryState {
    /// Milliseconds since the order was received.
    fn order_age_ms(&mut self, order_revision: u64) -> u64 {
        match self.received {
            Some((revision, at)) if revision == order_revision => clock::since_ms(at),
            _ => {
                self.received = Some((order_revision, Instant::now()));
                0
            }
        }
    }
}

/// Roll-outs as the requests of one node see them.
#[derive(Debug, Default)]
pub(crate) struct RequestRollouts {
    policies: ArcSwap<Policies>,
    entries: Mutex<HashMap<ServiceName, EntryState>>,
    counter: Mutex<Option<GateCounter>>,
}

/// The versions among which an endpoint is chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VersionChoice {
    pub(crate) versions: VersionSet,
    /// The only nodes to choose among; `None` for all.
    pub(crate) only: Option<Vec<NodeId>>,
    /// Revision of the order under which a candidate's endpoint is chosen; `None` if the versions are
    /// not those of a candidate.
    pub(crate) candidate_order: Option<u64>,
}

impl VersionChoice {
    const UNRESTRICTED: Self = Self {
        versions: VersionSet::ALL,
        only: None,
        candidate_order: None,
    };
}

impl RequestRollouts {
    /// Replaces the policies by those that follow from `book`.
    pub(crate) fn set(&self, book: &RolloutBook) {
        let policies = book
            .iter()
            .filter_map(|(service, record)| Some((service.clone(), VersionPolicy::of(record)?)));
        self.policies.store(Arc::new(policies.collect()));
    }

    /// The policy of one service; `None` if no version is restricted.
    pub(crate) fn policy(&self, service: &ServiceName) -> Option<VersionPolicy> {
        let policies = self.policies.load();
        match policies.is_empty() {
            true => None,
            false => policies.get(service).cloned(),
        }
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<ServiceName, EntryState>> {
        lock_ignoring_poison(&self.entries)
    }

    /// The versions to choose among, in the order in which they are tried. With `may_use_candidate` the
    /// candidate is included if there is credit for it, which is taken.
    pub(crate) fn choices(
        &self,
        service: &ServiceName,
        ranked: &RankedEndpoints,
        may_use_candidate: bool,
        exposure_limit_percent: u32,
    ) -> Vec<VersionChoice> {
        let Some(policy) = self.policy(service) else {
            return vec![VersionChoice::UNRESTRICTED];
        };
        let of_role = |role| {
            ranked
                .versions()
                .select(|version| policy.role_of(version) == role)
        };
        let established = VersionChoice {
            versions: of_role(VersionRole::Established),
            only: None,
            candidate_order: None,
        };
        let candidate = VersionChoice {
            versions: of_role(VersionRole::Candidate),
            only: None,
            candidate_order: Some(policy.order_revision),
        };
        match policy.stage() {
            None | Some(Stage::Pending) => vec![established],
            Some(Stage::Settle) => vec![candidate],
            Some(stage @ (Stage::Trial | Stage::Shift { .. })) => {
                let order_revision = policy.order_revision;
                if !may_use_candidate || !self.take_credit(service, order_revision) {
                    return vec![established];
                }
                let of_candidate = ranked.iter();
                let of_candidate = of_candidate.filter(|e| candidate.versions.contains(e.version));
                let nodes = of_candidate.map(|endpoint| endpoint.node).collect();
                let trial_percent = exposure::trial_percent(exposure_limit_percent);
                let age_ms = self.order_age_ms(service, order_revision);
                let only = focus::endpoints_in_use(nodes, stage, trial_percent, age_ms);
                let candidate = VersionChoice {
                    only: Some(only),
                    ..candidate
                };
                vec![candidate, established]
            }
        }
    }

    fn order_age_ms(&self, service: &ServiceName, order_revision: u64) -> u64 {
        let mut entries = self.entries();
        let entry = entries.entry(service.clone()).or_default();
        entry.order_age_ms(order_revision)
    }

    fn take_credit(&self, service: &ServiceName, order_revision: u64) -> bool {
        let mut entries = self.entries();
        let Some(entry) = entries.get_mut(service) else {
            return false;
        };
        !entry.guard.is_suspended(order_revision) && entry.credit.take(order_revision)
    }

    /// Returns the credit of an attempt that is proved not to have reached a candidate.
    pub(crate) fn put_back_credit(&self, service: &ServiceName, order_revision: u64) {
        if let Some(entry) = self.entries().get_mut(service) {
            entry.credit.put_back(order_revision);
        }
    }

    /// Records that a request for `service` was answered, which earns credit for the candidate.
    pub(crate) fn record_answered(&self, service: &ServiceName, exposure_limit_percent: u32) {
        let Some(policy) = self.policy(service) else {
            return;
        };
        if let Some(stage) = policy.stage() {
            let mut entries = self.entries();
            let entry = entries.entry(service.clone()).or_default();
            let order_revision = policy.order_revision;
            entry
                .credit
                .deposit(order_revision, stage, exposure_limit_percent);
        }
    }

    /// Records how an attempt at an endpoint of a candidate ended.
    pub(crate) fn record_candidate_outcome(
        &self,
        service: &ServiceName,
        order_revision: u64,
        failed: bool,
    ) {
        let mut entries = self.entries();
        let entry = entries.entry(service.clone()).or_default();
        if entry.guard.record(order_revision, failed) {
            log::warn!(service:%, order_revision; "this entry node sends no more requests to the candidate, whose responses fail");
            metrics::counter!("dragonflywall_rollout_suspended_total").increment(1);
        }
    }

    /// Whether the gate of an endpoint of this version admits a request that was sent under
    /// `known_order`.
    pub(crate) fn admits(
        &self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
        known_order: Option<u64>,
    ) -> bool {
        self.policy(service)
            .is_none_or(|policy| policy.admits(policy.role_of(version), known_order))
    }

    fn counter(&self) -> MutexGuard<'_, Option<GateCounter>> {
        lock_ignoring_poison(&self.counter)
    }

    /// Counts the responses of a backend server from now on, unless it counts them already for the
    /// same order and version.
    pub(crate) fn start_counting(&self, identity: &GateIdentity<'_>, cold_until_us: u64) {
        let mut counter = self.counter();
        let version = identity.version;
        let is_current = |known: &GateCounter| {
            known.order_revision() == identity.order_revision && known.version() == version
        };
        match counter.as_mut() {
            Some(known) if is_current(known) => known.set_cold_until_us(cold_until_us),
            _ => {
                let tally = identity.empty_tally();
                *counter = Some(GateCounter::new(tally, cold_until_us));
            }
        }
    }

    /// Stops counting responses.
    pub(crate) fn stop_counting(&self) {
        *self.counter() = None;
    }

    /// Counts a response of the backend server, if a roll-out of its service runs.
    pub(crate) fn record_response(
        &self,
        resource: &ResourceName,
        succeeded: bool,
        acquired_us: u64,
        service_time_us: u64,
    ) {
        if let Some(counter) = self.counter().as_mut() {
            counter.record(resource, succeeded, acquired_us, service_time_us);
        }
    }

    /// The totals of this gate as its next message; `None` if it does not count.
    pub(crate) fn next_tally(&self, now_us: u64, gate: GateState) -> Option<NodeTally> {
        let mut counter = self.counter();
        let counter = counter.as_mut()?;
        Some(counter.next_message(now_us, gate))
    }
}

/// The gate whose responses are counted, and the order for which they are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateIdentity<'a> {
    pub(crate) node: NodeId,
    pub(crate) incarnation_us: u64,
    pub(crate) service: &'a ServiceName,
    pub(crate) version: Option<&'a SoftwareVersion>,
    pub(crate) order_revision: u64,
}

impl GateIdentity<'_> {
    fn empty_tally(&self) -> NodeTally {
        NodeTally {
            node: self.node,
            incarnation_us: self.incarnation_us,
            sequence: 0,
            service: self.service.clone(),
            version: self.version.cloned(),
            order_revision: self.order_revision,
            slots: 0,
            in_flight: 0,
            closed: false,
            cold: false,
            busy_ms: 0,
            resources: Default::default(),
        }
    }
}
