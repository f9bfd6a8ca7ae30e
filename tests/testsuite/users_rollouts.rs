//! Roll-outs on the stand-in of the users' platform: orders in its store, endpoints of two software
//! versions, and callers at every node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::Method;
use serde_json::Value;
use testkit::http::{request, wait_until};
use testkit::users::backend::Behaviour;
use testkit::users::mesh::{Mesh, NewEndpoint, Plan, REQUEST_ID};
use testkit::users::store::{CallFault, WriteFault};
use tokio::task::JoinSet;

use crate::support::{SERVICES, WAIT_TIMEOUT, run_program, start_serving_users_mesh};

/// Table of the states of roll-outs, and that of the statuses for operators.
const STATES: &str = "dragonflywall-rollouts";
const STATUSES: &str = "status";
/// Time from an order to its deadline: ample for busy machines, since no test waits for it to end.
const DURATION: &str = "30s";
/// Callers at each node.
const CALLERS: usize = 3;
/// Work of each request.
const WORK: Duration = Duration::from_millis(15);

fn behaviour() -> Behaviour {
    Behaviour {
        slots: 16,
        default_work_time: WORK,
        ..Behaviour::default()
    }
}

async fn start_mesh() -> Mesh {
    let plan = Plan {
        spare_vms: 2,
        behaviour: behaviour(),
        ..Plan::new(&SERVICES)
    };
    start_serving_users_mesh(plan).await
}

fn order(mesh: &Mesh, to: &str) {
    let service = SERVICES[0];
    let text = format!(r#"{{"service":"{service}","to":"{to}","duration":"{DURATION}"}}"#);
    let key = format!("rollout/{service}");
    mesh.store.write_operator_row(&key, text.as_bytes());
}

async fn add_version(mesh: &mut Mesh, version: &'static str, behaviour: Behaviour) -> Vec<usize> {
    let new = NewEndpoint {
        service: SERVICES[0],
        software_version: version,
        behaviour,
    };
    let added = mesh.add_endpoints(new).await;
    added.expect("the endpoints start")
}

fn json_row(mesh: &Mesh, table: &str, key: &str) -> Value {
    let row = mesh.store.value(table, key).unwrap_or_default();
    serde_json::from_slice(&row).unwrap_or_default()
}

/// The status that operators read.
fn status(mesh: &Mesh) -> Value {
    json_row(mesh, STATUSES, &format!("rollout/{}", SERVICES[0]))
}

async fn wait_status(mesh: &Mesh, state: &str, to: &str) {
    let description = format!("status `{state}` of the roll-out to {to}");
    wait_until(&description, WAIT_TIMEOUT, || async {
        let status = status(mesh);
        status["state"] == state && status["to"] == to
    })
    .await;
}

async fn wait_phase(mesh: &Mesh, phase: &str) {
    wait_until(&format!("phase {phase}"), WAIT_TIMEOUT, || async {
        json_row(mesh, STATES, SERVICES[0])["phase"] == phase
    })
    .await;
}

/// Callers that read continuously at every node, and what they got other than 200.
struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<String>>,
}

