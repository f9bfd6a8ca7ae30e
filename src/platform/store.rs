//! HTTP client of the store of the users' platform.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /-/rows-tx` | runs a conditional transaction; status 200, or 412 if a condition does not hold |
//! | `GET /-/rows-get` | reads a range of keys from one part of a table |
//! | `GET /-/rows-feed` | long-polls for rows changed since a transaction number; status 410 if the store no longer has that history |
//!
//! dragonflywall's rows are in a table of their own, [`OWN_TABLE`]. A row's `ver` is the number of the
//! transaction that wrote it last, counted for the whole store. The client uses it as the row's
//! [`revision`](Row::revision), which only serves to check that a row has not changed since it was read.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::duration::parse_ms;
use super::{configuration, rollouts};
use crate::core::configuration::Configuration;
use crate::core::names::{ServiceName, is_name};
use crate::core::rollout::{OrderEntry, RolloutState, StateEntry};
use crate::store::transport::Transport;
use crate::store::{
    AdvanceOutcome, Condition, Error, Feed, FeedPosition, FeedUpdate, OrdersRead, Outcome, Result,
    RolloutAdvance, RolloutTable, Row, Table, Transaction, decode_json, unexpected_status,
};
use crate::util::unreadable::{self, Entry};

/// The table that contains dragonflywall's own rows.
const OWN_TABLE: &str = "dragonflywall";
/// The table that contains the states of roll-outs, one row for each service. It is apart from
/// [`OWN_TABLE`] because it is read as a whole.
const ROLLOUT_TABLE: &str = "dragonflywall-rollouts";
/// The table that operators write. Its row [`CONFIGURATION_KEY`] contains the configuration, and the
/// rows of [`rollouts::key_of`] the orders of roll-outs.
const OPERATORS_TABLE: &str = "op";
const CONFIGURATION_KEY: &str = "config";
/// The table that operators read.
const STATUS_TABLE: &str = "status";

/// Time within which the response to a call without long polling must begin. The store takes 4 ms, and
/// up to 60 times as long when it is slow. The timeout is short enough to retry after a stalled
/// connection while a configuration is still new.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Client of the platform's store.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    transport: Transport,
}

/// A row, or a condition on a row, in the JSON of the store.
#[derive(Debug, Serialize, Deserialize)]
struct WireRow {
    #[serde(rename = "tableName")]
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    /// Content in base64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    /// Number of the transaction that wrote the row last. In a condition: the number that it must have,
    /// or 0 if the row must not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ver: Option<u64>,
    /// Whether the row was deleted; only in responses of the feed.
    #[serde(default, skip_serializing)]
    deleted: bool,
}

impl WireRow {
    fn with_key(key: &str) -> Self {
        Self::in_table(OWN_TABLE, key)
    }

    fn in_table(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
            value: None,
            ver: None,
            deleted: false,
        }
    }

    fn bytes(&self) -> Result<Vec<u8>> {
        let value = self.value.as_deref().unwrap_or("");
        BASE64.decode(value).map_err(|error| Error::Protocol {
            reason: format!("row `{}`: {error}", self.key),
        })
    }

    fn into_row(self) -> Result<(String, Row)> {
        let value = String::from_utf8(self.bytes()?).map_err(|error| Error::Protocol {
            reason: format!("row `{}`: {error}", self.key),
        })?;
        let revision = self.ver.unwrap_or(0);
        Ok((self.key, Row { revision, value }))
    }
}

/// Body of `POST /-/rows-tx`.
#[derive(Debug, Default, Serialize)]
struct WireTransaction {
    /// Rows with the `ver` that each must have before the transaction. Despite the field's name these are
    /// conditions, not revisions for the writes.
    #[serde(rename = "expectedRev")]
    conditions: Vec<WireRow>,
    writes: Vec<WireRow>,
    remove: Vec<WireRow>,
}

/// Response to `GET /-/rows-get` and `GET /-/rows-feed`.
#[derive(Debug, Deserialize)]
struct WireRows {
    #[serde(default)]
    rows: Vec<WireRow>,
    /// Number of the newest transaction that the response includes.
    ver: u64,
    /// Time of the store's clock.
    #[serde(default)]
    now: String,
    /// Length of the response body.
    #[serde(skip)]
    len_bytes: usize,
}

impl PlatformStore {
    /// Creates a client for the store at `base_url`, such as `http://10.0.0.9:7000`. Connections are
    /// opened from the local address `dial_from`, or from one that the system selects.
    pub fn new(base_url: &str, dial_from: Option<IpAddr>) -> Self {
        Self {
            transport: Transport::new(base_url, dial_from),
        }
    }

    async fn get_rows(&self, path: &str, timeout: Duration) -> Result<WireRows> {
        let call = self.transport.call(Method::GET, path, Vec::new(), timeout);
        match call.await? {
            (StatusCode::OK, body) => Ok(WireRows {
                len_bytes: body.len(),
                ..decode_json(&body)?
            }),
            (StatusCode::GONE, _) => Err(Error::HistoryGone),
            (status, _) => unexpected_status(status),
        }
    }

