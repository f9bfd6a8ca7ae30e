//! Stand-in for the platform's metadata store: rows, transactions and the feed, without limits or faults.

use super::json::{quoted, Value};
use super::*;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<Key, (String, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            rows: Arc::default(),
        };
        let rows = Arc::clone(&store.rows);
        let started = Instant::now();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let rows = Arc::clone(&rows);
                thread::spawn(move || serve(stream, &rows, started));
            }
        });
        Ok(store)
    }

    /// Writes a row as another writer than a node does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert(
            (table.into(), String::new(), key.into()),
            (json::base64(value), ver),
        );
        changed.notify_all();
    }

    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.0.lock().unwrap();
        rows.rows
            .keys()
            .filter(|key| key.0 == table)
            .map(|key| key.2.clone())
            .collect()
    }
}

fn serve(mut stream: TcpStream, rows: &(Mutex<Rows>, Condvar), started: Instant) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(message)) = http::read_head(&mut stream, &mut buffer) {
        let Ok((body, rest)) = http::read_body(&mut stream, &message) else {
            return;
        };
        buffer = rest;
        thread::sleep(Duration::from_millis(4));
        let mut words = message.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (status, reply) = handle(rows, started, method, target, &body);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{reply}",
            reply.len()
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn row_text(key: &Key, row: &(String, u64)) -> String {
    format!(
        "{{\"tableName\":{},\"part\":{},\"key\":{},\"value\":{},\"ver\":{}}}",
        quoted(&key.0),
        quoted(&key.1),
        quoted(&key.2),
        quoted(&row.0),
        row.1
    )
}

fn handle(
    rows: &(Mutex<Rows>, Condvar),
    started: Instant,
    method: &str,
    target: &str,
    body: &[u8],
) -> (u16, String) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query: BTreeMap<&str, String> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name, decoded(value)))
        .collect();
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let now = || format!("\"{}ms\"", started.elapsed().as_millis());
    match (method, path) {
        ("POST", "/-/rows-tx") => transact(rows, body, &now()),
        ("GET", "/-/rows-get") => {
            let rows = rows.0.lock().unwrap();
            let limit = text("limit").parse().unwrap_or(500_usize).min(500);
            let (table, part, from, to) =
                (text("tableName"), text("part"), text("from"), text("to"));
            let in_range = |key: &Key| {
                key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
            };
            let found: Vec<String> = rows
                .rows
                .iter()
                .filter(|(key, _)| in_range(key))
                .map(|(key, row)| row_text(key, row))
                .collect();
            let has_more = found.len() > limit;
            let found = found.into_iter().take(limit).collect::<Vec<_>>().join(",");
            let reply = format!(
                "{{\"rows\":[{found}],\"hasMore\":{has_more},\"ver\":{},\"now\":{}}}",
                rows.ver,
                now()
            );
            (200, reply)
        }
        ("GET", "/-/rows-feed") => {
            let after: u64 = text("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            let table = text("tableName");
            let (rows, changed) = rows;
            let mut rows = rows.lock().unwrap();
            loop {
                let mut found: Vec<(&Key, &(String, u64))> = rows
                    .rows
                    .iter()
                    .filter(|(key, row)| key.0 == table && row.1 > after)
                    .collect();
                found.sort_by_key(|(_, row)| row.1);
                let left = until.saturating_duration_since(Instant::now());
                if !found.is_empty() || left.is_zero() {
                    let found: Vec<String> =
                        found.iter().map(|(key, row)| row_text(key, row)).collect();
                    let reply = format!(
                        "{{\"rows\":[{}],\"ver\":{},\"now\":{}}}",
                        found.join(","),
                        rows.ver,
                        now()
                    );
                    return (200, reply);
                }
                rows = changed.wait_timeout(rows, left).unwrap().0;
            }
        }
        _ => (404, "{}".to_owned()),
    }
}

fn key_of(entry: &Value) -> Key {
    let field = |name: &str| {
        entry
            .get(name)
            .and_then(Value::text)
            .unwrap_or("")
            .to_owned()
    };
    (field("tableName"), field("part"), field("key"))
}

fn transact(rows: &(Mutex<Rows>, Condvar), body: &[u8], now: &str) -> (u16, String) {
    let Some(call) = json::parse(&String::from_utf8_lossy(body)) else {
        return (400, "{}".to_owned());
    };
    let empty = Value::List(Vec::new());
    let entries = |name: &str| call.get(name).unwrap_or(&empty).list().to_vec();
    let (rows, changed) = rows;
    let mut rows = rows.lock().unwrap();
    let conditions = entries("expectedRev");
    let holds = |entry: &Value| {
        let found = rows.rows.get(&key_of(entry)).map_or(0, |row| row.1);
        entry.get("ver").and_then(Value::number).unwrap_or(0) == found
    };
    if !conditions.iter().all(holds) {
        let found = conditions.iter().map(key_of);
        let found = found.filter_map(|key| rows.rows.get(&key).map(|row| row_text(&key, row)));
        let found = found.collect::<Vec<_>>().join(",");
        return (412, format!("{{\"rows\":[{found}],\"now\":{now}}}"));
    }
    rows.ver += 1;
    let ver = rows.ver;
    for entry in entries("writes") {
        let value = entry
            .get("value")
            .and_then(Value::text)
            .unwrap_or("")
            .to_owned();
        rows.rows.insert(key_of(&entry), (value, ver));
    }
    for entry in entries("remove") {
        rows.rows.remove(&key_of(&entry));
    }
    changed.notify_all();
    (200, format!("{{\"ver\":{ver},\"now\":{now}}}"))
}
