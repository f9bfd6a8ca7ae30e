//! What a publication means, without I/O: which child results, whether it was raced, which
//! transaction makes it the accepted version, and what a lost answer allows to be said.
//!
//! [`super::publish`] gives these functions the platform; the model checker calls them too.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::core::configuration::{Configuration, TeamRecord};
use crate::core::names::TeamName;
use crate::core::version::Digest;
use crate::ops::query::accepted::Head;
use crate::store::rows::{
    HEAD_KEY, HeadRow, PublicationKind, PublishRow, VersionRow, publish_key, version_key,
};
use crate::store::{Condition, Transaction};

/// The records that a publication replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChangeSet {
    /// New record of each team; `None` deletes the team's record.
    pub teams: BTreeMap<TeamName, Option<TeamRecord>>,
    /// Whether a change to any other team is a race as well. True for the rollback of the whole
    /// set: what others published since the operator looked would be undone unseen.
    pub replaces_whole_set: bool,
}

impl ChangeSet {
    /// New records and deletions of some teams.
    pub fn of_records(records: &[TeamRecord], removals: &[TeamName]) -> Self {
        let changed = records
            .iter()
            .map(|record| (record.team.clone(), Some(record.clone())));
        let removed = removals.iter().map(|team| (team.clone(), None));
        Self {
            teams: changed.chain(removed).collect(),
            replaces_whole_set: false,
        }
    }

    /// The records of `earlier` again: of `teams_to_restore` these teams, or of the whole set if it is empty.
    pub fn rollback(
        earlier: &Configuration,
        expected: &Configuration,
        teams_to_restore: &[TeamName],
    ) -> Self {
        let whole = earlier.teams.keys().chain(expected.teams.keys());
        let names: BTreeSet<&TeamName> = if teams_to_restore.is_empty() {
            whole.collect()
        } else {
            teams_to_restore.iter().collect()
        };
        let record_of = |name: &TeamName| (name.clone(), earlier.teams.get(name).cloned());
        Self {
            teams: names.into_iter().map(record_of).collect(),
            replaces_whole_set: teams_to_restore.is_empty(),
        }
    }

    /// The configuration that results from `base`, one version on.
    pub fn child_of(&self, base: &Configuration) -> Configuration {
        let mut child = base.clone();
        child.version = base.version.next();
        for (team, record) in &self.teams {
            match record {
                Some(record) => child.teams.insert(team.clone(), record.clone()),
                None => child.teams.remove(team),
            };
        }
        child
    }

    /// Teams that make this publication raced: published by someone else between the version that
    /// the operator saw and the one that stands now. Changes to other teams are no race; the
    /// publication is rebased on them, as two transactions on different rows both commit.
    pub fn conflicting_teams(
        &self,
        expected: &Configuration,
        current: &Configuration,
    ) -> Vec<TeamName> {
        let changed = |team: &&TeamName| expected.teams.get(*team) != current.teams.get(*team);
        let teams: BTreeSet<&TeamName> = if self.replaces_whole_set {
            expected.teams.keys().chain(current.teams.keys()).collect()
        } else {
            self.teams.keys().collect()
        };
        teams.into_iter().filter(changed).cloned().collect()
    }
}

/// The transaction that makes `row` the accepted version, provided that `head` still stands.
///
/// The head's condition alone orders publications. The condition on the id guards against a second
/// commit of one publication: its answer is lost, the head moves on, and the operator runs it
/// again; without it the same change would be published twice, the second time over the work of
/// others.
pub fn commit_transaction(head: Head, row: &VersionRow, request: Digest) -> Transaction {
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
    let id_unused = Condition::Absent {
        key: publish_key.clone(),
    };
    let committed = PublishRow::Committed { version, request };
    let puts = [
        (HEAD_KEY.to_owned(), to_json(&HeadRow { stamp: row.stamp })),
        (version_key(version), to_json(row)),
        (publish_key, to_json(&committed)),
    ];
    Transaction {
        conditions: vec![head_condition, id_unused],
        puts: puts.into(),
    }
}

/// The transaction that makes sure that a publication never takes effect: it occupies the id, so
/// that a commit which is still on its way fails its condition.
pub fn abandon_transaction(publish_id: &str, operator: &str, time_ms: u64) -> Transaction {
    let key = publish_key(publish_id);
    let row = PublishRow::Abandoned {
        operator: operator.to_owned(),
        time_ms,
    };
    Transaction {
        conditions: vec![Condition::Absent { key: key.clone() }],
        puts: [(key, to_json(&row))].into(),
    }
}

/// What may be said of a commit whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitState {
    /// It took effect.
    Committed,
    /// It did not, and cannot any more.
    Impossible,
    /// It may still be on its way.
    Undecided,
}

/// Settles a commit that was conditional on the head's revision `sent_at_revision`, after the head was read
/// at `head_revision` and **then** the row under the publication's id was read (`id_used`).
///
/// An unused id alone proves nothing: the lost write may arrive later. A head that has moved does,
/// since the write's condition can never hold again; but only with an id read after the head, as
/// otherwise it may be this very write that moved it.
pub fn commit_state(sent_at_revision: u64, head_revision: u64, id_used: bool) -> CommitState {
    match (id_used, sent_at_revision == head_revision) {
        (true, _) => CommitState::Committed,
        (false, false) => CommitState::Impossible,
        (false, true) => CommitState::Undecided,
    }
}

/// Digest of what was asked for, so that an id used for something else is noticed.
pub fn request_digest(kind: PublicationKind, change: &impl Serialize) -> Digest {
    Digest::of(to_json(&(kind, change)).as_bytes())
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("rows always encode")
}
