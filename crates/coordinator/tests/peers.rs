//! Tests of what coordinators know of each other, in virtual time.

use nutmegdale_base::clock;
use nutmegdale_consensus::types;
use nutmegdale_coordinator::{entries, gossip};
use nutmegdale_registry::follow;
use std::net;

const ROUND_MS: u64 = 500;
const LEADER: usize = 0;
const OTHER: usize = 1;
const LOST: usize = 2;

fn info(n: usize) -> gossip::PeerInfo {
    let address = net::SocketAddr::from(([10, 9, 0, n as u8], 1));
    gossip::PeerInfo {
        address,
        public: address,
        zone: format!("zone-{n}"),
        replica: types::ReplicaId(n as u64),
        is_blank: n == LOST,
        leads: None,
    }
}

/// Sends gossip from one coordinator to another and merges the reply.
fn exchange(tables: &mut [gossip::Peers], from: usize, to: usize, now: clock::Millis) {
    let digest = tables[from].digest(now);
    tables[to].update(now, info(from));
    tables[to].update(now, info(to));
    match tables[to].report(now, digest) {
        Some(peers) => {
            for peer in peers {
                tables[from].update_indirect(now, peer);
            }
        }
        None if to == LEADER => tables[from].confirm_live(now),
        None => {}
    }
    tables[from].update(now, info(to));
}

/// Runs rounds of gossip until `end_ms`, in which the last coordinator takes part until `lost_ms`.
fn run(lost_ms: u64, end_ms: u64) -> Vec<gossip::Peers> {
    let mut tables = Vec::new();
    tables.resize_with(3, gossip::Peers::default);
    for at in (0..end_ms).step_by(ROUND_MS as usize) {
        let now = clock::Millis(at);
        tables[LEADER].update(now, info(LEADER));
        tables[OTHER].update(now, info(OTHER));
        exchange(&mut tables, OTHER, LEADER, now);
        // Leaders and followers exchange broadcasts from time to time.
        if at % (10 * ROUND_MS) == 0 {
            exchange(&mut tables, LEADER, OTHER, now);
        }
        if at < lost_ms {
            exchange(&mut tables, LOST, LEADER, now);
        }
    }
    tables
}

fn is_live(table: &gossip::Peers, now: clock::Millis, n: usize) -> bool {
    table.live(now).any(|peer| peer.address == info(n).address)
}

/// Guards against entry processes that are told of a lost coordinator for good: two coordinators
/// that report it to each other renewed its record at each other.
#[test]
fn lost_coordinator_is_forgotten_by_all() {
    const LOST_MS: u64 = 10_000;
    const END_MS: u64 = LOST_MS + 8_000;
    let tables = run(LOST_MS, END_MS);
    for table in &tables[..LOST] {
        assert!(!is_live(table, clock::Millis(END_MS), LOST));
    }
}

/// Guards against lists that lose coordinators in a calm, in which most of them hear of each other
/// through the leader alone.
#[test]
fn coordinators_stay_live_through_the_reports_of_the_leader() {
    for end_ms in (5_000..30_000).step_by(ROUND_MS as usize) {
        let now = clock::Millis(end_ms);
        let tables = run(end_ms, end_ms);
        assert!((0..3).all(|n| is_live(&tables[OTHER], now, n)), "{end_ms}");
        assert!((0..3).all(|n| is_live(&tables[LEADER], now, n)), "{end_ms}");
    }
}

/// Guards against a repair that acts on the word of a third coordinator, which may be old: admission
/// of a blank replica, and removal of the member at its address.
#[test]
fn repairs_use_what_a_coordinator_says_of_itself() {
    let mut peers = gossip::Peers::default();
    peers.update_indirect(clock::Millis(1_000), info(LOST));
    assert_eq!(peers.statuses(clock::Millis(1_000)), []);
    peers.update(clock::Millis(2_000), info(LOST));
    peers.update_indirect(clock::Millis(7_000), info(LOST));
    let ages: Vec<_> = peers.statuses(clock::Millis(7_500));
    let ages: Vec<_> = ages.iter().map(|status| status.age).collect();
    assert_eq!(ages, [clock::Millis(5_500)]);
}

/// Guards against a table that grows with every replaced VM, and against the list of a lost
/// coordinator that keeps its entry processes from being reported as gone for good.
#[test]
fn lost_coordinators_and_their_lists_are_removed() {
    let mut peers = gossip::Peers::default();
    let start = clock::Millis(1_000);
    let entry = entries::EntryStatus {
        entry: follow::Entry {
            name: "entry".to_owned(),
            address: info(LOST).address,
            zone: "zone".to_owned(),
            region: "region".to_owned(),
        },
        is_ready: true,
        age: clock::Millis::ZERO,
    };
    let message = |n, entries: &[entries::EntryStatus]| gossip::Message {
        sender: info(n),
        entries: Some(entries.to_vec()),
        announced: Vec::new(),
        ready_digest: 0,
        peers_digest: 0,
    };
    for n in [OTHER, LOST] {
        peers.update(start, info(n));
        let reported = peers.update_entries(&mut message(n, std::slice::from_ref(&entry)));
        assert!(reported.gone.is_empty());
    }
    let later = start + clock::Millis(40_000);
    peers.update(later, info(OTHER));
    peers.expire(later);
    assert_eq!(peers.statuses(later).len(), 1);
    let reported = peers.update_entries(&mut message(OTHER, &[]));
    assert_eq!(reported.gone, ["entry"]);
}
