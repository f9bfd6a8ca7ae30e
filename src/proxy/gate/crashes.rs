//! Requests under which backend servers have ended, at their gates: refuses those that are withheld, and notices a backend
//! server that falls silent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{Method, Request, Response, Uri};
use http_body::Body as _;
use tokio::runtime::Handle;

use crate::core::mechanism::Mechanism;
use crate::core::member::StartDigest;
use crate::core::request_digest::{BodyDigest, HeadDigest, RequestDigest, RequestHead};
use crate::decide::crashes::CrashSet;
use crate::decide::freeze::Epoch;
use crate::proxy::body::Body;
use crate::proxy::crashes;
use crate::proxy::failure::{Failure, Reason, Refusal};
use crate::proxy::log_limiter::{self, LogClass};
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// How long before its deadline a request may be given up by its entry node because of the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// What identifies a request without a body that has arrived at a gate.
struct ArrivedRequest {
    method: Method,
    uri: Uri,
    organisation: Option<HeaderValue>,
}

impl ArrivedRequest {
    /// `None` if the request has a body, which is not read here.
    fn of(node: &ProxyState, request: &Request<Body>) -> Option<Self> {
        if !request.body().is_end_stream() {
            return None;
        }
        let name = &node.header_profile.organisation;
        Some(Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            organisation: request.headers().get(name).cloned(),
        })
    }

    fn digest(&self, node: &ProxyState) -> Option<RequestDigest> {
        let compiled = node.last_configuration();
        let organisations = compiled.as_ref().and_then(|c| c.routes.organisations());
        let organisation = organisations.and(self.organisation.as_ref());
        let path = self.uri.path_and_query();
        let head = RequestHead {
            organisation: organisation.and_then(|name| name.to_str().ok()),
            method: self.method.as_str(),
            host: self.uri.host()?,
            path_and_query: path.map_or("/", |path| path.as_str()),
        };
        Some(RequestDigest {
            head: HeadDigest::of(head),
            body: BodyDigest::EMPTY,
        })
    }
}

/// Fails if this gate knows that enough backend servers have ended under a request, which its entry node may not know yet.
pub(crate) fn refuse_withheld(node: &ProxyState, request: &Request<Body>) -> Result<(), Refusal> {
    let is_enabled = node.mechanisms().is_enabled(Mechanism::CrashLimit);
    if !is_enabled || node.crashes().is_empty() {
        return Ok(());
    }
    let arrived = ArrivedRequest::of(node, request);
    let Some(digest) = arrived.and_then(|arrived| arrived.digest(node)) else {
        return Ok(());
    };
    let checked = node.crashes().check_withheld(node.uptime_ms(), &digest);
    checked.map_err(crashes::refusal_of)
}

/// A request that is being sent to the local backend server. Records that the backend server fell silent, if it shows no sign
/// of life until the request's deadline. The entry node may have given the request up by then.
pub(crate) struct SentRequest {
    node: Arc<ProxyState>,
    arrived: Option<ArrivedRequest>,
    id: Option<HeaderValue>,
    sent_at: Instant,
    /// Start of the backend server that it is sent to, if that announced one.
    sent_to: Option<StartDigest>,
    /// After a freeze of this process, a missing response says nothing about the backend server.
    sent_in: Epoch,
    deadline: Instant,
    ended: bool,
}

impl SentRequest {
    /// `request` is as it arrived, and is about to be sent.
    pub(crate) fn new(node: &Arc<ProxyState>, request: &Request<Body>, deadline: Instant) -> Self {
        Self {
            node: Arc::clone(node),
            arrived: ArrivedRequest::of(node, request),
            id: request
                .headers()
                .get(&node.header_profile.request_id)
                .cloned(),
            sent_at: Instant::now(),
            sent_to: node.pool.start(),
            sent_in: node.freezes.epoch(),
            deadline,
            ended: false,
        }
    }

    /// Records how the request has ended, and adds the crash that a missing response may be a sign of.
    pub(crate) fn finish(
        mut self,
        result: Result<Response<Body>, Failure>,
    ) -> Result<Response<Body>, Failure> {
        self.ended = true;
        result.map_err(|failure| match failure.reason {
            Reason::Deadline => {
                self.record_abandoned("deadline");
                failure.with_crashes(self.record_silence())
            }
            _ => failure,
        })
    }

    /// Records that the connection to the backend server is closed, though it has not responded.
    fn record_abandoned(&self, cause: &'static str) {
        metrics::counter!("dragonflywall_backend_requests_abandoned_total", "cause" => cause)
            .increment(1);
        if self.node.log_limiter.may_log(LogClass::Notable) {
            let backend = self.node.backend.load();
            log::info!(
                request_id = log_limiter::id_text(self.id.as_ref()),
                instance:? = backend.as_ref().and_then(|backend| backend.instance()),
                cause,
                took_ms = clock::since_ms(self.sent_at);
                "closed the connection to the backend server before it responded"
            );
        }
    }

    /// Records the backend server's end if it has fallen silent, now or once that shows.
    fn record_silence(&self) -> CrashSet {
        let silence = Silence {
            node: Arc::clone(&self.node),
            request: self.suspect_digest(),
            sent_at: self.sent_at,
            sent_to: self.sent_to,
            sent_in: self.sent_in,
        };
        let recorded = silence.record();
        if recorded.is_empty() && silence.request.is_some() {
            silence.watch();
        }
        recorded
    }

    /// Digest of the request, if crashes may count under it.
    fn suspect_digest(&self) -> Option<RequestDigest> {
        let is_enabled = self.node.mechanisms().is_enabled(Mechanism::CrashLimit);
        let arrived = self.arrived.as_ref().filter(|_| is_enabled);
        arrived.and_then(|arrived| arrived.digest(&self.node))
    }
}

/// A backend server that has not responded to a request by its deadline.
struct Silence {
    node: Arc<ProxyState>,
    request: Option<RequestDigest>,
    sent_at: Instant,
    sent_to: Option<StartDigest>,
    sent_in: Epoch,
}

impl Silence {
    /// Records the end of the backend server if it has shown no sign of life since the request was sent, or for too long.
    fn record(&self) -> CrashSet {
        let is_silent = self.node.pool.is_silent(self.sent_at);
        if !is_silent || !self.node.is_current(self.sent_in) {
            return CrashSet::default();
        }
        let lost = CrashSet::of(self.node.pool.record_loss(self.sent_to));
        if let Some(request) = self.request {
            crashes::record(&self.node, request, lost);
        }
        lost
    }

    /// Records the end later, unless the backend server shows a sign of life: one that came last may be older than the
    /// request, but was delayed.
    fn watch(self) {
        let Some(silent_in) = self.node.pool.silent_in() else {
            return;
        };
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            tokio::time::sleep(silent_in).await;
            self.record();
        });
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.record_abandoned("entry-node");
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining < DEADLINE_MARGIN {
            self.record_silence();
        }
    }
}
