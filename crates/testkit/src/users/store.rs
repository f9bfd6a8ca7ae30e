//! Stand-in for the platform's store: rows, conditional transactions, a feed of changes, objects.
//!
//! It keeps everything in memory and loses nothing. Above its rates it answers 429. It can be told to
//! turn away everybody or some callers, to be slow, to lose answers, to do a write later, and to drop
//! its history.

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

use crate::http::{Body, Query, answer, serve_from};
use crate::rate_limit::Bucket;

mod rows;

use self::rows::{Feed, Rows};

/// Calls a second of all callers together, as the site files have them.
const WRITES_PER_S: f64 = 400.0;
const READS_PER_S: f64 = 2_000.0;

/// How the store turns callers away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// It does not.
    #[default]
    None,
    /// 503: nothing was done.
    Busy,
    /// 429: above the rates, whatever the caller has used.
    Many,
    /// The connection breaks.
    Reset,
    /// No answer ever comes.
    Silent,
}

/// What goes wrong with transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteFault {
    /// Nothing.
    #[default]
    None,
    /// They are done, and the answer is lost.
    AnswerLost,
    /// The answer is lost, and they are done so much later, if their condition still holds.
    Late(Duration),
}

/// What was asked of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Reads, feeds included.
    pub reads: u64,
    /// Transactions and stored objects.
    pub writes: u64,
    /// Calls above the rates.
    pub refused: u64,
    /// Most rows that one answer of a feed held.
    pub feed_rows_most: usize,
}

impl Counts {
    fn note_feed(&mut self, rows: usize) {
        self.feed_rows_most = self.feed_rows_most.max(rows);
    }
}

#[derive(Debug)]
struct State {
    rows: Rows,
    objects: BTreeMap<String, Bytes>,
    trouble: Trouble,
    trouble_for: BTreeMap<IpAddr, Trouble>,
    delay: Duration,
    write_fault: WriteFault,
    counts: Counts,
    reads_by: BTreeMap<IpAddr, u64>,
    reads: Bucket,
    writes: Bucket,
}

/// A running stand-in; it ends when dropped.
#[derive(Debug)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
    /// Counts what feeds wait for: changes, and drops of history.
    changed: watch::Sender<u64>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Store {
    /// Starts on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                rows: Rows::default(),
                objects: BTreeMap::new(),
                trouble: Trouble::None,
                trouble_for: BTreeMap::new(),
                delay: Duration::ZERO,
                write_fault: WriteFault::None,
                counts: Counts::default(),
                reads_by: BTreeMap::new(),
                reads: Bucket::new(READS_PER_S),
                writes: Bucket::new(WRITES_PER_S),
            }),
            started: Instant::now(),
            changed: watch::Sender::new(0),
        });
        let stop = CancellationToken::new();
        let handler = Arc::clone(&shared);
        let handle = move |peer: SocketAddr, request| {
            let shared = Arc::clone(&handler);
            async move { shared.handle(peer.ip(), request).await }
        };
        tokio::spawn(serve_from(listener, stop.clone(), Arc::default(), handle));
        Ok(Self {
            address,
            shared,
            stop,
        })
    }

    /// The operator writes a row of the table `op`; returns its version.
    pub fn operator_writes(&self, key: &str, value: &[u8]) -> u64 {
        let version = self.shared.state().rows.put("op", "", key, value.to_vec());
        self.shared.tell();
        version
    }

    /// Turns everybody away from now on who has no trouble of their own.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.shared.state().trouble = trouble;
        self.shared.tell();
    }

    /// Turns one caller away, or no longer.
    pub fn set_trouble_for(&self, caller: IpAddr, trouble: Trouble) {
        let mut state = self.shared.state();
        state.trouble_for.insert(caller, trouble);
        drop(state);
        self.shared.tell();
    }

    /// Each answer takes so much longer.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state().delay = delay;
    }

    /// What goes wrong with transactions from now on.
    pub fn set_write_fault(&self, fault: WriteFault) {
        self.shared.state().write_fault = fault;
    }

    /// Drops the history up to now; feeds that wait are told so.
    pub fn drop_history(&self) {
        self.shared.state().rows.drop_history();
        self.shared.tell();
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.shared.state().counts
    }

    /// How often one caller has read what operators write, refused reads included.
    pub fn configuration_reads_of(&self, caller: IpAddr) -> u64 {
        let state = self.shared.state();
        state.reads_by.get(&caller).copied().unwrap_or(0)
    }

    /// The value of a row of a part without a name.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        self.shared.state().rows.value(table, "", key)
    }
}

/// What becomes of a call.
enum Answer {
    Now(Response<Body>),
    Lost,
    Never,
}

impl From<Answer> for Option<Response<Body>> {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Now(response) => Some(response),
            Answer::Lost | Answer::Never => None,
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

    fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
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
            *self.state().reads_by.entry(caller).or_default() += 1;
        }
        let delay = self.state().delay;
        tokio::time::sleep(delay).await;
        if let Some(turned_away) = self.turn_away(caller) {
            return match turned_away {
                Answer::Never => std::future::pending().await,
                other => other.into(),
            };
        }
        if let Some(refused) = self.above_rates(&parts.method) {
            return Some(refused);
        }
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/-/rows-tx") => self.transact(&body).into(),
            (&Method::GET, "/-/rows-get") => Some(self.get(&query)),
            (&Method::GET, "/-/rows-parts") => Some(self.parts(&query)),
            (&Method::GET, "/-/rows-feed") => self.feed(caller, &query).await,
            (method, path) => Some(self.state().object(method, path, &query, body)),
        }
    }

    fn trouble_of(&self, caller: IpAddr) -> Trouble {
        let state = self.state();
        let own = state.trouble_for.get(&caller).copied().unwrap_or_default();
        match own {
            Trouble::None => state.trouble,
            own => own,
        }
    }

    fn turn_away(&self, caller: IpAddr) -> Option<Answer> {
        let refuse = |status| Answer::Now(answer(status, "{}"));
        match self.trouble_of(caller) {
            Trouble::None => None,
            Trouble::Busy => Some(refuse(StatusCode::SERVICE_UNAVAILABLE)),
            Trouble::Many => Some(refuse(StatusCode::TOO_MANY_REQUESTS)),
            Trouble::Reset => Some(Answer::Lost),
            Trouble::Silent => Some(Answer::Never),
        }
    }

    fn above_rates(&self, method: &Method) -> Option<Response<Body>> {
        let mut state = self.state();
        let allowed = match method == Method::GET {
            true => {
                state.counts.reads += 1;
                state.reads.take()
            }
            false => {
                state.counts.writes += 1;
                state.writes.take()
            }
        };
        if allowed {
            return None;
        }
        state.counts.refused += 1;
        Some(answer(StatusCode::TOO_MANY_REQUESTS, "{}"))
    }

    fn transact(self: &Arc<Self>, body: &[u8]) -> Answer {
        let Ok(transaction) = serde_json::from_slice(body) else {
            return Answer::Now(answer(StatusCode::BAD_REQUEST, "not a transaction"));
        };
        let fault = self.state().write_fault;
        if let WriteFault::Late(pause) = fault {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                shared.state().rows.transact(&transaction);
                shared.tell();
            });
            return Answer::Lost;
        }
        let outcome = self.state().rows.transact(&transaction);
        self.tell();
        if fault == WriteFault::AnswerLost {
            return Answer::Lost;
        }
        let now = self.now();
        Answer::Now(match outcome {
            rows::Outcome::Committed(version) => json(
                StatusCode::OK,
                &serde_json::json!({"ver": version, "now": now}),
            ),
            rows::Outcome::Refused(rows) => json(
                StatusCode::PRECONDITION_FAILED,
                &serde_json::json!({"rows": rows, "now": now}),
            ),
            rows::Outcome::Forbidden => answer(StatusCode::FORBIDDEN, "not yours"),
        })
    }

    fn get(&self, query: &Query<'_>) -> Response<Body> {
        let limit = query.get("limit").parse().unwrap_or(rows::PAGE_ROWS);
        let state = self.state();
        let range = rows::Range {
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
                "ver": state.rows.version(), "now": self.now(),
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
        let asked = FeedQuery {
            table: query.get("tableName").to_owned(),
            after: number("after"),
            wait: Duration::from_millis(number("waitMs")),
        };
        let mut changes = self.changed.subscribe();
        let until = tokio::time::Instant::now() + asked.wait;
        loop {
            // A call that waits is not spared when its caller's trouble begins.
            if let Some(Answer::Lost) = self.turn_away(caller) {
                return None;
            }
            let told = self.state().rows.feed(&asked.table, asked.after);
            let late = tokio::time::Instant::now() >= until;
            match told {
                Feed::Gone => return Some(answer(StatusCode::GONE, "{}")),
                Feed::Changes(rows) if !rows.is_empty() || late => {
                    self.state().counts.note_feed(rows.len());
                    return Some(self.told(&rows));
                }
                Feed::Changes(_) => (),
            }
            // Either way the history is looked at again.
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }

    fn told(&self, rows: &[rows::WireRow]) -> Response<Body> {
        let version = self.state().rows.version();
        json(
            StatusCode::OK,
            &serde_json::json!({"rows": rows, "ver": version, "now": self.now()}),
        )
    }
}

impl State {
    fn object(
        &mut self,
        method: &Method,
        path: &str,
        query: &Query<'_>,
        body: Bytes,
    ) -> Response<Body> {
        let named = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
        if let Some(name) = named("/-/blob-put/") {
            let known = self.objects.insert(name, body).is_some();
            let status = match known {
                true => StatusCode::PRECONDITION_FAILED,
                false => StatusCode::OK,
            };
            return answer(status, "");
        }
        if let Some(name) = named("/-/blob-get/") {
            return match self.objects.get(&name) {
                Some(bytes) => answer(StatusCode::OK, bytes.clone()),
                None => answer(StatusCode::NOT_FOUND, ""),
            };
        }
        if let Some(name) = named("/-/blob-drop/") {
            self.objects.remove(&name);
            return answer(StatusCode::OK, "");
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
        answer(StatusCode::NOT_FOUND, "no such call")
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("rows always encode");
    answer(status, body)
}
