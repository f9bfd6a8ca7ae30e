//! Outgoing TCP connections with the options that every connection of the mesh has.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

/// Connects to `remote`, from `local_ip` if given, within `timeout`.
pub(crate) async fn dial(
    remote: SocketAddr,
    local_ip: Option<IpAddr>,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = if remote.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(local_ip) = local_ip {
        // A listener may come back to this port: with the option on both, the system lets it.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(local_ip, 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(remote))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
