//! Request bodies arrive at backend servers as callers sent them, whatever the method, the framing and the way.

use bytes::Bytes;
use http::Method;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use testkit::http::Http2Connection;
use testkit::raw::RawConnection;
use testkit::users::backend::Behaviour;
use testkit::users::configuration::DEFAULT_HOST;
use testkit::users::mesh::{Mesh, Plan, REQUEST_ID};

use crate::support::{SERVICES, start_serving_users_mesh};

/// Number of requests that are played, and the seed that chooses them.
const CASES: u32 = 300;
const SEED: [u8; 32] = [7; 32];

const METHODS: [&str; 8] = [
    "GET", "HEAD", "DELETE", "OPTIONS", "POST", "PUT", "PATCH", "SEARCH",
];

/// Lengths of bodies: none, short ones, and around the limits of buffers on the way.
const LENGTHS: [usize; 9] = [0, 1, 25, 8_191, 65_535, 65_537, 196_607, 196_609, 400_000];

/// How a caller marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks { chunk_bytes: usize },
    ChunksWithTrailers,
    Http2WithLength,
    Http2,
}

/// How a request gets to its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// The entry node is that of the backend server.
    OwnNode,
    OtherNode,
    /// The first backend server rejects the request, after it has read the body or before.
    Retry {
        sheds_early: bool,
    },
}

#[derive(Clone, Debug)]
struct Sent {
    method: Method,
    framing: Framing,
    body_bytes: usize,
    way: Way,
    /// Whether the caller sends a body only after `100 Continue`.
    expects_continue: bool,
}

fn requests() -> impl Strategy<Value = Sent> {
    let framing = prop_oneof![
        Just(Framing::Length),
        prop::sample::select(&[1_000, 70_000][..])
            .prop_map(|chunk_bytes| Framing::Chunks { chunk_bytes }),
        Just(Framing::ChunksWithTrailers),
        Just(Framing::Http2WithLength),
        Just(Framing::Http2),
    ];
    let way = prop_oneof![
        Just(Way::OwnNode),
        Just(Way::OtherNode),
        any::<bool>().prop_map(|sheds_early| Way::Retry { sheds_early }),
    ];
    let request = (
        prop::sample::select(&METHODS[..]),
        framing,
        prop::sample::select(&LENGTHS[..]),
        way,
        prop::bool::weighted(0.2),
    );
    request.prop_map(
        |(method, framing, body_bytes, way, expects_continue)| Sent {
            method: method.parse().expect("a method"),
            framing,
            body_bytes,
            way,
            expects_continue,
        },
    )
}

fn body_of(sent: &Sent) -> Vec<u8> {
    let lines = (0..).flat_map(|line| format!("line {line}\r\n\r\n").into_bytes());
    lines.take(sent.body_bytes).collect()
}

fn chunks(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        encoded.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        encoded.extend(chunk);
        encoded.extend(b"\r\n");
    }
    encoded
}

/// Sends a request on an HTTP/1 connection of its own, with another request behind it. Returns both statuses.
async fn send_http1(mesh: &Mesh, entry: usize, sent: &Sent, path: &str, id: &str) -> [u16; 2] {
    let body = body_of(sent);
    let (framing, encoded) = match sent.framing {
        Framing::Chunks { chunk_bytes } => {
            let mut encoded = chunks(&body, chunk_bytes);
            encoded.extend(b"0\r\n\r\n");
            ("Transfer-Encoding: chunked".to_owned(), encoded)
        }
        Framing::ChunksWithTrailers => {
            let mut encoded = chunks(&body, 5_000);
            encoded.extend(b"0\r\nX-Checksum: 7\r\n\r\n");
            let framing = "Transfer-Encoding: chunked\r\nTrailer: X-Checksum";
            (framing.to_owned(), encoded)
        }
        Framing::Length | Framing::Http2WithLength | Framing::Http2 => {
            (format!("Content-Length: {}", body.len()), body)
        }
    };
    let expect = match sent.expects_continue && !encoded.is_empty() {
        true => "Expect: 100-continue\r\n",
        false => "",
    };
    let head = |method: &Method, path: &str, id: &str| {
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {DEFAULT_HOST}\r\n{REQUEST_ID}: {id}\r\nX-Dfw-Deadline-Ms: 20000\r\n"
        )
    };
    let address = mesh.vms[entry].node().addresses.caller;
    let connection = RawConnection::connect(address).await;
    let mut connection = connection.expect("the node accepts connections");
    let first = format!("{}{expect}{framing}\r\n\r\n", head(&sent.method, path, id));
    connection.send(first).await.expect("the node reads");
    if !expect.is_empty() {
        let interim = connection.read_head().await;
        assert_eq!(interim.expect("the node answers").status, 100, "{sent:?}");
    }
    connection.send(encoded).await.expect("the node reads");
    let behind = head(
        &Method::GET,
        "/stock/behind?bytes=10",
        &format!("{id}-behind"),
    );
    let behind = connection.send(behind + "\r\n").await;
    behind.expect("the node reads");
    let first = match sent.method == Method::HEAD {
        true => connection.read_head().await,
        false => connection.read_response().await,
    };
    let first = first.unwrap_or_else(|error| panic!("{sent:?}: {error}"));
    let second = connection.read_response().await;
    let second = second.unwrap_or_else(|error| panic!("behind {sent:?}: {error}"));
    [first.status, second.status]
}

