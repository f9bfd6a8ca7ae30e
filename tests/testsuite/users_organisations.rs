//! Organisations on the users' platform: keys, what backend servers receive, keys that are taken away, and quotas.

use std::time::{Duration, Instant};

use http::StatusCode;
use testkit::http::{Reply, wait_until};
use testkit::process::Signal;
use testkit::users::backend::Run;
use testkit::users::configuration::{Organisation, Route, RouteKind, json_text_with_organisations};
use testkit::users::mesh::{CallerRequest, Mesh, Plan};
use testkit::users::store::CallFault;

use crate::support::{
    REASON_HEADER, SERVICES, WAIT_TIMEOUT, run_program, start_users_mesh, users_routes,
};

/// How long a key that was taken away may still be accepted, in the tests that limit it.
const KEY_LIMIT: Duration = Duration::from_millis(3_000);
const KEY_LIMIT_BOUNDS: &[&str] = &["configApply=2500ms", "strictRevoke=true", "revoke=3000ms"];

const NORTH: Organisation<'static> = Organisation {
    name: "north",
    keys: &["key-of-north"],
    rate_per_s: 0,
    burst: 0,
};
const SOUTH: Organisation<'static> = Organisation {
    name: "south",
    keys: &["key-of-south", "second-key"],
    rate_per_s: 0,
    burst: 0,
};

const NORTH_KEY: &[(&str, &str)] = &[("authorization", "Token key-of-north")];

