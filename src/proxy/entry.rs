//! The entry node, to which the caller is connected: routes a request, chooses an endpoint and
//! retries failed attempts. The route's treatment sets the timeout, the number of attempts and
//! whether the request is idempotent.

use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use http::Response;
use http::header::HeaderValue;
use http::request::Parts;
use http::uri::Authority;
use tokio_util::sync::CancellationToken;

use self::quota::Charge;
use self::request_log::{Logged, LoggedRequest, RequestLog};
use self::routed_request::RoutedRequest;
use super::body::Body;
use super::failure::{Failure, Reason, Refusal};
use super::headers;
use super::promise::{OpenAttempts, PassedResponse};
use super::received_ids::{ReceivedBy, ReceivedIds};
use super::replay::ReplayableBody;
use super::running_requests::{InheritedContext, ParentRequest, RetryBudget};
use crate::core::configuration::PRIORITY_DEFAULT;
use crate::core::mechanism::Mechanism;
use crate::core::organisation::Organisation;
use crate::core::routing::{ResolvedTarget, Route};
use crate::decide::access::Credential;
use crate::decide::admission::Rank;
use crate::decide::drain::RequestOrigin;
use crate::decide::retry::{self, Attempts};
use crate::decide::split;
use crate::distribution::CompiledConfiguration;
use crate::proxy::state::{CurrentConfiguration, NotServing, ProxyState};
use crate::util::{deadline, log_queue};

mod crashes;
mod identity;
mod overload;
mod quota;
mod request_log;
mod routed_request;
#[cfg(test)]
mod tests;

/// Starts a pipelined request before the requests ahead of it on its connection are answered. `None` if it must wait for
/// them. Only idempotent requests may start early: if the connection closes before the response, the caller sends the
/// request again. It is served by the configuration that says so, whenever the returned future is first polled.
pub(crate) fn serve_early(
    node: &Arc<ProxyState>,
    parts: &Parts,
) -> Option<impl Future<Output = Response<Body>> + Send + use<>> {
    if !node.mechanisms().is_enabled(Mechanism::PipelinedStart) || node.leaving.is_cancelled() {
        return None;
    }
    let current = node.current_configuration().ok()?;
    let host = requested_host(parts)?;
    let route = find_route(&current.compiled, parts, host.host()).ok()?;
    let mut targets = route.targets.iter();
    let idempotent = targets.all(|target| target.treatment.idempotent);
    idempotent.then(|| {
        let (node, parts) = (Arc::clone(node), parts.clone());
        serve_by(node, Ok(current), parts, ReplayableBody::Empty)
    })
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    node: Arc<ProxyState>,
    parts: Parts,
    body: ReplayableBody,
) -> Response<Body> {
    let current = node.current_configuration();
    serve_by(node, current, parts, body).await
}

/// Serves one request by the configuration that was current when it was admitted, from start to end, even if a newer one
/// takes effect meanwhile.
async fn serve_by(
    node: Arc<ProxyState>,
    current: Result<CurrentConfiguration, NotServing>,
    mut parts: Parts,
    body: ReplayableBody,
) -> Response<Body> {
    let version = match &current {
        Ok(current) => Some(current.compiled.stamp.version),
        Err(_) => node.last_configuration().map(|last| last.stamp.version),
    };
    let version = version.map_or(0, |version| version.0);
    let mut context = RequestContext::from_request(&node, &parts);
    let id = request_id(&node, &parts);
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_mesh_headers(&mut parts.headers);
    if let Ok(current) = &current {
        context.credential = identity::take_credential(&node, current, &mut parts.headers);
    }
    add_backend_headers(&node, &mut parts, id.clone());
    let logged = LoggedRequest {
        id: id.clone(),
        method: parts.method.clone(),
        target: host_and_path(&parts),
        version,
        attempts: context.open_attempts.clone(),
    };
    let request_log = RequestLog::new(&node, logged);
    let result = match current {
        Ok(current) => route_and_run(&node, &current, &parts, &body, context).await,
        Err(NotServing::Refreshing) => Err(context.open_attempts.refuse(Reason::Refreshing)),
        Err(NotServing::NoConfiguration) => {
            Err(context.open_attempts.refuse(Reason::NoConfiguration))
        }
    };
    if request_log.finish(&result) == Logged::Promise {
        // The line is there even if the process ends right after the response.
        log_queue::wait_written().await;
    }
    let mut response = match result {
        Ok(passed) => {
            let mut response = passed.into_inner();
            headers::strip_mesh_headers(response.headers_mut());
            response
        }
        Err(failure) => failure.into_response(node.header_profile),
    };
    let headers = response.headers_mut();
    headers.insert(headers::VERSION, HeaderValue::from(version));
    headers.insert(&node.header_profile.request_id, id);
    response
}

