//! Starts a whole deployment on this machine: the platform, the network, the backend servers and the
//! node processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ::http::Method;
use tokio::sync::{Semaphore, mpsc};

use crate::backend::{Backend, Behaviour};
use crate::http::{request, wait_until};
use crate::network::{Forwarder, Network, Site};
use crate::platform::Platform;
use crate::process::{LogLine, NodeProcess, Signal};

/// Limit on each wait. It only keeps a broken test from running forever; it doesn't measure speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit on the processes that start concurrently: enough to keep the cores of a small machine busy.
const MAX_CONCURRENT_STARTS: usize = 16;

/// One data centre of a deployment.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: &'static str,
    /// Name of its region.
    pub region: &'static str,
    /// Number of its region; data centres of one region have the same number.
    pub region_number: u8,
}

/// Description of the deployment to start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Data centres. The position of each is its [`Site`].
    pub data_centres: Vec<DataCentre>,
    /// Services. Each data centre has `endpoints_per_data_centre` endpoints of each service.
    pub services: Vec<&'static str>,
    /// Number of VMs for each service in each data centre.
    pub endpoints_per_data_centre: usize,
    /// Behaviour of all backend servers.
    pub behaviour: Behaviour,
    /// Whether traffic between nodes of the same data centre goes through forwarders too, which count
    /// its bytes.
    pub forwards_local_traffic: bool,
    /// Receives the nodes' log lines as JSON, at level `info` and above. If `None`, warnings and errors
    /// go to the standard error of this process.
    pub log_lines: Option<mpsc::UnboundedSender<LogLine>>,
}

fn data_centre(name: &'static str, region: &'static str, region_number: u8) -> DataCentre {
    DataCentre {
        name,
        region,
        region_number,
    }
}

impl Deployment {
    /// The deployment of the organisation Chatarras Cantabrico Boletines.
    pub fn chatarras() -> Self {
        Self {
            data_centres: vec![
                data_centre("gijon", "cantabrico", 0),
                data_centre("bilbao", "cantabrico", 0),
                data_centre("burgos", "meseta", 1),
                data_centre("leon", "meseta", 1),
            ],
            services: vec!["tablon", "cobros", "bascula", "hemeroteca"],
            endpoints_per_data_centre: 1,
            behaviour: Behaviour::default(),
            forwards_local_traffic: false,
            log_lines: None,
        }
    }

    /// The deployment of the organisation Marinhas Digitais.
    pub fn marinhas() -> Self {
        Self {
            data_centres: vec![
                data_centre("aveiro-a", "norte", 0),
                data_centre("aveiro-b", "norte", 0),
                data_centre("olhao-a", "sul", 1),
                data_centre("olhao-b", "sul", 1),
            ],
            services: vec!["armazem", "expedicao", "pesagem", "balanco"],
            endpoints_per_data_centre: 1,
            behaviour: Behaviour {
                slots: 6,
                ..Behaviour::default()
            },
            forwards_local_traffic: false,
            log_lines: None,
        }
    }
}

/// A VM, which runs one backend server and one node.
#[derive(Debug)]
pub struct Vm {
    /// Site of its data centre.
    pub site: Site,
    /// Service of its backend server.
    pub service: &'static str,
    /// The backend server.
    pub backend: Backend,
    /// The node; `None` while no node runs on this VM.
    pub node: Option<NodeProcess>,
    forwarder: Forwarder,
    peer_address: Option<SocketAddr>,
}

