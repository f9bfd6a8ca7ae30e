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
use crate::decide::pacing::{self, Backoff};
use crate::membership::neighbours;
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::store::NodeStore;
use crate::store::rows::{NODE_PREFIX, NodeRow, node_key};
use crate::store::{Result, Row, Table, Transaction};
use crate::util::clock;

/// Between renewals. 520 nodes renew about once in two seconds together.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1_200);
/// Reads of the watchers after the start: those who started at the same time register meanwhile.
const FOLLOW_UP_READ_DELAYS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(15),
];
/// A row that was not renewed for three renewals is of a VM that is gone.
const MAX_ROW_AGE_MS: u64 = 3 * 1_200_000;
/// Until the first tries have worked.
const RETRY_BACKOFF: Backoff = Backoff::new(400, RETRY_MAX_MS);
const RETRY_MAX_MS: u64 = 10_000;
/// Registrations read at a time: enough to find a live one, a fraction of the mesh.
const PAGE_ROWS: u32 = 16;
/// And while the node has found nobody, since those may all be of VMs that are gone.
const LARGE_PAGE_ROWS: u32 = 128;
/// The first page is read within as long a span as the read of the own row took: a store that answers at
/// once has room for more, and one that a herd of 520 asks at the same moment makes it wait. This is the
/// longest such span, and that of a node whose first read failed: 520 reads in it, and as many first looks
/// at the head, are half of the table's ceiling.
const MAX_FIRST_PAGE_SPREAD: Duration = Duration::from_millis(1_000);
/// Span of the writes of a herd per row found. A full page means a large mesh.
const WRITE_SPREAD_PER_ROW: Duration = Duration::from_millis(120);

pub(crate) async fn run(
    node: Arc<NodeState>,
    local_member: Member,
    store: NodeStore,
    membership: ActorRef<MembershipMsg>,
    stop: CancellationToken,
) {
    let registration = Registration {
        node,
        local_member,
        store,
        membership,
    };
    stop.run_until_cancelled(registration.run_until_stopped())
        .await;
}

struct Registration {
    node: Arc<NodeState>,
    local_member: Member,
    store: NodeStore,
    membership: ActorRef<MembershipMsg>,
}

impl Registration {
    /// Reads the own row and takes up the backend server that the process before this one knew, so that it is of use
    /// before its next announcement. A row that is out of date does no harm: each request names the instance that it
    /// is meant for, any other turns it away, and the next announcement sets it right.
    async fn read_own_row(&self) -> Result<()> {
        let Some(row) = self.store.row(&node_key(self.local_member.node)).await? else {
            return Ok(());
        };
        match serde_json::from_str::<NodeRow>(&row.value) {
            Ok(row) => {
                if let Some(announcement) = row.backend {
                    self.node.restore_backend(&announcement);
                }
            }
            Err(error) => log::warn!(error:%; "the own row cannot be read"),
        }
        Ok(())
    }

    async fn run_until_stopped(&self) {
        self.join_mesh().await;
        tokio::join!(self.discover_late_nodes(), self.renew_row());
    }

    /// Reads and writes until the node is registered and has found somebody.
    async fn join_mesh(&self) {
        let started = Instant::now();
        let spread = match self.read_own_row().await {
            Ok(()) => started.elapsed().min(MAX_FIRST_PAGE_SPREAD),
            Err(error) => {
                log::info!(error:%; "the own row was not read");
                MAX_FIRST_PAGE_SPREAD
            }
        };
        sleep_random(spread).await;
        let mut failures = 0;
        let mut page_rows = PAGE_ROWS;
        loop {
            let row_count = self.read_seeds(page_rows).await;
            let rows = row_count.as_ref().map_or(PAGE_ROWS, |rows| *rows);
            sleep_random(WRITE_SPREAD_PER_ROW * rows.min(PAGE_ROWS)).await;
            let registered = self.register().await;
            let alone = self.is_alone();
            if registered.is_ok() && row_count.is_ok() && !alone {
                return;
            }
            page_rows = if alone { LARGE_PAGE_ROWS } else { PAGE_ROWS };
            sleep_jittered(Duration::from_millis(RETRY_BACKOFF.pause_ms(failures))).await;
            failures += 1;
        }
    }

