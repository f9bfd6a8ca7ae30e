//! Starts nodes as child processes, sends them signals, and reads what they print.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot};

/// Environment variable that gives a node process the id of the process that has started it.
pub const PARENT_ID_VARIABLE: &str = "TESTKIT_PARENT_ID";

/// Limit on the time until a node prints its addresses; after it, the start counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Addresses of a node's listeners, as the node prints them on standard output.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Addresses {
    /// Listener for requests of callers.
    pub caller: SocketAddr,
    /// Listener for other nodes.
    pub peer: SocketAddr,
    /// Listener for operators, with status and metrics.
    pub operator: SocketAddr,
    /// Listener for readiness checks, if the node has a separate one.
    pub ready: Option<SocketAddr>,
    /// Listener for announcements of the backend server, if the node has a separate one.
    pub announce: Option<SocketAddr>,
}

/// A Unix signal that tests send to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: the node drains and exits.
    Terminate,
    /// SIGHUP: the node reloads its settings.
    Hangup,
    /// SIGSTOP: the process is suspended.
    Stop,
    /// SIGCONT: the suspended process resumes.
    Continue,
    /// SIGKILL: the process ends at once, as in a crash.
    Kill,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Self::Terminate => libc::SIGTERM,
            Self::Hangup => libc::SIGHUP,
            Self::Stop => libc::SIGSTOP,
            Self::Continue => libc::SIGCONT,
            Self::Kill => libc::SIGKILL,
        }
    }
}

/// Sends a signal to a child process, unless its exit has been waited for.
pub(crate) fn send_signal(id: Option<u32>, signal: Signal) {
    let Some(id) = id.and_then(|id| i32::try_from(id).ok()) else {
        return;
    };
    // SAFETY: `kill` takes no pointers. `id` is a child that has not been waited for, so the
    // system can't have reused its process id for another process.
    unsafe { libc::kill(id, signal.number()) };
}

/// A line of a node's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Position of the node's VM in the mesh.
    pub position: usize,
    /// Time at which the test process read the line.
    pub read_at: Instant,
    /// Text without the line break.
    pub text: String,
}

/// A node process. Dropping it kills the process.
#[derive(Debug)]
pub struct NodeProcess {
    /// Addresses of its listeners.
    pub addresses: Addresses,
    child: Child,
}

impl NodeProcess {
    /// Starts `program` with `arguments` and waits until it has printed its addresses. Its log lines go to
    /// the standard error of this process.
    pub async fn start(program: &Path, arguments: &[String]) -> Result<Self, String> {
        Self::start_with_log(program, arguments, None).await
    }

    /// Like [`Self::start`], but sends the log lines to a channel, with the given position in each
    /// [`LogLine`].
    pub async fn start_with_log(
        program: &Path,
        arguments: &[String],
        log_lines: Option<(usize, mpsc::UnboundedSender<LogLine>)>,
    ) -> Result<Self, String> {
        let mut child = Command::new(program)
            .env(PARENT_ID_VARIABLE, std::process::id().to_string())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("cannot start {}: {error}", program.display()))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let (sender, addresses) = oneshot::channel();
        tokio::spawn(read_output(stdout, sender, log_lines));
        let addresses = tokio::time::timeout(START_TIMEOUT, addresses).await;
        let addresses =
            addresses.map_err(|_| "the node did not print its addresses in time".to_owned())?;
        let addresses = addresses.map_err(|_| "the node exited before it printed its addresses")?;
        Ok(Self { addresses, child })
    }

    /// Returns the process id, or `None` once the exit has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process; does nothing once its exit has been waited for.
    pub fn signal(&self, signal: Signal) {
        send_signal(self.id(), signal);
    }

    /// Waits until the process has exited.
    pub async fn wait_exit(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}

/// Limit on the checks, one a millisecond, for the exit of a killed process.
const MAX_REAP_POLLS: u32 = 2_000;

impl Drop for NodeProcess {
    /// Kills the process and waits for its exit, which takes about a millisecond. Until then it occupies
    /// its listeners' addresses, and a node that is restarted at one of them would fail to start.
    fn drop(&mut self) {
        if self.child.start_kill().is_err() {
            return;
        }
        for _ in 0..MAX_REAP_POLLS {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Reads the standard output of a node until it is closed. The first line that parses as [`Addresses`]
/// is sent to `addresses`; all other lines are log lines.
async fn read_output(
    stdout: impl AsyncRead + Unpin,
    addresses: oneshot::Sender<Addresses>,
    log_lines: Option<(usize, mpsc::UnboundedSender<LogLine>)>,
) {
    let mut addresses = Some(addresses);
    let mut lines = BufReader::new(stdout).lines();
    while let Ok(Some(text)) = lines.next_line().await {
        let parsed = serde_json::from_str(&text).ok();
        if let Some((sender, parsed)) = addresses.take_if(|_| parsed.is_some()).zip(parsed) {
            // Fails if the start has timed out. Reading continues, since a full pipe would block the node.
            let _ = sender.send(parsed);
        } else if let Some((position, sender)) = &log_lines {
            let line = LogLine {
                position: *position,
                read_at: Instant::now(),
                text,
            };
            // Fails if the receiver was dropped. Reading continues, since a full pipe would block the node.
            let _ = sender.send(line);
        } else {
            eprintln!("{text}");
        }
    }
}
