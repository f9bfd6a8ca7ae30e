//! Callers that begin requests at a rate, whatever became of those before, and record each response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testkit::backend::generated_body;
use testkit::clock;
use testkit::concurrent::join_all;
use testkit::http::{Http1Connection, Http2Connection, Reply};
use testkit::users::backend::ResponseMode;
use testkit::users::configuration::DEFAULT_HOST;
use testkit::users::mesh::{Mesh, REQUEST_ID};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::fresh::{Ending, Framing, FreshRequest, Outcome};
use crate::support::{EVIDENCE_HEADER, REASON_HEADER, VERDICT_HEADER};

/// Share of requests that are sent on connections of their own; the others use connections that stay open.
const FRESH_PERCENT: u32 = 60;
/// Connections to each node that stay open, and among them those of HTTP/2.
const KEPT_CONNECTIONS: u32 = 6;
const HTTP2_CONNECTIONS: u32 = 2;
/// Requests that are sent at once on an HTTP/2 connection.
const STREAMS: usize = 4;
/// Longest work of a request at its backend server.
const WORK_MAX_MS: u64 = 220;
/// Longest body of an upload.
const UPLOAD_MAX_BYTES: u64 = 200_000;
/// Longest time after which a caller ends a body late, or leaves.
const ENDING_MAX_MS: u64 = 200;
/// Time in which callers need the response.
const DEADLINE: Duration = Duration::from_millis(800);
const DEADLINE_MS_TEXT: &str = "800";
/// Time for which callers wait on a connection that stays open.
const KEPT_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Share of requests with a fault of their response, in percent.
const RESPONSE_FAULT_PERCENT: u32 = 4;
const RESPONSE_FAULTS: [ResponseMode; 7] = [
    ResponseMode::Closed,
    ResponseMode::Truncated,
    ResponseMode::DuplicatedLate,
    ResponseMode::EarlyFailure,
    ResponseMode::EarlyClose,
    ResponseMode::RefusedLate,
    ResponseMode::RejectedLate,
];

/// What may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Payment,
    Upload,
}

impl Kind {
    fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..10) {
            0..=5 => Self::Payment,
            6..=8 => Self::Read,
            _ => Self::Upload,
        }
    }

    fn method(self) -> Method {
        match self {
            Self::Read => Method::GET,
            Self::Payment | Self::Upload => Method::POST,
        }
    }

    fn prefix(self) -> &'static str {
        match self {
            Self::Read => "/stock/",
            Self::Payment => "/book/",
            Self::Upload => "/sheets/",
        }
    }

    fn random_body(self, rng: &mut StdRng) -> Vec<u8> {
        let bytes = match self {
            Self::Read => 0,
            Self::Payment => rng.random_range(1..1_000),
            Self::Upload => rng.random_range(1..UPLOAD_MAX_BYTES),
        };
        generated_body("body", bytes).to_vec()
    }

    /// Path of a request, some of which make calls of their own.
    fn random_path(self, id: &str, rng: &mut StdRng) -> String {
        let work_ms = rng.random_range(0..WORK_MAX_MS);
        let bytes = rng.random_range(1..5_000);
        let call = match rng.random_bool(0.2) {
            true => format!("&needs={DEFAULT_HOST}/stock/of-{id}"),
            false => String::new(),
        };
        let answer = match rng.random_range(0..100) < RESPONSE_FAULT_PERCENT {
            true => {
                let mode = RESPONSE_FAULTS[rng.random_range(0..RESPONSE_FAULTS.len())];
                format!("&answer={}", mode.query_value())
            }
            false => String::new(),
        };
        let prefix = self.prefix();
        format!("{prefix}{id}?work_ms={work_ms}&bytes={bytes}{call}{answer}")
    }
}

/// A request with what its caller got.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) entry: usize,
    pub(super) sent_us: u64,
    pub(super) ended_us: u64,
    /// `None` if there was no whole response.
    pub(super) status: Option<u16>,
    /// Verdict, evidence and reason of the response, or why there is none.
    pub(super) text: String,
}

