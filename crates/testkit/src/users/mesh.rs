//! Starts a deployment on the users' platform: the store, and VMs with a backend server and a node
//! process each.
//!
//! Every VM is a site of the [`Network`] with a loopback address of its own, from which its node
//! connects. So each link between two VMs, or between a VM and the store, can be cut or delayed
//! separately.

mod caller_request;
mod vm;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ::http::Method;
use tokio::sync::mpsc;

pub use self::caller_request::{CallerRequest, REQUEST_ID, RESPONSE_SEAL};
pub use self::vm::Vm;
use self::vm::{AnnouncementTask, announce_periodically};
use super::backend::{AnnouncedState, Backend, Behaviour, Identity};
use super::backend_process::{BackendPlan, BackendProcess, BackendProgram, StopMode};
use super::store::Store;
use crate::concurrent::join_all;
use crate::http::{Reply, Result, request, wait_until};
use crate::network::{Forwarder, Network, Site};
use crate::process::{LogLine, NodeProcess, Signal};

/// Limit on each wait. It only keeps a broken test from running forever; it doesn't measure speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Ports of a VM whose listeners have the same addresses after each start. No outgoing connection gets them.
mod fixed_ports {
    pub(super) const INBOUND: u16 = 7300;
    pub(super) const READY: u16 = 7302;
    pub(super) const OUTBOUND: u16 = 7304;
    pub(super) const CONTROL: u16 = 7306;
    pub(super) const BACKEND: u16 = 7308;
}

/// Names of a data centre and of its region.
pub type DataCentre = (&'static str, &'static str);

/// Description of the VMs to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centres in which VMs are started.
    pub data_centres: Vec<DataCentre>,
    /// Services. Each data centre has `vms_per_service` VMs for each service.
    pub services: Vec<&'static str>,
    /// Number of VMs for each service in each data centre.
    pub vms_per_service: usize,
    /// Number of VMs in each data centre that tests can add later, with [`Mesh::add_endpoints`].
    pub spare_vms: usize,
    /// Behaviour of all backend servers.
    pub behaviour: Behaviour,
    /// If set, backend servers are processes of this program, and all listeners keep their addresses. Otherwise
    /// backend servers run in this process.
    pub backend_program: Option<BackendProgram>,
    /// Further entries of `bounds` in the nodes' settings files.
    pub bounds: &'static [&'static str],
    /// Further arguments of all nodes.
    pub arguments: &'static [&'static str],
    /// Receives the nodes' log lines at level `info` and above. If `None`, warnings and errors go to the
    /// standard error of this process.
    pub log_lines: Option<mpsc::UnboundedSender<LogLine>>,
}

