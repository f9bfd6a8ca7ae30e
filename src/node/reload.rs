//! Takes in a settings file that changes under a running node, told by SIGHUP or found changed.
//!
//! What can change without a restart does; the rest is named in the log and waits for one. A file
//! that cannot be read, or only in part, changes nothing.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::settings::{Settings, file};
use super::state::NodeState;

/// How often the file is looked at. A change without a signal is in force about as soon as a
/// configuration is.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Looks after the file that `node`'s settings came from; without one a signal changes nothing.
pub(crate) async fn run(node: Arc<NodeState>, stop: CancellationToken) {
    let sighups = match signal(SignalKind::hangup()) {
        Ok(sighups) => sighups,
        Err(error) => {
            log::error!(error:%; "SIGHUP cannot be handled; a changed file is still noticed");
            return;
        }
    };
    let path = node.proxy.settings.config_file.clone();
    let watcher = FileWatcher {
        last_version: path.as_deref().and_then(FileVersion::read),
        path,
        node,
    };
    stop.run_until_cancelled(watcher.watch(sighups)).await;
}

/// What tells one writing of a file from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    len_bytes: u64,
}

impl FileVersion {
    fn read(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Self {
            modified: metadata.modified().ok()?,
            len_bytes: metadata.len(),
        })
    }
}

struct FileWatcher {
    node: Arc<NodeState>,
    path: Option<PathBuf>,
    last_version: Option<FileVersion>,
}

impl FileWatcher {
    async fn watch(mut self, mut sighups: Signal) {
        loop {
            let signalled = tokio::select! {
                _ = sighups.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            let Some(path) = &self.path else {
                if signalled {
                    log::info!("SIGHUP: the settings are flags and variables, nothing to reload");
                }
                continue;
            };
            let version = FileVersion::read(path);
            if signalled || (version.is_some() && version != self.last_version) {
                self.last_version = version;
                reload(&self.node, path);
            }
        }
    }
}

fn reload(node: &NodeState, path: &Path) {
    let read = match file::read(path, &node.proxy.settings.explicit_values) {
        Ok(read) => read,
        Err(error) => {
            let problems = error.problems.join("; ");
            log::error!(problems; "the settings file cannot be used; the old settings stay");
            return;
        }
    };
    let before = node.proxy.reloadable.load();
    let now = read.reloadable();
    let changed = **before != now;
    let pending_restart = needs_restart(&node.proxy.settings, &read).join(", ");
    node.proxy.reloadable.store(Arc::new(now));
    node.proxy.update_retry_policy();
    log::info!(changed, needs_restart = pending_restart; "read the settings file again");
}

/// Settings that differ and are only looked at when a node starts.
fn needs_restart(running: &Settings, read: &Settings) -> Vec<&'static str> {
    let startup_settings = [
        ("caller-listen", running.caller_listen != read.caller_listen),
        ("peer-listen", running.peer_listen != read.peer_listen),
        ("ready-listen", running.ready_listen != read.ready_listen),
        (
            "announce-listen",
            running.announce_listen != read.announce_listen,
        ),
        ("region and data-centre", running.place != read.place),
        ("platform", running.platform_url != read.platform_url),
        (
            "backend-server",
            running.backend_server != read.backend_server,
        ),
    ];
    let differing = startup_settings.into_iter().filter(|(_, differs)| *differs);
    differing.map(|(name, _)| name).collect()
}
