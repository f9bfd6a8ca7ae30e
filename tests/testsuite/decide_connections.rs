//! Which connections of callers are kept when there are too many.

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

/// On a busy day callers hold thousands of idle connections and open new ones for their retries. A
/// new one brings a request; it must find room, and the connection idle for longest makes it.
#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    let mut connections = connections(3, 3);
    let mut accept = || connections.accept(address(1)).expect("there is room");
    let keys = [accept(), accept(), accept()].map(|accepted| accepted.connection);
    for key in [keys[1], keys[0], keys[2]] {
        connections.mark_idle(key);
    }
    // The first to become idle is used again and rests anew.
    assert!(connections.mark_active(keys[1]));
    connections.mark_idle(keys[1]);
    let accepted = connections.accept(address(2)).expect("one is idle");
    assert_eq!(accepted.closed, Some(keys[0]));
    assert!(!connections.mark_active(keys[0]), "it is being closed");
    // Its end, told later, frees nothing twice.
    connections.remove(keys[0]);
    assert_eq!(connections.count(), 3);
}

/// Every connection has a request in hand. None of them may be closed for a new one, which is refused
/// until one is idle or has ended.
#[test]
fn connection_with_a_request_is_never_closed() {
    let mut connections = connections(2, 2);
    let first = connections.accept(address(1)).expect("there is room");
    let second = connections.accept(address(1)).expect("there is room");
    assert_eq!(connections.accept(address(1)), None);
    connections.mark_idle(second.connection);
    let third = connections.accept(address(1)).expect("one is idle");
    assert_eq!(third.closed, Some(second.connection));
    connections.remove(first.connection);
    let fourth = connections.accept(address(1)).expect("there is room");
    assert_eq!(fourth.closed, None);
}

/// One caller opens connection after connection. It loses its own, and nobody else's.
#[test]
fn address_at_its_limit_loses_its_own_connections() {
    let mut connections = connections(10, 2);
    let other = connections.accept(address(1)).expect("there is room");
    connections.mark_idle(other.connection);
    let first = connections.accept(address(2)).expect("there is room");
    connections.mark_idle(first.connection);
    let second = connections.accept(address(2)).expect("there is room");
    let third = connections.accept(address(2)).expect("its own first goes");
    assert_eq!(third.closed, Some(first.connection));
    assert_eq!(connections.accept(address(2)), None, "both are in use");
    assert!(connections.mark_active(other.connection));
    assert!(connections.mark_active(second.connection));
}

/// The limit follows what the process has: the scarcer of descriptors and memory.
#[test]
fn limit_is_the_scarcer_of_descriptors_and_memory() {
    let limits = ConnectionLimits::for_process(4_100, Some(260), u32::MAX);
    assert_eq!((limits.max_total, limits.max_per_address), (3_075, 3_075));
    let limits = ConnectionLimits::for_process(4_100, Some(64), u32::MAX);
    assert_eq!(limits.max_total, 1_024);
    let limits = ConnectionLimits::for_process(u32::MAX, None, 1_024);
    assert_eq!(limits.max_per_address, 1_024);
}
