//! Metadata of a request that its entry node sends to the gate.

use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};

use super::headers;
use super::promise::OpenAttempts;
use crate::core::backend_statement::ReportedStatements;
use crate::core::configuration::{Class, PRIORITY_DEFAULT};
use crate::core::names::{ResourceName, ServiceName, is_name};
use crate::decide::admission::{Priority, Rank, SlotRequest};
use crate::decide::crashes::CrashSet;
use crate::decide::freeze::Epoch;
use crate::util::clock;

/// A request leaves the queue before its deadline: by the remaining time divided by this number, at
/// most [`QUEUE_MARGIN_MAX`]. The gate's refusal, which proves that the request did not run, must
/// reach the entry node before the deadline passes there. Without it, the entry node must report
/// that the request may have run.
const REMAINING_TIME_TO_QUEUE_MARGIN_RATIO: u32 = 8;
/// Longest time before its deadline at which a request leaves the queue.
const QUEUE_MARGIN_MAX: Duration = Duration::from_millis(100);

/// Deadline of a request without one, and default of the times that [`headers::CLASS`] lacks, as
/// nodes of other releases may send.
const DEADLINE_DEFAULT_MS: u64 = 10_000;

/// Metadata of one request to a gate.
#[derive(Clone, Debug)]
pub(crate) struct Hop {
    pub(crate) service: ServiceName,
    /// The requested resource of the service.
    pub(crate) resource: ResourceName,
    pub(crate) class: Class,
    /// Rank among requests of the same class.
    pub(crate) rank: Rank,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Longest time that the request waits for a slot.
    pub(crate) max_wait: Duration,
    pub(crate) received_at: Instant,
    /// Time from `received_at` until the target latency has passed, or the timeout if there is no
    /// target latency.
    pub(crate) due_in: Duration,
    pub(crate) deadline: Instant,
    /// Number of nested calls above this request.
    pub(crate) depth: u32,
    /// Retries that the nested calls of this request may spend.
    pub(crate) retries: u32,
    /// Crashes that count under this request, and so under its nested calls.
    pub(crate) crashes: CrashSet,
    /// Revision of the order for a roll-out under which the endpoint of a candidate version was chosen.
    /// `None` if it was chosen without regard to its version, or as one of an established version.
    pub(crate) rollout_order: Option<u64>,
    /// What the entry node knows of the statements of the gate's backend server.
    pub(crate) known_statements: Option<ReportedStatements>,
    /// The epoch in which this process admitted the request as its entry node. `None` if another node did.
    pub(crate) admitted_in: Option<Epoch>,
    /// The attempts of the request that this process has sent, to the backend server or to another node.
    pub(crate) open_attempts: OpenAttempts,
}

impl Hop {
    /// Writes the metadata to the headers of a request to another node.
    pub(crate) fn write_headers(&self, headers: &mut HeaderMap) {
        headers.insert(headers::DATA, HeaderValue::from(clock::boot_us()));
        headers.insert(headers::SERVICE, headers::to_value(self.service.as_str()));
        headers.insert(headers::RESOURCE, headers::to_value(self.resource.as_str()));
        headers.insert(headers::CLASS, self.class_value());
        headers.insert(headers::DEADLINE_MS, self.remaining_ms());
        headers.insert(headers::DEPTH, HeaderValue::from(self.depth));
        headers.insert(headers::RETRIES, HeaderValue::from(self.retries));
        headers::insert_crashes(headers, self.crashes);
        if let Some(revision) = self.rollout_order {
            headers.insert(headers::ROLLOUT_ORDER, HeaderValue::from(revision));
        }
        if let Some(known) = &self.known_statements {
            headers.insert(headers::STATEMENTS, headers::format_statements(known));
        }
    }

