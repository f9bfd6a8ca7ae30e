//! What must hold in every state.

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
            return Some("accepted is never lost or reverted");
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
                return Some("the operator is told what became of the publication");
            }
            if state.rows.contains_key(&publish_key(operator.id())) && published_version.is_none() {
                // Settling occupies the id, and so does a resumed run before it refuses.
                let first_run = Command::Publish {
                    expected: None,
                    resumed: false,
                    new_id: false,
                };
                if state.operators[index].command == first_run {
                    return Some("a first run occupies the id by its commit only");
                }
            }
        }
        self.content_violation(&rows, state)
    }

    fn version_rows(&self, state: &State) -> Vec<VersionRow> {
        let parse_row = |text: &String| serde_json::from_str(text).expect("the product's own row");
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
                return Some("references close");
            }
            let index = self.operators.iter().position(|operator| {
                row.publish_id
                    .strip_suffix("-again")
                    .unwrap_or(&row.publish_id)
                    == operator.id()
            });
            let index = index.expect("published by one of the operators");
            let own_team = &self.operators[index].records()[0].team;
            let other_teams = |configuration: &Configuration| {
                let mut teams = configuration.teams.clone();
                teams.remove(own_team);
                teams
            };
            if other_teams(parent) != other_teams(child) {
                return Some("accepted is never lost or reverted");
            }
            let head_seen = state.operators[index]
                .head_seen
                .expect("it has read the head");
            let head_seen = usize::try_from(head_seen).expect("few versions");
            if configurations[head_seen - 1].teams.get(own_team) != parent.teams.get(own_team) {
                return Some("what others published to the same team is not overwritten unseen");
            }
        }
        None
    }
}

/// Number of the accepted version.
pub(super) fn head_version(state: &State) -> u64 {
    let row = state.rows.get(HEAD_KEY);
    row.map_or(0, |(_, value)| {
        let head: HeadRow = serde_json::from_str(value).expect("the product's own row");
        version_number(head.stamp)
    })
}
