//! Distribution of versions under failures, with separate processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::Method;
use testkit::http::{request, wait_until};
use testkit::mesh::Mesh;
use testkit::network::OPERATOR_SITE;
use testkit::platform::Faults;
use testkit::process::Signal;

use crate::support::{
    REASON_HEADER, VERDICT_HEADER, WAIT_TIMEOUT, fetch_metrics, repository_file, run_program,
    send_request, small_deployment,
};
use crate::support::{start_chatarras, vms_of};

/// Publishes the example file `boletines.toml` with another queue length, which makes a new
/// version. Returns whether that succeeded.
pub(crate) async fn publish_change(mesh: &Mesh, queue_len: u32) -> bool {
    let file = repository_file("examples/chatarras/boletines.toml");
    let text = std::fs::read_to_string(file).expect("the example file exists");
    let line = text.lines().find(|line| line.starts_with("queue_len"));
    let line = line.expect("the example sets queue_len");
    let text = text.replacen(line, &format!("queue_len = {queue_len}"), 1);
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("boletines.toml");
    std::fs::write(&path, text).expect("the file is written");
    let url = mesh.platform.url();
    let path: &Path = &path;
    let arguments = ["publish", "--operator", "ana", "--platform", &url];
    let mut arguments = arguments.to_vec();
    arguments.push(path.to_str().expect("the path is UTF-8"));
    run_program(&arguments).await.status.success()
}

pub(crate) async fn small_mesh() -> Mesh {
    start_chatarras(small_deployment(&["tablon", "cobros"], 2)).await
}

/// Kills processes at the same time, and waits until they have ended and their addresses are free.
pub(crate) async fn kill(mesh: &mut Mesh, positions: &[usize]) {
    for position in positions {
        mesh.vms[*position].node().signal(Signal::Kill);
    }
    for position in positions {
        let node = mesh.vms[*position].node.take();
        let ended = node.expect("the node runs").wait_exit().await;
        ended.expect("the process ends");
    }
}

async fn ready(mesh: &Mesh, position: usize) -> bool {
    let operator = mesh.vms[position].node().addresses.operator;
    let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Guards against versions that are lost, or replaced by older ones, when half of all processes die
/// during a publication. The others enforce the version, and so do the killed ones after their
/// restart.
#[tokio::test(flavor = "multi_thread")]
async fn half_of_the_nodes_die_during_a_publication() {
    let mut mesh = small_mesh().await;
    let half: Vec<usize> = (0..mesh.vms.len()).filter(|n| n % 2 == 0).collect();
    assert!(publish_change(&mesh, 31).await);
    // The publication is accepted and is being distributed.
    kill(&mut mesh, &half).await;
    mesh.wait_enforced(2).await;
    mesh.start_nodes(half).await.expect("the nodes start again");
    mesh.wait_enforced(2).await;
    mesh.wait_joined().await;
}

/// A data centre is partitioned off before a version is published. It keeps serving with the
/// version that it has, and catches up when the partition heals.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_data_centre_keeps_serving_and_catches_up() {
    let mesh = small_mesh().await;
    mesh.network.set_cut(true, |from, to| from == 1 && to != 1);
    assert!(publish_change(&mesh, 31).await);
    let inside: Vec<usize> = (0..mesh.vms.len())
        .filter(|n| mesh.vms[*n].site == 1)
        .collect();
    for position in 0..mesh.vms.len() {
        if !inside.contains(&position) {
            wait_until("the others enforce the version", WAIT_TIMEOUT, || async {
                mesh.version_at(position).await == 2
            })
            .await;
        }
    }
    let entry = mesh.vms[inside[0]].node().addresses.caller;
    let reply = send_request(entry, Method::GET, "tablon", "/prices/copper", "cut-off").await;
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-dragonflywall-version"), "1");
    mesh.network.set_cut(false, |_, _| true);
    mesh.wait_enforced(2).await;
    mesh.wait_joined().await;
}

/// The link between the regions is cut until each side has declared the other dead, and a version
/// is published where the store is. After the link heals, the other region enforces the version
/// without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_regions_converge_after_the_link_heals() {
    let mesh = small_mesh().await;
    mesh.network
        .set_cut(true, |from, to| (from == 2) != (to == 2));
    assert!(publish_change(&mesh, 31).await);
    let isolated = vms_of(&mesh, "tablon")
        .pop()
        .expect("the last one is in the other region");
    let operator = mesh.vms[isolated].node().addresses.operator;
    wait_until(
        "the other region is declared dead",
        WAIT_TIMEOUT,
        || async {
            let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
            let body = reply.map(|reply| reply.body).unwrap_or_default();
            let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().filter(|m| m["liveness"] == "dead").count() == 8
        },
    )
    .await;
    assert_eq!(mesh.version_at(isolated).await, 1);
    mesh.network.set_cut(false, |_, _| true);
    mesh.wait_enforced(2).await;
    mesh.wait_joined().await;
}

