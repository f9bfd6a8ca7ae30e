//! The node that a caller reached: routes its request, places it, and retries within the treatment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::uri::Authority;
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use super::answer::{Failure, Reason};
use super::body::{self, Body, Guarded};
use super::calls::RetryBudget;
use super::hop::Hop;
use super::replay::Replay;
use super::{gate, headers};
use crate::core::configuration::Class;
use crate::core::member::NodeId;
use crate::core::names::ServiceName;
use crate::core::routing::Route;
use crate::core::verdict::Verdict;
use crate::decide::placement::{Endpoint, Need, Observed};
use crate::decide::retry::{self, Attempts};
use crate::distribution::Applied;
use crate::node::state::NodeState;
use crate::util::clock;

/// Serves one request of a caller.
pub(crate) async fn serve(node: Arc<NodeState>, request: Request<Incoming>) -> Response<Body> {
    // The request keeps the snapshot that it was admitted under, whatever is enforced meanwhile.
    let applied = node.enforced.load_full();
    let version = applied
        .as_ref()
        .map_or(0, |applied| applied.stamp.version.0);
    let (mut parts, incoming) = request.into_parts();
    let origin = Origin::of(&node, &parts);
    let id = request_id(&parts);
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_mesh(&mut parts.headers);
    parts.headers.insert(headers::REQUEST_ID, id.clone());
    let result = match applied {
        _ if !node.is_fresh() => Err(Failure::not_run(Reason::Refreshing)),
        None => Err(Failure::not_run(Reason::NoConfiguration)),
        Some(applied) => run(&node, &applied, &parts, incoming, origin).await,
    };
    let mut response = match result {
        Ok(mut response) => {
            headers::strip_mesh(response.headers_mut());
            count(Verdict::Answered);
            response
        }
        Err(failure) => {
            log::debug!(
                request_id:? = id,
                version = version,
                verdict:% = failure.verdict;
                "request failed: {}", failure.reason.as_str()
            );
            count(failure.verdict);
            failure.into_response()
        }
    };
    let headers = response.headers_mut();
    headers.insert(headers::VERSION, HeaderValue::from(version));
    headers.insert(headers::REQUEST_ID, id);
    response
}

fn count(verdict: Verdict) {
    metrics::counter!("dragonflywall_requests_total", "verdict" => verdict.as_str()).increment(1);
}

fn request_id(parts: &Parts) -> HeaderValue {
    let given = parts.headers.get(&headers::REQUEST_ID).cloned();
    given.unwrap_or_else(|| headers::value(&format!("{:016x}", rand::random::<u64>())))
}

/// Where a request comes from: a caller outside, or a call that the local backend server runs.
struct Origin {
    deadline: Option<Instant>,
    depth: u32,
    given_up: CancellationToken,
    budget: RetryBudget,
}

impl Origin {
    fn of(node: &NodeState, parts: &Parts) -> Self {
        let token = headers::text(&parts.headers, &headers::CALL);
        match token.and_then(|token| node.calls.inherit(token)) {
            Some(inherited) => Self {
                deadline: Some(inherited.deadline),
                depth: inherited.depth,
                given_up: inherited.given_up,
                budget: inherited.budget,
            },
            None => Self {
                deadline: None,
                depth: 0,
                given_up: CancellationToken::new(),
                budget: RetryBudget::fresh(retry::RETRIES_PER_TREE),
            },
        }
    }
}

