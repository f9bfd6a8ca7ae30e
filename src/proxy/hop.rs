//! What travels with a request from its entry to the gate, and on to the backend server.

use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};

use super::headers;
use crate::core::configuration::Class;
use crate::core::names::{ServiceName, is_name};

/// Part of the remaining time, at most [`MARGIN_MAX`], that a request does not spend in the queue:
/// the gate's proof that it did not run has to reach the entry before the entry's own deadline
/// passes, which proves nothing.
const MARGIN_DIVISOR: u32 = 8;
const MARGIN_MAX: Duration = Duration::from_millis(100);

/// Deadline of a request that carries none: only a node of another release sends such.
const DEADLINE_DEFAULT_MS: u64 = 10_000;

/// One request on its way to a gate.
#[derive(Clone, Debug)]
pub(crate) struct Hop {
    pub(crate) service: ServiceName,
    pub(crate) class: Class,
    pub(crate) deadline: Instant,
    /// Calls that led to this one.
    pub(crate) depth: u32,
    /// Retries that may be spent further down.
    pub(crate) retries: u32,
}

impl Hop {
    /// Writes it for a gate on another node.
    pub(crate) fn write(&self, to: &mut HeaderMap) {
        to.insert(headers::DATA, HeaderValue::from_static("1"));
        to.insert(headers::SERVICE, headers::value(self.service.as_str()));
        to.insert(headers::CLASS, HeaderValue::from_static(word(self.class)));
        to.insert(headers::DEADLINE_MS, self.remaining_ms());
        to.insert(headers::DEPTH, HeaderValue::from(self.depth));
        to.insert(headers::RETRIES, HeaderValue::from(self.retries));
    }

    /// Reads what another node's entry wrote.
    pub(crate) fn read(from: &HeaderMap) -> Option<Self> {
        let service = headers::text(from, &headers::SERVICE).filter(|name| is_name(name))?;
        let deadline_ms = headers::number(from, &headers::DEADLINE_MS);
        let deadline_ms = deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
        let small = |name| {
            let number = headers::number(from, name).unwrap_or(0);
            u32::try_from(number).unwrap_or(u32::MAX)
        };
        Some(Self {
            service: ServiceName::new(service),
            class: class(headers::text(from, &headers::CLASS)),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
            depth: small(&headers::DEPTH),
            retries: small(&headers::RETRIES),
        })
    }

    /// Until when it may wait for a slot.
    pub(crate) fn queue_deadline(&self) -> Instant {
        let now = Instant::now();
        let remaining = self.deadline.saturating_duration_since(now);
        now + remaining - (remaining / MARGIN_DIVISOR).min(MARGIN_MAX)
    }

    /// Milliseconds that remain, as a header value.
    pub(crate) fn remaining_ms(&self) -> HeaderValue {
        millis(self.deadline.saturating_duration_since(Instant::now()))
    }
}

fn millis(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

fn word(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Bulk => "bulk",
    }
}

fn class(word: Option<&str>) -> Class {
    match word {
        Some("bulk") => Class::Bulk,
        _ => Class::Interactive,
    }
}
