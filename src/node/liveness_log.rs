//! Logs changes in the liveness of mesh members, for the analysis of failures.

use std::collections::HashMap;

use crate::core::member::{Liveness, Member, NodeId};
use crate::proxy::log_limiter::{LogClass, LogLimiter};
use crate::proxy::view::MembershipView;

/// Logs each member whose liveness differs between the views `before` and `after`, within the rate limits of
/// `log_limiter`.
///
/// Suspicions are routine, since every short pause of a VM causes one, and so are joins, since a starting node sees
/// all members as new. Deaths, departures and returns are notable.
pub(crate) fn log_liveness(
    log_limiter: &LogLimiter,
    before: &MembershipView,
    after: &MembershipView,
) {
    let known: HashMap<NodeId, Liveness> = before
        .members
        .iter()
        .map(|member| (member.node, member.liveness))
        .collect();
    for member in &after.members {
        let (class, event) = match (known.get(&member.node), member.liveness) {
            (Some(before), now) if *before == now => continue,
            (None, _) => (LogClass::Routine, "member joined"),
            (Some(_), Liveness::Suspect) => (LogClass::Routine, "member is suspect"),
            (Some(Liveness::Suspect), Liveness::Alive) => {
                (LogClass::Routine, "member is no longer suspect")
            }
            (Some(_), Liveness::Alive) => (LogClass::Notable, "member is alive again"),
            (Some(_), Liveness::Dead) => (LogClass::Notable, "member is dead"),
            (Some(_), Liveness::Left) => (LogClass::Notable, "member left"),
        };
        if log_limiter.may_log(class) {
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
