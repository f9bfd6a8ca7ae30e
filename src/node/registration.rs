//! Registers the node in the platform's table and reads the registrations of other nodes as seeds.
//!
//! The rows are only hints for the start: a node that cannot register is reached through its peers, and a node that
//! cannot read the table uses `--peer-seeds`.
//!
//! All calls are priced, and many nodes that start at the same time must stay below the rate limits of the table:
//!
//! - Each node reads one page of rows, its own and those that follow it, so that the seeds of all nodes are spread over
//!   the mesh. While the whole mesh starts for the first time, there are no rows, and nodes do so in turn.
//! - A row is written only if it differs from the stored one or is old. Leads write the rows of the nodes of their data
//!   centre, many in one transaction ([`row_writer`]). A node writes its row itself while no other node is in its view,
//!   or if no lead writes it.
//! - Half of the nodes reach the table across the link between the regions, which is billed by volume. So pages are
//!   short, rows are renewed seldom, and after the start only the watchers, two nodes of each data centre, read further
//!   pages, which finds nodes that have formed a separate mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::core::member::Member;
use crate::decide::backoff::{self, Backoff};
use crate::membership::neighbours;
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::store::rows::{NODE_PREFIX, NodeRow, node_key};
use crate::store::{NodeStore, Result, Row, Table};
use crate::util::clock;
use crate::util::unreadable::{self, Entry};

pub(crate) mod row_writer;

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
/// Fewest addresses of other nodes in a page with which no further page is read.
const SEEDS_MIN: usize = 2;
/// Longest random delay before the first page is read while the whole mesh starts for the first time. It is long against
/// the time in which a row is read and another one written, so that most nodes find rows of others.
pub(crate) const FIRST_START_SPREAD: Duration = Duration::from_millis(1_000);
/// Upper bound of the random delay before the own row is written, per row in the page. A full page indicates a
/// large mesh, and so possibly many nodes that write at the same time.
const WRITE_SPREAD_PER_ROW: Duration = Duration::from_millis(120);
/// Time within which a lead has to write a row. The node writes it itself then.
const LEAD_WRITE_TIMEOUT: Duration = Duration::from_secs(4);

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

/// Rows of a page.
#[derive(Debug, Default)]
struct Page {
    /// The row of this node.
    own: Option<NodeRow>,
    /// Number of rows of other nodes.
    others: u32,
}

impl Registration {
    async fn run_until_stopped(&self) {
        if self.node.proxy.settings.is_first_start {
            sleep_random(FIRST_START_SPREAD).await;
        }
        let stored_row = self.join_mesh().await;
        tokio::join!(self.discover_late_nodes(), self.renew_row(stored_row));
    }

    /// Restores the backend server that the previous process stored in the own row, so that it gets requests before its
    /// next announcement. An outdated row does no harm: each request names the instance that it is for, any other
    /// instance refuses it, and the next announcement corrects the state.
    fn restore_backend(&self, own_row: &NodeRow) {
        if let Some(announcement) = &own_row.backend {
            self.node.restore_backend(announcement);
        }
    }

