//! Whether a request may enter the mesh, and for which organisation.

use std::sync::Arc;

use crate::core::organisation::{KeyDigest, Organisation, OrganisationTable};

/// Share of the bound for accepting keys that is left unused, because the clocks of two VMs may run at different speeds.
const CLOCK_MARGIN_RATIO: u64 = 50;

/// The key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// None, or credentials of another scheme.
    Absent,
    /// One key.
    Key(KeyDigest),
    /// More than one key.
    Ambiguous,
}

/// Where a request comes from, as far as that decides whether it needs a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A caller.
    Caller,
    /// A request that the local backend server is running.
    RunningRequest,
    /// A request that names a parent which is not running here.
    EndedRequest,
}

/// How current the enforced configuration is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationAge {
    /// Time since the configuration was known to be the newest; `None` if it never was.
    pub known_newest_ms_ago: Option<u64>,
    /// Time within which an accepted version is enforced everywhere.
    pub apply_within_ms: u64,
    /// Longest age for which keys are accepted, if that is limited.
    pub key_limit_ms: Option<u64>,
}

impl ConfigurationAge {
    fn is_at_most(self, limit_ms: u64) -> bool {
        self.known_newest_ms_ago
            .is_some_and(|age_ms| age_ms < limit_ms)
    }

    fn accepts_keys(self) -> bool {
        let limit_ms = self.key_limit_ms;
        limit_ms.is_none_or(|limit_ms| self.is_at_most(limit_ms - limit_ms / CLOCK_MARGIN_RATIO))
    }

    fn has_all_versions(self) -> bool {
        self.is_at_most(self.apply_within_ms)
    }
}

/// Why a request may not enter the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It needs a key and has none, or no organisation has its key.
    UnknownKey,
    /// The configuration is not known to be current enough to decide.
    NotFresh,
    /// The request that it belongs to is not running here.
    ParentEnded,
}

/// Finds the organisation of a request. `None` if it has none and needs none.
pub fn organisation_of(
    organisations: Option<&OrganisationTable>,
    sender: Sender,
    credential: Credential,
    is_public: bool,
    age: ConfigurationAge,
) -> Result<Option<Arc<Organisation>>, Denial> {
    let Some(organisations) = organisations else {
        return Ok(None);
    };
    if sender == Sender::RunningRequest {
        return Ok(None);
    }
    match credential {
        Credential::Absent if is_public => Ok(None),
        Credential::Absent if sender == Sender::EndedRequest => Err(Denial::ParentEnded),
        Credential::Absent | Credential::Ambiguous => Err(Denial::UnknownKey),
        Credential::Key(_) if !age.accepts_keys() => Err(Denial::NotFresh),
        Credential::Key(key) => match organisations.find(key) {
            Some(organisation) => Ok(Some(Arc::clone(organisation))),
            // A version that is on its way may hold the key.
            None if !age.has_all_versions() => Err(Denial::NotFresh),
            None => Err(Denial::UnknownKey),
        },
    }
}
