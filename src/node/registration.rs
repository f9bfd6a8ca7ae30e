//! Registers the node with the platform and reads who else is registered.
//!
//! The table's rows are a bootstrap hint and nothing more: a node that cannot register is reached through its
//! peers, and one that cannot read the list uses `--peer-seeds`.
//!
//! A herd that starts at once must stay below the table's rates: each node reads its own row, then one page at a
//! random moment of a span that grows with the time that the first read took, and writes its own row at a random
//! moment of a span that grows with the number of rows it found. Each reads the rows behind its own key, so that no
//! few nodes are everybody's seeds. Half of the nodes reach the table across the billed link, so pages are short,
//! rows are renewed seldom, and only the watchers of each data centre read again, to find nodes that started apart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::ActorRef;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::core::member::Member;
use crate::decide::backoff::{self, Backoff};
use crate::membership::neighbours;
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::store::NodeStore;
use crate::store::rows::{NODE_PREFIX, NodeRow, node_key};
use crate::store::{Result, Row, Table, Transaction};
use crate::util::clock;

/// Between renewals. 520 nodes renew about once in two seconds together.
const RENEWAL: Duration = Duration::from_secs(1_200);
/// Reads of the watchers after the start: those who started at the same time register meanwhile.
const FURTHER_READS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(15),
];
/// A row that was not renewed for three renewals is of a VM that is gone.
const ROW_AGE_MAX_MS: u64 = 3 * 1_200_000;
/// Until the first tries have worked.
const RETRY: Backoff = Backoff::new(400, RETRY_LONGEST_MS);
const RETRY_LONGEST_MS: u64 = 10_000;
/// Registrations read at a time: enough to find a live one, a fraction of the mesh.
const PAGE_ROWS: u32 = 16;
/// And while the node has found nobody, since those may all be of VMs that are gone.
const LONG_PAGE_ROWS: u32 = 128;
/// The first page is read within as long a span as the read of the own row took: a store that answers at
/// once has room for more, and one that a herd of 520 asks at the same moment makes it wait. This is the
/// longest such span, and that of a node whose first read failed: 520 reads in it, and as many first looks
/// at the head, are half of the table's ceiling.
const FIRST_READ_SPREAD_MAX: Duration = Duration::from_millis(1_000);
/// Span of the writes of a herd per row found. A full page means a large mesh.
const WRITE_SPREAD_PER_ROW: Duration = Duration::from_millis(120);

pub(crate) async fn run(
    node: Arc<NodeState>,
    me: Member,
    platform: NodeStore,
    membership: ActorRef<MembershipMsg>,
    stop: CancellationToken,
) {
    let registration = Registration {
        node,
        me,
        platform,
        membership,
    };
    stop.run_until_cancelled(registration.keep()).await;
}

struct Registration {
    node: Arc<NodeState>,
    me: Member,
    platform: NodeStore,
    membership: ActorRef<MembershipMsg>,
}

impl Registration {
    /// Reads the own row and takes up the backend server that the process before this one knew, so that it is of use
    /// before its next announcement. A row that is out of date does no harm: each request names the instance that it
    /// is meant for, any other turns it away, and the next announcement sets it right.
    async fn recall(&self) -> Result<()> {
        let Some(row) = self.platform.row(&node_key(self.me.node)).await? else {
            return Ok(());
        };
        match serde_json::from_str::<NodeRow>(&row.value) {
            Ok(row) => {
                if let Some(announcement) = row.backend {
                    self.node.recall(&announcement);
                }
            }
            Err(error) => log::warn!(error:%; "the own row cannot be read"),
        }
        Ok(())
    }

    async fn keep(&self) {
        self.join().await;
        tokio::join!(self.read_further(), self.keep_row());
    }