    /// Reads the metadata of a request from another node. `delay` is the time by which the request
    /// was delayed in transit; it is subtracted from the remaining times. `None` if the service
    /// name is missing or invalid.
    pub(crate) fn read_headers(headers: &HeaderMap, delay: Duration) -> Option<Self> {
        let service = headers::get_str(headers, &headers::SERVICE).filter(|name| is_name(name))?;
        let deadline_ms = headers::get_u64(headers, &headers::DEADLINE_MS);
        let deadline_ms = deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
        let u32_header = |name| {
            let number = headers::get_u64(headers, name).unwrap_or(0);
            u32::try_from(number).unwrap_or(u32::MAX)
        };
        let now = Instant::now();
        let class_fields =
            ClassFields::parse(headers::get_str(headers, &headers::CLASS).unwrap_or(""));
        Some(Self {
            service: ServiceName::new(service),
            resource: ResourceName::new(
                headers::get_str(headers, &headers::RESOURCE).unwrap_or(""),
            ),
            class: class_fields.class,
            rank: class_fields.rank,
            idempotent: class_fields.idempotent,
            max_wait: class_fields.max_wait,
            received_at: now,
            due_in: class_fields.due_in.saturating_sub(delay),
            deadline: now + Duration::from_millis(deadline_ms).saturating_sub(delay),
            depth: u32_header(&headers::DEPTH),
            retries: u32_header(&headers::RETRIES),
            crashes: headers::parse_crashes(headers),
            rollout_order: headers::get_u64(headers, &headers::ROLLOUT_ORDER),
            known_statements: headers::parse_statements(headers),
            admitted_in: None,
            open_attempts: OpenAttempts::default(),
        })
    }

    fn class_value(&self) -> HeaderValue {
        let due_in = self.due().saturating_duration_since(Instant::now());
        headers::to_value(&format!(
            "{} {} {} {} {}",
            class_name(self.class),
            self.rank.number(),
            self.max_wait.as_millis(),
            due_in.as_millis(),
            if self.idempotent { IDEMPOTENT } else { "once" }
        ))
    }

    /// When the target latency has passed.
    fn due(&self) -> Instant {
        self.received_at + self.due_in
    }

    /// The slot request of an equal request that arrived now, for load estimates.
    pub(crate) fn fresh_slot_request(&self, started: Instant) -> SlotRequest {
        let now = Instant::now();
        Self {
            received_at: now,
            deadline: now + self.deadline.saturating_duration_since(self.received_at),
            ..self.clone()
        }
        .slot_request(started)
    }

    /// The slot request for admission, with times in microseconds since `started`.
    pub(crate) fn slot_request(&self, started: Instant) -> SlotRequest {
        let to_us =
            |duration: Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 2);
        SlotRequest {
            class: self.class,
            priority: priority(self.depth, self.rank),
            due_us: to_us(self.due().saturating_duration_since(started)),
            service_time_us: None,
            deadline_us: to_us(self.queue_deadline().saturating_duration_since(started)),
            max_wait_us: to_us(self.max_wait),
        }
    }

    /// Until when the request may wait for a slot.
    pub(crate) fn queue_deadline(&self) -> Instant {
        let now = Instant::now();
        let remaining = self.deadline.saturating_duration_since(now);
        now + remaining - queue_margin(remaining)
    }

    /// Milliseconds until the deadline, as a header value.
    pub(crate) fn remaining_ms(&self) -> HeaderValue {
        millis_value(self.deadline.saturating_duration_since(Instant::now()))
    }
}

/// Priority of a request with `depth` nested calls above it.
pub(crate) fn priority(depth: u32, rank: Rank) -> Priority {
    match depth > 0 && !rank.is_nested() {
        true => Priority::NestedCall,
        false => Priority::CallerRequest { rank },
    }
}

/// How long before its deadline a request leaves the queue that has `remaining` until then.
pub(crate) fn queue_margin(remaining: Duration) -> Duration {
    (remaining / REMAINING_TIME_TO_QUEUE_MARGIN_RATIO).min(QUEUE_MARGIN_MAX)
}

fn millis_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Marks an idempotent request in [`headers::CLASS`].
const IDEMPOTENT: &str = "idempotent";

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Bulk => "bulk",
    }
}

/// The fields of [`headers::CLASS`], as [`Hop::class_value`] writes them.
struct ClassFields {
    class: Class,
    rank: Rank,
    max_wait: Duration,
    due_in: Duration,
    idempotent: bool,
}

impl ClassFields {
    fn parse(text: &str) -> Self {
        let mut words = text.split(' ');
        let class = match words.next() {
            Some("bulk") => Class::Bulk,
            _ => Class::Interactive,
        };
        let rank = words.next().and_then(|rank| rank.parse().ok());
        let mut next_duration = || {
            let ms = words.next().and_then(|ms| ms.parse().ok());
            Duration::from_millis(ms.unwrap_or(DEADLINE_DEFAULT_MS))
        };
        let (max_wait, due_in) = (next_duration(), next_duration());
        Self {
            class,
            rank: rank.map_or(Rank::of_route(PRIORITY_DEFAULT), Rank::from_number),
            max_wait,
            due_in,
            idempotent: words.next() == Some(IDEMPOTENT),
        }
    }
}
