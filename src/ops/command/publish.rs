//! Publishes team files, or the records of an earlier version, as a new accepted version.
//!
//! A publication reads the head, replaces the changed records, validates the whole configuration
//! and stores the content. Then one conditional transaction updates the head, and writes the audit
//! row and the id of the publication. The publication takes effect with this transaction, completely
//! or not at all.
//!
//! - If another publication was accepted in between, this one is rebased or fails with
//!   [`Error::Conflict`]; see [`plan::ChangeSet::conflicting_teams`].
//! - If the transaction's answer is lost, the same transaction is sent again. This is safe because
//!   both have the same conditions, so at most one commits. It is repeated until
//!   [`plan::commit_state`] determines the outcome, or until a time limit, after which the
//!   publication fails with [`Error::OutcomeUnknown`].
//! - [`abandon`] settles an unknown outcome without publishing: it finds the version that the
//!   publication created, or prevents the publication from taking effect later.

mod attempts;
mod error;
pub mod plan;

use snafu::{ResultExt, ensure};

use crate::core::configuration::{Configuration, TeamRecord};
use crate::core::difference::TeamDifference;
use crate::core::names::TeamName;
use crate::core::version::{Digest, Stamp, Version};
use crate::ops::query::accepted;
use crate::store::rows::{PublicationKind, PublishRow, publish_key};
use crate::store::{self, ObjectStore, Table};
use attempts::{Publication, published_version};
use error::{AbandonedSnafu, IdReusedSnafu, NoSuchTeamSnafu, NoSuchVersionSnafu, ReadSnafu};
use plan::ChangeSet;

pub use error::Error;

/// A result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum length of a publication's id in bytes.
const PUBLISH_ID_MAX_BYTES: usize = 64;

/// Whether `text` is a valid id of a publication. The id becomes part of a row's key.
pub fn is_publish_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    !text.is_empty() && text.len() <= PUBLISH_ID_MAX_BYTES && text.chars().all(allowed)
}

/// Options of [`publish`].
#[derive(Clone, Debug, bon::Builder)]
pub struct PublishOptions {
    /// Id of this publication. It commits at most once, also if it is run again with the same id.
    #[builder(into)]
    pub publish_id: String,
    /// Name of the operator, for the audit trail.
    #[builder(into)]
    pub operator: String,
    /// Time of the publication in milliseconds since the epoch.
    pub time_ms: u64,
    /// New and changed records.
    #[builder(default)]
    pub records: Vec<TeamRecord>,
    /// Teams whose records are deleted.
    #[builder(default)]
    pub removals: Vec<TeamName>,
    /// Whether this is a rollback. A rollback uses the records of the earlier version instead of
    /// `records`.
    #[builder(default = PublicationKind::Publish)]
    pub kind: PublicationKind,
    /// Teams to roll back; empty to roll back all teams.
    #[builder(default)]
    pub rollback_teams: Vec<TeamName>,
    /// The version on which the operator based the change. The default is the version that is
    /// accepted when the publication starts.
    pub expected: Option<Version>,
    /// Whether an earlier run with this id may have committed the publication, or may still commit
    /// it.
    #[builder(default)]
    pub resumed: bool,
    /// How long to try to settle a lost answer before the outcome is reported as unknown, in
    /// milliseconds.
    #[builder(default = 3_000)]
    pub settle_limit_ms: u64,
}

impl PublishOptions {
    fn request_digest(&self) -> Digest {
        let change = (&self.records, &self.removals, &self.rollback_teams);
        plan::request_digest(self.kind, &change)
    }
}

/// Result of a publication that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// The version that the publication created.
    pub stamp: Stamp,
    /// How many times it was rebased on publications of other teams.
    pub rebases: u32,
    /// Whether an earlier run with the same id had already committed it.
    pub already_published: bool,
    /// The changes, compared with the version on which it was rebased last. Empty if the version was
    /// found by the publication's id; the audit trail contains the changes then.
    pub changes: Vec<TeamDifference>,
}

/// Publishes a change and rebases it on publications of other teams if necessary.
pub async fn publish<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Published> {
    match publish_once(platform, options).await {
        Err(refusal) if options.resumed => settle_before_refusal(platform, options, refusal).await,
        outcome => outcome,
    }
}

/// Settles a resumed publication before its refusal is returned. The commit of an earlier run may
/// still arrive or may have taken effect, and then the message "nothing was changed" would turn out
/// to be wrong. The refusal is therefore returned only after [`abandon`] has settled the id.
async fn settle_before_refusal<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
    refusal: Error,
) -> Result<Published> {
    let unsettled = |source: Error| Error::Unsettled {
        publish_id: options.publish_id.clone(),
        expected: options.expected,
        source: Box::new(source),
    };
    match &refusal {
        Error::OutcomeUnknown { .. } | Error::Abandoned { .. } | Error::IdReused { .. } => {
            return Err(refusal);
        }
        // While the platform fails, settling would fail as well. A later resume may still succeed.
        Error::Read { .. } | Error::Store { .. } | Error::CommitRefused { .. } => {
            return Err(unsettled(refusal));
        }
        _ => (),
    }
    let PublishOptions {
        publish_id,
        operator,
        time_ms,
        ..
    } = options;
    match abandon(platform, publish_id, operator, *time_ms).await {
        Ok(None) => Err(refusal),
        Ok(Some(_)) => match find_published(platform, options).await {
            Ok(Some(stamp)) => Ok(published_version(stamp, 0, true)),
            Ok(None) => Err(unsettled(refusal)),
            Err(error) => Err(unsettled(error)),
        },
        Err(error) => Err(unsettled(error)),
    }
}

