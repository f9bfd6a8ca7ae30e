//! Why nothing was published, or why that is not known.

use snafu::Snafu;

use super::attempts::COMMIT_ATTEMPTS_MAX;
use crate::core::difference::{self, TeamDifference};
use crate::core::names::TeamName;
use crate::core::routing;
use crate::core::version::Version;
use crate::ops::query::accepted;
use crate::store;

/// Why nothing was published, or why that is not known.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Reading the accepted configuration failed; nothing was changed.
    #[snafu(display("reading the accepted configuration"))]
    Read {
        /// What failed.
        source: accepted::Error,
    },
    /// The version that the operator saw, or wants back, was never accepted; nothing was changed.
    #[snafu(display("there is no version {version} yet; the accepted one is {head}"))]
    NoSuchVersion {
        /// As asked for.
        version: Version,
        /// The accepted one.
        head: Version,
    },
    /// A team that is to be removed or rolled back has no record; nothing was changed.
    #[snafu(display("team `{team}` has no record in version {version}"))]
    NoSuchTeam {
        /// The team.
        team: TeamName,
        /// Where it was looked for.
        version: Version,
    },
    /// The whole set does not close; nothing was changed.
    #[snafu(display("the configuration as a whole is refused"))]
    Invalid {
        /// The open reference.
        source: routing::Error,
    },
    /// Another publication changed the same teams since the operator looked; nothing was changed.
    #[snafu(display(
        "published by others since version {expected}, which this publication is based on; \
         version {current} stands now, with these differences:\n{}",
        difference::to_text(differences).trim_end()
    ))]
    Conflict {
        /// The version that this publication is based on.
        expected: Version,
        /// The version that now stands.
        current: Version,
        /// What the others changed in the raced teams' records.
        differences: Vec<TeamDifference>,
    },
    /// The records are what is already accepted; nothing was changed.
    #[snafu(display("nothing to publish: version {version} already holds these records"))]
    Unchanged {
        /// The version that holds them.
        version: Version,
    },
    /// Storing content failed before the commit; nothing was changed.
    #[snafu(display("storing the content of version {version}"))]
    Store {
        /// The version that was to be.
        version: Version,
        /// What failed.
        source: store::Error,
    },
    /// The platform did not take the commit; nothing was changed.
    #[snafu(display("the platform refused the commit of version {version}"))]
    CommitRefused {
        /// The version that was to be.
        version: Version,
        /// How it refused.
        source: store::Error,
    },
    /// Others kept publishing; nothing was changed.
    #[snafu(display("others published {COMMIT_ATTEMPTS_MAX} times in a row meanwhile"))]
    Contended,
    /// The id belongs to a publication that was abandoned; nothing was changed.
    #[snafu(display("publication `{publish_id}` was abandoned and can't take effect any more"))]
    Abandoned {
        /// The id.
        publish_id: String,
    },
    /// The id belongs to a publication of something else; nothing was changed now.
    #[snafu(display(
        "publication `{publish_id}` already made version {version}, from other records"
    ))]
    IdReused {
        /// The id.
        publish_id: String,
        /// What it made.
        version: Version,
    },
    /// The commit's answer was lost and could not be looked up yet.
    #[snafu(display("the outcome of publication `{publish_id}` is unknown"))]
    OutcomeUnknown {
        /// Id to settle it by.
        publish_id: String,
        /// The version that the publication is based on; not known when only settling.
        expected: Option<Version>,
        /// What failed.
        source: store::Error,
    },
    /// An earlier run's commit could not be looked up yet.
    #[snafu(display("whether publication `{publish_id}` took effect is still unknown"))]
    Unsettled {
        /// Id to settle it by.
        publish_id: String,
        /// The version that the publication is based on; not known when only settling.
        expected: Option<Version>,
        /// What failed.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },
}
