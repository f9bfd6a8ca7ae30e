//! The backend server's own node: admits a request and forwards it over the last hop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderValue};
use http::uri::Authority;
use http::{Request, Response, StatusCode};

use super::answer::{Failure, Reason};
use super::body::{self, Body, Guarded};
use super::calls::Running;
use super::decisions::{self, Weight};
use super::headers;
use super::hop::Hop;
use super::intake::{self, turns};
use super::slots::{self, Slot};
use crate::proxy::local_backend::LocalBackend;
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// How long a request may have been held up on its way and still be run. Above the first
/// retransmission of a lost packet, below the half second after which work for a caller that has left
/// is work for nobody.
const DELAY_MAX: Duration = Duration::from_millis(300);

/// Serves a request from another node: all outcomes become answers with the mesh's headers.
///
/// `delay` is how long the request was held up on its way. One that comes so late that its caller may have left is
/// not run; its entry, if it still waits, takes it elsewhere.
pub(crate) async fn serve(
    node: Arc<ProxyState>,
    request: Request<Body>,
    delay: Duration,
) -> Response<Body> {
    let Some(hop) = Hop::read(request.headers(), delay) else {
        return Failure::not_run(Reason::BadRequest).into_hop_response();
    };
    let result = match delay > DELAY_MAX {
        true => Err(held_up(&node, &hop, &request, delay)),
        false => serve_in_time(&node, &hop, request).await,
    };
    let mut response = result.unwrap_or_else(Failure::into_hop_response);
    let load = headers::load_value(&node.load(&hop));
    response.headers_mut().insert(headers::LOAD, load);
    let held = node.other_held(&hop);
    response.headers_mut().insert(headers::HELD, held);
    response
}

async fn serve_in_time(
    node: &Arc<ProxyState>,
    hop: &Hop,
    request: Request<Body>,
) -> Result<Response<Body>, Failure> {
    if request.headers().contains_key(headers::RESERVE) {
        return reserve(node, hop).await;
    }
    let turn = headers::number(request.headers(), &headers::TURN).map(turns::Key::of);
    run(node, hop, request, intake::From::Peer(turn)).await
}

/// Gives a turn to the large body of a request, if the request would be let in.
async fn reserve(node: &Arc<ProxyState>, hop: &Hop) -> Result<Response<Body>, Failure> {
    serving(node, hop)?;
    if let Some(refusal) = slots::would_refuse(node, hop) {
        return Err(refusal);
    }
    let turn = intake::reserve(node, hop).await?;
    let mut response = Response::new(body::empty());
    let turn = HeaderValue::from(turn.number());
    response.headers_mut().insert(headers::TURN, turn);
    Ok(response)
}

fn held_up(node: &ProxyState, hop: &Hop, request: &Request<Body>, delay: Duration) -> Failure {
    let failure = Failure::not_run(Reason::HeldUp);
    let id = request.headers().get(&node.vocabulary.request_id);
    let sent = Instant::now().checked_sub(delay);
    log_failed(node, hop, id, sent.unwrap_or(node.started), &failure);
    failure
}

/// Admits `request`, whose body comes `from` there, and runs it on the local backend server.
///
/// Up to the moment in which it holds a slot nothing of it has been passed on, not even read: the
/// failures up to there prove that it did not run.
pub(crate) async fn run(
    node: &Arc<ProxyState>,
    hop: &Hop,
    request: Request<Body>,
    from: intake::From,
) -> Result<Response<Body>, Failure> {
    let id = request.headers().get(&node.vocabulary.request_id).cloned();
    let came = Instant::now();
    let result = admit(node, hop, request, from, id.as_ref()).await;
    if let Err(failure) = &result {
        log_failed(node, hop, id.as_ref(), came, failure);
    }
    result
}

async fn admit(
    node: &Arc<ProxyState>,
    hop: &Hop,
    request: Request<Body>,
    from: intake::From,
    id: Option<&HeaderValue>,
) -> Result<Response<Body>, Failure> {
    serving(node, hop)?;
    let came = Instant::now();
    if let Some(refusal) = slots::would_refuse(node, hop) {
        return Err(refusal);
    }
    let (parts, body) = request.into_parts();
    let body = intake::take(node, hop, body, from).await?;
    let mut request = Request::from_parts(parts, body);
    let mut slot = Slot::take(node, hop).await?;
    // Another backend server may have taken the address while the request waited.
    let backend = serving(node, hop)?;
    log_admitted(node, hop, id, came, &backend);
    let own_id = id.filter(|_| node.vocabulary.calls_extend_ids);
    let own_id = own_id.and_then(|id| id.to_str().ok());
    let mut running = node.calls.begin(hop, own_id);
    prepare(node, &mut request, hop, &backend, &running);
    let exchange = node.pool.send(backend.address, request, hop.idempotent);
    let response = tokio::time::timeout_at(hop.deadline.into(), exchange)
        .await
        .map_err(|_| Failure::may_have_run(Reason::Deadline))??;
    let response = judge(node, &backend, id, response)?;
    let unspent = running.answered();
    slot.answered();
    Ok(finish(response, unspent, (slot, running)))
}

