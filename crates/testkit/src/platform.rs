//! Stand-in for the platform: a transactional table and an object store over HTTP and JSON.
//!
//! All data is kept in memory. Requests above the rate limits get status 429. Tests inject faults
//! such as an outage, a delay, or a response lost after a committed write through
//! [`Platform::set_faults`] or `POST /faults`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::http::{Body, Query, build_response, serve};
use crate::rate_limit::RateLimiter;

/// Limit on writes; the platform allows several hundred a second.
const MAX_WRITES_PER_S: f64 = 400.0;
/// Limit on reads; the platform allows about two thousand a second.
const MAX_READS_PER_S: f64 = 2_000.0;

/// Faults injected into the platform.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Responds with 503 to every request except `/faults`.
    pub down: bool,
    /// Delay before each request except `/faults` is processed, in milliseconds.
    pub delay_ms: u64,
    /// For this many transactions, the connection is closed after the transaction is processed and
    /// before the response is sent.
    pub lose_answers: u32,
    /// For this many transactions, the connection is closed before the transaction is processed.
    pub lose_requests: u32,
    /// Responds with 503 to transactions; other requests succeed.
    pub refuse_transactions: bool,
    /// Sets `down` once a response or request is lost through `lose_answers` or `lose_requests`.
    pub down_after_loss: bool,
}

/// Totals of requests and response bytes since the start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Reads of rows and objects, rate-limited ones included.
    pub reads: u64,
    /// Transactions and uploads of objects, rate-limited ones included.
    pub writes: u64,
    /// Requests rejected with 429 because of a rate limit.
    pub refused: u64,
    /// Bytes of response bodies.
    pub bytes_out: u64,
}

/// Highest numbers of requests in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakRates {
    /// Reads of rows and objects.
    pub reads_per_s: u64,
    /// Transactions and uploads of objects.
    pub writes_per_s: u64,
}

/// Requests of the current second, and the peaks of all seconds. Seconds are whole seconds since the
/// start.
#[derive(Debug, Default)]
struct RequestRates {
    second: u64,
    reads: u64,
    writes: u64,
    peaks: PeakRates,
}

impl RequestRates {
    fn count(&mut self, second: u64, is_read: bool) {
        if second != self.second {
            self.second = second;
            self.reads = 0;
            self.writes = 0;
        }
        if is_read {
            self.reads += 1;
        } else {
            self.writes += 1;
        }
        self.peaks.reads_per_s = self.peaks.reads_per_s.max(self.reads);
        self.peaks.writes_per_s = self.peaks.writes_per_s.max(self.writes);
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Row {
    revision: u64,
    value: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
enum Condition {
    Absent { key: String },
    Revision { key: String, revision: u64 },
}

#[derive(Debug, Deserialize)]
struct Transaction {
    conditions: Vec<Condition>,
    puts: BTreeMap<String, String>,
}

#[derive(Debug)]
struct Store {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    faults: Faults,
    counts: RequestCounts,
    started_at: Instant,
    request_rates: RequestRates,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
}

/// A running platform. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Platform {
    /// Address of its listener.
    pub address: SocketAddr,
    store: Arc<Mutex<Store>>,
    stop: CancellationToken,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Platform {
    /// Starts a platform that listens on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let store = Arc::new(Mutex::new(Store {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            faults: Faults::default(),
            counts: RequestCounts::default(),
            started_at: Instant::now(),
            request_rates: RequestRates::default(),
            read_limiter: RateLimiter::new(MAX_READS_PER_S),
            write_limiter: RateLimiter::new(MAX_WRITES_PER_S),
        }));
        let stop = CancellationToken::new();
        let shared = Arc::clone(&store);
        tokio::spawn(serve(listener, stop.clone(), move |request| {
            handle(Arc::clone(&shared), request)
        }));
        Ok(Self {
            address,
            store,
            stop,
        })
    }

    /// Returns the base URL, which nodes and commands get as their `--platform` flag.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.store).faults = faults;
    }

    /// Returns a snapshot of the totals.
    pub fn counts(&self) -> RequestCounts {
        lock(&self.store).counts
    }

    /// Returns the peaks since the last call and resets them.
    pub fn take_peak_rates(&self) -> PeakRates {
        std::mem::take(&mut lock(&self.store).request_rates.peaks)
    }

    /// Returns the keys and values of all rows, for tests that check what was written.
    pub fn rows(&self) -> BTreeMap<String, String> {
        let store = lock(&self.store);
        let row = |(key, row): (&String, &Row)| (key.clone(), row.value.clone());
        store.rows.iter().map(row).collect()
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(store: Arc<Mutex<Store>>, request: Request<Incoming>) -> Option<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let path = parts.uri.path().to_owned();
    if path == "/faults" {
        let faults = serde_json::from_slice(&body).ok()?;
        lock(&store).faults = faults;
        return Some(build_response(StatusCode::OK, "set\n"));
    }
    let faults = lock(&store).faults;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(build_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"));
    }
    let query = Query(parts.uri.query().unwrap_or(""));
    let mut store = lock(&store);
    let response = store.dispatch(&parts.method, &path, query, body)?;
    let bytes = http_body::Body::size_hint(response.body()).lower();
    store.counts.bytes_out += bytes;
    Some(response)
}

