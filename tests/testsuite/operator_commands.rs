//! The operators' commands, run against nodes or a stand-in for a node.

use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dragonflywall::core::status::Status;
use dragonflywall::core::version::Version;
use dragonflywall::ops::query::progress::{from_status, from_statuses};
use http::{Method, StatusCode};
use serde_json::Value;
use testkit::http::{build_response, serve};
use testkit::mesh::Deployment;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::support::{
    repository_file, run_program, send_request, small_deployment, start_chatarras, start_mesh,
    wait_until_running,
};

fn output_text(output: &Output) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("{stdout}{stderr}")
}

/// `publish --wait` ends when every node of all four data centres enforces the version. `watch` and
/// `status` then agree.
#[tokio::test(flavor = "multi_thread")]
async fn publish_waits_until_every_node_enforces() {
    let mesh = start_mesh(Deployment::marinhas()).await;
    mesh.wait_joined().await;
    let url = mesh.platform.url();
    let node = mesh.vms[0].node().addresses.operator.to_string();
    let file = repository_file("examples/marinhas/armazem.toml");
    let file = file.to_str().expect("the path is UTF-8");
    let one_node_per_data_centre = mesh.vms.iter().step_by(4);
    let one_node_per_data_centre =
        one_node_per_data_centre.map(|vm| vm.node().addresses.operator.to_string());
    let one_node_per_data_centre = one_node_per_data_centre.collect::<Vec<_>>().join(",");
    let target_flags = ["--platform", &url, "--node", &one_node_per_data_centre];
    let output = run_program(
        &[
            &["publish", "--wait", "--operator", "ana"],
            &target_flags[..],
            &[file],
        ]
        .concat(),
    )
    .await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    for position in 0..mesh.vms.len() {
        assert_eq!(mesh.version_at(position).await, 1);
    }
    let all =
        "norte/aveiro-a 4 of 4, norte/aveiro-b 4 of 4, sul/olhao-a 4 of 4, sul/olhao-b 4 of 4";
    assert!(
        output_text(&output).contains(all),
        "{}",
        output_text(&output)
    );
    let output = run_program(&[&["watch"], &target_flags[..]].concat()).await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let output = run_program(&["status", "--node", &node]).await;
    let unreachable_notice = "no reachable endpoint of: ";
    assert!(
        output_text(&output).contains("and is ready"),
        "{}",
        output_text(&output)
    );
    assert!(
        !output_text(&output).contains(unreachable_notice),
        "{}",
        output_text(&output)
    );
    let output = run_program(&["status", "--node", &node, "--json"]).await;
    let status: Value = serde_json::from_slice(&output.stdout).expect("status prints JSON");
    assert_eq!(status["enforced"]["version"], 1);
}

/// `watch` waits for a version that is never published. It ends at its time limit, says how to
/// continue, and exits with 3 ("unknown") instead of 0.
#[tokio::test(flavor = "multi_thread")]
async fn watch_ends_at_its_time_limit() {
    let mut deployment = Deployment::marinhas();
    deployment.data_centres.truncate(1);
    let mesh = start_mesh(deployment).await;
    let node = mesh.vms[0].node().addresses.operator.to_string();
    let limits = ["--version", "7", "--wait-limit-ms", "300"];
    let output = run_program(&[&["watch", "--node", &node], &limits[..]].concat()).await;
    assert_eq!(output.status.code(), Some(3), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("version 7 stands"),
        "{}",
        output_text(&output)
    );
}

/// Starts a stand-in for a node's operator listener. One request in flight ends with each query.
async fn start_draining_node(in_flight: u64) -> (String, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    let in_flight_left = Arc::new(AtomicU64::new(in_flight));
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, stop.clone(), move |request| {
        let in_flight_left = Arc::clone(&in_flight_left);
        async move {
            if request.method() != Method::POST || request.uri().path() != "/drain" {
                return Some(build_response(StatusCode::NOT_FOUND, ""));
            }
            let decremented = |in_flight_left: u64| Some(in_flight_left.saturating_sub(1));
            let remaining =
                in_flight_left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decremented);
            let remaining = remaining.unwrap_or_default();
            let body = format!("{{\"draining\":true,\"in_flight\":{remaining}}}");
            Some(build_response(StatusCode::OK, body))
        }
    }));
    (address, stop)
}

