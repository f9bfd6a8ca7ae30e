//! Backend servers on the users' platform that name a rate limit or say that they leave, in the headers of their
//! responses.

use std::time::{Duration, Instant};

use testkit::http::{Reply, wait_until};
use testkit::process::Signal;
use testkit::users::backend::{Statement, most_arrivals_in};
use testkit::users::mesh::{CallerRequest, Mesh, Plan};

use crate::support::{
    SERVICES, VERDICT_HEADER, WAIT_TIMEOUT, join_all, start_serving_users_mesh, users_mesh_runs,
};

/// Two VMs of each service in one data centre, so that all nodes send requests to each backend server.
fn one_data_centre() -> Plan {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.vms_per_service = 2;
    plan
}

/// Period over which the users count the requests to a backend server with a limit.
const LIMIT_PERIOD: Duration = Duration::from_secs(4);

/// Number of requests in [`LIMIT_PERIOD`] above which a limit counts as broken.
fn arrivals_allowed(per_s: f64) -> usize {
    (1.5 * per_s * LIMIT_PERIOD.as_secs_f64() + 5.0).floor() as usize
}

/// Callers that send reads to some nodes, one after the other.
struct Readers<'a> {
    /// Prefix of the request ids.
    name: &'a str,
    /// Nodes that they send to.
    entries: &'a [usize],
    /// Callers for each node.
    per_entry: usize,
    work_ms: u64,
}

impl<'a> Readers<'a> {
    /// Some callers for each node, whose requests take 50 ms.
    fn new(name: &'a str, entries: &'a [usize], per_entry: usize) -> Self {
        Self {
            name,
            entries,
            per_entry,
            work_ms: 50,
        }
    }

    /// Sends reads until `until` and returns the responses.
    async fn send(&self, mesh: &Mesh, until: Instant) -> Vec<Reply> {
        let mut callers = Vec::new();
        for entry in self.entries {
            for caller in 0..self.per_entry {
                callers.push(self.send_to(mesh, *entry, caller, until));
            }
        }
        join_all(callers).await.into_iter().flatten().collect()
    }

    async fn send_to(
        &self,
        mesh: &Mesh,
        entry: usize,
        caller: usize,
        until: Instant,
    ) -> Vec<Reply> {
        let path = format!("/stock/1?work_ms={}", self.work_ms);
        let mut replies = Vec::new();
        while Instant::now() < until {
            let id = format!("{}-{entry}-{caller}-{}", self.name, replies.len());
            let request = CallerRequest::get(&path, &id);
            let reply = mesh.send_request(entry, &request).await;
            replies.push(reply.expect("the node responds"));
        }
        replies
    }
}

/// Sends reads to all nodes, `per_entry` at a time to each, until `until`. Returns the responses.
async fn send_reads(mesh: &Mesh, name: &str, per_entry: usize, until: Instant) -> Vec<Reply> {
    let entries: Vec<usize> = (0..mesh.vms.len()).collect();
    Readers::new(name, &entries, per_entry)
        .send(mesh, until)
        .await
}

/// The nodes but the one at `position`.
fn other_entries(mesh: &Mesh, position: usize) -> Vec<usize> {
    (0..mesh.vms.len()).filter(|vm| *vm != position).collect()
}

fn arrivals_at(mesh: &Mesh, position: usize) -> Vec<Instant> {
    mesh.vms[position].backend().record().arrivals
}

/// Sends reads to every node until `position` has run one that entered the mesh there, so that every node has passed
/// on a response of it.
async fn wait_told(mesh: &Mesh, name: &str, position: usize) {
    for entry in 0..mesh.vms.len() {
        let mut attempt = 0;
        loop {
            let id = format!("{name}-{entry}-{attempt}");
            let request = CallerRequest::get("/stock/1?work_ms=1", &id);
            let reply = mesh.send_request(entry, &request).await;
            reply.expect("the node responds");
            if users_mesh_runs(mesh, &id).contains(&position) {
                break;
            }
            attempt += 1;
            assert!(attempt < 2_000, "VM {entry} sends nothing to VM {position}");
        }
    }
}

