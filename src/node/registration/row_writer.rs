//! Writes the rows of several nodes in one transaction.
//!
//! Each call of the store is priced, whatever it contains. Leads therefore collect the rows of the nodes of their data
//! centre for a short time and write them together.

use std::time::Duration;

use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::core::member::NodeId;
use crate::store::rows::{NodeRow, node_key};
use crate::store::{self, NodeStore, Table, Transaction};

#[cfg(test)]
mod tests;

/// How long rows are collected before they are written.
const COLLECT_INTERVAL: Duration = Duration::from_millis(500);
/// Rows in one transaction; a store may limit them to 100.
const BATCH_ROWS_MAX: usize = 64;
/// Rows that wait to be written; further ones are refused, and their nodes write them.
const WAITING_ROWS_MAX: usize = 4_096;

/// Result of writing a row.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// The row was not written, or it is not known whether it was. Writing it again does no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the row was not written"))]
pub(crate) struct Error;

struct WaitingRow {
    row: NodeRow,
    written: oneshot::Sender<Result<()>>,
}

/// Accepts rows to be written together with others.
#[derive(Clone, Debug)]
pub(crate) struct RowWriter {
    waiting: mpsc::Sender<WaitingRow>,
}

/// Rows that wait to be written.
#[derive(Debug)]
pub(crate) struct WaitingRows(mpsc::Receiver<WaitingRow>);

impl std::fmt::Debug for WaitingRow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.row.node.fmt(f)
    }
}

impl RowWriter {
    /// Creates a writer, and the rows that [`run`] writes for it.
    pub(crate) fn new() -> (Self, WaitingRows) {
        let (waiting, rows) = mpsc::channel(WAITING_ROWS_MAX);
        (Self { waiting }, WaitingRows(rows))
    }

    /// Returns once `row` is written.
    pub(crate) async fn write(&self, row: NodeRow) -> Result<()> {
        let (written, is_written) = oneshot::channel();
        let waiting = WaitingRow { row, written };
        self.waiting.try_send(waiting).map_err(|_| Error)?;
        is_written.await.map_err(|_| Error)?
    }
}

/// Writes rows until `stop` is cancelled.
pub(crate) async fn run(store: NodeStore, mut rows: WaitingRows, stop: CancellationToken) {
    let write_always = async {
        while let Some(first) = rows.0.recv().await {
            tokio::time::sleep(COLLECT_INTERVAL).await;
            let mut batch = vec![first];
            while batch.len() < BATCH_ROWS_MAX
                && let Ok(next) = rows.0.try_recv()
            {
                batch.push(next);
            }
            write_batch(&store, batch).await;
        }
    };
    stop.run_until_cancelled(write_always).await;
}

async fn write_batch(store: &NodeStore, batch: Vec<WaitingRow>) {
    let (rows, writers): (Vec<NodeRow>, Vec<_>) = batch
        .into_iter()
        .map(|waiting| (waiting.row, waiting.written))
        .unzip();
    let result = write(store, &rows).await;
    if let Err(error) = &result {
        let nodes: Vec<NodeId> = rows.iter().map(|row| row.node).collect();
        log::info!(error:%, nodes:?; "cannot write the rows of nodes");
    }
    for written in writers {
        // A node that does not wait any more writes its row itself.
        let _ = written.send(result.as_ref().map(drop).map_err(|_| Error));
    }
}

/// Writes rows in one transaction. Of several rows of one node the last one is written.
pub(crate) async fn write(store: &NodeStore, rows: &[NodeRow]) -> store::Result<()> {
    let encode = |row: &NodeRow| {
        let value = serde_json::to_string(row).expect("the row can be encoded as JSON");
        (node_key(row.node), value)
    };
    let transaction = Transaction {
        conditions: Vec::new(),
        puts: rows.iter().map(encode).collect(),
    };
    store.transact(&transaction).await.map(drop)
}
