//! Stateful fuzzing of connection reuse: random steps against two backend servers, with an oracle
//! that knows which answer belongs to which request.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use testkit::backend::{Backend, Behaviour, expected_answer_digest};

use super::*;

const CONNECTIONS_MAX: u32 = 8;
const OPEN_ANSWERS_MAX: usize = 5;
const CASES: u32 = 64;
const SEED: u64 = 520;

#[derive(Clone, Debug)]
enum Step {
    /// A request whose answer is not read yet.
    Ask { answer_bytes: u64 },
    /// A request whose caller hangs up before the answer.
    GiveUp,
    /// A request whose answer breaks off.
    Broken,
    /// The caller reads an open answer to its end.
    Read(usize),
    /// The caller hangs up on an open answer.
    HangUp(usize),
    /// The VM's backend server is replaced by the other one.
    Switch,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..200_000_u64).prop_map(|answer_bytes| Step::Ask { answer_bytes }),
        2 => Just(Step::GiveUp),
        1 => Just(Step::Broken),
        4 => any::<usize>().prop_map(Step::Read),
        2 => any::<usize>().prop_map(Step::HangUp),
        1 => Just(Step::Switch),
    ]
}

/// An answer whose body has not been read.
struct OpenAnswer {
    id: String,
    answer_bytes: u64,
    response: Response<Body>,
}

impl OpenAnswer {
    async fn read(self) {
        let body = self.response.into_body().collect().await;
        let body = body.expect("a whole answer").to_bytes();
        let digest = blake3::hash(&body).to_hex().to_string();
        let expected = expected_answer_digest(&self.id, self.answer_bytes);
        assert_eq!(digest, expected, "{} got another answer", self.id);
    }
}

/// The pool, the two backend servers, and what the oracle knows.
struct Run {
    pool: BackendPool,
    backends: [Backend; 2],
    current: usize,
    open: Vec<OpenAnswer>,
    asked: u32,
}

fn request(path: &str, id: &str) -> Request<Body> {
    Request::get(path)
        .header("host", "hemeroteca")
        .header("x-request-id", id)
        .body(body::full(""))
        .expect("a valid request")
}

impl Run {
    async fn start() -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("a constant address");
        let start = async |name| {
            let backend = Backend::start(any_port, name, Behaviour::default()).await;
            backend.expect("it starts")
        };
        let pool = BackendPool::default();
        pool.set_connections_max(CONNECTIONS_MAX);
        Self {
            pool,
            backends: [start("old").await, start("new").await],
            current: 0,
            open: Vec::new(),
            asked: 0,
        }
    }

    fn next_id(&mut self) -> String {
        self.asked += 1;
        format!("look-up-{}", self.asked)
    }

    async fn send(&self, path: &str, id: &str) -> Result<Response<Body>, Failure> {
        let address = self.backends[self.current].address;
        self.pool.send(address, request(path, id), true).await
    }

    async fn step(&mut self, step: &Step) {
        match step {
            Step::Ask { answer_bytes } => self.ask(*answer_bytes).await,
            Step::GiveUp => {
                let id = self.next_id();
                let asking = self.send("/archive?work_ms=40", &id);
                // Whatever the moment, nothing of it may reach a later request.
                let _ = tokio::time::timeout(Duration::from_millis(3), asking).await;
            }
            Step::Broken => {
                let id = self.next_id();
                let path = "/archive?answer_bytes=50000&break_after=20000";
                if let Ok(response) = self.send(path, &id).await {
                    let body = response.into_body().collect().await;
                    assert!(body.is_err(), "{id}: a broken answer looks whole");
                }
            }
            Step::Read(which) if !self.open.is_empty() => {
                let which = which % self.open.len();
                self.open.swap_remove(which).read().await;
            }
            Step::HangUp(which) if !self.open.is_empty() => {
                let which = which % self.open.len();
                drop(self.open.swap_remove(which));
            }
            Step::Read(_) | Step::HangUp(_) => (),
            Step::Switch => self.current = 1 - self.current,
        }
    }

    async fn ask(&mut self, answer_bytes: u64) {
        if self.open.len() >= OPEN_ANSWERS_MAX {
            return;
        }
        let id = self.next_id();
        let path = format!("/archive?answer_bytes={answer_bytes}");
        let response = match self.send(&path, &id).await {
            Ok(response) => response,
            // Connections of requests that were given up are still being closed: then, and only
            // then, it may be refused, and must not have run.
            Err(failure) => {
                assert_eq!(failure.reason, Reason::Full, "{id}");
                let runs = |backend: &Backend| backend.record().runs.contains_key(&id);
                assert!(!self.backends.iter().any(runs), "{id} ran");
                return;
            }
        };
        assert_eq!(response.headers()["x-ran-id"], *id);
        let expected = ["old", "new"][self.current];
        assert_eq!(response.headers()["x-ran-by"], expected, "{id}");
        self.open.push(OpenAnswer {
            id,
            answer_bytes,
            response,
        });
    }

    async fn finish(self) {
        for answer in self.open {
            answer.read().await;
        }
        for backend in &self.backends {
            let record = backend.record();
            let doubled: Vec<_> = record.runs.iter().filter(|(_, runs)| **runs > 1).collect();
            assert!(doubled.is_empty(), "{doubled:?}");
        }
    }
}

/// Callers read archive answers whole, in part or not at all, hang up while the backend server
/// works, and meet answers that break off, while the backend server is replaced now and then. Each
/// answer that is read whole is that of its own request, from the backend server that is in place.
#[test]
fn reused_connections_never_mix_answers() {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let steps = proptest::collection::vec(step(), 1..40);
    let result = runner.run(&steps, |steps| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let mut run = Run::start().await;
            for step in &steps {
                run.step(step).await;
            }
            run.finish().await;
        });
        Ok(())
    });
    result.expect("no sequence of steps mixes answers");
}

/// Guards against a payment that is refused because an idle connection takes the last place.
#[tokio::test]
async fn an_idle_connection_makes_room_for_a_request_that_may_not_use_it() {
    let run = Run::start().await;
    run.pool.set_connections_max(1);
    let address = run.backends[0].address;
    let send = async |id, idempotent| {
        let request = request("/archive?answer_bytes=10", id);
        let sent = run.pool.send(address, request, idempotent).await;
        let body = sent.expect("there is room").into_body();
        body.collect().await.expect("a whole answer");
    };
    send("look-up", true).await;
    tokio::time::sleep(REST_MAX).await;
    send("payment", false).await;
}
