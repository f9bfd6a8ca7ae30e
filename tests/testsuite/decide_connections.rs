//! Limits on connections of callers, and which connection is closed at the limit.

use std::net::IpAddr;

use dragonflywall::decide::connections::{ConnectionLimits, ConnectionTable};

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn connections(max_total: u32, max_per_address: u32) -> ConnectionTable {
    ConnectionTable::new(ConnectionLimits {
        max_total,
        max_per_address,
    })
}

/// Guards against idle connections that keep new ones, which carry requests, from being accepted: at the
/// limit the connection that has been idle longest is closed.
#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    let mut connections = connections(3, 3);
    let mut accept = || connections.accept(address(1)).expect("there is room");
    let keys = [accept(), accept(), accept()].map(|accepted| accepted.connection);
    for key in [keys[1], keys[0], keys[2]] {
        connections.mark_idle(key);
    }
    // The first connection to become idle is used again and starts a new idle period.
    assert!(connections.mark_active(keys[1]));
    connections.mark_idle(keys[1]);
    let accepted = connections
        .accept(address(2))
        .expect("a connection is idle");
    assert_eq!(accepted.closed, Some(keys[0]));
    assert!(
        !connections.mark_active(keys[0]),
        "the connection is being closed"
    );
    // The later removal of the closed connection does not free its place twice.
    connections.remove(keys[0]);
    assert_eq!(connections.count(), 3);
}

/// A connection with a request must not be closed for a new one. The new one is refused until another
/// is idle or has ended.
#[test]
fn connection_with_a_request_is_never_closed() {
    let mut connections = connections(2, 2);
    let first = connections.accept(address(1)).expect("there is room");
    let second = connections.accept(address(1)).expect("there is room");
    assert_eq!(connections.accept(address(1)), None);
    connections.mark_idle(second.connection);
    let third = connections
        .accept(address(1))
        .expect("a connection is idle");
    assert_eq!(third.closed, Some(second.connection));
    connections.remove(first.connection);
    let fourth = connections.accept(address(1)).expect("there is room");
    assert_eq!(fourth.closed, None);
}

/// Guards against a caller whose many connections displace those of others: at the limit of its address
/// one of its own is closed.
#[test]
fn address_at_its_limit_loses_its_own_connections() {
    let mut connections = connections(10, 2);
    let other = connections.accept(address(1)).expect("there is room");
    connections.mark_idle(other.connection);
    let first = connections.accept(address(2)).expect("there is room");
    connections.mark_idle(first.connection);
    let second = connections.accept(address(2)).expect("there is room");
    let third = connections
        .accept(address(2))
        .expect("its own idle connection is closed");
    assert_eq!(third.closed, Some(first.connection));
    assert_eq!(
        connections.accept(address(2)),
        None,
        "both connections are in use"
    );
    assert!(connections.mark_active(other.connection));
    assert!(connections.mark_active(second.connection));
}

/// The total follows from file descriptors or memory, whichever allows fewer connections, and caps the
/// limit per address.
#[test]
fn limit_is_the_scarcer_of_descriptors_and_memory() {
    let limits = ConnectionLimits::for_process(4_100, Some(260), u32::MAX);
    assert_eq!((limits.max_total, limits.max_per_address), (3_075, 3_075));
    let limits = ConnectionLimits::for_process(4_100, Some(64), u32::MAX);
    assert_eq!(limits.max_total, 1_024);
    let limits = ConnectionLimits::for_process(u32::MAX, None, 1_024);
    assert_eq!(limits.max_per_address, 1_024);
}