    /// Reads seeds until another live node is known, and writes the own row. Returns that row as it is stored.
    async fn join_mesh(&self) -> Option<NodeRow> {
        let mut page = self.read_seeds(PAGE_ROWS).await;
        let mut stored_row = page.as_mut().ok().and_then(|page| page.own.take());
        if let Some(own_row) = &stored_row {
            self.restore_backend(own_row);
        }
        let mut failures = 0;
        loop {
            let rows = page.map_or(PAGE_ROWS, |page| page.others);
            sleep_random(WRITE_SPREAD_PER_ROW * rows.min(PAGE_ROWS)).await;
            let registered = self.register(&mut stored_row).await;
            if registered.is_ok() && !self.is_alone() {
                return stored_row;
            }
            sleep_jittered(Duration::from_millis(RETRY_BACKOFF.delay_ms(failures))).await;
            failures += 1;
            page = match self.is_alone() {
                true => self.read_seeds(LARGE_PAGE_ROWS).await,
                false => Ok(Page::default()),
            };
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

    /// Writes the own row again when the stored one is old, or the announced state of the backend server has changed.
    async fn renew_row(&self, mut stored_row: Option<NodeRow>) {
        loop {
            tokio::select! {
                () = sleep_jittered(RENEWAL_INTERVAL) => (),
                () = self.node.backend_changed.notified() => (),
            }
            let mut failures = 0;
            while let Err(error) = self.register(&mut stored_row).await {
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

    /// Writes the own row, unless the stored one says the same and is recent.
    async fn register(&self, stored_row: &mut Option<NodeRow>) -> Result<()> {
        let row = NodeRow {
            node: self.local_member.node,
            external: self.local_member.external,
            place: self.local_member.place.clone(),
            renewed_ms: clock::unix_time_ms(),
            backend: self.node.announcements().serving().cloned(),
        };
        let is_stored = |stored: &NodeRow| is_current(stored, &row);
        if stored_row.as_ref().is_some_and(is_stored) {
            return Ok(());
        }
        if !self.write_by_lead(&row).await {
            row_writer::write(&self.store, std::slice::from_ref(&row)).await?;
        }
        *stored_row = Some(row);
        Ok(())
    }

    /// Has the first lead of the data centre write `row`, which is this node if none is ranked above it. Returns whether
    /// it was written.
    async fn write_by_lead(&self, row: &NodeRow) -> bool {
        if self.is_alone() {
            return false;
        }
        let lead = self.node.leads.borrow().higher_ranked.first().copied();
        let Some(lead) = lead else {
            return self.node.row_writer.write(row.clone()).await.is_ok();
        };
        let Some(mut client) = self.node.control_pool.client(lead.address) else {
            return false;
        };
        let written = client.write_row(row, LEAD_WRITE_TIMEOUT).await;
        if let Err(error) = &written {
            log::info!(lead:% = lead.node, error:%; "the lead did not write the row of this node");
        }
        written.is_ok()
    }

    /// Reads a page of rows that begins with the own one, and the first page of the table as well if there are hardly any
    /// others in it. Sends the addresses to the membership actor as seeds.
    async fn read_seeds(&self, page_rows: u32) -> Result<Page> {
        let own_key = node_key(self.local_member.node);
        let mut rows = self
            .store
            .rows_from(NODE_PREFIX, &own_key, page_rows)
            .await?;
        let own = rows.remove(&own_key);
        if rows.len() < SEEDS_MIN {
            rows.extend(self.store.rows(NODE_PREFIX, "", page_rows).await?);
            rows.remove(&own_key);
        }
        let seeds = seeds(&rows, &self.local_member);
        let _ = self.membership.cast(MembershipMsg::AddSeeds(seeds));
        Ok(Page {
            own: own.and_then(|row| decode_own_row(&row)),
            others: u32::try_from(rows.len()).unwrap_or(u32::MAX),
        })
    }
}

fn decode_own_row(row: &Row) -> Option<NodeRow> {
    unreadable::readable(Entry::NodeRow, "own", decode_row(row))
}

fn decode_row(row: &Row) -> serde_json::Result<NodeRow> {
    serde_json::from_str(&row.value)
}

/// Whether the stored row says what `row` says, and need not be renewed yet.
fn is_current(stored: &NodeRow, row: &NodeRow) -> bool {
    let age_ms = row.renewed_ms.saturating_sub(stored.renewed_ms);
    let same_content = NodeRow {
        renewed_ms: row.renewed_ms,
        ..stored.clone()
    } == *row;
    same_content && age_ms < clock::whole_ms(RENEWAL_INTERVAL) / 2
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
    let decoded =
        |(key, row): (&String, &Row)| unreadable::readable(Entry::NodeRow, key, decode_row(row));
    let mut seed_rows: Vec<NodeRow> = rows
        .iter()
        .filter_map(decoded)
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
