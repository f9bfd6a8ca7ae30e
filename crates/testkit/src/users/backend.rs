//! Stand-in for a backend server of the users' platform.
//!
//! It records every request that it runs. The query of a request controls how it is run:
//!
//! - `work_ms`: time that the request takes.
//! - `bytes`: size of the response body.
//! - `answer`: fault of the response, see [`ResponseMode`].
//! - `status`: status of the response in place of 200. It does not say whether the request ran.
//! - `endless`: part of the response that never ends, see [`EndlessPart`]; `pause_ms`: pause between two pieces of it.
//! - `cut`: number of bytes of the response, its head included, after which the connection is closed; with `reset=1` by a
//!   reset. `framing` is how its body ends: `length` if it is absent, `chunks`, or `close`.
//! - `halt_ms`: pause after half of the response body.
//! - `call`: `HOST/PATH`, which the backend server requests through the node on its VM before it responds.
//!   `~id~` in it stands for the id of the request.
//! - `needs`: like `call`; the backend server responds with status 500 if that request fails.
//! - `crash`: how the backend server ends once the work is done, see [`CrashMode`]. Its response is not sent.
//!
//! [`Backend::announce`] announces it to the node on its VM; [`super::mesh`] does so periodically.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

mod announcer;
mod connection;
mod endless;
pub mod journal;
mod raw_response;
mod statement;

pub use self::announcer::AnnouncedState;
pub use self::connection::response_seal;
pub use self::endless::EndlessPart;
use self::journal::{Event, Journal};
pub use self::raw_response::{RawEnd, RawResponse};
pub use self::statement::{Statement, most_arrivals_in};

/// What happens to a request that gets no slot, because the queue is full or because the deadline of the
/// request passes while it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OverloadAction {
    /// Responds with 503 and the header `X-Dfw-Not-Executed`, which says that the request did not run.
    #[default]
    Refuse,
    /// Closes the connection without a response.
    Reset,
    /// Keeps the connection open and never responds on it again.
    NeverAnswer,
}

/// Way in which a backend server responds to a request that it ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// Sends the complete response.
    #[default]
    Complete,
    /// Closes the connection without a response.
    Closed,
    /// Closes the connection after half of the body.
    Truncated,
    /// Sends the response without `Content-Length` and closes the connection at its end.
    WithoutLength,
    /// Sends the response twice, without a pause.
    Duplicated,
    /// Sends the response twice, with a pause in which the client may already reuse the connection for its
    /// next request.
    DuplicatedLate,
    /// Sends a response with status 500 before it reads the request body.
    EarlyFailure,
    /// Like [`Self::EarlyFailure`], and then closes the connection instead of reading the body.
    EarlyClose,
    /// Like [`Self::EarlyFailure`], and never reads the body.
    EarlyStall,
    /// Sends a response with status 500.
    Failure,
    /// Like [`Self::DuplicatedLate`], but the second response has status 503 and no request id.
    RefusedLate,
    /// Like [`Self::RefusedLate`], and the second response says that its request did not run.
    RejectedLate,
    /// Sends a response that says that the request did not run.
    Denied,
    /// Like [`Self::Denied`], and then closes the connection.
    DeniedClose,
}

impl ResponseMode {
    /// Returns the value of the query parameter `answer` that selects this mode.
    pub fn query_value(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Closed => "lost",
            Self::Truncated => "cut",
            Self::WithoutLength => "unframed",
            Self::Duplicated => "extra",
            Self::DuplicatedLate => "extra-late",
            Self::EarlyFailure => "early",
            Self::EarlyClose => "early-close",
            Self::EarlyStall => "early-stall",
            Self::Failure => "failure",
            Self::RefusedLate => "refused-late",
            Self::RejectedLate => "rejected-late",
            Self::Denied => "denied",
            Self::DeniedClose => "denied-close",
        }
    }

    /// All modes.
    pub const ALL: [Self; 14] = [
        Self::Complete,
        Self::Closed,
        Self::Truncated,
        Self::WithoutLength,
        Self::Duplicated,
        Self::DuplicatedLate,
        Self::EarlyFailure,
        Self::EarlyClose,
        Self::EarlyStall,
        Self::Failure,
        Self::RefusedLate,
        Self::RejectedLate,
        Self::Denied,
        Self::DeniedClose,
    ];

    fn from_query_value(query_value: &str) -> Self {
        let mode = Self::ALL
            .into_iter()
            .find(|mode| mode.query_value() == query_value);
        mode.unwrap_or_default()
    }
}

