//! Changes of the list of entry processes.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_registry::{entry_list, follow};
use std::net;

fn entry(n: u64) -> follow::Entry {
    follow::Entry {
        name: format!("entry-{n:03}"),
        address: net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80)),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
    }
}

/// Guards against a follower whose list differs from that of its coordinator: callers would be sent
/// to processes that have stopped, and limits would be divided wrongly.
#[test]
fn changes_turn_any_list_into_any_other() {
    for seed in 0..500 {
        let mut rng = rng::SplitMix64::new(seed);
        let mut list = || -> Vec<_> {
            let mut entries: Vec<_> = (0..20).filter(|_| rng.below(2) == 0).map(entry).collect();
            if let Some(moved) = entries.first_mut() {
                moved.address.set_port(rng.below(3) as u16);
            }
            entries
        };
        let (mut held, current) = (list(), list());
        entry_list::EntryChanges::between(&held, &current).apply(&mut held);
        assert_eq!(held, current, "seed {seed}");
    }
}

/// Coordinator and one follower that apply each other's messages.
struct Pair {
    history: entry_list::History,
    copy: follow::LocalCopy,
    sent_bytes: usize,
}

impl Pair {
    fn sync(&mut self, current: &[follow::Entry]) {
        let held = follow::entries_digest(&self.copy.entries);
        let (entries, entry_changes) = match self.history.update(current.to_vec(), held) {
            entry_list::Update::Same => (None, None),
            entry_list::Update::Changes(changes) => (None, Some(changes)),
            entry_list::Update::Whole(entries) => (Some(entries), None),
        };
        let update = follow::SyncUpdate {
            reply: follow::SyncReply {
                is_current: true,
                index: 0,
                is_whole: false,
                changes: Vec::new(),
                entries,
                coordinators: Vec::new(),
                confirmation_age: None,
            },
            entry_changes,
        };
        self.sent_bytes += rmp_serde::to_vec(&update).expect("an update").len();
        self.copy.apply_update(clock::Millis::ZERO, update);
        assert_eq!(self.copy.entries, current);
    }
}

/// Guards against bytes in proportion to the square of the number of processes for each follower
/// when all of them start again one after the other.
#[test]
fn restart_of_all_processes_costs_each_follower_bytes_for_each_process_once() {
    const ENTRY_MAX_BYTES: usize = 160;
    for count in [30, 100, 300, 1_000] {
        let mut pair = Pair {
            history: entry_list::History::default(),
            copy: follow::LocalCopy::default(),
            sent_bytes: 0,
        };
        let mut current: Vec<_> = (0..count).map(entry).collect();
        pair.sync(&current);
        for n in 0..count as usize {
            let removed = current.remove(n);
            pair.sync(&current);
            current.insert(n, removed);
            pair.sync(&current);
        }
        let limit = 3 * count as usize * ENTRY_MAX_BYTES;
        assert!(
            pair.sent_bytes < limit,
            "{count}: {} bytes",
            pair.sent_bytes
        );
    }
}

/// Guards against memory for every list that there ever was, and against a follower that is not
/// served because its list is too old.
#[test]
fn follower_with_an_old_list_gets_the_whole_one() {
    let mut history = entry_list::History::default();
    let old = follow::entries_digest(&[entry(0)]);
    for n in 1..100 {
        let current: Vec<_> = (0..n).map(entry).collect();
        let newest = follow::entries_digest(&current);
        history.update(current.clone(), old);
        assert_eq!(history.update(current, newest), entry_list::Update::Same);
    }
    let current = vec![entry(5)];
    let update = history.update(current.clone(), old);
    assert_eq!(update, entry_list::Update::Whole(current));
}