    async fn read_own_rows(&self, from: &str, to: &str, limit: u32) -> Result<Vec<WireRow>> {
        let path =
            format!("/-/rows-get?tableName={OWN_TABLE}&part=&from={from}&to={to}&limit={limit}");
        Ok(self.get_rows(&path, RESPONSE_TIMEOUT).await?.rows)
    }
}

/// Response to a transaction whose conditions do not hold: the current rows of the conditions.
#[derive(Debug, Deserialize)]
struct WireConflict {
    #[serde(default)]
    rows: Vec<WireRow>,
}

/// Decodes one row among others. A row of another writer that cannot be read must not hide the rest.
fn readable_row(row: WireRow) -> Option<(String, Row)> {
    let key = row.key.clone();
    unreadable::readable(Entry::Row, &key, row.into_row())
}

/// The smallest key greater than all keys that begin with `prefix`, which must be ASCII.
fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Table for PlatformStore {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        let to_wire_condition = |condition: &Condition| {
            let (key, ver) = match condition {
                Condition::Absent { key } => (key, 0),
                Condition::Revision { key, revision } => (key, *revision),
            };
            WireRow {
                ver: Some(ver),
                ..WireRow::with_key(key)
            }
        };
        let to_wire_write = |(key, value): (&String, &String)| WireRow {
            value: Some(BASE64.encode(value)),
            ..WireRow::with_key(key)
        };
        let wire = WireTransaction {
            conditions: transaction
                .conditions
                .iter()
                .map(to_wire_condition)
                .collect(),
            writes: transaction.puts.iter().map(to_wire_write).collect(),
            remove: Vec::new(),
        };
        let body = serde_json::to_vec(&wire).expect("a transaction can be encoded as JSON");
        let call = self
            .transport
            .call(Method::POST, "/-/rows-tx", body, RESPONSE_TIMEOUT);
        match call.await? {
            (StatusCode::OK, _) => Ok(Outcome::Committed),
            (StatusCode::PRECONDITION_FAILED, _) => Ok(Outcome::ConditionFailed),
            (status, _) if status.is_server_error() => Err(Error::OutcomeUnknown {
                reason: format!("status {status}"),
            }),
            (status, _) => unexpected_status(status),
        }
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        let rows = self.read_own_rows(key, &prefix_end(key), 1).await?;
        let found = rows.into_iter().find(|row| row.key == key);
        found.map(|row| Ok(row.into_row()?.1)).transpose()
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        let mut rows = self.rows_from(prefix, after.max(prefix), limit).await?;
        rows.remove(after);
        Ok(rows)
    }

    async fn rows_from(
        &self,
        prefix: &str,
        first: &str,
        limit: u32,
    ) -> Result<BTreeMap<String, Row>> {
        let rows = self
            .read_own_rows(first, &prefix_end(prefix), limit)
            .await?;
        Ok(rows.into_iter().filter_map(readable_row).collect())
    }
}

impl Feed for PlatformStore {
    async fn newest(&self, answer_timeout: Duration) -> Result<FeedUpdate> {
        let path =
            format!("/-/rows-get?tableName={OPERATORS_TABLE}&part=&from={CONFIGURATION_KEY}");
        let response = self.get_rows(&path, answer_timeout).await?;
        let orders = OrdersRead::All(orders_in(&response.rows));
        Ok(feed_update(&response, orders))
    }

    async fn newest_after(
        &self,
        position: FeedPosition,
        max_wait: Duration,
        answer_timeout: Duration,
    ) -> Result<FeedUpdate> {
        let path = format!(
            "/-/rows-feed?tableName={OPERATORS_TABLE}&after={}&waitMs={}",
            position.0,
            max_wait.as_millis()
        );
        let response = self.get_rows(&path, max_wait + answer_timeout).await?;
        let orders = OrdersRead::Changed(orders_in(&response.rows));
        Ok(feed_update(&response, orders))
    }
}

fn feed_update(response: &WireRows, orders: OrdersRead) -> FeedUpdate {
    let is_configuration =
        |row: &&WireRow| row.key == CONFIGURATION_KEY && row.part.is_empty() && !row.deleted;
    let newest = response.rows.iter().rfind(is_configuration);
    let configuration = newest.and_then(decode_configuration);
    FeedUpdate {
        position: FeedPosition(response.ver),
        is_unreadable: newest.is_some() && configuration.is_none(),
        configuration,
        orders,
        store_ms: parse_ms(&response.now).unwrap_or(0),
        len_bytes: response.len_bytes,
    }
}

/// The orders in rows of the operators' table. Of several for one service the last one is the newest.
fn orders_in(rows: &[WireRow]) -> BTreeMap<ServiceName, OrderEntry> {
    let rows = rows.iter().filter(|row| row.part.is_empty());
    let orders = rows.filter_map(|row| Some((rollouts::service_of(&row.key)?, row)));
    orders
        .map(|(service, row)| {
            let order = decode_order(&service, row);
            (service, order)
        })
        .collect()
}

