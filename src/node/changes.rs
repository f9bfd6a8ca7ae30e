//! Logs what changed between two views of the mesh, for whoever reads the log after a failure.

use std::collections::HashMap;

use crate::core::member::{Liveness, Member, NodeId};
use crate::node::state::View;

/// Logs each member whose liveness is not what it was. Suspicions come and go with every pause of a
/// VM, and all members are new to a node that starts: both are for debugging only.
pub(crate) fn log_liveness(before: &View, after: &View) {
    let known: HashMap<NodeId, Liveness> = before
        .members
        .iter()
        .map(|member| (member.node, member.liveness))
        .collect();
    for member in &after.members {
        match (known.get(&member.node), member.liveness) {
            (Some(before), now) if *before == now => (),
            (None, _) => log::debug!(member:% = member.node; "member joined"),
            (Some(_), Liveness::Suspect) => {
                log::debug!(member:% = member.node; "member is suspect")
            }
            (Some(Liveness::Suspect), Liveness::Alive) => {
                log::debug!(member:% = member.node; "member answers again");
            }
            (Some(_), Liveness::Alive) => note(member, "member is back"),
            (Some(_), Liveness::Dead) => note(member, "member is dead"),
            (Some(_), Liveness::Left) => note(member, "member left"),
        }
    }
}

fn note(member: &Member, what: &str) {
    log::info!(
        member:% = member.node,
        data_centre:% = member.place.data_centre;
        "{what}"
    );
}