impl Load {
    fn start(mesh: &Mesh) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for (vm, number) in (0..mesh.vms.len()).flat_map(|vm| (0..CALLERS).map(move |n| (vm, n))) {
            let Some(node) = &mesh.vms[vm].node else {
                continue;
            };
            let (address, stop) = (node.addresses.caller, Arc::clone(&stop));
            callers.spawn(async move {
                let mut failures = Vec::new();
                let mut count = 0;
                while !stop.load(Ordering::Acquire) {
                    count += 1;
                    let id = format!("read-{vm}-{number}-{count}");
                    let headers = [(REQUEST_ID, id.as_str()), ("x-dfw-deadline-ms", "5000")];
                    let host = "mesh.example";
                    let reply = request(address, Method::GET, host, "/stock/1", &headers, "").await;
                    match reply {
                        Ok(reply) if reply.status == 200 => (),
                        other => failures.push(format!("{id}: {other:?}")),
                    }
                }
                failures
            });
        }
        Self { stop, callers }
    }

    async fn failures(self) -> Vec<String> {
        self.stop.store(true, Ordering::Release);
        self.callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

/// Requests that the backend servers at these positions have run.
fn runs(mesh: &Mesh, positions: &[usize]) -> usize {
    let records = positions.iter().map(|position| {
        let backend = mesh.vms[*position].backend.as_ref();
        backend.map_or(0, |backend| backend.record().runs.len())
    });
    records.sum()
}

/// Guards against requests that are lost when the old endpoints end with the status `completed`, as the
/// platform ends them: at once, without draining.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed_and_no_request_is_lost() {
    let mut mesh = start_mesh().await;
    let old = mesh.vms_of(SERVICES[0]);
    order(&mesh, "v2");
    let new = add_version(&mut mesh, "v2", behaviour()).await;
    mesh.wait_serving().await;
    let load = Load::start(&mesh);
    wait_status(&mesh, "running", "v2").await;
    wait_status(&mesh, "completed", "v2").await;
    let running: u32 = old.iter().map(|p| mesh.vms[*p].backend().running()).sum();
    assert_eq!(running, 0);
    let old_runs = runs(&mesh, &old);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs(&mesh, &old), old_runs);
    assert!(runs(&mesh, &new) > 0);
    let failures = load.failures().await;
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against a bad version that reaches more callers than the limit allows, or stays in use.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_is_rolled_back_within_its_exposure() {
    let mut mesh = start_mesh().await;
    let old = mesh.vms_of(SERVICES[0]);
    order(&mesh, "v2");
    let failing = Behaviour {
        fails_one_in: Some(2),
        ..behaviour()
    };
    let new = add_version(&mut mesh, "v2", failing).await;
    mesh.wait_serving().await;
    let (old_before, new_before) = (runs(&mesh, &old), runs(&mesh, &new));
    let load = Load::start(&mesh);
    wait_status(&mesh, "rolled_back", "v2").await;
    let state = json_row(&mesh, STATES, SERVICES[0]);
    let reason = state["reason"].as_str().expect("the state has a reason");
    assert!(reason.contains("failed"), "{reason}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (old_runs, new_runs) = (
        runs(&mesh, &old) - old_before,
        runs(&mesh, &new) - new_before,
    );
    let share = new_runs as f64 / (old_runs + new_runs) as f64;
    assert!(share <= 0.1, "{new_runs} of {}", old_runs + new_runs);
    let still = runs(&mesh, &new);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs(&mesh, &new), still);
    load.failures().await;
    assert_eq!(status(&mesh)["state"], "rolled_back");
}

/// Guards against an order that stays in force after it was withdrawn or replaced by one that cannot be
/// read, and against the same version being barred for ever.
#[tokio::test(flavor = "multi_thread")]
async fn orders_that_end_early_are_rolled_back_and_may_be_repeated() {
    let mut mesh = start_mesh().await;
    let key = format!("rollout/{}", SERVICES[0]);
    order(&mesh, "v2");
    let new = add_version(&mut mesh, "v2", behaviour()).await;
    mesh.wait_serving().await;
    wait_status(&mesh, "running", "v2").await;
    mesh.store.delete_operator_row(&key);
    wait_status(&mesh, "rolled_back", "v2").await;

    order(&mesh, "v2");
    wait_status(&mesh, "running", "v2").await;
    mesh.store.write_operator_row(&key, b"{\"service\":3}");
    wait_status(&mesh, "rolled_back", "v2").await;

    // An order for a version without endpoints is taken up; another one replaces it.
    order(&mesh, "v3");
    wait_status(&mesh, "running", "v3").await;
    order(&mesh, "v2");
    wait_status(&mesh, "running", "v2").await;
    let load = Load::start(&mesh);
    wait_status(&mesh, "completed", "v2").await;
    let failures = load.failures().await;
    assert!(failures.is_empty(), "{failures:?}");
    assert!(runs(&mesh, &new) > 0);
}