    /// Reads and writes until the node is registered and has found somebody.
    async fn join(&self) {
        let began = Instant::now();
        let spread = match self.recall().await {
            Ok(()) => began.elapsed().min(FIRST_READ_SPREAD_MAX),
            Err(error) => {
                log::info!(error:%; "the own row was not read");
                FIRST_READ_SPREAD_MAX
            }
        };
        sleep_within(spread).await;
        let mut failures = 0;
        let mut page_rows = PAGE_ROWS;
        loop {
            let found = self.bootstrap(page_rows).await;
            let rows = found.as_ref().map_or(PAGE_ROWS, |rows| *rows);
            sleep_within(WRITE_SPREAD_PER_ROW * rows.min(PAGE_ROWS)).await;
            let done = self.register().await;
            let alone = self.is_alone();
            if done.is_ok() && found.is_ok() && !alone {
                return;
            }
            page_rows = if alone { LONG_PAGE_ROWS } else { PAGE_ROWS };
            sleep_about(Duration::from_millis(RETRY.delay_ms(failures))).await;
            failures += 1;
        }
    }

    async fn read_further(&self) {
        for pause in FURTHER_READS {
            sleep_about(pause).await;
            self.read_as_watcher().await;
        }
        loop {
            sleep_about(RENEWAL).await;
            self.read_as_watcher().await;
        }
    }

    /// Writes the row again now and then, and when it no longer says what is beside the node.
    async fn keep_row(&self) {
        loop {
            tokio::select! {
                () = sleep_about(RENEWAL) => (),
                () = self.node.backend_news.notified() => (),
            }
            let mut failures = 0;
            while let Err(error) = self.register().await {
                log::debug!(error:%; "the own row was not written");
                sleep_about(Duration::from_millis(RETRY.delay_ms(failures))).await;
                failures += 1;
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.node.proxy.view.load().alive() < 2
    }

    async fn read_as_watcher(&self) {
        let view = self.node.proxy.view.load_full();
        let watchers = neighbours::watchers(&self.me, view.members.iter());
        let alone = self.is_alone();
        if alone || watchers.contains(&self.me.node) {
            let rows = if alone { LONG_PAGE_ROWS } else { PAGE_ROWS };
            // A failure is made up for with the next read.
            let _ = self.bootstrap(rows).await;
        }
    }

    async fn register(&self) -> Result<()> {
        let row = NodeRow {
            node: self.me.node,
            external: self.me.external,
            place: self.me.place.clone(),
            renewed_ms: clock::wall_ms(),
            backend: self.node.announcements().serving().cloned(),
        };
        let value = serde_json::to_string(&row).expect("rows always encode");
        let transaction = Transaction {
            conditions: Vec::new(),
            puts: [(node_key(self.me.node), value)].into(),
        };
        self.platform.transact(&transaction).await.map(drop)
    }

    /// Reads a page of registrations behind the own one, or the first page at the end of the list.
    /// Returns how many rows there were.
    async fn bootstrap(&self, page_rows: u32) -> Result<u32> {
        let own_key = node_key(self.me.node);
        let mut rows = self.platform.rows(NODE_PREFIX, &own_key, page_rows).await?;
        if rows.len() < page_rows as usize / 2 {
            rows.extend(self.platform.rows(NODE_PREFIX, "", page_rows).await?);
        }
        let seeds = seeds(&rows, &self.me);
        let _ = self.membership.cast(MembershipMsg::Seeds(seeds));
        Ok(u32::try_from(rows.len()).unwrap_or(u32::MAX))
    }
}

/// Half to whole of the pause, so that nodes that started together drift apart.
async fn sleep_about(pause: Duration) {
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let jittered_ms = backoff::jittered_ms(pause_ms, rand::random());
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}

async fn sleep_within(span: Duration) {
    let share = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(span.mul_f64(share)).await;
}

/// Addresses to greet, nearest first: an answer with the whole view need not cross the link.
fn seeds(rows: &BTreeMap<String, Row>, me: &Member) -> Vec<SocketAddr> {
    let now_ms = clock::wall_ms();
    let mut found: Vec<NodeRow> = rows
        .values()
        .filter_map(|row| serde_json::from_str::<NodeRow>(&row.value).ok())
        .filter(|row| row.node != me.node)
        .filter(|row| now_ms.saturating_sub(row.renewed_ms) < ROW_AGE_MAX_MS)
        .collect();
    // Nodes that read the same page must not all greet the same few.
    let salt = me.node.to_string();
    found.sort_by_cached_key(|row| {
        let distance = me.place.distance_to(&row.place);
        (distance, neighbours::weight(row.node, &salt))
    });
    let address = |row: &NodeRow| match row.place == me.place {
        true => row.node.0,
        false => row.external,
    };
    found.iter().map(address).collect()
}
