//! Reloads the settings file of a running node, on SIGHUP or when the file has changed.
//!
//! Changes of [`ReloadableSettings`](super::settings::ReloadableSettings) take effect at once. Changes of the
//! settings that [`needs_restart`] compares are only named in the log. A file that cannot be read or has an invalid
//! value changes nothing.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::settings::{Settings, file};
use super::state::NodeState;

/// How often the file is checked for changes. A change without a signal takes effect about as fast as a new
/// configuration version.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings file of `node` until `stop` is cancelled. Without a file, SIGHUP only logs that there is
/// nothing to reload.
pub(crate) async fn run(node: Arc<NodeState>, stop: CancellationToken) {
    let sighups = match signal(SignalKind::hangup()) {
        Ok(sighups) => sighups,
        Err(error) => {
            log::error!(error:%; "cannot handle SIGHUP; the settings file is not reloaded");
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

/// Metadata by which a changed file is detected.
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
                    log::info!(
                        "SIGHUP ignored: the settings come from flags and environment variables"
                    );
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
    let reloaded = match file::read(path, &node.proxy.settings.explicit_values) {
        Ok(reloaded) => reloaded,
        Err(error) => {
            let problems = error.problems.join("; ");
            log::error!(problems; "the settings file is invalid; the old settings stay");
            return;
        }
    };
    let old_settings = node.proxy.reloadable.load();
    let new_settings = reloaded.reloadable();
    let changed = **old_settings != new_settings;
    let pending_restart = needs_restart(&node.proxy.settings, &reloaded).join(", ");
    node.proxy.reloadable.store(Arc::new(new_settings));
    node.proxy.update_retry_policy();
    log::info!(changed, needs_restart = pending_restart; "reloaded the settings file");
}

/// Names of the settings that differ and are only read at startup.
fn needs_restart(running: &Settings, reloaded: &Settings) -> Vec<&'static str> {
    let startup_settings = [
        (
            "caller-listen",
            running.caller_listen != reloaded.caller_listen,
        ),
        ("peer-listen", running.peer_listen != reloaded.peer_listen),
        (
            "ready-listen",
            running.ready_listen != reloaded.ready_listen,
        ),
        (
            "announce-listen",
            running.announce_listen != reloaded.announce_listen,
        ),
        ("region and data-centre", running.place != reloaded.place),
        ("platform", running.platform_url != reloaded.platform_url),
        (
            "backend-server",
            !running.backend_server_announces && running.backend_server != reloaded.backend_server,
        ),
    ];
    let differing = startup_settings.into_iter().filter(|(_, differs)| *differs);
    differing.map(|(name, _)| name).collect()
}
