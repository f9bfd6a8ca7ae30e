//! What a backend server states about itself in the headers of its responses.

use crate::core::status::BackendStart;

/// A rate of requests: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate {
    per_s: f64,
}

impl RequestRate {
    /// Returns a rate in requests per second; `None` if it is negative or not finite.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self { per_s })
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.per_s
    }

    /// The lower of two rates.
    pub fn min(self, other: Self) -> Self {
        Self {
            per_s: self.per_s.min(other.per_s),
        }
    }
}

/// What a response says about the rate limit of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// It names no limit.
    #[default]
    None,
    /// The backend server accepts this rate from all nodes together.
    Rate(RequestRate),
    /// It names a limit that cannot be read.
    Unreadable,
}

/// What one response says about its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendStatement {
    /// The limit that it names.
    pub limit: StatedLimit,
    /// Whether the backend server is about to shut down.
    pub leaving: bool,
}

/// Statements of a backend server that are in force, as one node reports them to another.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedStatements {
    /// The start of the backend server that they are of.
    pub start: BackendStart,
    /// The rate limit.
    pub limit: Option<RequestRate>,
    /// Whether the backend server is about to shut down.
    pub leaving: bool,
}
