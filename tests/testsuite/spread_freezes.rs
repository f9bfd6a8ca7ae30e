//! Nodes that are frozen and resumed at random times while versions are published and callers send requests on
//! open connections.
//!
//! CI plays a few rounds from fixed seeds. To play others:
//! `DRAGONFLYWALL_FREEZE_SEED=7 DRAGONFLYWALL_FREEZE_ROUNDS=20 cargo test --test testsuite spread_freezes`

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use testkit::http::{request, wait_until};
use testkit::process::{LogLine, NodeProcess, Signal};
use testkit::users::configuration::DEFAULT_HOST;
use testkit::users::mesh::{Mesh, Plan, REQUEST_ID};
use testkit::users::store::CallFault;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::spread_failures::{
    FREEZE, kill, publish_change, publish_while_frozen, resume_with_queued_requests, small_mesh,
};
use crate::support::{
    SERVICES, WAIT_TIMEOUT, fetch_metrics, start_serving_users_mesh, users_routes, write_routes,
};

/// Time between two ticks from which a process counts as frozen.
const FREEZE_GAP: Duration = Duration::from_millis(3_000);

/// Connections to each node on which requests are sent, one after another.
const CALLERS_PER_NODE: usize = 3;

fn variable(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| {
        text.parse().expect("the variable is a number")
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The lowest version under which a node may answer a request, by the phase in which the request was sent. A phase
/// ends when the node is frozen and when it resumes.
#[derive(Debug)]
struct Required(Mutex<Vec<u64>>);

impl Required {
    fn phase(&self) -> usize {
        lock(&self.0).len() - 1
    }

    fn begin_phase(&self) {
        let mut versions = lock(&self.0);
        let version = versions.last().copied().unwrap_or(0);
        versions.push(version);
    }

    fn raise(&self, version: u64) {
        if let Some(last) = lock(&self.0).last_mut() {
            *last = version.max(*last);
        }
    }

    fn at(&self, phase: usize) -> u64 {
        lock(&self.0)[phase]
    }
}

/// State that the tasks of a run share.
struct Run {
    mesh: Mesh,
    required: Vec<Required>,
    violations: Mutex<Vec<String>>,
    /// The highest version that all nodes that were awake have enforced.
    enforced_everywhere: Mutex<u64>,
    newest: Mutex<u64>,
    served: Mutex<u64>,
    refused: Mutex<u64>,
    started: Instant,
    stop: CancellationToken,
}

impl Run {
    fn node(&self, position: usize) -> &NodeProcess {
        self.mesh.vms[position].node()
    }

    fn is_frozen(&self, position: usize) -> bool {
        !self.required[position].phase().is_multiple_of(2)
    }

    fn publish(&self) {
        let mut newest = lock(&self.newest);
        *newest += 1;
        write_routes(&self.mesh, *newest, &users_routes(), &SERVICES);
    }

    /// Suspends a node and waits until it is suspended, so that it admits no request of the phase that begins.
    async fn freeze(&self, position: usize) {
        let node = self.node(position);
        node.signal(Signal::Stop);
        let stat = format!("/proc/{}/stat", node.id().expect("the node runs"));
        loop {
            let text = std::fs::read_to_string(&stat).expect("the node runs");
            let state = text.rsplit(')').next().unwrap_or_default().trim_start();
            if state.starts_with('T') {
                break;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        self.required[position].begin_phase();
    }

    fn resume(&self, position: usize, frozen_for: Duration) {
        if frozen_for >= FREEZE_GAP {
            let version = *lock(&self.enforced_everywhere);
            self.required[position].raise(version);
        }
        self.node(position).signal(Signal::Continue);
        self.required[position].begin_phase();
    }

    /// Keeps `enforced_everywhere` up to date.
    async fn watch_versions(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            let mut lowest = u64::MAX;
            for position in 0..self.required.len() {
                let phase = self.required[position].phase();
                if self.is_frozen(position) {
                    continue;
                }
                let version = self.mesh.version_at(position);
                let version = tokio::time::timeout(Duration::from_millis(500), version).await;
                // A node that was frozen meanwhile is not awake.
                if self.required[position].phase() == phase {
                    lowest = lowest.min(version.unwrap_or(0));
                }
            }
            if lowest != u64::MAX {
                let mut everywhere = lock(&self.enforced_everywhere);
                *everywhere = lowest.max(*everywhere);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends requests on an open connection and checks the version of each response.
    async fn send_requests(self: Arc<Self>, position: usize) {
        let entry = self.node(position).addresses.caller;
        let mut connection = None;
        while !self.stop.is_cancelled() {
            let mut sender = match connection.take() {
                Some(sender) => sender,
                None => match connect(entry).await {
                    Ok(sender) => sender,
                    Err(_) => continue,
                },
            };
            let phase = self.required[position].phase();
            let sent = self.started.elapsed();
            let Ok((status, version, reason)) = send(&mut sender).await else {
                continue;
            };
            connection = Some(sender);
            let required = self.required[position].at(phase);
            let pause_ms = match status {
                StatusCode::SERVICE_UNAVAILABLE => {
                    *lock(&self.refused) += 1;
                    2
                }
                _ => {
                    *lock(&self.served) += 1;
                    20
                }
            };
            if status != StatusCode::SERVICE_UNAVAILABLE && version < required {
                lock(&self.violations).push(format!(
                    "VM {position}: {status} {reason} under version {version}, {required} was enforced everywhere \
                     before its resumption; sent at {sent:?} in phase {phase}, answered at {:?}",
                    self.started.elapsed(),
                ));
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

async fn connect(entry: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends a request and returns the status, the version and the reason of a failure.
async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
) -> Result<(StatusCode, u64, String), hyper::Error> {
    sender.ready().await?;
    let id = format!("{:016x}", rand::random::<u64>());
    let request = Request::get("/stock/1?bytes=10")
        .header("host", DEFAULT_HOST)
        .header(REQUEST_ID, &id)
        .header("x-dfw-deadline-ms", "8000");
    let request = request.body(Full::new(Bytes::new()));
    let response = sender.send_request(request.expect("the request is valid"));
    let (parts, body) = response.await?.into_parts();
    body.collect().await?;
    let text = |name: &str| {
        let value = parts.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    };
    let version = text("x-dragonflywall-version").parse().unwrap_or(0);
    let reason = text("x-dragonflywall-reason").to_owned();
    Ok((parts.status, version, reason))
}

/// Which freezes a run plays.
#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    rounds: u64,
    freeze_ms: Range<u64>,
    /// Chance of a second freeze soon after the first, in percent, and its length.
    second_percent: u32,
    second_ms: Range<u64>,
    /// Pause between the two freezes.
    between_ms: Range<u64>,
    /// Pauses between publications.
    publish_ms: Range<u64>,
    /// One-way delays in a region, and between regions.
    delays_ms: (u64, u64),
}

/// Freezes one node, some of them or those of a data centre, and resumes them.
async fn play_round(run: &Run, rng: &mut StdRng, schedule: &Schedule) {
    let nodes = run.required.len();
    let mut positions: Vec<usize> = (0..nodes).collect();
    positions.shuffle(rng);
    let frozen: Vec<usize> = match rng.random_range(0..4) {
        0 => positions[..1].to_vec(),
        1 => positions[..nodes / 3].to_vec(),
        2 => positions[..nodes / 2].to_vec(),
        _ => {
            let data_centre = run.mesh.vms[positions[0]].data_centre;
            positions.retain(|position| run.mesh.vms[*position].data_centre == data_centre);
            positions
        }
    };
    let has_second = rng.random_range(0..100) < schedule.second_percent;
    let freezes = 1 + usize::from(has_second);
    let publishes = rng.random_range(0..4);
    for number in 0..freezes {
        let freeze_ms = match number {
            0 => schedule.freeze_ms.clone(),
            _ => schedule.second_ms.clone(),
        };
        let freeze = Duration::from_millis(rng.random_range(freeze_ms));
        if number == 0 && publishes == 0 {
            run.publish();
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..50))).await;
        }
        for position in &frozen {
            run.freeze(*position).await;
        }
        let since = Instant::now();
        if publishes == 1 {
            let early = freeze.mul_f64(rng.random_range(0.0..1.0));
            tokio::time::sleep(early).await;
            run.publish();
        }
        tokio::time::sleep(freeze.saturating_sub(since.elapsed())).await;
        if publishes == 2 {
            run.publish();
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
        }
        let spread_ms = [0, 0, 5, 300][rng.random_range(0..4)];
        for position in &frozen {
            run.resume(*position, since.elapsed());
            if spread_ms > 0 {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..spread_ms))).await;
            }
        }
        if publishes == 3 {
            run.publish();
        }
        let between_ms = rng.random_range(schedule.between_ms.clone());
        tokio::time::sleep(Duration::from_millis(between_ms)).await;
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(300..2_500))).await;
}

/// Plays a schedule. Panics if a response was under too old a version.
async fn play(schedule: Schedule) {
    println!("{schedule:?}");
    let mut plan = Plan::new(&SERVICES);
    plan.vms_per_service = usize::try_from(variable("DRAGONFLYWALL_FREEZE_VMS", 1)).expect("small");
    let (log_sender, mut log_lines) = mpsc::unbounded_channel();
    plan.log_lines = Some(log_sender);
    let mesh = start_serving_users_mesh(plan).await;
    let (in_region, between) = schedule.delays_ms;
    let (in_region, between) = (
        Duration::from_millis(in_region),
        Duration::from_millis(between),
    );
    mesh.network.set_delays(in_region, between);
    let required = || Required(Mutex::new(vec![1]));
    let run = Arc::new(Run {
        required: mesh.vms.iter().map(|_| required()).collect(),
        mesh,
        violations: Mutex::default(),
        enforced_everywhere: Mutex::new(1),
        newest: Mutex::new(1),
        served: Mutex::default(),
        refused: Mutex::default(),
        started: Instant::now(),
        stop: CancellationToken::new(),
    });
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(Arc::clone(&run).watch_versions());
    for position in 0..run.required.len() {
        for _ in 0..CALLERS_PER_NODE {
            tasks.spawn(Arc::clone(&run).send_requests(position));
        }
    }
    let publisher = Arc::clone(&run);
    let (seed, publish_ms) = (schedule.seed, schedule.publish_ms.clone());
    tasks.spawn(async move {
        let mut rng = StdRng::seed_from_u64(seed + 1_000_000);
        while !publisher.stop.is_cancelled() {
            let pause_ms = rng.random_range(publish_ms.clone());
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            publisher.publish();
        }
    });
    let mut rng = StdRng::seed_from_u64(schedule.seed);
    for _ in 0..schedule.rounds {
        play_round(&run, &mut rng, &schedule).await;
    }
    run.stop.cancel();
    tasks.join_all().await;
    let violations = lock(&run.violations).clone();
    println!(
        "seed {}: {} served, {} refused, {} versions, {} violations",
        schedule.seed,
        *lock(&run.served),
        *lock(&run.refused),
        *lock(&run.newest),
        violations.len(),
    );
    if violations.is_empty() {
        return;
    }
    while let Ok(LogLine {
        position,
        read_at,
        text,
    }) = log_lines.try_recv()
    {
        let words = [
            "froz",
            "freeze",
            "enforced a conf",
            "platform",
            "lead",
            "announced",
        ];
        if words.iter().any(|word| text.contains(word)) {
            let at = read_at.saturating_duration_since(run.started);
            println!("VM {position} {at:?} {text}");
        }
    }
    panic!("{violations:#?}");
}

/// Guards against requests that are served under an outdated version after a freeze, whichever nodes are
/// frozen, and whenever versions are published.
#[tokio::test(flavor = "multi_thread")]
async fn no_resumed_node_serves_under_an_outdated_version() {
    play(Schedule {
        seed: variable("DRAGONFLYWALL_FREEZE_SEED", 1),
        rounds: variable("DRAGONFLYWALL_FREEZE_ROUNDS", 4),
        freeze_ms: 3_050..4_500,
        second_percent: 50,
        second_ms: 3_050..3_500,
        between_ms: 0..400,
        publish_ms: 200..1_500,
        delays_ms: (1, 5),
    })
    .await;
}

/// Guards against a refresh whose time limit passes in a pause of the process that is too short to count as a freeze:
/// the node then has not run for long enough to read what its peers answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_during_a_refresh_does_not_end_it() {
    let mesh = small_mesh().await;
    let delay = Duration::from_millis(100);
    let frozen: Vec<usize> = positions_in(&mesh, 1);
    for position in &frozen {
        mesh.vms[*position].node().signal(Signal::Stop);
    }
    publish_while_frozen(&mesh, &frozen).await;
    mesh.network.set_delays(delay, delay);
    for position in &frozen {
        mesh.vms[*position].node().signal(Signal::Continue);
    }
    for position in &frozen {
        let node = mesh.vms[*position].node();
        wait_until("the refresh has begun", WAIT_TIMEOUT, || async {
            let metrics = fetch_metrics(node.addresses.operator).await;
            metrics.contains("dragonflywall_freezes_total 1")
        })
        .await;
        node.signal(Signal::Stop);
    }
    // Longer than the time limit of a refresh, shorter than a freeze.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    // What was sent has arrived by now. Requests to other nodes have less time than these delays add up to.
    mesh.network.set_delays(Duration::ZERO, Duration::ZERO);
    resume_with_queued_requests(&mesh, &frozen).await;
}

/// Guards against peers that have just started, and enforce no version yet, that end the refresh of a node that was
/// frozen. They are the nearest ones, so that they answer before the store and the nodes elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn peers_without_a_configuration_do_not_end_a_refresh() {
    let mut mesh = small_mesh().await;
    let site: Vec<usize> = positions_in(&mesh, 1);
    let (frozen, restarted) = site.split_at(1);
    mesh.network.set_cut(true, |from, to| from == 1 && to != 1);
    assert!(publish_change(&mesh, 31).await);
    assert!(publish_change(&mesh, 32).await);
    for position in (0..mesh.vms.len()).filter(|position| !site.contains(position)) {
        wait_until("the others enforce the version", WAIT_TIMEOUT, || async {
            mesh.version_at(position).await == 3
        })
        .await;
    }
    // The other node learns that its connections are closed, so that its queries open new ones.
    kill(&mut mesh, restarted).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    mesh.vms[frozen[0]].node().signal(Signal::Stop);
    tokio::time::sleep(FREEZE).await;
    let started = mesh.start_nodes(restarted.to_vec()).await;
    started.expect("the nodes start again");
    let delay = Duration::from_millis(100);
    mesh.network.set_delays(delay, delay);
    mesh.network.set_cut(false, |_, _| true);
    resume_with_queued_requests(&mesh, frozen).await;
}

