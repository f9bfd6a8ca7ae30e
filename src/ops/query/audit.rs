//! Reads the audit trail: who published what, when, on top of which version.

use serde::Serialize;

use crate::core::difference::TeamDifference;
use crate::core::names::TeamName;
use crate::core::version::{Stamp, Version};
use crate::ops::query::accepted::{self, Result};
use crate::ops::query::diff;
use crate::store::rows::VersionRow;
use crate::store::{ObjectStore, Table};

/// Which lines of the audit trail to read.
#[derive(Clone, Debug, Default)]
pub struct AuditFilter {
    /// The newest so many versions; `None` for all.
    pub limit: Option<u64>,
    /// Only publications that changed this team's record.
    pub team: Option<TeamName>,
    /// Only publications by this operator.
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

/// One line of the audit trail, with what it changed.
#[derive(Clone, Debug, Serialize)]
pub struct AuditEntry {
    /// As committed with the version.
    #[serde(flatten)]
    pub row: VersionRow,
    /// Record by record, against the parent.
    pub changes: Vec<TeamDifference>,
    /// Whether the parent that it names is the version before it. If not, a row was altered by
    /// something else than `publish`.
    pub parent_matches: bool,
}

/// The selected versions, newest first.
pub async fn history(table: &impl Table, filter: &AuditFilter) -> Result<Vec<VersionRow>> {
    let mut rows = read_versions(table, filter).await?;
    rows.retain(|row| filter.matches(row));
    rows.reverse();
    Ok(rows)
}

/// The selected versions with what each changed, newest first.
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
