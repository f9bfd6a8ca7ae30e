//! Stand-in for the platform's store: rows, conditional transactions and the feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::{self, Value};

/// Table, part and key.
type RowName = (String, String, String);

#[derive(Default)]
struct State {
    ver: u64,
    /// Value in base64 and version of each row.
    rows: BTreeMap<RowName, (String, u64)>,
    /// All changes, with `None` for a row that was dropped.
    changes: Vec<(RowName, Option<String>, u64)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("the listener is bound");
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&shared);
        http::serve(listener, move |stream| serving.serve(stream));
        Self { address, shared }
    }

    /// Writes a row of the table `op`, as the operator does. The return is the acknowledgement.
    pub fn write_operator_row(&self, key: &str, value: &str) {
        let name = ("op".to_owned(), String::new(), key.to_owned());
        let mut state = self.shared.lock();
        state.ver += 1;
        state.put(name, Some(json::base64(value.as_bytes())));
        self.shared.changed.notify_all();
    }
}

impl State {
    fn put(&mut self, name: RowName, value: Option<String>) {
        let ver = self.ver;
        match &value {
            Some(value) => self.rows.insert(name.clone(), (value.clone(), ver)),
            None => self.rows.remove(&name),
        };
        self.changes.push((name, value, ver));
    }

    /// Applies a transaction, or returns the current rows of its conditions.
    fn transact(&mut self, transaction: &Value) -> Result<(), String> {
        let name_of = |row: &Value| {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("tableName"), text("part"), text("key"))
        };
        let conditions = transaction.get("expectedRev").items();
        let ver_of = |name: &RowName| self.rows.get(name).map_or(0, |(_, ver)| *ver);
        let holds = |row: &Value| ver_of(&name_of(row)) == row.get("ver").number();
        if !conditions.iter().all(holds) {
            let known = conditions.iter().map(name_of);
            let rows = known.filter_map(|name| {
                let (value, ver) = self.rows.get(&name)?;
                Some(row_text(&name, Some(value), *ver))
            });
            return Err(rows.collect::<Vec<_>>().join(","));
        }
        self.ver += 1;
        for row in transaction.get("writes").items() {
            self.put(name_of(row), Some(row.get("value").text().to_owned()));
        }
        for row in transaction.get("remove").items() {
            self.put(name_of(row), None);
        }
        Ok(())
    }
}

fn row_text(name: &RowName, value: Option<&String>, ver: u64) -> String {
    let (table, part, key) = name;
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"tableName\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{ver},{content}}}"
    )
}

fn query_of<'a>(target: &'a str, name: &str) -> &'a str {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(known, _)| *known == name);
    found.map_or("", |(_, value)| value)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            let response = http::response(status, &headers, body.as_bytes());
            if connection.write(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (method, target) = request.method_and_target();
        match (method, target.split('?').next().unwrap_or("")) {
            ("POST", "/-/rows-tx") => self.transact(&request.body),
            ("GET", "/-/rows-get") => ("200 OK", self.get(target)),
            ("GET", "/-/rows-feed") => ("200 OK", self.feed(target)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(transaction) = json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut state = self.lock();
        let outcome = state.transact(&transaction);
        let (ver, now) = (state.ver, self.now());
        self.changed.notify_all();
        match outcome {
            Ok(()) => ("200 OK", format!("{{\"ver\":{ver},\"now\":\"{now}\"}}")),
            Err(rows) => (
                "412 Precondition Failed",
                format!("{{\"rows\":[{rows}],\"now\":\"{now}\"}}"),
            ),
        }
    }

    fn get(&self, target: &str) -> String {
        let (table, part) = (query_of(target, "tableName"), query_of(target, "part"));
        let (from, to) = (query_of(target, "from"), query_of(target, "to"));
        let limit = query_of(target, "limit").parse().unwrap_or(500_usize);
        let state = self.lock();
        let in_range = state.rows.iter().filter(|((row_table, row_part, key), _)| {
            row_table == table
                && row_part == part
                && key.as_str() >= from
                && (to.is_empty() || key.as_str() < to)
        });
        let rows: Vec<String> = in_range
            .map(|(name, (value, ver))| row_text(name, Some(value), *ver))
            .collect();
        let has_more = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        let (ver, now) = (state.ver, self.now());
        format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{ver},\"now\":\"{now}\"}}")
    }

    fn feed(&self, target: &str) -> String {
        let table = query_of(target, "tableName");
        let after: u64 = query_of(target, "after").parse().unwrap_or(0);
        let wait_ms = query_of(target, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let changes = state.changes.iter();
            let rows: Vec<String> = changes
                .filter(|((row_table, ..), _, ver)| row_table == table && *ver > after)
                .map(|(name, value, ver)| row_text(name, value.as_ref(), *ver))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (ver, now) = (state.ver, self.now());
                return format!(
                    "{{\"rows\":[{}],\"ver\":{ver},\"now\":\"{now}\"}}",
                    rows.join(",")
                );
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }
}
