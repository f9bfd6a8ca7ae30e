//! Organisations whose callers send requests, their keys, and the quotas of their requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use super::names::{OrganisationName, TeamName};
use super::version::Digest;

/// Digest of a key by which callers show that they belong to an organisation. Keys are secrets, so neither the
/// configuration nor any output contains one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Digest::compute(key))
    }

    /// The first four hexadecimal digits, by which operators tell keys apart.
    pub fn short(&self) -> String {
        self.0.to_string()[..4].to_owned()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = super::version::InvalidDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Digest::try_from(text).map(Self)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", self.short())
    }
}

/// How many requests an organisation may send, by all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Requests in 1,000 seconds.
    pub requests_per_1000_s: u64,
    /// Requests that may be sent in addition, at once.
    pub burst_requests: u64,
}

impl Quota {
    /// A quota of `rate_per_s` requests per second and a burst. `None`, which is no limit, if the rate is 0.
    pub fn from_rate(rate_per_s: f64, burst_requests: u64) -> Option<Self> {
        // The conversion saturates, so that no rate becomes a small one.
        let requests_per_1000_s = (rate_per_s * 1_000.0).round() as u64;
        (requests_per_1000_s > 0).then_some(Self {
            requests_per_1000_s,
            burst_requests,
        })
    }

    /// Requests per second.
    pub fn rate_per_s(self) -> f64 {
        self.requests_per_1000_s as f64 / 1_000.0
    }

    /// Requests that may run within any span of `window_ms`.
    pub fn window_requests(self, window_ms: u64) -> f64 {
        self.rate_per_s() * window_ms as f64 / 1_000.0 + self.burst_requests as f64
    }
}

/// The published settings of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// Digests of its keys, each of which is accepted.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of its requests, which goes before that of the route; 0 is the highest.
    pub priority: u8,
    /// How many requests it may send; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// An organisation, as requests refer to it.
#[derive(Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which backend servers receive.
    pub name: OrganisationName,
    /// Identifies it in the reports of nodes.
    pub id: OrganisationId,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// How many requests it may send; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Identifies an organisation in messages between nodes: the start of the digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationId(pub u32);

impl OrganisationId {
    /// The id of the organisation of this name.
    pub fn of(name: &OrganisationName) -> Self {
        let digest = Digest::compute(name.as_str().as_bytes());
        let [a, b, c, d, ..] = *digest.as_bytes();
        Self(u32::from_be_bytes([a, b, c, d]))
    }
}

/// All organisations of a configuration, by the digests of their keys.
#[derive(Debug, Default)]
pub struct OrganisationTable {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    by_id: HashMap<OrganisationId, Arc<Organisation>>,
}

/// Two organisations of a configuration that cannot be told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conflict {
    /// Two teams define an organisation of this name.
    Name {
        /// The name.
        organisation: OrganisationName,
        /// Team of the second definition.
        team: TeamName,
    },
    /// Two organisations have the same key.
    Key {
        /// First digits of the key's digest.
        key: String,
        /// One of the organisations.
        first: OrganisationName,
        /// The other one.
        second: OrganisationName,
    },
}

impl OrganisationTable {
    /// Compiles the organisations of all teams. `None` if the configuration has none, so that requests need no
    /// key.
    pub fn compile(configuration: &Configuration) -> Result<Option<Self>, Conflict> {
        let teams = configuration.teams.values();
        let mut teams = teams
            .filter_map(|team| Some((&team.team, team.organisations.as_ref()?)))
            .peekable();
        if teams.peek().is_none() {
            return Ok(None);
        }
        let mut table = Self::default();
        let mut names = BTreeMap::new();
        for (team, organisations) in teams {
            for (name, record) in organisations {
                if names.insert(name, team).is_some() {
                    return Err(Conflict::Name {
                        organisation: name.clone(),
                        team: team.clone(),
                    });
                }
                table.insert(name, record)?;
            }
        }
        Ok(Some(table))
    }

    fn insert(
        &mut self,
        name: &OrganisationName,
        record: &OrganisationRecord,
    ) -> Result<(), Conflict> {
        let organisation = Arc::new(Organisation {
            name: name.clone(),
            id: OrganisationId::of(name),
            priority: record.priority,
            quota: record.quota,
        });
        for key in &record.keys {
            if let Some(other) = self.by_key.insert(*key, Arc::clone(&organisation)) {
                return Err(Conflict::Key {
                    key: key.short(),
                    first: other.name.clone(),
                    second: name.clone(),
                });
            }
        }
        self.by_id.insert(organisation.id, organisation);
        Ok(())
    }

    /// The organisation that has this key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(&key)
    }

    /// The organisation that has this id.
    pub fn find_id(&self, id: OrganisationId) -> Option<&Arc<Organisation>> {
        self.by_id.get(&id)
    }

    /// All organisations, also those without keys.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_id.values()
    }
}
