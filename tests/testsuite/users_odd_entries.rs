//! Entries of another writer that cannot be read, in each list that nodes read.

use bytes::Bytes;
use http::Method;
use testkit::http::{Http2Connection, request, wait_until};
use testkit::users::mesh::{CallerRequest, Mesh, Plan};

use crate::support::{
    SERVICES, WAIT_TIMEOUT, fetch_metrics, start_serving_users_mesh, users_routes, write_routes,
};

/// Tables of the system, and prefixes of the keys in each.
const TABLES: [(&str, &str); 3] = [
    ("dragonflywall", "node/"),
    ("dragonflywall-rollouts", ""),
    ("op", "rollout/"),
];

/// Levels of a value that is nested more deeply than any decoder follows.
const DEEP: usize = 30_000;

/// Values that no list should have.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| open.repeat(DEEP) + &close.repeat(DEEP);
    let node = |port: &str, renewed: &str| {
        format!(
            r#"{{"node":"10.0.0.1:{port}","external":"10.0.0.1:{port}","place":{{"region":"cantabrico","data_centre":"gijon"}},"renewed_ms":{renewed}}}"#
        )
    };
    let state = |share: &str| {
        format!(
            r#"{{"order_revision":1,"to":"v2","phase":"shift","share_percent":{share},"ordered_store_ms":1,"decided_store_ms":1,"established":null,"barred":[],"reason":"","decided_by":"10.0.0.1:1"}}"#
        )
    };
    let texts = [
        String::new(),
        "null".to_owned(),
        "[]".to_owned(),
        nested("[", "]"),
        nested("{\"a\":", "}"),
        "[".repeat(DEEP),
        "1e400".to_owned(),
        node("65536", "1"),
        node("80", "1e30"),
        node("80", "-1"),
        node("80", "18446744073709551616"),
        state("4294967296"),
        state("1e400"),
        r#"{"service":"armazem","to":"","duration":"1e400s"}"#.to_owned(),
        "\"".repeat(1 << 14),
    ];
    let mut values: Vec<Vec<u8>> = texts.map(String::into_bytes).to_vec();
    values.push(vec![0xff, 0xfe, 0, 0x80]);
    values
}

/// Announcements that name no endpoint to use, but for those that are odd as a whole.
fn odd_announcements(service: &str, address: &str) -> Vec<String> {
    let body = |address: &str, slots: &str, seq: &str, born: &str| {
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"gijon","version":"v1","slots":{slots},"state":"ready","coldRemaining":"0ms","seq":{seq},"born":{born}}}"#
        )
    };
    vec![
        body("10.0.0.1:65536", "4", "1", "1"),
        body("10.0.0.1:0", "4", "1", "1"),
        body("0.0.0.0:80", "4", "1", "1"),
        body(address, "0", "1", "1"),
        body(address, "4294967295", "1", "1"),
        body(address, "1e30", "1", "1"),
        body(address, "4", "18446744073709551615", "1"),
        body(address, "4", "1e400", "1"),
        body(address, "4", "1", "18446744073709551615"),
        body(address, "4", "1", "9007199254740991"),
        body(address, "4", "-1", "1"),
    ]
}

async fn announce(mesh: &Mesh, position: usize, instance: &str, body: Vec<u8>) {
    let address = mesh.vms[position].announce_address();
    let path = format!("/-/instances/{instance}");
    let reply = request(address, Method::PUT, "node", &path, &[], body).await;
    reply.expect("the node responds");
}

/// Sends odd announcements to the node of a VM, under the name of its backend server and under another one.
async fn announce_oddly(mesh: &Mesh, position: usize) {
    let vm = &mesh.vms[position];
    let own = vm.backend().identity().instance.clone();
    let (service, address) = (&vm.service, vm.backend_address.to_string());
    let mut bodies: Vec<Vec<u8>> = odd_announcements(service, &address)
        .into_iter()
        .map(String::into_bytes)
        .collect();
    bodies.extend(odd_values().into_iter().filter(|value| value.len() < 4_000));
    for body in bodies {
        for instance in [own.as_str(), "i-odd"] {
            announce(mesh, position, instance, body.clone()).await;
        }
    }
}

