//! Measures the memory that a node needs for an idle connection from a caller.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::RunningDeployment;
use crate::error::{Error, Result};
use crate::fit::LinearFit;
use crate::process_stats;

/// Number of connections open at each step.
const CONNECTION_COUNTS: [usize; 4] = [10, 40, 70, 100];
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Fits the anonymous memory of the entry node, in kilobytes, over the number of open connections.
/// Each connection carries one request and then stays idle.
pub(crate) async fn memory_fit(deployment: &RunningDeployment) -> Result<LinearFit> {
    let entry = deployment.entry_vm().node();
    let process = entry.id().unwrap_or(0);
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in CONNECTION_COUNTS {
        while open.len() < count {
            let connection = open_and_use(entry.addresses.caller, deployment).await;
            open.push(connection.map_err(|error| Error::Unexpected {
                text: format!("connection {} failed: {error}", open.len() + 1),
            })?);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let memory = process_stats::memory(process).unwrap_or_default();
        points.push((count as f64, memory.anonymous_kb as f64));
    }
    LinearFit::least_squares(&points).ok_or_else(|| Error::Unexpected {
        text: "no line can be fitted to the measured connection counts".to_owned(),
    })
}

async fn open_and_use(
    address: SocketAddr,
    deployment: &RunningDeployment,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let route = deployment.route;
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
        route.path, route.service
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = [0; 2_048];
    let length = stream.read(&mut answer).await?;
    if length == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(stream)
}
