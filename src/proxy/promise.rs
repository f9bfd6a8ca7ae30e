//! Promises to callers that a request has not run and never will, and what they rest on.
//!
//! A caller sends a payment again after such a promise. A [`NotRun`] is therefore made from evidence only: by
//! [`OpenAttempts`], as long as every attempt that was sent is known not to have run, and by the functions that read what the
//! HTTP library, another node or the backend server says about one attempt.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use http::header::{HeaderMap, HeaderValue};
use http::{Request, Response, StatusCode};

use super::body::Body;
use super::failure::{Failure, Reason, Refusal};
use super::header_profile::HeaderProfile;
use super::headers;
use crate::core::verdict::Verdict;

#[cfg(test)]
mod tests;

/// Whether a response with `status` promises that the request has not run and never will.
pub(crate) fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What shows that a request, or an attempt of it, has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// No attempt is open: each one that was sent is known not to have run.
    NotSent,
    /// The HTTP library returned the request because it had sent no byte of it.
    ReturnedUnsent,
    /// The other node reset the stream of the request before it processed the request.
    StreamRefused,
    /// The gate of the other node refused the request.
    GateRefused,
    /// The other node refused the mesh token.
    TokenRefused,
    /// The backend server stated it in its response to the request.
    BackendStated,
    /// The backend server that responded is not the instance that the request names.
    OtherInstance,
}

impl Evidence {
    const ALL: [Self; 7] = [
        Self::NotSent,
        Self::ReturnedUnsent,
        Self::StreamRefused,
        Self::GateRefused,
        Self::TokenRefused,
        Self::BackendStated,
        Self::OtherInstance,
    ];

    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.as_str() == name)
    }

    /// The name in headers, metrics and log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::ReturnedUnsent => "returned-unsent",
            Self::StreamRefused => "stream-refused",
            Self::GateRefused => "gate-refused",
            Self::TokenRefused => "token-refused",
            Self::BackendStated => "backend-stated",
            Self::OtherInstance => "other-instance",
        }
    }
}

/// A set of [`Evidence`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EvidenceSet(u8);

impl EvidenceSet {
    fn of(evidence: Evidence) -> Self {
        Self(1 << evidence as u8)
    }

    fn contains(self, evidence: Evidence) -> bool {
        self.0 & Self::of(evidence).0 != 0
    }

    fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl std::fmt::Display for EvidenceSet {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let contained = Evidence::ALL
            .into_iter()
            .filter(|evidence| self.contains(*evidence));
        for (position, evidence) in contained.enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(formatter, "{separator}{}", evidence.as_str())?;
        }
        Ok(())
    }
}

/// Proof that a request, or an attempt of it, has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotRun {
    evidence: Evidence,
    /// What the refusal of the other node rests on, if it says so.
    reported: Option<Evidence>,
    /// What shows that the earlier attempts have not run.
    earlier: EvidenceSet,
}

impl NotRun {
    fn new(evidence: Evidence) -> Self {
        Self {
            evidence,
            reported: None,
            earlier: EvidenceSet::default(),
        }
    }

    /// What it rests on.
    pub(crate) fn evidence(self) -> Evidence {
        self.evidence
    }

    /// What the refusal of the other node rests on, if it says so.
    pub(crate) fn reported(self) -> Option<Evidence> {
        self.reported
    }

    /// What shows that the earlier attempts of the request have not run.
    pub(crate) fn earlier(self) -> EvidenceSet {
        self.earlier
    }

    /// The value of [`headers::EVIDENCE`].
    pub(crate) fn to_header_value(self) -> HeaderValue {
        let mut words = vec![self.evidence.as_str().to_owned()];
        words.extend(self.reported.map(|reported| reported.as_str().to_owned()));
        if !self.earlier.is_empty() {
            words.push(format!("after {}", self.earlier));
        }
        headers::to_value(&words.join(" "))
    }

    /// The HTTP library has returned `_unsent` together with its error.
    pub(crate) fn returned<B>(_unsent: &Request<B>) -> Self {
        Self::new(Evidence::ReturnedUnsent)
    }

    /// The other node has reset the stream before it processed the request (RFC 9113, section 8.7).
    pub(crate) fn stream_refused(error: &hyper::Error) -> Option<Self> {
        let source = std::error::Error::source(error)?;
        let reset = source.downcast_ref::<h2::Error>()?;
        let is_refused = reset.is_remote()
            && reset.is_reset()
            && reset.reason() == Some(h2::Reason::REFUSED_STREAM);
        is_refused.then_some(Self::new(Evidence::StreamRefused))
    }

