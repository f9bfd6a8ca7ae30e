//! The network between data centres: fronts that forward TCP with delay, throttle, cuts, counts.
//!
//! A [`Forwarder`] stands before one listener. Who connects is told by the source address: data
//! centre number N (a [`Site`]) dials from 127.x.N+1.1, where x is the network's own. The [`Network`] holds one policy for each
//! ordered pair of sites; all connections of one pair of regions share one throttle, as they
//! would share the link.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of a data centre, from 0.
pub type Site = u8;

/// Where operators' commands run, which dial from an address of no site: beside the platform.
pub const OPERATOR_SITE: Site = 0;

const CHUNK_BYTES: usize = 16 << 10;
/// Chunks under way in one direction of one connection: about 4 MiB, above delay times bandwidth.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// What happens to traffic from one site to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkPolicy {
    /// One-way delay.
    pub delay: Duration,
    /// Nothing passes; connections stay open and silent, as when a link is cut.
    pub cut: bool,
}

/// The policies and counters between sites.
#[derive(Debug)]
pub struct Network {
    address_octet: u8,
    region_of: Vec<u8>,
    policies: Mutex<BTreeMap<(Site, Site), LinkPolicy>>,
    policy_changes: watch::Sender<u64>,
    bytes: Mutex<BTreeMap<(Site, Site), Arc<AtomicU64>>>,
    region_links: BTreeMap<(u8, u8), SharedLink>,
}

#[derive(Debug)]
struct SharedLink {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl SharedLink {
    /// When the last of `bytes` has left, given all that left before.
    fn schedule(&self, bytes: usize) -> Instant {
        let mut free_at = lock(&self.free_at);
        let start = (*free_at).max(Instant::now());
        *free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The site that an address belongs to.
pub fn site_of(ip: IpAddr) -> Option<Site> {
    match ip {
        IpAddr::V4(ip) if ip.octets()[0] == 127 => ip.octets()[2].checked_sub(1),
        _ => None,
    }
}

/// Networks of one process that can have addresses of their own.
const MAX_NETWORKS: u32 = 250;

/// Guards against a node that can't come back to its address, since a listener or an outgoing
/// connection of another network took the port meanwhile: no two networks share an address.
fn next_address_octet() -> u8 {
    static STARTED_NETWORKS: AtomicU32 = AtomicU32::new(0);
    let network_number = STARTED_NETWORKS.fetch_add(1, Ordering::Relaxed) + std::process::id();
    u8::try_from(network_number % MAX_NETWORKS).unwrap_or(0) + 1
}

impl Network {
    /// Loopback address of a site.
    pub fn site_ip(&self, site: Site) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.address_octet, site + 1, 1))
    }

    /// A network of sites, given the region of each; links between regions carry
    /// `link_mbit_per_s` each way.
    pub fn new(region_of: Vec<u8>, link_mbit_per_s: f64) -> Arc<Self> {
        let mut region_links = BTreeMap::new();
        for from in &region_of {
            for to in region_of.iter().filter(|to| *to != from) {
                let link = SharedLink {
                    bytes_per_s: link_mbit_per_s * 1e6 / 8.0,
                    free_at: Mutex::new(Instant::now()),
                };
                region_links.insert((*from, *to), link);
            }
        }
        Arc::new(Self {
            address_octet: next_address_octet(),
            region_of,
            policies: Mutex::default(),
            policy_changes: watch::Sender::new(0),
            bytes: Mutex::default(),
            region_links,
        })
    }

    /// Sets one-way delays: inside a site none, between sites of a region, between regions.
    pub fn set_delays(&self, in_region: Duration, between_regions: Duration) {
        for (from, to) in self.site_pairs() {
            let delay = match (from == to, self.same_region(from, to)) {
                (true, _) => Duration::ZERO,
                (false, true) => in_region,
                (false, false) => between_regions,
            };
            lock(&self.policies).entry((from, to)).or_default().delay = delay;
        }
        self.policy_changes
            .send_modify(|generation| *generation += 1);
    }

    /// Cuts or heals every pair for which `which` holds, both ways.
    pub fn set_cut(&self, cut: bool, is_affected: impl Fn(Site, Site) -> bool) {
        for (from, to) in self.site_pairs() {
            if is_affected(from, to) || is_affected(to, from) {
                lock(&self.policies).entry((from, to)).or_default().cut = cut;
            }
        }
        self.policy_changes
            .send_modify(|generation| *generation += 1);
    }

    /// Whether two sites are in one region.
    pub fn same_region(&self, a: Site, b: Site) -> bool {
        self.region_of.get(usize::from(a)) == self.region_of.get(usize::from(b))
    }

    /// Bytes carried between each ordered pair of sites.
    pub fn bytes(&self) -> BTreeMap<(Site, Site), u64> {
        let bytes = lock(&self.bytes);
        let load_count = |(pair, count): (&(Site, Site), &Arc<AtomicU64>)| {
            (*pair, count.load(Ordering::Relaxed))
        };
        bytes.iter().map(load_count).collect()
    }

    /// Bytes carried between regions, both ways.
    pub fn bytes_between_regions(&self) -> u64 {
        let crosses_regions = |((from, to), _): &((Site, Site), u64)| !self.same_region(*from, *to);
        self.bytes()
            .into_iter()
            .filter(crosses_regions)
            .map(|(_, n)| n)
            .sum()
    }

