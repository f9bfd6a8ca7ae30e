//! Errors of a publication.

use snafu::Snafu;

use super::attempts::COMMIT_ATTEMPTS_MAX;
use crate::core::difference::{self, TeamDifference};
use crate::core::names::TeamName;
use crate::core::routing;
use crate::core::version::Version;
use crate::ops::query::accepted;
use crate::store;

/// Why a publication failed, or why its outcome is unknown.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The accepted configuration could not be read; nothing was changed.
    #[snafu(display("cannot read the accepted configuration"))]
    Read {
        /// The error of the read.
        source: accepted::Error,
    },
    /// The expected version, or the one to roll back to, is later than the accepted one; nothing was
    /// changed.
    #[snafu(display("there is no version {version} yet; the accepted version is {head}"))]
    NoSuchVersion {
        /// The requested version.
        version: Version,
        /// The accepted version.
        head: Version,
    },
    /// A team to remove or to roll back has no record; nothing was changed.
    #[snafu(display("team `{team}` has no record in version {version}"))]
    NoSuchTeam {
        /// The team without a record.
        team: TeamName,
        /// The version that has no record of the team.
        version: Version,
    },
    /// The resulting configuration is invalid as a whole; nothing was changed.
    #[snafu(display("the resulting configuration is invalid"))]
    Invalid {
        /// The invalid reference or duplicate.
        source: routing::Error,
    },
    /// Other publications have changed the same teams since the expected version; nothing was
    /// changed.
    #[snafu(display(
        "published by others since version {expected}, which this publication is based on; \
         version {current} is accepted now, with these differences:\n{}",
        difference::to_text(differences).trim_end()
    ))]
    Conflict {
        /// The version that this publication is based on.
        expected: Version,
        /// The accepted version.
        current: Version,
        /// Changes that others made to the conflicting teams' records.
        differences: Vec<TeamDifference>,
    },
    /// The accepted version already contains the records; nothing was changed.
    #[snafu(display("nothing to publish: version {version} already holds these records"))]
    Unchanged {
        /// The accepted version.
        version: Version,
    },
    /// The content could not be stored, so nothing was committed; nothing was changed.
    #[snafu(display("cannot store the content of version {version}"))]
    Store {
        /// The version that the publication would have created.
        version: Version,
        /// The error of the object store.
        source: store::Error,
    },
    /// The platform refused the commit; nothing was changed.
    #[snafu(display("the platform refused the commit of version {version}"))]
    CommitRefused {
        /// The version that the publication would have created.
        version: Version,
        /// The error of the platform.
        source: store::Error,
    },
    /// Other publications were accepted first in every attempt; nothing was changed.
    #[snafu(display(
        "gave up after {COMMIT_ATTEMPTS_MAX} attempts, since other publications were accepted \
         first each time"
    ))]
    Contended,
    /// The id belongs to a publication that was abandoned; nothing was changed.
    #[snafu(display("publication `{publish_id}` was abandoned and can't take effect any more"))]
    Abandoned {
        /// Id of the publication.
        publish_id: String,
    },
    /// The id belongs to a publication of other records; this run changed nothing.
    #[snafu(display(
        "publication `{publish_id}` already made version {version}, from other records"
    ))]
    IdReused {
        /// Id of the publication.
        publish_id: String,
        /// The version that the earlier publication created.
        version: Version,
    },
    /// The answer to the commit was lost, and the outcome could not be determined yet.
    #[snafu(display("the outcome of publication `{publish_id}` is unknown"))]
    OutcomeUnknown {
        /// Id by which the publication can be settled.
        publish_id: String,
        /// The version that the publication is based on; `None` if the publication was only to be
        /// settled.
        expected: Option<Version>,
        /// The error that left the outcome unknown.
        source: store::Error,
    },
    /// The outcome of an earlier run's commit could not be determined yet.
    #[snafu(display("whether publication `{publish_id}` took effect is still unknown"))]
    Unsettled {
        /// Id by which the publication can be settled.
        publish_id: String,
        /// The version that the publication is based on; `None` if the publication was only to be
        /// settled.
        expected: Option<Version>,
        /// The error that left the outcome unknown.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },
}
