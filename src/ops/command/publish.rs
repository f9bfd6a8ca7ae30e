//! Publishes team files, or an earlier version's records, as one accepted version.
//!
//! Like a schema change: read the head, put the changed records in, validate the whole set, store
//! the content, then one conditional transaction moves the head and writes the audit line and the
//! publication's id together. Until that transaction nothing has happened; after it everything
//! has.
//!
//! - Another publication came first ([`Error::Conflict`] or a rebase): see [`plan::ChangeSet::conflicting_teams`].
//! - The transaction's answer was lost: the same transaction is tried again, which is safe since
//!   both carry the same conditions, until [`plan::commit_state`] allows a definite answer or the time
//!   for it is over ([`Error::OutcomeUnknown`]).
//! - [`abandon`] settles an unknown outcome for good without publishing.

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

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest id of a publication in bytes.
const PUBLISH_ID_MAX_BYTES: usize = 64;

/// Whether `text` may be the id of a publication; it becomes part of a row's key.
pub fn is_publish_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    !text.is_empty() && text.len() <= PUBLISH_ID_MAX_BYTES && text.chars().all(allowed)
}

/// What to publish, as whom.
#[derive(Clone, Debug, bon::Builder)]
pub struct PublishOptions {
    /// Id of this publication; a second run with the same id never commits again.
    #[builder(into)]
    pub publish_id: String,
    /// Who publishes, for the audit trail.
    #[builder(into)]
    pub operator: String,
    /// Time of the publication in milliseconds since the epoch.
    pub time_ms: u64,
    /// New or changed records.
    #[builder(default)]
    pub records: Vec<TeamRecord>,
    /// Teams to remove.
    #[builder(default)]
    pub removals: Vec<TeamName>,
    /// Why. A rollback takes its records from the earlier version instead of `records`.
    #[builder(default = PublicationKind::Publish)]
    pub kind: PublicationKind,
    /// Teams to roll back; empty for the whole set.
    #[builder(default)]
    pub rollback_teams: Vec<TeamName>,
    /// The version that the operator saw; by default the accepted one when the command starts.
    pub expected: Option<Version>,
    /// Whether an earlier run with this id may have committed it, or may still do so.
    #[builder(default)]
    pub resumed: bool,
    /// How long to look into a lost answer before its outcome is called unknown, in milliseconds.
    #[builder(default = 3_000)]
    pub settle_limit_ms: u64,
}

impl PublishOptions {
    fn request_digest(&self) -> Digest {
        let change = (&self.records, &self.removals, &self.rollback_teams);
        plan::request_digest(self.kind, &change)
    }
}

/// A publication that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// The version it made.
    pub stamp: Stamp,
    /// How often it was rebased on other teams' publications.
    pub rebases: u32,
    /// Whether an earlier run with the same id had already committed it.
    pub already_published: bool,
    /// What it changed, on top of the version that it was rebased on; empty if the version was
    /// found by its id, since the audit trail has it.
    pub changes: Vec<TeamDifference>,
}

/// Publishes, rebasing on publications of other teams.
pub async fn publish<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Published> {
    match publish_once(platform, options).await {
        Err(refusal) if options.resumed => settle_before_refusal(platform, options, refusal).await,
        outcome => outcome,
    }
}

/// A resumed publication is refused, but an earlier run's commit may still be on its way, or have
/// taken effect. It guards against an operator who is told "nothing was changed" and finds the
/// version in force a moment later: the refusal is given only after the id has been settled.
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
        // The platform fails: settling would fail as well, and going on later may still succeed.
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

/// Which version the publication made, if it took effect.
pub async fn find_published(table: &impl Table, options: &PublishOptions) -> Result<Option<Stamp>> {
    let publish_id = &options.publish_id;
    match publication_row(table, publish_id).await? {
        None => Ok(None),
        Some(PublishRow::Abandoned { .. }) => AbandonedSnafu { publish_id }.fail(),
        Some(PublishRow::Committed { version, request }) => {
            // Guards against an id that is used twice: the second publication would be called
            // done although its records were never published.
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

/// The row under a publication's id. A query; safe at any time.
pub async fn publication_row(table: &impl Table, publish_id: &str) -> Result<Option<PublishRow>> {
    let key = publish_key(publish_id);
    let row = table.row(&key).await;
    let row = row
        .context(accepted::PlatformSnafu {
            what: format!("publication `{publish_id}`"),
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

/// Settles a publication for good without publishing: finds the version that it made, or makes
/// sure that it never takes effect (`None`).
pub async fn abandon(
    table: &impl Table,
    publish_id: &str,
    operator: &str,
    time_ms: u64,
) -> Result<Option<Version>> {
    let transaction = plan::abandon_transaction(publish_id, operator, time_ms);
    // Whatever the answer, the row that is read afterwards is final.
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
            reason: format!("{outcome:?}, yet no row under the id"),
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
        return Ok(ChangeSet::of_records(&options.records, &options.removals));
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

/// Guards against a mistyped team name, which would otherwise be "nothing to publish".
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