impl Plan {
    /// Returns a plan with two data centres in one region and one in another, and one VM for each service
    /// in each data centre.
    pub fn new(services: &[&'static str]) -> Self {
        Self {
            data_centres: vec![
                ("gijon", "cantabrico"),
                ("bilbao", "cantabrico"),
                ("burgos", "meseta"),
            ],
            services: services.to_vec(),
            vms_per_service: 1,
            spare_vms: 0,
            behaviour: Behaviour::default(),
            backend_program: None,
            bounds: &[],
            arguments: &[],
            log_lines: None,
        }
    }
}

/// An endpoint to add to a running deployment.
#[derive(Clone, Copy, Debug)]
pub struct NewEndpoint {
    /// Service of its backend server.
    pub service: &'static str,
    /// Software version that its backend server announces.
    pub software_version: &'static str,
    /// Behaviour of its backend server.
    pub behaviour: Behaviour,
}

/// A running deployment on the users' platform.
#[derive(Debug)]
pub struct Mesh {
    /// The plan that it was started from.
    pub plan: Plan,
    /// The platform's store.
    pub store: Store,
    /// The links between VMs, and between VMs and the store.
    pub network: Arc<Network>,
    /// The VMs, ordered by data centre and then by service.
    pub vms: Vec<Vm>,
    /// Site of the store in the network.
    pub store_site: Site,
    program: PathBuf,
    base_arguments: Vec<String>,
    store_forwarder: Forwarder,
    directory: tempfile::TempDir,
}

impl Mesh {
    /// Starts the store, the backend servers and the nodes. The command line of a node is `program`,
    /// `base_arguments`, and the flags for its VM.
    pub async fn start(program: &Path, base_arguments: &[&str], plan: Plan) -> Result<Self> {
        let mut placements = Vec::new();
        for data_centre in &plan.data_centres {
            for service in &plan.services {
                placements.extend(vec![(*data_centre, *service); plan.vms_per_service]);
            }
        }
        let mut regions: Vec<&str> = plan
            .data_centres
            .iter()
            .map(|(_, region)| *region)
            .collect();
        regions.dedup();
        let region_index = |region: &str| regions.iter().position(|known| *known == region);
        let to_u8 = |index: usize| u8::try_from(index).map_err(error_text);
        let mut region_of = Vec::new();
        for ((_, region), _) in &placements {
            region_of.push(to_u8(region_index(region).unwrap_or(0))?);
        }
        // The store is in the first region.
        region_of.push(0);
        let store_site = to_u8(placements.len())?;
        for _ in 0..plan.spare_vms {
            for (_, region) in &plan.data_centres {
                region_of.push(to_u8(region_index(region).unwrap_or(0))?);
            }
        }
        let network = Network::new(region_of, 30.0);
        network.set_delays(Duration::from_millis(1), Duration::from_millis(5));
        let store_address = SocketAddr::new(network.site_ip(store_site), 0);
        let store = Store::start(store_address).await.map_err(error_text)?;
        let store_forwarder = Forwarder::open(&network, store_site)
            .await
            .map_err(error_text)?;
        store_forwarder.set_target(store.address);
        let mut mesh = Self {
            plan,
            store,
            network,
            vms: Vec::new(),
            store_site,
            program: program.to_owned(),
            base_arguments: base_arguments
                .iter()
                .map(|text| (*text).to_owned())
                .collect(),
            store_forwarder,
            directory: tempfile::TempDir::new().map_err(error_text)?,
        };
        for (position, (data_centre, service)) in placements.into_iter().enumerate() {
            let new = NewEndpoint {
                service,
                software_version: "v1",
                behaviour: mesh.plan.behaviour,
            };
            mesh.add_vm(to_u8(position)?, data_centre, new).await?;
        }
        for position in 0..mesh.vms.len() {
            mesh.start_node(position).await?;
        }
        Ok(mesh)
    }

    async fn add_vm(
        &mut self,
        site: Site,
        data_centre: DataCentre,
        new: NewEndpoint,
    ) -> Result<()> {
        let ip = self.network.site_ip(site);
        let service = new.service;
        let forwarder = Forwarder::open(&self.network, site)
            .await
            .map_err(error_text)?;
        let settings_file = self.directory.path().join(format!("vm-{site}.toml"));
        self.vms.push(Vm {
            site,
            ip,
            data_centre,
            service: service.to_owned(),
            node: None,
            backend_address: SocketAddr::new(ip, fixed_ports::BACKEND),
            backend: None,
            backend_process: None,
            journals: Vec::new(),
            ended_backends: Vec::new(),
            announcements: None,
            announce_address: Arc::default(),
            forwarder,
            settings_file,
            backend_restarts: 0,
        });
        let position = self.vms.len() - 1;
        if self.plan.backend_program.is_some() {
            return self.start_backend_process(position, StopMode::Exit);
        }
        let identity = Identity {
            software_version: new.software_version.to_owned(),
            ..Identity::new(service, &format!("i-{site}-1"), data_centre.0)
        };
        let any_port = SocketAddr::new(ip, 0);
        let backend = Backend::start(any_port, identity, new.behaviour).await;
        let backend = Arc::new(backend.map_err(error_text)?);
        self.vms[position].backend_address = backend.address;
        self.attach_backend(position, backend);
        Ok(())
    }

