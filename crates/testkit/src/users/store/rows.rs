//! The rows of the store's stand-in, and the history of their changes.

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};

/// Rows of one answer at most.
pub(super) const PAGE_ROWS: usize = 500;

/// Tables that only operators write.
const OPERATORS_TABLES: [&str; 2] = ["op", "servers"];

/// Table, part and key of a row.
type Name = (String, String, String);

/// A row as it travels.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct WireRow {
    #[serde(rename = "tableName")]
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

impl WireRow {
    fn name(&self) -> Name {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Transaction {
    #[serde(rename = "expectedRev", default)]
    conditions: Vec<WireRow>,
    #[serde(default)]
    writes: Vec<WireRow>,
    #[serde(default)]
    remove: Vec<WireRow>,
}

/// What became of a transaction.
pub(super) enum Outcome {
    Committed(u64),
    /// The rows of its conditions as they are.
    Refused(Vec<WireRow>),
    Forbidden,
}

/// What a feed has to tell.
pub(super) enum Feed {
    Changes(Vec<WireRow>),
    Gone,
}

/// Which rows are asked for.
pub(super) struct Range<'a> {
    pub(super) table: &'a str,
    pub(super) part: &'a str,
    pub(super) from: &'a str,
    /// Empty for no end.
    pub(super) to: &'a str,
    pub(super) limit: usize,
}

pub(super) struct Page {
    pub(super) rows: Vec<WireRow>,
    pub(super) has_more: bool,
}

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    version: u64,
}

#[derive(Debug, Default)]
pub(super) struct Rows {
    rows: BTreeMap<Name, Stored>,
    version: u64,
    /// Changes in their order.
    history: Vec<WireRow>,
    /// Changes up to this version are no longer known.
    dropped: u64,
}

impl Rows {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn value(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.rows.get(&name).map(|row| row.value.clone())
    }

    pub(super) fn put(&mut self, table: &str, part: &str, key: &str, value: Vec<u8>) -> u64 {
        self.version += 1;
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.store(name, value);
        self.version
    }

    fn store(&mut self, name: Name, value: Vec<u8>) {
        let stored = Stored {
            value,
            version: self.version,
        };
        self.history.push(wire(&name, &stored));
        self.rows.insert(name, stored);
    }

    fn remove(&mut self, name: Name) {
        if self.rows.remove(&name).is_none() {
            return;
        }
        let (table, part, key) = name;
        self.history.push(WireRow {
            table,
            part,
            key,
            value: None,
            ver: self.version,
            deleted: true,
        });
    }

    pub(super) fn transact(&mut self, transaction: &Transaction) -> Outcome {
        let mut touched = transaction.writes.iter().chain(&transaction.remove);
        if touched.any(|row| OPERATORS_TABLES.contains(&row.table.as_str())) {
            return Outcome::Forbidden;
        }
        let version_of = |row: &WireRow| self.rows.get(&row.name()).map_or(0, |row| row.version);
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|condition| version_of(condition) == condition.ver) {
            return Outcome::Refused(self.named(&transaction.conditions));
        }
        self.version += 1;
        for row in &transaction.writes {
            let value = row.value.as_deref().unwrap_or("");
            // What cannot be read is kept as nothing: the product never sends it.
            self.store(row.name(), BASE64.decode(value).unwrap_or_default());
        }
        for row in &transaction.remove {
            self.remove(row.name());
        }
        Outcome::Committed(self.version)
    }

    fn named(&self, rows: &[WireRow]) -> Vec<WireRow> {
        let known = rows.iter().filter_map(|row| {
            let name = row.name();
            self.rows.get(&name).map(|stored| wire(&name, stored))
        });
        known.collect()
    }

    pub(super) fn page(&self, range: &Range<'_>) -> Page {
        let in_range = |name: &Name| {
            name.0 == range.table
                && name.1 == range.part
                && name.2.as_str() >= range.from
                && (range.to.is_empty() || name.2.as_str() < range.to)
        };
        let mut found = self.rows.iter().filter(|(name, _)| in_range(name));
        let limit = range.limit.min(PAGE_ROWS);
        let rows = found.by_ref().take(limit);
        let rows = rows.map(|(name, stored)| wire(name, stored)).collect();
        Page {
            rows,
            has_more: found.next().is_some(),
        }
    }

    pub(super) fn parts(&self, table: &str) -> BTreeSet<String> {
        let names = self.rows.keys().filter(|name| name.0 == table);
        names.map(|name| name.1.clone()).collect()
    }

    pub(super) fn feed(&self, table: &str, after: u64) -> Feed {
        if after < self.dropped {
            return Feed::Gone;
        }
        let news = self
            .history
            .iter()
            .filter(|row| row.table == table && row.ver > after);
        Feed::Changes(news.cloned().collect())
    }

    pub(super) fn drop_history(&mut self) {
        // Whoever has read all of it is told as well.
        self.version += 1;
        self.dropped = self.version;
        self.history.clear();
    }
}

fn wire(name: &Name, stored: &Stored) -> WireRow {
    let (table, part, key) = name.clone();
    WireRow {
        table,
        part,
        key,
        value: Some(BASE64.encode(&stored.value)),
        ver: stored.version,
        deleted: false,
    }
}