fn write(mesh: &Mesh, version: u64, organisations: &[Organisation<'_>]) {
    let mut routes = users_routes();
    let mut open = Route::new("/open/", RouteKind::Idempotent, SERVICES[0]);
    open.public = true;
    routes.push(open);
    let text = json_text_with_organisations(version, &routes, &SERVICES, organisations);
    mesh.store.write_operator_row("config", text.as_bytes());
}

async fn start(plan: Plan, organisations: &[Organisation<'_>]) -> Mesh {
    let mesh = start_users_mesh(plan).await;
    write(&mesh, 1, organisations);
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    mesh
}

async fn send(
    mesh: &Mesh,
    position: usize,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
) -> Reply {
    let request = CallerRequest {
        headers,
        ..CallerRequest::get(path, id)
    };
    let reply = mesh.send_request(position, &request).await;
    reply.expect("the node responds")
}

fn runs(mesh: &Mesh, id: &str) -> Vec<Run> {
    let backends = mesh.vms.iter().filter_map(|vm| vm.backend.as_ref());
    let records = backends.map(|backend| backend.record());
    records
        .filter_map(|record| record.runs.get(id).cloned())
        .flatten()
        .collect()
}

/// Guards against backend servers that receive keys, and against callers that name an organisation themselves: on first
/// attempts and across two nodes, for reads and uploads, whatever the spelling of the scheme.
#[tokio::test(flavor = "multi_thread")]
async fn backend_servers_receive_the_organisation_and_no_key() {
    let mesh = start(Plan::new(&SERVICES), &[NORTH, SOUTH]).await;
    let claim = ("x-dfw-tenant", "somebody-else");
    for position in 0..mesh.vms.len() {
        for (number, (authorization, organisation)) in [
            ("Token key-of-north", "north"),
            ("token key-of-south", "south"),
            ("TOKEN  second-key", "south"),
        ]
        .into_iter()
        .enumerate()
        {
            let headers = [("authorization", authorization), claim];
            for path in ["/stock/1", "/book/1", "/open/1"] {
                let id = format!("keyed{path}{position}{number}").replace('/', "-");
                let reply = send(&mesh, position, path, &id, &headers).await;
                assert_eq!(reply.status, 200, "{id}");
                let runs = runs(&mesh, &id);
                assert_eq!(runs.len(), 1, "{id}");
                assert_eq!(runs[0].organisation.as_deref(), Some(organisation));
                assert!(!runs[0].has_credentials);
            }
        }
    }
    let body = vec![7; 100_000];
    let upload = CallerRequest {
        headers: &[("authorization", "Token key-of-north"), claim],
        body: &body,
        ..CallerRequest::post("/sheets/1", "keyed-upload")
    };
    let reply = mesh.send_request(1, &upload).await;
    assert_eq!(reply.expect("the node responds").status, 200);
    let uploads = runs(&mesh, "keyed-upload");
    assert_eq!(uploads[0].organisation.as_deref(), Some("north"));
    assert!(!uploads[0].has_credentials);
}

/// Guards against requests without a valid key that run, and against public routes and nested calls that need one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_valid_key_do_not_run() {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    let mesh = start(plan, &[NORTH, SOUTH]).await;
    let long = format!("Token {}", "x".repeat(10_000));
    let invalid: [&[(&str, &str)]; 6] = [
        &[],
        &[("x-dfw-tenant", "north")],
        &[("authorization", "Token key-of-nobody")],
        &[("authorization", "Bearer key-of-north")],
        &[("authorization", &long)],
        &[
            ("authorization", "Token key-of-north"),
            ("authorization", "Token key-of-south"),
        ],
    ];
    for (number, headers) in invalid.into_iter().enumerate() {
        let id = format!("invalid-{number}");
        let reply = send(&mesh, 0, "/book/1", &id, headers).await;
        assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{id}");
        assert_eq!(reply.header(REASON_HEADER), "unknown-key");
        assert!(runs(&mesh, &id).is_empty(), "{id}");
    }
    let open = send(&mesh, 0, "/open/1", "open", &[]).await;
    assert_eq!(open.status, 200);
    assert_eq!(runs(&mesh, "open")[0].organisation, None);
    let path = format!(
        "/stock/1?call={}/book/2",
        testkit::users::configuration::DEFAULT_HOST
    );
    let parent = send(&mesh, 0, &path, "parent", NORTH_KEY).await;
    assert_eq!(parent.status, 200);
    wait_until("the nested call has run", WAIT_TIMEOUT, || async {
        let backends = mesh.vms.iter().filter_map(|vm| vm.backend.as_ref());
        let ids = backends.flat_map(|backend| backend.record().runs.into_keys());
        ids.into_iter().any(|id| id.starts_with("parent."))
    })
    .await;
    let orphan = send(&mesh, 0, "/stock/1", "ended.1", &[]).await;
    assert_eq!(orphan.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(orphan.header(REASON_HEADER), "parent-ended");
}

/// Guards against nodes that accept a key after the bound because they are cut off from the store and from each other, or
/// have been frozen meanwhile; public routes go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_taken_away_is_refused_everywhere_after_the_bound() {
    let mut plan = Plan::new(&SERVICES);
    plan.bounds = KEY_LIMIT_BOUNDS;
    let mesh = start(plan, &[NORTH, SOUTH]).await;
    let frozen = mesh.vms.len() - 1;
    mesh.vms[frozen].node().signal(Signal::Stop);
    mesh.network.set_cut(true, |from, to| from != to);
    write(&mesh, 2, &[SOUTH]);
    let acknowledged_at = Instant::now();
    let mut accepted_before_the_bound = 0;
    let mut number = 0;
    while acknowledged_at.elapsed() < KEY_LIMIT + Duration::from_secs(1) {
        for position in 0..frozen {
            number += 1;
            let sent_after = acknowledged_at.elapsed();
            let id = format!("taken-{number}");
            // Only the backend server of its own VM is left to a node that is cut off.
            let path = match mesh.vms[position].service == SERVICES[0] {
                true => "/stock/1",
                false => "/book/1",
            };
            let reply = send(&mesh, position, path, &id, NORTH_KEY).await;
            let ran = !runs(&mesh, &id).is_empty();
            assert!(
                !ran || sent_after <= KEY_LIMIT,
                "{id} ran after {sent_after:?}"
            );
            accepted_before_the_bound += usize::from(ran);
            if reply.status != 200 {
                assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        accepted_before_the_bound > 0,
        "no key was accepted until the bound"
    );
    let open = send(&mesh, 0, "/open/1", "open-while-cut-off", &[]).await;
    assert_eq!(open.status, 200);
    mesh.vms[frozen].node().signal(Signal::Continue);
    let woken = send(&mesh, frozen, "/book/1", "after-a-freeze", NORTH_KEY).await;
    assert_eq!(woken.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(runs(&mesh, "after-a-freeze").is_empty());
    mesh.network.set_cut(false, |_, _| true);
    for position in 0..mesh.vms.len() {
        wait_until(
            "the version is enforced after the cut",
            WAIT_TIMEOUT,
            || async {
                let id = format!("after-the-cut-{position}");
                let reply = send(&mesh, position, "/stock/1", &id, NORTH_KEY).await;
                reply.status == StatusCode::UNAUTHORIZED
            },
        )
        .await;
    }
}

/// Guards against keys that are refused although the configuration is known to be the newest, while versions are rare, a
/// lead cannot read the store, and its place is taken.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_accepted_without_a_gap_while_a_lead_loses_the_store() {
    let mut plan = Plan::new(&SERVICES);
    plan.bounds = KEY_LIMIT_BOUNDS;
    plan.vms_per_service = 2;
    plan.data_centres.truncate(1);
    let mesh = start(plan, &[NORTH]).await;
    let lead = mesh.wait_lead("gijon").await;
    mesh.store
        .set_call_fault_for(mesh.vms[lead].ip, CallFault::Unavailable);
    let faulty_since = Instant::now();
    let mut number = 0;
    while faulty_since.elapsed() < KEY_LIMIT * 2 {
        for position in 0..mesh.vms.len() {
            number += 1;
            let id = format!("kept-{number}");
            let reply = send(&mesh, position, "/stock/1", &id, NORTH_KEY).await;
            assert_eq!(
                reply.status,
                200,
                "{id} at {position}: {}",
                reply.header(REASON_HEADER)
            );
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Load: one organisation sends ten times its rate through all nodes. Guards against requests beyond the quota that run, against
/// refusals without a time to come back, and against another organisation that is refused for it.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_a_quota() {
    const RATE_PER_S: u32 = 20;
    const PLAYED: Duration = Duration::from_secs(8);
    let limited = Organisation {
        rate_per_s: RATE_PER_S,
        burst: 10,
        ..NORTH
    };
    let mesh = start(Plan::new(&SERVICES), &[limited, SOUTH]).await;
    let started_at = Instant::now();
    let (mut ran_at, mut refused, mut number) = (Vec::new(), 0, 0);
    while started_at.elapsed() < PLAYED {
        for position in 0..mesh.vms.len() {
            number += 1;
            let id = format!("limited-{number}");
            let reply = send(&mesh, position, "/stock/1", &id, NORTH_KEY).await;
            if reply.status == StatusCode::TOO_MANY_REQUESTS {
                let retry_after_s: f64 = reply.header("retry-after").parse().expect("a number");
                assert!((0.1..=5.0).contains(&retry_after_s), "{retry_after_s}");
                refused += 1;
            }
            ran_at.extend(runs(&mesh, &id).iter().map(|run| run.started_at));
        }
        let id = format!("other-{number}");
        let other = [("authorization", "Token key-of-south")];
        assert_eq!(send(&mesh, 0, "/stock/1", &id, &other).await.status, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(refused > 0, "nothing was refused");
    let node = mesh.vms[0].node().addresses.operator.to_string();
    let output = run_program(&["organisations", "--node", &node]).await;
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert!(text.contains("was known to be the newest"), "{text}");
    assert!(text.contains("north: quota 20 a second and 10;"), "{text}");
    assert!(!text.contains("key-of"), "{text}");
    let bound = (f64::from(RATE_PER_S) * 5.0 + 10.0) * 1.1 + 20.0;
    for first in &ran_at {
        let window = *first..*first + Duration::from_secs(5);
        let count = ran_at.iter().filter(|at| window.contains(at)).count();
        assert!(count as f64 <= bound, "{count} in 5 s, {bound} are allowed");
    }
    let least = f64::from(RATE_PER_S) * PLAYED.as_secs_f64() * 0.5;
    assert!(ran_at.len() as f64 >= least, "only {} ran", ran_at.len());
}
