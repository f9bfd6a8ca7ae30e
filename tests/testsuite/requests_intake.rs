//! Uploads that come in slowly.

use http::Method;
use testkit::http::wait_until;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::{LIMIT, ask, metrics, small, start_chatarras, vms_of};

fn gauge(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
    text.lines().find_map(value).unwrap_or(0.0)
}

/// Yards with bad reception send their photo bundles a few bytes at a time. Were each to hold a slot of
/// its backend server meanwhile, forty of them would keep every other yard out for as long as they
/// take.
#[tokio::test(flavor = "multi_thread")]
async fn slow_uploads_hold_no_slots() {
    // Twice the slots of both endpoints that the entry may use.
    const SLOW: usize = 80;
    let mesh = start_chatarras(small(&["bascula"], 1)).await;
    let node = mesh.vms[vms_of(&mesh, "bascula")[0]].node();
    let entry = node.addresses.caller;
    let mut slow = Vec::new();
    for number in 0..SLOW {
        let mut stream = TcpStream::connect(entry).await.expect("the node listens");
        let head = format!(
            "PUT /bundles/{number} HTTP/1.1\r\nhost: bascula\r\nx-request-id: slow-{number}\r\n\
             content-length: 100000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        stream.write_all(&[0; 20_000]).await.expect("sent");
        slow.push(stream);
    }
    wait_until("slow uploads come in", LIMIT, || async {
        let mut coming = 0.0;
        for vm in &mesh.vms {
            let text = metrics(vm.node().addresses.operator).await;
            coming += gauge(&text, "dragonflywall_uploads_coming");
            coming += gauge(&text, "dragonflywall_gate_slots_in_use");
        }
        coming >= 40.0
    })
    .await;
    for number in 0..10 {
        let path = format!("/bundles/quick-{number}");
        let reply = ask(
            entry,
            Method::PUT,
            "bascula",
            &path,
            &format!("quick-{number}"),
        )
        .await;
        assert_eq!(reply.expect("the node answers").status, 200);
    }
}
