//! Publishes team files, or an earlier version's records, as one accepted version.
//!
//! Like a schema change: read the head, put the changed records in, validate the whole set, store
//! the content, then one conditional transaction moves the head and writes the audit line and the
//! publication's id together. Until that transaction nothing has happened; after it everything
//! has.
//!
//! - Another publication came first ([`Error::Raced`] or a rebase): see [`plan::ChangeSet::raced`].
//! - The transaction's answer was lost: the same transaction is tried again, which is safe since
//!   both carry the same conditions, until [`plan::settled`] allows a definite answer or the time
//!   for it is over ([`Error::OutcomeUnknown`]).
//! - [`abandon`] settles an unknown outcome for good without publishing.

pub mod plan;

use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};
use tokio::time::Instant;

use crate::core::configuration::{Configuration, Delta, TeamRecord};
use crate::core::difference::{self, TeamDifference};
use crate::core::names::TeamName;
use crate::core::routing::{self, RouteTable};
use crate::core::version::{Digest, Stamp, Version};
use crate::ops::query::accepted::{self, Head};
use crate::platform::rows::{PublicationKind, PublishRow, VersionRow, publish_key};
use crate::platform::{self, ObjectStore, Outcome, Table};
use plan::{ChangeSet, Settled};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Rounds before giving up. Two operators at once need one or two; more than this means that
/// something publishes in a loop, and a refusal is clearer than an endless race.
const ROUNDS_MAX: u32 = 8;
/// Wait before a lost answer is looked into; doubled each time. The platform's short outages, such
/// as a failover, end within a few of these.
const FIRST_SETTLE_WAIT: Duration = Duration::from_millis(50);

/// Why nothing was published, or why that is not known.
#[derive(Debug, Snafu)]
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
        "published by others since version {seen}, which this publication is based on; \
         version {now} stands now, with these differences:\n{}",
        difference::to_text(differences).trim_end()
    ))]
    Raced {
        /// The version that this publication is based on.
        seen: Version,
        /// The version that now stands.
        now: Version,
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
        source: platform::Error,
    },
    /// The platform did not take the commit; nothing was changed.
    #[snafu(display("the platform refused the commit of version {version}"))]
    CommitRefused {
        /// The version that was to be.
        version: Version,
        /// How it refused.
        source: platform::Error,
    },
    /// Others kept publishing; nothing was changed.
    #[snafu(display("others published {ROUNDS_MAX} times in a row meanwhile"))]
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
        seen: Option<Version>,
        /// What failed.
        source: platform::Error,
    },
}

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
    pub already: bool,
}

/// A commit whose answer was lost and that has not been settled.
struct Lost {
    sent_at_revision: u64,
    deadline: Instant,
    source: platform::Error,
}

/// How one round ended.
enum Round {
    /// The commit took effect.
    Published(Stamp),
    /// The version that this publication made, maybe in an earlier run, was found by its id.
    Found(Stamp),
    /// Another publication came first, and this one certainly did not take effect.
    Overtaken,
    /// The commit's answer was lost.
    AnswerLost {
        sent_at_revision: u64,
        source: platform::Error,
    },
}

/// Publishes, rebasing on publications of other teams.
pub async fn publish<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Published> {
    if let Some(stamp) = find_published(platform, options).await? {
        return Ok(done(stamp, 0, true));
    }
    let seen = seen_by_operator(platform, options).await?;
    let changes = change_set(platform, options, &seen).await?;
    let mut publication = Publication {
        platform,
        options,
        seen,
        changes,
        lost: None,
    };
    publication.run().await
}

/// Which version the publication made, if it took effect.
pub async fn find_published(table: &impl Table, options: &PublishOptions) -> Result<Option<Stamp>> {
    let publish_id = &options.publish_id;
    match look_up(table, publish_id).await? {
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
pub async fn look_up(table: &impl Table, publish_id: &str) -> Result<Option<PublishRow>> {
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
        seen: None,
        source,
    };
    match (look_up(table, publish_id).await, answer) {
        (Ok(Some(PublishRow::Committed { version, .. })), _) => Ok(Some(version)),
        (Ok(Some(PublishRow::Abandoned { .. })), _) => Ok(None),
        (_, Err(source)) => Err(unknown(source)),
        (Ok(None), Ok(outcome)) => Err(unknown(platform::Error::Protocol {
            reason: format!("{outcome:?}, yet no row under the id"),
        })),
        (Err(error), Ok(_)) => Err(error),
    }
}

async fn seen_by_operator<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
) -> Result<Configuration> {
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let head = head.stamp.version;
    let version = options.expected.unwrap_or(head);
    ensure!(version <= head, NoSuchVersionSnafu { version, head });
    let seen = accepted::configuration(platform, version).await;
    seen.context(ReadSnafu)
}

