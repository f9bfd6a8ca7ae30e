//! Failures on the request path and the responses that report them.

use http::header::{HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};

use super::body::{self, Body};
use super::header_profile::{self, HeaderProfile};
use super::headers;
use super::promise::{self, Evidence, NotRun, OpenAttempts};
use crate::core::member::NodeId;
use crate::core::verdict::Verdict;
use crate::decide::crashes::CrashSet;
use crate::decide::retry::AttemptFailure;

pub(crate) use self::reason::Reason;

mod reason;
#[cfg(test)]
mod tests;

/// Retry delay where no estimate exists, and the shortest one. Several times as long as a change of
/// the configuration or of a backend server's state takes to reach an endpoint's gate.
const RETRY_AFTER_DEFAULT_MS: u64 = 100;
/// Longest retry delay: estimates beyond half a minute are not reliable.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// Why a request is not sent on, or got no response. It says nothing about earlier attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    retry_after_ms: u64,
    crashes: CrashSet,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
            crashes: CrashSet::default(),
        }
    }
}

impl Refusal {
    /// Sets the delay before a retry, within the allowed range.
    pub(crate) fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = ms.clamp(RETRY_AFTER_DEFAULT_MS, RETRY_AFTER_MAX_MS);
        self
    }

    /// Adds backend servers that ended while they ran the request or its nested calls.
    pub(crate) fn with_crashes(mut self, crashes: CrashSet) -> Self {
        self.crashes = self.crashes.union(crashes);
        self
    }
}

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    NotRun(NotRun),
    MayHaveRun,
}

/// A request that got no response from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    fate: Fate,
    pub(crate) reason: Reason,
    retry_after_ms: u64,
    crashes: CrashSet,
    gate: Option<NodeId>,
}

impl Failure {
    fn new(fate: Fate, refusal: Refusal) -> Self {
        let Refusal {
            reason,
            retry_after_ms,
            crashes,
        } = refusal;
        Self {
            fate,
            reason,
            retry_after_ms,
            crashes,
            gate: None,
        }
    }

    /// The failure of a request that has not run, which `proof` shows.
    pub(super) fn not_run(proof: NotRun, refusal: impl Into<Refusal>) -> Self {
        Self::new(Fate::NotRun(proof), refusal.into())
    }

    /// The failure of a request of which nothing shows that it did not run.
    pub(crate) fn may_have_run(refusal: impl Into<Refusal>) -> Self {
        Self::new(Fate::MayHaveRun, refusal.into())
    }

    /// The same failure of a request of which nothing shows that it did not run.
    pub(super) fn into_may_have_run(self) -> Self {
        Self {
            fate: Fate::MayHaveRun,
            ..self
        }
    }

    /// Why the request failed, without what that says about whether it ran.
    pub(crate) fn into_refusal(self) -> Refusal {
        Refusal {
            reason: self.reason,
            retry_after_ms: self.retry_after_ms,
            crashes: self.crashes,
        }
    }

    /// Adds backend servers that ended while they ran the request or its nested calls.
    pub(crate) fn with_crashes(mut self, crashes: CrashSet) -> Self {
        self.crashes = self.crashes.union(crashes);
        self
    }

    /// Backend servers that ended while they ran the request or its nested calls.
    pub(crate) fn crashes(&self) -> CrashSet {
        self.crashes
    }

    /// Sets the node to whose gate the attempt that failed was sent.
    pub(crate) fn at_gate(mut self, gate: NodeId) -> Self {
        self.gate = Some(gate);
        self
    }

    /// The node to whose gate the attempt that failed was sent; `None` if the request was not sent on.
    pub(crate) fn gate(&self) -> Option<NodeId> {
        self.gate
    }

