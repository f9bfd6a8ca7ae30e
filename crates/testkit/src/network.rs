//! A simulated network between sites: TCP forwarders that delay, throttle, cut and meter traffic.
//!
//! A [`Forwarder`] accepts connections on behalf of one listener. It derives the client's [`Site`] from
//! the source address: processes of site N connect from 127.x.N+1.1, where x differs between
//! [`Network`]s. The network has one [`LinkPolicy`] for each ordered pair of sites. All connections
//! from one region to another share one bandwidth limit, as they would share the physical link.

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

/// Number of a place in the network, from 0: a data centre, or a single VM in [`crate::users::mesh`].
pub type Site = u8;

/// Site that is assumed for clients whose address belongs to no site, such as operators' commands. The
/// platform is there too.
pub const OPERATOR_SITE: Site = 0;

/// Largest number of bytes that is read and forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Limit on the chunks in flight in one direction of one connection. They hold about 4 MiB, which is
/// more than delay times bandwidth of a link, so that this limit doesn't reduce the throughput.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Delay and state of the link from one site to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkPolicy {
    /// One-way delay.
    pub delay: Duration,
    /// Whether the link is cut. Connections then stay open, but no data passes.
    pub cut: bool,
}

/// The links between all sites: their policies, bandwidth limits and byte counters.
#[derive(Debug)]
pub struct Network {
    address_octet: u8,
    region_of: Vec<u8>,
    policies: Mutex<BTreeMap<(Site, Site), LinkPolicy>>,
    policy_changes: watch::Sender<u64>,
    bytes: Mutex<BTreeMap<(Site, Site), Arc<AtomicU64>>>,
    region_links: BTreeMap<(u8, u8), SharedLink>,
}

/// Bandwidth limit of the link from one region to another.
#[derive(Debug)]
struct SharedLink {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl SharedLink {
    /// Queues `bytes` behind the traffic scheduled before; returns the time at which they have been sent.
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

/// Returns the site of an address, or `None` if it belongs to no site.
pub fn site_of(ip: IpAddr) -> Option<Site> {
    match ip {
        IpAddr::V4(ip) if ip.octets()[0] == 127 => ip.octets()[2].checked_sub(1),
        _ => None,
    }
}

/// Number of networks with distinct addresses; their second octets run from 1 to this number.
const MAX_NETWORKS: u32 = 250;

/// Returns the second octet of the addresses of a new network.
///
/// Each network has addresses of its own. Otherwise a restarted node could fail to bind its previous
/// port, because a listener or an outgoing connection of another network has taken it. The process id
/// makes it likely that concurrent test processes use different addresses too.
fn next_address_octet() -> u8 {
    static STARTED_NETWORKS: AtomicU32 = AtomicU32::new(0);
    let network_number = STARTED_NETWORKS.fetch_add(1, Ordering::Relaxed) + std::process::id();
    u8::try_from(network_number % MAX_NETWORKS).unwrap_or(0) + 1
}

impl Network {
    /// Returns the loopback address of a site.
    pub fn site_ip(&self, site: Site) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.address_octet, site + 1, 1))
    }

    /// Creates a network without delays. `region_of` has the region of each site; the links between
    /// regions carry `link_mbit_per_s` in each direction.
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

    /// Sets the one-way delays between the sites of a region and between regions. Traffic within a site
    /// is not delayed.
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

    /// Cuts or restores, in both directions, the links between two sites for which `is_affected` returns
    /// true in either order.
    pub fn set_cut(&self, cut: bool, is_affected: impl Fn(Site, Site) -> bool) {
        for (from, to) in self.site_pairs() {
            if is_affected(from, to) || is_affected(to, from) {
                lock(&self.policies).entry((from, to)).or_default().cut = cut;
            }
        }
        self.policy_changes
            .send_modify(|generation| *generation += 1);
    }

    /// Cuts the links from one site to another for which `is_cut` returns true, and restores all others.
    pub fn set_cut_links(&self, is_cut: impl Fn(Site, Site) -> bool) {
        for (from, to) in self.site_pairs() {
            lock(&self.policies).entry((from, to)).or_default().cut = is_cut(from, to);
        }
        self.policy_changes
            .send_modify(|generation| *generation += 1);
    }

    /// Cuts or restores the link from one site to another, but not the link in the other direction. What is sent
    /// meanwhile arrives once the link is restored.
    pub fn set_cut_one_way(&self, cut: bool, from: Site, to: Site) {
        lock(&self.policies).entry((from, to)).or_default().cut = cut;
        self.policy_changes
            .send_modify(|generation| *generation += 1);
    }

    /// Returns whether both sites are in the same region.
    pub fn same_region(&self, a: Site, b: Site) -> bool {
        self.region_of.get(usize::from(a)) == self.region_of.get(usize::from(b))
    }

    /// Returns the bytes sent from the first site of each pair to the second.
    pub fn bytes(&self) -> BTreeMap<(Site, Site), u64> {
        let bytes = lock(&self.bytes);
        let load_count = |(pair, count): (&(Site, Site), &Arc<AtomicU64>)| {
            (*pair, count.load(Ordering::Relaxed))
        };
        bytes.iter().map(load_count).collect()
    }

    /// Returns the bytes transferred between regions, in both directions.
    pub fn bytes_between_regions(&self) -> u64 {
        let crosses_regions = |((from, to), _): &((Site, Site), u64)| !self.same_region(*from, *to);
        self.bytes()
            .into_iter()
            .filter(crosses_regions)
            .map(|(_, bytes)| bytes)
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

/// Forwards connections across the network to one listener. Dropping it closes them.
#[derive(Debug)]
pub struct Forwarder {
    /// Address to which clients connect.
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
    /// Opens a forwarder on a free port for a listener in `site`. Connections are closed until
    /// [`Self::set_target`] sets the address of that listener.
    pub async fn open(network: &Arc<Network>, site: Site) -> std::io::Result<Self> {
        Self::open_at(network, site, SocketAddr::new(network.site_ip(site), 0)).await
    }

    /// Like [`Self::open`], but listens on `address`.
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

    /// Returns the bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Sets the listener to which new connections are forwarded.
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
    // Dropping the set aborts its tasks, so all connections are closed together with the forwarder.
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

/// A connection from a client in site `from` to the forwarder's listener in site `to`.
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
        // Opening a connection takes one round trip.
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
    // Without this option, a restarted process may be unable to listen on the local port of this socket.
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

/// One direction of a forwarded connection.
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
