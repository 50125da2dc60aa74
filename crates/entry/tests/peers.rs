//! Which control process an entry process asks.

use nutmegdale_base::clock::Millis;
use nutmegdale_entry::peers;
use std::net;

fn address(n: u8) -> net::SocketAddr {
    ([127, 0, 0, n], 1).into()
}

fn target(n: u8, may_forward: bool) -> peers::Target {
    peers::Target {
        address: address(n),
        may_forward,
    }
}

fn three() -> peers::Peers {
    peers::Peers::new(&[address(1), address(2), address(3)])
}

/// Guards against an entry process that never finds a leader that its settings do not list.
#[test]
fn named_leader_is_asked_although_it_is_not_listed() {
    let mut peers = three();
    peers.not_leader(Millis(0), Some(address(9)));
    assert_eq!(peers.target(Millis(0)), target(9, false));
}

/// Guards against a loss of the configuration lease while only the leader is out of reach: another
/// process passes syncs on, and the leader is tried again later.
#[test]
fn unreached_leader_is_asked_through_another_process() {
    let mut peers = three();
    peers.not_leader(Millis(0), Some(address(2)));
    peers.failed(Millis(100));
    assert_eq!(peers.target(Millis(100)), target(1, true));
    // A follower that cannot reach the leader either names it again.
    peers.not_leader(Millis(200), Some(address(2)));
    assert_eq!(
        peers.target(Millis(200)),
        target(3, true),
        "the unreached one is skipped"
    );
    let later = Millis(100) + peers::RELAY_MS;
    assert_eq!(peers.target(later), target(3, false));
    peers.not_leader(later, Some(address(2)));
    assert_eq!(peers.target(later), target(2, false));
}

/// Guards against a new leader that is passed over because the last one was out of reach.
#[test]
fn new_leader_is_asked_directly() {
    let mut peers = three();
    peers.not_leader(Millis(0), Some(address(2)));
    peers.failed(Millis(100));
    peers.not_leader(Millis(200), Some(address(3)));
    assert_eq!(peers.target(Millis(200)).address, address(3));
}

/// Guards against an endless question to one silent process.
#[test]
fn silent_processes_are_asked_in_turn() {
    let mut peers = three();
    let asked: Vec<_> = (0..4)
        .map(|now| {
            let address = peers.target(Millis(now)).address;
            peers.failed(Millis(now));
            address
        })
        .collect();
    assert_eq!(asked, [address(1), address(2), address(3), address(1)]);
    let mut one = peers::Peers::new(&[address(1)]);
    one.not_leader(Millis(0), Some(address(1)));
    one.failed(Millis(0));
    assert_eq!(one.target(Millis(0)).address, address(1));
}
