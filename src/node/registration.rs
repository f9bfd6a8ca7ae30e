//! Registers the node in the platform's table and reads the registrations of other nodes as seeds.
//!
//! The rows are only hints for the start: a node that cannot register is reached through its peers, and a node that
//! cannot read the table uses `--peer-seeds`.
//!
//! Many nodes that start at the same time must stay below the rate limits of the table:
//!
//! - Each node reads its own row first, then one page of rows after a random delay, whose upper bound is the time that
//!   the first read took. It then writes its own row after a random delay, whose upper bound grows with the number of
//!   rows in the page.
//! - Each node reads the rows that follow its own key, so that the seeds of all nodes are spread over the mesh.
//! - Half of the nodes reach the table across the link between the regions, which is billed by volume. So pages are
//!   short, rows are renewed seldom, and after the start only the watchers, two nodes of each data centre, read further
//!   pages, which finds nodes that have formed a separate mesh.

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

/// Longest interval between renewals of the own row. 520 nodes together write about one row every two seconds.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1_200);
/// Pauses before the first further reads of the watchers, by which they find nodes that started at the same time and
/// have registered since.
const FOLLOW_UP_READ_DELAYS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(15),
];
/// Age from which a row is ignored: after three missed renewals its VM is gone.
const MAX_ROW_AGE_MS: u64 = 3 * 1_200_000;
/// Pauses between failed attempts to register or to read seeds; they double with each failure in a row.
const RETRY_BACKOFF: Backoff = Backoff::new(400, RETRY_MAX_MS);
/// Longest of these pauses.
const RETRY_MAX_MS: u64 = 10_000;
/// Rows in a page: enough to find a live node, and a fraction of the mesh.
const PAGE_ROWS: u32 = 16;
/// Rows in a page while the node has found no other live node: all rows of a short page may be of VMs that are gone.
const LARGE_PAGE_ROWS: u32 = 128;
/// Longest random delay before the first page is read. The upper bound of the delay is the time that the read of the
/// own row took, because a store that answers slowly is under load. If that read failed, it is this value: in this
/// time 520 nodes read a page each and the head once, which is half of the table's rate limit.
const MAX_FIRST_PAGE_SPREAD: Duration = Duration::from_millis(1_000);
/// Upper bound of the random delay before the own row is written, per row in the page. A full page indicates a
/// large mesh, and so possibly many nodes that write at the same time.
const WRITE_SPREAD_PER_ROW: Duration = Duration::from_millis(120);

/// Registers the node and looks for other nodes until `stop` is cancelled.
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
    /// Reads the own row and restores the backend server that the previous process stored in it, so that it gets
    /// requests before its next announcement. An outdated row does no harm: each request names the instance that it
    /// is for, any other instance refuses it, and the next announcement corrects the state.
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
            Err(error) => log::warn!(error:%; "cannot decode the stored row of this node"),
        }
        Ok(())
    }

    async fn run_until_stopped(&self) {
        self.join_mesh().await;
        tokio::join!(self.discover_late_nodes(), self.renew_row());
    }

    /// Reads seeds and writes the own row, again until both succeed and another live node is known.
    async fn join_mesh(&self) {
        let started = Instant::now();
        let spread = match self.read_own_row().await {
            Ok(()) => started.elapsed().min(MAX_FIRST_PAGE_SPREAD),
            Err(error) => {
                log::info!(error:%; "cannot read the stored row of this node");
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
            sleep_jittered(Duration::from_millis(RETRY_BACKOFF.delay_ms(failures))).await;
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

    /// Rewrites the own row at least every [`RENEWAL_INTERVAL`], and whenever the announced state of the backend
    /// server changes.
    async fn renew_row(&self) {
        loop {
            tokio::select! {
                () = sleep_jittered(RENEWAL_INTERVAL) => (),
                () = self.node.backend_changed.notified() => (),
            }
            let mut failures = 0;
            while let Err(error) = self.register().await {
                log::debug!(error:%; "cannot write the row of this node");
                sleep_jittered(Duration::from_millis(RETRY_BACKOFF.delay_ms(failures))).await;
                failures += 1;
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.node.proxy.view.load().alive_count() < 2
    }

    /// Reads a page of seeds if this node is a watcher of its data centre, or if it knows no other live node.
    async fn read_as_watcher(&self) {
        let view = self.node.proxy.view.load_full();
        let watchers = neighbours::watchers(&self.local_member, view.members.iter());
        let alone = self.is_alone();
        if alone || watchers.contains(&self.local_member.node) {
            let rows = if alone { LARGE_PAGE_ROWS } else { PAGE_ROWS };
            // A failure is ignored; the next read comes after the next pause.
            let _ = self.read_seeds(rows).await;
        }
    }

    async fn register(&self) -> Result<()> {
        let row = NodeRow {
            node: self.local_member.node,
            external: self.local_member.external,
            place: self.local_member.place.clone(),
            renewed_ms: clock::unix_time_ms(),
            backend: self.node.announcements().serving().cloned(),
        };
        let value = serde_json::to_string(&row).expect("the row can be encoded as JSON");
        let transaction = Transaction {
            conditions: Vec::new(),
            puts: [(node_key(self.local_member.node), value)].into(),
        };
        self.store.transact(&transaction).await.map(drop)
    }

    /// Reads the page of rows after the own key, and the first page of the table as well if that is less than half
    /// full. Sends the addresses to the membership actor as seeds, and returns the number of rows.
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

/// Sleeps for a random time between half of `pause` and all of it, so that nodes that started at the same time
/// spread their requests.
async fn sleep_jittered(pause: Duration) {
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let jittered_ms = backoff::jittered_ms(pause_ms, rand::random());
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}

/// Sleeps for a random time of at most `span`.
async fn sleep_random(span: Duration) {
    let share = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(span.mul_f64(share)).await;
}

/// Returns the peer addresses in `rows`, nearest first, so that the answer with the whole view does not cross the
/// link between the regions if possible.
fn seeds(rows: &BTreeMap<String, Row>, local_member: &Member) -> Vec<SocketAddr> {
    let now_ms = clock::unix_time_ms();
    let mut seed_rows: Vec<NodeRow> = rows
        .values()
        .filter_map(|row| serde_json::from_str::<NodeRow>(&row.value).ok())
        .filter(|row| row.node != local_member.node)
        .filter(|row| now_ms.saturating_sub(row.renewed_ms) < MAX_ROW_AGE_MS)
        .collect();
    // Nodes that read the same page sort it differently, so that they do not all contact the same few nodes.
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