fn log_admitted(
    node: &ProxyState,
    hop: &Hop,
    id: Option<&HeaderValue>,
    came: Instant,
    backend: &LocalBackend,
) {
    let waited = came.elapsed();
    metrics::histogram!("dragonflywall_gate_wait_seconds").record(waited);
    if !node.decisions.may_log(Weight::Routine) {
        return;
    }
    let load = node.load(hop);
    log::info!(
        request_id = decisions::shown(id),
        backend:% = backend.address,
        instance:? = backend.instance,
        waited_ms = clock::since_ms(came),
        in_use = load.in_use,
        slots = load.slots;
        "the request has its slot"
    );
}

fn log_failed(
    node: &ProxyState,
    hop: &Hop,
    id: Option<&HeaderValue>,
    came: Instant,
    failure: &Failure,
) {
    let reason = failure.reason.word();
    metrics::counter!("dragonflywall_gate_failures_total", "reason" => reason).increment(1);
    // One that would not have waited goes on to another gate.
    let weight = match hop.patience.is_zero() {
        true => Weight::Routine,
        false => Weight::Notable,
    };
    if !node.decisions.may_log(weight) {
        return;
    }
    let load = node.load(hop);
    let left = hop.deadline.saturating_duration_since(Instant::now());
    log::warn!(
        request_id = decisions::shown(id),
        service:% = hop.service,
        resource:% = hop.resource,
        rank = hop.rank,
        verdict = failure.verdict.as_str(),
        reason,
        took_ms = clock::since_ms(came),
        patience_ms:% = hop.patience.as_millis(),
        left_ms:% = left.as_millis(),
        in_use = load.in_use,
        ahead = load.ahead,
        slots = load.slots,
        mean_held_us = load.mean_service_time_us,
        resource_held_us = load.resource_service_time_us,
        retry_after_ms = failure.wait_ms();
        "the gate has no answer: {}", failure.reason.as_str()
    );
}

fn serving(node: &ProxyState, hop: &Hop) -> Result<Arc<LocalBackend>, Failure> {
    let backend = node.backend.load_full();
    let backend = backend.filter(|backend| backend.service == hop.service);
    backend.ok_or(Failure::not_run(Reason::NoEndpoint))
}

fn prepare(
    node: &ProxyState,
    request: &mut Request<Body>,
    hop: &Hop,
    backend: &LocalBackend,
    running: &Running,
) {
    let vocabulary = node.vocabulary;
    // Callers may name a host of a route instead of the service.
    let host = request.uri().authority().map(Authority::as_str);
    let host = headers::value(host.unwrap_or(hop.service.as_str()));
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(http::Uri::default, Into::into);
    *request.version_mut() = http::Version::HTTP_11;
    let headers = request.headers_mut();
    headers::strip_mesh(headers);
    headers.insert(header::HOST, host);
    headers.insert(&vocabulary.deadline_ms, hop.remaining_ms());
    if let Some(name) = &vocabulary.call {
        headers.insert(name, headers::value(&running.token()));
    }
    if let (Some(name), Some(instance)) = (&vocabulary.expected_instance, &backend.instance) {
        headers.insert(name, headers::value(instance.as_str()));
    }
}

/// Whether the backend server's answer is one to this request.
fn judge(
    node: &Arc<ProxyState>,
    backend: &LocalBackend,
    id: Option<&HeaderValue>,
    response: Response<Body>,
) -> Result<Response<Body>, Failure> {
    let vocabulary = node.vocabulary;
    let (parts, body) = response.into_parts();
    if !vocabulary.answers(id, &parts) {
        log::warn!(status = parts.status.as_u16(); "an answer of the backend server belongs to no request");
        // The connection goes with the body, which is not read.
        return Err(Failure::may_have_run(Reason::Lost));
    }
    if expects_another(vocabulary.expected_instance.is_some(), &parts.status) {
        node.mistaken(backend);
        return Err(Failure::not_run(Reason::NoEndpoint));
    }
    if vocabulary.says_not_run(&parts.headers) {
        return Err(Failure::not_run(Reason::Rejected));
    }
    Ok(Response::from_parts(parts, body))
}

/// A request that names an instance is turned away by any other.
fn expects_another(named: bool, status: &StatusCode) -> bool {
    named && *status == StatusCode::MISDIRECTED_REQUEST
}

fn finish(response: Response<Body>, unspent: u32, held: (Slot, Running)) -> Response<Body> {
    let mut response = response.map(|inner| body::boxed(Guarded::new(inner, held)));
    let headers: &mut HeaderMap = response.headers_mut();
    headers::strip_hop_by_hop(headers);
    headers::strip_mesh(headers);
    headers.insert(headers::RETRIES, HeaderValue::from(unspent));
    response
}
