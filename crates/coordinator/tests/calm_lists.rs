//! Lists of entry processes in virtual time: several coordinators that gossip with their leader, and
//! entry processes that sync with one of them each.

use nutmegdale_base::clock;
use nutmegdale_coordinator::{entries, gossip};
use nutmegdale_registry::follow;
use std::net;

const STEP_MS: u64 = 20;
/// Interval between rounds of gossip.
const ROUND_MS: u64 = 500;
/// Interval between syncs of an entry process: the time for which a sync is held, and a round trip.
const SYNC_MS: u64 = 560;
const COORDINATORS_COUNT: usize = 9;

fn entry(n: usize) -> follow::Entry {
    follow::Entry {
        name: format!("entry-{n}"),
        address: net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80)),
        zone: format!("zone-{}", n % COORDINATORS_COUNT),
        region: "region".to_owned(),
    }
}

/// Coordinator with what it knows of entry processes and, if it leads, of the others' lists.
#[derive(Default)]
struct Coordinator {
    entries: entries::Entries,
    peers: gossip::Peers,
    acked: Option<Vec<String>>,
    ready: Vec<follow::Entry>,
    changes_count: usize,
}

fn info(n: usize) -> gossip::PeerInfo {
    let address = net::SocketAddr::from(([10, 9, 0, n as u8], 1));
    gossip::PeerInfo {
        address,
        public: address,
        zone: format!("zone-{n}"),
        replica: nutmegdale_consensus::types::ReplicaId(n as u64),
        is_blank: false,
        leads: None,
    }
}

/// Runs one round of gossip of coordinator `n` with the leader, coordinator 0.
fn exchange(coordinators: &mut [Coordinator], n: usize, now: clock::Millis) {
    let [leader, others @ ..] = coordinators else {
        return;
    };
    let sender = &mut others[n - 1];
    let direct = sender.entries.direct(now);
    let names: Vec<_> = direct.iter().map(|s| s.entry.name.clone()).collect();
    let is_acked = sender.acked.as_ref() == Some(&names);
    let mut message = gossip::Message {
        sender: info(n),
        entries: (!is_acked).then_some(direct),
        announced: Vec::new(),
        ready_digest: follow::entries_digest(&sender.entries.ready(now)),
        peers_digest: 0,
    };
    sender.acked = Some(names);
    let reported = leader.peers.update_entries(&mut message);
    leader.entries.merge(now, reported.entries);
    leader.entries.remove_indirect(&reported.gone);
    match follow::entries_digest(&leader.entries.ready(now)) == message.ready_digest {
        true => sender.entries.refresh_indirect(now),
        false => {
            let ready = leader.entries.ready_statuses(now);
            sender.entries.replace_indirect(now, &ready);
        }
    }
}

/// Runs `entries_count` entry processes from a common start until `end_ms`, and returns how often
/// any coordinator's list changed after `calm_ms`. Each process moves to another coordinator in the
/// second second, as after a start with a few known coordinators.
fn changes_in_calm(entries_count: usize, calm_ms: u64, end_ms: u64) -> usize {
    let coordinators = run(entries_count, calm_ms, end_ms, u64::MAX);
    let lists = coordinators
        .iter()
        .map(|coordinator| coordinator.ready.len());
    assert!(
        lists.eq([entries_count; COORDINATORS_COUNT]),
        "every list is complete"
    );
    let counts = coordinators
        .iter()
        .map(|coordinator| coordinator.changes_count);
    counts.sum()
}

/// Runs entry processes of which the last stops at `stop_ms`; returns the coordinators.
fn run(entries_count: usize, calm_ms: u64, end_ms: u64, stop_ms: u64) -> Vec<Coordinator> {
    let mut coordinators: Vec<Coordinator> = Vec::new();
    coordinators.resize_with(COORDINATORS_COUNT, Coordinator::default);
    for at in (0..end_ms).step_by(STEP_MS as usize) {
        let now = clock::Millis(10_000 + at);
        for n in 0..entries_count {
            let phase = (n as u64 * 7 % (SYNC_MS / STEP_MS)) * STEP_MS;
            let is_stopped = n + 1 == entries_count && at >= stop_ms;
            if at % SYNC_MS == phase && !is_stopped {
                let target = if at < 1_500 {
                    n % 3
                } else {
                    n % COORDINATORS_COUNT
                };
                coordinators[target]
                    .entries
                    .record_sync(now, &entry(n), true);
            }
        }
        for n in 1..COORDINATORS_COUNT {
            if at % ROUND_MS == n as u64 * 40 {
                exchange(&mut coordinators, n, now);
            }
        }
        for coordinator in &mut coordinators {
            let ready = coordinator.entries.ready(now);
            let has_changed = ready != coordinator.ready;
            coordinator.changes_count += usize::from(has_changed && at >= calm_ms);
            coordinator.ready = ready;
        }
    }
    coordinators
}

/// Guards against lists that change without end in a calm, each change of which travels to every
/// entry process: a coordinator took the leader's report of a process that syncs with itself for
/// that of another coordinator, and no longer listed it as its own.
#[test]
fn lists_settle_at_every_size() {
    for entries_count in [27, 122, 315] {
        let changes = changes_in_calm(entries_count, 6_000, 20_000);
        assert_eq!(changes, 0, "{entries_count} entry processes");
    }
}

/// Guards against callers that are sent to a process that has stopped, since coordinators repeat to
/// each other that they have heard of it.
#[test]
fn stopped_process_leaves_every_list() {
    const STOP_MS: u64 = 6_000;
    // Two syncs and three rounds of gossip.
    const END_MS: u64 = STOP_MS + 3_700;
    for entries_count in [27, 122] {
        let coordinators = run(entries_count, 0, END_MS, STOP_MS);
        for coordinator in &coordinators {
            assert_eq!(coordinator.ready.len(), entries_count - 1);
        }
    }
}
