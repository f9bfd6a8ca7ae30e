//! Compares configurations record by record.

use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::core::configuration::TeamRecord;
use crate::core::difference::{self, TeamDifference};
use crate::core::names::TeamName;
use crate::core::version::Version;
use crate::ops::command::publish::plan::ChangeSet;
use crate::ops::query::accepted;
use crate::store::{ObjectStore, Table};

/// A result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a comparison failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The accepted configuration could not be read.
    #[snafu(display("cannot read the accepted configuration"))]
    Read {
        /// The error of the read.
        source: accepted::Error,
    },
    /// The requested version is later than the accepted one.
    #[snafu(display("there is no version {version} yet; the accepted version is {head}"))]
    NoSuchVersion {
        /// The requested version.
        version: Version,
        /// The accepted version.
        head: Version,
    },
}

/// The result of a comparison.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// The version compared with. It can be passed to `publish --expect`.
    pub from: Version,
    /// The other version; `None` if team files were compared.
    pub to: Option<Version>,
    /// Differences by team; empty if the configurations are equal.
    pub teams: Vec<TeamDifference>,
}

/// Computes what publishing `records` and removing the teams `removals` would change in the accepted
/// configuration.
pub async fn against_accepted<P: Table + ObjectStore>(
    platform: &P,
    records: &[TeamRecord],
    removals: &[TeamName],
) -> Result<Diff> {
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let from = head.stamp.version;
    let base = accepted::configuration(platform, from).await;
    let base = base.context(ReadSnafu)?;
    let child = ChangeSet::from_records(records, removals).child_of(&base);
    Ok(Diff {
        from,
        to: None,
        teams: difference::between(&base, &child),
    })
}

/// Compares two versions. Without `to`, compares `from` with the accepted version.
pub async fn between_versions<P: Table + ObjectStore>(
    platform: &P,
    from: Version,
    to: Option<Version>,
) -> Result<Diff> {
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let head = head.stamp.version;
    let to = to.unwrap_or(head);
    for version in [from, to] {
        ensure!(version <= head, NoSuchVersionSnafu { version, head });
    }
    let teams = compare_versions(platform, from, to).await;
    Ok(Diff {
        from,
        to: Some(to),
        teams: teams.context(ReadSnafu)?,
    })
}

/// Reads two accepted versions and compares their records.
pub(crate) async fn compare_versions<P: Table + ObjectStore>(
    platform: &P,
    from: Version,
    to: Version,
) -> accepted::Result<Vec<TeamDifference>> {
    let before = accepted::configuration(platform, from).await?;
    let after = accepted::configuration(platform, to).await?;
    Ok(difference::between(&before, &after))
}