/// Replaces reserved headers of a caller's request by those that the mesh sets for the backend
/// server.
fn add_backend_headers(node: &ProxyState, parts: &mut Parts, id: HeaderValue) {
    let profile = node.header_profile;
    profile.strip_reserved(&mut parts.headers);
    parts.headers.insert(&profile.request_id, id);
    let settings = node.reloadable.load();
    if let (Some(name), Some(local_backend)) = (&profile.caller_service, &settings.backend_server) {
        let service = headers::to_value(local_backend.service.as_str());
        parts.headers.insert(name, service);
    }
}

fn request_id(node: &ProxyState, parts: &Parts) -> HeaderValue {
    let received_id = parts.headers.get(&node.header_profile.request_id).cloned();
    received_id.unwrap_or_else(|| headers::to_value(&format!("{:016x}", rand::random::<u64>())))
}

/// Limits that apply to a request: its own, or those inherited from the request that made it.
struct RequestContext {
    deadline: Option<Instant>,
    depth: u32,
    /// Rank of the request that made it.
    parent_rank: Option<Rank>,
    /// The key that it carried, if requests need one.
    credential: Credential,
    cancellation: CancellationToken,
    budget: RetryBudget,
    parent: Option<ParentRequest>,
    open_attempts: OpenAttempts,
}

impl RequestContext {
    fn from_request(node: &ProxyState, parts: &Parts) -> Self {
        let deadline = node.header_profile.deadline(&parts.headers);
        match inherited_context(node, parts) {
            Some(inherited) => Self {
                deadline: Some(
                    inherited
                        .deadline
                        .min(deadline.unwrap_or(inherited.deadline)),
                ),
                depth: inherited.depth,
                parent_rank: Some(inherited.parent_rank),
                credential: Credential::Absent,
                cancellation: inherited.cancellation,
                budget: inherited.budget,
                parent: Some(inherited.parent),
                open_attempts: OpenAttempts::default(),
            },
            None => Self {
                deadline,
                depth: 0,
                parent_rank: None,
                credential: Credential::Absent,
                cancellation: CancellationToken::new(),
                budget: RetryBudget::root(retry::RETRIES_PER_TREE),
                parent: None,
                open_attempts: OpenAttempts::default(),
            },
        }
    }
}

/// Context inherited from a running request of the local backend server, if the request is a nested
/// call of one.
fn inherited_context(node: &ProxyState, parts: &Parts) -> Option<InheritedContext> {
    let profile = node.header_profile;
    let name = profile.call_token.as_ref();
    if let Some(token) = name.and_then(|name| headers::get_str(&parts.headers, name)) {
        return node.running_requests.inherit_by_token(token);
    }
    let id = parts.headers.get(&profile.request_id)?;
    node.running_requests.inherit_by_id(profile.parent_of(id)?)
}

async fn route_and_run(
    node: &Arc<ProxyState>,
    current: &CurrentConfiguration,
    parts: &Parts,
    body: &ReplayableBody,
    mut context: RequestContext,
) -> Result<PassedResponse, Failure> {
    let compiled = &*current.compiled;
    let open_attempts = context.open_attempts.clone();
    let refuse = |refusal| open_attempts.refuse(refusal);
    let host = requested_host(parts).ok_or_else(|| refuse(Reason::BadRequest.into()))?;
    let route = find_route(compiled, parts, host.host()).map_err(refuse)?;
    if context.depth > retry::DEPTH_MAX {
        return Err(refuse(Reason::TooDeep.into()));
    }
    let organisation = identity::organisation_of(node, current, parts, route, &context);
    let organisation = organisation.map_err(refuse)?;
    check_body_len(compiled, body).map_err(refuse)?;
    let target = choose_target(route);
    if !target.treatment.idempotent {
        let id = parts.headers.get(&node.header_profile.request_id);
        ReceivedIds::record(node, ReceivedBy::Entry, id, open_attempts.begun());
    }
    let service = compiled.configuration.service(&target.service);
    let timeout = Duration::from_millis(u64::from(target.treatment.timeout_ms));
    let started_at = Instant::now();
    let route_deadline = started_at + timeout;
    let deadline = context
        .deadline
        .map_or(route_deadline, |deadline| deadline.min(route_deadline));
    check_drain(node, started_at, deadline, context.depth).map_err(refuse)?;
    let charge = Charge::take(node, organisation.as_deref(), &open_attempts).map_err(refuse)?;
    let request = RoutedRequest {
        node,
        parts,
        host: &host,
        target,
        organisation: organisation.as_deref(),
        rank: rank_of(compiled, &context, organisation.as_deref(), target),
        default_slots: service.map_or(1, |service| service.slots_per_endpoint),
        body_bytes: body.min_len_bytes(),
        started_at,
        deadline,
        depth: context.depth,
        admitted_in: current.epoch,
        version: compiled.stamp.version.0,
        open_attempts: open_attempts.clone(),
        parent: context.parent.take(),
        head_digest: OnceLock::new(),
    };
    request.check_first_attempt(body).await.map_err(refuse)?;
    let throttled = overload::ThrottledRequest::admit(&request).map_err(refuse)?;
    let mut attempts = Attempts::new(&target.treatment, context.budget.retries);
    let cancellation = context.cancellation.clone();
    // Dropping this future cancels the running attempt, up to the backend server.
    let outcome = cancellation.run_until_cancelled(request.run(body, &mut attempts));
    // An explicit response tells the caller more than a connection that breaks.
    let outcome = until_drain_expired(node, outcome).await;
    let result = result_of(outcome, &request, &attempts, &mut context);
    throttled.record(&result);
    charge.settle(&result);
    result
}

