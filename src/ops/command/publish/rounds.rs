//! The rounds of one publication: read the head, decide on top of it, commit, and settle what a
//! lost answer left open.

use std::time::Duration;

use snafu::{ResultExt, ensure};
use tokio::time::Instant;

use super::error::{
    ContendedSnafu, InvalidSnafu, RacedSnafu, ReadSnafu, StoreSnafu, UnchangedSnafu,
};
use super::plan::{self, ChangeSet, Settled};
use super::{Error, PublishOptions, Published, Result, find_published};
use crate::core::configuration::{Configuration, Delta};
use crate::core::difference::{self, TeamDifference};
use crate::core::names::TeamName;
use crate::core::routing::RouteTable;
use crate::core::version::{Digest, Stamp};
use crate::ops::query::accepted::{self, Head};
use crate::store::rows::VersionRow;
use crate::store::{self, ObjectStore, Outcome, Table};

/// Rounds before giving up. In each round of a race one publication is accepted, so the last of the
/// 14 teams that publish after a common release needs 14 at most. Far more than that means that
/// something publishes in a loop, and a refusal is clearer than an endless race.
pub(super) const ROUNDS_MAX: u32 = 64;
/// Wait before a lost answer is looked into; doubled each time. The platform's short outages, such
/// as a failover, end within a few of these.
const FIRST_SETTLE_WAIT: Duration = Duration::from_millis(50);

/// A commit whose answer was lost and that has not been settled.
pub(super) struct Lost {
    sent_at_revision: u64,
    deadline: Instant,
    source: store::Error,
}

/// How one round ended.
enum Round {
    /// The commit took effect.
    Published {
        stamp: Stamp,
        changes: Vec<TeamDifference>,
    },
    /// The version that this publication made, maybe in an earlier run, was found by its id.
    Found(Stamp),
    /// Another publication came first, and this one certainly did not take effect.
    Overtaken,
    /// The commit's answer was lost.
    AnswerLost {
        sent_at_revision: u64,
        source: store::Error,
    },
}

/// A publication under way.
pub(super) struct Publication<'a, P> {
    pub(super) platform: &'a P,
    pub(super) options: &'a PublishOptions,
    /// The configuration that the operator saw.
    pub(super) seen: Configuration,
    pub(super) changes: ChangeSet,
    pub(super) lost: Option<Lost>,
}

impl<P: Table + ObjectStore> Publication<'_, P> {
    /// Goes through rounds until there is an answer.
    pub(super) async fn run(&mut self) -> Result<Published> {
        let mut rebases = 0;
        let mut wait = FIRST_SETTLE_WAIT;
        while rebases < ROUNDS_MAX {
            match self.round().await {
                Ok(Round::Published { stamp, changes }) => {
                    return Ok(Published {
                        changes,
                        ..found(stamp, rebases, false)
                    });
                }
                Ok(Round::Found(stamp)) => return Ok(found(stamp, rebases, self.lost.is_none())),
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
        let (row, changes) = self.prepare(head).await?;
        let request = self.options.request_digest();
        let transaction = plan::commit_transaction(head, &row, request);
        match self.platform.transact(&transaction).await {
            Ok(Outcome::Committed) => Ok(Round::Published {
                stamp: row.stamp,
                changes,
            }),
            Ok(Outcome::ConditionFailed) => self.overtaken(head).await,
            Err(source @ (store::Error::OutcomeUnknown { .. } | store::Error::Silent { .. })) => {
                Ok(Round::AnswerLost {
                    sent_at_revision: head.revision,
                    source,
                })
            }
            Err(source) => Err(Error::CommitRefused {
                version: row.stamp.version,
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
                source: store::Error::OutcomeUnknown {
                    reason: format!("the id can't be looked up: {source}"),
                },
            }),
            Err(error) => Err(error),
        }
    }

    /// Decides on top of `head` and stores the content; the row to commit, and what it changes.
    async fn prepare(&self, head: Head) -> Result<(VersionRow, Vec<TeamDifference>)> {
        let version = head.stamp.version;
        let base = accepted::configuration(self.platform, version).await;
        let base = base.context(ReadSnafu)?;
        self.refuse_raced(&base)?;
        let child = self.changes.child_of(&base);
        ensure!(child.teams != base.teams, UnchangedSnafu { version });
        RouteTable::compile(&child).context(InvalidSnafu)?;
        let row = self.store(head, &base, &child).await?;
        Ok((row, difference::between(&base, &child)))
    }

    fn refuse_raced(&self, now: &Configuration) -> Result<()> {
        let teams = self.changes.raced(&self.seen, now);
        let difference_of = |team: &TeamName| {
            let (before, after) = (self.seen.teams.get(team), now.teams.get(team));
            difference::between_records(team, before, after)
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
        let delta_bytes = delta.to_bytes(base);
        let snapshot_object = Digest::of(&snapshot);
        let delta_object = Digest::of(&delta_bytes);
        // Both at once: the shorter a round, the less often somebody else comes first.
        let stored = tokio::try_join!(
            self.platform.put_object(&snapshot_object, &snapshot),
            self.platform.put_object(&delta_object, &delta_bytes),
        );
        stored.context(StoreSnafu { version })?;
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

    fn note_lost(&mut self, sent_at_revision: u64, source: store::Error) {
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

/// The answer of a publication whose version was found by its id.
pub(super) fn found(stamp: Stamp, rebases: u32, already: bool) -> Published {
    Published {
        stamp,
        rebases,
        already,
        changes: Vec::new(),
    }
}

/// Whether the error holds whatever becomes of a commit that is still on its way.
fn is_final(error: &Error) -> bool {
    matches!(error, Error::Abandoned { .. } | Error::IdReused { .. })
}