    /// Starts the backend server of a VM as a process of its own, under a new name and with a new journal. An old one must have
    /// exited.
    pub fn start_backend_process(&mut self, position: usize, stop_mode: StopMode) -> Result<()> {
        let program = self.plan.backend_program.clone();
        let program = program.ok_or("the plan has no program for backend servers")?;
        let vm = &mut self.vms[position];
        vm.backend_restarts += 1;
        let instance = format!("i-{}-{}", vm.site, vm.backend_restarts);
        let journal = self.directory.path().join(format!("{instance}.journal"));
        let plan = BackendPlan {
            address: vm.backend_address,
            service: vm.service.clone(),
            instance,
            data_centre: vm.data_centre.0.to_owned(),
            behaviour: self.plan.behaviour,
            announce_address: SocketAddr::new(vm.ip, fixed_ports::CONTROL),
            caller_listener: SocketAddr::new(vm.ip, fixed_ports::OUTBOUND),
            journal: journal.clone(),
            stop_mode,
        };
        vm.journals.push(journal);
        vm.backend_process = Some(BackendProcess::start(&program, &plan).map_err(error_text)?);
        Ok(())
    }

    /// Address of the caller listener of a VM, if all listeners keep their addresses.
    pub fn fixed_caller_address(&self, position: usize) -> SocketAddr {
        SocketAddr::new(self.vms[position].ip, fixed_ports::OUTBOUND)
    }

    /// Adds a VM with a backend server and a node to each data centre, on VMs that [`Plan::spare_vms`]
    /// provides. Returns their positions.
    pub async fn add_endpoints(&mut self, new: NewEndpoint) -> Result<Vec<usize>> {
        let first = self.vms.len();
        for data_centre in self.plan.data_centres.clone() {
            // The site of the store is among those of the VMs.
            let position = self.vms.len();
            let site = match position < usize::from(self.store_site) {
                true => position,
                false => position + 1,
            };
            let site = u8::try_from(site).map_err(error_text)?;
            self.add_vm(site, data_centre, new).await?;
            self.start_node(position).await?;
        }
        Ok((first..self.vms.len()).collect())
    }

    /// Makes `backend` the backend server of a VM and starts its periodic announcements.
    fn attach_backend(&mut self, position: usize, backend: Arc<Backend>) {
        let vm = &mut self.vms[position];
        if let Some(node) = &vm.node {
            backend.set_caller_listener(node.addresses.caller);
        }
        let announced_state = Arc::new(Mutex::new(AnnouncedState::Ready));
        let announcing = announce_periodically(
            Arc::clone(&backend),
            Arc::clone(&vm.announce_address),
            Arc::clone(&announced_state),
        );
        vm.announcements = Some(AnnouncementTask {
            announced_state,
            task: tokio::spawn(announcing),
        });
        vm.backend = Some(backend);
    }

    /// Stops the backend server of a VM as a crash would, and waits until its address is free.
    pub async fn crash_backend(&mut self, position: usize) {
        self.stop_announcements(position);
        let vm = &mut self.vms[position];
        if let Some(backend) = vm.backend.take() {
            backend.crash();
        }
        let address = vm.backend_address;
        wait_until(
            "the backend server's address is free",
            WAIT_TIMEOUT,
            || async move { tokio::net::TcpListener::bind(address).await.is_ok() },
        )
        .await;
    }

    /// Starts a new backend server for each one that has ended under a request.
    pub async fn restart_ended_backends(&mut self) -> Result<()> {
        for position in 0..self.vms.len() {
            let vm = &mut self.vms[position];
            let Some(ended) = vm.backend.take_if(|backend| backend.has_ended()) else {
                continue;
            };
            // One that ended silently still has its listener.
            ended.crash();
            vm.ended_backends.push(ended);
            let service = vm.service.clone();
            self.crash_backend(position).await;
            self.restart_backend(position, &service).await?;
        }
        Ok(())
    }

    /// Stops the periodic announcements of a VM's backend server, which goes on running.
    pub fn stop_announcements(&mut self, position: usize) {
        self.vms[position].announcements = None;
    }

    /// Starts a new backend server for `service` at the address that a VM's backend server had. The old
    /// one must be stopped already.
    pub async fn restart_backend(&mut self, position: usize, service: &str) -> Result<()> {
        let vm = &mut self.vms[position];
        vm.backend_restarts += 1;
        let instance = format!("i-{}-{}", vm.site, vm.backend_restarts + 1);
        self.restart_backend_as(position, service, &instance).await
    }