/// Calls of a node's peer interface with messages that no node sends.
async fn call_oddly(mesh: &Mesh, position: usize) {
    let peer = mesh.vms[position].node().addresses.peer;
    let connection = Http2Connection::connect(peer).await;
    let connection = connection.expect("the node accepts connections");
    let messages: [Vec<u8>; 4] = [
        vec![0xff; 64],
        // The start of a group, again and again.
        vec![0x0b; DEEP],
        // A field that is longer than the message.
        vec![0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f],
        Vec::new(),
    ];
    for call in [
        "Exchange",
        "Tally",
        "ReportUsage",
        "ShareUsage",
        "ReportCrashes",
        "WriteRow",
        "Hint",
    ] {
        for message in &messages {
            let length = u32::try_from(message.len()).expect("the message is short");
            let mut body = vec![0];
            body.extend(length.to_be_bytes());
            body.extend_from_slice(message);
            let path = format!("/dragonflywall.control.v1.Control/{call}");
            let headers = [("content-type", "application/grpc"), ("te", "trailers")];
            let body = Bytes::from(body);
            let reply = connection
                .request_with_body(Method::POST, "node", &path, &headers, body)
                .await;
            reply.expect("the node responds");
        }
    }
}

async fn assert_all_serve(mesh: &Mesh, round: &str) {
    for entry in 0..mesh.vms.len() {
        for path in ["/stock/1", "/book/1"] {
            let description = format!("{round}: entry {entry} serves {path}");
            wait_until(&description, WAIT_TIMEOUT, || async move {
                let id = format!("{round}{}{entry}", path.len());
                let reply = mesh
                    .send_request(entry, &CallerRequest::post(path, &id))
                    .await;
                reply.is_ok_and(|reply| reply.status == 200)
            })
            .await;
        }
    }
}

fn counted(metrics: &str, what: &str) -> u64 {
    let name = format!("dragonflywall_unreadable_total{{what=\"{what}\"}} ");
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix(name.as_str()));
    line.map_or(0, |count| count.parse().expect("the metric is a number"))
}

/// Guards against nodes that end, or stop following a list, because of one odd entry in it.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_node_and_hide_no_other_entry() {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    let mut mesh = start_serving_users_mesh(plan).await;
    let ids =
        |mesh: &Mesh| -> Vec<Option<u32>> { mesh.vms.iter().map(|vm| vm.node().id()).collect() };
    let started = ids(&mesh);
    for (number, value) in odd_values().iter().enumerate() {
        for (table, prefix) in TABLES {
            mesh.store
                .write_row(table, &format!("{prefix}odd{number}"), value);
        }
        let order = format!("rollout/{}", SERVICES[0]);
        mesh.store.write_operator_row(&order, value);
    }
    for position in 0..mesh.vms.len() {
        announce_oddly(&mesh, position).await;
        call_oddly(&mesh, position).await;
    }
    write_routes(&mesh, 2, &users_routes(), &SERVICES);
    mesh.wait_enforced(2).await;
    assert_all_serve(&mesh, "before").await;
    assert_eq!(ids(&mesh), started, "no node has ended");
    for vm in &mesh.vms {
        let metrics = fetch_metrics(vm.node().addresses.operator).await;
        assert!(counted(&metrics, "announcement") >= 20, "{metrics}");
    }

    for position in 0..mesh.vms.len() {
        mesh.kill_node(position).await.expect("the node ends");
    }
    for position in 0..mesh.vms.len() {
        mesh.start_node(position).await.expect("the node starts");
    }
    write_routes(&mesh, 3, &users_routes(), &SERVICES);
    mesh.wait_enforced(3).await;
    mesh.wait_serving().await;
    assert_all_serve(&mesh, "after").await;
    let counts = mesh.vms.iter().map(|vm| async {
        let metrics = fetch_metrics(vm.node().addresses.operator).await;
        ["node-row", "rollout-order", "rollout-state"].map(|what| counted(&metrics, what))
    });
    let counts = testkit::concurrent::join_all(counts.collect()).await;
    let sum = |index: usize| counts.iter().map(|counts| counts[index]).sum::<u64>();
    assert!((0..3).all(|index| sum(index) > 0), "{counts:?}");
}
