//! Publishes team files as one accepted version.
//!
//! Like a schema change: read the head, put the changed records in, validate the whole set, store
//! the content, then one conditional transaction moves the head and writes the audit line and the
//! publication's id together. Until that transaction nothing has happened; after it everything
//! has. Its answer may be lost: the row under the publication's id then tells, and the id makes a
//! second commit of the same publication impossible.

use std::collections::BTreeSet;

use snafu::{ResultExt, Snafu, ensure};

use crate::core::configuration::{Configuration, Delta, TeamRecord};
use crate::core::names::TeamName;
use crate::core::routing::{self, RouteTable};
use crate::core::version::{Digest, Stamp, Version};
use crate::ops::query::accepted;
use crate::platform::rows::{
    HEAD_KEY, HeadRow, PublicationKind, PublishRow, VersionRow, publish_key, version_key,
};
use crate::platform::{self, Condition, ObjectStore, Outcome, Table, Transaction};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Rounds of rebase before giving up. Two operators at once need one or two; more than this means
/// that something publishes in a loop, and a refusal is clearer than an endless race.
const REBASE_ROUNDS_MAX: u32 = 8;

/// Why nothing was published, or why that is not known.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Reading the accepted configuration failed; nothing was changed.
    #[snafu(display("reading the accepted configuration"))]
    Read {
        /// What failed.
        source: accepted::Error,
    },
    /// The whole set does not close; nothing was changed.
    #[snafu(display("the configuration as a whole is refused"))]
    Invalid {
        /// The open reference.
        source: routing::Error,
    },
    /// Another publication changed the same team since it was read; nothing was changed.
    #[snafu(display(
        "team `{team}` was published by someone else meanwhile, as version {version}"
    ))]
    Raced {
        /// The team.
        team: TeamName,
        /// The version that now stands.
        version: Version,
    },
    /// The files are what is already accepted; nothing was changed.
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
        source: platform::Error,
    },
    /// Others kept publishing; nothing was changed.
    #[snafu(display("others published {REBASE_ROUNDS_MAX} times in a row meanwhile"))]
    Contended,
    /// The commit's answer was lost and could not be looked up yet.
    #[snafu(display("the outcome of publication `{publish_id}` is unknown"))]
    OutcomeUnknown {
        /// Id to settle it by.
        publish_id: String,
        /// What failed.
        source: platform::Error,
    },
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
    /// Why.
    #[builder(default = PublicationKind::Publish)]
    pub kind: PublicationKind,
}

impl PublishOptions {
    fn teams(&self) -> BTreeSet<&TeamName> {
        let changed = self.records.iter().map(|record| &record.team);
        changed.chain(&self.removals).collect()
    }