/// Guards against an order that is stuck because the coordinator died, or because it does not know whether
/// its write took effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_survives_lost_answers_and_the_death_of_its_coordinator() {
    let mut mesh = start_mesh().await;
    mesh.store.set_write_fault(WriteFault::AnswerLost);
    order(&mesh, "v2");
    add_version(&mut mesh, "v2", behaviour()).await;
    wait_status(&mesh, "running", "v2").await;
    mesh.store.set_write_fault(WriteFault::None);
    let state = json_row(&mesh, STATES, SERVICES[0]);
    let coordinator = state["decided_by"].as_str().expect("the state names it");
    let position = mesh
        .vms
        .iter()
        .position(|vm| vm.peer_address().to_string() == coordinator);
    let position = position.expect("the coordinator is a node of the mesh");
    mesh.kill_node(position).await.expect("the node exits");
    let load = Load::start(&mesh);
    wait_status(&mesh, "completed", "v2").await;
    load.failures().await;
    assert_eq!(json_row(&mesh, STATES, SERVICES[0])["phase"], "completed");
}

/// Guards against a node that restarts in the middle of a roll-out, cannot read the store, and sends the
/// candidate as many requests as the other versions.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_restarts_without_the_store_knows_the_roll_out() {
    let mut mesh = start_mesh().await;
    order(&mesh, "v2");
    let new = add_version(&mut mesh, "v2", behaviour()).await;
    mesh.wait_serving().await;
    wait_phase(&mesh, "trial").await;
    let entry = mesh.vms_of(SERVICES[1])[0];
    mesh.kill_node(entry).await.expect("the node exits");
    mesh.store
        .set_call_fault_for(mesh.vms[entry].ip, CallFault::Unavailable);
    mesh.start_node(entry).await.expect("the node starts");
    mesh.wait_enforced(1).await;
    let before = runs(&mesh, &new);
    let caller = mesh.vms[entry].node().addresses.caller;
    for number in 0..20 {
        let id = format!("after-{number}");
        let headers = [(REQUEST_ID, id.as_str()), ("x-dfw-deadline-ms", "5000")];
        let reply = request(
            caller,
            Method::GET,
            "mesh.example",
            "/stock/1",
            &headers,
            "",
        )
        .await;
        assert_eq!(reply.expect("the node responds").status, 200);
    }
    assert!(runs(&mesh, &new) - before <= 2);
}

/// The operator's view: phase, share, reason and what each version has answered.
#[tokio::test(flavor = "multi_thread")]
async fn the_rollout_command_shows_order_phase_and_versions() {
    let mut mesh = start_mesh().await;
    order(&mesh, "v2");
    add_version(&mut mesh, "v2", behaviour()).await;
    mesh.wait_serving().await;
    wait_phase(&mesh, "trial").await;
    let lead = mesh.wait_lead("gijon").await;
    let operator = mesh.vms[lead].node().addresses.operator.to_string();
    let arguments = ["rollout", "status", "--node", &operator, SERVICES[0]];
    let mut text = String::new();
    for _ in 0..100 {
        let output = run_program(&arguments).await;
        assert!(output.status.success(), "{output:?}");
        text = String::from_utf8_lossy(&output.stdout).into_owned();
        if text.contains("version v2, candidate: 3 endpoints") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(text.contains("ordered to v2 within 30000 ms"), "{text}");
    assert!(text.contains("trial at 0 %"), "{text}");
    assert!(
        text.contains("version v2, candidate: 3 endpoints"),
        "{text}"
    );
    let other = ["rollout", "status", "--node", &operator, "nothing"];
    let output = run_program(&other).await;
    assert_eq!(
        String::from_utf8_lossy(&output.stdout).trim(),
        "no roll-out was ordered"
    );
    assert_eq!(
        run_program(&["rollout", "stop"]).await.status.code(),
        Some(2)
    );
}
