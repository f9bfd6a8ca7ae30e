//! The configuration that a node holds, and the rules for replacing it.

use std::sync::{Arc, OnceLock};

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::core::configuration::{self, Configuration, Delta};
use crate::core::routing::{self, RouteTable};
use crate::core::version::{Stamp, Version};

/// Result of preparing or enforcing a configuration.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Number of deltas that are kept for peers. A peer that is further behind gets a snapshot.
const DELTAS_KEPT: usize = 8;

/// Why content was not applied. The node keeps enforcing what it enforced before.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The content is damaged or does not have the announced digest.
    #[snafu(display("the content of version {stamp} is invalid"))]
    Content {
        /// Stamp that was announced for the content.
        stamp: Stamp,
        /// Why it could not be read.
        #[snafu(source(from(configuration::Error, Box::new)))]
        source: Box<configuration::Error>,
    },
    /// A reference in the configuration does not resolve, or two of its routes or services
    /// conflict.
    #[snafu(display("version {stamp} has invalid references or routes"))]
    Open {
        /// Stamp of the configuration.
        stamp: Stamp,
        /// The invalid reference, route or service.
        source: routing::Error,
    },
    /// The version is not newer than the held or enforced one, or it is below the floor.
    #[snafu(display("version {stamp} is not newer than version {lowest}"))]
    NotNewer {
        /// Stamp that was offered.
        stamp: Stamp,
        /// Version that it was compared with.
        lowest: Version,
    },
    /// A chain of deltas leads to another version or digest than announced.
    #[snafu(display("the delta chain to version {stamp} ends at version {found}"))]
    Chain {
        /// Stamp that was announced for the chain.
        stamp: Stamp,
        /// Stamp that the chain leads to.
        found: Stamp,
    },
    /// A delta was received, but there is no held version to apply it to.
    #[snafu(display("the delta to version {stamp} cannot be applied: no version is held"))]
    NoParent {
        /// Stamp that was announced for the delta.
        stamp: Stamp,
    },
}

/// Content of a version, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The difference from the parent version.
    Delta(Vec<u8>),
    /// The whole configuration.
    Snapshot(Vec<u8>),
    /// Deltas from an older version to the newest one, oldest first.
    Chain(Vec<DeltaStep>),
}

/// One delta of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeltaStep {
    /// Stamp of the configuration after this delta.
    pub stamp: Stamp,
    /// The difference from the preceding version.
    pub delta: Vec<u8>,
}

impl Content {
    /// Size of the content in bytes.
    pub fn len_bytes(&self) -> usize {
        match self {
            Self::Delta(bytes) | Self::Snapshot(bytes) => bytes.len(),
            Self::Chain(steps) => steps.iter().map(|step| step.delta.len()).sum(),
        }
    }
}

/// A configuration that is ready to be enforced: verified, with all references resolved, and
/// compiled.
#[derive(Debug)]
pub struct CompiledConfiguration {
    /// Version and digest.
    pub stamp: Stamp,
    /// The teams' records.
    pub configuration: Configuration,
    /// Routes compiled for lookup.
    pub routes: RouteTable,
    /// Compressed snapshot, created when a peer first needs it.
    snapshot: OnceLock<Vec<u8>>,
}

impl CompiledConfiguration {
    fn snapshot(&self) -> &[u8] {
        self.snapshot
            .get_or_init(|| self.configuration.to_snapshot())
    }
}

/// The versions that a node holds and enforces.
///
/// Content is first [prepared](Self::prepare): verified, checked for unresolved references,
/// compiled, and offered to peers. It is [enforced](Self::enforce) in a second step, once the
/// node's floor is known and peers have acknowledged that this node is about to enforce it; see
/// [`super::floor`].
#[derive(Debug, Default)]
pub struct Holder {
    enforced: Option<Arc<CompiledConfiguration>>,
    /// Newest prepared version: the enforced one or a later one.
    held: Option<Arc<CompiledConfiguration>>,
    /// Newest known version, whether or not its content is held.
    announced: Option<Stamp>,
    /// Lowest version that may be enforced, because this address may have enforced it before.
    floor: Version,
    deltas: Vec<(Version, DeltaStep)>,
}

impl Holder {
    /// The configuration that the node enforces.
    pub fn enforced(&self) -> Option<&Arc<CompiledConfiguration>> {
        self.enforced.as_ref()
    }

    /// Stamp of the configuration that the node enforces.
    pub fn stamp(&self) -> Stamp {
        stamp_of(self.enforced.as_ref())
    }

    /// Stamp of the newest held version.
    pub fn held(&self) -> Stamp {
        stamp_of(self.held.as_ref())
    }

    /// Lowest version that may be enforced.
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// Raises the floor to `version`, which was reported for this address. The floor never falls.
    pub fn raise_floor(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// Records that `stamp` was announced. An announcement only triggers a fetch; the fetched
    /// content is verified before it is held.
    pub fn note_announced(&mut self, stamp: Stamp) {
        let newest = self.announced.map_or(Version::NONE, |known| known.version);
        if stamp.version > newest {
            self.announced = Some(stamp);
        }
    }

    /// The version to fetch: the newest announced one, if it is newer than the held one.
    pub fn wanted(&self) -> Option<Stamp> {
        self.announced
            .filter(|stamp| stamp.version > self.held().version)
    }

    /// The held version, if it may be enforced: it is newer than the enforced one and not below the
    /// floor.
    pub fn enforceable(&self) -> Option<Stamp> {
        let held = self.held();
        let may = held.version > self.stamp().version && held.version >= self.floor;
        may.then_some(held)
    }

    /// Verifies, checks and compiles `content`, and holds the result for peers and for
    /// [`Self::enforce`]. An error changes nothing.
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

    /// Like [`Self::prepare`], for a whole configuration that was read from the store and whose
    /// stamp was not announced before.
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

    /// Switches to the held version if [`Self::enforceable`] allows it.
    pub fn enforce(&mut self) -> Option<Arc<CompiledConfiguration>> {
        self.enforceable()?;
        self.enforced.clone_from(&self.held);
        self.enforced.clone()
    }

    /// Prepares and enforces content in one step. An error changes nothing.
    pub fn apply(&mut self, stamp: Stamp, content: &Content) -> Result<Arc<CompiledConfiguration>> {
        let lowest = self.floor;
        ensure!(stamp.version >= lowest, NotNewerSnafu { stamp, lowest });
        self.prepare(stamp, content)?;
        let lowest = self.stamp().version;
        self.enforce().context(NotNewerSnafu { stamp, lowest })
    }

    /// Content for a peer that holds version `have`; `None` if that is not older than the held
    /// version. Deltas if they are available from `have` on and smaller than a snapshot.
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

    /// The kept deltas that lead from `have` to the held version; empty if one of them is missing.
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

/// Applies a chain of deltas. The versions of the steps have to increase: a delta that is applied
/// to another version than its parent can seem to lead to an older one. If the node kept such a
/// delta for its peers, [`Holder::steps_from`] would follow the kept deltas in an endless loop.
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
