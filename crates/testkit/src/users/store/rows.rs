//! Rows of the store and the history of their changes.

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};

/// Limit on the rows in one response.
pub(super) const PAGE_ROWS: usize = 500;

/// Tables that only operators may write; transactions of nodes on them are rejected.
const OPERATOR_TABLES: [&str; 2] = ["op", "servers"];

/// Table, part and key of a row.
type RowName = (String, String, String);

/// A row, condition or change as JSON.
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

/// Result of a transaction.
pub(super) enum Outcome {
    /// Applied, with the new version of the store.
    Committed(u64),
    /// Not applied, with the current rows that its conditions name.
    ConditionFailed(Vec<WireRow>),
    /// Not applied, since it writes a table that only operators may write.
    Forbidden,
}

/// Changes after a version.
pub(super) enum Feed {
    Changes(Vec<WireRow>),
    /// Some of the changes are no longer in the history.
    HistoryDropped,
}

/// Range of rows to return: `from` is inclusive, `to` exclusive.
pub(super) struct RowRange<'a> {
    pub(super) table: &'a str,
    pub(super) part: &'a str,
    pub(super) from: &'a str,
    /// If empty, the range has no end.
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
    /// Version of the latest change in any table.
    version: u64,
    /// Changes in the order of their versions.
    history: Vec<WireRow>,
    /// Changes up to this version have been dropped from the history.
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

    pub(super) fn delete(&mut self, table: &str, part: &str, key: &str) {
        self.version += 1;
        self.remove((table.to_owned(), part.to_owned(), key.to_owned()));
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
            // A value that isn't valid base64 is stored as empty. Nodes never send one.
            self.insert(row.name(), BASE64.decode(value).unwrap_or_default());
        }
        for row in &transaction.remove {
            self.remove(row.name());
        }
        Outcome::Committed(self.version)
    }

    /// Returns those of the named rows that exist, with their current values.
    fn current_rows(&self, rows: &[WireRow]) -> Vec<WireRow> {
        let existing = rows.iter().filter_map(|row| {
            let name = row.name();
            self.rows.get(&name).map(|stored| to_wire(&name, stored))
        });
        existing.collect()
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
        // The version increases, so that feeds which have read the whole history fail too.
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
