//! Stand-in for the store of the users' platform: rows, conditional transactions, a feed of changes,
//! and objects.
//!
//! All data is kept in memory. Requests above the rate limits get status 429. Tests can make the store
//! reject the requests of all clients or of some, delay responses, lose them, apply a transaction
//! later, and drop the history of changes. In this module, a caller is a client of the store.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http::{Body, Query, build_response, serve_with_peer};
use crate::rate_limit::RateLimiter;

mod rows;

use self::rows::{Feed, Rows};

/// Limit on the writes of all callers together, as in the users' site files.
const MAX_WRITES_PER_S: f64 = 400.0;
/// Limit on the reads of all callers together, as in the users' site files.
const MAX_READS_PER_S: f64 = 2_000.0;

/// Fault with which the store rejects a request before it processes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallFault {
    /// No fault: the request is processed.
    #[default]
    None,
    /// Status 503.
    Unavailable,
    /// Status 429, even if the request is within the rate limits.
    RateLimited,
    /// The connection is closed without a response.
    Disconnect,
    /// The connection stays open, but there is never a response.
    NeverAnswer,
}

/// Fault in the processing of transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteFault {
    /// No fault.
    #[default]
    None,
    /// The transaction is processed, but the connection is closed without a response.
    AnswerLost,
    /// The connection is closed without a response. The transaction is applied after this delay, if its
    /// conditions hold then.
    Delayed(Duration),
}

/// Totals of requests since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// Reads, feeds and rate-limited ones included.
    pub reads: u64,
    /// Transactions and all other requests with a method other than GET.
    pub writes: u64,
    /// Requests rejected with 429 because of a rate limit.
    pub refused: u64,
    /// Highest number of rows in one response of a feed.
    pub max_feed_rows: usize,
}

impl RequestCounts {
    fn record_feed_rows(&mut self, rows: usize) {
        self.max_feed_rows = self.max_feed_rows.max(rows);
    }
}

#[derive(Debug)]
struct State {
    rows: Rows,
    objects: BTreeMap<String, Bytes>,
    call_fault: CallFault,
    call_faults_by_caller: BTreeMap<IpAddr, CallFault>,
    delay: Duration,
    write_fault: WriteFault,
    counts: RequestCounts,
    configuration_reads: BTreeMap<IpAddr, u64>,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
}

/// A running store. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Store {
    /// Address of its listener.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started_at: Instant,
    /// Incremented to wake the waiting feeds: on changes of rows, faults or the history.
    changed: watch::Sender<u64>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Store {
    /// Starts a store that listens on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                rows: Rows::default(),
                objects: BTreeMap::new(),
                call_fault: CallFault::None,
                call_faults_by_caller: BTreeMap::new(),
                delay: Duration::ZERO,
                write_fault: WriteFault::None,
                counts: RequestCounts::default(),
                configuration_reads: BTreeMap::new(),
                read_limiter: RateLimiter::new(MAX_READS_PER_S),
                write_limiter: RateLimiter::new(MAX_WRITES_PER_S),
            }),
            started_at: Instant::now(),
            changed: watch::Sender::new(0),
        });
        let stop = CancellationToken::new();
        let handler_shared = Arc::clone(&shared);
        let handle = move |peer: SocketAddr, request| {
            let shared = Arc::clone(&handler_shared);
            async move { shared.handle(peer.ip(), request).await }
        };
        tokio::spawn(serve_with_peer(
            listener,
            stop.clone(),
            Arc::default(),
            handle,
        ));
        Ok(Self {
            address,
            shared,
            stop,
        })
    }

    /// Writes a row of the table `op`, as an operator does. Returns the version of the row.
    pub fn write_operator_row(&self, key: &str, value: &[u8]) -> u64 {
        let version = self.shared.state().rows.put("op", "", key, value.to_vec());
        self.shared.wake_feeds();
        version
    }

    /// Writes a row of any table, as another writer does.
    pub fn write_row(&self, table: &str, key: &str, value: &[u8]) {
        self.shared.state().rows.put(table, "", key, value.to_vec());
    }

    /// Deletes a row of the table `op`, as an operator does.
    pub fn delete_operator_row(&self, key: &str) {
        self.shared.state().rows.delete("op", "", key);
        self.shared.wake_feeds();
    }

    /// Sets the fault for all callers for which [`Self::set_call_fault_for`] has set none.
    pub fn set_call_fault(&self, call_fault: CallFault) {
        self.shared.state().call_fault = call_fault;
        self.shared.wake_feeds();
    }

    /// Sets the fault for one caller. With [`CallFault::None`], the fault for all callers applies to it.
    pub fn set_call_fault_for(&self, caller: IpAddr, call_fault: CallFault) {
        let mut state = self.shared.state();
        state.call_faults_by_caller.insert(caller, call_fault);
        drop(state);
        self.shared.wake_feeds();
    }

    /// Delays the processing of every request by this time.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state().delay = delay;
    }

    /// Sets the fault for transactions from now on.
    pub fn set_write_fault(&self, fault: WriteFault) {
        self.shared.state().write_fault = fault;
    }

    /// Drops the history of changes so far. Feeds that wait get status 410.
    pub fn drop_history(&self) {
        self.shared.state().rows.drop_history();
        self.shared.wake_feeds();
    }

    /// Returns a snapshot of the totals.
    pub fn counts(&self) -> RequestCounts {
        self.shared.state().counts
    }

    /// Returns how often a caller has read the table `op`, which operators write; rejected reads are
    /// included.
    pub fn configuration_reads_of(&self, caller: IpAddr) -> u64 {
        let state = self.shared.state();
        state.configuration_reads.get(&caller).copied().unwrap_or(0)
    }

    /// Returns the value of a row in the part whose name is empty.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        self.shared.state().rows.value(table, "", key)
    }
}

