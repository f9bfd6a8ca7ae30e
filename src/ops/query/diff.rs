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

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why there is no comparison.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Reading failed.
    #[snafu(display("reading the accepted configuration"))]
    Read {
        /// What failed.
        source: accepted::Error,
    },
    /// A version that was never accepted.
    #[snafu(display("there is no version {version} yet; the accepted one is {head}"))]
    NoSuchVersion {
        /// As asked for.
        version: Version,
        /// The accepted one.
        head: Version,
    },
}

/// A comparison.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// The version compared with; to be given to `publish --expect`.
    pub from: Version,
    /// The other version; `None` for files that are not published.
    pub to: Option<Version>,
    /// Team by team; empty if nothing differs.
    pub teams: Vec<TeamDifference>,
}

/// What publishing `records` and removing `removals` now would change.
pub async fn against_accepted<P: Table + ObjectStore>(
    platform: &P,
    records: &[TeamRecord],
    removals: &[TeamName],
) -> Result<Diff> {
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let from = head.stamp.version;
    let base = accepted::configuration(platform, from).await;
    let base = base.context(ReadSnafu)?;
    let child = ChangeSet::of_records(records, removals).child_of(&base);
    Ok(Diff {
        from,
        to: None,
        teams: difference::between(&base, &child),
    })
}

/// What changed from one version to another; `None` is the accepted one.
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

/// The difference between two versions that were accepted.
pub(crate) async fn compare_versions<P: Table + ObjectStore>(
    platform: &P,
    from: Version,
    to: Version,
) -> accepted::Result<Vec<TeamDifference>> {
    let before = accepted::configuration(platform, from).await?;
    let after = accepted::configuration(platform, to).await?;
    Ok(difference::between(&before, &after))
}
