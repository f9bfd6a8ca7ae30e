//! Clients on a machine.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::deployment::HOST;
use crate::endpoint::unix_ms;
use crate::http::{self, Message};
use crate::record::Record;

/// Time that a client gives a request.
const DEADLINE_MS: u64 = 2_000;

/// A new id of a client attempt.
pub fn attempt_id() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:010x}{count:06x}", unix_ms() & 0xff_ffff_ffff)
}

/// How the body of a request is sent.
#[derive(Clone, Copy)]
pub enum Framing {
    Length,
    Chunks,
}

/// Sends a request and returns the status of its answer; 0 if there was none.
pub fn send(
    outbound: SocketAddr,
    (method, path): (&str, &str),
    id: &str,
    (body, framing): (&[u8], Framing),
    record: &Record,
) -> u16 {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Dfw-Attempt-Id: {id}\r\nX-Dfw-Deadline-Ms: {DEADLINE_MS}\r\n"
    );
    let body = match framing {
        Framing::Length if body.is_empty() && method == "GET" => Vec::new(),
        Framing::Length => {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
            body.to_vec()
        }
        Framing::Chunks => {
            head.push_str("Transfer-Encoding: chunked\r\n");
            let mut chunked = format!("{:x}\r\n", body.len()).into_bytes();
            chunked.extend_from_slice(body);
            chunked.extend_from_slice(b"\r\n0\r\n\r\n");
            chunked
        }
    };
    head.push_str("\r\n");
    let timeout = Duration::from_millis(DEADLINE_MS);
    let answer = http::call(outbound, &head, &body, timeout);
    let text = |answer: &Message| {
        let seal = answer.header("x-dfw-response-seal").unwrap_or("none");
        format!("{}, seal {seal}", answer.status())
    };
    let outcome = answer.as_ref().map_or_else(ToString::to_string, text);
    record.line(&format!(
        "client at {outbound}: {id} {method} {path} {} bytes: {outcome}",
        body.len()
    ));
    answer.map_or(0, |answer| answer.status())
}

/// Sends a request without a body.
pub fn get(outbound: SocketAddr, path: &str, record: &Record) -> (String, u16) {
    let id = attempt_id();
    let status = send(outbound, ("GET", path), &id, (b"", Framing::Length), record);
    (id, status)
}
