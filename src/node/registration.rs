//! Registers the node with the platform and reads who else is registered.
//!
//! The table's rows are a bootstrap hint and nothing more: a node that cannot register is reached
//! through its peers, and one that cannot read the list uses `--peer-seeds`.
//!
//! Load made for: 520 nodes that start at once, against a table of several hundred writes and two
//! thousand reads a second. Each node reads one page, at a random moment of [`FIRST_READ_SPREAD`],
//! and writes its own row at a random moment of a span that grows with the number of rows it
//! found: 520 writes take about two seconds. Each reads the rows behind its own key, so that no
//! few nodes are everybody's seeds.
//!
//! Harm prevented: half of the nodes reach the table across the billed link, where a page costs
//! more than many publications. So pages are short, rows are renewed seldom, and only the watchers
//! of each data centre read again, to find nodes that started apart from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
/// Span of the first reads of a herd: 520 in it, and as many
/// first looks at the head, are half of the table's ceiling.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(1_000);
/// Span of the writes of a herd per row found. A full page means a large mesh.
const WRITE_SPREAD_PER_ROW: Duration = Duration::from_millis(120);

pub(crate) async fn run(
    node: Arc<NodeState>,
    me: Member,
    platform: NodeStore,
    membership: ActorRef<MembershipMsg>,
    stop: CancellationToken,
) {
    stop.run_until_cancelled(keep(&node, &me, &platform, &membership))
        .await;
}

async fn keep(
    node: &NodeState,
    me: &Member,
    platform: &NodeStore,
    membership: &ActorRef<MembershipMsg>,
) {
    sleep_within(FIRST_READ_SPREAD).await;
    let mut failures = 0;
    let mut page_rows = PAGE_ROWS;
    loop {
        let found = bootstrap(platform, me, page_rows, membership).await;
        let rows = found.as_ref().map_or(PAGE_ROWS, |rows| *rows);
        sleep_within(WRITE_SPREAD_PER_ROW * rows.min(PAGE_ROWS)).await;
        let done = register(platform, me).await;
        let alone = node.view.load().alive() < 2;
        if done.is_ok() && found.is_ok() && !alone {
            break;
        }
        page_rows = if alone { LONG_PAGE_ROWS } else { PAGE_ROWS };
        sleep_about(Duration::from_millis(RETRY.pause_ms(failures))).await;
        failures += 1;
    }
    for pause in FURTHER_READS {
        sleep_about(pause).await;
        read_as_watcher(node, me, platform, membership).await;
    }
    loop {
        sleep_about(RENEWAL).await;
        read_as_watcher(node, me, platform, membership).await;
        while register(platform, me).await.is_err() {
            sleep_about(Duration::from_millis(RETRY_LONGEST_MS)).await;
        }
    }
}

async fn read_as_watcher(
    node: &NodeState,
    me: &Member,
    platform: &NodeStore,
    membership: &ActorRef<MembershipMsg>,
) {
    let view = node.view.load_full();
    let watchers = neighbours::watchers(me, view.members.iter());
    let alone = view.alive() < 2;
    if alone || watchers.contains(&me.node) {
        let rows = if alone { LONG_PAGE_ROWS } else { PAGE_ROWS };
        // A failure is made up for with the next read.
        let _ = bootstrap(platform, me, rows, membership).await;
    }
}

/// Half to whole of the pause, so that nodes that started together drift apart.
async fn sleep_about(pause: Duration) {
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let jittered_ms = pacing::jittered_ms(pause_ms, rand::random());
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}

async fn sleep_within(span: Duration) {
    let share = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(span.mul_f64(share)).await;
}

async fn register(platform: &NodeStore, me: &Member) -> Result<()> {
    let row = NodeRow {
        node: me.node,
        external: me.external,
        place: me.place.clone(),
        renewed_ms: clock::wall_ms(),
    };
    let value = serde_json::to_string(&row).expect("rows always encode");
    let transaction = Transaction {
        conditions: Vec::new(),
        puts: [(node_key(me.node), value)].into(),
    };
    platform.transact(&transaction).await.map(drop)
}

/// Reads a page of registrations behind the own one, or the first page at the end of the list.
/// Returns how many rows there were.
async fn bootstrap(
    platform: &NodeStore,
    me: &Member,
    page_rows: u32,
    membership: &ActorRef<MembershipMsg>,
) -> Result<u32> {
    let mut rows = platform
        .rows(NODE_PREFIX, &node_key(me.node), page_rows)
        .await?;
    if rows.len() < page_rows as usize / 2 {
        rows.extend(platform.rows(NODE_PREFIX, "", page_rows).await?);
    }
    let _ = membership.cast(MembershipMsg::Seeds(seeds(&rows, me)));
    Ok(u32::try_from(rows.len()).unwrap_or(u32::MAX))
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
