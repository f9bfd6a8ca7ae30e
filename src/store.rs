//! The platform's transactional table and object store, behind traits.
//!
//! The traits are the edge of a process: [`http::HttpStore`] speaks to the platform over
//! HTTP/JSON, tests put a fake in its place. A write whose answer was lost is an error of its own,
//! [`Error::OutcomeUnknown`], since it must be looked up and never simply repeated.

pub mod http;
pub mod patient;
pub mod rows;

use std::collections::BTreeMap;
use std::future::Future;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::core::version::Digest;

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
    Busy,
    /// The request was sent and no answer came: a write may have taken effect.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    OutcomeUnknown {
        /// As reported.
        reason: String,
    },
    /// It answered something that is not of its protocol.
    #[snafu(display("the platform answered unexpectedly: {reason}"))]
    Protocol {
        /// As reported.
        reason: String,
    },
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