/// The store is down. The nodes keep their configuration, and a node that starts gets it from its
/// peers and becomes ready. Versions published after the outage are distributed as usual.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_without_the_store_fetches_from_its_peers() {
    let mut mesh = small_mesh().await;
    mesh.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(!publish_change(&mesh, 31).await);
    kill(&mut mesh, &[3]).await;
    mesh.start_node(3).await.expect("the node starts");
    wait_until("the node is ready", WAIT_TIMEOUT, || ready(&mesh, 3)).await;
    assert_eq!(mesh.version_at(3).await, 1);
    mesh.platform.set_faults(Faults::default());
    assert!(publish_change(&mesh, 32).await);
    mesh.wait_enforced(2).await;
}

/// Guards against requests that are handled under an outdated version. A node is frozen during two
/// publications while requests arrive at it, and then resumes. Each request is either refused as
/// retryable or served under the newest version, even if it is read before the node's own timer
/// runs.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_catches_up_before_it_admits_work() {
    let mesh = small_mesh().await;
    let frozen = 1;
    let caller = mesh.vms[frozen].node().addresses.caller;
    mesh.vms[frozen].node().signal(Signal::Stop);
    assert!(publish_change(&mesh, 31).await);
    assert!(publish_change(&mesh, 32).await);
    for position in (0..mesh.vms.len()).filter(|position| *position != frozen) {
        wait_until("the others enforce the version", WAIT_TIMEOUT, || async {
            mesh.version_at(position).await == 3
        })
        .await;
    }
    // Longer than the gap from which a process counts as frozen.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..20 {
        callers.spawn(async move {
            let id = format!("queued-{number}");
            send_request(caller, Method::GET, "tablon", "/prices/copper", &id).await
        });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    mesh.vms[frozen].node().signal(Signal::Continue);
    for reply in callers.join_all().await {
        let reply = reply.expect("the node answers");
        if reply.header("x-dragonflywall-version") != "3" {
            assert_eq!(reply.status, 503, "{reply:?}");
            assert_eq!(reply.header(VERDICT_HEADER), "not-run");
            assert_eq!(reply.header(REASON_HEADER), "refreshing");
            assert_eq!(reply.header("retry-after"), "1");
        }
    }
    wait_until("the node is ready again", WAIT_TIMEOUT, || {
        ready(&mesh, frozen)
    })
    .await;
    assert_eq!(mesh.version_at(frozen).await, 3);
    mesh.wait_joined().await;
}

