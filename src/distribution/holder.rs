//! The configuration that a node holds, and the rule by which it is replaced.

use std::sync::{Arc, OnceLock};

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
    /// A chain of deltas that ends elsewhere.
    #[snafu(display("a chain to {stamp} ends at {found}"))]
    Chain {
        /// What was offered.
        stamp: Stamp,
        /// Where it ends.
        found: Stamp,
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
    /// Differences that lead from an older version to the newest, one by one.
    Chain(Vec<DeltaStep>),
}

/// One difference of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeltaStep {
    /// What it leads to.
    pub stamp: Stamp,
    /// The difference from the version before.
    pub delta: Vec<u8>,
}

impl Content {
    /// Length of the content.
    pub fn len_bytes(&self) -> usize {
        match self {
            Self::Delta(bytes) | Self::Snapshot(bytes) => bytes.len(),
            Self::Chain(steps) => steps.iter().map(|step| step.delta.len()).sum(),
        }
    }
}

/// A configuration ready to be enforced: verified, closed, compiled.
#[derive(Debug)]
pub struct CompiledConfiguration {
    /// Number and digest.
    pub stamp: Stamp,
    /// The records.
    pub configuration: Configuration,
    /// Compiled routes.
    pub routes: RouteTable,
    /// The compressed whole, made when a peer first needs it.
    snapshot: OnceLock<Vec<u8>>,
}

impl CompiledConfiguration {
    fn snapshot(&self) -> &[u8] {
        self.snapshot
            .get_or_init(|| self.configuration.to_snapshot())
    }
}

/// What a node holds.
///
/// Content is first [prepared](Self::prepare): verified, checked for closure, compiled, and handed
/// to peers that ask. It is [enforced](Self::enforce) in a second step, once the node's floor is
/// known and somebody else remembers that this node is about to enforce it; see
/// [`super::floor`].
#[derive(Debug, Default)]
pub struct Holder {
    enforced: Option<Arc<CompiledConfiguration>>,
    /// Newest version prepared; the enforced one or a later one.
    held: Option<Arc<CompiledConfiguration>>,
    /// Newest version heard of, whether or not its content is here.
    announced: Option<Stamp>,
    /// Lowest version that may be enforced: what this address has enforced before.
    floor: Version,
    deltas: Vec<(Version, DeltaStep)>,
}

impl Holder {
    /// What the node enforces.
    pub fn enforced(&self) -> Option<&Arc<CompiledConfiguration>> {
        self.enforced.as_ref()
    }

    /// Stamp of what the node enforces.
    pub fn stamp(&self) -> Stamp {
        stamp_of(self.enforced.as_ref())
    }