async fn run(
    node: &Arc<NodeState>,
    applied: &Applied,
    parts: &Parts,
    incoming: Incoming,
    mut origin: Origin,
) -> Result<Response<Body>, Failure> {
    let service = service_of(parts).ok_or(Failure::not_run(Reason::BadRequest))?;
    if !applied.routes.has_service(&service) {
        return Err(Failure::not_run(Reason::NoService));
    }
    let route = applied
        .routes
        .find(&service, parts.method.as_str(), parts.uri.path())
        .ok_or(Failure::not_run(Reason::NoRoute))?;
    if origin.depth > retry::DEPTH_MAX {
        return Err(Failure::not_run(Reason::TooDeep));
    }
    let target = &route.record.target.service;
    let limits = applied.configuration.service(target);
    let timeout = Duration::from_millis(u64::from(route.treatment.timeout_ms));
    let own_deadline = Instant::now() + timeout;
    let call = Call {
        node,
        parts,
        route,
        slots: limits.map_or(1, |service| service.slots_per_endpoint),
        queue_len: limits.map_or(0, |service| service.queue_len),
        deadline: origin
            .deadline
            .map_or(own_deadline, |above| above.min(own_deadline)),
        depth: origin.depth,
    };
    let stall_limit = Duration::from_millis(node.settings.caller_idle_timeout_ms);
    let replay = Replay::new(incoming, stall_limit);
    let mut attempts = Attempts::new(&route.treatment, origin.budget.retries);
    let given_up = origin.given_up.clone();
    // Dropping the attempts cancels the exchange under way, down to the backend server.
    let ended = given_up.run_until_cancelled(call.run(&replay, &mut attempts));
    match ended.await {
        None => Err(Failure::may_have_run(Reason::GivenUp)),
        Some(Err(failure)) => {
            origin.budget.retries = attempts.after_failure();
            Err(failure)
        }
        Some(Ok(response)) => {
            let unspent = headers::number(response.headers(), &headers::RETRIES).unwrap_or(0);
            origin.budget.retries = attempts.after_answer(u32::try_from(unspent).unwrap_or(0));
            Ok(response)
        }
    }
}

fn service_of(parts: &Parts) -> Option<String> {
    let host = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => headers::text(&parts.headers, &http::header::HOST)?,
    };
    let authority: Authority = host.parse().ok()?;
    Some(authority.host().to_owned())
}

/// A routed request.
struct Call<'a> {
    node: &'a Arc<NodeState>,
    parts: &'a Parts,
    route: &'a Route,
    slots: u32,
    queue_len: u32,
    deadline: Instant,
    depth: u32,
}