    async fn discover_late_nodes(&self) {
        for pause in FOLLOW_UP_READ_DELAYS {
            sleep_jittered(pause).await;
            self.read_as_watcher().await;
        }
        loop {
            sleep_jittered(RENEWAL_INTERVAL).await;
            self.read_as_watcher().await;
        }
    }

    /// Writes the row again now and then, and when it no longer says what is beside the node.
    async fn renew_row(&self) {
        loop {
            tokio::select! {
                () = sleep_jittered(RENEWAL_INTERVAL) => (),
                () = self.node.backend_changed.notified() => (),
            }
            let mut failures = 0;
            while let Err(error) = self.register().await {
                log::debug!(error:%; "the own row was not written");
                sleep_jittered(Duration::from_millis(RETRY_BACKOFF.pause_ms(failures))).await;
                failures += 1;
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.node.proxy.view.load().alive_count() < 2
    }

    async fn read_as_watcher(&self) {
        let view = self.node.proxy.view.load_full();
        let watchers = neighbours::watchers(&self.local_member, view.members.iter());
        let alone = self.is_alone();
        if alone || watchers.contains(&self.local_member.node) {
            let rows = if alone { LARGE_PAGE_ROWS } else { PAGE_ROWS };
            // A failure is made up for with the next read.
            let _ = self.read_seeds(rows).await;
        }
    }

    async fn register(&self) -> Result<()> {
        let row = NodeRow {
            node: self.local_member.node,
            external: self.local_member.external,
            place: self.local_member.place.clone(),
            renewed_ms: clock::wall_ms(),
            backend: self.node.announcements().serving().cloned(),
        };
        let value = serde_json::to_string(&row).expect("rows always encode");
        let transaction = Transaction {
            conditions: Vec::new(),
            puts: [(node_key(self.local_member.node), value)].into(),
        };
        self.store.transact(&transaction).await.map(drop)
    }

    /// Reads a page of registrations behind the own one, or the first page at the end of the list.
    /// Returns how many rows there were.
    async fn read_seeds(&self, page_rows: u32) -> Result<u32> {
        let own_key = node_key(self.local_member.node);
        let mut rows = self.store.rows(NODE_PREFIX, &own_key, page_rows).await?;
        if rows.len() < page_rows as usize / 2 {
            rows.extend(self.store.rows(NODE_PREFIX, "", page_rows).await?);
        }
        let seeds = seeds(&rows, &self.local_member);
        let _ = self.membership.cast(MembershipMsg::AddSeeds(seeds));
        Ok(u32::try_from(rows.len()).unwrap_or(u32::MAX))
    }
}

/// Half to whole of the pause, so that nodes that started together drift apart.
async fn sleep_jittered(pause: Duration) {
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let jittered_ms = pacing::jittered_ms(pause_ms, rand::random());
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}

async fn sleep_random(span: Duration) {
    let share = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(span.mul_f64(share)).await;
}

/// Addresses to greet, nearest first: an answer with the whole view need not cross the link.
fn seeds(rows: &BTreeMap<String, Row>, local_member: &Member) -> Vec<SocketAddr> {
    let now_ms = clock::wall_ms();
    let mut seed_rows: Vec<NodeRow> = rows
        .values()
        .filter_map(|row| serde_json::from_str::<NodeRow>(&row.value).ok())
        .filter(|row| row.node != local_member.node)
        .filter(|row| now_ms.saturating_sub(row.renewed_ms) < MAX_ROW_AGE_MS)
        .collect();
    // Nodes that read the same page must not all greet the same few.
    let salt = local_member.node.to_string();
    seed_rows.sort_by_cached_key(|row| {
        let distance = local_member.place.distance_to(&row.place);
        (distance, neighbours::node_hash(row.node, &salt))
    });
    let address = |row: &NodeRow| match row.place == local_member.place {
        true => row.node.0,
        false => row.external,
    };
    seed_rows.iter().map(address).collect()
}
