//! The attempts of a publication. Each one reads the head, builds the new version on it and commits.
//! If an answer is lost, later attempts determine the outcome.

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

/// Maximum number of attempts. When several publications compete, one is accepted in each round, so
/// the last of 14 teams that publish after a common release needs at most 14 attempts. Far more than
/// that means that something publishes in a loop, and then an error is better than endless attempts.
pub(super) const COMMIT_ATTEMPTS_MAX: u32 = 64;
/// Delay before the first attempt to settle a lost answer. It doubles after each attempt, so a few
/// attempts span a short outage of the platform, such as a failover.
const INITIAL_SETTLE_DELAY: Duration = Duration::from_millis(50);

/// A commit whose answer was lost and whose outcome is not known yet.
pub(super) struct UnsettledCommit {
    sent_at_revision: u64,
    deadline: Instant,
    source: store::Error,
}

/// Result of one attempt.
enum AttemptOutcome {
    /// The commit of this attempt took effect.
    Published {
        stamp: Stamp,
        changes: Vec<TeamDifference>,
    },
    /// The publication had taken effect before, possibly in an earlier run. Its version was found by
    /// the publication's id.
    Found(Stamp),
    /// Another publication was accepted first, and this attempt did not take effect.
    Superseded,
    /// The answer to the commit was lost.
    AnswerLost {
        sent_at_revision: u64,
        source: store::Error,
    },
}

/// The state of a publication across its attempts.
pub(super) struct Publication<'a, P> {
    pub(super) platform: &'a P,
    pub(super) options: &'a PublishOptions,
    /// The configuration of the version on which the operator based the change.
    pub(super) expected: Configuration,
    pub(super) changes: ChangeSet,
    pub(super) unsettled: Option<UnsettledCommit>,
}

impl<P: Table + ObjectStore> Publication<'_, P> {
    /// Makes attempts until the publication has succeeded or failed, or the time limit for a lost
    /// answer has passed.
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
                // While a commit is unsettled, no other error may be reported as "nothing was
                // changed": the operator would publish a change again that is already accepted.
                Err(error) => log::debug!(error:%; "cannot settle the lost answer yet"),
            }
            self.check_settle_deadline()?;
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        ContendedSnafu.fail()
    }

    async fn attempt(&mut self) -> Result<AttemptOutcome> {
        let head = accepted::head(self.platform).await.context(ReadSnafu)?;
        // The id must be read after the head; see `plan::commit_state`. It is read even if this run
        // has lost no answer: the commit of an earlier run may arrive between the first lookup of
        // the id and the read of the head, and would then look like a conflicting publication.
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
            // It is safe to send the commit again: both have the same conditions, so one fails.
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
            Err(source @ (store::Error::OutcomeUnknown { .. } | store::Error::TimedOut { .. })) => {
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

    /// Handles a failed condition: the head has changed, or an earlier attempt with this id has
    /// committed.
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
                    reason: format!("cannot look up the id of the publication: {source}"),
                },
            }),
            Err(error) => Err(error),
        }
    }

    /// Builds the version after `head` and stores its content. Returns the row to commit and the
    /// changes.
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

    /// Stores the snapshot and the delta of `child`. If the commit fails afterwards, the objects
    /// remain in the store unused.
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
        let snapshot_object = Digest::compute(&snapshot);
        let delta_object = Digest::compute(&delta_bytes);
        // Both are stored concurrently: in a shorter attempt it is less likely that another
        // publication is accepted first.
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
        // The time limit starts at the first lost answer.
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

/// The result for a publication that created the version `stamp`, without its changes.
pub(super) fn published_version(stamp: Stamp, rebases: u32, already_published: bool) -> Published {
    Published {
        stamp,
        rebases,
        already_published,
        changes: Vec::new(),
    }
}

/// Whether the error is final even if a commit may still arrive at the platform.
fn is_final(error: &Error) -> bool {
    matches!(error, Error::Abandoned { .. } | Error::IdReused { .. })
}