impl Call<'_> {
    fn service(&self) -> &ServiceName {
        &self.route.record.target.service
    }

    async fn run(
        &self,
        replay: &Replay,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Failure> {
        self.node.retry_tokens().entry_for(self.service()).earn();
        let mut tried: Vec<NodeId> = Vec::new();
        let mut verdict = Verdict::NotRun;
        let mut last = None;
        loop {
            let Some(endpoint) = self.choose(&tried) else {
                let none = Failure::not_run(Reason::NoEndpoint);
                return Err(last.unwrap_or(none).after(verdict));
            };
            let retries = attempts.passed_down();
            let failure = match self.attempt(endpoint, replay.next(), retries).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            // One attempt that may have run taints all that follow: a later refusal proves
            // nothing of the earlier attempt.
            if failure.verdict != Verdict::NotRun {
                verdict = Verdict::MayHaveRun;
            }
            let failed = failure.failed();
            let again = {
                let mut tokens = self.node.retry_tokens();
                attempts.again(failed, tokens.entry_for(self.service()))
            };
            if !again || !replay.has_next() || Instant::now() >= self.deadline {
                return Err(failure.after(verdict));
            }
            metrics::counter!("dragonflywall_retries_total").increment(1);
            tried.push(endpoint.node);
            last = Some(failure);
        }
    }

    fn choose(&self, tried: &[NodeId]) -> Option<Endpoint> {
        let view = self.node.view.load();
        let ranked = view.endpoints.get(self.service())?;
        let need = Need {
            spill: self.route.treatment.spill,
            slots: self.slots,
            queue_len: self.queue_len,
            tried,
        };
        let now_us = clock::since_us(self.node.started);
        let mut balancer = self.node.balancer();
        let endpoint = balancer.choose(now_us, ranked, &need, &mut rand::rng())?;
        balancer.begun(now_us, &endpoint);
        Some(endpoint)
    }

    async fn attempt(
        &self,
        endpoint: Endpoint,
        body: Body,
        retries: u32,
    ) -> Result<Response<Body>, Failure> {
        let outstanding = Outstanding {
            node: Arc::clone(self.node),
            endpoint: endpoint.node,
        };
        let hop = Hop {
            service: self.service().clone(),
            class: self.route.treatment.class,
            deadline: self.deadline,
            depth: self.depth,
            retries,
        };
        let began = Instant::now();
        let result = if endpoint.node == self.node.me {
            let request = self.request(body);
            let result = gate::run(self.node, &hop, request).await;
            let load_percent = self.node.admission().load_percent();
            let now_us = clock::since_us(self.node.started);
            self.node
                .balancer()
                .reported(now_us, endpoint.node, load_percent);
            result
        } else {
            self.send(&endpoint, &hop, body).await
        };
        self.observe(&endpoint, began, &result);
        result.map(|response| response.map(|inner| body::boxed(Guarded::new(inner, outstanding))))
    }

    async fn send(
        &self,
        endpoint: &Endpoint,
        hop: &Hop,
        body: Body,
    ) -> Result<Response<Body>, Failure> {
        let sender = self.node.peers.sender(endpoint.address);
        let mut sender = tokio::time::timeout_at(self.deadline.into(), sender)
            .await
            .map_err(|_| Failure::not_run(Reason::TooLate))??;
        let mut request = self.request(body);
        hop.write(request.headers_mut());
        let exchange = sender.send(request);
        let response = tokio::time::timeout_at(self.deadline.into(), exchange)
            .await
            .map_err(|_| Failure::may_have_run(Reason::Deadline))??;
        let Some(load) = headers::number(response.headers(), &headers::LOAD_PERCENT) else {
            log::warn!(peer:% = endpoint.node; "an answer came from no gate: look at the mesh token");
            return Err(without_gate(response.headers()));
        };
        let load = u32::try_from(load).unwrap_or(u32::MAX);
        let now_us = clock::since_us(self.node.started);
        self.node.balancer().reported(now_us, endpoint.node, load);
        match Failure::from_headers(response.headers()) {
            None => Ok(response.map(body::boxed)),
            Some(failure) => Err(failure),
        }
    }

    /// Tells the balancer what this attempt has shown of its endpoint.
    fn observe(
        &self,
        endpoint: &Endpoint,
        began: Instant,
        result: &Result<Response<Body>, Failure>,
    ) {
        let observed = match result {
            Ok(response) => {
                // Bulk work takes as long as its body is large, which says nothing of the endpoint.
                let interactive = self.route.treatment.class == Class::Interactive;
                Observed::Answered {
                    latency_us: interactive.then(|| clock::since_us(began)),
                    server_error: response.status().is_server_error(),
                }
            }
            Err(failure) => match failure.reason {
                Reason::Draining | Reason::NoEndpoint => Observed::Draining,
                Reason::Unreachable => Observed::Unreachable,
                Reason::Lost | Reason::Deadline => Observed::Lost,
                _ => Observed::Refused,
            },
        };
        let now_us = clock::since_us(self.node.started);
        self.node
            .balancer()
            .observed(now_us, endpoint.node, observed);
    }

    fn request(&self, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = absolute(self.parts, self.service());
        *request.version_mut() = http::Version::HTTP_2;
        *request.headers_mut() = self.parts.headers.clone();
        request.headers_mut().remove(http::header::HOST);
        request
    }
}

/// Only a gate says its load. An answer without it is a peer listener's refusal of the mesh token,
/// which says itself that nothing ran, or comes from a program that is no node.
///
/// Failure guarded against: a VM's address passes to another program while the mesh still routes to
/// it; that program runs a payment and the entry sends it to a second endpoint. Only the mesh's own
/// words prove "not run", and such a program does not send them.
fn without_gate(headers: &HeaderMap) -> Failure {
    match Failure::from_headers(headers) {
        Some(failure) if failure.verdict == Verdict::NotRun => {
            Failure::not_run(Reason::Unreachable)
        }
        _ => Failure::may_have_run(Reason::Lost),
    }
}

fn absolute(parts: &Parts, service: &ServiceName) -> Uri {
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(service.as_str())
        .path_and_query(path)
        .build();
    uri.expect("a name is an authority and the path was parsed before")
}

/// Counts one request at its endpoint until its answer has been passed on or given up.
struct Outstanding {
    node: Arc<NodeState>,
    endpoint: NodeId,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.node.balancer().ended(self.endpoint);
    }
}
