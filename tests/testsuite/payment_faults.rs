//! Payments under faults, checked against the backend servers' own records.
//!
//! Whatever fails, each payment must run at most once, a payment reported as `not-run` must be in
//! no backend server's record, and every response must belong to its request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use http::Method;
use testkit::backend::{Behaviour, expected_answer_digest};
use testkit::http::{request, wait_until};
use testkit::mesh::Mesh;
use testkit::process::Signal;
use tokio::task::JoinSet;

use crate::support::{
    CHATARRAS_TEAM_FILES, VERDICT_HEADER, WAIT_TIMEOUT, publish, send_request, small_deployment,
    start_chatarras, vms_of, wait_until_running,
};

const ANSWER_BYTES: u64 = 20_000;

/// What a caller knows about its payment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Paid,
    NotRun,
    MayHaveRun,
    /// The caller disconnected, or its entry node was gone.
    Unknown,
}

type Outcomes = BTreeMap<String, Outcome>;

async fn pay(entry: SocketAddr, id: &str, work_ms: u64) -> Outcome {
    let path = format!("/payments?work_ms={work_ms}&answer_bytes={ANSWER_BYTES}");
    let Ok(reply) = send_request(entry, Method::POST, "cobros", &path, id).await else {
        return Outcome::Unknown;
    };
    if reply.status == 200 {
        let digest = blake3::hash(&reply.body).to_hex().to_string();
        let expected = expected_answer_digest(id, ANSWER_BYTES);
        assert_eq!(digest, expected, "{id} got the response to another request");
        return Outcome::Paid;
    }
    match reply.header(VERDICT_HEADER) {
        "not-run" => Outcome::NotRun,
        "may-have-run" => Outcome::MayHaveRun,
        _ => panic!("{id}: no verdict in {reply:?}"),
    }
}

/// Callers that pay continuously through every node that is not one of `cobros`. One payment in
/// five is cancelled after a few milliseconds.
struct Callers {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU64>,
    tasks: JoinSet<Outcomes>,
}

const CALLERS_PER_ENTRY: u64 = 3;

impl Callers {
    fn start(mesh: &Mesh) -> Self {
        let mut callers = Self {
            stop: Arc::default(),
            done: Arc::default(),
            tasks: JoinSet::new(),
        };
        let entries = mesh.vms.iter().filter(|vm| vm.service != "cobros");
        for vm in entries {
            for number in 0..CALLERS_PER_ENTRY {
                let entry = vm.node().addresses.caller;
                let name = format!("{entry}-{number}");
                let (stop, done) = (Arc::clone(&callers.stop), Arc::clone(&callers.done));
                callers.tasks.spawn(async move {
                    let mut outcomes = Outcomes::new();
                    let mut count = 0_u64;
                    while !stop.load(Ordering::Acquire) {
                        count += 1;
                        let id = format!("{name}-{count}");
                        let timeout = match count % 5 {
                            0 => Duration::from_millis(count % 13),
                            _ => Duration::from_secs(60),
                        };
                        let payment = tokio::time::timeout(timeout, pay(entry, &id, count % 11));
                        let outcome = payment.await.unwrap_or(Outcome::Unknown);
                        if outcome == Outcome::Unknown {
                            // A stopped node refuses connections at once; the pause limits the
                            // request rate.
                            tokio::time::sleep(Duration::from_millis(2)).await;
                        }
                        outcomes.insert(id, outcome);
                        done.fetch_add(1, Ordering::AcqRel);
                    }
                    outcomes
                });
            }
        }
        callers
    }

    /// Waits until this many further payments have ended.
    async fn wait_for_payments(&self, payments: u64) {
        let goal = self.done.load(Ordering::Acquire) + payments;
        wait_until("further payments end", WAIT_TIMEOUT, || async {
            self.done.load(Ordering::Acquire) >= goal
        })
        .await;
    }

