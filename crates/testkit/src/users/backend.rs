//! Stand-in for a backend server of the users' platform.
//!
//! It keeps a record of what it ran. What a request does to it stands in its query: `work_ms` (time to
//! run), `bytes` (length of the answer), `answer` (what goes wrong with it, see [`ResponseMode`]) and `call`
//! (`HOST/PATH`, asked for through the own node before the answer). It announces itself to the node
//! beside it until it is stopped, drained, or leaves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

mod announcer;
mod connection;

pub use self::announcer::AnnouncedState;
pub use self::connection::response_seal;

/// What becomes of requests beyond slots and queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadAction {
    /// They are told that they were not run.
    #[default]
    Refuse,
    /// Their connection is reset.
    Reset,
    /// They get no answer, and no later one on their connection does.
    NeverAnswer,
}

/// What a backend server does with the answer of a request that ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// Sends it.
    #[default]
    Complete,
    /// Closes the connection instead.
    Closed,
    /// Breaks off in the middle.
    Truncated,
    /// Sends it without a length, and closes.
    WithoutLength,
    /// Sends a second one at once behind it.
    Duplicated,
    /// Sends a second one when the connection may carry the next request already.
    DuplicatedLate,
    /// Sends a failure before it has read the body, and reads on.
    EarlyFailure,
    /// Sends a failure of its own.
    Failure,
}

impl ResponseMode {
    /// The word for it in a query.
    pub fn query_value(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Closed => "lost",
            Self::Truncated => "cut",
            Self::WithoutLength => "unframed",
            Self::Duplicated => "extra",
            Self::DuplicatedLate => "extra-late",
            Self::EarlyFailure => "early",
            Self::Failure => "failure",
        }
    }

    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Complete,
        Self::Closed,
        Self::Truncated,
        Self::WithoutLength,
        Self::Duplicated,
        Self::DuplicatedLate,
        Self::EarlyFailure,
        Self::Failure,
    ];

    fn from_query_value(query_value: &str) -> Self {
        let known = Self::ALL
            .into_iter()
            .find(|known| known.query_value() == query_value);
        known.unwrap_or_default()
    }
}

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Behaviour {
    /// Requests that run at a time.
    pub slots: u32,
    /// Requests that wait.
    pub queue_len: u32,
    /// Time to run a request that does not say.
    pub default_work_time: Duration,
    /// What becomes of others.
    pub overload_action: OverloadAction,
    /// A connection that has been idle for so long is forgotten without a word, and reset by whatever
    /// is sent on it next.
    pub forgets_idle_after: Option<Duration>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_len: 16,
            default_work_time: Duration::ZERO,
            overload_action: OverloadAction::Refuse,
            forgets_idle_after: None,
        }
    }
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub started_at: Instant,
    /// When it reached the backend server: before [`Self::started_at`] if it waited.
    pub arrived_at: Instant,
    /// Which service the request is said to come from.
    pub caller: String,
    /// Milliseconds that it was said to have.
    pub deadline_ms: Option<u64>,
    /// Method, host, path and query, as they came.
    pub target: String,
    /// BLAKE3 digest of its body.
    pub body_digest: String,
}

/// What a backend server did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Its runs, by request id.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Connections that it accepted.
    pub connections: u64,
    /// Requests that it told that they did not run.
    pub refused: u64,
    /// Requests meant for another instance.
    pub misdirected: u64,
    /// When the last request reached it.
    pub last_arrival: Option<Instant>,
    /// Requests at work now.
    pub running: u32,
    /// Requests whose sender had gone before their end.
    pub abandoned: u64,
}

/// Who a backend server is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// What it serves.
    pub service: String,
    /// What it calls itself.
    pub instance: String,
    /// When it was started, in Unix milliseconds.
    pub started_ms: u64,
    /// Its data centre.
    pub data_centre: String,
}

impl Identity {
    /// One that is started now.
    pub fn new(service: &str, instance: &str, data_centre: &str) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_ms = u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0);
        Self {
            service: service.to_owned(),
            instance: instance.to_owned(),
            started_ms,
            data_centre: data_centre.to_owned(),
        }
    }
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    address: SocketAddr,
    behaviour: Mutex<Behaviour>,
    record: Mutex<Record>,
    slots: Arc<tokio::sync::Semaphore>,
    waiting: AtomicU64,
    /// Answers say that the connection ends.
    draining: AtomicBool,
    sequence: AtomicU64,
    /// Caller listener of the own node, for calls that a request asks for.
    caller_listener: Mutex<Option<SocketAddr>>,
}

/// A running backend server; it ends as by a crash when dropped.
#[derive(Debug)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Backend {
    /// Starts on `address`.
    pub async fn start(
        address: SocketAddr,
        identity: Identity,
        behaviour: Behaviour,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            identity,
            address,
            slots: Arc::new(tokio::sync::Semaphore::new(behaviour.slots as usize)),
            behaviour: Mutex::new(behaviour),
            record: Mutex::default(),
            waiting: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            caller_listener: Mutex::default(),
        });
        let stop = CancellationToken::new();
        tokio::spawn(connection::serve(
            listener,
            Arc::clone(&shared),
            stop.clone(),
        ));
        Ok(Self {
            address,
            shared,
            stop,
        })
    }

    /// Who it is.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// Drops every connection and stops listening.
    pub fn crash(&self) {
        self.stop.cancel();
    }

    /// Changes the behaviour from now on, but for the number of slots.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Names the caller listener of the node beside it.
    pub fn set_caller_listener(&self, caller_listener: SocketAddr) {
        *lock(&self.shared.caller_listener) = Some(caller_listener);
    }

    /// Its answers say from now on that their connection ends.
    pub fn set_draining(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// What it did so far.
    pub fn record(&self) -> Record {
        lock(&self.shared.record).clone()
    }

    /// Requests at work now.
    pub fn running(&self) -> u32 {
        lock(&self.shared.record).running
    }
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        *lock(&self.behaviour)
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        lock(&self.record)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