    /// Milliseconds to wait before a retry.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        self.retry_after_ms
    }

    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self.fate {
            Fate::NotRun(_) => Verdict::NotRun,
            Fate::MayHaveRun => Verdict::MayHaveRun,
        }
    }

    /// What shows that the request has not run; `None` if it may have run.
    pub(crate) fn evidence(&self) -> Option<Evidence> {
        self.proof().map(NotRun::evidence)
    }

    /// The proof that the request has not run; `None` if it may have run.
    pub(crate) fn proof(&self) -> Option<NotRun> {
        match self.fate {
            Fate::NotRun(proof) => Some(proof),
            Fate::MayHaveRun => None,
        }
    }

    /// Whether the attempt says nothing about the software version of the endpoint's backend server.
    pub(crate) fn is_version_neutral(&self) -> bool {
        self.verdict() == Verdict::NotRun || self.reason == Reason::Rejected
    }

    /// Whether a gate refused the request only because of the load of its backend server, which received nothing.
    pub(crate) fn is_gate_full(&self) -> bool {
        self.is_overload() || (self.reason == Reason::Withheld && self.verdict() == Verdict::NotRun)
    }

    /// Whether a gate refused the request only because of its load. The backend server received
    /// nothing.
    pub(crate) fn is_overload(&self) -> bool {
        let overload = matches!(
            self.reason,
            Reason::Full | Reason::TooLate | Reason::RateLimited
        );
        overload && self.verdict() == Verdict::NotRun
    }

    /// Kind of failure that decides whether the request may be retried.
    pub(crate) fn attempt_failure(&self) -> AttemptFailure {
        match (self.fate, self.reason) {
            (
                Fate::NotRun(_),
                Reason::Draining
                | Reason::NoEndpoint
                | Reason::OtherVersion
                | Reason::BackendDown
                | Reason::Withheld,
            ) => AttemptFailure::Draining,
            (Fate::NotRun(_), _) => AttemptFailure::NotRun,
            (Fate::MayHaveRun, _) => AttemptFailure::MayHaveRun,
        }
    }

    /// Reads the failure that another node responded with to the open attempt. `None` if a backend server answered.
    pub(crate) fn from_headers(headers: &HeaderMap, open: &OpenAttempts) -> Option<Self> {
        headers.get(headers::VERDICT)?;
        let reason = headers::get_str(headers, &headers::REASON).and_then(Reason::from_code);
        let refusal = |default| {
            let retry_after_ms = headers::get_u64(headers, &headers::RETRY_AFTER_MS).unwrap_or(0);
            Refusal::from(reason.unwrap_or(default))
                .with_retry_after_ms(retry_after_ms)
                .with_crashes(headers::parse_crashes(headers))
        };
        Some(match NotRun::refused_by_node(headers) {
            Some(proof) => open.disprove(proof, refusal(Reason::Full)),
            None => Self::may_have_run(refusal(Reason::Lost)),
        })
    }

    /// The status of the response that reports the failure. A request that may have run gets none that says that it did
    /// not run, or that it need not be looked up.
    pub(crate) fn status(self) -> StatusCode {
        match (self.fate, self.reason) {
            (Fate::NotRun(_), reason) => reason.status(),
            (Fate::MayHaveRun, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            (Fate::MayHaveRun, _) => StatusCode::BAD_GATEWAY,
        }
    }

    /// The response of a gate to an entry node.
    pub(crate) fn into_peer_response(self) -> Response<Body> {
        let retry_after_ms = HeaderValue::from(self.retry_after_ms);
        let mut response = self.into_response(&header_profile::DEFAULT);
        let headers = response.headers_mut();
        headers::insert_crashes(headers, self.crashes);
        headers.insert(headers::RETRY_AFTER_MS, retry_after_ms);
        response
    }

    /// The response to a caller.
    pub(crate) fn into_response(self, profile: &HeaderProfile) -> Response<Body> {
        let mut response = Response::new(body::full(format!("{}\n", self.reason.as_str())));
        let status = self.status();
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict().as_str());
        headers.insert(headers::VERDICT, verdict);
        if let Some(proof) = self.proof() {
            headers.insert(headers::EVIDENCE, proof.to_header_value());
        }
        let reason = HeaderValue::from_static(self.reason.code());
        headers.insert(headers::REASON, reason);
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Token"));
        }
        if promise::is_promise(status) {
            headers.insert(RETRY_AFTER, profile.retry_after_value(self.retry_after_ms));
        }
        response
    }
}
