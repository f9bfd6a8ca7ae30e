//! Ends of backend servers, as entry nodes and gates record them; see [`crate::decide::crashes`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{Method, Request, Response, Uri};
use http_body::Body as _;

use super::body::Body;
use super::failure::{Failure, Reason};
use super::log_limiter::LogClass;
use super::state::ProxyState;
use crate::core::mechanism::Mechanism;
use crate::core::member::NodeId;
use crate::core::request_digest::{BodyDigest, HeadDigest, RequestDigest, RequestHead};
use crate::decide::crashes::{CrashId, CrashSet, Withheld};
use crate::decide::freeze::Epoch;

/// How long before its deadline a request may be given up by its entry node because of the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// Records that backend servers ended while they ran a request, and has other nodes told.
pub(crate) fn record(node: &ProxyState, request: RequestDigest, crashes: CrashSet) {
    let now_ms = node.uptime_ms();
    let (is_new, known) = {
        let mut book = node.crashes();
        let is_new = book.record_crashes(now_ms, request, crashes);
        (is_new, book.crashes(&request).len())
    };
    if !is_new {
        return;
    }
    node.crash_reported.notify_one();
    metrics::counter!("dragonflywall_crash_reports_total", "source" => "local").increment(1);
    if node.log_limiter.may_log(LogClass::Notable) {
        log::warn!(request_digest:% = request, crashes = known; "a backend server ended while it ran a request");
    }
}

/// The failure of a request that is withheld.
pub(crate) fn failure_of(withheld: Withheld) -> Failure {
    Failure::not_run(Reason::EndsBackends)
        .with_retry_after_ms(withheld.retry_after_ms)
        .with_crashes(withheld.crashes)
}

/// Adds the crash of the backend server behind `endpoint` to a failure of the connection to that node. The backend server
/// may have ended with its node.
pub(crate) fn add_node_crash(node: &ProxyState, endpoint: NodeId, failure: Failure) -> Failure {
    if failure.reason != Reason::Lost {
        return failure;
    }
    let view = node.view.load();
    let member = view.members.iter().find(|member| member.node == endpoint);
    let incarnation_us = member.map_or(0, |member| member.incarnation_us);
    let hash = blake3::hash(format!("{endpoint} {incarnation_us}").as_bytes());
    let bytes = hash.as_bytes().first_chunk();
    let id = u64::from_be_bytes(*bytes.expect("a digest has 32 bytes"));
    failure.with_crashes(CrashSet::of(CrashId(id)))
}

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
pub(crate) fn refuse_withheld(node: &ProxyState, request: &Request<Body>) -> Result<(), Failure> {
    let is_enabled = node.mechanisms().is_enabled(Mechanism::CrashLimit);
    if !is_enabled || node.crashes().is_empty() {
        return Ok(());
    }
    let arrived = ArrivedRequest::of(node, request);
    let Some(digest) = arrived.and_then(|arrived| arrived.digest(node)) else {
        return Ok(());
    };
    let checked = node.crashes().check_withheld(node.uptime_ms(), &digest);
    checked.map_err(failure_of)
}

/// A request that is being sent to the local backend server. Records that the backend server fell silent, if it shows no sign
/// of life until the request's deadline. The entry node may have given the request up by then.
pub(crate) struct SentRequest {
    node: Arc<ProxyState>,
    arrived: Option<ArrivedRequest>,
    sent_at: Instant,
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
            sent_at: Instant::now(),
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
            Reason::Deadline => failure.with_crashes(self.record_silence()),
            _ => failure,
        })
    }

    fn record_silence(&self) -> CrashSet {
        let is_silent = self.node.pool.is_silent_since(self.sent_at);
        if !is_silent || !self.node.is_current(self.sent_in) {
            return CrashSet::default();
        }
        let crashes = CrashSet::of(self.node.pool.record_loss());
        let is_enabled = self.node.mechanisms().is_enabled(Mechanism::CrashLimit);
        let digest = self.arrived.as_ref().filter(|_| is_enabled);
        if let Some(digest) = digest.and_then(|arrived| arrived.digest(&self.node)) {
            record(&self.node, digest, crashes);
        }
        crashes
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if !self.ended && remaining < DEADLINE_MARGIN {
            self.record_silence();
        }
    }
}
