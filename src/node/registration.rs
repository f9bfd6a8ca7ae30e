//! Registers the node with the platform and reads who else is registered.
//!
//! The table's rows are a bootstrap hint and nothing more: a node that cannot register is reached
//! through its peers, and one that cannot read the list uses `--peer-seeds`.

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
use crate::platform::{Result, Table, Transaction};
use crate::util::clock;

/// Between renewals. 520 nodes renew about twice a second together.
const RENEWAL: Duration = Duration::from_secs(240);
/// Until the first tries have worked.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Registrations read at the start: enough to find a live one, a fraction of the mesh.
const BOOTSTRAP_ROWS: u32 = 64;

pub(crate) async fn run(
    node: Arc<NodeState>,
    me: Member,
    platform: HttpPlatform,
    membership: ActorRef<MembershipMsg>,
    stop: CancellationToken,
) {
    let mut retry = RETRY_MIN;
    loop {
        let done = register(&platform, &me).await;
        let found = bootstrap(&platform, &me, &membership).await;
        let alone = node.view.load().alive() < 2;
        let pause = match (done, found) {
            (Ok(()), Ok(())) if !alone => RENEWAL,
            _ => {
                retry = (retry * 2).min(RETRY_MAX);
                retry
            }
        };
        // Half to whole of the pause, so that nodes that started together drift apart.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(pause.mul_f64(jitter)) => (),
        }
    }
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

async fn bootstrap(
    platform: &HttpPlatform,
    me: &Member,
    membership: &ActorRef<MembershipMsg>,
) -> Result<()> {
    let rows = platform.rows(NODE_PREFIX, "", BOOTSTRAP_ROWS).await?;
    let seeds = rows
        .values()
        .filter_map(|row| serde_json::from_str::<NodeRow>(&row.value).ok())
        .filter(|row| row.node != me.node)
        .map(|row| {
            if row.place == me.place {
                row.node.0
            } else {
                row.external
            }
        })
        .collect();
    let _ = membership.cast(MembershipMsg::Seeds(seeds));
    Ok(())
}