/// Way in which a backend server ends under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// All connections and the listener are closed.
    Closed,
    /// Connections stay open, and nothing is sent on any of them any more. Announcements end.
    Silent,
}

impl CrashMode {
    /// Returns the value of the query parameter `crash` that selects this mode.
    pub fn query_value(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
        }
    }

    fn from_query_value(query_value: &str) -> Option<Self> {
        let mut modes = [Self::Closed, Self::Silent].into_iter();
        modes.find(|mode| mode.query_value() == query_value)
    }
}

/// Capacity and faults of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Behaviour {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that wait for a slot.
    pub queue_len: u32,
    /// Time that a request takes if its query has no `work_ms`.
    pub default_work_time: Duration,
    /// What happens to requests that get no slot.
    pub overload_action: OverloadAction,
    /// If set, a connection that was idle for longer than this is treated as lost: the backend server
    /// doesn't close it, but resets it when the next bytes arrive.
    pub resets_idle_after: Option<Duration>,
    /// If set, one in this many requests gets a response with status 500 after its run.
    pub fails_one_in: Option<u64>,
    /// Share of requests that begin and are then said not to have run, in percent.
    pub denies_percent: u32,
    /// Share of requests that are treated as if the queue were full, in percent.
    pub sheds_percent: u32,
    /// Whether that is decided before the body of a request is read.
    pub sheds_early: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_len: 16,
            default_work_time: Duration::ZERO,
            overload_action: OverloadAction::Refuse,
            resets_idle_after: None,
            fails_one_in: None,
            denies_percent: 0,
            sheds_percent: 0,
            sheds_early: false,
        }
    }
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time at which the run started.
    pub started_at: Instant,
    /// Time at which the request arrived at the backend server; [`Self::started_at`] is later if it
    /// waited for a slot.
    pub arrived_at: Instant,
    /// Value of the header `x-dfw-caller`: the service that sent the request.
    pub caller: String,
    /// Value of the header `x-dfw-tenant`: the organisation whose key the caller sent.
    pub organisation: Option<String>,
    /// Whether any header contained credentials, which a backend server must not receive.
    pub has_credentials: bool,
    /// Value of the header `x-dfw-deadline-ms`: the time in which the response is needed.
    pub deadline_ms: Option<u64>,
    /// Method, then host, path and query as received.
    pub target: String,
    /// BLAKE3 digest of the request body; empty if the run started before the body was read.
    pub body_digest: String,
    /// How the run ended; `None` while it lasts, and if the backend server ended first.
    pub end: Option<RunEnd>,
}

/// The end of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// Time at which the work was done or given up.
    pub ended_at: Instant,
    /// Status of the response; `None` if the client disconnected before.
    pub status: Option<u16>,
}

/// Runs and counters of a backend server since its start.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Runs of each request id, in the order of their start.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Connections accepted.
    pub connections: u64,
    /// Requests rejected with 503 because they got no slot; see [`OverloadAction::Refuse`].
    pub refused: u64,
    /// Requests rejected with 421 because they name another instance.
    pub misdirected: u64,
    /// Times at which requests arrived, health checks and rejected requests included.
    pub arrivals: Vec<Instant>,
    /// Number of requests other than health checks that arrived, rejected ones included.
    pub requests: u64,
    /// Time at which the most recent request other than a health check arrived.
    pub last_arrival: Option<Instant>,
    /// Requests that are running.
    pub running: u32,
    /// Requests whose client disconnected while they ran.
    pub abandoned: u64,
    /// Endless responses that the client ended by closing the connection.
    pub endless_closed: u64,
    /// When the backend server ended under a request.
    pub crashed_at: Option<Instant>,
}

/// Identity of a backend server, as it announces itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of its service.
    pub service: String,
    /// Name of the instance; a restarted backend server has a new one.
    pub instance: String,
    /// Start time in milliseconds since the Unix epoch; announced as `born`.
    pub started_ms: u64,
    /// Name of its data centre.
    pub data_centre: String,
    /// Version of its software, announced as `version`.
    pub software_version: String,
}

