//! Whether a failed request may have been executed by a backend server.
//!
//! Every error on the request path carries a [`Verdict`]. It decides whether the request may be
//! retried, and the header [`VERDICT_HEADER`] reports it to the caller.

use std::fmt;

/// Response header that carries the verdict of a failed request.
pub const VERDICT_HEADER: &str = "x-dragonflywall-verdict";

/// Whether a backend server may have executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No backend server received any byte of the request. Any request may be retried, including
    /// one that is not idempotent, such as a payment.
    NotRun,
    /// A backend server may have received the request, completely or in part. Only an idempotent
    /// request may be retried.
    MayHaveRun,
    /// A backend server answered, and its response is forwarded to the caller.
    Answered,
}

impl Verdict {
    /// The value of [`VERDICT_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Answered => "answered",
        }
    }

    /// Parses the value of [`VERDICT_HEADER`]. An unknown value does not prove that the request was
    /// not executed, so it maps to [`Self::MayHaveRun`].
    pub fn from_header_value(value: &str) -> Self {
        match value {
            "not-run" => Self::NotRun,
            "answered" => Self::Answered,
            _ => Self::MayHaveRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
