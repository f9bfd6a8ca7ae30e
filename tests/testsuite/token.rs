//! Authentication by the mesh token at the peer and operator listeners.

use std::net::SocketAddr;
use std::path::Path;

use http::Method;
use testkit::backend::{Backend, Behaviour};
use testkit::http::{Http2Connection, request};
use testkit::platform::Platform;
use testkit::process::NodeProcess;

use crate::support::{PROGRAM, VERDICT_HEADER, run_program};

const SECRET: &str = "correct-horse-battery";
const OLD_SECRET: &str = "previous-horse-battery";

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

async fn start_node(platform: &Platform, backend: &Backend) -> NodeProcess {
    let arguments = [
        "node".to_owned(),
        format!("--platform={}", platform.url()),
        "--region=cantabrico".to_owned(),
        "--data-centre=gijon".to_owned(),
        "--service=cobros".to_owned(),
        format!("--backend-server={}", backend.address),
        format!("--mesh-token={SECRET},{OLD_SECRET}"),
        "--log-level=error".to_owned(),
    ];
    let node = NodeProcess::start(Path::new(PROGRAM), &arguments).await;
    node.expect("the node starts")
}

/// Guards against a process outside the mesh that sends a request to the peer listener with the headers of another
/// node, and so bypasses admission at the node that callers connect to, or that uses the operator listener. Both
/// secrets of a token rotation are accepted. `/ready` needs no token, as the system that replaces VMs has none.
#[tokio::test]
async fn requests_without_the_mesh_token_are_refused() {
    let platform = Platform::start(any_port())
        .await
        .expect("the platform starts");
    let backend = Backend::start(any_port(), "cobros-0", Behaviour::default()).await;
    let backend = backend.expect("the backend server starts");
    let node = start_node(&platform, &backend).await;
    let operator = node.addresses.operator;

    let forged_headers = [
        ("x-dragonflywall-data", "1"),
        ("x-dragonflywall-service", "cobros"),
    ];
    let peer = node.addresses.peer;
    let client = Http2Connection::connect(peer)
        .await
        .expect("the peer listener accepts connections");
    let reply = client.request_with_headers(Method::POST, "cobros", "/payments", &forged_headers);
    let reply = reply.await.expect("the node responds");
    assert_eq!(reply.status, 401);
    assert_eq!(reply.header(VERDICT_HEADER), "not-run");
    assert!(backend.record().runs.is_empty());

    for path in ["/status", "/metrics", "/backend-server"] {
        let reply = request(operator, Method::GET, "node", path, &[], "").await;
        assert_eq!(reply.expect("the node responds").status, 401, "{path}");
    }
    let wrong_token = [("x-dragonflywall-token", "wrong-horse-battery")];
    let reply = request(operator, Method::GET, "node", "/status", &wrong_token, "").await;
    assert_eq!(reply.expect("the node responds").status, 401);
    for secret in [SECRET, OLD_SECRET] {
        let headers = [("x-dragonflywall-token", secret)];
        let reply = request(operator, Method::GET, "node", "/status", &headers, "").await;
        assert_eq!(reply.expect("the node responds").status, 200, "{secret}");
    }
    let reply = request(operator, Method::GET, "node", "/ready", &[], "").await;
    assert_eq!(
        reply.expect("the node responds").status,
        503,
        "no token is needed, but the node is not ready"
    );
}

/// Guards against a node that starts without a token although its listeners are reachable from the network.
#[tokio::test]
async fn non_loopback_listeners_require_a_token() {
    let arguments = [
        "node",
        "--platform=http://127.0.0.1:1",
        "--region=norte",
        "--data-centre=aveiro-a",
        "--peer-listen=0.0.0.0:0",
    ];
    let output = run_program(&arguments).await;
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("--mesh-token (DRAGONFLYWALL_MESH_TOKEN): is required"),
        "{text}"
    );
}
