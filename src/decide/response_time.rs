//! How long the rest of a response is awaited after its head.
//!
//! The sender has until the deadline. The time for which the receiver leaves what has arrived is added, so that a slow
//! receiver gets a whole response. After the deadline, what still arrives is passed on within limits: it may have been ready
//! in time. A sender that falls silent, that sends little at a time or without end, is thus given up soon after the deadline.

use std::time::{Duration, Instant};

/// Longest wait after the deadline, and longest sum of the waits that nothing makes up for.
const LATE_WAIT_MAX: Duration = Duration::from_millis(200);

/// Wait after the deadline that each KiB which arrives then makes up for. A response of several windows takes as many round
/// trips, and its caller gets more of a late rest than of a connection that ends before it.
const LATE_WAIT_PER_KIB: Duration = Duration::from_millis(1);

/// Most bytes of a response without a plausible length that are passed on after the deadline.
const LATE_MAX_BYTES: u64 = 256 << 10;

/// Largest declared length with which a response is trusted to end.
pub const PLAUSIBLE_MAX_BYTES: u64 = 16 << 20;

/// Limit that a response has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overrun {
    /// The next part did not arrive in time.
    Deadline,
    /// Too many bytes arrived after the deadline.
    LateBytes,
}

impl Overrun {
    /// The limit in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::LateBytes => "late-bytes",
        }
    }
}

/// The time and bytes that are left to the sender of one response body.
#[derive(Clone, Debug)]
pub struct ResponseTime {
    deadline: Instant,
    /// Time for which the receiver has left what had arrived.
    receiver_time: Duration,
    passed_on_at: Option<Instant>,
    waiting_since: Option<Instant>,
    late_wait_left: Duration,
    late_bytes_left: u64,
}

impl ResponseTime {
    /// The limits of a response whose head has arrived and that is due at `deadline`. `declared_bytes` is the length in its
    /// head.
    pub fn new(now: Instant, deadline: Instant, declared_bytes: Option<u64>) -> Self {
        let plausible = declared_bytes.filter(|bytes| *bytes <= PLAUSIBLE_MAX_BYTES);
        Self {
            deadline,
            receiver_time: Duration::ZERO,
            passed_on_at: Some(now),
            waiting_since: None,
            late_wait_left: LATE_WAIT_MAX,
            late_bytes_left: plausible.unwrap_or(LATE_MAX_BYTES),
        }
    }

    /// Records that the receiver asks for the next part.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(passed_on_at) = self.passed_on_at.take() {
            self.receiver_time += now.saturating_duration_since(passed_on_at);
        }
    }

    /// Records that nothing has arrived yet, and returns until when to wait.
    pub fn wait_until(&mut self, now: Instant) -> Instant {
        let since = *self.waiting_since.get_or_insert(now);
        let deadline = self.sender_deadline();
        // What was sent in time may be on its way, so a wait that began shortly before the deadline does not end at it.
        let late_until = since + self.late_wait_left;
        match since < deadline {
            true => deadline.max(late_until),
            false => late_until,
        }
    }

    /// Records the next part, of `len_bytes`, and returns whether it may be passed on.
    pub fn record_part(&mut self, now: Instant, len_bytes: u64) -> Result<(), Overrun> {
        if let Some(since) = self.waiting_since.take()
            && since >= self.sender_deadline()
        {
            let waited = now.saturating_duration_since(since);
            self.late_wait_left = self.late_wait_left.saturating_sub(waited);
        }
        self.passed_on_at = Some(now);
        // Not the deadline of the sender: one that sends without end would move it with a slow receiver.
        if now >= self.deadline {
            let made_up = LATE_WAIT_PER_KIB.mul_f64(len_bytes as f64 / 1_024.0);
            self.late_wait_left = (self.late_wait_left + made_up).min(LATE_WAIT_MAX);
            let left = self.late_bytes_left.checked_sub(len_bytes);
            self.late_bytes_left = left.ok_or(Overrun::LateBytes)?;
        }
        Ok(())
    }

    fn sender_deadline(&self) -> Instant {
        self.deadline + self.receiver_time
    }
}