    /// Stamp of the newest version whose content is here.
    pub fn held(&self) -> Stamp {
        stamp_of(self.held.as_ref())
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
    pub fn note_announced(&mut self, stamp: Stamp) {
        let newest = self.announced.map_or(Version::NONE, |known| known.version);
        if stamp.version > newest {
            self.announced = Some(stamp);
        }
    }

    /// The version to fetch, if one newer than the held one has been announced.
    pub fn wanted(&self) -> Option<Stamp> {
        self.announced
            .filter(|stamp| stamp.version > self.held().version)
    }

    /// The version that may be enforced next: newer than the enforced one, not below the floor.
    pub fn enforceable(&self) -> Option<Stamp> {
        let held = self.held();
        let may = held.version > self.stamp().version && held.version >= self.floor;
        may.then_some(held)
    }

    /// Verifies, checks and compiles `content`, and holds it for peers and for
    /// [`Self::enforce`]. On an error nothing has changed.
    pub fn prepare(
        &mut self,
        stamp: Stamp,
        content: &Content,
    ) -> Result<Arc<CompiledConfiguration>> {
        let lowest = self.held().version;
        ensure!(stamp.version > lowest, NotNewerSnafu { stamp, lowest });
        let configuration = self.decode(stamp, content)?;
        let compiled = compile(stamp, configuration)?;
        self.keep_deltas(lowest, stamp, content);
        self.held = Some(Arc::clone(&compiled));
        Ok(compiled)
    }

    /// The same for a configuration that was read as a whole, and not as content of a known stamp.
    pub fn prepare_configuration(
        &mut self,
        configuration: Configuration,
    ) -> Result<Arc<CompiledConfiguration>> {
        let stamp = configuration.stamp();
        let lowest = self.held().version;
        ensure!(stamp.version > lowest, NotNewerSnafu { stamp, lowest });
        let compiled = compile(stamp, configuration)?;
        if let Some(parent) = &self.held {
            let delta = Delta::between(&parent.configuration, &compiled.configuration);
            let delta = delta.to_bytes(&parent.configuration);
            self.keep_delta(lowest, DeltaStep { stamp, delta });
        }
        self.held = Some(Arc::clone(&compiled));
        Ok(compiled)
    }

    /// Enforces what is held, whole, if [`Self::enforceable`] allows it.
    pub fn enforce(&mut self) -> Option<Arc<CompiledConfiguration>> {
        self.enforceable()?;
        self.enforced.clone_from(&self.held);
        self.enforced.clone()
    }

    /// Prepares and enforces in one step. On an error nothing has changed.
    pub fn apply(&mut self, stamp: Stamp, content: &Content) -> Result<Arc<CompiledConfiguration>> {
        let lowest = self.floor;
        ensure!(stamp.version >= lowest, NotNewerSnafu { stamp, lowest });
        self.prepare(stamp, content)?;
        let lowest = self.stamp().version;
        self.enforce().context(NotNewerSnafu { stamp, lowest })
    }

    /// What to hand to a peer that holds `have`; `None` if it holds as much. Deltas where they
    /// lead from there to here and are shorter than the whole.
    pub fn content_for(&self, have: Version) -> Option<(Stamp, Content)> {
        let held = self.held.as_ref()?;
        if held.stamp.version <= have {
            return None;
        }
        let steps = self.steps_from(have);
        let steps_bytes: usize = steps.iter().map(|step| step.delta.len()).sum();
        let content = match steps.as_slice() {
            [] => Content::Snapshot(held.snapshot().to_vec()),
            [only] => Content::Delta(only.delta.clone()),
            _ if steps_bytes >= held.snapshot().len() => {
                Content::Snapshot(held.snapshot().to_vec())
            }
            _ => Content::Chain(steps.into_iter().cloned().collect()),
        };
        Some((held.stamp, content))
    }

    /// The kept deltas from `have` to the held version; empty if one is missing.
    fn steps_from(&self, have: Version) -> Vec<&DeltaStep> {
        let mut reached = have;
        let mut steps = Vec::new();
        while reached < self.held().version {
            let next = self.deltas.iter().find(|(parent, _)| *parent == reached);
            let Some((_, step)) = next else {
                return Vec::new();
            };
            reached = step.stamp.version;
            steps.push(step);
        }
        steps
    }

    fn decode(&self, stamp: Stamp, content: &Content) -> Result<Configuration> {
        let parent = || {
            let held = self.held.as_ref();
            held.map(|held| &held.configuration)
                .context(NoParentSnafu { stamp })
        };
        match content {
            Content::Snapshot(bytes) => Configuration::from_snapshot(bytes, stamp),
            Content::Delta(bytes) => apply_delta(parent()?, stamp, bytes),
            Content::Chain(steps) => return apply_chain(parent()?, stamp, steps),
        }
        .context(ContentSnafu { stamp })
    }

    fn keep_deltas(&mut self, parent: Version, stamp: Stamp, content: &Content) {
        match content {
            Content::Snapshot(_) => (),
            Content::Delta(bytes) => {
                let delta = bytes.clone();
                self.keep_delta(parent, DeltaStep { stamp, delta });
            }
            Content::Chain(steps) => {
                let mut parent = parent;
                for step in steps {
                    self.keep_delta(parent, step.clone());
                    parent = step.stamp.version;
                }
            }
        }
    }

    fn keep_delta(&mut self, parent: Version, step: DeltaStep) {
        if self.deltas.len() == DELTAS_KEPT {
            self.deltas.remove(0);
        }
        self.deltas.push((parent, step));
    }
}

fn compile(stamp: Stamp, configuration: Configuration) -> Result<Arc<CompiledConfiguration>> {
    let routes = RouteTable::compile(&configuration).context(OpenSnafu { stamp })?;
    Ok(Arc::new(CompiledConfiguration {
        stamp,
        configuration,
        routes,
        snapshot: OnceLock::new(),
    }))
}

fn stamp_of(compiled: Option<&Arc<CompiledConfiguration>>) -> Stamp {
    compiled.map_or(Stamp::NONE, |compiled| compiled.stamp)
}

/// Steps have to rise: read against another version than its parent, a difference may seem to lead back to an
/// older one, and a node would go round in circles among its kept differences.
fn apply_chain(parent: &Configuration, stamp: Stamp, steps: &[DeltaStep]) -> Result<Configuration> {
    let mut reached = parent.clone();
    for step in steps {
        let lowest = reached.version;
        ensure!(
            step.stamp.version > lowest,
            NotNewerSnafu {
                stamp: step.stamp,
                lowest
            }
        );
        let next = apply_delta(&reached, step.stamp, &step.delta);
        reached = next.context(ContentSnafu { stamp })?;
    }
    let found = reached.stamp();
    ensure!(found == stamp, ChainSnafu { stamp, found });
    Ok(reached)
}

fn apply_delta(
    parent: &Configuration,
    stamp: Stamp,
    bytes: &[u8],
) -> configuration::Result<Configuration> {
    Delta::from_bytes(bytes, parent).and_then(|delta| delta.apply(parent, stamp))
}
