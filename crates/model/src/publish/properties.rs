//! What must hold in every state.

use dragonflywall::core::configuration::Configuration;
use dragonflywall::core::routing::RouteTable;
use dragonflywall::store::rows::{HEAD_KEY, HeadRow, VersionRow, publish_key, version_key};

use super::{Publish, State};
use crate::operator::{Command, End, number};

impl Publish {
    /// The first property that `state` violates.
    pub(super) fn first_violation(&self, state: &State) -> Option<&'static str> {
        let rows = self.rows(state);
        for operator in &self.operators {
            let ours = |row: &&VersionRow| row.publish_id.starts_with(operator.id());
            if rows.iter().filter(ours).count() > 1 {
                return Some("a publication is committed at most once");
            }
        }
        let in_order = rows.iter().enumerate().all(|(at, row)| {
            let stored = state.rows.get(&version_key(row.stamp.version));
            number(row.stamp) == at as u64 + 1
                && stored.is_some_and(|(_, value)| *value == state.accepted[at])
        });
        if !in_order || head(state) != rows.len() as u64 {
            return Some("accepted is never lost or reverted");
        }
        for (at, operator) in self.operators.iter().enumerate() {
            let ours = |row: &&VersionRow| row.publish_id.starts_with(operator.id());
            let first = rows.iter().find(ours).map(|row| number(row.stamp));
            let told_right = match state.operators[at].ended {
                Some(End::Published(version)) => first == Some(version),
                Some(End::Refused) => first.is_none(),
                Some(End::Unknown(_)) | None => true,
            };
            if !told_right {
                return Some("the operator is told what became of the publication");
            }
            if state.rows.contains_key(&publish_key(operator.id())) && first.is_none() {
                // Settling occupies the id, and so does a resumed run before it refuses.
                let first_run = Command::Publish {
                    expected: None,
                    resumed: false,
                    new_id: false,
                };
                if state.operators[at].command == first_run {
                    return Some("a first run occupies the id by its commit only");
                }
            }
        }
        self.content_violation(&rows, state)
    }

    fn rows(&self, state: &State) -> Vec<VersionRow> {
        let parse = |text: &String| serde_json::from_str(text).expect("the product's own row");
        state.accepted.iter().map(parse).collect()
    }

    fn content_violation(&self, rows: &[VersionRow], state: &State) -> Option<&'static str> {
        let contents: Vec<Configuration> = rows
            .iter()
            .map(|row| self.objects.configuration(row))
            .collect();
        for (row, pair) in rows[1..].iter().zip(contents.windows(2)) {
            let (parent, child) = (&pair[0], &pair[1]);
            if RouteTable::compile(child).is_err() {
                return Some("references close");
            }
            let at = self.operators.iter().position(|operator| {
                row.publish_id
                    .strip_suffix("-again")
                    .unwrap_or(&row.publish_id)
                    == operator.id()
            });
            let at = at.expect("published by one of the operators");
            let own = &self.operators[at].records()[0].team;
            let others = |content: &Configuration| {
                let mut teams = content.teams.clone();
                teams.remove(own);
                teams
            };
            if others(parent) != others(child) {
                return Some("accepted is never lost or reverted");
            }
            let saw = state.operators[at].saw.expect("it has read the head");
            let saw = usize::try_from(saw).expect("few versions");
            if contents[saw - 1].teams.get(own) != parent.teams.get(own) {
                return Some("what others published to the same team is not overwritten unseen");
            }
        }
        None
    }
}

/// Number of the accepted version.
pub(super) fn head(state: &State) -> u64 {
    let row = state.rows.get(HEAD_KEY);
    row.map_or(0, |(_, value)| {
        let head: HeadRow = serde_json::from_str(value).expect("the product's own row");
        number(head.stamp)
    })
}