async fn change_set<P: Table + ObjectStore>(
    platform: &P,
    options: &PublishOptions,
    seen: &Configuration,
) -> Result<ChangeSet> {
    let PublicationKind::Rollback { to } = options.kind else {
        require_teams(&options.removals, &[seen])?;
        return Ok(ChangeSet::of_records(&options.records, &options.removals));
    };
    let head = accepted::head(platform).await.context(ReadSnafu)?;
    let head = head.stamp.version;
    ensure!(to <= head, NoSuchVersionSnafu { version: to, head });
    let earlier = accepted::configuration(platform, to).await;
    let earlier = earlier.context(ReadSnafu)?;
    require_teams(&options.rollback_teams, &[seen, &earlier])?;
    let only = &options.rollback_teams;
    Ok(ChangeSet::rollback(&earlier, seen, only))
}

/// Guards against a mistyped team name, which would otherwise be "nothing to publish".
fn require_teams(teams: &[TeamName], known_in: &[&Configuration]) -> Result<()> {
    for team in teams {
        let known = known_in.iter().any(|held| held.teams.contains_key(team));
        let version = known_in[0].version;
        ensure!(
            known,
            NoSuchTeamSnafu {
                team: team.clone(),
                version
            }
        );
    }
    Ok(())
}

struct Publication<'a, P> {
    platform: &'a P,
    options: &'a PublishOptions,
    seen: Configuration,
    changes: ChangeSet,
    lost: Option<Lost>,
}