impl Store {
    fn dispatch(
        &mut self,
        method: &Method,
        path: &str,
        query: Query<'_>,
        body: Bytes,
    ) -> Option<Response<Body>> {
        let is_read = method == Method::GET;
        self.request_rates
            .count(self.started_at.elapsed().as_secs(), is_read);
        let allowed = if is_read {
            self.counts.reads += 1;
            self.read_limiter.try_acquire()
        } else {
            self.counts.writes += 1;
            self.write_limiter.try_acquire()
        };
        if !allowed {
            self.counts.refused += 1;
            return Some(build_response(
                StatusCode::TOO_MANY_REQUESTS,
                "rate ceiling\n",
            ));
        }
        match (is_read, path) {
            (false, "/table/transact") => self.transact(&body),
            (true, "/table/row") => Some(self.get_row(query.get("key"))),
            (true, "/table/rows") => Some(self.list_rows(&query)),
            _ => Some(self.get_or_put_object(is_read, path, body)),
        }
    }

    fn transact(&mut self, body: &[u8]) -> Option<Response<Body>> {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return Some(build_response(
                StatusCode::BAD_REQUEST,
                "not a transaction\n",
            ));
        };
        if self.faults.refuse_transactions {
            return Some(build_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no writes\n",
            ));
        }
        if self.faults.lose_requests > 0 {
            self.faults.lose_requests -= 1;
            self.faults.down = self.faults.down_after_loss;
            return None;
        }
        let conditions_hold = transaction
            .conditions
            .iter()
            .all(|condition| self.condition_holds(condition));
        if conditions_hold {
            for (key, value) in transaction.puts {
                let revision = self.rows.get(&key).map_or(1, |row| row.revision + 1);
                self.rows.insert(key, Row { revision, value });
            }
        }
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            self.faults.down = self.faults.down_after_loss;
            return None;
        }
        let outcome = if conditions_hold {
            "\"committed\""
        } else {
            "\"condition-failed\""
        };
        Some(build_response(StatusCode::OK, outcome))
    }

    fn condition_holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Revision { key, revision } => {
                let row = self.rows.get(key);
                row.is_some_and(|row| row.revision == *revision)
            }
        }
    }

    fn get_row(&self, key: &str) -> Response<Body> {
        match self.rows.get(key) {
            Some(row) => json(row),
            None => build_response(StatusCode::NOT_FOUND, "no such row\n"),
        }
    }

    fn list_rows(&self, query: &Query<'_>) -> Response<Body> {
        let prefix = query.get("prefix");
        let after = query.get("after");
        let limit = query.get("limit").parse().unwrap_or(100);
        let rows: BTreeMap<_, _> = self
            .rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .collect();
        json(&rows)
    }

    fn get_or_put_object(&mut self, is_read: bool, path: &str, body: Bytes) -> Response<Body> {
        let Some(name) = path.strip_prefix("/objects/") else {
            return build_response(StatusCode::NOT_FOUND, "no such request\n");
        };
        if !is_read {
            self.objects.insert(name.to_owned(), body);
            return build_response(StatusCode::CREATED, "");
        }
        match self.objects.get(name) {
            Some(bytes) => build_response(StatusCode::OK, bytes.clone()),
            None => build_response(StatusCode::NOT_FOUND, "no such object\n"),
        }
    }
}

fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("rows can be encoded as JSON");
    build_response(StatusCode::OK, body)
}
