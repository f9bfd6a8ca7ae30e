//! Peers that fall silent within an answer.

use std::net::SocketAddr;

use dragonflywall::core::version::{Digest, Stamp, Version};
use dragonflywall::peer::client::{DialOptions, PeerClient};
use http_body_util::{BodyExt, StreamBody};
use testkit::http::{Body, build_response, serve};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::support::WAIT_TIMEOUT;

/// A body that never ends and of which nothing arrives.
fn silent_body() -> Body {
    StreamBody::new(tokio_stream::pending()).boxed_unsync()
}

/// A peer that sends the head of an answer and nothing more.
async fn start_silent_peer(stop: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(serve(listener, stop.clone(), |_| async {
        let mut response = build_response(http::StatusCode::OK, "").map(|_| silent_body());
        let grpc = http::HeaderValue::from_static("application/grpc");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, grpc);
        Some(response)
    }));
    address
}

/// Guards against calls that await the rest of an answer for good, and with it a node that follows a silent lead.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_a_peer_that_falls_silent_within_its_answer_end() {
    let stop = CancellationToken::new();
    let address = start_silent_peer(&stop).await;
    let client = PeerClient::new(address, &DialOptions::default());
    let mut client = client.expect("the address is valid");
    let stamp = Stamp {
        version: Version(1),
        digest: Digest::compute(b"configuration"),
    };
    let hint = tokio::time::timeout(WAIT_TIMEOUT, client.hint(stamp)).await;
    assert!(hint.expect("the call ends").is_err());
    let fetch = tokio::time::timeout(WAIT_TIMEOUT, client.fetch(Version(0), Version(1))).await;
    assert!(fetch.expect("the call ends").is_err());
    stop.cancel();
}
