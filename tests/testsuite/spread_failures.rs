//! Spread under failure, with separate processes.

use std::path::Path;
use std::time::Duration;

use http::Method;
use testkit::http::{request, wait_until};
use testkit::mesh::Mesh;
use testkit::platform::Faults;
use testkit::process::Signal;

use crate::support::{LIMIT, REASON, VERDICT, ask, command, repository_file, small};
use crate::support::{start_chatarras, vms_of};

/// Publishes the bulletins team's file with another queue length, which makes a new version.
async fn publish_change(mesh: &Mesh, queue_len: u32) -> bool {
    let file = repository_file("examples/chatarras/boletines.toml");
    let text = std::fs::read_to_string(file).expect("the example is there");
    let line = text.lines().find(|line| line.starts_with("queue_len"));
    let line = line.expect("the example sets it");
    let text = text.replacen(line, &format!("queue_len = {queue_len}"), 1);
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("boletines.toml");
    std::fs::write(&path, text).expect("written");
    let url = mesh.platform.url();
    let path: &Path = &path;
    let arguments = ["publish", "--operator", "ana", "--platform", &url];
    let mut arguments = arguments.to_vec();
    arguments.push(path.to_str().expect("a plain path"));
    command(&arguments).await.status.success()
}

async fn small_mesh() -> Mesh {
    start_chatarras(small(&["tablon", "cobros"], 2)).await
}

/// Kills processes at once and waits until the system has let go of their addresses.
async fn kill(mesh: &mut Mesh, positions: &[usize]) {
    for position in positions {
        mesh.vms[*position].node().signal(Signal::Kill);
    }
    for position in positions {
        let node = mesh.vms[*position].node.take();
        let ended = node.expect("it ran").ended().await;
        ended.expect("it ended");
    }
}

async fn ready(mesh: &Mesh, position: usize) -> bool {
    let operator = mesh.vms[position].node().addresses.operator;
    let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Half of all processes die at the moment of a publication. The others enforce it; those that
/// come back enforce it too, and nobody is ever seen with less than it had.
#[tokio::test(flavor = "multi_thread")]
async fn half_of_the_nodes_die_during_a_publication() {
    let mut mesh = small_mesh().await;
    let half: Vec<usize> = (0..mesh.vms.len()).filter(|n| n % 2 == 0).collect();
    assert!(publish_change(&mesh, 31).await);
    // The publication has been accepted and is on its way.
    kill(&mut mesh, &half).await;
    mesh.wait_enforced(2).await;
    mesh.start_nodes(half).await.expect("they start again");
    mesh.wait_enforced(2).await;
    mesh.wait_joined().await;
}

/// A data centre is cut off; a version is published that it cannot hear of. It goes on serving
/// with what it has, and catches up when the links heal.
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
            wait_until("the others enforce it", LIMIT, || async {
                mesh.version_at(position).await == 2
            })
            .await;
        }
    }
    let entry = mesh.vms[inside[0]].node().addresses.caller;
    let reply = ask(entry, Method::GET, "tablon", "/prices/copper", "cut-off").await;
    let reply = reply.expect("it answers");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-dragonflywall-version"), "1");
    mesh.network.set_cut(false, |_, _| true);
    mesh.wait_enforced(2).await;
    mesh.wait_joined().await;
}

/// The regions lose each other until each half holds the other for dead; a version is published
/// on the store's side. After the link heals the other region enforces it, without any restart.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_regions_converge_after_the_link_heals() {
    let mesh = small_mesh().await;
    mesh.network
        .set_cut(true, |from, to| (from == 2) != (to == 2));
    assert!(publish_change(&mesh, 31).await);
    let alone = vms_of(&mesh, "tablon")
        .pop()
        .expect("the last is in site 2");
    let operator = mesh.vms[alone].node().addresses.operator;
    wait_until("the other region is given up", LIMIT, || async {
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().filter(|m| m["liveness"] == "dead").count() == 8
    })
    .await;
    assert_eq!(mesh.version_at(alone).await, 1);
    mesh.network.set_cut(false, |_, _| true);
    mesh.wait_enforced(2).await;
    mesh.wait_joined().await;
}

/// The store is down. The nodes keep what they have, and one that starts afresh gets it from its
/// peers and is ready; what is published after the outage spreads as ever.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_without_the_store_fetches_from_its_peers() {
    let mut mesh = small_mesh().await;
    mesh.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(!publish_change(&mesh, 31).await);
    kill(&mut mesh, &[3]).await;
    mesh.start_node(3).await.expect("it starts");
    wait_until("it is ready", LIMIT, || ready(&mesh, 3)).await;
    assert_eq!(mesh.version_at(3).await, 1);
    mesh.platform.set_faults(Faults::default());
    assert!(publish_change(&mesh, 32).await);
    mesh.wait_enforced(2).await;
}

/// A node is frozen over two publications, callers queue up at it, and it goes on. A caller is
/// told to come again, or served under the newest version; never under the old one, although
/// requests are there before the node's own clock has ticked.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_catches_up_before_it_admits_work() {
    let mesh = small_mesh().await;
    let frozen = 1;
    let caller = mesh.vms[frozen].node().addresses.caller;
    mesh.vms[frozen].node().signal(Signal::Stop);
    assert!(publish_change(&mesh, 31).await);
    assert!(publish_change(&mesh, 32).await);
    for position in (0..mesh.vms.len()).filter(|position| *position != frozen) {
        wait_until("the others enforce it", LIMIT, || async {
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
            ask(caller, Method::GET, "tablon", "/prices/copper", &id).await
        });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    mesh.vms[frozen].node().signal(Signal::Continue);
    for reply in callers.join_all().await {
        let reply = reply.expect("it answers");
        if reply.header("x-dragonflywall-version") != "3" {
            assert_eq!(reply.status, 503, "{reply:?}");
            assert_eq!(reply.header(VERDICT), "not-run");
            assert_eq!(reply.header(REASON), "refreshing");
            assert_eq!(reply.header("retry-after"), "1");
        }
    }
    wait_until("it is ready again", LIMIT, || ready(&mesh, frozen)).await;
    assert_eq!(mesh.version_at(frozen).await, 3);
    mesh.wait_joined().await;
}

/// A node enforced version 2 and died. The store is down, the only peer of its data centre that
/// knows is frozen, and all it reaches are nodes that were cut off and still enforce version 1. It
/// must not serve with 1; once the peer is back it serves with 2.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_never_enforces_an_older_version() {
    let mut mesh = start_chatarras(small(&["tablon", "cobros"], 1)).await;
    mesh.network.set_cut(true, |from, to| from == 1 && to != 1);
    assert!(publish_change(&mesh, 31).await);
    for position in [0, 1, 4, 5] {
        wait_until("version 2", LIMIT, || async {
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
    mesh.start_node(0).await.expect("it starts");
    let operator = mesh.vms[0].node().addresses.operator;
    wait_until("it meets those that are behind", LIMIT, || async {
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        status["members"].as_array().is_some_and(|m| m.len() > 2)
    })
    .await;
    // Longer than it takes to be content with few answers.
    tokio::time::sleep(Duration::from_millis(6_000)).await;
    assert_eq!(mesh.version_at(0).await, 0);
    let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
    let reply = reply.expect("it answers");
    assert_eq!(reply.status, 503);
    mesh.vms[1].node().signal(Signal::Continue);
    wait_until("it serves again", LIMIT, || ready(&mesh, 0)).await;
    assert_eq!(mesh.version_at(0).await, 2);
}