    fn applied_to(&self, base: &Configuration) -> Configuration {
        let mut child = base.clone();
        child.version = base.version.next();
        for record in &self.records {
            child.teams.insert(record.team.clone(), record.clone());
        }
        for team in &self.removals {
            child.teams.remove(team);
        }
        child
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
    pub already: bool,
}

/// Publishes, rebasing on publications of other teams.
pub async fn publish<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Published> {
    if let Some(stamp) = find_published(platform, &options.publish_id).await? {
        return Ok(Published {
            stamp,
            rebases: 0,
            already: true,
        });
    }
    let mut first_base: Option<Configuration> = None;
    for rebases in 0..REBASE_ROUNDS_MAX {
        let head = accepted::head(platform).await.context(ReadSnafu)?;
        let base = accepted::configuration(platform, head.stamp.version)
            .await
            .context(ReadSnafu)?;
        if let Some(first) = &first_base {
            refuse_same_team(options, first, &base)?;
        }
        let child = options.applied_to(&base);
        ensure!(
            child.teams != base.teams,
            UnchangedSnafu {
                version: base.version
            }
        );
        RouteTable::compile(&child).context(InvalidSnafu)?;
        let transaction = prepare(platform, options, head, &base, &child).await?;
        match platform.transact(&transaction).await {
            Ok(Outcome::Committed) => {
                return Ok(Published {
                    stamp: child.stamp(),
                    rebases,
                    already: false,
                });
            }
            Ok(Outcome::ConditionFailed) => {
                // Either the head moved, or an earlier answer of this very publication was lost.
                if let Some(stamp) = find_published(platform, &options.publish_id).await? {
                    return Ok(Published {
                        stamp,
                        rebases,
                        already: true,
                    });
                }
            }
            Err(error) => return settle(platform, options, rebases, error).await,
        }
        first_base.get_or_insert(base);
    }
    ContendedSnafu.fail()
}

/// Which version the publication made, if it took effect. A query; safe at any time.
pub async fn find_published(table: &impl Table, publish_id: &str) -> Result<Option<Stamp>> {
    let key = publish_key(publish_id);
    let row = table
        .row(&key)
        .await
        .map_err(|source| accepted::Error::Platform {
            what: format!("publication `{publish_id}`"),
            source,
        })
        .context(ReadSnafu)?;
    let Some(row) = row else {
        return Ok(None);
    };
    let row: PublishRow = serde_json::from_str(&row.value)
        .map_err(|source| accepted::Error::Row { key, source })
        .context(ReadSnafu)?;
    let version = accepted::version_row(table, row.version).await;
    Ok(Some(version.context(ReadSnafu)?.stamp))
}

fn refuse_same_team(
    options: &PublishOptions,
    first: &Configuration,
    now: &Configuration,
) -> Result<()> {
    for team in options.teams() {
        ensure!(
            first.teams.get(team) == now.teams.get(team),
            RacedSnafu {
                team: team.clone(),
                version: now.version
            }
        );
    }
    Ok(())
}

/// Stores the content and builds the transaction that makes it the accepted version.
async fn prepare(
    store: &impl ObjectStore,
    options: &PublishOptions,
    head: accepted::Head,
    base: &Configuration,
    child: &Configuration,
) -> Result<Transaction> {
    let version = child.version;
    let snapshot = child.to_snapshot();
    let delta = Delta::between(base, child);
    let delta_bytes = delta.to_bytes();
    let snapshot_object = Digest::of(&snapshot);
    let delta_object = Digest::of(&delta_bytes);
    for (digest, bytes) in [(&snapshot_object, &snapshot), (&delta_object, &delta_bytes)] {
        let stored = store.put_object(digest, bytes).await;
        stored.context(StoreSnafu { version })?;
    }
    let row = VersionRow {
        stamp: child.stamp(),
        parent: head.stamp,
        publish_id: options.publish_id.clone(),
        operator: options.operator.clone(),
        time_ms: options.time_ms,
        kind: options.kind,
        teams_changed: delta.teams.into_keys().collect(),
        snapshot_object,
        delta_object,
    };
    Ok(commit_transaction(head, &row))
}

fn commit_transaction(head: accepted::Head, row: &VersionRow) -> Transaction {
    let version = row.stamp.version;
    let publish_key = publish_key(&row.publish_id);
    let head_condition = match head.revision {
        0 => Condition::Absent {
            key: HEAD_KEY.to_owned(),
        },
        revision => Condition::Revision {
            key: HEAD_KEY.to_owned(),
            revision,
        },
    };
    // The head's condition alone orders publications. The id's guards against a second commit of
    // one publication after its answer was lost and the head moved on.
    let conditions = vec![
        head_condition,
        Condition::Absent {
            key: publish_key.clone(),
        },
    ];
    let puts = [
        (HEAD_KEY.to_owned(), to_json(&HeadRow { stamp: row.stamp })),
        (version_key(version), to_json(row)),
        (publish_key, to_json(&PublishRow { version })),
    ];
    Transaction {
        conditions,
        puts: puts.into(),
    }
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("rows always encode")
}

/// Looks up what became of a commit that brought an error.
async fn settle(
    table: &impl Table,
    options: &PublishOptions,
    rebases: u32,
    error: platform::Error,
) -> Result<Published> {
    if !matches!(error, platform::Error::OutcomeUnknown { .. }) {
        return Err(Error::Read {
            source: accepted::Error::Platform {
                what: "the commit's answer".to_owned(),
                source: error,
            },
        });
    }
    match find_published(table, &options.publish_id).await {
        Ok(Some(stamp)) => Ok(Published {
            stamp,
            rebases,
            already: false,
        }),
        // "Not there" is no proof: the lost write may still be on its way. The operator resumes
        // with the same id, which commits at most once whatever happens to this one.
        Ok(None) | Err(_) => Err(Error::OutcomeUnknown {
            publish_id: options.publish_id.clone(),
            source: error,
        }),
    }
}
