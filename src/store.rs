//! Traits for the platform's transactional table and object store.
//!
//! [`http::HttpStore`] implements them with dragonflywall's own protocol,
//! [`crate::platform::store::PlatformStore`] with that of the users' platform, and tests with fakes.
//! A write whose response was lost has an error of its own, [`Error::OutcomeUnknown`]: the caller
//! must look up whether the write took effect and must not repeat it blindly.

pub mod http;
pub mod retrying;
pub mod rows;
pub(crate) mod transport;

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use self::http::HttpStore;
use crate::core::configuration::Configuration;
use crate::core::names::ServiceName;
use crate::core::rollout::{OrderEntry, RolloutState, StateEntry};
use crate::core::version::Digest;
use crate::platform::store::PlatformStore;

/// Result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The platform could not be reached, or it responded that it is unavailable. Nothing was
    /// written.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// The failure, in words.
        reason: String,
    },
    /// The platform rejected the request because its rate limit is reached. Nothing was written.
    #[snafu(display("the platform rejected the request: its rate limit is reached"))]
    RateLimited,
    /// The request was sent, but no usable response was received. A write may have taken effect.
    #[snafu(display("the outcome of a request to the platform is unknown: {reason}"))]
    OutcomeUnknown {
        /// The failure, in words.
        reason: String,
    },
    /// The response, or the next part of its body, did not arrive in time. A write may have taken
    /// effect.
    #[snafu(display("the platform sent no data for {after_ms} ms"))]
    TimedOut {
        /// The timeout, in milliseconds.
        after_ms: u64,
    },
    /// The request could not be built, or the response does not follow the protocol.
    #[snafu(display("protocol error in a call to the platform: {reason}"))]
    Protocol {
        /// The violation, in words.
        reason: String,
    },
    /// The platform no longer stores the changes since the requested position.
    #[snafu(display("the platform has dropped the requested part of its history"))]
    HistoryGone,
}

/// Decodes the JSON body of a response.
pub(crate) fn decode_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Protocol {
        reason: error.to_string(),
    })
}

/// The error for a response status that the protocol doesn't define for the request.
pub(crate) fn unexpected_status<T>(status: StatusCode) -> Result<T> {
    ProtocolSnafu {
        reason: format!("status {status}"),
    }
    .fail()
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// At least 1; increases with each write of the row.
    pub revision: u64,
    /// The content, as JSON text.
    pub value: String,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// Key of the row.
        key: String,
    },
    /// The row exists and has this revision.
    Revision {
        /// Key of the row.
        key: String,
        /// Expected revision.
        revision: u64,
    },
}

/// A conditional transaction: if all conditions hold, all puts are applied, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// New row values by key.
    pub puts: BTreeMap<String, String>,
}

/// Result of a transaction that the platform processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All puts were applied.
    Committed,
    /// A condition did not hold; nothing was written.
    ConditionFailed,
}

/// The transactional table service.
pub trait Table: Send + Sync + 'static {
    /// Runs a conditional transaction.
    fn transact(&self, transaction: &Transaction) -> impl Future<Output = Result<Outcome>> + Send;
    /// Reads one row.
    fn row(&self, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;
    /// Reads the rows whose key starts with `prefix` and is greater than `after`, in ascending order
    /// of keys, at most `limit` rows.
    fn rows(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> impl Future<Output = Result<BTreeMap<String, Row>>> + Send;
    /// Reads the row `first`, if it exists, and the rows that follow it and whose key starts with `prefix`, in ascending
    /// order of keys, about `limit` rows.
    fn rows_from(
        &self,
        prefix: &str,
        first: &str,
        limit: u32,
    ) -> impl Future<Output = Result<BTreeMap<String, Row>>> + Send {
        async move {
            let row = self.row(first).await?;
            let mut rows = self.rows(prefix, first, limit).await?;
            rows.extend(row.map(|row| (first.to_owned(), row)));
            Ok(rows)
        }
    }
}

/// The object store. Objects are addressed by the digest of their content, so a repeated write
/// changes nothing.
pub trait ObjectStore: Send + Sync + 'static {
    /// Stores `bytes` under their digest.
    fn put_object(&self, digest: &Digest, bytes: &[u8]) -> impl Future<Output = Result<()>> + Send;
    /// Reads the object with this digest, if it exists.
    fn object(&self, digest: &Digest) -> impl Future<Output = Result<Option<Vec<u8>>>> + Send;
}

