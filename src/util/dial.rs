//! Opens outgoing TCP connections with the socket options that all connections of the mesh use.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

/// Connects to `remote` and disables Nagle's algorithm. Binds to `local_ip` first if it is given. Fails with
/// `TimedOut` if the connection does not open within `timeout`.
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
        // A restarted listener may bind the port that this connection gets. The system permits that if
        // both sockets have SO_REUSEADDR.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(local_ip, 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(remote))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
