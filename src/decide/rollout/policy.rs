//! Which software versions of a service get requests, according to the newest order and state.

use crate::core::names::SoftwareVersion;
use crate::core::rollout::{RolloutPhase, RolloutRecord, RolloutState};

/// Part of a software version in the roll-outs of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VersionRole {
    /// Gets the requests that the candidate does not get.
    Established,
    /// Gets the share of the current [`Stage`].
    Candidate,
    /// Gets no requests.
    Barred,
}

/// Which share of the requests the candidate may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// None: the order has not been taken up, or it was withdrawn.
    Pending,
    /// At most the share that limits the exposure of a version not known to be good.
    Trial,
    /// The given share.
    Shift {
        /// Share of the requests, in percent.
        percent: u32,
    },
    /// All: the gates of established endpoints refuse new requests.
    Settle,
}

/// Versions of one service and the requests that each may get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPolicy {
    /// The only established version; `None` if all versions are that are neither the candidate nor
    /// barred.
    pub established: Option<SoftwareVersion>,
    /// Versions that get no requests.
    pub barred: Vec<SoftwareVersion>,
    /// The candidate of a running roll-out, with its stage.
    pub candidate: Option<(SoftwareVersion, Stage)>,
    /// Revision of the order that the candidate comes from.
    pub order_revision: u64,
}

/// Versions without requests before a roll-out, that is, before its candidate is considered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EarlierVersions {
    /// As [`RolloutState::established`].
    pub established: Option<SoftwareVersion>,
    /// As [`RolloutState::barred`].
    pub barred: Vec<SoftwareVersion>,
}

/// Number of barred versions that are retained, the latest last.
const BARRED_MAX: usize = 8;

impl EarlierVersions {
    /// What the previous roll-out of the service left behind for a roll-out to `to`. A previous one
    /// that has not ended counts as rolled back.
    pub fn before(previous: Option<&RolloutState>, to: &SoftwareVersion) -> Self {
        let Some(previous) = previous else {
            return Self::default();
        };
        if previous.phase == RolloutPhase::Completed {
            return Self {
                established: Some(previous.to.clone()),
                barred: Vec::new(),
            };
        }
        let mut barred = previous.barred.clone();
        barred.push(previous.to.clone());
        barred.dedup();
        let surplus = barred.len().saturating_sub(BARRED_MAX);
        barred.drain(..surplus);
        barred.retain(|version| version != to && previous.established.as_ref() != Some(version));
        Self {
            established: previous.established.clone(),
            barred,
        }
    }
}

impl VersionPolicy {
    /// The policy that follows from a record; `None` if no version is restricted.
    pub fn of(record: &RolloutRecord) -> Option<Self> {
        if let Some(state) = record.current_state() {
            return Some(Self::of_state(state));
        }
        let previous = record.state.as_ref().map(|entry| &entry.state);
        let Some(order) = &record.order.order else {
            // Without an order, a roll-out that has not ended is to be rolled back.
            return previous.map(|previous| match previous.phase.is_final() {
                true => Self::of_state(previous),
                false => Self::pending(previous, record.order.revision),
            });
        };
        let earlier = EarlierVersions::before(previous, &order.to);
        let is_new = earlier.established.as_ref() != Some(&order.to);
        Some(Self {
            established: earlier.established,
            barred: earlier.barred,
            candidate: is_new.then(|| (order.to.clone(), Stage::Pending)),
            order_revision: record.order.revision,
        })
    }

    fn pending(state: &RolloutState, order_revision: u64) -> Self {
        Self {
            established: state.established.clone(),
            barred: state.barred.clone(),
            candidate: Some((state.to.clone(), Stage::Pending)),
            order_revision,
        }
    }

    fn of_state(state: &RolloutState) -> Self {
        let stage = match state.phase {
            RolloutPhase::Trial => Some(Stage::Trial),
            RolloutPhase::Shift => Some(Stage::Shift {
                percent: state.share_percent,
            }),
            RolloutPhase::Settle => Some(Stage::Settle),
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        };
        let mut policy = Self {
            established: state.established.clone(),
            barred: state.barred.clone(),
            candidate: stage.map(|stage| (state.to.clone(), stage)),
            order_revision: state.order_revision,
        };
        match state.phase {
            RolloutPhase::Completed => {
                policy.established = Some(state.to.clone());
                policy.barred.clear();
            }
            RolloutPhase::RolledBack if policy.established.as_ref() != Some(&state.to) => {
                policy.barred.push(state.to.clone());
            }
            _ => (),
        }
        policy
    }

    /// Role of a version. An endpoint whose version is not announced counts as established.
    pub fn role_of(&self, version: Option<&SoftwareVersion>) -> VersionRole {
        let Some(version) = version else {
            return VersionRole::Established;
        };
        if let Some((candidate, _)) = &self.candidate
            && candidate == version
        {
            return VersionRole::Candidate;
        }
        let is_other = self.established.as_ref().is_some_and(|v| v != version);
        match is_other || self.barred.contains(version) {
            true => VersionRole::Barred,
            false => VersionRole::Established,
        }
    }

    /// Stage of the running roll-out, if there is one.
    pub fn stage(&self) -> Option<Stage> {
        self.candidate.as_ref().map(|(_, stage)| *stage)
    }

    /// Whether the gate of an endpoint of `role` admits a request. `known_order` is the revision of the
    /// order under which the entry node chose a candidate's endpoint; `None` if it chose the endpoint
    /// without regard to its version.
    ///
    /// An entry node that has not received the order would send the candidate more than its share, so
    /// the gate refuses its requests.
    pub fn admits(&self, role: VersionRole, known_order: Option<u64>) -> bool {
        let knows_order = known_order.is_some_and(|known| known >= self.order_revision);
        match (role, self.stage()) {
            (VersionRole::Barred, _) | (VersionRole::Candidate, Some(Stage::Pending)) => false,
            (VersionRole::Candidate, Some(Stage::Trial | Stage::Shift { .. })) => knows_order,
            (VersionRole::Candidate, Some(Stage::Settle) | None) => true,
            (VersionRole::Established, Some(Stage::Settle)) => false,
            (VersionRole::Established, _) => true,
        }
    }
}
