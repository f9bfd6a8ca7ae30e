//! The node that a caller reached: routes its request, places it, and retries within the treatment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Response;
use http::header::HeaderValue;
use http::request::Parts;
use http::uri::Authority;
use tokio_util::sync::CancellationToken;

use self::arrival::Arrival;
use self::call::Call;
use super::answer::{Failure, Reason};
use super::body::Body;
use super::calls::{Inherited, RetryBudget};
use super::headers;
use super::replay::Replay;
use crate::core::mechanism::Mechanism;
use crate::core::routing::{Branch, Route};
use crate::decide::retry::{self, Attempts};
use crate::decide::split;
use crate::distribution::Applied;
use crate::proxy::state::ProxyState;

mod arrival;
mod call;

/// Whether a request may be started before those that its caller sent ahead of it are answered:
/// were the connection to end with one of them, the caller would send it again.
pub(crate) fn may_start_early(node: &ProxyState, parts: &Parts) -> bool {
    if !node.without().has(Mechanism::EarlyStart) {
        return false;
    }
    let applied = node.enforced.load();
    let Some(applied) = applied.as_ref().filter(|_| !node.leaving.is_cancelled()) else {
        return false;
    };
    let route = host_of(parts).and_then(|host| route_of(applied, parts, host.host()).ok());
    route.is_some_and(|route| {
        let mut branches = route.branches.iter();
        branches.all(|branch| branch.treatment.idempotent)
    })
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    node: Arc<ProxyState>,
    mut parts: Parts,
    replay: Replay,
) -> Response<Body> {
    // The request keeps the snapshot that it was admitted under, whatever is enforced meanwhile.
    let applied = node.enforced.load_full();
    let version = applied
        .as_ref()
        .map_or(0, |applied| applied.stamp.version.0);
    let origin = Origin::of(&node, &parts);
    let id = request_id(&node, &parts);
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_mesh(&mut parts.headers);
    mark(&node, &mut parts, id.clone());
    let arrival = Arrival::new(&node, &id, target(&parts), version);
    let result = match applied {
        _ if !node.is_fresh() => Err(Failure::not_run(Reason::Refreshing)),
        None => Err(Failure::not_run(Reason::NoConfiguration)),
        Some(applied) => run(&node, &applied, &parts, &replay, origin).await,
    };
    arrival.ended(&result);
    let mut response = match result {
        Ok(mut response) => {
            headers::strip_mesh(response.headers_mut());
            response
        }
        Err(failure) => failure.into_response(node.vocabulary),
    };
    let headers = response.headers_mut();
    headers.insert(headers::VERSION, HeaderValue::from(version));
    headers.insert(&node.vocabulary.request_id, id);
    response
}

/// Puts in what the mesh tells the backend server of a caller's request.
fn mark(node: &ProxyState, parts: &mut Parts, id: HeaderValue) {
    let vocabulary = node.vocabulary;
    vocabulary.strip_from_caller(&mut parts.headers);
    parts.headers.insert(&vocabulary.request_id, id);
    let own = node.settings.backend_server.as_ref();
    if let (Some(name), Some(own)) = (&vocabulary.caller_service, own) {
        let service = headers::value(own.service.as_str());
        parts.headers.insert(name, service);
    }
}

fn request_id(node: &ProxyState, parts: &Parts) -> HeaderValue {
    let given = parts.headers.get(&node.vocabulary.request_id).cloned();
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
    fn of(node: &ProxyState, parts: &Parts) -> Self {
        let deadline = node.vocabulary.deadline(&parts.headers);
        match inherited(node, parts) {
            Some(inherited) => Self {
                deadline: Some(
                    inherited
                        .deadline
                        .min(deadline.unwrap_or(inherited.deadline)),
                ),
                depth: inherited.depth,
                given_up: inherited.given_up,
                budget: inherited.budget,
            },
            None => Self {
                deadline,
                depth: 0,
                given_up: CancellationToken::new(),
                budget: RetryBudget::fresh(retry::RETRIES_PER_TREE),
            },
        }
    }
}