/// Sends requests to frozen nodes, resumes these, and sends each further requests until one is served. Each
/// must be refused as retryable or served under version 3.
pub(crate) async fn resume_with_queued_requests(mesh: &Mesh, frozen: &[usize]) {
    let mut callers = tokio::task::JoinSet::new();
    for position in frozen {
        let caller = mesh.vms[*position].node().addresses.caller;
        for number in 0..20 {
            let id = format!("queued-{position}-{number}");
            callers.spawn(send_until_served(caller, id));
        }
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for position in frozen {
        mesh.vms[*position].node().signal(Signal::Continue);
    }
    callers.join_all().await;
}

async fn send_until_served(caller: SocketAddr, id: String) {
    loop {
        let reply = send_request(caller, Method::GET, "tablon", "/prices/copper", &id).await;
        let reply = reply.expect("the node answers");
        if reply.status == 200 {
            assert_eq!(reply.header("x-dragonflywall-version"), "3", "{reply:?}");
            return;
        }
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.header(VERDICT_HEADER), "not-run");
        assert_eq!(reply.header(REASON_HEADER), "refreshing");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Longer than the gap from which a process counts as frozen.
pub(crate) const FREEZE: Duration = Duration::from_millis(3_500);

/// Guards against a store answer from before a freeze that ends the refresh after it. The answer to a
/// read of the head is held back on the link until the node is frozen and two versions are published.
#[tokio::test(flavor = "multi_thread")]
async fn store_answer_from_before_a_freeze_does_not_end_the_refresh() {
    let mesh = small_mesh().await;
    let site = 1;
    let frozen = (0..mesh.vms.len()).find(|position| mesh.vms[*position].site == site);
    let frozen = frozen.expect("the site has nodes");
    let node = mesh.vms[frozen].node();
    // The refresh after a first freeze reads the head.
    node.signal(Signal::Stop);
    tokio::time::sleep(FREEZE).await;
    mesh.network.set_cut_one_way(true, OPERATOR_SITE, site);
    let reads_before = mesh.platform.counts().reads;
    node.signal(Signal::Continue);
    wait_until("the refresh has begun", WAIT_TIMEOUT, || async {
        let metrics = fetch_metrics(node.addresses.operator).await;
        metrics.contains("dragonflywall_freezes_total 1")
    })
    .await;
    wait_until("the store has answered a read", WAIT_TIMEOUT, || async {
        mesh.platform.counts().reads > reads_before
    })
    .await;
    wait_until("the node is ready", WAIT_TIMEOUT, || ready(&mesh, frozen)).await;
    node.signal(Signal::Stop);
    mesh.network.set_cut_one_way(false, OPERATOR_SITE, site);
    publish_while_frozen(&mesh, &[frozen]).await;
    resume_with_queued_requests(&mesh, &[frozen]).await;
    wait_until("the node is ready again", WAIT_TIMEOUT, || {
        ready(&mesh, frozen)
    })
    .await;
    assert_eq!(mesh.version_at(frozen).await, 3);
}

/// Guards against a refresh whose time limit passes in a pause that is too short to count as a freeze, before the answers
/// that arrived in it are read. All answers are held back until the pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_does_not_end_a_refresh() {
    let mesh = start_chatarras(small_deployment(&["tablon"], 1)).await;
    let frozen = (0..mesh.vms.len()).find(|position| mesh.vms[*position].site == 1);
    let frozen = frozen.expect("the site has a node");
    let node = mesh.vms[frozen].node();
    let set_answers_cut = |cut| {
        for site in [OPERATOR_SITE, 2] {
            mesh.network.set_cut_one_way(cut, site, 1);
        }
    };
    node.signal(Signal::Stop);
    set_answers_cut(true);
    publish_while_frozen(&mesh, &[frozen]).await;
    node.signal(Signal::Continue);
    wait_until("the refresh has begun", WAIT_TIMEOUT, || async {
        let metrics = fetch_metrics(node.addresses.operator).await;
        metrics.contains("dragonflywall_freezes_total 1")
    })
    .await;
    node.signal(Signal::Stop);
    set_answers_cut(false);
    // Longer than the time limit of a refresh, and shorter than a freeze.
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    resume_with_queued_requests(&mesh, &[frozen]).await;
    assert_eq!(mesh.version_at(frozen).await, 3);
}

/// Publishes two versions, and waits until all nodes but the frozen ones enforce them and the frozen ones count as
/// frozen.
pub(crate) async fn publish_while_frozen(mesh: &Mesh, frozen: &[usize]) {
    assert!(publish_change(mesh, 31).await);
    assert!(publish_change(mesh, 32).await);
    for position in (0..mesh.vms.len()).filter(|position| !frozen.contains(position)) {
        wait_until("the others enforce the version", WAIT_TIMEOUT, || async {
            mesh.version_at(position).await == 3
        })
        .await;
    }
    tokio::time::sleep(FREEZE).await;
}

/// Guards against answers of peers that were frozen too, and so are behind as well, that end the refresh after
/// a freeze. All nodes of a data centre are frozen, and their answers arrive first.
#[tokio::test(flavor = "multi_thread")]
async fn peers_that_were_frozen_too_do_not_end_a_refresh() {
    let mesh = small_mesh().await;
    let delay = Duration::from_millis(50);
    mesh.network.set_delays(delay, delay);
    let in_site = |position: &usize| mesh.vms[*position].site == 1;
    let frozen: Vec<usize> = (0..mesh.vms.len()).filter(in_site).collect();
    for position in &frozen {
        mesh.vms[*position].node().signal(Signal::Stop);
    }
    publish_while_frozen(&mesh, &frozen).await;
    resume_with_queued_requests(&mesh, &frozen).await;
    for position in frozen {
        assert_eq!(mesh.version_at(position).await, 3);
    }
}

/// Guards against a restart with an older version. A node enforced version 2 and died. The store is
/// down, the only peer with a record of this is frozen, and the reachable nodes were partitioned
/// off and still enforce version 1. The node must not serve under version 1; when the peer resumes,
/// it serves under version 2.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_never_enforces_an_older_version() {
    let mut mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    mesh.network.set_cut(true, |from, to| from == 1 && to != 1);
    assert!(publish_change(&mesh, 31).await);
    for position in [0, 1, 4, 5] {
        wait_until("the others enforce version 2", WAIT_TIMEOUT, || async {
            mesh.version_at(position).await == 2
        })
        .await;
    }
    mesh.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    mesh.network.set_cut(true, |from, to| from == 2 && to != 2);
    mesh.vms[1].node().signal(Signal::Stop);
    kill(&mut mesh, &[0]).await;
    mesh.network.set_cut(false, |from, to| from + to == 1);
    mesh.start_node(0).await.expect("the node starts");
    let operator = mesh.vms[0].node().addresses.operator;
    wait_until(
        "its view contains nodes with version 1",
        WAIT_TIMEOUT,
        || async {
            let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
            let body = reply.map(|reply| reply.body).unwrap_or_default();
            let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            status["members"].as_array().is_some_and(|m| m.len() > 2)
        },
    )
    .await;
    // Longer than the time after which partial answers settle the floor.
    tokio::time::sleep(Duration::from_millis(6_000)).await;
    assert_eq!(mesh.version_at(0).await, 0);
    let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
    let reply = reply.expect("the node answers");
    assert_eq!(reply.status, 503);
    mesh.vms[1].node().signal(Signal::Continue);
    wait_until("the node is ready again", WAIT_TIMEOUT, || ready(&mesh, 0)).await;
    assert_eq!(mesh.version_at(0).await, 2);
}
