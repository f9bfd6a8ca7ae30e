//! A backend server as a process of its own, which tests can signal and kill.
//!
//! The program is the test's own executable: a test function calls [`serve_from_environment`], which serves only in a process
//! that [`BackendProcess::start`] has started.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;
use tokio::process::{Child, Command};
use tokio::signal::unix::{SignalKind, signal};

use super::backend::journal::Journal;
use super::backend::{AnnouncedState, Backend, Behaviour, Identity};
use crate::process::{Signal, send_signal};

/// Variable with the [`BackendPlan`] of a process, as JSON.
const PLAN_VARIABLE: &str = "TESTKIT_USERS_BACKEND";
/// Interval between two announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// The program of backend servers.
#[derive(Clone, Debug)]
pub struct BackendProgram {
    /// Path of the executable.
    pub program: PathBuf,
    /// Arguments with which it calls [`serve_from_environment`] and nothing else.
    pub arguments: Vec<String>,
}

/// What a backend server does upon SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopMode {
    /// Announces that it drains, serves for this time in milliseconds after the acknowledgement, and exits.
    Drain(u64),
    /// Exits at once.
    Exit,
    /// Responds to each request that it runs that it did not run it, and exits after this time in milliseconds.
    Deny(u64),
}

/// What a backend server's process needs to know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BackendPlan {
    /// Address of its listener.
    pub address: SocketAddr,
    /// Name of its service.
    pub service: String,
    /// Name of its instance.
    pub instance: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Its capacity and faults.
    pub behaviour: Behaviour,
    /// Address at which its node accepts announcements.
    pub announce_address: SocketAddr,
    /// Caller listener of its node, for its own calls.
    pub caller_listener: SocketAddr,
    /// Path of its journal.
    pub journal: PathBuf,
    /// What it does upon SIGTERM.
    pub stop_mode: StopMode,
}

/// A running backend server. Dropping it kills the process.
#[derive(Debug)]
pub struct BackendProcess {
    child: Child,
}

impl BackendProcess {
    /// Starts a process. It ends at the latest together with this process.
    pub fn start(program: &BackendProgram, plan: &BackendPlan) -> std::io::Result<Self> {
        let plan = serde_json::to_string(plan).map_err(std::io::Error::other)?;
        let child = Command::new(&program.program)
            .args(&program.arguments)
            .env(PLAN_VARIABLE, plan)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal);
    }

    /// Waits until the process has exited.
    pub async fn wait_exit(&mut self) -> std::io::Result<()> {
        self.child.wait().await.map(|_| ())
    }
}

/// Serves as the backend server that the environment describes, until the process is to end. Does nothing if it describes none.
pub async fn serve_from_environment() -> std::io::Result<()> {
    let Ok(plan) = std::env::var(PLAN_VARIABLE) else {
        return Ok(());
    };
    let plan: BackendPlan = serde_json::from_str(&plan).map_err(std::io::Error::other)?;
    let identity = Identity::new(&plan.service, &plan.instance, &plan.data_centre);
    let journal = Some(Journal::open(&plan.journal, &plan.instance)?);
    let backend =
        Backend::start_with_journal(plan.address, identity, plan.behaviour, journal).await?;
    backend.set_caller_listener(plan.caller_listener);
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        () = announce(&backend, &plan) => (),
        () = starter_has_ended() => (),
        _ = terminate.recv() => stop(&backend, &plan).await,
    }
    Ok(())
}

async fn announce(backend: &Backend, plan: &BackendPlan) {
    loop {
        // The node may be down.
        let _ = backend
            .announce(plan.announce_address, AnnouncedState::Ready)
            .await;
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}

/// Ends when the process that has started this one is gone, which holds the other end of the standard input.
async fn starter_has_ended() {
    let mut input = tokio::io::stdin();
    let mut buffer = [0; 16];
    while input.read(&mut buffer).await.is_ok_and(|len| len > 0) {}
}

async fn stop(backend: &Backend, plan: &BackendPlan) {
    let serves_ms = match plan.stop_mode {
        StopMode::Drain(serves_ms) => serves_ms,
        StopMode::Exit => return,
        StopMode::Deny(serves_ms) => {
            backend.deny_running();
            tokio::time::sleep(Duration::from_millis(serves_ms)).await;
            return;
        }
    };
    backend.set_draining();
    let state = AnnouncedState::Draining;
    let _ = backend.announce(plan.announce_address, state).await;
    tokio::time::sleep(Duration::from_millis(serves_ms)).await;
    let _ = backend.leave(plan.announce_address).await;
}