/// Guards against a rate limit that every node keeps for itself, or none keeps.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_the_rate_limit_of_a_backend_server() {
    let mesh = start_serving_users_mesh(one_data_centre()).await;
    let limited = mesh.vms_of(SERVICES[0])[0];
    let per_s = 10.0;
    mesh.vms[limited]
        .backend()
        .set_statement(Statement::limit(per_s));
    let named_at = Instant::now();
    let replies = send_reads(&mesh, "read", 2, named_at + Duration::from_secs(6)).await;
    let since = named_at + Duration::from_millis(500);
    let most = most_arrivals_in(&arrivals_at(&mesh, limited), since, LIMIT_PERIOD);
    assert!(most <= arrivals_allowed(per_s), "{most} arrivals in 4 s");
    // The other backend servers of the service have room for the rest.
    let refused = replies.iter().filter(|reply| reply.status != 200);
    assert_eq!(refused.count(), 0, "of {}", replies.len());
}

/// Guards against requests that wait for a backend server whose limit leaves them no time, and against a limit that is
/// exceeded when all backend servers of a service name one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_limits_of_all_backend_servers_are_refused() {
    let mesh = start_serving_users_mesh(one_data_centre()).await;
    let per_s = 4.0;
    let positions = mesh.vms_of(SERVICES[0]);
    for position in &positions {
        let backend = mesh.vms[*position].backend();
        backend.set_statement(Statement::limit(per_s));
    }
    let named_at = Instant::now();
    let replies = send_reads(&mesh, "read", 2, named_at + Duration::from_secs(6)).await;
    for position in positions {
        let since = named_at + Duration::from_millis(500);
        let most = most_arrivals_in(&arrivals_at(&mesh, position), since, LIMIT_PERIOD);
        assert!(most <= arrivals_allowed(per_s), "{most} arrivals in 4 s");
    }
    let refused: Vec<&Reply> = replies.iter().filter(|reply| reply.status != 200).collect();
    assert!(!refused.is_empty());
    for reply in refused {
        assert_eq!(reply.status, 503);
        assert_eq!(reply.header(VERDICT_HEADER), "not-run");
        let retry_after_s: f64 = reply.header("retry-after").parse().expect("a number");
        assert!(retry_after_s > 0.0);
    }
}

/// Guards against requests that wait while their gate is paused and are all sent on after it, beyond the limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_gate_keeps_the_rate_limit_after_the_pause() {
    let mesh = start_serving_users_mesh(one_data_centre()).await;
    let limited = mesh.vms_of(SERVICES[0])[0];
    let per_s = 5.0;
    let vm = &mesh.vms[limited];
    vm.backend().set_statement(Statement::limit(per_s));
    let named_at = Instant::now();
    let pause = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        vm.node().signal(Signal::Stop);
        tokio::time::sleep(Duration::from_secs(1)).await;
        vm.node().signal(Signal::Continue);
    };
    let entries = other_entries(&mesh, limited);
    let readers = Readers::new("read", &entries, 4);
    let until = named_at + Duration::from_secs(6);
    tokio::join!(pause, readers.send(&mesh, until));
    let since = named_at + Duration::from_millis(500);
    let most = most_arrivals_in(&arrivals_at(&mesh, limited), since, LIMIT_PERIOD);
    assert!(most <= arrivals_allowed(per_s), "{most} arrivals in 4 s");
}

/// Guards against a limit that stays in force after the backend server has stopped naming it.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limit_ends_when_the_backend_server_names_it_no_longer() {
    let mesh = start_serving_users_mesh(one_data_centre()).await;
    let limited = mesh.vms_of(SERVICES[0])[0];
    let backend = mesh.vms[limited].backend();
    backend.set_statement(Statement::limit(5.0));
    send_reads(&mesh, "limited", 1, Instant::now() + Duration::from_secs(1)).await;
    backend.set_statement(Statement::default());
    // One after the other, so that each has a free slot.
    let mut number = 0;
    wait_until("twenty reads in a row are served", WAIT_TIMEOUT, || {
        number += 1;
        let mesh = &mesh;
        async move {
            for read in 0..20 {
                let id = format!("free-{number}-{read}");
                let request = CallerRequest::get("/stock/1?work_ms=1", &id);
                let reply = mesh.send_request(limited, &request).await;
                if reply.expect("the node responds").status != 200 {
                    return false;
                }
            }
            true
        }
    })
    .await;
}