/// Way in which a request ends.
enum CallOutcome {
    Respond(Response<Body>),
    /// The connection is closed without a response.
    Disconnect,
    /// The connection stays open without a response.
    NeverAnswer,
}

impl From<CallOutcome> for Option<Response<Body>> {
    fn from(outcome: CallOutcome) -> Self {
        match outcome {
            CallOutcome::Respond(response) => Some(response),
            CallOutcome::Disconnect | CallOutcome::NeverAnswer => None,
        }
    }
}

#[derive(Debug, Deserialize)]
struct FeedQuery {
    table: String,
    after: u64,
    wait: Duration,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes waiting feeds check the history and the faults again.
    fn wake_feeds(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the time since the start, as responses give it in the field `now`.
    fn elapsed_ms_text(&self) -> String {
        format!("{}ms", self.started_at.elapsed().as_millis())
    }

    async fn handle(
        self: &Arc<Self>,
        caller: IpAddr,
        request: Request<Incoming>,
    ) -> Option<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let query = Query(parts.uri.query().unwrap_or(""));
        if query.get("tableName") == "op" {
            *self.state().configuration_reads.entry(caller).or_default() += 1;
        }
        let delay = self.state().delay;
        tokio::time::sleep(delay).await;
        if let Some(outcome) = self.apply_call_fault(caller) {
            return match outcome {
                CallOutcome::NeverAnswer => std::future::pending().await,
                other => other.into(),
            };
        }
        if let Some(refused) = self.check_rate_limit(&parts.method) {
            return Some(refused);
        }
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/-/rows-tx") => self.transact(&body).into(),
            (&Method::GET, "/-/rows-get") => Some(self.get(&query)),
            (&Method::GET, "/-/rows-parts") => Some(self.parts(&query)),
            (&Method::GET, "/-/rows-feed") => self.feed(caller, &query).await,
            (method, path) => Some(self.state().access_object(method, path, &query, body)),
        }
    }

    /// Returns the fault set for this caller, or else the one set for all.
    fn call_fault_of(&self, caller: IpAddr) -> CallFault {
        let state = self.state();
        let caller_fault = state
            .call_faults_by_caller
            .get(&caller)
            .copied()
            .unwrap_or_default();
        match caller_fault {
            CallFault::None => state.call_fault,
            caller_fault => caller_fault,
        }
    }

    /// Returns how a request of `caller` ends if a fault is set for it.
    fn apply_call_fault(&self, caller: IpAddr) -> Option<CallOutcome> {
        let refuse = |status| CallOutcome::Respond(build_response(status, "{}"));
        match self.call_fault_of(caller) {
            CallFault::None => None,
            CallFault::Unavailable => Some(refuse(StatusCode::SERVICE_UNAVAILABLE)),
            CallFault::RateLimited => Some(refuse(StatusCode::TOO_MANY_REQUESTS)),
            CallFault::Disconnect => Some(CallOutcome::Disconnect),
            CallFault::NeverAnswer => Some(CallOutcome::NeverAnswer),
        }
    }

    /// Counts a request and returns a 429 response if it is above the rate limit.
    fn check_rate_limit(&self, method: &Method) -> Option<Response<Body>> {
        let mut state = self.state();
        let allowed = match method == Method::GET {
            true => {
                state.counts.reads += 1;
                state.read_limiter.try_acquire()
            }
            false => {
                state.counts.writes += 1;
                state.write_limiter.try_acquire()
            }
        };
        if allowed {
            return None;
        }
        state.counts.refused += 1;
        Some(build_response(StatusCode::TOO_MANY_REQUESTS, "{}"))
    }

    fn transact(self: &Arc<Self>, body: &[u8]) -> CallOutcome {
        let Ok(transaction) = serde_json::from_slice(body) else {
            return CallOutcome::Respond(build_response(
                StatusCode::BAD_REQUEST,
                "not a transaction",
            ));
        };
        let fault = self.state().write_fault;
        if let WriteFault::Delayed(write_delay) = fault {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(write_delay).await;
                shared.state().rows.transact(&transaction);
                shared.wake_feeds();
            });
            return CallOutcome::Disconnect;
        }
        let outcome = self.state().rows.transact(&transaction);
        self.wake_feeds();
        if fault == WriteFault::AnswerLost {
            return CallOutcome::Disconnect;
        }
        let now = self.elapsed_ms_text();
        CallOutcome::Respond(match outcome {
            rows::Outcome::Committed(version) => json(
                StatusCode::OK,
                &serde_json::json!({"ver": version, "now": now}),
            ),
            rows::Outcome::ConditionFailed(rows) => json(
                StatusCode::PRECONDITION_FAILED,
                &serde_json::json!({"rows": rows, "now": now}),
            ),
            rows::Outcome::Forbidden => build_response(StatusCode::FORBIDDEN, "not yours"),
        })
    }

    fn get(&self, query: &Query<'_>) -> Response<Body> {
        let limit = query.get("limit").parse().unwrap_or(rows::PAGE_ROWS);
        let state = self.state();
        let range = rows::RowRange {
            table: query.get("tableName"),
            part: query.get("part"),
            from: query.get("from"),
            to: query.get("to"),
            limit,
        };
        let page = state.rows.page(&range);
        json(
            StatusCode::OK,
            &serde_json::json!({
                "rows": page.rows, "hasMore": page.has_more,
                "ver": state.rows.version(), "now": self.elapsed_ms_text(),
            }),
        )
    }

    fn parts(&self, query: &Query<'_>) -> Response<Body> {
        let parts = self.state().rows.parts(query.get("tableName"));
        json(
            StatusCode::OK,
            &serde_json::json!({"parts": parts, "hasMore": false}),
        )
    }

    async fn feed(&self, caller: IpAddr, query: &Query<'_>) -> Option<Response<Body>> {
        let number = |name| query.get(name).parse().unwrap_or(0);
        let feed_query = FeedQuery {
            table: query.get("tableName").to_owned(),
            after: number("after"),
            wait: Duration::from_millis(number("waitMs")),
        };
        let mut changes = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + feed_query.wait;
        loop {
            // `CallFault::Disconnect` also ends a feed that is waiting when the fault is set.
            if let Some(CallOutcome::Disconnect) = self.apply_call_fault(caller) {
                return None;
            }
            let feed = self.state().rows.feed(&feed_query.table, feed_query.after);
            let timed_out = tokio::time::Instant::now() >= deadline;
            match feed {
                Feed::HistoryDropped => return Some(build_response(StatusCode::GONE, "{}")),
                Feed::Changes(rows) if !rows.is_empty() || timed_out => {
                    self.state().counts.record_feed_rows(rows.len());
                    return Some(self.feed_response(&rows));
                }
                Feed::Changes(_) => (),
            }
            // After a change and after the timeout alike, the loop reads the history again.
            let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        }
    }

    fn feed_response(&self, rows: &[rows::WireRow]) -> Response<Body> {
        let version = self.state().rows.version();
        json(
            StatusCode::OK,
            &serde_json::json!({"rows": rows, "ver": version, "now": self.elapsed_ms_text()}),
        )
    }
}

