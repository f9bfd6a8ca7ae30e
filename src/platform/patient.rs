//! A platform whose rate ceiling is waited out.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Error, ObjectStore, Outcome, Result, Row, Table, Transaction};
use crate::core::version::Digest;

/// Tries in all. With the waits below they span about 3 s: a herd of 520 restarting nodes, each
/// with a handful of reads, is through the table's 2,000 reads a second by then. An operator who
/// is refused after that should look at what uses the table, not wait longer.
const TRIES: u32 = 6;
const FIRST_WAIT_MS: u64 = 100;

/// Repeats what the platform refused because of its rate ceiling, after a growing, jittered wait.
///
/// It guards against an operator's command that fails by chance while a herd of nodes restarts:
/// the ceiling is shared, and one refused read would fail the whole publication. "Busy" is said
/// before anything is written, so repeating is safe for writes too. Nothing else is repeated.
#[derive(Clone, Debug)]
pub struct Patient<P>(pub P);

async fn patiently<T, F>(mut call: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let mut wait_ms = FIRST_WAIT_MS;
    for _ in 1..TRIES {
        match call().await {
            Err(Error::Busy) => (),
            answer => return answer,
        }
        // Half to whole: those refused together do not come back together.
        let jittered_ms = rand::random_range(wait_ms / 2..=wait_ms);
        tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
        wait_ms *= 2;
    }
    call().await
}

impl<P: Table> Table for Patient<P> {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        patiently(|| self.0.transact(transaction)).await
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        patiently(|| self.0.row(key)).await
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        patiently(|| self.0.rows(prefix, after, limit)).await
    }
}

impl<P: ObjectStore> ObjectStore for Patient<P> {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> Result<()> {
        patiently(|| self.0.put_object(digest, bytes)).await
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        patiently(|| self.0.object(digest)).await
    }
}
