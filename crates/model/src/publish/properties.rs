//! Safety properties of publication, which must hold in every reachable state.

use dragonflywall::core::configuration::Configuration;
use dragonflywall::core::routing::RouteTable;
use dragonflywall::store::rows::{HEAD_KEY, HeadRow, VersionRow, publish_key, version_key};

use super::{PublishSpec, State};
use crate::operator::{Command, CommandOutcome, version_number};

impl PublishSpec {
    /// The first property that `state` violates.
    pub(super) fn first_violation(&self, state: &State) -> Option<&'static str> {
        let rows = self.version_rows(state);
        for operator in &self.operators {
            let has_own_id = |row: &&VersionRow| row.publish_id.starts_with(operator.id());
            if rows.iter().filter(has_own_id).count() > 1 {
                return Some("a publication is committed at most once");
            }
        }
        let in_order = rows.iter().enumerate().all(|(index, row)| {
            let stored = state.rows.get(&version_key(row.stamp.version));
            version_number(row.stamp) == index as u64 + 1
                && stored.is_some_and(|(_, value)| *value == state.accepted_rows[index])
        });
        if !in_order || head_version(state) != rows.len() as u64 {
            return Some("an accepted version is never lost or reverted");
        }
        for (index, operator) in self.operators.iter().enumerate() {
            let has_own_id = |row: &&VersionRow| row.publish_id.starts_with(operator.id());
            let published_version = rows
                .iter()
                .find(has_own_id)
                .map(|row| version_number(row.stamp));
            let outcome_is_correct = match state.operators[index].outcome {
                Some(CommandOutcome::Published(version)) => published_version == Some(version),
                Some(CommandOutcome::Refused) => published_version.is_none(),
                Some(CommandOutcome::Unknown(_)) | None => true,
            };
            if !outcome_is_correct {
                return Some("a command reports the true outcome of its publication");
            }
            if state.rows.contains_key(&publish_key(operator.id())) && published_version.is_none() {
                // `Command::Settle` writes the publication's row to abandon the publication, and so does
                // a resumed run before it refuses. A first run must not.
                let first_run = Command::Publish {
                    expected: None,
                    resumed: false,
                    new_id: false,
                };
                if state.operators[index].command == first_run {
                    return Some("a first run writes the row of its id only when it commits");
                }
            }
        }
        self.content_violation(&rows, state)
    }

    fn version_rows(&self, state: &State) -> Vec<VersionRow> {
        let parse_row = |text: &String| {
            serde_json::from_str(text).expect("rows written by the product are valid")
        };
        state.accepted_rows.iter().map(parse_row).collect()
    }

    fn content_violation(&self, rows: &[VersionRow], state: &State) -> Option<&'static str> {
        let configurations: Vec<Configuration> = rows
            .iter()
            .map(|row| self.objects.configuration(row))
            .collect();
        for (row, pair) in rows[1..].iter().zip(configurations.windows(2)) {
            let (parent, child) = (&pair[0], &pair[1]);
            if RouteTable::compile(child).is_err() {
                return Some("every reference resolves");
            }
            let index = self.operators.iter().position(|operator| {
                row.publish_id
                    .strip_suffix("-again")
                    .unwrap_or(&row.publish_id)
                    == operator.id()
            });
            let index = index.expect("one of the operators published each version after the first");
            let own_team = &self.operators[index].records()[0].team;
            let other_teams = |configuration: &Configuration| {
                let mut teams = configuration.teams.clone();
                teams.remove(own_team);
                teams
            };
            if other_teams(parent) != other_teams(child) {
                return Some("an accepted version is never lost or reverted");
            }
            let head_seen = state.operators[index]
                .head_seen
                .expect("an operator reads the head before it commits");
            let head_seen = usize::try_from(head_seen).expect("a version number fits in a usize");
            if configurations[head_seen - 1].teams.get(own_team) != parent.teams.get(own_team) {
                return Some(
                    "a publication overwrites no change to its team that its operator has not seen",
                );
            }
        }
        None
    }
}

/// Version number in the head row; 0 before the first version is committed.
pub(super) fn head_version(state: &State) -> u64 {
    let row = state.rows.get(HEAD_KEY);
    row.map_or(0, |(_, value)| {
        let head: HeadRow =
            serde_json::from_str(value).expect("rows written by the product are valid");
        version_number(head.stamp)
    })
}
