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

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::core::member::Member;
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::platform::http::HttpPlatform;
use crate::platform::rows::{NODE_PREFIX, NodeRow, node_key};
use crate::platform::{Result, Row, Table, Transaction};
use crate::util::clock;

/// Between renewals. 520 nodes renew about three times a second together.
const RENEWAL: Duration = Duration::from_secs(240);
/// The first renewal: those who started at the same time have registered by then.
const SECOND_READ: Duration = Duration::from_secs(15);
/// A row that was not renewed for three renewals is of a VM that is gone.
const ROW_AGE_MAX_MS: u64 = 3 * 240_000;
/// Until the first tries have worked.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Registrations read at a time: enough to find a live one, a fraction of the mesh.
const PAGE_ROWS: u32 = 32;
/// Span of the first reads of a herd: 520 in it are below half of the table's ceiling.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(600);
/// Span of the writes of a herd per row found. A full page means a large mesh.
const WRITE_SPREAD_PER_ROW: Duration = Duration::from_millis(60);

pub(crate) async fn run(
    node: Arc<NodeState>,
    me: Member,
    platform: HttpPlatform,
    membership: ActorRef<MembershipMsg>,
    stop: CancellationToken,
) {
    stop.run_until_cancelled(keep(&node, &me, &platform, &membership))
        .await;
}

async fn keep(
    node: &NodeState,
    me: &Member,
    platform: &HttpPlatform,
    membership: &ActorRef<MembershipMsg>,
) {
    let mut retry = RETRY_MIN;
    let mut pause = SECOND_READ;
    sleep_within(FIRST_READ_SPREAD).await;
    loop {
        let found = bootstrap(platform, me, membership).await;
        let rows = found.as_ref().map_or(PAGE_ROWS, |rows| *rows);
        sleep_within(WRITE_SPREAD_PER_ROW * rows).await;
        let done = register(platform, me).await;
        let alone = node.view.load().alive() < 2;
        if done.is_ok() && found.is_ok() && !alone {
            sleep_about(pause).await;
            pause = RENEWAL;
        } else {
            retry = (retry * 2).min(RETRY_MAX);
            sleep_about(retry).await;
        }
    }
}

/// Half to whole of the pause, so that nodes that started together drift apart.
async fn sleep_about(pause: Duration) {
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(pause.mul_f64(jitter)).await;
}

async fn sleep_within(span: Duration) {
    let share = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(span.mul_f64(share)).await;
}

async fn register(platform: &HttpPlatform, me: &Member) -> Result<()> {
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
    platform: &HttpPlatform,
    me: &Member,
    membership: &ActorRef<MembershipMsg>,
) -> Result<u32> {
    let mut rows = platform
        .rows(NODE_PREFIX, &node_key(me.node), PAGE_ROWS)
        .await?;
    if rows.len() < PAGE_ROWS as usize / 2 {
        rows.extend(platform.rows(NODE_PREFIX, "", PAGE_ROWS).await?);
    }
    let _ = membership.cast(MembershipMsg::Seeds(seeds(&rows, me)));
    Ok(u32::try_from(rows.len()).unwrap_or(u32::MAX))
}

fn seeds(rows: &BTreeMap<String, Row>, me: &Member) -> Vec<SocketAddr> {
    let now_ms = clock::wall_ms();
    rows.values()
        .filter_map(|row| serde_json::from_str::<NodeRow>(&row.value).ok())
        .filter(|row| row.node != me.node)
        .filter(|row| now_ms.saturating_sub(row.renewed_ms) < ROW_AGE_MAX_MS)
        .map(|row| match row.place == me.place {
            true => row.node.0,
            false => row.external,
        })
        .collect()
}
