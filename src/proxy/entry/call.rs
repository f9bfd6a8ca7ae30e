//! The attempts of one routed request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::uri::Authority;
use http::{Request, Response, Uri};
use http_body::Body as _;

use crate::core::mechanism::Mechanism;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::core::routing::Branch;
use crate::core::verdict::Verdict;
use crate::decide::load_balancing::{
    AttemptOutcome, Endpoint, EndpointEstimate, FreeSlotSearch, LoadReport, Requirements,
    TimeLimits,
};
use crate::decide::max_wait;
use crate::decide::retry::Attempts;
use crate::decide::uploads::SMALL_BODY_MAX_BYTES;
use crate::proxy::answer::{Failure, Reason};
use crate::proxy::body::{self, Body, Guarded};
use crate::proxy::decisions::{self, Weight};
use crate::proxy::hop::Hop;
use crate::proxy::replay::Replay;
use crate::proxy::state::ProxyState;
use crate::proxy::{gate, headers, intake};
use crate::util::clock;

/// A routed request.
pub(super) struct Call<'a> {
    pub(super) node: &'a Arc<ProxyState>,
    pub(super) parts: &'a Parts,
    /// What the caller named as the host.
    pub(super) host: &'a Authority,
    pub(super) branch: &'a Branch,
    pub(super) slots: u32,
    pub(super) body_bytes: u64,
    pub(super) began: Instant,
    pub(super) deadline: Instant,
    pub(super) depth: u32,
}

