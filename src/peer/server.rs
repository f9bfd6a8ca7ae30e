//! The control service of this node: passes each call to the actor that is responsible for it.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tonic::{Request, Response, Status};

use super::convert;
use super::generated as wire;
use super::generated::control_server::Control;
use crate::core::member::NodeId;
use crate::core::version::Version;
use crate::distribution::Offer;
use crate::node::configuration::ConfigurationMsg;
use crate::node::crashes;
use crate::node::membership::MembershipMsg;
use crate::node::quota;
use crate::node::rollout::RolloutMsg;
use crate::node::state::NodeState;
use crate::store::rows::NodeRow;

#[cfg(test)]
mod tests;

/// Longest wait for an answer of an actor in this process.
const ACTOR_TIMEOUT_MS: u64 = 1_000;
/// Longest time for which a follower's request waits for a newer version.
const FOLLOW_WAIT_MAX: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
pub(crate) struct ControlService {
    pub(crate) membership: ActorRef<MembershipMsg>,
    pub(crate) configuration: ActorRef<ConfigurationMsg>,
    pub(crate) rollout: ActorRef<RolloutMsg>,
    pub(crate) node: Arc<NodeState>,
}

impl ControlService {
    async fn offer(&self, have: Version) -> Result<Option<Offer>, Status> {
        let offer = ractor::call_t!(
            self.configuration,
            ConfigurationMsg::GetOffer,
            ACTOR_TIMEOUT_MS,
            have
        );
        offer.map_err(|_| node_stopping())
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    async fn exchange(
        &self,
        request: Request<wire::Gossip>,
    ) -> Result<Response<wire::Gossip>, Status> {
        let gossip =
            convert::gossip_from_wire(request.get_ref()).map_err(|e| invalid_argument(&e))?;
        let answer = ractor::call_t!(
            self.membership,
            MembershipMsg::Receive,
            ACTOR_TIMEOUT_MS,
            gossip
        );
        let answer = answer.map_err(|_| node_stopping())?;
        Ok(Response::new(convert::gossip_to_wire(&answer)))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchReply>, Status> {
        let have = Version(request.get_ref().have_version);
        let offer = self.offer(have).await?;
        Ok(Response::new(convert::offer_to_wire(offer)))
    }

    async fn follow(
        &self,
        request: Request<wire::FollowRequest>,
    ) -> Result<Response<wire::FollowReply>, Status> {
        let arrived_ms = self.node.proxy.uptime_ms();
        let request = request.get_ref();
        let have = Version(request.have_version);
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(FOLLOW_WAIT_MAX);
        let mut held = self.node.held_version.subscribe();
        let mut store_failing = self.node.store_failing.subscribe();
        let mut rollouts = self.node.rollouts.subscribe();
        let known_digest = request.rollouts_digest;
        let is_newer = tokio::select! {
            newer = held.wait_for(|held| *held > have) => newer.is_ok(),
            _ = store_failing.wait_for(|failing| *failing) => false,
            _ = rollouts.wait_for(|book| book.digest() != known_digest) => false,
            () = tokio::time::sleep(wait) => false,
        };
        let offer = match is_newer {
            true => self.offer(have).await?,
            false => None,
        };
        let book = self.node.rollouts();
        let differs = book.digest() != known_digest;
        let store_age_ms = self.node.proxy.store_age_ms().unwrap_or(u64::MAX);
        let store_age_ms = u32::try_from(store_age_ms).unwrap_or(u32::MAX);
        let proof = self.node.proxy.freshness().latest();
        let now_ms = self.node.proxy.uptime_ms();
        let since_ms = |ms: u64| u32::try_from(now_ms.saturating_sub(ms)).unwrap_or(u32::MAX);
        Ok(Response::new(wire::FollowReply {
            newer: Some(convert::offer_to_wire(offer)),
            store_age_ms,
            blind: *self.node.store_failing.borrow(),
            rollouts: differs.then(|| convert::rollouts::book_to_wire(&book)),
            known_newest_version: proof.map(|proof| proof.version.0),
            known_newest_age_ms: proof.map_or(0, |proof| since_ms(proof.at_ms)),
            waited_ms: since_ms(arrived_ms),
        }))
    }

    async fn hint(
        &self,
        request: Request<wire::HintRequest>,
    ) -> Result<Response<wire::HintReply>, Status> {
        let head = request.get_ref().head.as_ref();
        let head = convert::stamp_from_wire(head).map_err(|e| invalid_argument(&e))?;
        // Sending fails only while the process shuts down.
        let _ = self.membership.cast(MembershipMsg::SetHead(head));
        let _ = self.configuration.cast(ConfigurationMsg::Announced {
            stamp: head,
            holder: None,
        });
        let enforced = ractor::call_t!(
            self.configuration,
            ConfigurationMsg::GetEnforced,
            ACTOR_TIMEOUT_MS
        );
        let enforced = enforced.map_err(|_| node_stopping())?;
        Ok(Response::new(wire::HintReply {
            enforced: Some(convert::stamp_to_wire(enforced)),
        }))
    }

    async fn tally(
        &self,
        request: Request<wire::TallyRequest>,
    ) -> Result<Response<wire::TallyReply>, Status> {
        let request = request.get_ref();
        let tallies = convert::rollouts::tallies_from_wire(&request.tallies);
        // Sending fails only while the process shuts down.
        let _ = self.rollout.cast(RolloutMsg::Tallies {
            tallies,
            forwarded: request.forwarded,
        });
        Ok(Response::new(wire::TallyReply {}))
    }

    async fn report_usage(
        &self,
        request: Request<wire::UsageReport>,
    ) -> Result<Response<wire::UsageGrants>, Status> {
        let report = convert::usage::report_from_wire(request.get_ref());
        let report = report.map_err(|e| invalid_argument(&e))?;
        let grants = quota::add_report(&self.node, report);
        Ok(Response::new(convert::usage::grants_to_wire(&grants)))
    }

    async fn share_usage(
        &self,
        request: Request<wire::UsageSums>,
    ) -> Result<Response<wire::UsageSums>, Status> {
        let received = convert::usage::sums_from_wire(request.get_ref());
        let (from, sums) = received.map_err(|e| invalid_argument(&e))?;
        let sums = quota::exchange_sums(&self.node, from, sums);
        let local = self.node.process;
        Ok(Response::new(convert::usage::sums_to_wire(local, &sums)))
    }

    async fn report_crashes(
        &self,
        request: Request<wire::CrashReport>,
    ) -> Result<Response<wire::CrashReportReply>, Status> {
        let report = request.get_ref();
        let updates = convert::crashes::report_from_wire(report);
        let further = convert::crashes::nodes_from_wire(&report.further);
        crashes::merge(&self.node, &updates);
        let left_out = crashes::pass_on(&self.node, further, updates.into()).await;
        let left_out = convert::crashes::nodes_to_wire(&left_out);
        Ok(Response::new(wire::CrashReportReply { left_out }))
    }

    async fn check_backend(
        &self,
        request: Request<wire::BackendCheck>,
    ) -> Result<Response<wire::BackendCheckReply>, Status> {
        let check = request.get_ref();
        let within = Duration::from_millis(u64::from(check.within_ms));
        let start = convert::start_from_wire(check.start);
        let pool = &self.node.proxy.pool;
        let has_announced = start.is_some_and(|start| pool.has_announced_within(start, within));
        Ok(Response::new(wire::BackendCheckReply { has_announced }))
    }

    async fn write_row(
        &self,
        request: Request<wire::WriteRowRequest>,
    ) -> Result<Response<wire::WriteRowReply>, Status> {
        let row: NodeRow = serde_json::from_str(&request.get_ref().row)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let written = self.node.row_writer.write(row).await;
        written.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(wire::WriteRowReply {}))
    }

    async fn floor(
        &self,
        request: Request<wire::FloorRequest>,
    ) -> Result<Response<wire::FloorReply>, Status> {
        let node =
            convert::parse_address(&request.get_ref().node).map_err(|e| invalid_argument(&e))?;
        // Read before everything that the answer consists of and checked after it: what is read while the
        // configuration is being refreshed, or before a freeze, may be outdated.
        let refreshed_epoch = self.node.proxy.freezes.refreshed_epoch();
        let reported = ractor::call_t!(
            self.membership,
            MembershipMsg::GetReportedVersion,
            ACTOR_TIMEOUT_MS,
            NodeId(node)
        );
        let reported = reported.map_err(|_| node_stopping())?;
        let enforced = ractor::call_t!(
            self.configuration,
            ConfigurationMsg::GetEnforced,
            ACTOR_TIMEOUT_MS
        );
        let enforced = enforced.map_err(|_| node_stopping())?;
        let rollouts = convert::rollouts::book_to_wire(&self.node.rollouts());
        Ok(Response::new(wire::FloorReply {
            reported_version: reported.0,
            enforced: Some(convert::stamp_to_wire(enforced)),
            refreshing: !self.node.proxy.is_current(refreshed_epoch),
            rollouts: Some(rollouts),
        }))
    }
}

fn invalid_argument(error: &convert::Error) -> Status {
    Status::invalid_argument(error.to_string())
}

fn node_stopping() -> Status {
    Status::unavailable("the node is stopping")
}
