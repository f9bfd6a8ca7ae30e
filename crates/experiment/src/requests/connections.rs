//! Memory of a caller's idle connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Running;
use crate::error::{Error, Result};
use crate::fit::Fit;
use crate::usage;

/// Connections held open in each step.
const STEPS: [usize; 4] = [10, 40, 70, 100];
const SETTLE: Duration = Duration::from_millis(200);

/// Kilobytes of the entry node against the number of kept connections, each used once.
pub(crate) async fn memory(running: &Running) -> Result<Fit> {
    let entry = running.entry().node();
    let id = entry.id().unwrap_or(0);
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in STEPS {
        while open.len() < count {
            let connection = used_once(entry.addresses.caller, running).await;
            open.push(connection.map_err(|error| Error::Unexpected {
                text: format!("connection {} was refused: {error}", open.len() + 1),
            })?);
        }
        tokio::time::sleep(SETTLE).await;
        let memory = usage::memory(id).unwrap_or_default();
        points.push((count as f64, memory.anonymous_kb as f64));
    }
    Fit::of(&points).ok_or_else(|| Error::Unexpected {
        text: "the steps give no slope".to_owned(),
    })
}

async fn used_once(address: SocketAddr, running: &Running) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let subject = running.subject;
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
        subject.path, subject.service
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = [0; 2_048];
    let length = stream.read(&mut answer).await?;
    if length == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(stream)
}
