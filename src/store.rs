//! The platform's transactional table and object store, behind traits.
//!
//! The traits are the edge of a process: [`http::HttpStore`] speaks the product's own protocol,
//! [`crate::platform::store::PlatformStore`] that of the users' platform, and tests put a fake in their
//! place. A write whose answer was lost is an error of its own, [`Error::OutcomeUnknown`], since it
//! must be looked up and never simply repeated.

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
use crate::core::version::Digest;
use crate::platform::store::PlatformStore;

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the platform gave no answer, or not the hoped-for one.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It was not reached, or said it is unavailable; nothing was written.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// As reported.
        reason: String,
    },
    /// It refuses for now because of its rate ceiling; nothing was written.
    #[snafu(display("the platform refuses for now: its rate ceiling is reached"))]
    RateLimited,
    /// The request was sent and no answer came: a write may have taken effect.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    OutcomeUnknown {
        /// As reported.
        reason: String,
    },
    /// No answer came in time: a write may have taken effect.
    #[snafu(display("the platform gave no answer in {after_ms} ms"))]
    TimedOut {
        /// How long it was waited for.
        after_ms: u64,
    },
    /// It answered something that is not of its protocol.
    #[snafu(display("the platform answered unexpectedly: {reason}"))]
    Protocol {
        /// As reported.
        reason: String,
    },
    /// It no longer knows what has changed since the position that was asked for.
    #[snafu(display("the platform has dropped the history that was asked for"))]
    HistoryGone,
}

/// The body of an answer.
pub(crate) fn decode_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Protocol {
        reason: error.to_string(),
    })
}

/// An answer whose status the protocol does not have here.
pub(crate) fn unexpected_status<T>(status: StatusCode) -> Result<T> {
    ProtocolSnafu {
        reason: format!("status {status}"),
    }
    .fail()
}

/// A row as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Grows with each write of the row, from 1.
    pub revision: u64,
    /// JSON text.
    pub value: String,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// Key of the row.
        key: String,
    },
    /// The row exists at this revision.
    Revision {
        /// Key of the row.
        key: String,
        /// Expected revision.
        revision: u64,
    },
}

/// A conditional transaction: all puts or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: BTreeMap<String, String>,
}

/// What became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It took effect.
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
    /// Reads all rows whose key starts with `prefix`, in the order of keys, after key `after`, at
    /// most `limit`.
    fn rows(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> impl Future<Output = Result<BTreeMap<String, Row>>> + Send;
}

/// The object store: content addressed by digest, so writing twice does no harm.
pub trait ObjectStore: Send + Sync + 'static {
    /// Stores `bytes` under their digest.
    fn put_object(&self, digest: &Digest, bytes: &[u8]) -> impl Future<Output = Result<()>> + Send;
    /// Reads an object.
    fn object(&self, digest: &Digest) -> impl Future<Output = Result<Option<Vec<u8>>>> + Send;
}

/// A place in the history of a configuration feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// What a feed told.
#[derive(Debug)]
pub struct FeedUpdate {
    /// Where to go on from.
    pub position: Position,
    /// The newest configuration, if there is one that was not told before.
    pub configuration: Option<Configuration>,
    /// Length of the answer.
    pub len_bytes: usize,
}

/// A configuration that operators write into the store as a whole, instead of publishing it.
pub trait Feed: Send + Sync + 'static {
    /// The newest configuration. The answer begins within `answer_timeout`, or there is none.
    fn newest(&self, answer_timeout: Duration) -> impl Future<Output = Result<FeedUpdate>> + Send;
    /// The newest configuration written after `position`, or nothing after about `max_wait`; the answer begins
    /// within `answer_timeout` then. A configuration that cannot be used is left out.
    fn newest_after(
        &self,
        position: Position,
        max_wait: Duration,
        answer_timeout: Duration,
    ) -> impl Future<Output = Result<FeedUpdate>> + Send;
}

/// The store that a node was set up with.
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
}
