//! The configuration that a node holds, and the rule by which it is replaced.

use std::sync::Arc;

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::core::configuration::{self, Configuration, Delta};
use crate::core::routing::{self, RouteTable};
use crate::core::version::{Stamp, Version};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Deltas kept to hand to peers. A peer that is further behind gets the snapshot.
const DELTAS_KEPT: usize = 8;

/// Why content was not applied. The node keeps what it enforces.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The content is damaged or not what was announced.
    #[snafu(display("the content of {stamp} is refused"))]
    Content {
        /// What was announced.
        stamp: Stamp,
        /// What is wrong.
        #[snafu(source(from(configuration::Error, Box::new)))]
        source: Box<configuration::Error>,
    },
    /// A reference in it does not close.
    #[snafu(display("{stamp} cannot be enforced"))]
    Open {
        /// What was announced.
        stamp: Stamp,
        /// The open reference.
        source: routing::Error,
    },
    /// It is not newer than what is enforced, or below the floor.
    #[snafu(display("{stamp} is not above version {lowest}"))]
    NotNewer {
        /// What was offered.
        stamp: Stamp,
        /// What it had to exceed.
        lowest: Version,
    },
    /// A delta, and nothing to apply it to.
    #[snafu(display("a delta to {stamp} without its parent"))]
    NoParent {
        /// What was offered.
        stamp: Stamp,
    },
}

/// Content as it travels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The difference from the parent.
    Delta(Vec<u8>),
    /// The whole.
    Snapshot(Vec<u8>),
}

/// A configuration ready to be enforced: verified, closed, compiled.
#[derive(Debug)]
pub struct Applied {
    /// Number and digest.
    pub stamp: Stamp,
    /// The records.
    pub configuration: Configuration,
    /// Compiled routes.
    pub routes: RouteTable,
}

/// What a node holds.
#[derive(Debug, Default)]
pub struct Holder {
    enforced: Option<Arc<Applied>>,
    /// Newest version heard of, whether or not its content is here.
    announced: Option<Stamp>,
    /// Lowest version that may be enforced: what this address has enforced before.
    floor: Version,
    deltas: Vec<(Version, Stamp, Vec<u8>)>,
}

impl Holder {
    /// What the node enforces.
    pub fn enforced(&self) -> Option<&Arc<Applied>> {
        self.enforced.as_ref()
    }

    /// Stamp of what the node enforces.
    pub fn stamp(&self) -> Stamp {
        self.enforced
            .as_ref()
            .map_or(Stamp::NONE, |applied| applied.stamp)
    }

    /// Lowest version that may be enforced.
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// Raises the floor to what somebody remembers of this node. It never falls.
    pub fn raise_floor(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// Notes that `stamp` exists. It is a reason to fetch, not proof of anything.
    pub fn announce(&mut self, stamp: Stamp) {
        let newest = self.announced.map_or(Version::NONE, |known| known.version);
        if stamp.version > newest {
            self.announced = Some(stamp);
        }
    }

    /// The version to fetch, if one newer than the enforced one has been announced.
    pub fn wanted(&self) -> Option<Stamp> {
        self.announced
            .filter(|stamp| stamp.version > self.stamp().version)
    }

    /// Verifies, checks and compiles `content`, then enforces it whole. On an error nothing has
    /// changed.
    pub fn apply(&mut self, stamp: Stamp, content: &Content) -> Result<Arc<Applied>> {
        let lowest = self.stamp().version;
        ensure!(
            stamp.version > lowest && stamp.version >= self.floor,
            NotNewerSnafu { stamp, lowest }
        );
        let configuration = self.read(stamp, content)?;
        let routes = RouteTable::compile(&configuration).context(OpenSnafu { stamp })?;
        let applied = Arc::new(Applied {
            stamp,
            configuration,
            routes,
        });
        if let Content::Delta(bytes) = content {
            self.keep_delta(lowest, stamp, bytes);
        }
        self.enforced = Some(Arc::clone(&applied));
        Ok(applied)
    }

    /// What to hand to a peer that holds `have`; `None` if it holds as much.
    pub fn content_for(&self, have: Version) -> Option<(Stamp, Content)> {
        let applied = self.enforced.as_ref()?;
        if applied.stamp.version <= have {
            return None;
        }
        let delta = self
            .deltas
            .iter()
            .find(|(parent, stamp, _)| *parent == have && *stamp == applied.stamp);
        let content = match delta {
            Some((_, _, bytes)) => Content::Delta(bytes.clone()),
            None => Content::Snapshot(applied.configuration.to_snapshot()),
        };
        Some((applied.stamp, content))
    }

    fn read(&self, stamp: Stamp, content: &Content) -> Result<Configuration> {
        match content {
            Content::Snapshot(bytes) => Configuration::from_snapshot(bytes, stamp),
            Content::Delta(bytes) => {
                let parent = self.enforced.as_ref().context(NoParentSnafu { stamp })?;
                Delta::from_bytes(bytes).and_then(|delta| delta.apply(&parent.configuration, stamp))
            }
        }
        .context(ContentSnafu { stamp })
    }

    fn keep_delta(&mut self, parent: Version, stamp: Stamp, bytes: &[u8]) {
        if self.deltas.len() == DELTAS_KEPT {
            self.deltas.remove(0);
        }
        self.deltas.push((parent, stamp, bytes.to_vec()));
    }
}