impl Vm {
    /// Returns the node; panics if none runs.
    pub fn node(&self) -> &NodeProcess {
        self.node.as_ref().expect("a node runs on this VM")
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Mesh {
    /// The description that it was started from.
    pub deployment: Deployment,
    /// The platform, which is in site 0.
    pub platform: Platform,
    /// The links between data centres.
    pub network: Arc<Network>,
    /// The VMs, ordered by data centre. VMs added later are at the end.
    pub vms: Vec<Vm>,
    /// Arguments added to the command line of every node that is started from now on.
    pub extra_arguments: Vec<String>,
    program: PathBuf,
    base_arguments: Vec<String>,
    platform_forwarder: Forwarder,
}

impl Mesh {
    /// Starts the platform, the backend servers and the nodes. The command line of a node is `program`,
    /// `base_arguments`, and the flags for its VM.
    pub async fn start(
        program: &Path,
        base_arguments: &[&str],
        deployment: Deployment,
    ) -> Result<Self, String> {
        let region_of = deployment.data_centres.iter().map(|dc| dc.region_number);
        let network = Network::new(region_of.collect(), 30.0);
        network.set_delays(Duration::from_millis(1), Duration::from_millis(20));
        let platform = Platform::start(SocketAddr::new(network.site_ip(0), 0)).await;
        let platform = platform.map_err(error_text)?;
        let platform_forwarder = Forwarder::open(&network, 0).await.map_err(error_text)?;
        platform_forwarder.set_target(platform.address);
        let mut mesh = Self {
            deployment,
            platform,
            network,
            vms: Vec::new(),
            extra_arguments: Vec::new(),
            program: program.to_owned(),
            base_arguments: base_arguments
                .iter()
                .map(|text| (*text).to_owned())
                .collect(),
            platform_forwarder,
        };
        mesh.start_vms().await?;
        Ok(mesh)
    }

    async fn start_vms(&mut self) -> Result<(), String> {
        let sites = u8::try_from(self.deployment.data_centres.len()).map_err(error_text)?;
        for site in 0..sites {
            for service in self.deployment.services.clone() {
                for _ in 0..self.deployment.endpoints_per_data_centre {
                    self.add_backend(site, service).await?;
                }
            }
        }
        self.start_nodes((0..self.vms.len()).collect()).await
    }

    /// Adds a VM to a data centre and starts its node. Returns the position of the VM.
    pub async fn add_vm(&mut self, site: Site, service: &'static str) -> Result<usize, String> {
        let position = self.add_backend(site, service).await?;
        self.start_node(position).await?;
        Ok(position)
    }

    async fn add_backend(&mut self, site: Site, service: &'static str) -> Result<usize, String> {
        let position = self.vms.len();
        let address = SocketAddr::new(self.network.site_ip(site), 0);
        let behaviour = self.deployment.behaviour.clone();
        let name = format!("{service}-{position}");
        let backend = Backend::start(address, &name, behaviour).await;
        let forwarder = Forwarder::open(&self.network, site).await;
        self.vms.push(Vm {
            site,
            service,
            backend: backend.map_err(error_text)?,
            node: None,
            forwarder: forwarder.map_err(error_text)?,
            peer_address: None,
        });
        Ok(position)
    }

    /// Kills the node of a VM and waits for its exit. Until then its address is in use, and a node
    /// restarted there would fail to start.
    pub async fn kill_node(&mut self, position: usize) -> Result<(), String> {
        if let Some(mut node) = self.vms[position].node.take() {
            node.signal(Signal::Kill);
            node.wait_exit().await.map_err(error_text)?;
        }
        Ok(())
    }

    /// Starts the node of a VM. A restarted node gets its previous peer address, unless
    /// [`Deployment::forwards_local_traffic`] is set.
    pub async fn start_node(&mut self, position: usize) -> Result<(), String> {
        self.start_nodes(vec![position]).await
    }

    /// Starts the nodes of several VMs concurrently, as [`Self::start_node`] does for one.
    pub async fn start_nodes(&mut self, positions: Vec<usize>) -> Result<(), String> {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_STARTS));
        let mut start_tasks = tokio::task::JoinSet::new();
        for position in positions {
            let permits = Arc::clone(&permits);
            let program = self.program.clone();
            let arguments = self.arguments(position);
            let log_lines = self.deployment.log_lines.clone();
            start_tasks.spawn(async move {
                let _permit = permits.acquire().await;
                let log_lines = log_lines.map(|lines| (position, lines));
                let node = NodeProcess::start_with_log(&program, &arguments, log_lines).await;
                (position, node)
            });
        }
        while let Some(started) = start_tasks.join_next().await {
            let (position, node) = started.map_err(error_text)?;
            let node = node?;
            let vm = &mut self.vms[position];
            vm.forwarder.set_target(node.addresses.peer);
            vm.peer_address = Some(node.addresses.peer);
            vm.node = Some(node);
        }
        Ok(())
    }

