//! The backend server's own node: admits a request and forwards it over the last hop.

use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use http::{Request, Response};

use super::answer::{Failure, Reason};
use super::body::{self, Body, Guarded};
use super::headers;
use crate::decide::admission::Admitted;
use crate::node::state::NodeState;

/// Deadline of a request that carries none: only a node of another release sends such.
const DEADLINE_DEFAULT_MS: u64 = 10_000;

/// Serves a request from another node: all outcomes become answers with the mesh's headers.
pub(crate) async fn serve(node: Arc<NodeState>, request: Request<Body>) -> Response<Body> {
    let result = run(&node, request).await;
    let mut response = result.unwrap_or_else(Failure::into_response);
    let load = HeaderValue::from(load_percent(&node));
    response.headers_mut().insert(headers::LOAD_PERCENT, load);
    response
}

/// Load in percent of the slots.
pub(crate) fn load_percent(node: &NodeState) -> u32 {
    let admission = node.admission();
    match admission.slots() {
        0 => 100,
        slots => admission.in_use() * 100 / slots,
    }
}

/// Admits `request` and runs it on the local backend server.
pub(crate) async fn run(
    node: &Arc<NodeState>,
    mut request: Request<Body>,
) -> Result<Response<Body>, Failure> {
    let backend = node.backend.load_full();
    let service = headers::text(request.headers(), &headers::SERVICE);
    let backend = backend.filter(|backend| service == Some(backend.service.as_str()));
    let backend = backend.ok_or(Failure::not_run(Reason::NoEndpoint))?;
    if node.draining.is_cancelled() {
        return Err(Failure::not_run(Reason::Draining));
    }
    let slot = Slot::take(node).ok_or(Failure::not_run(Reason::Full))?;
    let deadline_ms = headers::number(request.headers(), &headers::DEADLINE_MS);
    let deadline = Duration::from_millis(deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS));
    prepare(&mut request, backend.service.as_str());
    let exchange = node.pool.send(backend.address, request);
    let response = tokio::time::timeout(deadline, exchange)
        .await
        .map_err(|_| Failure::may_have_run(Reason::Deadline))??;
    Ok(finish(response, slot))
}

fn prepare(request: &mut Request<Body>, service: &str) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(http::Uri::default, Into::into);
    *request.version_mut() = http::Version::HTTP_11;
    headers::strip_mesh(request.headers_mut());
    let host = headers::value(service);
    request.headers_mut().insert(header::HOST, host);
}

fn finish(response: Response<Body>, slot: Slot) -> Response<Body> {
    let mut response = response.map(|inner| body::boxed(Guarded::new(inner, slot)));
    headers::strip_hop_by_hop(response.headers_mut());
    headers::strip_mesh(response.headers_mut());
    response
}

/// A slot of the backend server, given back when the answer has been passed on or given up.
struct Slot {
    node: Arc<NodeState>,
}

impl Slot {
    fn take(node: &Arc<NodeState>) -> Option<Self> {
        match node.admission().admit() {
            Admitted::Slot => Some(Self {
                node: Arc::clone(node),
            }),
            Admitted::Full => None,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.node.admission().release();
    }
}