/// What the request has of one that the local backend server runs, if it is a call of that one.
fn inherited(node: &ProxyState, parts: &Parts) -> Option<Inherited> {
    let vocabulary = node.vocabulary;
    let name = vocabulary.call.as_ref();
    if let Some(token) = name.and_then(|name| headers::text(&parts.headers, name)) {
        return node.calls.inherit(token);
    }
    let id = parts.headers.get(&vocabulary.request_id)?;
    node.calls.inherit_by_id(vocabulary.parent_of(id)?)
}

async fn run(
    node: &Arc<ProxyState>,
    applied: &Applied,
    parts: &Parts,
    replay: &Replay,
    mut origin: Origin,
) -> Result<Response<Body>, Failure> {
    let host = host_of(parts).ok_or(Failure::not_run(Reason::BadRequest))?;
    let route = route_of(applied, parts, host.host())?;
    if origin.depth > retry::DEPTH_MAX {
        return Err(Failure::not_run(Reason::TooDeep));
    }
    check_length(applied, replay)?;
    let branch = branch_of(route);
    let limits = applied.configuration.service(&branch.service);
    let timeout = Duration::from_millis(u64::from(branch.treatment.timeout_ms));
    let own_deadline = Instant::now() + timeout;
    let call = Call {
        node,
        parts,
        host: &host,
        branch,
        slots: limits.map_or(1, |service| service.slots_per_endpoint),
        body_bytes: replay.least_len_bytes(),
        began: Instant::now(),
        deadline: origin
            .deadline
            .map_or(own_deadline, |above| above.min(own_deadline)),
        depth: origin.depth,
    };
    let mut attempts = Attempts::new(&branch.treatment, origin.budget.retries);
    let given_up = origin.given_up.clone();
    // Dropping the attempts cancels the exchange under way, down to the backend server.
    let ended = given_up.run_until_cancelled(call.run(replay, &mut attempts));
    match ended.await {
        None => Err(Failure::may_have_run(Reason::GivenUp)),
        Some(Err(failure)) => {
            origin.budget.retries = attempts.budget_after_failure();
            Err(failure)
        }
        Some(Ok(response)) => {
            let unspent = headers::number(response.headers(), &headers::RETRIES).unwrap_or(0);
            origin.budget.retries =
                attempts.budget_after_response(u32::try_from(unspent).unwrap_or(0));
            Ok(response)
        }
    }
}

fn route_of<'a>(applied: &'a Applied, parts: &Parts, host: &str) -> Result<&'a Route, Failure> {
    let (method, path) = (parts.method.as_str(), parts.uri.path());
    if let Some(route) = applied.routes.find(host, method, path) {
        return Ok(route);
    }
    let reason = match applied.routes.has_host(host) {
        true => Reason::NoRoute,
        false => Reason::NoService,
    };
    Err(Failure::not_run(reason))
}

fn branch_of(route: &Route) -> &Branch {
    let weights = route.branches.iter().map(|branch| branch.weight);
    &route.branches[split::choose_branch(weights, route.next_turn())]
}

/// Refuses a body that says from the start that it is too long; see [`Replay`] for the others.
fn check_length(applied: &Applied, replay: &Replay) -> Result<(), Failure> {
    let limits = applied.configuration.caller_limits();
    let most = limits.map_or(u64::MAX, |limits| limits.body_max_bytes);
    match replay.least_len_bytes() > most {
        true => Err(Failure::not_run(Reason::BodyTooLong)),
        false => Ok(()),
    }
}

/// Host and path, as a log line shows them.
fn target(parts: &Parts) -> String {
    let host = host_of(parts);
    let host = host.as_ref().map_or("", Authority::host);
    format!("{host}{}", parts.uri.path())
}

fn host_of(parts: &Parts) -> Option<Authority> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.clone()),
        None => headers::text(&parts.headers, &http::header::HOST)?
            .parse()
            .ok(),
    }
}
