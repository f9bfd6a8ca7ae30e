//! Attempts of a routed request: choice of an endpoint, sending, and retries.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::uri::{Authority, PathAndQuery};
use http::{Request, Response, Uri};
use http_body::Body as _;

use crate::core::configuration::Spill;
use crate::core::mechanism::Mechanism;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::core::organisation::Organisation;
use crate::core::request_digest::{HeadDigest, RequestDigest, RequestHead};
use crate::core::routing::ResolvedTarget;
use crate::core::verdict::Verdict;
use crate::decide::admission::{Priority, Rank};
use crate::decide::crashes::CrashSet;
use crate::decide::freeze::Epoch;
use crate::decide::load_balancing::{
    Balancer, Endpoint, FreeSlotSearch, Requirements, TimeLimits, VersionSet,
};
use crate::decide::max_wait;
use crate::decide::retry::Attempts;
use crate::decide::uploads::SMALL_BODY_MAX_BYTES;
use crate::proxy::body::{self, Body, GuardedBody};
use crate::proxy::failure::{Failure, Reason, Refusal};
use crate::proxy::hop::{self, Hop};
use crate::proxy::promise::{NotRun, OpenAttempts, PassedResponse};
use crate::proxy::replay::ReplayableBody;
use crate::proxy::response_body::{self, Place};
use crate::proxy::running_requests::ParentRequest;
use crate::proxy::state::ProxyState;
use crate::proxy::{crashes, gate, headers, statements, uploads};
use crate::util::{clock, deadline};

use super::identity;

mod attempt_log;
mod attempt_results;
mod endpoint_wait;

/// Path of reservations of upload permits.
const RESERVATION_PATH: &str = "/.well-known/dragonflywall/upload-permit";

/// An endpoint that was chosen for an attempt.
struct ChosenEndpoint {
    endpoint: Endpoint,
    /// Revision of the order for a roll-out, if the endpoint is of its candidate version.
    candidate_order: Option<u64>,
}

/// A request that matched a route, with the limits that apply to it.
pub(super) struct RoutedRequest<'a> {
    pub(super) node: &'a Arc<ProxyState>,
    pub(super) parts: &'a Parts,
    /// Host that the caller requested.
    pub(super) host: &'a Authority,
    pub(super) target: &'a ResolvedTarget,
    /// Organisation whose key the caller sent.
    pub(super) organisation: Option<&'a Organisation>,
    pub(super) rank: Rank,
    pub(super) default_slots: u32,
    pub(super) body_bytes: u64,
    pub(super) started_at: Instant,
    pub(super) deadline: Instant,
    pub(super) depth: u32,
    /// The epoch in which the request was admitted. After a freeze it is neither sent nor retried, as its route may
    /// have been changed.
    pub(super) admitted_in: Epoch,
    /// Version of the configuration that applies to it.
    pub(super) version: u64,
    pub(super) open_attempts: OpenAttempts,
    /// The running request that made this one.
    pub(super) parent: Option<ParentRequest>,
    pub(super) head_digest: OnceLock<HeadDigest>,
}

