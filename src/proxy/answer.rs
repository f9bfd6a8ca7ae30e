//! Failures on the request path and the answers that callers get for them.

use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};

use super::body::{self, Body};
use super::headers;
use crate::core::verdict::Verdict;

/// When a caller that was refused for load may come again. One second is longer than a burst at
/// the slots' usual turnover, and short beside a person's patience.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Why a request got no answer from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// This node enforces no configuration yet.
    NoConfiguration,
    /// This node was frozen and has not caught up yet.
    Refreshing,
    /// No such service in the configuration.
    NoService,
    /// No route of the service matches.
    NoRoute,
    /// No endpoint of the service is known to take work.
    NoEndpoint,
    /// The endpoint's slots and queue are full.
    Full,
    /// The endpoint or this node is draining.
    Draining,
    /// The endpoint was not reached.
    Unreachable,
    /// The connection was lost after the request had been sent.
    Lost,
    /// The deadline passed.
    Deadline,
    /// The caller's request body broke off or was malformed.
    BadRequest,
}

impl Reason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration is enforced here yet",
            Self::Refreshing => "this node was frozen and catches up",
            Self::NoService => "no such service",
            Self::NoRoute => "no route of the service matches",
            Self::NoEndpoint => "no endpoint of the service takes work",
            Self::Full => "the service is full",
            Self::Draining => "the endpoint is draining",
            Self::Unreachable => "the endpoint was not reached",
            Self::Lost => "the connection to the endpoint was lost",
            Self::Deadline => "the deadline passed",
            Self::BadRequest => "the request is malformed or broke off",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoService | Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::NoConfiguration
            | Self::Refreshing
            | Self::NoEndpoint
            | Self::Full
            | Self::Draining
            | Self::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A request that got no answer from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
}

impl Failure {
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
        }
    }

    pub(crate) fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
        }
    }

    /// The answer, given at once.
    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(body::full(format!("{}\n", self.reason.as_str())));
        let status = self.reason.status();
        *response.status_mut() = status;
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        let headers = response.headers_mut();
        headers.insert(headers::VERDICT, verdict);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, RETRY_AFTER_S);
        }
        response
    }
}
