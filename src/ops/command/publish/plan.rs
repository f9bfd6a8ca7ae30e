//! The logic of a publication without I/O: the resulting configuration, conflicts with other
//! publications, the transaction that commits it, and the outcome of a commit whose answer was lost.
//!
//! [`super::publish`] combines these functions with the platform. The model checker uses them too.

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
    /// Whether a change of any other team is a conflict as well. This is the case for a rollback of
    /// all teams, which would silently undo what others have published since the expected version.
    pub replaces_whole_set: bool,
}

impl ChangeSet {
    /// Replaces the records of some teams and deletes those of others.
    pub fn from_records(records: &[TeamRecord], removals: &[TeamName]) -> Self {
        let changed = records
            .iter()
            .map(|record| (record.team.clone(), Some(record.clone())));
        let removed = removals.iter().map(|team| (team.clone(), None));
        Self {
            teams: changed.chain(removed).collect(),
            replaces_whole_set: false,
        }
    }

    /// Restores the records of `earlier`: those of `teams_to_restore`, or all records if it is empty.
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

    /// Applies the changes to `base` and returns the configuration of the next version.
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

    /// Teams of this publication whose records someone else changed between the expected and the
    /// current version. Changes of other teams are no conflict: the publication is rebased on them,
    /// as a database commits two transactions that change different rows.
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

/// The transaction that makes `row` the accepted version, on condition that the head is still
/// `head`.
///
/// The condition on the head serializes publications. The condition on the id prevents a second
/// commit of the same publication. Without it, if the answer is lost, another publication is accepted
/// and the operator runs the first one again, its changes are published a second time and overwrite
/// those of others.
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

/// The transaction that prevents a publication from taking effect. It writes the row of the id, so a
/// commit that arrives later fails its condition.
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

/// State of a commit whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitState {
    /// The commit took effect.
    Committed,
    /// The commit did not take effect and cannot take effect any more.
    Impossible,
    /// The commit has not taken effect, but may still arrive at the platform.
    Undecided,
}

/// Determines the state of a commit that was conditional on the head's revision `sent_at_revision`.
/// The caller read the head, at `head_revision`, and **afterwards** the row of the publication's id,
/// which exists if `id_used`.
///
/// An unused id alone does not prove that the commit failed, since it may still arrive. Together
/// with a changed head it does, because the commit's condition can never hold again. The id must be
/// read after the head: otherwise this commit itself may have changed the head in between.
pub fn commit_state(sent_at_revision: u64, head_revision: u64, id_used: bool) -> CommitState {
    match (id_used, sent_at_revision == head_revision) {
        (true, _) => CommitState::Committed,
        (false, false) => CommitState::Impossible,
        (false, true) => CommitState::Undecided,
    }
}

/// Digest of the requested change. It detects that an id is reused for another change.
pub fn request_digest(kind: PublicationKind, change: &impl Serialize) -> Digest {
    Digest::compute(to_json(&(kind, change)).as_bytes())
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the value can be encoded as JSON")
}