    /// Like [`Self::restart_backend`], under the given name.
    pub async fn restart_backend_as(
        &mut self,
        position: usize,
        service: &str,
        instance: &str,
    ) -> Result<()> {
        let vm = &mut self.vms[position];
        let identity = Identity::new(service, instance, vm.data_centre.0);
        let address = vm.backend_address;
        let backend = Backend::start(address, identity, self.plan.behaviour).await;
        self.attach_backend(position, Arc::new(backend.map_err(error_text)?));
        Ok(())
    }

    /// Writes [`Self::settings_text`] to the settings file of a VM's node.
    pub fn write_settings(&self, position: usize) -> Result<()> {
        let contents = self.settings_text(position);
        std::fs::write(&self.vms[position].settings_file, contents).map_err(error_text)
    }

    /// Returns the path of the settings file of a VM's node.
    pub fn settings_path(&self, position: usize) -> &Path {
        &self.vms[position].settings_file
    }

    /// Returns the contents of the settings file of a VM's node.
    pub fn settings_text(&self, position: usize) -> String {
        let vm = &self.vms[position];
        let address = |fixed_port| match self.plan.backend_program {
            Some(_) => SocketAddr::new(vm.ip, fixed_port),
            None => SocketAddr::new(vm.ip, 0),
        };
        let (data_centre, region) = vm.data_centre;
        let mut bounds = vec![
            "grace=6s",
            "drain=2500ms",
            "retryBudgetRatio=0.2",
            "budgetExtra=60",
        ];
        bounds.extend(self.plan.bounds);
        format!(
            "nodeId = \"sidecar-{data_centre}-{site}\"\nip = \"{ip}\"\nzone = \"{data_centre}\"\n\
             region = \"{region}\"\nseeds = []\nheartbeat = \"300ms\"\nbounds = {bounds:?}\n\
             appAddr = \"{app}\"\nservice = \"{service}\"\n\
             [listen]\ninbound = \"{inbound}\"\noutbound = \"{outbound}\"\n\
             ready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\nlinkMbps = 1000.0\n[platform]\naddress = \"{store}\"\nform = \"table\"\n",
            inbound = address(fixed_ports::INBOUND),
            outbound = address(fixed_ports::OUTBOUND),
            ready = address(fixed_ports::READY),
            control = address(fixed_ports::CONTROL),
            site = vm.site,
            ip = vm.ip,
            app = vm.backend_address,
            service = vm.service,
            store = self.store_forwarder.address,
        )
    }

    /// Writes the settings file of a VM's node and starts the node.
    pub async fn start_node(&mut self, position: usize) -> Result<()> {
        let node = self.run_node(position).await?;
        self.attach_node(position, node);
        Ok(())
    }

    /// Like [`Self::start_node`], for several nodes at the same time.
    pub async fn start_nodes(&mut self, positions: &[usize]) -> Result<()> {
        let mut starting = Vec::new();
        for position in positions {
            starting.push(Box::pin(self.run_node(*position)));
        }
        let started = join_all(starting).await;
        for (position, node) in positions.iter().zip(started) {
            self.attach_node(*position, node?);
        }
        Ok(())
    }

    async fn run_node(&self, position: usize) -> Result<NodeProcess> {
        self.write_settings(position)?;
        let arguments = self.arguments(position);
        let log_lines = self.plan.log_lines.clone();
        let log_lines = log_lines.map(|lines| (position, lines));
        NodeProcess::start_with_log(&self.program, &arguments, log_lines).await
    }

    fn attach_node(&mut self, position: usize, node: NodeProcess) {
        let vm = &mut self.vms[position];
        vm.forwarder.set_target(node.addresses.peer);
        *vm.announce_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = node.addresses.announce;
        if let Some(backend) = &vm.backend {
            backend.set_caller_listener(node.addresses.caller);
        }
        vm.node = Some(node);
    }

    /// Kills the node of a VM and waits for its exit.
    pub async fn kill_node(&mut self, position: usize) -> Result<()> {
        if let Some(node) = &self.vms[position].node {
            node.signal(Signal::Kill);
        }
        self.wait_node_exit(position).await
    }

    /// Waits until the node of a VM, which was stopped before, has exited. The VM has no node afterwards.
    pub async fn wait_node_exit(&mut self, position: usize) -> Result<()> {
        let vm = &mut self.vms[position];
        *vm.announce_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = None;
        if let Some(mut node) = vm.node.take() {
            node.wait_exit().await.map_err(error_text)?;
        }
        Ok(())
    }

