//! Nodes as processes: started, signalled, and waited for.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot};

/// A node that does not print its addresses within this has not started.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Where a node listens, as it prints it.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For questions about readiness, if they have an address of their own.
    pub ready: Option<SocketAddr>,
    /// For announcements of the backend server, likewise.
    pub announce: Option<SocketAddr>,
}

/// A signal that a test sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Please stop.
    Terminate,
    /// Read the settings again.
    Hangup,
    /// Freeze.
    Stop,
    /// Go on.
    Continue,
    /// Die at once.
    Kill,
}

/// A line that a node logged.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Which node: its position in the mesh.
    pub position: usize,
    /// When it was read here.
    pub read_at: Instant,
    /// The line.
    pub text: String,
}

/// A running node process; killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    /// Where it listens.
    pub addresses: Addresses,
    child: Child,
}

impl NodeProcess {
    /// Starts `program` with `arguments` and waits for the line with its addresses.
    pub async fn start(program: &Path, arguments: &[String]) -> Result<Self, String> {
        Self::start_with_log(program, arguments, None).await
    }

    /// Like [`Self::start`]; the log lines go to a channel, marked with a position.
    pub async fn start_with_log(
        program: &Path,
        arguments: &[String],
        log_lines: Option<(usize, mpsc::UnboundedSender<LogLine>)>,
    ) -> Result<Self, String> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let (sender, addresses) = oneshot::channel();
        tokio::spawn(read_output(stdout, sender, log_lines));
        let addresses = tokio::time::timeout(START_TIMEOUT, addresses).await;
        let addresses = addresses.map_err(|_| "the node printed no addresses".to_owned())?;
        let addresses = addresses.map_err(|_| "the node ended before it listened")?;
        Ok(Self { addresses, child })
    }

    /// Process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let signal_number = match signal {
            Signal::Terminate => libc::SIGTERM,
            Signal::Hangup => libc::SIGHUP,
            Signal::Stop => libc::SIGSTOP,
            Signal::Continue => libc::SIGCONT,
            Signal::Kill => libc::SIGKILL,
        };
        let Some(id) = self.id().and_then(|id| i32::try_from(id).ok()) else {
            return;
        };
        // SAFETY: `kill` takes no pointers; `id` is a child that has not been waited for, so the
        // number cannot have passed to another process.
        unsafe { libc::kill(id, signal_number) };
    }

    /// Waits for its end.
    pub async fn wait_exit(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}

/// Longest wait for a killed process to be gone.
const MAX_REAP_POLLS: u32 = 2_000;

impl Drop for NodeProcess {
    /// Guards against a node that is started again at its address while the killed process still
    /// holds the listener: the kill is waited for, which takes the system about a millisecond.
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

/// Reads what a node prints until it closes its output: one line of addresses, all others logged.
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
            // The caller has given up waiting; the pipe still has to be emptied.
            let _ = sender.send(parsed);
        } else if let Some((position, sender)) = &log_lines {
            let line = LogLine {
                position: *position,
                read_at: Instant::now(),
                text,
            };
            // Nobody listens any more; the pipe still has to be emptied.
            let _ = sender.send(line);
        } else {
            eprintln!("{text}");
        }
    }
}
