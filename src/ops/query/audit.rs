//! Reads the audit trail: who published which changes, when, and based on which version.

use serde::Serialize;

use crate::core::difference::TeamDifference;
use crate::core::names::TeamName;
use crate::core::version::{Stamp, Version};
use crate::ops::query::accepted::{self, Result};
use crate::ops::query::diff;
use crate::store::rows::VersionRow;
use crate::store::{ObjectStore, Table};

/// Which versions of the audit trail to return.
#[derive(Clone, Debug, Default)]
pub struct AuditFilter {
    /// How many of the newest versions to search; `None` for all.
    pub limit: Option<u64>,
    /// Return only publications that changed this team's record.
    pub team: Option<TeamName>,
    /// Return only publications by this operator.
    pub operator: Option<String>,
}

impl AuditFilter {
    fn matches(&self, row: &VersionRow) -> bool {
        let team = self.team.as_ref();
        let operator = self.operator.as_ref();
        team.is_none_or(|team| row.teams_changed.contains(team))
            && operator.is_none_or(|operator| row.operator == *operator)
    }
}

/// One version of the audit trail, with the changes that it made.
#[derive(Clone, Debug, Serialize)]
pub struct AuditEntry {
    /// The row that was committed with the version.
    #[serde(flatten)]
    pub row: VersionRow,
    /// Changed records, compared with the parent version.
    pub changes: Vec<TeamDifference>,
    /// Whether the row's parent is the preceding version. If not, something other than `publish`
    /// has changed a row.
    pub parent_matches: bool,
}

/// Reads the audit rows that match `filter`, newest first.
pub async fn history(table: &impl Table, filter: &AuditFilter) -> Result<Vec<VersionRow>> {
    let mut rows = read_versions(table, filter).await?;
    rows.retain(|row| filter.matches(row));
    rows.reverse();
    Ok(rows)
}

/// Reads the versions that match `filter`, newest first, each with its changes.
pub async fn audit<P: Table + ObjectStore>(
    platform: &P,
    filter: &AuditFilter,
) -> Result<Vec<AuditEntry>> {
    let rows = history(platform, filter).await?;
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        entries.push(entry(platform, row).await?);
    }
    Ok(entries)
}

async fn entry<P: Table + ObjectStore>(platform: &P, row: VersionRow) -> Result<AuditEntry> {
    let parent = row.parent.version;
    let expected = match parent {
        Version::NONE => Stamp::NONE,
        _ => accepted::version_row(platform, parent).await?.stamp,
    };
    let changes = diff::compare_versions(platform, parent, row.stamp.version).await?;
    Ok(AuditEntry {
        parent_matches: row.parent == expected && parent.next() == row.stamp.version,
        changes,
        row,
    })
}

async fn read_versions(table: &impl Table, filter: &AuditFilter) -> Result<Vec<VersionRow>> {
    let head = accepted::head(table).await?.stamp.version;
    let limit = filter.limit.unwrap_or(head.0);
    let after = Version(head.0.saturating_sub(limit));
    accepted::versions(table, after).await
}
