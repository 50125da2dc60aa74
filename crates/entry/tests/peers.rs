//! Selection of the control process that an entry process syncs with.

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

fn three_peers() -> peers::Peers {
    peers::Peers::new(&[address(1), address(2), address(3)])
}

/// Guards against an entry process that never reaches a leader that is not in its settings.
#[test]
fn unconfigured_leader_is_used() {
    let mut peers = three_peers();
    peers.record_not_leader(Millis(0), Some(address(9)));
    assert_eq!(peers.target(Millis(0)), target(9, false));
}

/// Guards against a loss of the configuration lease while only the leader is unreachable: another
/// process relays syncs, and the leader is retried later.
#[test]
fn syncs_to_unreachable_leader_are_relayed() {
    let mut peers = three_peers();
    peers.record_not_leader(Millis(0), Some(address(2)));
    peers.record_failure(Millis(100));
    assert_eq!(peers.target(Millis(100)), target(1, true));
    // A follower that cannot reach the leader either still names it.
    peers.record_not_leader(Millis(200), Some(address(2)));
    assert_eq!(
        peers.target(Millis(200)),
        target(3, true),
        "the unreachable leader is skipped"
    );
    let later = Millis(100) + peers::RELAY_MS;
    assert_eq!(peers.target(later), target(3, false));
    peers.record_not_leader(later, Some(address(2)));
    assert_eq!(peers.target(later), target(2, false));
}

/// Guards against skipping a new leader while syncs are relayed around the previous one.
#[test]
fn new_leader_is_contacted_directly() {
    let mut peers = three_peers();
    peers.record_not_leader(Millis(0), Some(address(2)));
    peers.record_failure(Millis(100));
    peers.record_not_leader(Millis(200), Some(address(3)));
    assert_eq!(peers.target(Millis(200)).address, address(3));
}

/// Guards against endless retries to one unresponsive process.
#[test]
fn unresponsive_processes_are_tried_in_turn() {
    let mut peers = three_peers();
    let tried: Vec<_> = (0..4)
        .map(|now| {
            let address = peers.target(Millis(now)).address;
            peers.record_failure(Millis(now));
            address
        })
        .collect();
    assert_eq!(tried, [address(1), address(2), address(3), address(1)]);
    let mut one = peers::Peers::new(&[address(1)]);
    one.record_not_leader(Millis(0), Some(address(1)));
    one.record_failure(Millis(0));
    assert_eq!(one.target(Millis(0)).address, address(1));
}
