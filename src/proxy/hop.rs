//! What travels with a request from its entry to the gate, and on to the backend server.

use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};

use super::headers;
use crate::core::configuration::{Class, PRIORITY_DEFAULT};
use crate::core::names::{ResourceName, ServiceName, is_name};
use crate::decide::admission::{Priority, SlotRequest};
use crate::util::clock;

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
    /// What the request asks for.
    pub(crate) resource: ResourceName,
    pub(crate) class: Class,
    /// Rank among the requests of its class, 0 first.
    pub(crate) rank: u8,
    /// Whether it may run twice.
    pub(crate) idempotent: bool,
    /// How long it is willing to wait for a slot.
    pub(crate) patience: Duration,
    pub(crate) came: Instant,
    /// How long from then its answer is worth most.
    pub(crate) due_in: Duration,
    pub(crate) deadline: Instant,
    /// Calls that led to this one.
    pub(crate) depth: u32,
    /// Retries that may be spent further down.
    pub(crate) retries: u32,
}

impl Hop {
    /// Writes it for a gate on another node.
    pub(crate) fn write(&self, to: &mut HeaderMap) {
        to.insert(headers::DATA, HeaderValue::from(clock::boot_us()));
        to.insert(headers::SERVICE, headers::value(self.service.as_str()));
        to.insert(headers::RESOURCE, headers::value(self.resource.as_str()));
        to.insert(headers::CLASS, self.class_value());
        to.insert(headers::DEADLINE_MS, self.remaining_ms());
        to.insert(headers::DEPTH, HeaderValue::from(self.depth));
        to.insert(headers::RETRIES, HeaderValue::from(self.retries));
    }

    /// Reads what another node's entry wrote, of a request that was held up for `delay` on its way.
    pub(crate) fn read(from: &HeaderMap, delay: Duration) -> Option<Self> {
        let service = headers::text(from, &headers::SERVICE).filter(|name| is_name(name))?;
        let deadline_ms = headers::number(from, &headers::DEADLINE_MS);
        let deadline_ms = deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
        let small = |name| {
            let number = headers::number(from, name).unwrap_or(0);
            u32::try_from(number).unwrap_or(u32::MAX)
        };
        let now = Instant::now();
        let asked = Asked::read(headers::text(from, &headers::CLASS).unwrap_or(""));
        Some(Self {
            service: ServiceName::new(service),
            resource: ResourceName::new(headers::text(from, &headers::RESOURCE).unwrap_or("")),
            class: asked.class,
            rank: asked.rank,
            idempotent: asked.idempotent,
            patience: asked.patience,
            came: now,
            due_in: asked.due_in.saturating_sub(delay),
            deadline: now + Duration::from_millis(deadline_ms).saturating_sub(delay),
            depth: small(&headers::DEPTH),
            retries: small(&headers::RETRIES),
        })
    }

    fn class_value(&self) -> HeaderValue {
        let due_in = self.due().saturating_duration_since(Instant::now());
        headers::value(&format!(
            "{} {} {} {} {}",
            word(self.class),
            self.rank,
            self.patience.as_millis(),
            due_in.as_millis(),
            if self.idempotent { IDEMPOTENT } else { "once" }
        ))
    }

    /// Until when its answer is worth most.
    fn due(&self) -> Instant {
        self.came + self.due_in
    }

    /// What another request like it would ask of the gate if it came now.
    pub(crate) fn ask_anew(&self, started: Instant) -> SlotRequest {
        let now = Instant::now();
        Self {
            came: now,
            deadline: now + self.deadline.saturating_duration_since(self.came),
            ..self.clone()
        }
        .ask(started)
    }

    /// What it asks of the gate, by the microseconds since `started`.
    pub(crate) fn ask(&self, started: Instant) -> SlotRequest {
        let us = |duration: Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 2);
        SlotRequest {
            class: self.class,
            priority: match self.depth {
                0 => Priority::CallerRequest { rank: self.rank },
                _ => Priority::NestedCall,
            },
            due_us: us(self.due().saturating_duration_since(started)),
            service_time_us: None,
            deadline_us: us(self.queue_deadline().saturating_duration_since(started)),
            max_wait_us: us(self.patience),
        }
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

/// Says of a request that it may run twice.
const IDEMPOTENT: &str = "idempotent";

fn word(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Bulk => "bulk",
    }
}

/// What [`Hop::class_value`] wrote.
struct Asked {
    class: Class,
    rank: u8,
    patience: Duration,
    due_in: Duration,
    idempotent: bool,
}

impl Asked {
    fn read(text: &str) -> Self {
        let mut words = text.split(' ');
        let class = match words.next() {
            Some("bulk") => Class::Bulk,
            _ => Class::Interactive,
        };
        let rank = words.next().and_then(|rank| rank.parse().ok());
        let mut time = || {
            let ms = words.next().and_then(|ms| ms.parse().ok());
            Duration::from_millis(ms.unwrap_or(DEADLINE_DEFAULT_MS))
        };
        let (patience, due_in) = (time(), time());
        Self {
            class,
            rank: rank.unwrap_or(PRIORITY_DEFAULT),
            patience,
            due_in,
            idempotent: words.next() == Some(IDEMPOTENT),
        }
    }
}