    /// Returns the bytes transferred between nodes, in both directions. Traffic within a data centre is
    /// included only if [`Deployment::forwards_local_traffic`] is set.
    pub fn bytes_between_nodes(&self) -> u64 {
        self.vms.iter().map(|vm| vm.forwarder.bytes()).sum()
    }

    /// Returns the bytes transferred between the nodes and the platform, in both directions.
    pub fn bytes_with_platform(&self) -> u64 {
        self.platform_forwarder.bytes()
    }

    fn arguments(&self, position: usize) -> Vec<String> {
        let vm = &self.vms[position];
        let data_centre = &self.deployment.data_centres[usize::from(vm.site)];
        let ip = self.network.site_ip(vm.site);
        let any_port = SocketAddr::new(ip, 0);
        let mut arguments = self.base_arguments.clone();
        let mut add_flag = |flag: &str, value: String| {
            arguments.push(format!("--{flag}"));
            arguments.push(value);
        };
        add_flag("caller-listen", any_port.to_string());
        add_flag("operator-listen", any_port.to_string());
        // If all traffic goes through the forwarder, other nodes have only the forwarder's address, and
        // the node may listen on any port. Its previous port may be the local port of another node's
        // connection by now, and the node would exit with "address in use". With hundreds of nodes that
        // restart at once, this happens to some.
        let previous_address = vm
            .peer_address
            .filter(|_| !self.deployment.forwards_local_traffic);
        add_flag(
            "peer-listen",
            previous_address.unwrap_or(any_port).to_string(),
        );
        add_flag("peer-external", vm.forwarder.address.to_string());
        add_flag("region", data_centre.region.to_owned());
        add_flag("data-centre", data_centre.name.to_owned());
        add_flag(
            "platform",
            format!("http://{}", self.platform_forwarder.address),
        );
        add_flag("dial-from", ip.to_string());
        add_flag("service", vm.service.to_owned());
        add_flag("backend-server", vm.backend.address.to_string());
        if self.deployment.forwards_local_traffic {
            add_flag("peer-advertise", vm.forwarder.address.to_string());
        }
        if self.deployment.log_lines.is_some() {
            add_flag("log-format", "json".to_owned());
            add_flag("log-level", "info".to_owned());
        } else {
            add_flag("log-level", "warn".to_owned());
        }
        arguments.extend(self.extra_arguments.iter().cloned());
        arguments
    }

    /// Returns the configuration version that a node enforces, or 0 if there is none or the node doesn't
    /// respond.
    pub async fn version_at(&self, position: usize) -> u64 {
        let Some(node) = &self.vms[position].node else {
            return 0;
        };
        let operator = node.addresses.operator;
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let Ok(reply) = reply else { return 0 };
        let status: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        status["enforced"]["version"].as_u64().unwrap_or(0)
    }

    /// Waits until every running node enforces configuration `version` or a later one.
    pub async fn wait_enforced(&self, version: u64) {
        for position in 0..self.vms.len() {
            if self.vms[position].node.is_none() {
                continue;
            }
            let description = format!("version {version} enforced at VM {position}");
            wait_until(&description, WAIT_TIMEOUT, || async {
                self.version_at(position).await >= version
            })
            .await;
        }
    }

    /// Waits until the membership view of every running node has as many members alive as nodes run.
    pub async fn wait_joined(&self) {
        let running = self.vms.iter().filter(|vm| vm.node.is_some()).count();
        for vm in self.vms.iter().filter(|vm| vm.node.is_some()) {
            let operator = vm.node().addresses.operator;
            wait_until(
                "all nodes listed as alive members",
                WAIT_TIMEOUT,
                || async {
                    let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
                    let body = reply.map(|reply| reply.body).unwrap_or_default();
                    let status: serde_json::Value =
                        serde_json::from_slice(&body).unwrap_or_default();
                    let members = status["members"].as_array().cloned().unwrap_or_default();
                    let alive = members
                        .iter()
                        .filter(|member| member["liveness"] == "alive")
                        .count();
                    alive == running
                },
            )
            .await;
        }
    }
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