    fn site_pairs(&self) -> impl Iterator<Item = (Site, Site)> + use<> {
        let sites = u8::try_from(self.region_of.len()).unwrap_or(u8::MAX);
        (0..sites).flat_map(move |from| (0..sites).map(move |to| (from, to)))
    }

    fn policy(&self, from: Site, to: Site) -> LinkPolicy {
        lock(&self.policies)
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    fn byte_counter(&self, from: Site, to: Site) -> Arc<AtomicU64> {
        Arc::clone(lock(&self.bytes).entry((from, to)).or_default())
    }

    fn region_link(&self, from: Site, to: Site) -> Option<&SharedLink> {
        let from = self.region_of.get(usize::from(from))?;
        let to = self.region_of.get(usize::from(to))?;
        self.region_links.get(&(*from, *to))
    }

    async fn wait_until_healed(&self, from: Site, to: Site) {
        let mut changes = self.policy_changes.subscribe();
        while self.policy(from, to).cut {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Forwards connections to one listener across the network. Ends when dropped.
#[derive(Debug)]
pub struct Forwarder {
    /// Where others connect.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    bytes: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Forwarder {
    /// Opens a front for a listener in `site` whose address is not known yet.
    pub async fn open(network: &Arc<Network>, site: Site) -> std::io::Result<Self> {
        Self::open_at(network, site, SocketAddr::new(network.site_ip(site), 0)).await
    }

    /// The same, at an address of the caller's choice.
    pub async fn open_at(
        network: &Arc<Network>,
        site: Site,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (target, target_updates) = watch::channel(None);
        let stop = CancellationToken::new();
        let bytes = Arc::new(AtomicU64::new(0));
        let accept_loop = accept_connections(
            listener,
            Arc::clone(network),
            site,
            target_updates,
            Arc::clone(&bytes),
        );
        let stop_token = stop.clone();
        tokio::spawn(async move { stop_token.run_until_cancelled(accept_loop).await });
        Ok(Self {
            address,
            target,
            bytes,
            stop,
        })
    }

    /// Bytes that passed so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Names the listener that it stands before.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }
}

async fn accept_connections(
    listener: TcpListener,
    network: Arc<Network>,
    site: Site,
    target_updates: watch::Receiver<Option<SocketAddr>>,
    bytes: Arc<AtomicU64>,
) {
    // Connections end with the front: the set aborts its tasks when it is dropped.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let target = *target_updates.borrow();
        let Some(target) = target else { continue };
        let from = site_of(peer.ip()).unwrap_or(OPERATOR_SITE);
        let connection = ForwardedConnection {
            network: Arc::clone(&network),
            from,
            to: site,
            forwarder_bytes: Arc::clone(&bytes),
        };
        connections.spawn(connection.forward(stream, target));
    }
}

/// Way of one connection: from the site that dialled to the front's.
struct ForwardedConnection {
    network: Arc<Network>,
    from: Site,
    to: Site,
    forwarder_bytes: Arc<AtomicU64>,
}

impl ForwardedConnection {
    async fn forward(self, client: TcpStream, target: SocketAddr) {
        let Self {
            network,
            from,
            to,
            forwarder_bytes,
        } = self;
        network.wait_until_healed(from, to).await;
        tokio::time::sleep(network.policy(from, to).delay * 2).await;
        let Ok(server) = connect_from(target, network.site_ip(from)).await else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let to_server = Direction {
            network: &network,
            from,
            to,
            forwarder_bytes: &forwarder_bytes,
        };
        let to_client = Direction {
            from: to,
            to: from,
            ..to_server
        };
        tokio::join!(
            to_server.copy(client_read, server_write),
            to_client.copy(server_read, client_write),
        );
    }
}

async fn connect_from(target: SocketAddr, source: IpAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // So that a listener may come back to this port after its process died.
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

/// One direction of a connection.
#[derive(Clone, Copy)]
struct Direction<'a> {
    network: &'a Network,
    from: Site,
    to: Site,
    forwarder_bytes: &'a AtomicU64,
}

impl Direction<'_> {
    async fn copy(self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
        let Self {
            network,
            from,
            to,
            forwarder_bytes,
        } = self;
        let counter = network.byte_counter(from, to);
        let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
        let reading = async move {
            let mut chunk = vec![0; CHUNK_BYTES];
            while let Ok(length) = read.read(&mut chunk).await {
                if length == 0 {
                    break;
                }
                counter.fetch_add(length as u64, Ordering::Relaxed);
                forwarder_bytes.fetch_add(length as u64, Ordering::Relaxed);
                let sent_at = network
                    .region_link(from, to)
                    .map(|link| link.schedule(length));
                let arrival = sent_at.unwrap_or_else(Instant::now) + network.policy(from, to).delay;
                let chunk = chunk[..length].to_vec();
                if sender.send((arrival, chunk)).await.is_err() {
                    break;
                }
            }
        };
        let writing = async move {
            while let Some((arrival, chunk)) = receiver.recv().await {
                tokio::time::sleep_until(arrival).await;
                network.wait_until_healed(from, to).await;
                if write.write_all(&chunk).await.is_err() {
                    break;
                }
            }
            let _ = write.shutdown().await;
        };
        tokio::join!(reading, writing);
    }
}