/// The result of a routed request, after which the unspent retries are those of the request that led to it.
fn result_of(
    outcome: Option<Option<Result<PassedResponse, Failure>>>,
    request: &RoutedRequest<'_>,
    attempts: &Attempts,
    context: &mut RequestContext,
) -> Result<PassedResponse, Failure> {
    match outcome {
        None if request.open_attempts.is_empty() => {
            Err(request.open_attempts.refuse(Reason::DrainTooShort))
        }
        None => Err(Failure::may_have_run(Reason::Stopping)),
        Some(None) => Err(Failure::may_have_run(Reason::GivenUp)),
        Some(Some(Err(failure))) => {
            context.budget.retries = attempts.budget_after_failure();
            Err(failure)
        }
        Some(Some(Ok(response))) => {
            let unspent_retries =
                headers::get_u64(response.headers(), &headers::RETRIES).unwrap_or(0);
            context.budget.retries =
                attempts.budget_after_response(u32::try_from(unspent_retries).unwrap_or(0));
            Ok(response)
        }
    }
}

fn find_route<'a>(
    compiled: &'a CompiledConfiguration,
    parts: &Parts,
    host: &str,
) -> Result<&'a Route, Refusal> {
    let (method, path) = (parts.method.as_str(), parts.uri.path());
    if let Some(route) = compiled.routes.find(host, method, path) {
        return Ok(route);
    }
    let reason = match compiled.routes.has_host(host) {
        true => Reason::NoRoute,
        false => Reason::NoService,
    };
    Err(reason.into())
}

/// Rank of a request at the gate. Where requests belong to organisations, the priority of the organisation goes before that
/// of the route, and nested calls are ranked like the request that made them.
fn rank_of(
    compiled: &CompiledConfiguration,
    context: &RequestContext,
    organisation: Option<&Organisation>,
    target: &ResolvedTarget,
) -> Rank {
    let route = target.treatment.priority;
    if compiled.routes.organisations().is_none() {
        return Rank::of_route(route);
    }
    match context.parent_rank {
        Some(parent_rank) => parent_rank.of_nested_calls(),
        None => Rank::new(
            organisation.map_or(PRIORITY_DEFAULT, |organisation| organisation.priority),
            route,
        ),
    }
}

/// The outcome of a request; `None` if it has not arrived when the drain expires.
async fn until_drain_expired<F: Future>(node: &ProxyState, outcome: F) -> Option<F::Output> {
    let mut outcome = pin!(outcome);
    tokio::select! {
        biased;
        outcome = &mut outcome => Some(outcome),
        () = node.drain_expired.cancelled() => deadline::if_arrived(outcome).await,
    }
}

/// Refuses a request that may not be finished by the end of a shutdown, if its caller can send it to
/// another node.
fn check_drain(
    node: &ProxyState,
    now: Instant,
    deadline: Instant,
    depth: u32,
) -> Result<(), Refusal> {
    let origin = match depth {
        0 => RequestOrigin::Caller,
        _ => RequestOrigin::RunningRequest,
    };
    let drain = node.drain_schedule();
    match drain.is_none_or(|drain| drain.accepts(now, deadline, origin)) {
        true => Ok(()),
        false => Err(Reason::DrainTooShort.into()),
    }
}

fn choose_target(route: &Route) -> &ResolvedTarget {
    let weights = route.targets.iter().map(|target| target.weight);
    &route.targets[split::choose_target_index(weights, route.next_request_number())]
}

/// Rejects a body whose declared length exceeds the limit. A body of unknown length is not limited.
fn check_body_len(compiled: &CompiledConfiguration, body: &ReplayableBody) -> Result<(), Refusal> {
    let limits = compiled.configuration.caller_limits();
    let body_max_bytes = limits.map_or(u64::MAX, |limits| limits.body_max_bytes);
    match body.min_len_bytes() > body_max_bytes {
        true => Err(Reason::BodyTooLong.into()),
        false => Ok(()),
    }
}

/// Host and path of a request, for log lines.
fn host_and_path(parts: &Parts) -> String {
    let host = requested_host(parts);
    let host = host.as_ref().map_or("", Authority::host);
    format!("{host}{}", parts.uri.path())
}

fn requested_host(parts: &Parts) -> Option<Authority> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.clone()),
        None => headers::get_str(&parts.headers, &http::header::HOST)?
            .parse()
            .ok(),
    }
}
