//! Why a request got no response from a backend server, in all forms in which that is reported.

use http::StatusCode;

/// Why a request got no response from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// This node enforces no configuration yet.
    NoConfiguration,
    /// This node was frozen and has not refreshed its configuration yet.
    Refreshing,
    /// The configuration has no service for the host.
    NoService,
    /// No route of the service matches.
    NoRoute,
    /// The request needs a key of an organisation, and has none or one that no organisation has.
    UnknownKey,
    /// The configuration is not known to be current, so the request's key cannot be checked.
    NotFresh,
    /// The request belongs to a running request that is not known here.
    ParentEnded,
    /// The organisation has used up its quota.
    QuotaExceeded,
    /// No known endpoint of the service accepts requests, or the node that was chosen has no
    /// backend server of the service.
    NoEndpoint,
    /// The endpoint has no free slot, and its queue is full or the expected wait is too long. Also
    /// if it grants no upload permit.
    Full,
    /// The deadline passed, or would pass, before the request was admitted.
    TooLate,
    /// The backend server has limited the rate of its requests, and the expected wait for its permission is too
    /// long.
    RateLimited,
    /// The endpoint's gate is closed, because its node or its backend server is draining or gone.
    Draining,
    /// No connection to the endpoint could be opened.
    Unreachable,
    /// The backend server accepts no connection, though it has not announced that it leaves.
    BackendDown,
    /// A connection was lost after a part of the request had been sent, or the response was malformed, broke off at once or
    /// was not one to this request.
    Lost,
    /// The deadline passed after the request had been sent.
    Deadline,
    /// The parent request of this call was abandoned.
    GivenUp,
    /// The entry node is shutting down, and the time for requests in flight is over.
    Stopping,
    /// The entry node is shutting down, and the time left does not suffice for the request.
    DrainTooShort,
    /// Too many nested calls above this one.
    TooDeep,
    /// The caller's request names no valid host, or a gate could not read the request's metadata.
    BadRequest,
    /// The head of the caller's request exceeds the limit.
    HeadTooLong,
    /// The body of the caller's request exceeds the configured limit.
    BodyTooLong,
    /// The backend server reported that it did not run the request.
    Rejected,
    /// The backend server has rejected others lately, and the request must not run twice.
    Withheld,
    /// The backend server responded with a status that promises that the request did not run, and did not report it.
    Unproved,
    /// The request was delayed too long between its entry node and the gate.
    HeldUp,
    /// The software version of the endpoint's backend server gets no such requests at present, because
    /// of a roll-out.
    OtherVersion,
    /// Several backend servers have ended while they ran the request.
    EndsBackends,
}

impl Reason {
    pub(super) const ALL: [Self; 30] = [
        Self::NoConfiguration,
        Self::Refreshing,
        Self::NoService,
        Self::NoRoute,
        Self::UnknownKey,
        Self::NotFresh,
        Self::ParentEnded,
        Self::QuotaExceeded,
        Self::NoEndpoint,
        Self::Full,
        Self::TooLate,
        Self::RateLimited,
        Self::Draining,
        Self::Unreachable,
        Self::BackendDown,
        Self::Lost,
        Self::Deadline,
        Self::GivenUp,
        Self::Stopping,
        Self::DrainTooShort,
        Self::TooDeep,
        Self::BadRequest,
        Self::HeadTooLong,
        Self::BodyTooLong,
        Self::Rejected,
        Self::Withheld,
        Self::Unproved,
        Self::HeldUp,
        Self::OtherVersion,
        Self::EndsBackends,
    ];

    /// The code sent in [`headers::REASON`](crate::proxy::headers::REASON).
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Refreshing => "refreshing",
            Self::NoService => "no-service",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::NotFresh => "not-fresh",
            Self::ParentEnded => "parent-ended",
            Self::QuotaExceeded => "quota-exceeded",
            Self::NoEndpoint => "no-endpoint",
            Self::Full => "full",
            Self::TooLate => "too-late",
            Self::RateLimited => "rate-limited",
            Self::Draining => "draining",
            Self::Unreachable => "unreachable",
            Self::BackendDown => "backend-down",
            Self::Lost => "lost",
            Self::Deadline => "deadline",
            Self::GivenUp => "given-up",
            Self::Stopping => "stopping",
            Self::DrainTooShort => "drain-too-short",
            Self::TooDeep => "too-deep",
            Self::BadRequest => "bad-request",
            Self::HeadTooLong => "head-too-long",
            Self::BodyTooLong => "body-too-long",
            Self::Rejected => "rejected",
            Self::Withheld => "withheld",
            Self::Unproved => "unproved",
            Self::HeldUp => "held-up",
            Self::OtherVersion => "other-version",
            Self::EndsBackends => "ends-backends",
        }
    }

    pub(super) fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }

    /// The body of the response, and the reason in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration is enforced here yet",
            Self::Refreshing => "this node was frozen and catches up",
            Self::NoService => "no such service",
            Self::NoRoute => "no route of the service matches",
            Self::UnknownKey => "the request has no valid key",
            Self::NotFresh => "this node cannot check keys, because it may have missed changes",
            Self::ParentEnded => "the request that made this call is not running here",
            Self::QuotaExceeded => "the organisation has used up its quota",
            Self::NoEndpoint => "no endpoint of the service takes work",
            Self::Full => "the service is full",
            Self::TooLate => "the request would not be served before its deadline",
            Self::RateLimited => "the endpoint's backend server limits the rate of requests",
            Self::Draining => "the endpoint is draining",
            Self::Unreachable => "the endpoint was not reached",
            Self::BackendDown => "the endpoint's backend server accepts no connection",
            Self::Lost => "the connection to the endpoint was lost",
            Self::Deadline => "the deadline passed",
            Self::GivenUp => "the call that led to this one was given up",
            Self::Stopping => "this node stops and waits no longer",
            Self::DrainTooShort => "this node stops before the request would be finished",
            Self::TooDeep => "too many calls led to this one",
            Self::BadRequest => "the request is malformed or broke off",
            Self::HeadTooLong => "the head of the request is longer than allowed",
            Self::BodyTooLong => "the request body is longer than allowed",
            Self::Rejected => "the endpoint's backend server rejected it",
            Self::Withheld => "the endpoint's backend server rejects requests",
            Self::Unproved => {
                "the endpoint's backend server refused the request and may have run it"
            }
            Self::HeldUp => "the request came to the endpoint too late",
            Self::EndsBackends => "backend servers ended while they ran this request",
            Self::OtherVersion => "the endpoint runs a version that takes no such requests now",
        }
    }

    /// The status of a response to a request that has not run for this reason. One that may have run gets
    /// [`Failure::status`](super::Failure::status).
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::NoService | Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost | Self::Unproved | Self::GivenUp | Self::Stopping => StatusCode::BAD_GATEWAY,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::NoConfiguration
            | Self::Refreshing
            | Self::NotFresh
            | Self::ParentEnded
            | Self::NoEndpoint
            | Self::Full
            | Self::TooLate
            | Self::RateLimited
            | Self::Draining
            | Self::DrainTooShort
            | Self::Unreachable
            | Self::BackendDown
            | Self::Rejected
            | Self::Withheld
            | Self::HeldUp
            | Self::OtherVersion
            | Self::EndsBackends => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
