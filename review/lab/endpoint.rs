//! An endpoint as a process of its own.
//!
//! `lab endpoint APP_ADDRESS CONTROL_ADDRESS SERVICE ID ZONE HEARTBEAT_MS SLOTS`
//!
//! It says ready to the node on its machine every heartbeat and runs requests, each on its own thread. The path of a
//! request may end in `/work-N/first-N/size-N`: milliseconds until its answer begins, milliseconds from then until its
//! end, and the length of its body, of which half is sent when it begins. Each line on its standard output is an event
//! with its Unix millisecond. Commands on its standard input: `leave` (DELETE, and requests are still run), `late MS`
//! (heartbeats from now on arrive that much later), `early close` and `early keep` (two of five long
//! requests are rejected before their body is in, and then the connection is closed, or kept and read on later),
//! `early off`, `quit`.

use std::io::BufRead;

use super::*;

const EARLY_OFF: u64 = 0;
const EARLY_CLOSE: u64 = 1;
const EARLY_KEEP: u64 = 2;
/// Bodies from this length on are long.
const LONG_BYTES: u64 = 100_000;
/// How long the endpoint goes on reading before it closes a connection on which it has answered early.
const LINGER: Duration = Duration::from_millis(100);
/// How much later it reads on if it keeps the connection.
const READ_ON_AFTER: Duration = Duration::from_millis(300);

struct Shared {
    id: String,
    service: String,
    address: String,
    control: SocketAddr,
    zone: String,
    slots: u32,
    born: u64,
    seq: AtomicU64,
    leaving: AtomicBool,
    late_ms: AtomicU64,
    early: AtomicU64,
    long_requests: AtomicU64,
    running: AtomicU64,
}

fn event(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_ms());
    let _ = out.flush();
}

pub fn run(arguments: &[String]) {
    let [app, control, service, id, zone, heartbeat_ms, slots] = arguments else {
        eprintln!("usage: lab endpoint APP CONTROL SERVICE ID ZONE HEARTBEAT_MS SLOTS");
        std::process::exit(2);
    };
    let listener = TcpListener::bind(app).expect("the address of the endpoint is free");
    let shared = Arc::new(Shared {
        id: id.clone(),
        service: service.clone(),
        address: app.clone(),
        control: control.parse().expect("an address"),
        zone: zone.clone(),
        slots: slots.parse().expect("a number"),
        born: unix_ms(),
        seq: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        late_ms: AtomicU64::new(0),
        early: AtomicU64::new(EARLY_OFF),
        long_requests: AtomicU64::new(0),
        running: AtomicU64::new(0),
    });
    let heartbeat = Duration::from_millis(heartbeat_ms.parse().expect("a number"));
    let beating = Arc::clone(&shared);
    thread::spawn(move || beat_always(&beating, heartbeat));
    let commands = Arc::clone(&shared);
    thread::spawn(move || obey(&commands));
    event(&format!("started {id}"));
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&shared);
        thread::spawn(move || serve(stream, &shared));
    }
}

fn beat_always(shared: &Arc<Shared>, heartbeat: Duration) {
    while !shared.leaving.load(Ordering::SeqCst) {
        let seq = shared.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let late = Duration::from_millis(shared.late_ms.load(Ordering::SeqCst));
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":{seq},\"born\":{}}}",
            shared.service, shared.address, shared.zone, shared.slots, shared.born
        );
        let beating = Arc::clone(shared);
        thread::spawn(move || {
            if !late.is_zero() {
                event(&format!(
                    "sends ready seq={seq}, {} ms on the way",
                    late.as_millis()
                ));
                thread::sleep(late);
            }
            let status = http::call(
                beating.control,
                "PUT",
                &format!("/-/instances/{}", beating.id),
                &body,
            );
            if !late.is_zero() || seq == 1 {
                event(&format!("ready seq={seq} arrived: {status:?}"));
            }
        });
        thread::sleep(heartbeat);
    }
}

fn obey(shared: &Shared) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match line.split_once(' ').unwrap_or((&line, "")) {
            ("leave", _) => {
                shared.leaving.store(true, Ordering::SeqCst);
                let path = format!("/-/instances/{}", shared.id);
                let body = format!("{{\"born\":{}}}", shared.born);
                let status = http::call(shared.control, "DELETE", &path, &body);
                event(&format!("leaving: DELETE answered {status:?}"));
            }
            ("early", how) => {
                let early = match how {
                    "close" => EARLY_CLOSE,
                    "keep" => EARLY_KEEP,
                    _ => EARLY_OFF,
                };
                shared.early.store(early, Ordering::SeqCst);
            }
            ("late", ms) => shared
                .late_ms
                .store(ms.parse().unwrap_or(0), Ordering::SeqCst),
            _ => break,
        }
    }
    event("ends");
    std::process::exit(0);
}

pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(7, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*byte))
    })
}

fn number(path: &str, name: &str) -> u64 {
    let mut words = path.split('/');
    let found = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('-'));
    found.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(message)) = http::read_head(&mut stream, &mut buffer) {
        let is_rejected = is_rejected_early(&message, shared);
        if is_rejected && reject_early(&mut stream, &message, shared).is_none() {
            return;
        }
        let Ok((body, rest)) = http::read_body(&mut stream, &message) else {
            return;
        };
        buffer = rest;
        if is_rejected {
            event(&format!(
                "has read {} bytes of the body that it rejected",
                body.len()
            ));
            continue;
        }
        if respond(&mut stream, &message, &body, shared).is_err() {
            return;
        }
    }
}

fn is_rejected_early(message: &http::Message, shared: &Shared) -> bool {
    let length = message
        .header("content-length")
        .and_then(|length| length.parse::<u64>().ok());
    let is_on = shared.early.load(Ordering::SeqCst) != EARLY_OFF;
    let is_long = length.is_some_and(|length| length >= LONG_BYTES);
    is_on && is_long && shared.long_requests.fetch_add(1, Ordering::SeqCst) % 5 < 2
}

/// Answers with a failure before the body is in. `None` if the connection is closed afterwards.
fn reject_early(stream: &mut TcpStream, message: &http::Message, shared: &Shared) -> Option<()> {
    let id = message.header("x-dfw-attempt-id").unwrap_or("");
    let closes = shared.early.load(Ordering::SeqCst) == EARLY_CLOSE;
    event(&format!(
        "rejects {id} with {} bytes of its body in",
        message.rest.len()
    ));
    let close = if closes { "Connection: close\r\n" } else { "" };
    let text = format!(
        "HTTP/1.1 500 X\r\nX-Dfw-Attempt-Id: {id}\r\nX-Dfw-Response-Seal: {id}.e\r\n{close}Content-Length: 8\r\n\r\nrejected"
    );
    stream.write_all(text.as_bytes()).ok()?;
    if !closes {
        thread::sleep(READ_ON_AFTER);
        return Some(());
    }
    let until = Instant::now() + LINGER;
    let mut chunk = [0; 16_384];
    while Instant::now() < until {
        stream
            .set_read_timeout(Some(Duration::from_millis(20)))
            .ok()?;
        let _ = stream.read(&mut chunk);
    }
    event(&format!("closes the connection of {id}"));
    None
}

fn respond(
    stream: &mut TcpStream,
    message: &http::Message,
    received: &[u8],
    shared: &Shared,
) -> std::io::Result<()> {
    let path = message
        .first_line
        .split(' ')
        .nth(1)
        .unwrap_or("")
        .to_owned();
    let id = message.header("x-dfw-attempt-id").unwrap_or("").to_owned();
    let leaving = shared.leaving.load(Ordering::SeqCst);
    if path == "/healthz" {
        let status = if leaving { 503 } else { 200 };
        event(&format!("health check answered {status}"));
        let head = format!(
            "HTTP/1.1 {status} X\r\nX-Dfw-Instance: {}\r\nContent-Length: 0\r\n\r\n",
            shared.id
        );
        return stream.write_all(head.as_bytes());
    }
    if message
        .header("x-dfw-expected-instance")
        .is_some_and(|expected| expected != shared.id)
    {
        let head = format!(
            "HTTP/1.1 421 X\r\nX-Dfw-Not-Executed: 1\r\nX-Dfw-Instance: {}\r\nX-Dfw-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
            shared.id
        );
        return stream.write_all(head.as_bytes());
    }
    event(&format!(
        "runs {id} body {} bytes {:x}",
        received.len(),
        digest(received)
    ));
    shared.running.fetch_add(1, Ordering::SeqCst);
    let size = number(&path, "size").max(8) as usize;
    let body = vec![b'x'; size];
    thread::sleep(Duration::from_millis(number(&path, "work")));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Dfw-Attempt-Id: {id}\r\nX-Dfw-Response-Seal: {id}.{size}\r\nContent-Length: {size}\r\n\r\n"
    );
    let result = (|| {
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body[..size / 2])?;
        thread::sleep(Duration::from_millis(number(&path, "first")));
        stream.write_all(&body[size / 2..])
    })();
    shared.running.fetch_sub(1, Ordering::SeqCst);
    event(&format!(
        "ended {id} {}",
        if result.is_ok() { "whole" } else { "broken" }
    ));
    result
}
