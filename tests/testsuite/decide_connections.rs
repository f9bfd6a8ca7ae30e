//! Which connections of callers are kept when there are too many.

use std::net::IpAddr;

use dragonflywall::decide::connections::{ConnectionLimits, Connections};

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn connections(most: u32, most_of_one: u32) -> Connections {
    Connections::new(ConnectionLimits { most, most_of_one })
}

/// On a busy day callers hold thousands of idle connections and open new ones for their retries. A
/// new one brings a request; it must find room, and the connection idle for longest makes it.
#[test]
fn the_longest_idle_connection_goes_for_a_new_one() {
    let mut connections = connections(3, 3);
    let mut enter = || connections.enter(address(1)).expect("there is room");
    let keys = [enter(), enter(), enter()].map(|entered| entered.connection);
    for key in [keys[1], keys[0], keys[2]] {
        connections.idle(key);
    }
    // The first to become idle is used again and rests anew.
    assert!(connections.used(keys[1]));
    connections.idle(keys[1]);
    let entered = connections.enter(address(2)).expect("one is idle");
    assert_eq!(entered.closed, Some(keys[0]));
    assert!(!connections.used(keys[0]), "it is being closed");
    // Its end, told later, frees nothing twice.
    connections.leave(keys[0]);
    assert_eq!(connections.count(), 3);
}

/// Every connection has a request in hand. None of them may be closed for a new one, which is refused
/// until one is idle or has ended.
#[test]
fn a_connection_in_use_never_goes() {
    let mut connections = connections(2, 2);
    let first = connections.enter(address(1)).expect("there is room");
    let second = connections.enter(address(1)).expect("there is room");
    assert_eq!(connections.enter(address(1)), None);
    connections.idle(second.connection);
    let third = connections.enter(address(1)).expect("one is idle");
    assert_eq!(third.closed, Some(second.connection));
    connections.leave(first.connection);
    let fourth = connections.enter(address(1)).expect("there is room");
    assert_eq!(fourth.closed, None);
}

/// One caller opens connection after connection. It loses its own, and nobody else's.
#[test]
fn a_hoarder_loses_its_own_connections() {
    let mut connections = connections(10, 2);
    let other = connections.enter(address(1)).expect("there is room");
    connections.idle(other.connection);
    let first = connections.enter(address(2)).expect("there is room");
    connections.idle(first.connection);
    let second = connections.enter(address(2)).expect("there is room");
    let third = connections.enter(address(2)).expect("its own first goes");
    assert_eq!(third.closed, Some(first.connection));
    assert_eq!(connections.enter(address(2)), None, "both are in use");
    assert!(connections.used(other.connection));
    assert!(connections.used(second.connection));
}

/// The limit follows what the process has: the scarcer of descriptors and memory.
#[test]
fn the_limit_follows_the_process() {
    let limits = ConnectionLimits::of_process(4_100, Some(260), u32::MAX);
    assert_eq!((limits.most, limits.most_of_one), (3_075, 3_075));
    let limits = ConnectionLimits::of_process(4_100, Some(64), u32::MAX);
    assert_eq!(limits.most, 1_024);
    let limits = ConnectionLimits::of_process(u32::MAX, None, 1_024);
    assert_eq!(limits.most_of_one, 1_024);
}