/// Callers that run until [`Self::stop`].
pub(super) struct Callers {
    stop: CancellationToken,
    tasks: JoinSet<()>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl Callers {
    /// Starts callers at each node, which begin `rate_per_s` requests a second there.
    pub(super) fn start(mesh: &Mesh, seed: u64, rate_per_s: u32) -> Self {
        let mut callers = Self {
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            answers: Arc::default(),
        };
        for entry in 0..mesh.vms.len() {
            let address = mesh.fixed_caller_address(entry);
            for number in 0..=KEPT_CONNECTIONS {
                let caller = Caller {
                    name: format!("{seed}-{entry}-{number}"),
                    rng: StdRng::seed_from_u64(
                        seed << 16 | (entry as u64) << 8 | u64::from(number),
                    ),
                    entry,
                    address,
                    stop: callers.stop.clone(),
                    begun: 0,
                    answers: Arc::clone(&callers.answers),
                };
                match number {
                    0 => callers.tasks.spawn(caller.run_fresh(rate_per_s)),
                    1..=HTTP2_CONNECTIONS => callers.tasks.spawn(caller.run_http2(rate_per_s)),
                    _ => callers.tasks.spawn(caller.run_http1(rate_per_s)),
                };
            }
        }
        callers
    }

    /// Begins no further requests, and returns what the callers got once all have ended.
    pub(super) async fn stop(mut self) -> Vec<Answer> {
        self.stop.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("no caller panics");
        }
        std::mem::take(&mut *lock(&self.answers))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request that was begun.
struct Begun {
    id: String,
    kind: Kind,
    sent_us: u64,
}

struct Caller {
    name: String,
    rng: StdRng,
    entry: usize,
    address: SocketAddr,
    stop: CancellationToken,
    begun: usize,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl Caller {
    /// Begins requests on connections of their own.
    async fn run_fresh(mut self, rate_per_s: u32) {
        let rate_per_s = rate_per_s * FRESH_PERCENT / 100;
        let mut requests = JoinSet::new();
        while self.pause(f64::from(rate_per_s)).await {
            let begun = self.begin();
            let request = self.fresh_request(&begun);
            let (address, answers, entry) = (self.address, Arc::clone(&self.answers), self.entry);
            requests.spawn(async move {
                let outcome = request.send(address).await;
                lock(&answers).push(answer(entry, begun, &outcome));
            });
            while requests.try_join_next().is_some() {}
        }
        requests.join_all().await;
    }

    fn fresh_request(&mut self, begun: &Begun) -> FreshRequest {
        let path = begun.kind.random_path(&begun.id, &mut self.rng);
        let body = begun.kind.random_body(&mut self.rng);
        let has_body = !body.is_empty();
        let rng = &mut self.rng;
        let after = Duration::from_millis(rng.random_range(0..ENDING_MAX_MS));
        let ending = match rng.random_range(0..20) {
            0 | 1 if has_body => Ending::EndsLate(after),
            2 => Ending::ClosesSending,
            3 => Ending::Leaves(after),
            _ => Ending::Waits,
        };
        FreshRequest {
            id: begun.id.clone(),
            method: match begun.kind {
                Kind::Read => "GET",
                Kind::Payment | Kind::Upload => "POST",
            },
            path,
            body,
            framing: match has_body && rng.random_bool(0.5) {
                true => Framing::Chunked,
                false => Framing::Length,
            },
            ending,
            deadline: DEADLINE,
        }
    }

    /// Sends requests one after another on a connection that stays open.
    async fn run_http1(mut self, rate_per_s: u32) {
        let mut connection = None;
        while self.pause(kept_rate_per_s(rate_per_s)).await {
            if connection.is_none() {
                connection = Http1Connection::connect(self.address).await.ok();
            }
            let Some(open) = &mut connection else {
                continue;
            };
            let begun = self.begin();
            let path = begun.kind.random_path(&begun.id, &mut self.rng);
            let body = begun.kind.random_body(&mut self.rng);
            let headers = headers(&begun.id);
            let method = begun.kind.method();
            let sending = open.request(method, DEFAULT_HOST, &path, &headers, body);
            let reply = tokio::time::timeout(KEPT_TIMEOUT, sending).await;
            let reply = reply.ok().and_then(Result::ok);
            let closes = |reply: &Reply| reply.header("connection").eq_ignore_ascii_case("close");
            let stays_open = reply.as_ref().is_some_and(|reply| !closes(reply));
            lock(&self.answers).push(kept_answer(self.entry, begun, reply.as_ref()));
            connection = connection.filter(|_| stays_open);
        }
    }

    /// Sends several requests at a time on an HTTP/2 connection that stays open.
    async fn run_http2(mut self, rate_per_s: u32) {
        let mut connection = None;
        while self
            .pause(kept_rate_per_s(rate_per_s) / STREAMS as f64)
            .await
        {
            if connection.is_none() {
                connection = Http2Connection::connect(self.address).await.ok();
            }
            let Some(open) = &connection else {
                continue;
            };
            let streams = (0..STREAMS).map(|_| {
                let begun = self.begin();
                let path = begun.kind.random_path(&begun.id, &mut self.rng);
                let body = Bytes::from(begun.kind.random_body(&mut self.rng));
                let headers = headers(&begun.id);
                let method = begun.kind.method();
                let sending = open.request_with_body(method, DEFAULT_HOST, &path, &headers, body);
                async move {
                    let reply = tokio::time::timeout(KEPT_TIMEOUT, sending).await;
                    (begun, reply.ok().and_then(Result::ok))
                }
            });
            let replies = join_all(streams.collect()).await;
            let stays_open = replies.iter().all(|(_, reply)| reply.is_some());
            for (begun, reply) in replies {
                lock(&self.answers).push(kept_answer(self.entry, begun, reply.as_ref()));
            }
            connection = connection.filter(|_| stays_open);
        }
    }

    /// Waits for the next request at a mean rate. Returns `false` if there is to be none.
    async fn pause(&mut self, per_s: f64) -> bool {
        let mean_s = 1.0 / per_s.max(0.001);
        let pause = Duration::from_secs_f64(self.rng.random_range(0.0..2.0 * mean_s));
        let pause = tokio::time::sleep(pause);
        self.stop.run_until_cancelled(pause).await.is_some()
    }

    fn begin(&mut self) -> Begun {
        self.begun += 1;
        Begun {
            id: format!("{}-{}", self.name, self.begun),
            kind: Kind::random(&mut self.rng),
            sent_us: clock::monotonic_us(),
        }
    }
}

fn kept_rate_per_s(rate_per_s: u32) -> f64 {
    f64::from(rate_per_s * (100 - FRESH_PERCENT) / 100) / f64::from(KEPT_CONNECTIONS)
}

fn headers(id: &str) -> [(&str, &str); 2] {
    [(REQUEST_ID, id), ("x-dfw-deadline-ms", DEADLINE_MS_TEXT)]
}

fn answer(entry: usize, begun: Begun, outcome: &Outcome) -> Answer {
    let (status, text) = match outcome {
        Outcome::Response(response) => {
            let names = [VERDICT_HEADER, EVIDENCE_HEADER, REASON_HEADER];
            let texts = names.map(|name| response.header(name));
            (Some(response.status), texts.join(" "))
        }
        Outcome::NotConnected => (None, "not connected".to_owned()),
        Outcome::Ended(error) => (None, error.clone()),
        Outcome::DeadlinePassed => (None, "deadline".to_owned()),
        Outcome::Left => (None, "left".to_owned()),
    };
    begun.answered(entry, status, text)
}

fn kept_answer(entry: usize, begun: Begun, reply: Option<&Reply>) -> Answer {
    let names = [VERDICT_HEADER, EVIDENCE_HEADER, REASON_HEADER];
    let text = reply.map(|reply| names.map(|name| reply.header(name)).join(" "));
    let status = reply.map(|reply| reply.status.as_u16());
    begun.answered(
        entry,
        status,
        text.unwrap_or_else(|| "no response".to_owned()),
    )
}

impl Begun {
    fn answered(self, entry: usize, status: Option<u16>, text: String) -> Answer {
        Answer {
            id: self.id,
            kind: self.kind,
            entry,
            sent_us: self.sent_us,
            ended_us: clock::monotonic_us(),
            status,
            text,
        }
    }
}
