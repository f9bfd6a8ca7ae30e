//! Logs what changed between two views of the mesh, for whoever reads the log after a failure.

use std::collections::HashMap;

use crate::core::member::{Liveness, Member, NodeId};
use crate::proxy::log_limiter::{LogClass, LogLimiter};
use crate::proxy::view::MembershipView;

/// Logs each member whose liveness is not what it was, with the state of its backend server.
/// Suspicions come and go with every pause of a VM, and all members are new to a node that starts:
/// both are routine. A death or a return is not.
pub(crate) fn log_liveness(
    decisions: &LogLimiter,
    before: &MembershipView,
    after: &MembershipView,
) {
    let known: HashMap<NodeId, Liveness> = before
        .members
        .iter()
        .map(|member| (member.node, member.liveness))
        .collect();
    for member in &after.members {
        let (weight, event) = match (known.get(&member.node), member.liveness) {
            (Some(before), now) if *before == now => continue,
            (None, _) => (LogClass::Routine, "member joined"),
            (Some(_), Liveness::Suspect) => (LogClass::Routine, "member is suspect"),
            (Some(Liveness::Suspect), Liveness::Alive) => {
                (LogClass::Routine, "member answers again")
            }
            (Some(_), Liveness::Alive) => (LogClass::Notable, "member is back"),
            (Some(_), Liveness::Dead) => (LogClass::Notable, "member is dead"),
            (Some(_), Liveness::Left) => (LogClass::Notable, "member left"),
        };
        if decisions.may_log(weight) {
            log_member(member, event);
        }
    }
}

fn log_member(member: &Member, event: &str) {
    log::info!(
        member:% = member.node,
        data_centre:% = member.place.data_centre,
        incarnation_us = member.incarnation_us;
        "{event}"
    );
}
