//! Stand-in for an endpoint: it runs requests, and its heartbeats are sent by the case.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message};
use crate::record::Record;

/// A request that an endpoint has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

/// What identifies a start of an endpoint.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Unix millisecond of the start.
    pub born_ms: u64,
}

/// One incarnation of an endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub identity: Identity,
    shared: Arc<Shared>,
}

struct Shared {
    record: Record,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    leaving: AtomicBool,
    ended: AtomicBool,
    sequence: AtomicU64,
}

/// Number of requests that an endpoint says it runs concurrently.
const SLOTS: u32 = 6;
/// Interval of heartbeats, as in the settings of the nodes.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time within which a heartbeat must be acknowledged.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}

impl Endpoint {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let endpoint = Self {
            identity: Identity {
                id: id.to_owned(),
                service: service.to_owned(),
                address,
                born_ms: unix_ms(),
            },
            shared: Arc::new(Shared {
                record: record.clone(),
                runs: Mutex::default(),
                connections: Mutex::default(),
                leaving: AtomicBool::new(false),
                ended: AtomicBool::new(false),
                sequence: AtomicU64::new(0),
            }),
        };
        let born_ms = endpoint.identity.born_ms;
        record.line(&format!(
            "endpoint {id} of {service} starts at {address}, born {born_ms}"
        ));
        listener.set_nonblocking(true)?;
        let accepting = endpoint.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        Ok(endpoint)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.shared.ended.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(clone) = stream.try_clone() {
                let connections = self.shared.connections.lock();
                connections
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(clone);
            }
            let endpoint = self.clone();
            std::thread::spawn(move || endpoint.serve(stream));
        }
    }

    /// Ends without a word, as in a crash. The address is free afterwards.
    pub fn crash(&self) {
        self.shared.ended.store(true, Ordering::Release);
        let connections = self.shared.connections.lock();
        for stream in connections.unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        std::thread::sleep(Duration::from_millis(20));
        self.shared
            .record
            .line(&format!("endpoint {} ends", self.identity.id));
    }

    /// From now on it answers health checks as one that leaves.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Release);
    }

    pub fn runs(&self) -> Vec<Run> {
        let runs = self.shared.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let response = self.answer(&request);
            if connection.write(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let own_id = self.identity.id.as_str();
        let (method, target) = request.method_and_target();
        let instance = ("X-Dfw-Instance", own_id);
        if target == "/healthz" {
            let leaving = self.shared.leaving.load(Ordering::Acquire);
            let status = if leaving {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return http::response(status, &[instance], b"");
        }
        let Some(id) = request.header("x-dfw-attempt-id") else {
            let headers = [("X-Dfw-Not-Executed", "1")];
            return http::response("400 Bad Request", &headers, b"");
        };
        let expected = request.header("x-dfw-expected-instance");
        if expected.is_some_and(|expected| expected != own_id) {
            let headers = [instance, ("X-Dfw-Attempt-Id", id)];
            return http::response("421 Misdirected Request", &headers, b"");
        }
        self.record_run(request, method, target, id);
        let work = target.split_once("work_ms=").map_or("0", |(_, ms)| ms);
        std::thread::sleep(Duration::from_millis(work.parse().unwrap_or(0)));
        let seal = format!("{own_id}.{id}");
        let headers = [
            ("X-Dfw-Attempt-Id", id),
            ("X-Dfw-Response-Seal", seal.as_str()),
        ];
        http::response("200 OK", &headers, b"done\n")
    }

    fn record_run(&self, request: &Message, method: &str, target: &str, id: &str) {
        let run = Run {
            at_ms: self.shared.record.now_ms(),
            id: id.to_owned(),
            method: method.to_owned(),
            target: target.to_owned(),
            body: request.body.clone(),
        };
        let name = format!("{} born {}", self.identity.id, self.identity.born_ms);
        let len = run.body.len();
        self.shared.record.line(&format!(
            "endpoint {name} runs {id}: {method} {target}, {len} bytes of body"
        ));
        let runs = self.shared.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// The next heartbeat, to be sent now or later.
    pub fn next_beat(&self, state: &str) -> Beat {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let Identity {
            service,
            address,
            born_ms,
            ..
        } = &self.identity;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"aveiro-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemaining\":\"0ms\",\"seq\":{sequence},\"born\":{born_ms}}}"
        );
        self.beat("PUT", body)
    }

    /// The notice that it is gone.
    pub fn departure(&self) -> Beat {
        self.beat("DELETE", format!("{{\"born\":{}}}", self.identity.born_ms))
    }

    fn beat(&self, method: &'static str, body: String) -> Beat {
        Beat {
            record: self.shared.record.clone(),
            method,
            id: self.identity.id.clone(),
            body,
        }
    }

    /// Sends heartbeats to `control` until it leaves or ends.
    pub fn send_beats(&self, control: SocketAddr) {
        let endpoint = self.clone();
        std::thread::spawn(move || {
            loop {
                let shared = &endpoint.shared;
                let has_ended = shared.ended.load(Ordering::Acquire);
                if has_ended || shared.leaving.load(Ordering::Acquire) {
                    return;
                }
                endpoint.next_beat("ready").send(control);
                std::thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// A call to the `control` address.
#[derive(Clone)]
pub struct Beat {
    record: Record,
    method: &'static str,
    id: String,
    body: String,
}

impl Beat {
    /// A heartbeat of another writer.
    pub fn foreign(id: &str, body: String, record: &Record) -> Self {
        Self {
            record: record.clone(),
            method: "PUT",
            id: id.to_owned(),
            body,
        }
    }

    /// Sends it and returns the status of the answer; 0 if there was none.
    pub fn send(&self, control: SocketAddr) -> u16 {
        let Self {
            method, id, body, ..
        } = self;
        let head = format!(
            "{method} /-/instances/{id} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let answer = http::call(control, &head, body.as_bytes(), ACKNOWLEDGE_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!(
            "{method} /-/instances/{id} {body} to {control}: {status}"
        ));
        status
    }
}