/// A position in the history of a [`Feed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedPosition(pub u64);

/// The result of reading a [`Feed`].
#[derive(Debug)]
pub struct FeedUpdate {
    /// The position to continue reading from.
    pub position: FeedPosition,
    /// The newest configuration; `None` if it is unchanged since the requested position, absent, or
    /// cannot be decoded.
    pub configuration: Option<Configuration>,
    /// Whether the response has a newer configuration that cannot be decoded.
    pub is_unreadable: bool,
    /// Orders of roll-outs in the response.
    pub orders: OrdersRead,
    /// Time of the store's clock at the response, in milliseconds.
    pub store_ms: u64,
    /// Length of the response body.
    pub len_bytes: usize,
}

/// Orders of roll-outs in the result of reading a [`Feed`], by service.
#[derive(Debug, PartialEq, Eq)]
pub enum OrdersRead {
    /// All orders that exist.
    All(BTreeMap<ServiceName, OrderEntry>),
    /// Orders that were written or deleted since the requested position.
    Changed(BTreeMap<ServiceName, OrderEntry>),
}

/// A state of a roll-out to be written, and the rows that must not have changed.
#[derive(Clone, Copy, Debug)]
pub struct RolloutAdvance<'a> {
    /// Service that the roll-out is of.
    pub service: &'a ServiceName,
    /// The state to write.
    pub state: &'a RolloutState,
    /// Revision of the state that it replaces; 0 if there must be none.
    pub replaced_revision: u64,
    /// Revision of the order that it follows from; `None` if there need not be one.
    pub order_revision: Option<u64>,
}

/// Result of [`RolloutTable::advance`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdvanceOutcome {
    /// The state was written.
    Written(StateEntry),
    /// The order or the state had changed, and nothing was written.
    Changed {
        /// The order that there is.
        order: Option<OrderEntry>,
        /// The state that there is.
        state: Option<StateEntry>,
    },
}

/// The states of roll-outs in the store.
pub trait RolloutTable: Send + Sync + 'static {
    /// Reads the states of all services.
    fn states(&self) -> impl Future<Output = Result<BTreeMap<ServiceName, StateEntry>>> + Send;
    /// Writes a state and the status that operators read, on condition that the order and the state
    /// that it replaces are unchanged.
    fn advance(
        &self,
        advance: &RolloutAdvance<'_>,
    ) -> impl Future<Output = Result<AdvanceOutcome>> + Send;
}

/// A source of configurations that operators write into the store as a whole instead of using
/// `publish`.
pub trait Feed: Send + Sync + 'static {
    /// Reads the newest configuration. Fails if the response does not begin within
    /// `answer_timeout`.
    fn newest(&self, answer_timeout: Duration) -> impl Future<Output = Result<FeedUpdate>> + Send;
    /// Long-polls for the newest configuration written after `position`. If there is none, the
    /// store responds without a configuration after about `max_wait`. Fails if the response does not
    /// begin within `max_wait` plus `answer_timeout`. A configuration that cannot be decoded is
    /// reported as `None`.
    fn newest_after(
        &self,
        position: FeedPosition,
        max_wait: Duration,
        answer_timeout: Duration,
    ) -> impl Future<Output = Result<FeedUpdate>> + Send;
}

/// The table client that a node uses, depending on its settings.
#[derive(Clone, Debug)]
pub(crate) enum NodeStore {
    Native(HttpStore),
    Platform(PlatformStore),
}

impl Table for NodeStore {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        match self {
            Self::Native(store) => store.transact(transaction).await,
            Self::Platform(store) => store.transact(transaction).await,
        }
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        match self {
            Self::Native(store) => store.row(key).await,
            Self::Platform(store) => store.row(key).await,
        }
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        match self {
            Self::Native(store) => store.rows(prefix, after, limit).await,
            Self::Platform(store) => store.rows(prefix, after, limit).await,
        }
    }

    async fn rows_from(
        &self,
        prefix: &str,
        first: &str,
        limit: u32,
    ) -> Result<BTreeMap<String, Row>> {
        match self {
            Self::Native(store) => store.rows_from(prefix, first, limit).await,
            Self::Platform(store) => store.rows_from(prefix, first, limit).await,
        }
    }
}
