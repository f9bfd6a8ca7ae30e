//! Retries of calls to the table and object store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Error, ObjectStore, Outcome, Result, Row, Table, Transaction};
use crate::core::version::Digest;
use crate::decide::backoff::{Backoff, jittered_ms};

/// Attempts per call, including the first. With the delays of [`RETRY_BACKOFF`] they span about 3 s.
/// By then 520 nodes that restart at once have finished their few reads each, at the table's limit of
/// 2,000 reads per second. An operator whose call is still rejected should find out what uses up the
/// limit instead of waiting longer.
const ATTEMPTS_MAX: u32 = 6;
/// Delays between attempts that were rejected because of the rate limit: 100 ms, doubled each time up
/// to 3,200 ms.
const RETRY_BACKOFF: Backoff = Backoff::new(100, 3_200);

/// Retries of an idempotent call whose response was lost. An idle connection that the platform has
/// closed, or a failover, loses one response. After a second loss the platform is down, and each
/// further attempt could block for the whole response timeout.
const LOST_RESPONSE_RETRIES_MAX: u32 = 1;

/// A table and object store client that retries failed calls where this is safe.
///
/// - A call that exceeds the rate limit is retried after an exponential, jittered delay. The limit is
///   shared by all clients, so without retries a single rejected read fails a whole publication that
///   happens to run while many nodes restart. The platform checks the limit before it writes
///   anything, so retrying is safe for writes too.
/// - A read, or a put of an object under its own digest, is retried once if its response was lost.
///   Otherwise a single closed connection fails a publication that has not written anything yet. A
///   transaction is not retried here: [`crate::ops::command::publish`] finds out whether it took
///   effect.
#[derive(Clone, Debug)]
pub struct Retrying<S>(pub S);

/// Whether a call can be repeated without a further effect.
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