    fn arguments(&self, position: usize) -> Vec<String> {
        let vm = &self.vms[position];
        let mut arguments = self.base_arguments.clone();
        let mut add_flag = |flag: &str, value: String| {
            arguments.push(format!("--{flag}"));
            arguments.push(value);
        };
        add_flag("config", vm.settings_file.display().to_string());
        add_flag("operator-listen", SocketAddr::new(vm.ip, 0).to_string());
        add_flag("dial-from", vm.ip.to_string());
        add_flag("peer-advertise", vm.forwarder.address.to_string());
        let level = if self.plan.log_lines.is_some() {
            "info"
        } else {
            "warn"
        };
        add_flag("log-level", level.to_owned());
        arguments.extend(self.plan.arguments.iter().map(|text| (*text).to_owned()));
        arguments
    }

    /// Returns the positions of the VMs of a service.
    pub fn vms_of(&self, service: &str) -> Vec<usize> {
        let of_service = |position: &usize| self.vms[*position].service == service;
        (0..self.vms.len()).filter(of_service).collect()
    }

    /// Returns the response of a node to `/status`, or null if it doesn't respond.
    pub async fn status(&self, position: usize) -> serde_json::Value {
        let Some(node) = &self.vms[position].node else {
            return serde_json::Value::Null;
        };
        let operator = node.addresses.operator;
        let reply = request(operator, Method::GET, "node", "/status", &[], "").await;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Returns the configuration version that a node enforces, or 0 if there is none or the node doesn't
    /// respond.
    pub async fn version_at(&self, position: usize) -> u64 {
        let status = self.status(position).await;
        status["enforced"]["version"].as_u64().unwrap_or(0)
    }

    /// Waits until exactly one node of a data centre follows no other node, and returns its position.
    /// That node is the lead: it reads the store, and the others get the configuration from it.
    pub async fn wait_lead(&self, data_centre: &str) -> usize {
        let vms = self.vms.iter().enumerate();
        let local_positions: Vec<usize> = vms
            .filter(|(_, vm)| vm.data_centre.0 == data_centre)
            .map(|(position, _)| position)
            .collect();
        let mut readers = Vec::new();
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while readers.len() != 1 {
            assert!(
                tokio::time::Instant::now() < deadline,
                "timed out waiting for a single lead; VMs whose node follows none: {readers:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
            readers.clear();
            for position in &local_positions {
                if self.status(*position).await["follows"].is_null() {
                    readers.push(*position);
                }
            }
        }
        readers[0]
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

    /// Waits until every running node lists all backend servers that run, announce themselves and have a
    /// running node.
    pub async fn wait_serving(&self) {
        let serving = self.vms.iter().filter(|vm| {
            let announces = vm.backend.is_some() && vm.announcements.is_some();
            vm.node.is_some() && (announces || vm.backend_process.is_some())
        });
        let expected = serving.count();
        for position in 0..self.vms.len() {
            if self.vms[position].node.is_none() {
                continue;
            }
            let description = format!("{expected} serving backend servers listed at VM {position}");
            wait_until(&description, WAIT_TIMEOUT, || async {
                let status = self.status(position).await;
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let serves = |member: &&serde_json::Value| {
                    member["backend"] == "serving" && member["liveness"] == "alive"
                };
                members.iter().filter(serves).count() == expected
            })
            .await;
        }
    }

    /// Sends a caller's request to the node of a VM and returns the response.
    pub async fn send_request(
        &self,
        position: usize,
        caller_request: &CallerRequest<'_>,
    ) -> Result<Reply> {
        let caller_listener = self.vms[position].node().addresses.caller;
        let deadline = caller_request.deadline_ms.to_string();
        let mut headers = vec![
            (REQUEST_ID, caller_request.id),
            ("x-dfw-deadline-ms", deadline.as_str()),
        ];
        headers.extend(caller_request.headers);
        let method = caller_request.method.clone();
        request(
            caller_listener,
            method,
            caller_request.host,
            caller_request.path,
            &headers,
            caller_request.body.to_vec(),
        )
        .await
    }
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
