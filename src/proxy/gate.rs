//! The backend server's own node: admits a request and forwards it over the last hop.

use std::sync::Arc;

use http::header::{self, HeaderValue};
use http::{Request, Response};

use super::answer::{Failure, Reason};
use super::body::{self, Body, Guarded};
use super::calls::Running;
use super::headers;
use super::hop::Hop;
use super::slots::Slot;
use crate::node::state::NodeState;

/// Serves a request from another node: all outcomes become answers with the mesh's headers.
pub(crate) async fn serve(node: Arc<NodeState>, request: Request<Body>) -> Response<Body> {
    let result = match Hop::read(request.headers()) {
        Some(hop) => run(&node, &hop, request).await,
        None => Err(Failure::not_run(Reason::BadRequest)),
    };
    let mut response = result.unwrap_or_else(Failure::into_response);
    let load = HeaderValue::from(node.admission().load_percent());
    response.headers_mut().insert(headers::LOAD_PERCENT, load);
    response
}

/// Admits `request` and runs it on the local backend server.
///
/// Up to the moment in which it holds a slot nothing of it has been passed on, not even read: the
/// failures up to there prove that it did not run.
pub(crate) async fn run(
    node: &Arc<NodeState>,
    hop: &Hop,
    mut request: Request<Body>,
) -> Result<Response<Body>, Failure> {
    let backend = node.backend.load_full();
    let backend = backend.filter(|backend| backend.service == hop.service);
    let backend = backend.ok_or(Failure::not_run(Reason::NoEndpoint))?;
    let slot = Slot::take(node, hop.class, hop.queue_deadline()).await?;
    let mut running = node.calls.begin(hop);
    prepare(&mut request, hop, &running);
    let exchange = node.pool.send(backend.address, request);
    let response = tokio::time::timeout_at(hop.deadline.into(), exchange)
        .await
        .map_err(|_| Failure::may_have_run(Reason::Deadline))??;
    let unspent = running.answered();
    Ok(finish(response, unspent, (slot, running)))
}

fn prepare(request: &mut Request<Body>, hop: &Hop, running: &Running) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(http::Uri::default, Into::into);
    *request.version_mut() = http::Version::HTTP_11;
    let headers = request.headers_mut();
    headers::strip_mesh(headers);
    headers.insert(header::HOST, headers::value(hop.service.as_str()));
    headers.insert(headers::DEADLINE_MS, hop.remaining_ms());
    headers.insert(headers::CALL, headers::value(&running.token()));
}

fn finish(response: Response<Body>, unspent: u32, held: (Slot, Running)) -> Response<Body> {
    let mut response = response.map(|inner| body::boxed(Guarded::new(inner, held)));
    let headers = response.headers_mut();
    headers::strip_hop_by_hop(headers);
    headers::strip_mesh(headers);
    headers.insert(headers::RETRIES, HeaderValue::from(unspent));
    response
}
