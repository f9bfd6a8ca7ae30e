//! The rows of the store's stand-in, and the history of their changes.

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};

/// Rows of one answer at most.
pub(super) const PAGE_ROWS: usize = 500;

/// Tables that only operators write.
const OPERATOR_TABLES: [&str; 2] = ["op", "servers"];

/// Table, part and key of a row.
type RowName = (String, String, String);

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
    fn name(&self) -> RowName {
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
    ConditionFailed(Vec<WireRow>),
    Forbidden,
}

/// What a feed has to tell.
pub(super) enum Feed {
    Changes(Vec<WireRow>),
    HistoryDropped,
}

/// Which rows are asked for.
pub(super) struct RowRange<'a> {
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
struct StoredRow {
    value: Vec<u8>,
    version: u64,
}

#[derive(Debug, Default)]
pub(super) struct Rows {
    rows: BTreeMap<RowName, StoredRow>,
    version: u64,
    /// Changes in their order.
    history: Vec<WireRow>,
    /// Changes up to this version are no longer known.
    history_dropped_to: u64,
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
        self.insert(name, value);
        self.version
    }

    fn insert(&mut self, name: RowName, value: Vec<u8>) {
        let stored = StoredRow {
            value,
            version: self.version,
        };
        self.history.push(to_wire(&name, &stored));
        self.rows.insert(name, stored);
    }

    fn remove(&mut self, name: RowName) {
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
        if touched.any(|row| OPERATOR_TABLES.contains(&row.table.as_str())) {
            return Outcome::Forbidden;
        }
        let version_of = |row: &WireRow| self.rows.get(&row.name()).map_or(0, |row| row.version);
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|condition| version_of(condition) == condition.ver) {
            return Outcome::ConditionFailed(self.current_rows(&transaction.conditions));
        }
        self.version += 1;
        for row in &transaction.writes {
            let value = row.value.as_deref().unwrap_or("");
            // What cannot be read is kept as nothing: the product never sends it.
            self.insert(row.name(), BASE64.decode(value).unwrap_or_default());
        }
        for row in &transaction.remove {
            self.remove(row.name());
        }
        Outcome::Committed(self.version)
    }

    fn current_rows(&self, rows: &[WireRow]) -> Vec<WireRow> {
        let known = rows.iter().filter_map(|row| {
            let name = row.name();
            self.rows.get(&name).map(|stored| to_wire(&name, stored))
        });
        known.collect()
    }

    pub(super) fn page(&self, range: &RowRange<'_>) -> Page {
        let in_range = |name: &RowName| {
            name.0 == range.table
                && name.1 == range.part
                && name.2.as_str() >= range.from
                && (range.to.is_empty() || name.2.as_str() < range.to)
        };
        let mut found = self.rows.iter().filter(|(name, _)| in_range(name));
        let limit = range.limit.min(PAGE_ROWS);
        let rows = found.by_ref().take(limit);
        let rows = rows.map(|(name, stored)| to_wire(name, stored)).collect();
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
        if after < self.history_dropped_to {
            return Feed::HistoryDropped;
        }
        let changes = self
            .history
            .iter()
            .filter(|row| row.table == table && row.ver > after);
        Feed::Changes(changes.cloned().collect())
    }

    pub(super) fn drop_history(&mut self) {
        // Whoever has read all of it is told as well.
        self.version += 1;
        self.history_dropped_to = self.version;
        self.history.clear();
    }
}

fn to_wire(name: &RowName, stored: &StoredRow) -> WireRow {
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