impl<P: Table + ObjectStore> Publication<'_, P> {
    async fn run(&mut self) -> Result<Published> {
        let mut rebases = 0;
        let mut wait = FIRST_SETTLE_WAIT;
        while rebases < ROUNDS_MAX {
            match self.round().await {
                Ok(Round::Published(stamp)) => return Ok(done(stamp, rebases, false)),
                Ok(Round::Found(stamp)) => return Ok(done(stamp, rebases, self.lost.is_none())),
                Ok(Round::Overtaken) => {
                    rebases += 1;
                    continue;
                }
                Ok(Round::AnswerLost {
                    sent_at_revision,
                    source,
                }) => self.note_lost(sent_at_revision, source),
                Err(error) if self.lost.is_none() || is_final(&error) => return Err(error),
                // While a commit is unsettled no other failure may be told as "nothing was
                // changed": the operator would publish again what is already in force.
                Err(error) => log::debug!(error:%; "a lost answer can't be settled yet"),
            }
            self.give_up_if_late()?;
            tokio::time::sleep(wait).await;
            wait *= 2;
        }
        ContendedSnafu.fail()
    }

    async fn round(&mut self) -> Result<Round> {
        let head = accepted::head(self.platform).await.context(ReadSnafu)?;
        // The id is read after the head: see `plan::settled`. It is read even if this run has lost
        // no answer: an earlier run's commit may land between the first look-up and the head, and
        // would then be taken for somebody else's change to the same team.
        let found = find_published(self.platform, self.options).await?;
        let sent_at_revision = self.lost.as_ref().map(|lost| lost.sent_at_revision);
        let sent_at_revision = sent_at_revision.unwrap_or(head.revision);
        match plan::settled(sent_at_revision, head.revision, found.is_some()) {
            Settled::TookEffect => return Ok(Round::Found(found.unwrap_or(head.stamp))),
            Settled::Dead => {
                self.lost = None;
                return Ok(Round::Overtaken);
            }
            // Sending the same conditions again is safe: one of the two fails.
            Settled::Open => (),
        }
        let (row, base) = self.prepare(head).await?;
        let request = self.options.request_digest();
        let transaction = plan::commit_transaction(head, &row, request);
        match self.platform.transact(&transaction).await {
            Ok(Outcome::Committed) => Ok(Round::Published(row.stamp)),
            Ok(Outcome::ConditionFailed) => self.overtaken(head).await,
            Err(source @ platform::Error::OutcomeUnknown { .. }) => Ok(Round::AnswerLost {
                sent_at_revision: head.revision,
                source,
            }),
            Err(source) => Err(Error::CommitRefused {
                version: base.next(),
                source,
            }),
        }
    }

    /// A condition did not hold: the head moved, or an earlier try with this id committed.
    async fn overtaken(&mut self, head: Head) -> Result<Round> {
        match find_published(self.platform, self.options).await {
            Ok(Some(stamp)) => Ok(Round::Found(stamp)),
            Ok(None) => {
                self.lost = None;
                Ok(Round::Overtaken)
            }
            Err(Error::Read { source }) => Ok(Round::AnswerLost {
                sent_at_revision: head.revision,
                source: platform::Error::OutcomeUnknown {
                    reason: format!("the id can't be looked up: {source}"),
                },
            }),
            Err(error) => Err(error),
        }
    }

    /// Decides on top of `head`, stores the content, and returns the row to commit and the base.
    async fn prepare(&self, head: Head) -> Result<(VersionRow, Version)> {
        let version = head.stamp.version;
        let base = accepted::configuration(self.platform, version).await;
        let base = base.context(ReadSnafu)?;
        self.refuse_raced(&base)?;
        let child = self.changes.child_of(&base);
        ensure!(child.teams != base.teams, UnchangedSnafu { version });
        RouteTable::compile(&child).context(InvalidSnafu)?;
        let row = self.store(head, &base, &child).await?;
        Ok((row, version))
    }

    fn refuse_raced(&self, now: &Configuration) -> Result<()> {
        let teams = self.changes.raced(&self.seen, now);
        let difference_of = |team: &TeamName| {
            let (before, after) = (self.seen.teams.get(team), now.teams.get(team));
            difference::of_team(team, before, after)
        };
        let differences: Vec<_> = teams.iter().filter_map(difference_of).collect();
        ensure!(
            differences.is_empty(),
            RacedSnafu {
                seen: self.seen.version,
                now: now.version,
                differences,
            }
        );
        Ok(())
    }

    /// Stores the content. Objects of a publication that is refused later stay behind unused.
    async fn store(
        &self,
        head: Head,
        base: &Configuration,
        child: &Configuration,
    ) -> Result<VersionRow> {
        let version = child.version;
        let snapshot = child.to_snapshot();
        let delta = Delta::between(base, child);
        let delta_bytes = delta.to_bytes();
        let snapshot_object = Digest::of(&snapshot);
        let delta_object = Digest::of(&delta_bytes);
        for (digest, bytes) in [(&snapshot_object, &snapshot), (&delta_object, &delta_bytes)] {
            let stored = self.platform.put_object(digest, bytes).await;
            stored.context(StoreSnafu { version })?;
        }
        Ok(VersionRow {
            stamp: child.stamp(),
            parent: head.stamp,
            publish_id: self.options.publish_id.clone(),
            operator: self.options.operator.clone(),
            time_ms: self.options.time_ms,
            kind: self.options.kind,
            teams_changed: delta.teams.into_keys().collect(),
            snapshot_object,
            delta_object,
        })
    }

    fn note_lost(&mut self, sent_at_revision: u64, source: platform::Error) {
        let limit = Duration::from_millis(self.options.settle_limit_ms);
        let known = self.lost.take();
        // The limit counts from the first loss.
        let deadline = known.map_or_else(|| Instant::now() + limit, |known| known.deadline);
        self.lost = Some(Lost {
            sent_at_revision,
            deadline,
            source,
        });
    }

    fn give_up_if_late(&mut self) -> Result<()> {
        match self.lost.take() {
            Some(lost) if Instant::now() >= lost.deadline => Err(Error::OutcomeUnknown {
                publish_id: self.options.publish_id.clone(),
                seen: Some(self.seen.version),
                source: lost.source,
            }),
            lost => {
                self.lost = lost;
                Ok(())
            }
        }
    }
}

fn done(stamp: Stamp, rebases: u32, already: bool) -> Published {
    Published {
        stamp,
        rebases,
        already,
    }
}

/// Whether the error holds whatever becomes of a commit that is still on its way.
fn is_final(error: &Error) -> bool {
    matches!(error, Error::Abandoned { .. } | Error::IdReused { .. })
}