async fn send_http2(mesh: &Mesh, entry: usize, sent: &Sent, path: &str, id: &str) -> u16 {
    let address = mesh.vms[entry].node().addresses.caller;
    let connection = Http2Connection::connect(address).await;
    let connection = connection.expect("the node accepts connections");
    let headers = [(REQUEST_ID, id), ("x-dfw-deadline-ms", "20000")];
    let body = Bytes::from(body_of(sent));
    let method = sent.method.clone();
    let reply = match sent.framing {
        Framing::Http2 => {
            let reply =
                connection.request_without_length(method, DEFAULT_HOST, path, &headers, body);
            reply.await
        }
        _ => {
            let reply = connection.request_with_body(method, DEFAULT_HOST, path, &headers, body);
            reply.await
        }
    };
    let reply = reply.unwrap_or_else(|error| panic!("{sent:?}: {error}"));
    reply.status.as_u16()
}

/// Digests of the bodies with which a request ran.
fn bodies_run(mesh: &Mesh, id: &str) -> Vec<String> {
    let backends = mesh.vms.iter().map(|vm| vm.backend());
    let runs = backends.filter_map(|backend| backend.record().runs.remove(id));
    runs.flatten().map(|run| run.body_digest).collect()
}

/// VMs of the first service, and one of the second.
struct Places {
    first: usize,
    second: usize,
    other: usize,
}

impl Places {
    fn of(mesh: &Mesh) -> Self {
        let of_service = mesh.vms_of(SERVICES[0]);
        Self {
            first: of_service[0],
            second: of_service[1],
            other: mesh.vms_of(SERVICES[1])[0],
        }
    }

    /// Has the first backend server reject all requests on the way with a retry, and otherwise the second one, so that the
    /// first one runs them.
    fn entry_for(&self, mesh: &Mesh, way: Way) -> usize {
        let sheds = |sheds_early| Behaviour {
            sheds_percent: 100,
            sheds_early,
            ..Behaviour::default()
        };
        let (first, second, entry) = match way {
            Way::OwnNode => (Behaviour::default(), sheds(true), self.first),
            Way::OtherNode => (Behaviour::default(), Behaviour::default(), self.other),
            Way::Retry { sheds_early } => (sheds(sheds_early), Behaviour::default(), self.first),
        };
        mesh.vms[self.first].backend().set_behaviour(first);
        mesh.vms[self.second].backend().set_behaviour(second);
        entry
    }
}

/// Guards against requests that run without their body, or with another one, because its framing is lost on the way.
#[tokio::test(flavor = "multi_thread")]
async fn each_body_arrives_as_it_was_sent() {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.vms_per_service = 2;
    let mesh = start_serving_users_mesh(plan).await;
    let places = Places::of(&mesh);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut served = 0;
    for number in 0..CASES {
        let sent = requests().new_tree(&mut runner);
        let sent = sent.expect("the strategy has values").current();
        let entry = places.entry_for(&mesh, sent.way);
        let (path, id) = (format!("/stock/{number}"), format!("body-{number}"));
        let status = match sent.framing {
            Framing::Http2 | Framing::Http2WithLength => {
                send_http2(&mesh, entry, &sent, &path, &id).await
            }
            _ => {
                let [status, behind] = send_http1(&mesh, entry, &sent, &path, &id).await;
                assert!(
                    [200, 429, 503].contains(&behind),
                    "{behind} behind {sent:?}"
                );
                status
            }
        };
        let digest = blake3::hash(&body_of(&sent)).to_hex().to_string();
        let runs = bodies_run(&mesh, &id);
        assert!(runs.iter().all(|run| *run == digest), "{status} {sent:?}");
        served += usize::from(status == 200);
        assert_eq!(status == 200, !runs.is_empty(), "{status} {sent:?}");
    }
    println!("{served} of {CASES} requests were served");
}

/// Guards against a body in chunks that breaks off and runs as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_in_chunks_that_breaks_off_is_not_run() {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    let mesh = start_serving_users_mesh(plan).await;
    for (number, method) in ["GET", "POST"].into_iter().enumerate() {
        for (entry, body_bytes) in [(0, 25), (0, 400_000), (1, 25), (1, 400_000)] {
            let id = format!("broken-{number}-{entry}-{body_bytes}");
            let address = mesh.vms[entry].node().addresses.caller;
            let connection = RawConnection::connect(address).await;
            let mut connection = connection.expect("the node accepts connections");
            let head = format!(
                "{method} /stock/{id} HTTP/1.1\r\nHost: {DEFAULT_HOST}\r\n{REQUEST_ID}: {id}\r\nX-Dfw-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let body = chunks(&vec![b'x'; body_bytes], 1_000);
            connection.send(head).await.expect("the node reads");
            connection.send(body).await.expect("the node reads");
            connection.send("10\r\nhalf").await.expect("the node reads");
            drop(connection);
            let whole = Sent {
                method: Method::GET,
                framing: Framing::Chunks { chunk_bytes: 10 },
                body_bytes,
                way: Way::OwnNode,
                expects_continue: false,
            };
            let path = format!("/stock/whole-{id}");
            let statuses = send_http1(&mesh, entry, &whole, &path, &format!("whole-{id}")).await;
            assert_eq!(statuses, [200, 200]);
            assert_eq!(bodies_run(&mesh, &id), Vec::<String>::new(), "{id}");
        }
    }
}
