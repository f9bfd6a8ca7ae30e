//! A whole deployment on this machine: platform, network, backend servers, node processes.

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

/// Bounds a hang; no test judges speed by it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Processes that start at a time: enough to keep the cores of a small machine busy.
const MAX_CONCURRENT_STARTS: usize = 16;

/// One data centre of a deployment.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Its name.
    pub name: &'static str,
    /// Its region's name.
    pub region: &'static str,
    /// Number of its region.
    pub region_number: u8,
}

/// Which deployment to start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Data centres; the position is the site's number.
    pub data_centres: Vec<DataCentre>,
    /// Services; each data centre has `endpoints_per_data_centre` endpoints of each.
    pub services: Vec<&'static str>,
    /// Endpoints of each service in each data centre.
    pub endpoints_per_data_centre: usize,
    /// How the backend servers behave.
    pub behaviour: Behaviour,
    /// Whether traffic between nodes of one data centre passes counted fronts as well.
    pub forwards_local_traffic: bool,
    /// Where the nodes' log lines go, as JSON from level `info` on; without it their warnings go to
    /// the standard error of whoever started the mesh.
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
    /// Chatarras Cantabrico Boletines.
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

    /// Marinhas Digitais.
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

/// One VM: a backend server and its node.
#[derive(Debug)]
pub struct Vm {
    /// Its data centre.
    pub site: Site,
    /// Its service.
    pub service: &'static str,
    /// Its backend server.
    pub backend: Backend,
    /// Its node, unless a test took it away.
    pub node: Option<NodeProcess>,
    forwarder: Forwarder,
    peer_address: Option<SocketAddr>,
}

impl Vm {
    /// The running node.
    pub fn node(&self) -> &NodeProcess {
        self.node.as_ref().expect("the node was not taken away")
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Mesh {
    /// What it is a deployment of.
    pub deployment: Deployment,
    /// The platform, in site 0.
    pub platform: Platform,
    /// The links between data centres.
    pub network: Arc<Network>,
    /// The VMs, data centre by data centre.
    pub vms: Vec<Vm>,
    /// Added to the arguments of every node started from now on.
    pub extra_arguments: Vec<String>,
    program: PathBuf,
    base_arguments: Vec<String>,
    platform_forwarder: Forwarder,
}

impl Mesh {
    /// Starts everything; `program` followed by `leading` runs a node.
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

    /// Starts one more VM; returns its position.
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

    /// Kills the node of a VM and waits for its end: until then its address is in use, and a node
    /// that is started again there at once would not start.
    pub async fn kill_node(&mut self, position: usize) -> Result<(), String> {
        if let Some(mut node) = self.vms[position].node.take() {
            node.signal(Signal::Kill);
            node.wait_exit().await.map_err(error_text)?;
        }
        Ok(())
    }

    /// Starts the node of a VM, at the address that it had before, if it had one.
    pub async fn start_node(&mut self, position: usize) -> Result<(), String> {
        self.start_nodes(vec![position]).await
    }

    /// Starts the nodes of several VMs side by side.
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

    /// Bytes that passed the fronts of all nodes, both ways: the traffic between nodes. That
    /// inside a data centre is part of it only with [`Deployment::forwards_local_traffic`].
    pub fn bytes_between_nodes(&self) -> u64 {
        self.vms.iter().map(|vm| vm.forwarder.bytes()).sum()
    }

    /// Bytes between all nodes and the platform, both ways.
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
        // Where the front is the node's identity, its own port is free to change. That of before a
        // restart may be the local port of another node's connection by now, and in a herd of
        // hundreds some are: the node would end with "address in use".
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

    /// The version that a node enforces, 0 if it does not answer.
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

    /// Waits until every running node enforces `version` or a later one.
    pub async fn wait_enforced(&self, version: u64) {
        for position in 0..self.vms.len() {
            if self.vms[position].node.is_none() {
                continue;
            }
            let description = format!("version {version} at VM {position}");
            wait_until(&description, WAIT_TIMEOUT, || async {
                self.version_at(position).await >= version
            })
            .await;
        }
    }

    /// Waits until every running node knows as many living members as there are nodes.
    pub async fn wait_joined(&self) {
        let running = self.vms.iter().filter(|vm| vm.node.is_some()).count();
        for vm in self.vms.iter().filter(|vm| vm.node.is_some()) {
            let operator = vm.node().addresses.operator;
            wait_until("all members known", WAIT_TIMEOUT, || async {
                let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
                let body = reply.map(|reply| reply.body).unwrap_or_default();
                let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let alive = members
                    .iter()
                    .filter(|member| member["liveness"] == "alive")
                    .count();
                alive == running
            })
            .await;
        }
    }
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