impl Identity {
    /// Returns an identity whose start time is now.
    pub fn new(service: &str, instance: &str, data_centre: &str) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_ms = u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0);
        Self {
            service: service.to_owned(),
            instance: instance.to_owned(),
            started_ms,
            data_centre: data_centre.to_owned(),
            software_version: "v1".to_owned(),
        }
    }
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    journal: Option<Journal>,
    address: SocketAddr,
    behaviour: Mutex<Behaviour>,
    record: Mutex<Record>,
    slots: Arc<tokio::sync::Semaphore>,
    waiting: AtomicU64,
    /// Whether responses carry `Connection: close` and health checks get status 503.
    draining: AtomicBool,
    statement: Mutex<Statement>,
    responses: AtomicU64,
    sequence: AtomicU64,
    /// Caller listener of the node on the same VM, which takes the requests of a `call`.
    caller_listener: Mutex<Option<SocketAddr>>,
    /// Cancelled when the backend server ends.
    stop: CancellationToken,
    /// Whether it has ended silently.
    silent: AtomicBool,
    /// Cancelled when it denies the requests that it runs.
    denies: CancellationToken,
}

/// A running backend server. Dropping it has the effect of [`Backend::crash`].
#[derive(Debug)]
pub struct Backend {
    /// Address of its listener.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Backend {
    /// Starts a backend server that listens on `address`.
    pub async fn start(
        address: SocketAddr,
        identity: Identity,
        behaviour: Behaviour,
    ) -> std::io::Result<Self> {
        Self::start_with_journal(address, identity, behaviour, None).await
    }

    /// Like [`Self::start`], and writes what it does with each request to `journal`.
    pub async fn start_with_journal(
        address: SocketAddr,
        identity: Identity,
        behaviour: Behaviour,
        journal: Option<Journal>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            identity,
            journal,
            address,
            slots: Arc::new(tokio::sync::Semaphore::new(behaviour.slots as usize)),
            behaviour: Mutex::new(behaviour),
            record: Mutex::default(),
            waiting: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            statement: Mutex::default(),
            responses: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            caller_listener: Mutex::default(),
            stop: CancellationToken::new(),
            silent: AtomicBool::new(false),
            denies: CancellationToken::new(),
        });
        tokio::spawn(connection::serve(
            listener,
            Arc::clone(&shared),
            shared.stop.clone(),
        ));
        Ok(Self { address, shared })
    }

    /// Returns the identity with which it was started.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// Closes all connections and the listener, as a crash would. The tasks that close them may still run
    /// when this returns.
    pub fn crash(&self) {
        self.shared.stop.cancel();
    }

    /// Whether it has ended, by [`Self::crash`] or under a request.
    pub fn has_ended(&self) -> bool {
        self.shared.has_ended()
    }

    /// Replaces the behaviour from now on, except for the number of requests that run concurrently: a
    /// changed [`Behaviour::slots`] is announced, but has no other effect.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Sets the caller listener of the node on the same VM.
    pub fn set_caller_listener(&self, caller_listener: SocketAddr) {
        *lock(&self.shared.caller_listener) = Some(caller_listener);
    }

    /// From now on, responses carry `Connection: close` and health checks get status 503.
    pub fn set_draining(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// Gives up the requests that run, and responds to each, and to all that come later, with 503 and the statement that the
    /// request did not run.
    pub fn deny_running(&self) {
        self.shared.denies.cancel();
    }

    /// Returns a snapshot of the runs and counters.
    pub fn record(&self) -> Record {
        lock(&self.shared.record).clone()
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> u32 {
        lock(&self.shared.record).running
    }
}

impl Shared {
    fn end(&self, mode: CrashMode) {
        self.record().crashed_at.get_or_insert_with(Instant::now);
        match mode {
            CrashMode::Closed => self.stop.cancel(),
            CrashMode::Silent => self.silent.store(true, Ordering::Release),
        }
    }

    fn has_ended(&self) -> bool {
        self.stop.is_cancelled() || self.silent.load(Ordering::Acquire)
    }

    fn behaviour(&self) -> Behaviour {
        *lock(&self.behaviour)
    }

    fn record_event(&self, id: &str, target: &str, event: Event) {
        if let Some(journal) = &self.journal {
            journal.record(id, target, event);
        }
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        lock(&self.record)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
