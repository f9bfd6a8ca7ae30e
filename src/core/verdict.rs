//! What may be said of a request that got no ordinary answer: whether it may have run.
//!
//! Every error on the request path carries a [`Verdict`]. It decides whether the request may be
//! tried again, and it is what the caller is told in the header [`VERDICT_HEADER`].

use std::fmt;

/// Response header that tells a caller the verdict of a request that failed.
pub const VERDICT_HEADER: &str = "x-dragonflywall-verdict";

/// Whether a request may have run at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Proved: no backend server saw a byte of it. Safe to try again, also for a payment.
    NotRun,
    /// A backend server may have seen it, whole or in part. Only an idempotent request may be
    /// tried again.
    MayHaveRun,
    /// A backend server answered; the answer is the caller's.
    Answered,
}

impl Verdict {
    /// The word used in [`VERDICT_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Answered => "answered",
        }
    }

    /// Reads the word of [`VERDICT_HEADER`]. An unknown word proves nothing.
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