fn decode_order(service: &ServiceName, row: &WireRow) -> OrderEntry {
    let revision = row.ver.unwrap_or(0);
    if row.deleted {
        return OrderEntry {
            revision,
            order: None,
        };
    }
    let decoded = row.bytes().map_err(|error| error.to_string());
    let decoded = decoded.and_then(|bytes| {
        rollouts::decode_order(service, &bytes).map_err(|error| error.to_string())
    });
    // An order that cannot be decoded counts as withdrawn.
    let order = unreadable::readable(Entry::RolloutOrder, service.as_str(), decoded);
    OrderEntry { revision, order }
}

fn decode_state(row: &WireRow) -> Result<StateEntry> {
    let state: RolloutState = decode_json(&row.bytes()?)?;
    Ok(StateEntry {
        revision: row.ver.unwrap_or(0),
        state,
    })
}

impl PlatformStore {
    async fn read_states(&self, range: &str) -> Result<BTreeMap<ServiceName, StateEntry>> {
        let path = format!("/-/rows-get?tableName={ROLLOUT_TABLE}&part={range}");
        let response = self.get_rows(&path, RESPONSE_TIMEOUT).await?;
        let rows = response.rows.iter().filter(|row| is_name(&row.key));
        let entries = rows.filter_map(|row| {
            let state = unreadable::readable(Entry::RolloutState, &row.key, decode_state(row))?;
            Some((ServiceName::new(&row.key), state))
        });
        Ok(entries.collect())
    }

    /// The rows that made a transaction's conditions fail.
    fn conflict(service: &ServiceName, body: &[u8]) -> Result<AdvanceOutcome> {
        let conflict: WireConflict = decode_json(body)?;
        let find = |table: &str| conflict.rows.iter().find(|row| row.table == table);
        let existing = |row: &&WireRow| row.value.is_some();
        let state = find(ROLLOUT_TABLE).filter(existing);
        let order = find(OPERATORS_TABLE).filter(existing);
        Ok(AdvanceOutcome::Changed {
            order: order.map(|row| decode_order(service, row)),
            state: state.map(decode_state).transpose()?,
        })
    }
}

impl RolloutTable for PlatformStore {
    async fn states(&self) -> Result<BTreeMap<ServiceName, StateEntry>> {
        self.read_states("").await
    }

    async fn advance(&self, advance: &RolloutAdvance<'_>) -> Result<AdvanceOutcome> {
        let service = advance.service;
        let order_key = rollouts::key_of(service);
        let state_condition = WireRow {
            ver: Some(advance.replaced_revision),
            ..WireRow::in_table(ROLLOUT_TABLE, service.as_str())
        };
        let order_condition = advance.order_revision.map(|revision| WireRow {
            ver: Some(revision),
            ..WireRow::in_table(OPERATORS_TABLE, &order_key)
        });
        let state = serde_json::to_vec(advance.state).expect("a state can be encoded as JSON");
        let status = rollouts::encode_status(service, advance.state);
        let write = |row: WireRow, value: &[u8]| WireRow {
            value: Some(BASE64.encode(value)),
            ..row
        };
        let wire = WireTransaction {
            conditions: [state_condition]
                .into_iter()
                .chain(order_condition)
                .collect(),
            writes: vec![
                write(WireRow::in_table(ROLLOUT_TABLE, service.as_str()), &state),
                write(WireRow::in_table(STATUS_TABLE, &order_key), &status),
            ],
            remove: Vec::new(),
        };
        let body = serde_json::to_vec(&wire).expect("a transaction can be encoded as JSON");
        let call = self
            .transport
            .call(Method::POST, "/-/rows-tx", body, RESPONSE_TIMEOUT);
        match call.await? {
            (StatusCode::OK, _) => (),
            (StatusCode::PRECONDITION_FAILED, body) => return Self::conflict(service, &body),
            (status, _) if status.is_server_error() => {
                return Err(Error::OutcomeUnknown {
                    reason: format!("status {status}"),
                });
            }
            (status, _) => return unexpected_status(status),
        }
        // The response has the newest transaction of the store, which may be a later one.
        let range = format!("&from={service}&limit=1");
        let state = self.read_states(&range).await?.remove(service);
        Ok(match state {
            Some(state) if state.state == *advance.state => AdvanceOutcome::Written(state),
            state => AdvanceOutcome::Changed { order: None, state },
        })
    }
}

/// Decodes the configuration in a row. Returns `None` if it is invalid, so that nodes continue to
/// enforce the configuration that they have.
fn decode_configuration(row: &WireRow) -> Option<Configuration> {
    let decoded = row.bytes().map_err(|error| error.to_string());
    let decoded =
        decoded.and_then(|bytes| configuration::decode(&bytes).map_err(|error| error.to_string()));
    let revision = row.ver.unwrap_or(0).to_string();
    unreadable::readable(Entry::Configuration, &revision, decoded)
}