impl Call<'_> {
    fn service(&self) -> &ServiceName {
        &self.branch.service
    }

    pub(super) async fn run(
        &self,
        replay: &Replay,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Failure> {
        self.node.retry_tokens().for_service(self.service()).earn();
        let mut tried: Vec<NodeId> = Vec::new();
        let mut search = FreeSlotSearch::new(self.node.without());
        let mut verdict = Verdict::NotRun;
        let mut last = None;
        loop {
            let Some(endpoint) = self.choose(&tried) else {
                let none = Failure::not_run(Reason::NoEndpoint);
                return Err(last.unwrap_or(none).after(verdict));
            };
            let waits = self.is_call() || search.queues_at(endpoint.node);
            let hop = self.hop(attempts.downstream_budget(), waits);
            let failure = match self.attempt(endpoint, replay, hop).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if !waits && failure.is_for_load() {
                search.record_busy(endpoint.node);
                continue;
            }
            // One attempt that may have run taints all that follow: a later refusal proves
            // nothing of the earlier attempt.
            if failure.verdict != Verdict::NotRun {
                verdict = Verdict::MayHaveRun;
            }
            let failed = failure.failed();
            let again = {
                let mut tokens = self.node.retry_tokens();
                attempts.take_retry(failed, tokens.for_service(self.service()))
            };
            let again = again && replay.has_next() && Instant::now() < self.deadline;
            self.log_attempt_failed(&endpoint, &failure, again);
            if !again {
                return Err(failure.after(verdict));
            }
            metrics::counter!("dragonflywall_retries_total").increment(1);
            tried.push(endpoint.node);
            last = Some(failure);
        }
    }

    /// Whether a request that is running elsewhere waits for the answer.
    fn is_call(&self) -> bool {
        self.depth > 0
    }

    /// Until when an answer is worth most.
    fn due(&self) -> Instant {
        let target_ms = self.branch.treatment.target_latency_ms;
        let target_ms = target_ms.unwrap_or(self.branch.treatment.timeout_ms);
        self.began + Duration::from_millis(u64::from(target_ms))
    }

    /// Until when an answer is of use, from now.
    fn limits(&self) -> TimeLimits {
        let left_us = |until: Instant| {
            let left = until.saturating_duration_since(Instant::now());
            u64::try_from(left.as_micros()).unwrap_or(u64::MAX)
        };
        let deadline_us = left_us(self.deadline);
        TimeLimits {
            target_us: left_us(self.due()).min(deadline_us),
            deadline_us,
        }
    }

    fn choose(&self, tried: &[NodeId]) -> Option<Endpoint> {
        let view = self.node.view.load();
        let Some(ranked) = view.endpoints.get(self.service()) else {
            self.log_not_placed(0, tried.len());
            return None;
        };
        let need = Requirements {
            spill: self.branch.treatment.spill,
            default_slots: self.slots,
            resource: &self.branch.resource,
            limits: self.limits(),
            body_bytes: self.body_bytes,
            tried,
        };
        let now_us = clock::since_us(self.node.started);
        let mut balancer = self.node.balancer();
        let Some(endpoint) = balancer.choose(now_us, ranked, &need, &mut rand::rng()) else {
            self.log_not_placed(ranked.iter().count(), tried.len());
            return None;
        };
        self.log_placed(
            &endpoint,
            &balancer.estimate(now_us, &endpoint, &need),
            tried.len(),
        );
        balancer.record_start(now_us, &endpoint);
        Some(endpoint)
    }

    fn id(&self) -> &str {
        let id = self.parts.headers.get(&self.node.vocabulary.request_id);
        decisions::shown(id)
    }

    fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    fn log_placed(&self, endpoint: &Endpoint, believed: &EndpointEstimate, tried: usize) {
        if !self.node.decisions.may_log(Weight::Routine) {
            return;
        }
        log::info!(
            request_id = self.id(),
            service:% = self.service(),
            resource:% = self.branch.resource,
            node:% = endpoint.node,
            tried,
            in_hand = believed.in_flight,
            slots = believed.slots,
            held_us:? = believed.service_time_us,
            failing = believed.failure_rate,
            report_age_us:? = believed.report_age_us,
            left_ms = self.left_ms();
            "placed the request"
        );
    }

    fn log_not_placed(&self, known: usize, tried: usize) {
        if !self.node.decisions.may_log(Weight::Notable) {
            return;
        }
        log::warn!(
            request_id = self.id(),
            service:% = self.service(),
            known,
            tried,
            store_age_ms:? = self.node.store_age_ms(),
            left_ms = self.left_ms();
            "no endpoint to place the request at"
        );
    }

    fn log_attempt_failed(&self, endpoint: &Endpoint, failure: &Failure, again: bool) {
        if !self.node.decisions.may_log(Weight::Notable) {
            return;
        }
        log::warn!(
            request_id = self.id(),
            service:% = self.service(),
            node:% = endpoint.node,
            verdict = failure.verdict.as_str(),
            reason = failure.reason.word(),
            idempotent = self.branch.treatment.idempotent,
            again,
            left_ms = self.left_ms();
            "an attempt failed: {}", failure.reason.as_str()
        );
    }

    /// What goes with the request to a gate, where it waits for a slot or takes one that is free.
    fn hop(&self, retries: u32, waits: bool) -> Hop {
        let treatment = &self.branch.treatment;
        let patience = match waits {
            true if self.is_call() => max_wait::for_nested_call(treatment),
            true => max_wait::for_caller_request(treatment, self.node.without()),
            false => Duration::ZERO,
        };
        let now = Instant::now();
        Hop {
            service: self.service().clone(),
            resource: self.branch.resource.clone(),
            class: treatment.class,
            rank: treatment.priority,
            idempotent: treatment.idempotent,
            patience,
            came: now,
            due_in: self.due().saturating_duration_since(now),
            deadline: self.deadline,
            depth: self.depth,
            retries,
        }
    }

    async fn attempt(
        &self,
        endpoint: Endpoint,
        replay: &Replay,
        hop: Hop,
    ) -> Result<Response<Body>, Failure> {
        let outstanding = Outstanding {
            node: Arc::clone(self.node),
            endpoint: endpoint.node,
        };
        let result = if endpoint.node == self.node.me {
            let request = self.request(replay.next());
            let result = gate::run(self.node, &hop, request, intake::From::Here).await;
            self.reported(&endpoint, self.node.load(&hop));
            result
        } else if self.is_large() {
            self.send_large(&endpoint, hop, replay).await
        } else {
            self.send(&endpoint, &hop, self.request(replay.next()))
                .await
        };
        self.observe(&endpoint, &result);
        if let Ok(response) = &result {
            let bytes = response.body().size_hint().lower();
            self.node
                .balancer()
                .record_response_size(&self.branch.resource, bytes);
        }
        result.map(|response| response.map(|inner| body::boxed(Guarded::new(inner, outstanding))))
    }

    fn is_large(&self) -> bool {
        self.body_bytes > SMALL_BODY_MAX_BYTES && self.node.without().has(Mechanism::UploadTurns)
    }

    /// Asks for a turn, and sends the request once it has been given.
    async fn send_large(
        &self,
        endpoint: &Endpoint,
        hop: Hop,
        replay: &Replay,
    ) -> Result<Response<Body>, Failure> {
        let mut reservation = self.request(body::empty());
        let headers = reservation.headers_mut();
        headers.remove(header::CONTENT_LENGTH);
        headers.insert(headers::RESERVE, HeaderValue::from(self.body_bytes));
        let given = self.send(endpoint, &hop, reservation).await;
        let given = given.map_err(Failure::before_sending)?;
        let turn = given.headers().get(headers::TURN).cloned();
        let mut request = self.request(replay.next());
        if let Some(turn) = turn {
            request.headers_mut().insert(headers::TURN, turn);
        }
        // Once the body has used the link it is worth a wait.
        let hop = self.hop(hop.retries, true);
        self.send(endpoint, &hop, request).await
    }

    async fn send(
        &self,
        endpoint: &Endpoint,
        hop: &Hop,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, Failure> {
        let sender = self.node.peers.sender(endpoint.address);
        let mut sender = tokio::time::timeout_at(self.deadline.into(), sender)
            .await
            .map_err(|_| Failure::not_run(Reason::TooLate))??;
        hop.write(request.headers_mut());
        let exchange = sender.send(request);
        let response = tokio::time::timeout_at(self.deadline.into(), exchange)
            .await
            .map_err(|_| Failure::may_have_run(Reason::Deadline))??;
        let Some(load) = headers::load(response.headers()) else {
            log::warn!(peer:% = endpoint.node; "an answer came from no gate: look at the mesh token");
            return Err(without_gate(response.headers()));
        };
        self.reported(endpoint, load);
        self.learn_held(endpoint, response.headers());
        match Failure::from_headers(response.headers()) {
            None => Ok(response.map(body::boxed)),
            Some(failure) => Err(failure),
        }
    }

    fn reported(&self, endpoint: &Endpoint, load: LoadReport) {
        let now_us = clock::since_us(self.node.started);
        let resource = &self.branch.resource;
        let mut balancer = self.node.balancer();
        balancer.record_load(now_us, endpoint.node, resource, load);
    }

    fn learn_held(&self, endpoint: &Endpoint, headers: &HeaderMap) {
        let now_us = clock::since_us(self.node.started);
        let mut balancer = self.node.balancer();
        for (resource, held_us) in headers::held(headers) {
            balancer.record_service_time(now_us, endpoint.node, &resource, held_us);
        }
    }

    /// Tells the balancer what this attempt has shown of its endpoint.
    fn observe(&self, endpoint: &Endpoint, result: &Result<Response<Body>, Failure>) {
        let observed = match result {
            Ok(response) => AttemptOutcome::Answered {
                server_error: response.status().is_server_error(),
            },
            Err(failure) => match failure.reason {
                Reason::Draining | Reason::NoEndpoint => AttemptOutcome::Draining,
                Reason::Unreachable => AttemptOutcome::Unreachable,
                Reason::Rejected => AttemptOutcome::Rejected,
                Reason::Lost | Reason::Deadline => AttemptOutcome::Lost,
                _ => AttemptOutcome::Refused,
            },
        };
        let now_us = clock::since_us(self.node.started);
        self.node
            .balancer()
            .record_outcome(now_us, endpoint.node, observed);
    }

    fn request(&self, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = absolute(self.parts, self.host);
        *request.version_mut() = http::Version::HTTP_2;
        *request.headers_mut() = self.parts.headers.clone();
        request.headers_mut().remove(http::header::HOST);
        request
    }
}

/// Only a gate says its load. An answer without it is a peer listener's refusal of the mesh token, which says itself
/// that nothing ran, or comes from a program that is no node: a VM's address may have passed to one. Only the
/// mesh's own words prove "not run".
fn without_gate(headers: &HeaderMap) -> Failure {
    match Failure::from_headers(headers) {
        Some(failure) if failure.verdict == Verdict::NotRun => {
            Failure::not_run(Reason::Unreachable)
        }
        _ => Failure::may_have_run(Reason::Lost),
    }
}

fn absolute(parts: &Parts, host: &Authority) -> Uri {
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(host.clone())
        .path_and_query(path)
        .build();
    uri.expect("authority and path were parsed before")
}

/// Counts one request at its endpoint until its answer has been passed on or given up.
struct Outstanding {
    node: Arc<ProxyState>,
    endpoint: NodeId,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.node.balancer().record_end(self.endpoint);
    }
}