impl RoutedRequest<'_> {
    /// Identity of the request, by which its repeats are recognised. `body` may not have been read yet.
    pub(super) fn digest(&self, body: &ReplayableBody) -> RequestDigest {
        RequestDigest {
            head: self.head_digest(),
            body: body.digest(),
        }
    }

    pub(super) fn head_digest(&self) -> HeadDigest {
        *self.head_digest.get_or_init(|| {
            let path = self.parts.uri.path_and_query();
            HeadDigest::of(RequestHead {
                organisation: self.organisation.map(|known| known.name.as_str()),
                method: self.parts.method.as_str(),
                host: self.host.host(),
                path_and_query: path.map_or("/", |path| path.as_str()),
            })
        })
    }

    fn service(&self) -> &ServiceName {
        &self.target.service
    }

    pub(super) async fn run(
        &self,
        body: &ReplayableBody,
        attempts: &mut Attempts,
    ) -> Result<PassedResponse, Failure> {
        self.node
            .retry_tokens()
            .for_service(self.service())
            .deposit();
        let mut tried: Vec<NodeId> = Vec::new();
        let mut search = FreeSlotSearch::new(self.node.mechanisms(), self.is_service_overloaded());
        let refuse = |refusal| self.open_attempts.refuse(refusal);
        let mut last_refusal = None;
        let mut may_use_candidate = true;
        loop {
            let admitted = self.node.check_admitted_in(self.admitted_in);
            admitted.map_err(refuse)?;
            let attempt = self.begin_attempt(body).map_err(refuse)?;
            let chosen = self.choose_within_spill(&tried, may_use_candidate);
            if let Err(none) = &chosen
                && self.await_endpoint(none, last_refusal.as_ref()).await
            {
                continue;
            }
            let chosen = chosen.map_err(|none| refuse(last_refusal.unwrap_or(none)))?;
            let endpoint = chosen.endpoint;
            let waits = self.is_nested() || search.queues_at(endpoint.node);
            let hop = Hop {
                known_statements: self.node.known_statements().get(endpoint.node).cloned(),
                crashes: attempt.crashes,
                ..self.hop(attempts.downstream_budget(), waits, chosen.candidate_order)
            };
            let result = self.send_attempt(endpoint, body, hop).await;
            self.record_attempt(body, &result);
            drop(attempt);
            self.record_version_outcome(chosen.candidate_order, &result);
            let failure = match result {
                Ok(response) => return Ok(response),
                Err(failure) => failure.at_gate(endpoint.node),
            };
            may_use_candidate &= chosen.candidate_order.is_none();
            let may_send_again = self.has_time_for_attempt();
            if !waits && failure.is_gate_full() && may_send_again && body.can_replay() {
                search.record_busy(endpoint.node);
                continue;
            }
            let may_retry = may_send_again
                && body.can_replay()
                && self.node.is_current(self.admitted_in)
                && self.check_attempt(body).is_ok();
            let retry = self.take_retry(attempts, &failure, may_retry);
            self.log_attempt_failed(&endpoint, body, &failure, retry);
            if !retry {
                // A refusal says nothing about an earlier attempt that may have run.
                return Err(self.open_attempts.conclude(failure));
            }
            metrics::counter!("dragonflywall_retries_total").increment(1);
            tried.push(endpoint.node);
            last_refusal = Some(failure.into_refusal());
        }
    }

    /// Deadline of an attempt that begins now.
    fn attempt_deadline(&self) -> Instant {
        let drain = self.node.drain_schedule();
        drain.map_or(self.deadline, |drain| drain.limit(self.deadline))
    }

    fn take_retry(&self, attempts: &mut Attempts, failure: &Failure, may_retry: bool) -> bool {
        let failure = failure.attempt_failure();
        if !may_retry {
            attempts.record_failure(failure);
            return false;
        }
        let mut tokens = self.node.retry_tokens();
        attempts.take_retry(failure, tokens.for_service(self.service()))
    }

    /// Whether another attempt may begin. A refusal by a gate would come too late otherwise, and the
    /// request would count as one that may have run.
    fn has_time_for_attempt(&self) -> bool {
        let deadline = self.attempt_deadline();
        let whole = deadline.saturating_duration_since(self.started_at);
        deadline.saturating_duration_since(Instant::now()) > hop::queue_margin(whole)
    }

    /// Whether this is a nested call, for whose response a request of a backend server waits.
    fn is_nested(&self) -> bool {
        self.depth > 0
    }

    /// When the target latency has passed, or the timeout if there is no target latency.
    fn due(&self) -> Instant {
        let target_ms = self.target.treatment.target_latency_ms;
        let target_ms = target_ms.unwrap_or(self.target.treatment.timeout_ms);
        self.started_at + Duration::from_millis(u64::from(target_ms))
    }

    /// Time left until the target latency and until the deadline.
    fn time_limits(&self) -> TimeLimits {
        let remaining_us = |until: Instant| {
            let remaining = until.saturating_duration_since(Instant::now());
            u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX)
        };
        let deadline_us = remaining_us(self.attempt_deadline());
        TimeLimits {
            target_us: remaining_us(self.due()).min(deadline_us),
            deadline_us,
        }
    }

    fn choose_within_spill(
        &self,
        tried: &[NodeId],
        may_use_candidate: bool,
    ) -> Result<ChosenEndpoint, Refusal> {
        let farthest = self.target.treatment.spill;
        let mut spill = self.spill();
        loop {
            let chosen = self.choose_endpoint(tried, may_use_candidate, spill);
            if chosen.is_ok() || spill >= farthest {
                return chosen;
            }
            // There is no endpoint so near.
            spill = spill.next();
        }
    }

    /// Chooses an endpoint for the next attempt. With `may_use_candidate` it may be one of a candidate
    /// version, as far as its exposure is within the limit.
    fn choose_endpoint(
        &self,
        tried: &[NodeId],
        may_use_candidate: bool,
        spill: Spill,
    ) -> Result<ChosenEndpoint, Refusal> {
        let view = self.node.view.load();
        let Some(ranked) = view.endpoints.get(self.service()) else {
            let refusal = Refusal::from(Reason::NoEndpoint);
            self.log_no_endpoint(&refusal, 0, tried.len());
            return Err(refusal);
        };
        let rollouts = &self.node.rollouts;
        let limit_percent = self.node.settings.exposure_percent;
        let choices = rollouts.choices(self.service(), ranked, may_use_candidate, limit_percent);
        let requirements = Requirements {
            spill,
            default_slots: self.default_slots,
            resource: &self.target.resource,
            limits: self.time_limits(),
            priority: self.priority(),
            body_bytes: self.body_bytes,
            tried,
            versions: VersionSet::ALL,
            only: None,
        };
        let now_us = clock::since_us(self.node.started);
        let mut balancer = self.node.balancer();
        for choice in choices {
            let requirements = Requirements {
                versions: choice.versions,
                only: choice.only.as_deref(),
                ..requirements
            };
            let chosen = balancer.choose(now_us, ranked, &requirements, &mut rand::rng());
            if let Some(endpoint) = chosen {
                let endpoint = ChosenEndpoint {
                    endpoint,
                    candidate_order: choice.candidate_order,
                };
                self.record_chosen(&mut balancer, &endpoint, &requirements);
                return Ok(endpoint);
            }
            if let Some(order_revision) = choice.candidate_order {
                rollouts.put_back_credit(self.service(), order_revision);
            }
        }
        let rate_limit_wait_us = balancer.rate_limit_wait_us(now_us, ranked);
        drop(balancer);
        let refusal = match rate_limit_wait_us {
            Some(wait_us) => {
                metrics::counter!("dragonflywall_requests_withheld_total").increment(1);
                Refusal::from(Reason::RateLimited).with_retry_after_ms(wait_us / 1_000)
            }
            None => Reason::NoEndpoint.into(),
        };
        self.log_no_endpoint(&refusal, ranked.iter().count(), tried.len());
        Err(refusal)
    }

    /// Priority of the request at the gate.
    fn priority(&self) -> Priority {
        hop::priority(self.depth, self.rank)
    }

    fn record_chosen(
        &self,
        balancer: &mut Balancer,
        chosen: &ChosenEndpoint,
        requirements: &Requirements<'_>,
    ) {
        let now_us = clock::since_us(self.node.started);
        let endpoint = &chosen.endpoint;
        self.log_endpoint_chosen(
            endpoint,
            &balancer.estimate(now_us, endpoint, requirements),
            requirements.tried.len(),
        );
        balancer.record_start(now_us, endpoint);
    }

    /// Metadata of an attempt for the gate. With `waits`, the request may queue there for a slot;
    /// otherwise it is refused unless a slot is free.
    fn hop(&self, retries: u32, waits: bool, rollout_order: Option<u64>) -> Hop {
        let treatment = &self.target.treatment;
        let max_wait = match waits {
            true if self.is_nested() => max_wait::for_nested_call(treatment),
            true => max_wait::for_caller_request(treatment, self.node.mechanisms()),
            false => Duration::ZERO,
        };
        let now = Instant::now();
        Hop {
            service: self.service().clone(),
            resource: self.target.resource.clone(),
            class: treatment.class,
            rank: self.rank,
            idempotent: treatment.idempotent,
            max_wait,
            received_at: now,
            due_in: self.due().saturating_duration_since(now),
            deadline: self.attempt_deadline(),
            depth: self.depth,
            retries,
            crashes: CrashSet::default(),
            rollout_order,
            known_statements: None,
            admitted_in: Some(self.admitted_in),
            open_attempts: self.open_attempts.clone(),
        }
    }

    async fn send_attempt(
        &self,
        endpoint: Endpoint,
        body: &ReplayableBody,
        hop: Hop,
    ) -> Result<PassedResponse, Failure> {
        let sent_in = self.node.freezes.epoch();
        let outstanding = OutstandingRequest {
            node: Arc::clone(self.node),
            endpoint: endpoint.node,
        };
        let result = if endpoint.node == self.node.local_id {
            let request = self.build_request(body.next_attempt());
            let token = self.node.gate_requests.token();
            let result = gate::run(self.node, &hop, request, uploads::BodySource::Local).await;
            self.record_load(&endpoint, self.node.load(&hop));
            result.map(|response| response.map(|inner| body::boxed(GuardedBody::new(inner, token))))
        } else if self.is_large() {
            self.send_large(&endpoint, hop, body).await
        } else {
            self.send(&endpoint, &hop, self.build_request(body.next_attempt()))
                .await
        };
        let result = result.and_then(PassedResponse::new);
        // After a freeze of this process, a missing response says nothing about the endpoint.
        if result.is_ok() || self.node.is_current(sent_in) {
            self.record_outcome(&endpoint, &result);
            self.record_reach(&endpoint, &result);
        }
        if let Ok(response) = &result {
            statements::count_forwarded(self.node, response.headers());
            let bytes = response.body().size_hint().lower();
            self.node
                .balancer()
                .record_response_size(&self.target.resource, bytes);
        }
        let guarded = |inner| body::boxed(GuardedBody::new(inner, outstanding));
        result.map(|response| response.map_body(guarded))
    }

    fn is_large(&self) -> bool {
        self.body_bytes > SMALL_BODY_MAX_BYTES
            && self
                .node
                .mechanisms()
                .is_enabled(Mechanism::UploadScheduling)
    }

    /// Sends a reservation of an upload permit. If that fails, the request itself has not been sent: whatever program
    /// receives the reservation, it has neither the method and path of the request nor its headers.
    async fn reserve(&self, endpoint: &Endpoint, hop: &Hop) -> Result<Response<Body>, Failure> {
        let mut reservation = Request::new(body::empty());
        *reservation.uri_mut() = absolute_uri(self.host, RESERVATION_PATH);
        *reservation.version_mut() = http::Version::HTTP_2;
        reservation.headers_mut().insert(
            headers::UPLOAD_PERMIT_REQUEST,
            HeaderValue::from(self.body_bytes),
        );
        let hop = Hop {
            open_attempts: OpenAttempts::default(),
            ..hop.clone()
        };
        let reserved = self.send(endpoint, &hop, reservation).await;
        reserved.map_err(|failure| {
            let refusal = match failure.verdict() {
                Verdict::NotRun => failure.into_refusal(),
                Verdict::MayHaveRun | Verdict::Answered => Reason::Unreachable.into(),
            };
            self.open_attempts.refuse(refusal)
        })
    }

    /// Requests an upload permit, and sends the request with its body once the permit is granted.
    async fn send_large(
        &self,
        endpoint: &Endpoint,
        hop: Hop,
        body: &ReplayableBody,
    ) -> Result<Response<Body>, Failure> {
        let granted = self.reserve(endpoint, &hop).await?;
        let permit = granted.headers().get(headers::UPLOAD_PERMIT).cloned();
        let mut request = self.build_request(body.next_attempt());
        if let Some(permit) = permit {
            request.headers_mut().insert(headers::UPLOAD_PERMIT, permit);
        }
        // The request may now wait for a slot: if it were refused, its body would have used the
        // link in vain.
        let hop = Hop {
            known_statements: hop.known_statements,
            crashes: hop.crashes,
            ..self.hop(hop.retries, true, hop.rollout_order)
        };
        self.send(endpoint, &hop, request).await
    }

    async fn send(
        &self,
        endpoint: &Endpoint,
        hop: &Hop,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, Failure> {
        let open_attempts = &hop.open_attempts;
        let refuse = |refusal| open_attempts.refuse(refusal);
        let sender = self.node.peers.sender(endpoint.address);
        let sender = tokio::time::timeout_at(hop.deadline.into(), sender).await;
        let sender = sender.unwrap_or(Err(Reason::TooLate.into()));
        let mut sender = sender.map_err(refuse)?;
        let admitted = self.node.check_admitted_in(self.admitted_in);
        admitted.map_err(refuse)?;
        hop.write_headers(request.headers_mut());
        let exchange = sender.send(request, open_attempts);
        // A stopping node passes on an earlier deadline, so that the response to it arrives in time.
        let response = deadline::timeout_at(self.deadline, exchange)
            .await
            .map_err(|_| Failure::may_have_run(Reason::Deadline))?;
        let response =
            response.map_err(|failure| match self.node.is_current(self.admitted_in) {
                true => crashes::add_node_crash(endpoint, failure),
                // Connections that end during a freeze of this process say nothing about their nodes.
                false => failure,
            })?;
        let Some(load) = headers::parse_load(response.headers()) else {
            log::warn!(peer:% = endpoint.node; "response without a load header: the peer refused the mesh token or is not a node");
            return Err(failure_without_load(response.headers(), open_attempts));
        };
        self.record_load(endpoint, load);
        self.record_service_times(endpoint, response.headers());
        let failure = Failure::from_headers(response.headers(), open_attempts);
        self.record_statements(endpoint, hop, response.headers(), failure.is_none());
        match failure {
            None => {
                let response = response.map(body::boxed);
                Ok(response_body::limit_time(
                    self.node,
                    Place::Entry,
                    self.parts.headers.get(&self.node.header_profile.request_id),
                    response,
                    self.deadline,
                ))
            }
            Some(failure) => Err(failure),
        }
    }

    fn build_request(&self, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query();
        *request.uri_mut() = absolute_uri(self.host, path.map_or("/", PathAndQuery::as_str));
        *request.version_mut() = http::Version::HTTP_2;
        *request.headers_mut() = self.parts.headers.clone();
        request.headers_mut().remove(http::header::HOST);
        identity::add_organisation(self.node, self.organisation, request.headers_mut());
        request
    }
}

/// Failure for a response without a load header, which a gate sends with each response to a valid
/// request. Such a response comes from a node that refused the mesh token before the request
/// reached the gate, or from a program that is not a node, because the VM's address was reassigned.
/// Only a `not-run` verdict from the mesh proves that the request did not run.
fn failure_without_load(headers: &HeaderMap, open_attempts: &OpenAttempts) -> Failure {
    match NotRun::refused_by_node(headers) {
        Some(proof) => open_attempts.disprove(proof, Reason::Unreachable),
        None => Failure::may_have_run(Reason::Lost),
    }
}

fn absolute_uri(host: &Authority, path: &str) -> Uri {
    let uri = Uri::builder()
        .scheme("http")
        .authority(host.clone())
        .path_and_query(path)
        .build();
    uri.expect("authority and path are already valid")
}

/// Counts a request as outstanding at its endpoint until the response has been forwarded or the
/// request is abandoned.
struct OutstandingRequest {
    node: Arc<ProxyState>,
    endpoint: NodeId,
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        self.node.balancer().record_end(self.endpoint);
    }
}
