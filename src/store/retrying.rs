//! A platform whose rate ceiling is waited out, and whose lost answers are asked for again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Error, ObjectStore, Outcome, Result, Row, Table, Transaction};
use crate::core::version::Digest;
use crate::decide::backoff::{Backoff, jittered_ms};

/// Tries in all. With the waits below they span about 3 s: a herd of 520 restarting nodes, each
/// with a handful of reads, is through the table's 2,000 reads a second by then. An operator who
/// is refused after that should look at what uses the table, not wait longer.
const ATTEMPTS_MAX: u32 = 6;
const RETRY_BACKOFF: Backoff = Backoff::new(100, 3_200);

/// Lost answers of what may be repeated: one. A connection that the platform closed while it was
/// idle, or a failover, costs one answer; after two the platform is down, and each further try may
/// wait its whole timeout.
const LOST_RESPONSE_RETRIES_MAX: u32 = 1;

/// Repeats what may be repeated.
///
/// - The rate ceiling is waited out, with growing, jittered waits. It guards against a command that
///   fails by chance while a herd of nodes restarts: the ceiling is shared, and one refused read
///   would fail the whole publication. "Busy" is said before anything is written, so repeating is
///   safe for writes too.
/// - A lost answer to a read, or to a put under the content's own digest, is asked for once more.
///   Without that a single closed connection fails a publication that has not begun. A transaction
///   is not repeated here: [`crate::ops::command::publish`] settles it.
#[derive(Clone, Debug)]
pub struct Retrying<S>(pub S);

/// Whether asking twice is the same as asking once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Idempotent {
    Yes,
    No,
}

async fn with_retries<T, F>(idempotent: Idempotent, mut call: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let mut lost_responses = 0;
    for earlier_attempts in 0..ATTEMPTS_MAX - 1 {
        match call().await {
            Err(Error::RateLimited) => {
                let wait_ms = jittered_ms(RETRY_BACKOFF.delay_ms(earlier_attempts), rand::random());
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            Err(Error::OutcomeUnknown { .. } | Error::TimedOut { .. })
                if idempotent == Idempotent::Yes && lost_responses < LOST_RESPONSE_RETRIES_MAX =>
            {
                lost_responses += 1;
            }
            result => return result,
        }
    }
    call().await
}

impl<S: Table> Table for Retrying<S> {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        with_retries(Idempotent::No, || self.0.transact(transaction)).await
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        with_retries(Idempotent::Yes, || self.0.row(key)).await
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        with_retries(Idempotent::Yes, || self.0.rows(prefix, after, limit)).await
    }
}

impl<S: ObjectStore> ObjectStore for Retrying<S> {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> Result<()> {
        with_retries(Idempotent::Yes, || self.0.put_object(digest, bytes)).await
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        with_retries(Idempotent::Yes, || self.0.object(digest)).await
    }
}