    /// The other node says so in the headers of its response. Only a gate that has read the request sends its load.
    pub(crate) fn refused_by_node(headers: &HeaderMap) -> Option<Self> {
        let verdict = headers::get_str(headers, &headers::VERDICT)?;
        let evidence = match headers::parse_load(headers) {
            Some(_) => Evidence::GateRefused,
            None => Evidence::TokenRefused,
        };
        let reported = headers::get_str(headers, &headers::EVIDENCE);
        let reported = reported.and_then(|words| Evidence::from_name(words.split(' ').next()?));
        let proof = Self {
            reported,
            ..Self::new(evidence)
        };
        (Verdict::from_header_value(verdict) == Verdict::NotRun).then_some(proof)
    }

    /// The backend server says so in its response to the request with this id. `names_instance` says whether the request
    /// names the instance that may run it.
    pub(crate) fn stated_by_backend<B>(
        profile: &HeaderProfile,
        id: Option<&HeaderValue>,
        names_instance: bool,
        response: &Response<B>,
    ) -> Option<Self> {
        if !profile.is_response_to(id, response) {
            return None;
        }
        let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let evidence = match (names_instance && is_misdirected, response.headers()) {
            (true, _) => Evidence::OtherInstance,
            (false, headers) if profile.is_not_run(headers) => Evidence::BackendStated,
            (false, _) => return None,
        };
        may_be_of_rejected(response.status()).then_some(Self::new(evidence))
    }
}

/// Whether a request that did not run may have this status. All others report on a run, whatever the headers state.
fn may_be_of_rejected(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// A response of a backend server that is passed on to a caller. Its status is not a promise, since a backend server
/// that has run a request may respond with any status.
pub(crate) struct PassedResponse(Response<Body>);

impl PassedResponse {
    /// Fails if the status of `response` is a promise: nothing shows that the request did not run.
    pub(crate) fn new(response: Response<Body>) -> Result<Self, Failure> {
        if !is_promise(response.status()) {
            return Ok(Self(response));
        }
        let crashes = headers::parse_crashes(response.headers());
        let refusal = Refusal::from(Reason::Unproved).with_crashes(crashes);
        Err(Failure::may_have_run(refusal))
    }

    /// Changes the body.
    pub(crate) fn map_body(self, change: impl FnOnce(Body) -> Body) -> Self {
        Self(self.0.map(change))
    }

    /// The response to the caller.
    pub(crate) fn into_inner(self) -> Response<Body> {
        self.0
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.0.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.0.headers()
    }

    pub(crate) fn body(&self) -> &Body {
        self.0.body()
    }
}

#[derive(Debug, Default)]
struct AttemptCounts {
    open: AtomicU32,
    begun: AtomicU32,
    /// The bits of an [`EvidenceSet`]: what has shown of attempts that they did not run.
    disproved: AtomicU8,
}

/// Counts the attempts of a request that were sent and of which nothing shows that they did not run. Clones count
/// together.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenAttempts(Arc<AttemptCounts>);

impl OpenAttempts {
    /// Records that an attempt is sent. To be called before its first byte may leave.
    pub(crate) fn begin(&self) {
        self.0.begun.fetch_add(1, Ordering::AcqRel);
        self.0.open.fetch_add(1, Ordering::AcqRel);
    }

    /// How many attempts were begun so far, whatever became of them.
    pub(crate) fn begun(&self) -> u32 {
        self.0.begun.load(Ordering::Acquire)
    }

    /// The failure of the attempt that was begun last, which `proof` shows not to have run.
    pub(crate) fn disprove(&self, proof: NotRun, refusal: impl Into<Refusal>) -> Failure {
        let one_less = |open: u32| open.checked_sub(1);
        let ended = self
            .0
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_less);
        debug_assert!(ended.is_ok(), "no attempt was begun");
        let basis = EvidenceSet::of(proof.reported.unwrap_or(proof.evidence));
        let earlier = self.0.disproved.fetch_or(basis.0, Ordering::AcqRel);
        let proof = NotRun {
            earlier: EvidenceSet(earlier),
            ..proof
        };
        Failure::not_run(proof, refusal)
    }

    /// Whether no attempt is open, so that the request has not run.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.open.load(Ordering::Acquire) == 0
    }

    /// The failure of the request if it is not sent on any more.
    pub(crate) fn refuse(&self, refusal: impl Into<Refusal>) -> Failure {
        match self.is_empty() {
            true => {
                let proof = NotRun {
                    earlier: EvidenceSet(self.0.disproved.load(Ordering::Acquire)),
                    ..NotRun::new(Evidence::NotSent)
                };
                Failure::not_run(proof, refusal)
            }
            false => Failure::may_have_run(refusal),
        }
    }

    /// The failure of the request after its last attempt failed with `failure`.
    pub(crate) fn conclude(&self, failure: Failure) -> Failure {
        match self.is_empty() {
            true => failure,
            false => failure.into_may_have_run(),
        }
    }
}
