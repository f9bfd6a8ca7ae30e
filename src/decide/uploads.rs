//! How large request bodies come in over the link of an endpoint's VM.
//!
//! A body takes the link for as long as it comes. Small requests share that link, calls of backend
//! servers with a tenth of a second to spare among them, and wait behind whatever is on its way. So a
//! node lets little of each body come before it asks for the rest, asks for few at a time, and takes a
//! slot of the backend server only once the body is there.

use super::service_times::RunningMean;

/// Bodies up to this length come at once with the head of their request.
pub const SMALL_BODY_MAX_BYTES: u64 = 8 << 10;

/// How long what is asked for at a time may keep the link busy. A third of what the shortest calls of the
/// deployments have to spare (120 ms), as they pass the link twice.
const LINK_BUSY_MAX_US: u64 = 40_000;

/// Least and most of one body that comes without being asked for. The least covers a small body; the
/// most is what keeps a body coming over 20 ms each way at 12 Mbit/s, above a fair share of the link
/// between regions.
const WINDOW_MIN_BYTES: u64 = 16 << 10;
const WINDOW_MAX_BYTES: u64 = 65_535;

/// Fewest bodies at a time: while one waits for its sender, another uses the link.
const CONCURRENT_MIN: u64 = 2;
/// Most, for a node that does not know its link: above the slots of any deployment's backend server.
const CONCURRENT_MAX: u64 = 64;

/// What a node asks for at a time, by the rate of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadLimits {
    /// Bytes of each body that may be under way.
    pub window_bytes: u32,
    /// Bodies that are asked for at a time.
    pub concurrent_max: u32,
}

impl UploadLimits {
    /// For a link of so many kilobits a second; none if it is not known. Several large bodies at a time would
    /// fill a slow link, and short requests would wait behind them.
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

/// The bodies that come in, and those that wait for that. Times are microseconds.
#[derive(Debug)]
pub struct UploadQueue {
    concurrent_max: u32,
    waiting: u32,
    active: u32,
    upload_time: RunningMean,
}

impl UploadQueue {
    /// None yet.
    pub fn new(limits: UploadLimits) -> Self {
        Self {
            concurrent_max: limits.concurrent_max,
            waiting: 0,
            active: 0,
            upload_time: RunningMean::default(),
        }
    }

    /// How long one that came now would wait before its body is asked for.
    pub fn estimated_wait_us(&self) -> u64 {
        let ahead = u64::from(self.waiting + self.active);
        let completions_needed = (ahead + 1).saturating_sub(u64::from(self.concurrent_max));
        completions_needed * self.upload_time.mean_us() / u64::from(self.concurrent_max)
    }

    /// How long until the whole body of one that came now would be there.
    pub fn estimated_completion_us(&self) -> u64 {
        self.estimated_wait_us() + self.upload_time.mean_us()
    }

    /// One waits.
    pub fn enqueue(&mut self) {
        self.waiting += 1;
    }

    /// One that waited has left.
    pub fn leave_queue(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// The body of one that waited is asked for.
    pub fn start(&mut self) {
        self.leave_queue();
        self.active += 1;
    }

    /// It is there, or its sender has gone, after `elapsed_us`.
    pub fn finish(&mut self, elapsed_us: u64) {
        self.active = self.active.saturating_sub(1);
        self.upload_time.add(elapsed_us);
    }
}
