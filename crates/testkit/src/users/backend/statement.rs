//! What a backend server states about itself in its responses.

use std::time::{Duration, Instant};

use super::{Backend, Shared, lock};

/// Statements in the headers of all responses of a backend server.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    /// Values of the header `Server-Limit`; each is sent in a header of its own.
    pub limits: Vec<String>,
    /// Whether responses carry the header `Server-Leaving: 1`.
    pub leaving: bool,
    /// Whether responses to health checks carry no such headers.
    pub not_in_health_checks: bool,
    /// If set, only one in this many responses carries the headers.
    pub one_in: Option<u64>,
}

impl Statement {
    /// Returns the statement that the backend server accepts `per_s` requests per second.
    pub fn limit(per_s: f64) -> Self {
        Self {
            limits: vec![per_s.to_string()],
            ..Self::default()
        }
    }

    /// Returns the statement that the backend server is about to stop.
    pub fn leaving() -> Self {
        Self {
            leaving: true,
            ..Self::default()
        }
    }

    fn headers(&self) -> String {
        let limits = self.limits.iter();
        let mut headers: String = limits
            .map(|limit| format!("Server-Limit: {limit}\r\n"))
            .collect();
        if self.leaving {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        headers
    }
}

impl Backend {
    /// Makes all responses carry `statement` from now on.
    pub fn set_statement(&self, statement: Statement) {
        *lock(&self.shared.statement) = statement;
    }
}

impl Shared {
    /// Returns the header lines of the next response that state something.
    pub(super) fn next_statement_headers(&self) -> String {
        let statement = lock(&self.statement);
        let response_number = self
            .responses
            .fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        match statement
            .one_in
            .is_none_or(|one_in| response_number.is_multiple_of(one_in))
        {
            true => statement.headers(),
            false => String::new(),
        }
    }
}

/// Returns the largest number of `arrivals` in any period of this length that begins at `since` or later. The arrivals
/// must be in the order of their times.
pub fn most_arrivals_in(arrivals: &[Instant], since: Instant, period: Duration) -> usize {
    let arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= since).collect();
    let count_from = |(index, first): (usize, &Instant)| {
        let in_period = arrivals[index..].iter();
        in_period.take_while(|at| **at < *first + period).count()
    };
    arrivals
        .iter()
        .enumerate()
        .map(count_from)
        .max()
        .unwrap_or(0)
}