/// `drain --wait` must exit with 0 only when no request is in flight, because the backend server is
/// stopped afterwards.
#[tokio::test]
async fn drain_waits_until_nothing_is_in_flight() {
    let (node, _stop) = start_draining_node(2).await;
    let output = run_program(&["drain", "--node", &node, "--wait"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    for line in ["2 requests", "1 requests", "0 requests"] {
        assert!(
            output_text(&output).contains(line),
            "{}",
            output_text(&output)
        );
    }
}

/// Requests are still in flight at the time limit. Exit code 3 prevents a script from stopping the
/// backend server while it executes them.
#[tokio::test]
async fn unfinished_drain_exits_with_unknown_outcome() {
    let (node, _stop) = start_draining_node(1_000).await;
    let limit = ["--wait", "--wait-limit-ms", "300"];
    let output = run_program(&[&["drain", "--node", &node], &limit[..]].concat()).await;
    assert_eq!(output.status.code(), Some(3), "{}", output_text(&output));
    let hint = "leave the backend server running";
    assert!(
        output_text(&output).contains(hint),
        "{}",
        output_text(&output)
    );
}

/// The node does not run, so the command must fail and not report a drained node.
#[tokio::test]
async fn drain_of_an_unreachable_node_fails() {
    let output = run_program(&["drain", "--node", "127.0.0.1:9", "--wait"]).await;
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
}

/// Every command has a help text, and unknown commands and flags are usage errors.
#[tokio::test]
async fn every_command_has_help() {
    let overview = run_program(&["help"]).await;
    let overview = output_text(&overview);
    let names = [
        "check", "diff", "publish", "watch", "status", "history", "audit", "drain", "node",
    ];
    for name in names {
        assert!(overview.contains(&format!("  {name} ")), "{overview}");
        let output = run_program(&[name, "--help"]).await;
        assert_eq!(output.status.code(), Some(0));
        let usage = format!("Usage: dragonflywall {name}");
        assert!(
            output_text(&output).contains(&usage),
            "{}",
            output_text(&output)
        );
    }
    let output = run_program(&["reverse"]).await;
    assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
    let output = run_program(&["drain", "--nod", "x"]).await;
    assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
    assert!(output_text(&output).contains("dragonflywall drain --help"));
    let output = run_program(&["--version"]).await;
    assert!(output_text(&output).starts_with("dragonflywall "));
}

fn status(members: &[Value], summaries: &[Value]) -> Status {
    let status = serde_json::json!({
        "node": "127.0.0.1:1", "enforced": { "version": 2, "digest": "0".repeat(64) },
        "ready": true, "members": members, "data_centres": summaries,
    });
    serde_json::from_value(status).expect("the value is a valid status")
}

fn member(data_centre: &str, port: u16, liveness: &str) -> Value {
    serde_json::json!({
        "node": format!("127.0.0.1:{port}"), "external": format!("127.0.0.1:{port}"),
        "place": { "region": "norte", "data_centre": data_centre },
        "incarnation_us": 1, "sequence": 1, "liveness": liveness,
        "service": null, "backend": "gone", "enforced": 0,
    })
}

fn summary(data_centre: &str, versions: &Value) -> Value {
    serde_json::json!({
        "place": { "region": "norte", "data_centre": data_centre },
        "nodes": 0, "versions": versions,
    })
}

/// The link to the second of two data centres has failed, so the queried node considers its nodes
/// dead. `watch` must not report that the version is enforced everywhere, because the nodes behind
/// the failed link may still run. A single dead node of a live data centre is ignored.
#[test]
fn unreachable_data_centre_is_not_complete() {
    let near = member("aveiro-a", 1, "alive");
    let replaced = member("aveiro-a", 2, "dead");
    let far = member("aveiro-b", 3, "dead");
    let summaries = [summary("aveiro-a", &serde_json::json!({ "2": 1 }))];
    let one_lost = from_status(&status(&[near.clone(), replaced], &summaries), Version(2));
    assert!(one_lost.is_complete());
    let cut_off = from_status(&status(&[near, far], &summaries), Version(2));
    assert!(!cut_off.is_complete());
    let expected_text = "version 2: norte/aveiro-a 1 of 1, norte/aveiro-b 0 of 0 (1 unreachable)";
    assert_eq!(cut_off.to_string(), expected_text);
}

/// An operator queries a node in each data centre. The first node's summary of the second data
/// centre is outdated, so the summary from the second node must take precedence.
#[test]
fn summary_from_the_data_centre_itself_takes_precedence() {
    let members = [
        member("aveiro-a", 1, "alive"),
        member("aveiro-b", 2, "alive"),
    ];
    let summaries = |far_version: &str| {
        let far = summary("aveiro-b", &serde_json::json!({ far_version: 1 }));
        [summary("aveiro-a", &serde_json::json!({ "2": 1 })), far]
    };
    let near = status(&members, &summaries("1"));
    let mut far = status(&members, &summaries("2"));
    far.node = far.members[1].node;
    assert!(!from_status(&near, Version(2)).is_complete());
    assert!(from_statuses(&[near.clone(), far.clone()], Version(2)).is_complete());
    assert!(from_statuses(&[far, near], Version(2)).is_complete());
}

/// The summary of a data centre is a few seconds old. One node enforces an older version, and
/// another one, which enforced the version, has died since. The dead node must not be counted in
/// place of the node that lags behind.
#[test]
fn outdated_summary_is_not_complete() {
    let members = [
        member("aveiro-a", 1, "alive"),
        member("aveiro-a", 2, "alive"),
    ];
    let complete = |versions: Value| {
        let summaries = [summary("aveiro-a", &versions)];
        from_status(&status(&members, &summaries), Version(2)).is_complete()
    };
    assert!(!complete(serde_json::json!({ "1": 1, "2": 2 })));
    assert!(!complete(serde_json::json!({ "2": 1 })));
    assert!(!complete(serde_json::json!({})));
    assert!(complete(serde_json::json!({ "2": 3 })));
    assert!(complete(serde_json::json!({ "2": 1, "3": 1 })));
}

/// A node executes a payment that takes four seconds while an operator drains it. When the command
/// exits with 0, the payment has been answered completely, so the backend server may be stopped.
#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_for_the_last_request_of_a_node() {
    let mesh = start_chatarras(small_deployment(&["tablon", "cobros"], 1)).await;
    let entry = mesh.vms.iter().find(|vm| vm.service == "tablon");
    let entry = entry.expect("tablon is deployed").node().addresses.caller;
    let path = "/payments?work_ms=4000";
    let payment = tokio::spawn(send_request(
        entry,
        Method::POST,
        "cobros",
        path,
        "payment-1",
    ));
    let position = wait_until_running(&mesh, "cobros", "payment-1").await;
    let node = mesh.vms[position].node().addresses.operator.to_string();
    let output = run_program(&["drain", "--node", &node, "--wait"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("1 requests in flight"),
        "{}",
        output_text(&output)
    );
    assert!(
        output_text(&output).contains("0 requests in flight"),
        "{}",
        output_text(&output)
    );
    let reply = payment
        .await
        .expect("the task does not panic")
        .expect("the node answers");
    assert_eq!(reply.status, 200);
}

/// An operator publishes while a data centre is partitioned from the others and from the platform.
/// The version is accepted, but the command exits with 3, because it is not enforced everywhere.
/// When the partition ends, the data centre obtains the version by itself, and `watch` exits with 0.
#[tokio::test(flavor = "multi_thread")]
async fn publication_with_a_partitioned_data_centre_is_not_complete() {
    let mesh = start_chatarras(small_deployment(&["tablon"], 1)).await;
    mesh.network
        .set_cut(true, |from, to| (from == 2) != (to == 2));
    let url = mesh.platform.url();
    let node = mesh.vms[0].node().addresses.operator.to_string();
    let directory = tempfile::TempDir::new().expect("the temporary directory is created");
    let path = directory.path().join("boletines.toml");
    let example = repository_file("examples/chatarras/boletines.toml");
    let example = std::fs::read_to_string(example).expect("the example exists");
    let changed = example.replace("queue_len = 40", "queue_len = 41");
    std::fs::write(&path, changed).expect("the file is written");
    let target_flags = ["--platform", &url, "--node", &node];
    let publish = ["publish", "--operator", "ana", "--expect", "1", "--wait"];
    let limit = [
        "--wait-limit-ms",
        "1500",
        path.to_str().expect("the path is UTF-8"),
    ];
    let output = run_program(&[&publish[..], &target_flags, &limit].concat()).await;
    assert_eq!(output.status.code(), Some(3), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("Published: version 2"),
        "{}",
        output_text(&output)
    );
    assert!(
        output_text(&output).contains("version 2 stands"),
        "{}",
        output_text(&output)
    );
    mesh.network.set_cut(false, |_, _| true);
    let output = run_program(&[&["watch"], &target_flags[..]].concat()).await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert_eq!(mesh.version_at(2).await, 2);
}

/// A team file is published before any backend server of its services runs. `status` lists the
/// services without a reachable endpoint, so that an operator notices before callers do.
#[tokio::test(flavor = "multi_thread")]
async fn status_lists_unreachable_services() {
    let mesh = start_chatarras(small_deployment(&["tablon"], 1)).await;
    let node = mesh.vms[0].node().addresses.operator.to_string();
    let output = run_program(&["status", "--node", &node]).await;
    let unreachable_services = "no reachable endpoint of: bascula, cobros, hemeroteca";
    assert!(
        output_text(&output).contains(unreachable_services),
        "{}",
        output_text(&output)
    );
}
