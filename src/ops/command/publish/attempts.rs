//! The rounds of one publication: read the head, decide on top of it, commit, and settle what a
//! lost answer left open.

use std::time::Duration;

use snafu::{ResultExt, ensure};
use tokio::time::Instant;

use super::error::{
    ConflictSnafu, ContendedSnafu, InvalidSnafu, ReadSnafu, StoreSnafu, UnchangedSnafu,
};
use super::plan::{self, ChangeSet, CommitState};
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
pub(super) const COMMIT_ATTEMPTS_MAX: u32 = 64;
/// Wait before a lost answer is looked into; doubled each time. The platform's short outages, such
/// as a failover, end within a few of these.
const INITIAL_SETTLE_DELAY: Duration = Duration::from_millis(50);

/// A commit whose answer was lost and that has not been settled.
pub(super) struct UnsettledCommit {
    sent_at_revision: u64,
    deadline: Instant,
    source: store::Error,
}

/// How one round ended.
enum AttemptOutcome {
    /// The commit took effect.
    Published {
        stamp: Stamp,
        changes: Vec<TeamDifference>,
    },
    /// The version that this publication made, maybe in an earlier run, was found by its id.
    Found(Stamp),
    /// Another publication came first, and this one certainly did not take effect.
    Superseded,
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
    pub(super) expected: Configuration,
    pub(super) changes: ChangeSet,
    pub(super) unsettled: Option<UnsettledCommit>,
}

impl<P: Table + ObjectStore> Publication<'_, P> {
    /// Goes through rounds until there is an answer.
    pub(super) async fn run(&mut self) -> Result<Published> {
        let mut rebases = 0;
        let mut delay = INITIAL_SETTLE_DELAY;
        while rebases < COMMIT_ATTEMPTS_MAX {
            match self.attempt().await {
                Ok(AttemptOutcome::Published { stamp, changes }) => {
                    return Ok(Published {
                        changes,
                        ..published_version(stamp, rebases, false)
                    });
                }
                Ok(AttemptOutcome::Found(stamp)) => {
                    return Ok(published_version(stamp, rebases, self.unsettled.is_none()));
                }
                Ok(AttemptOutcome::Superseded) => {
                    rebases += 1;
                    continue;
                }
                Ok(AttemptOutcome::AnswerLost {
                    sent_at_revision,
                    source,
                }) => self.record_lost_answer(sent_at_revision, source),
                Err(error) if self.unsettled.is_none() || is_final(&error) => return Err(error),
                // While a commit is unsettled no other failure may be told as "nothing was
                // changed": the operator would publish again what is already in force.
                Err(error) => log::debug!(error:%; "a lost answer can't be settled yet"),
            }
            self.check_settle_deadline()?;
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        ContendedSnafu.fail()
    }

    async fn attempt(&mut self) -> Result<AttemptOutcome> {
        let head = accepted::head(self.platform).await.context(ReadSnafu)?;
        // The id is read after the head: see `plan::commit_state`. It is read even if this run has lost
        // no answer: an earlier run's commit may land between the first look-up and the head, and
        // would then be taken for somebody else's change to the same team.
        let found = find_published(self.platform, self.options).await?;
        let sent_at_revision = self
            .unsettled
            .as_ref()
            .map(|unsettled| unsettled.sent_at_revision);
        let sent_at_revision = sent_at_revision.unwrap_or(head.revision);
        match plan::commit_state(sent_at_revision, head.revision, found.is_some()) {
            CommitState::Committed => {
                return Ok(AttemptOutcome::Found(found.unwrap_or(head.stamp)));
            }
            CommitState::Impossible => {
                self.unsettled = None;
                return Ok(AttemptOutcome::Superseded);
            }
            // Sending the same conditions again is safe: one of the two fails.
            CommitState::Undecided => (),
        }
        let (row, changes) = self.prepare_commit(head).await?;
        let request = self.options.request_digest();
        let transaction = plan::commit_transaction(head, &row, request);
        match self.platform.transact(&transaction).await {
            Ok(Outcome::Committed) => Ok(AttemptOutcome::Published {
                stamp: row.stamp,
                changes,
            }),
            Ok(Outcome::ConditionFailed) => self.after_failed_condition(head).await,
            Err(source @ (store::Error::OutcomeUnknown { .. } | store::Error::Silent { .. })) => {
                Ok(AttemptOutcome::AnswerLost {
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
    async fn after_failed_condition(&mut self, head: Head) -> Result<AttemptOutcome> {
        match find_published(self.platform, self.options).await {
            Ok(Some(stamp)) => Ok(AttemptOutcome::Found(stamp)),
            Ok(None) => {
                self.unsettled = None;
                Ok(AttemptOutcome::Superseded)
            }
            Err(Error::Read { source }) => Ok(AttemptOutcome::AnswerLost {
                sent_at_revision: head.revision,
                source: store::Error::OutcomeUnknown {
                    reason: format!("the id can't be looked up: {source}"),
                },
            }),
            Err(error) => Err(error),
        }
    }

    /// Decides on top of `head` and stores the content; the row to commit, and what it changes.
    async fn prepare_commit(&self, head: Head) -> Result<(VersionRow, Vec<TeamDifference>)> {
        let version = head.stamp.version;
        let base = accepted::configuration(self.platform, version).await;
        let base = base.context(ReadSnafu)?;
        self.check_conflicts(&base)?;
        let child = self.changes.child_of(&base);
        ensure!(child.teams != base.teams, UnchangedSnafu { version });
        RouteTable::compile(&child).context(InvalidSnafu)?;
        let row = self.store_content(head, &base, &child).await?;
        Ok((row, difference::between(&base, &child)))
    }

    fn check_conflicts(&self, current: &Configuration) -> Result<()> {
        let teams = self.changes.conflicting_teams(&self.expected, current);
        let difference_of = |team: &TeamName| {
            let (before, after) = (self.expected.teams.get(team), current.teams.get(team));
            difference::between_records(team, before, after)
        };
        let differences: Vec<_> = teams.iter().filter_map(difference_of).collect();
        ensure!(
            differences.is_empty(),
            ConflictSnafu {
                expected: self.expected.version,
                current: current.version,
                differences,
            }
        );
        Ok(())
    }

    /// Stores the content. Objects of a publication that is refused later stay behind unused.
    async fn store_content(
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

    fn record_lost_answer(&mut self, sent_at_revision: u64, source: store::Error) {
        let limit = Duration::from_millis(self.options.settle_limit_ms);
        let previous = self.unsettled.take();
        // The limit counts from the first loss.
        let deadline =
            previous.map_or_else(|| Instant::now() + limit, |previous| previous.deadline);
        self.unsettled = Some(UnsettledCommit {
            sent_at_revision,
            deadline,
            source,
        });
    }

    fn check_settle_deadline(&mut self) -> Result<()> {
        match self.unsettled.take() {
            Some(unsettled) if Instant::now() >= unsettled.deadline => Err(Error::OutcomeUnknown {
                publish_id: self.options.publish_id.clone(),
                expected: Some(self.expected.version),
                source: unsettled.source,
            }),
            unsettled => {
                self.unsettled = unsettled;
                Ok(())
            }
        }
    }
}

/// The answer of a publication whose version was found by its id.
pub(super) fn published_version(stamp: Stamp, rebases: u32, already_published: bool) -> Published {
    Published {
        stamp,
        rebases,
        already_published,
        changes: Vec::new(),
    }
}

/// Whether the error holds whatever becomes of a commit that is still on its way.
fn is_final(error: &Error) -> bool {
    matches!(error, Error::Abandoned { .. } | Error::IdReused { .. })
}