async fn publish_once<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Published> {
    if let Some(stamp) = find_published(platform, options).await? {
        return Ok(published_version(stamp, 0, true));
    }
    let expected = expected_configuration(platform, options).await?;
    let changes = change_set(platform, options, &expected).await?;
    let mut publication = Publication {
        platform,
        options,
        expected,
        changes,
        unsettled: None,
    };
    publication.run().await
}

/// Finds the version that the publication created, if it has taken effect.
pub async fn find_published(table: &impl Table, options: &PublishOptions) -> Result<Option<Stamp>> {
    let publish_id = &options.publish_id;
    match publication_row(table, publish_id).await? {
        None => Ok(None),
        Some(PublishRow::Abandoned { .. }) => AbandonedSnafu { publish_id }.fail(),
        Some(PublishRow::Committed { version, request }) => {
            // Without this check, a second publication with a used id would be reported as done
            // although its records were not published.
            let same_request = request == options.request_digest();
            ensure!(
                same_request,
                IdReusedSnafu {
                    publish_id,
                    version
                }
            );
            let row = accepted::version_row(table, version).await;
            Ok(Some(row.context(ReadSnafu)?.stamp))
        }
    }
}

/// Reads the row of a publication's id. This changes nothing, so it is safe at any time.
pub async fn publication_row(table: &impl Table, publish_id: &str) -> Result<Option<PublishRow>> {
    let key = publish_key(publish_id);
    let row = table.row(&key).await;
    let row = row
        .context(accepted::PlatformSnafu {
            item: format!("publication `{publish_id}`"),
        })
        .context(ReadSnafu)?;
    let Some(row) = row else {
        return Ok(None);
    };
    serde_json::from_str(&row.value)
        .context(accepted::RowSnafu { key })
        .context(ReadSnafu)
        .map(Some)
}

/// Settles a publication without publishing it. Returns the version that it created, or `None` after
/// making sure that it can never take effect.
pub async fn abandon(
    table: &impl Table,
    publish_id: &str,
    operator: &str,
    time_ms: u64,
) -> Result<Option<Version>> {
    let transaction = plan::abandon_transaction(publish_id, operator, time_ms);
    // The row that is read after the transaction is final, whatever the transaction's result.
    let answer = table.transact(&transaction).await;
    let unknown = |source| Error::OutcomeUnknown {
        publish_id: publish_id.to_owned(),
        expected: None,
        source,
    };
    match (publication_row(table, publish_id).await, answer) {
        (Ok(Some(PublishRow::Committed { version, .. })), _) => Ok(Some(version)),
        (Ok(Some(PublishRow::Abandoned { .. })), _) => Ok(None),
        (_, Err(source)) => Err(unknown(source)),
        (Ok(None), Ok(outcome)) => Err(unknown(store::Error::Protocol {
            reason: format!("the transaction ended with {outcome:?}, but the id has no row"),
        })),
        (Err(error), Ok(_)) => Err(Error::Unsettled {
            publish_id: publish_id.to_owned(),
            expected: None,
            source: Box::new(error),
        }),
    }
}

async fn expected_configuration<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Configuration> {
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let head = head.stamp.version;
    let version = options.expected.unwrap_or(head);
    ensure!(version <= head, NoSuchVersionSnafu { version, head });
    let expected = accepted::configuration(platform, version).await;
    expected.context(ReadSnafu)
}

async fn change_set<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
    expected: &Configuration,
) -> Result<ChangeSet> {
    let PublicationKind::Rollback { to } = options.kind else {
        require_teams(&options.removals, &[expected])?;
        return Ok(ChangeSet::from_records(&options.records, &options.removals));
    };
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let head = head.stamp.version;
    ensure!(to <= head, NoSuchVersionSnafu { version: to, head });
    let earlier = accepted::configuration(platform, to).await;
    let earlier = earlier.context(ReadSnafu)?;
    require_teams(&options.rollback_teams, &[expected, &earlier])?;
    let teams = &options.rollback_teams;
    Ok(ChangeSet::rollback(&earlier, expected, teams))
}

/// Rejects teams that have no record in any of `configurations`. Without this check a misspelt team
/// name would lead to the misleading message "nothing to publish".
fn require_teams(teams: &[TeamName], configurations: &[&Configuration]) -> Result<()> {
    for team in teams {
        let exists = configurations
            .iter()
            .any(|configuration| configuration.teams.contains_key(team));
        let version = configurations[0].version;
        ensure!(
            exists,
            NoSuchTeamSnafu {
                team: team.clone(),
                version
            }
        );
    }
    Ok(())
}
