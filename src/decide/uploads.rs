//! How large request bodies come in over the link of an endpoint's VM.
//!
//! A body takes the link for as long as it comes. Small requests share that link, calls of backend
//! servers with a tenth of a second to spare among them, and wait behind whatever is on its way. So a
//! node lets little of each body come before it asks for the rest, asks for few at a time, and takes a
//! slot of the backend server only once the body is there.

use super::service_times::Mean;

/// Bodies up to this length come at once with the head of their request.
pub const SMALL_BYTES: u64 = 8 << 10;

/// How long what is asked for at a time may keep the link busy. A third of what the shortest calls of the
/// deployments have to spare (120 ms), as they pass the link twice.
const BUSY_US: u64 = 40_000;

/// Least and most of one body that comes without being asked for. The least covers a small body; the
/// most is what keeps a body coming over 20 ms each way at 12 Mbit/s, above a fair share of the link
/// between regions.
const WINDOW_LEAST_BYTES: u64 = 16 << 10;
const WINDOW_MOST_BYTES: u64 = 65_535;

/// Fewest bodies at a time: while one waits for its sender, another uses the link.
const AT_A_TIME_LEAST: u64 = 2;
/// Most, for a node that does not know its link: above the slots of any deployment's backend server.
const AT_A_TIME_MOST: u64 = 64;

/// What a node asks for at a time, by the rate of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkShare {
    /// Bytes of each body that may be under way.
    pub window_bytes: u32,
    /// Bodies that are asked for at a time.
    pub at_a_time: u32,
}

impl LinkShare {
    /// For a link of so many kilobits a second; none if it is not known. Several large bodies at a time would
    /// fill a slow link, and short requests would wait behind them.
    pub fn of_link(kbit_per_s: Option<u32>) -> Self {
        let busy_bytes = kbit_per_s.map_or(u64::MAX, |kbit| u64::from(kbit) * BUSY_US / 8_000);
        let window_bytes =
            (busy_bytes / AT_A_TIME_LEAST).clamp(WINDOW_LEAST_BYTES, WINDOW_MOST_BYTES);
        let at_a_time = (busy_bytes / window_bytes).clamp(AT_A_TIME_LEAST, AT_A_TIME_MOST);
        let small = |number| u32::try_from(number).unwrap_or(u32::MAX);
        Self {
            window_bytes: small(window_bytes),
            at_a_time: small(at_a_time),
        }
    }
}

/// The bodies that come in, and those that wait for that. Times are microseconds.
#[derive(Debug)]
pub struct Intake {
    at_a_time: u32,
    waiting: u32,
    coming: u32,
    took: Mean,
}

impl Intake {
    /// None yet.
    pub fn new(share: LinkShare) -> Self {
        Self {
            at_a_time: share.at_a_time,
            waiting: 0,
            coming: 0,
            took: Mean::default(),
        }
    }

    /// How long one that came now would wait before its body is asked for.
    pub fn wait_us(&self) -> u64 {
        let ahead = u64::from(self.waiting + self.coming);
        let turns = (ahead + 1).saturating_sub(u64::from(self.at_a_time));
        turns * self.took.us() / u64::from(self.at_a_time)
    }

    /// How long until the whole body of one that came now would be there.
    pub fn taken_us(&self) -> u64 {
        self.wait_us() + self.took.us()
    }

    /// One waits.
    pub fn waits(&mut self) {
        self.waiting += 1;
    }

    /// One that waited has left.
    pub fn left(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// The body of one that waited is asked for.
    pub fn begun(&mut self) {
        self.left();
        self.coming += 1;
    }

    /// It is there, or its sender has gone, after `took_us`.
    pub fn ended(&mut self, took_us: u64) {
        self.coming = self.coming.saturating_sub(1);
        self.took.learn(took_us);
    }
}