    async fn stop_and_collect(self) -> Outcomes {
        self.stop.store(true, Ordering::Release);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

/// Compares what callers were told with what the backend servers ran.
fn check_outcomes(mesh: &Mesh, outcomes: &Outcomes) {
    let mut runs_by_id: BTreeMap<String, u32> = BTreeMap::new();
    for position in vms_of(mesh, "cobros") {
        for (id, times) in mesh.vms[position].backend.record().runs {
            *runs_by_id.entry(id).or_default() += times;
        }
    }
    let mut outcome_counts = BTreeMap::new();
    for (id, outcome) in outcomes {
        *outcome_counts.entry(outcome).or_insert(0) += 1;
        let runs = runs_by_id.get(id).copied().unwrap_or(0);
        match outcome {
            Outcome::Paid => assert_eq!(runs, 1, "{id} was paid and ran {runs} times"),
            Outcome::NotRun => {
                assert_eq!(runs, 0, "{id} was reported as not run and ran {runs} times")
            }
            Outcome::MayHaveRun | Outcome::Unknown => assert!(runs <= 1, "{id} ran {runs} times"),
        }
    }
    println!("payment outcomes: {outcome_counts:?}");
    assert!(
        outcome_counts.get(&Outcome::Paid) > Some(&100),
        "{outcome_counts:?}"
    );
}

/// Two data centres of one region with two endpoints each.
async fn start() -> Mesh {
    let mut deployment = small_deployment(&["tablon", "cobros"], 2);
    deployment.data_centres.truncate(2);
    start_chatarras(deployment).await
}

fn victim(mesh: &Mesh, service: &str) -> usize {
    vms_of(mesh, service)[0]
}

/// The entry node, a gate's node and a backend server are killed one after the other while payments
/// run. Callers of a killed node get no response; all others must get a correct one, and payments
/// must continue on the remaining endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn payments_survive_kills() {
    let mut mesh = start().await;
    let callers = Callers::start(&mesh);
    callers.wait_for_payments(200).await;
    for service in ["tablon", "cobros"] {
        let position = victim(&mesh, service);
        mesh.vms[position].node().signal(Signal::Kill);
        callers.wait_for_payments(300).await;
        mesh.vms[position].node.take();
        mesh.start_node(position)
            .await
            .expect("the node starts again");
        callers.wait_for_payments(100).await;
    }
    mesh.vms[vms_of(&mesh, "cobros")[1]].backend.kill().await;
    callers.wait_for_payments(300).await;
    check_outcomes(&mesh, &callers.stop_and_collect().await);
}

/// The same processes are frozen until their peers consider them failed, and resume with old
/// requests. These must not run in addition to their retries elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn payments_survive_freezes() {
    let mesh = start().await;
    let callers = Callers::start(&mesh);
    callers.wait_for_payments(200).await;
    for service in ["tablon", "cobros"] {
        let node = mesh.vms[victim(&mesh, service)].node();
        node.signal(Signal::Stop);
        // Longer than it takes to detect an unresponsive connection.
        tokio::time::sleep(Duration::from_secs(5)).await;
        node.signal(Signal::Continue);
        callers.wait_for_payments(200).await;
    }
    let backend = &mesh.vms[victim(&mesh, "cobros")].backend;
    let frozen = Behaviour {
        frozen: true,
        ..Behaviour::default()
    };
    backend.set_behaviour(frozen);
    tokio::time::sleep(Duration::from_secs(2)).await;
    backend.set_behaviour(Behaviour::default());
    callers.wait_for_payments(200).await;
    check_outcomes(&mesh, &callers.stop_and_collect().await);
}

/// The link between the data centres is cut while payments use it, and restored: once before the
/// unresponsive connection is detected, once after. Requests in transit arrive late, after their
/// callers have got `may-have-run`.
#[tokio::test(flavor = "multi_thread")]
async fn payments_survive_cut_links() {
    let mesh = start().await;
    // Slows each payment down, so that some are in progress when the link is cut.
    for position in vms_of(&mesh, "cobros") {
        let behaviour = Behaviour {
            default_work_time: Duration::from_millis(5),
            ..Behaviour::default()
        };
        mesh.vms[position].backend.set_behaviour(behaviour);
    }
    // Drains the endpoints of the first data centre, so that its callers' payments use the link.
    let drained_positions = vms_of(&mesh, "cobros")
        .into_iter()
        .filter(|n| mesh.vms[*n].site == 0);
    for position in drained_positions {
        let operator = mesh.vms[position].node().addresses.operator;
        let drained = request(operator, Method::POST, "node", "/drain", &[], "").await;
        drained.expect("the node responds");
    }
    let callers = Callers::start(&mesh);
    callers.wait_for_payments(300).await;
    for cut_s in [1, 5] {
        mesh.network.set_cut(true, |from, to| from != to);
        tokio::time::sleep(Duration::from_secs(cut_s)).await;
        mesh.network.set_cut(false, |_, _| true);
        callers.wait_for_payments(300).await;
    }
    check_outcomes(&mesh, &callers.stop_and_collect().await);
}

/// A publication removes the payments' route while payments are running. Payments that were
/// admitted must complete under their version; later ones must be refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn removing_a_route_cuts_no_payment() {
    let mesh = start().await;
    let callers = Callers::start(&mesh);
    let entry = mesh.vms[victim(&mesh, "tablon")].node().addresses.caller;
    let long = tokio::spawn(async move { pay(entry, "long-1", 2_000).await });
    wait_until_running(&mesh, "cobros", "long-1").await;
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let path = directory.path().join("suscripciones.toml");
    let text = std::fs::read_to_string(crate::support::repository_file(CHATARRAS_TEAM_FILES[1]));
    let text = text.expect("the example exists");
    let changed = text.replace("methods = [\"POST\"]", "methods = [\"PATCH\"]");
    assert_ne!(text, changed);
    std::fs::write(&path, changed).expect("the file is written");
    callers.wait_for_payments(200).await;
    let published = publish(&mesh, &[path.to_str().expect("the path is UTF-8")]).await;
    assert!(published.status.success(), "{published:?}");
    mesh.wait_enforced(2).await;
    callers.wait_for_payments(100).await;
    assert_eq!(long.await.expect("the task does not panic"), Outcome::Paid);
    assert_eq!(pay(entry, "after-1", 0).await, Outcome::NotRun);
    check_outcomes(&mesh, &callers.stop_and_collect().await);
}
