//! Outgoing TCP connections with the options that every connection of the mesh has.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

/// Connects to `to`, from `from` if given, within `timeout`.
pub(crate) async fn dial(
    to: SocketAddr,
    from: Option<IpAddr>,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(from) = from {
        // A listener may come back to this port: with the option on both, the system lets it.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(to))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