fn positions_in(mesh: &testkit::mesh::Mesh, site: u8) -> Vec<usize> {
    let in_site = |position: &usize| mesh.vms[*position].site == site;
    (0..mesh.vms.len()).filter(in_site).collect()
}

/// Guards against a starting node that takes the version of a lead that has just resumed after a freeze for the head
/// of the store, and enforces an older version than before its restart. The store does not answer, the node reaches
/// only its lead, and the lead gets answers from the other data centre late. Two data centres are in this state.
#[tokio::test(flavor = "multi_thread")]
async fn lead_that_refreshes_does_not_settle_the_floor_of_a_starting_node() {
    let mut mesh = start_serving_users_mesh(Plan::new(&SERVICES)).await;
    let leads = [
        mesh.wait_lead("gijon").await,
        mesh.wait_lead("bilbao").await,
    ];
    let is_follower = |position: &usize| {
        !leads.contains(position) && mesh.vms[*position].data_centre.0 != "burgos"
    };
    let followers: Vec<usize> = (0..mesh.vms.len()).filter(is_follower).collect();
    for lead in leads {
        mesh.vms[lead].node().signal(Signal::Stop);
    }
    write_routes(&mesh, 2, &users_routes(), &SERVICES);
    for position in (0..mesh.vms.len()).filter(|position| !leads.contains(position)) {
        wait_until("the others enforce version 2", WAIT_TIMEOUT, || async {
            mesh.version_at(position).await == 2
        })
        .await;
    }
    mesh.store.set_call_fault(CallFault::Unavailable);
    for follower in &followers {
        mesh.kill_node(*follower).await.expect("the node exits");
    }
    let (in_region, between) = (Duration::from_millis(1), Duration::from_millis(300));
    mesh.network.set_delays(in_region, between);
    let place = |site: u8| mesh.vms.get(usize::from(site)).map(|vm| vm.data_centre);
    let is_follower = |site: u8| followers.contains(&usize::from(site));
    mesh.network.set_cut(true, |from, to| {
        let is_store = from == mesh.store_site || to == mesh.store_site;
        !is_store && is_follower(from) && place(from) != place(to)
    });
    tokio::time::sleep(FREEZE).await;
    for follower in &followers {
        mesh.start_node(*follower).await.expect("the node starts");
    }
    // The nodes that have started pause longest after their first read of the store; the leads resume near its end.
    tokio::time::sleep(Duration::from_millis(900)).await;
    for lead in leads {
        mesh.vms[lead].node().signal(Signal::Continue);
    }
    wait_until("the nodes enforce a version", WAIT_TIMEOUT, || async {
        let mut enforcing = 0;
        for follower in &followers {
            let version = mesh.version_at(*follower).await;
            let lead = leads
                .iter()
                .find(|lead| mesh.vms[**lead].data_centre == mesh.vms[*follower].data_centre);
            let lead_is_ready = is_ready(&mesh, *lead.expect("each data centre has a lead")).await;
            // A lead that has waited for the time limit serves what it has, and so may its followers.
            assert!(
                version != 1 || lead_is_ready,
                "VM {follower} enforces version 1, and its lead still refreshes"
            );
            enforcing += usize::from(version > 0);
        }
        enforcing == followers.len()
    })
    .await;
}

async fn is_ready(mesh: &Mesh, position: usize) -> bool {
    let ready = mesh.vms[position].node().addresses.ready;
    let ready = ready.expect("the node has a readiness address");
    let reply = request(ready, Method::GET, "node", "/-/readyz", &[], "").await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}