/// Guards against a limit that is forgotten with the process of its gate, although the nodes that passed on responses
/// with it are still bound.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_gate_learns_the_rate_limit_from_entry_nodes() {
    let mut plan = one_data_centre();
    plan.vms_per_service = 4;
    plan.behaviour.slots = 64;
    let mut mesh = start_serving_users_mesh(plan).await;
    let limited = mesh.vms_of(SERVICES[0])[0];
    let per_s = 0.0;
    let mut statement = Statement::limit(per_s);
    statement.not_in_health_checks = true;
    mesh.vms[limited].backend().set_statement(statement);
    wait_told(&mesh, "told", limited).await;
    mesh.kill_node(limited).await.expect("the node exits");
    mesh.start_node(limited).await.expect("the node starts");
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    // The restarted node itself is not bound.
    let entries = other_entries(&mesh, limited);
    let mut readers = Readers::new("after", &entries, 12);
    readers.work_ms = 500;
    let restarted_at = Instant::now();
    readers
        .send(&mesh, restarted_at + Duration::from_secs(5))
        .await;
    let arrivals = arrivals_at(&mesh, limited);
    let most = most_arrivals_in(&arrivals, restarted_at, LIMIT_PERIOD);
    assert!(most <= arrivals_allowed(per_s), "{most} arrivals in 4 s");
}

/// Guards against requests to a backend server that has said in its responses that it leaves, and goes on announcing
/// itself as ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_says_it_leaves_gets_no_further_requests() {
    let mesh = start_serving_users_mesh(one_data_centre()).await;
    let leaving = mesh.vms_of(SERVICES[0])[0];
    // The data centre is cut off from the store.
    let store_site = mesh.store_site;
    mesh.network
        .set_cut(true, |from, to| from == store_site || to == store_site);
    mesh.vms[leaving]
        .backend()
        .set_statement(Statement::leaving());
    let until = Instant::now() + Duration::from_secs(1);
    send_reads(&mesh, "told", 1, until).await;
    let told_at = Instant::now();
    let replies = send_reads(&mesh, "after", 1, told_at + Duration::from_secs(2)).await;
    let arrivals = arrivals_at(&mesh, leaving);
    assert!(!arrivals.is_empty());
    assert!(arrivals.iter().all(|at| *at < told_at), "{arrivals:?}");
    let failed = replies.iter().filter(|reply| reply.status != 200);
    assert_eq!(failed.count(), 0, "of {}", replies.len());
}

/// Guards against a backend server that is taken for the one before it, which said that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_backend_server_is_not_bound_by_earlier_statements() {
    let mut mesh = start_serving_users_mesh(one_data_centre()).await;
    let restarted = mesh.vms_of(SERVICES[0])[0];
    let mut statement = Statement::limit(0.0);
    statement.leaving = true;
    mesh.vms[restarted].backend().set_statement(statement);
    let until = Instant::now() + Duration::from_secs(1);
    send_reads(&mesh, "told", 1, until).await;
    mesh.crash_backend(restarted).await;
    mesh.restart_backend(restarted, SERVICES[0])
        .await
        .expect("the address is free");
    mesh.wait_serving().await;
    wait_told(&mesh, "again", restarted).await;
}

/// Guards against a restarted gate that sends on what a node requests which has been told that the backend server
/// leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_gate_learns_from_entry_nodes_that_its_backend_server_leaves() {
    let mut mesh = start_serving_users_mesh(one_data_centre()).await;
    let leaving = mesh.vms_of(SERVICES[0])[0];
    // Its health checks pass, so the new process of its gate takes it for one that stays.
    let mut statement = Statement::leaving();
    statement.not_in_health_checks = true;
    mesh.vms[leaving].backend().set_statement(statement);
    // The gate closes at the first response, so the other nodes need not be told.
    let told = [other_entries(&mesh, leaving)[0]];
    let until = Instant::now() + Duration::from_secs(1);
    let replies = Readers::new("told", &told, 4).send(&mesh, until).await;
    let says_leaving = |reply: &Reply| reply.header("server-leaving") == "1";
    assert!(replies.iter().any(says_leaving));
    mesh.kill_node(leaving).await.expect("the node exits");
    mesh.start_node(leaving).await.expect("the node starts");
    mesh.wait_enforced(1).await;
    mesh.wait_serving().await;
    let until = Instant::now() + Duration::from_secs(2);
    Readers::new("after", &told, 4).send(&mesh, until).await;
    let runs = mesh.vms[leaving].backend().record().runs;
    let after = runs.keys().filter(|id| id.starts_with("after-"));
    assert_eq!(after.count(), 0);
}