impl State {
    fn access_object(
        &mut self,
        method: &Method,
        path: &str,
        query: &Query<'_>,
        body: Bytes,
    ) -> Response<Body> {
        let object_name = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
        if let Some(name) = object_name("/-/blob-put/") {
            let exists = self.objects.insert(name, body).is_some();
            let status = match exists {
                true => StatusCode::PRECONDITION_FAILED,
                false => StatusCode::OK,
            };
            return build_response(status, "");
        }
        if let Some(name) = object_name("/-/blob-get/") {
            return match self.objects.get(&name) {
                Some(bytes) => build_response(StatusCode::OK, bytes.clone()),
                None => build_response(StatusCode::NOT_FOUND, ""),
            };
        }
        if let Some(name) = object_name("/-/blob-drop/") {
            self.objects.remove(&name);
            return build_response(StatusCode::OK, "");
        }
        if (method, path) == (&Method::GET, "/-/blob-list") {
            let prefix = query.get("prefix");
            let names: Vec<&String> = self
                .objects
                .keys()
                .filter(|name| name.starts_with(prefix))
                .collect();
            return json(
                StatusCode::OK,
                &serde_json::json!({"names": names, "hasMore": false}),
            );
        }
        build_response(StatusCode::NOT_FOUND, "no such call")
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("the response can be encoded as JSON");
    build_response(status, body)
}
