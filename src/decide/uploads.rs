//! Scheduling of large request bodies (uploads) that arrive over the link of an endpoint's VM.
//!
//! A large body occupies the link while it is transferred. Small requests share that link and queue
//! behind the data that is already in flight. Among them are calls between backend servers, which can
//! be delayed by about a tenth of a second and still be in time. So a node limits the flow control
//! window of each body, grants few upload permits at a time, and takes a slot of the backend server
//! only when the body has arrived.

use super::service_times::RunningMean;

/// Bodies up to this length are sent with the request header, without waiting to be scheduled.
pub const SMALL_BODY_MAX_BYTES: u64 = 8 << 10;

/// Maximum time for which the concurrent uploads may occupy the link, in microseconds. It is a third
/// of the 120 ms by which the shortest calls of the deployments can be delayed, because they pass the
/// link twice.
const LINK_BUSY_MAX_US: u64 = 40_000;

/// Bounds of the flow control window of one body. The minimum covers a small body. The maximum sustains
/// 12 Mbit/s over 20 ms each way, which is above a fair share of the link between regions.
const WINDOW_MIN_BYTES: u64 = 16 << 10;
const WINDOW_MAX_BYTES: u64 = 65_535;

/// Minimum number of concurrent uploads: while one waits for its sender, another uses the link.
const CONCURRENT_MIN: u64 = 2;
/// Maximum number of concurrent uploads, also used if the rate of the link is unknown. It is above the
/// number of slots of any deployment's backend server.
const CONCURRENT_MAX: u64 = 64;

/// Limits on the uploads to a node, which depend on the rate of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadLimits {
    /// Flow control window of each body.
    pub window_bytes: u32,
    /// Maximum number of concurrent uploads.
    pub concurrent_max: u32,
}

impl UploadLimits {
    /// Derives the limits from the rate of the link, `None` if unknown. Many concurrent uploads would
    /// saturate a slow link, and small requests would queue behind them.
    pub fn for_link(kbit_per_s: Option<u32>) -> Self {
        let busy_bytes =
            kbit_per_s.map_or(u64::MAX, |kbit| u64::from(kbit) * LINK_BUSY_MAX_US / 8_000);
        let window_bytes = (busy_bytes / CONCURRENT_MIN).clamp(WINDOW_MIN_BYTES, WINDOW_MAX_BYTES);
        let concurrent_max = (busy_bytes / window_bytes).clamp(CONCURRENT_MIN, CONCURRENT_MAX);
        let saturating_u32 = |number| u32::try_from(number).unwrap_or(u32::MAX);
        Self {
            window_bytes: saturating_u32(window_bytes),
            concurrent_max: saturating_u32(concurrent_max),
        }
    }
}

/// Counts the uploads to a node, those that wait for an upload permit and the active ones that have one,
/// and estimates their times in microseconds.
#[derive(Debug)]
pub struct UploadQueue {
    concurrent_max: u32,
    waiting: u32,
    active: u32,
    upload_time: RunningMean,
}

impl UploadQueue {
    /// Returns an empty queue.
    pub fn new(limits: UploadLimits) -> Self {
        Self {
            concurrent_max: limits.concurrent_max,
            waiting: 0,
            active: 0,
            upload_time: RunningMean::default(),
        }
    }

    /// Estimates how long a new upload would wait before it may start.
    pub fn estimated_wait_us(&self) -> u64 {
        let ahead = u64::from(self.waiting + self.active);
        let completions_needed = (ahead + 1).saturating_sub(u64::from(self.concurrent_max));
        completions_needed * self.upload_time.mean_us() / u64::from(self.concurrent_max)
    }

    /// Estimates the time until a new upload would be complete, including its wait.
    pub fn estimated_completion_us(&self) -> u64 {
        self.estimated_wait_us() + self.upload_time.mean_us()
    }

    /// Adds an upload that waits for a permit.
    pub fn enqueue(&mut self) {
        self.waiting += 1;
    }

    /// Removes an upload that no longer waits for a permit.
    pub fn leave_queue(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Makes a waiting upload, which has got its permit, an active one.
    pub fn start(&mut self) {
        self.leave_queue();
        self.active += 1;
    }

    /// Ends an active upload, `elapsed_us` after its start: the body is complete or the sender has
    /// disconnected.
    pub fn finish(&mut self, elapsed_us: u64) {
        self.active = self.active.saturating_sub(1);
        self.upload_time.add(elapsed_us);
    }
}
