//! Stand-ins for the scripts under `review/`: the platform's store, endpoints, clients, and a small deployment of node
//! processes. Uses the standard library alone, so that `rustc` builds it.
//!
//! `lab endpoint ...` runs one endpoint as a process of its own; `lab CASE` plays one case. A case ends with 0 if the
//! rule held, 1 if it was broken, and 2 if it could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;
mod deployment;
mod endpoint;
mod http;
mod json;
mod store;

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let name = arguments.first().map(String::as_str).unwrap_or("");
    if name == "endpoint" {
        return endpoint::run(&arguments[1..]);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::play(name, trouble));
}
