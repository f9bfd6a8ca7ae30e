//! The node that a caller reached: routes its request, places it, and retries within the treatment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HeaderValue;
use http::request::Parts;
use http::uri::Authority;
use http::{Request, Response, Uri};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::answer::{Failure, Reason};
use super::body::{self, Body};
use super::{gate, headers};
use crate::core::configuration::Treatment;
use crate::core::names::ServiceName;
use crate::core::verdict::Verdict;
use crate::decide::placement::{self, Candidate};
use crate::decide::retry;
use crate::distribution::Applied;
use crate::node::state::{Endpoint, NodeState};

/// Longest request body that is kept for a retry. Payments and bookings are a few KB; an upload
/// is streamed and tried once its first byte has left.
const REPLAY_MAX_BYTES: u64 = 64 << 10;

/// Serves one request of a caller.
pub(crate) async fn serve(node: Arc<NodeState>, request: Request<Incoming>) -> Response<Body> {
    // The request keeps the snapshot that it was admitted under, whatever is enforced meanwhile.
    let applied = node.enforced.load_full();
    let version = applied
        .as_ref()
        .map_or(0, |applied| applied.stamp.version.0);
    let (mut parts, incoming) = request.into_parts();
    let id = request_id(&parts);
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_mesh(&mut parts.headers);
    parts.headers.insert(headers::REQUEST_ID, id.clone());
    let result = match applied {
        _ if !node.is_fresh() => Err(Failure::not_run(Reason::Refreshing)),
        None => Err(Failure::not_run(Reason::NoConfiguration)),
        Some(applied) => run(&node, &applied, &parts, incoming).await,
    };
    let mut response = result.unwrap_or_else(|failure| {
        log::debug!(
            request_id:? = id,
            version = version,
            verdict:% = failure.verdict;
            "request failed: {}", failure.reason.as_str()
        );
        failure.into_response()
    });
    let headers = response.headers_mut();
    headers.remove(headers::LOAD_PERCENT);
    headers.insert(headers::VERSION, HeaderValue::from(version));
    headers.insert(headers::REQUEST_ID, id);
    response
}

fn request_id(parts: &Parts) -> HeaderValue {
    let given = parts.headers.get(&headers::REQUEST_ID).cloned();
    given.unwrap_or_else(|| headers::value(&format!("{:016x}", rand::random::<u64>())))
}

async fn run(
    node: &Arc<NodeState>,
    applied: &Applied,
    parts: &Parts,
    incoming: Incoming,
) -> Result<Response<Body>, Failure> {
    let service = service_of(parts).ok_or(Failure::not_run(Reason::BadRequest))?;
    if !applied.routes.has_service(&service) {
        return Err(Failure::not_run(Reason::NoService));
    }
    let route = applied
        .routes
        .find(&service, parts.method.as_str(), parts.uri.path())
        .ok_or(Failure::not_run(Reason::NoRoute))?;
    let target = &route.record.target.service;
    let treatment = &route.treatment;
    let deadline = Instant::now() + Duration::from_millis(u64::from(treatment.timeout_ms));
    let mut sendable = Sendable::take(incoming).await?;
    let mut attempts_made = 0;
    loop {
        let Some(body) = sendable.next() else {
            return Err(Failure::may_have_run(Reason::Lost));
        };
        let outcome = attempt(node, target, treatment, parts, body, deadline).await;
        attempts_made += 1;
        let failure = match outcome {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let again = retry::may_retry(treatment, failure.verdict, attempts_made);
        if !again || !sendable.has_next() || Instant::now() >= deadline {
            return Err(failure);
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

/// A request body, and whether it can be sent again.
enum Sendable {
    Replayable(Bytes),
    Once(Option<Incoming>),
}

impl Sendable {
    async fn take(incoming: Incoming) -> Result<Self, Failure> {
        let upper = incoming.size_hint().upper();
        if upper.is_some_and(|bytes| bytes <= REPLAY_MAX_BYTES) {
            let collected = incoming.collect().await;
            let collected = collected.map_err(|_| Failure::not_run(Reason::BadRequest))?;
            return Ok(Self::Replayable(collected.to_bytes()));
        }
        Ok(Self::Once(Some(incoming)))
    }

    fn next(&mut self) -> Option<Body> {
        match self {
            Self::Replayable(bytes) => Some(body::full(bytes.clone())),
            Self::Once(incoming) => incoming.take().map(body::boxed),
        }
    }

    fn has_next(&self) -> bool {
        match self {
            Self::Replayable(_) => true,
            Self::Once(incoming) => incoming.is_some(),
        }
    }
}

async fn attempt(
    node: &Arc<NodeState>,
    service: &ServiceName,
    treatment: &Treatment,
    parts: &Parts,
    body: Body,
    deadline: Instant,
) -> Result<Response<Body>, Failure> {
    let endpoint = choose(node, service, treatment)?;
    let remaining = deadline.saturating_duration_since(Instant::now());
    let request = between_nodes(parts, service, remaining, body);
    if endpoint.node == node.me {
        return gate::run(node, request).await;
    }
    let exchange = node.peers.send(endpoint.address, request);
    let response = tokio::time::timeout(remaining, exchange)
        .await
        .map_err(|_| Failure::may_have_run(Reason::Deadline))??;
    if let Some(load) = headers::number(response.headers(), &headers::LOAD_PERCENT) {
        let load = u32::try_from(load).unwrap_or(u32::MAX);
        node.loads().insert(endpoint.node, load);
    }
    match headers::text(response.headers(), &headers::VERDICT) {
        None => Ok(response.map(body::boxed)),
        Some(word) => Err(refused(Verdict::from_word(word))),
    }
}

fn refused(verdict: Verdict) -> Failure {
    match verdict {
        Verdict::NotRun => Failure::not_run(Reason::Full),
        Verdict::MayHaveRun | Verdict::Answered => Failure::may_have_run(Reason::Lost),
    }
}

fn choose(
    node: &NodeState,
    service: &ServiceName,
    treatment: &Treatment,
) -> Result<Endpoint, Failure> {
    let view = node.view.load();
    let endpoints = view.endpoints.get(service);
    let endpoints = endpoints.ok_or(Failure::not_run(Reason::NoEndpoint))?;
    let loads = node.loads();
    let candidates: Vec<Candidate> = endpoints
        .iter()
        .map(|endpoint| Candidate {
            node: endpoint.node,
            place: endpoint.place.clone(),
            load_percent: loads.get(&endpoint.node).copied().unwrap_or(0),
        })
        .collect();
    drop(loads);
    let place = &node.settings.place;
    let chosen = placement::place(&candidates, place, treatment.spill, &mut rand::rng());
    let chosen = chosen.ok_or(Failure::not_run(Reason::NoEndpoint))?;
    let endpoint = endpoints.iter().find(|e| e.node == chosen.node);
    Ok(endpoint.expect("chosen among them").clone())
}

fn between_nodes(
    parts: &Parts,
    service: &ServiceName,
    remaining: Duration,
    body: Body,
) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = absolute(parts, service);
    *request.version_mut() = http::Version::HTTP_2;
    *request.headers_mut() = parts.headers.clone();
    let headers = request.headers_mut();
    headers.remove(http::header::HOST);
    headers.insert(headers::DATA, HeaderValue::from_static("1"));
    headers.insert(headers::SERVICE, headers::value(service.as_str()));
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    request
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
