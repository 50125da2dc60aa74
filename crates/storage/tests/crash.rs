//! Guards against the loss of what was synced, whatever a crash leaves of the rest, and against
//! acknowledging what a failing or full disk did not store.

use nutmegdale_base::{rng, rng::Rng as _};
use nutmegdale_storage::disk::Disk as _;
use nutmegdale_storage::{disk, error, fake, store};
use std::{env, fs};

mod model;

struct Run {
    disk: fake::FakeDisk,
    rng: rng::SplitMix64,
    store: store::Store,
    /// What was synced.
    durable: model::Model,
    /// What was appended since, one state for each record.
    later: Vec<model::Model>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let disk = fake::FakeDisk::new();
        let store = model::create(&disk);
        Run {
            disk,
            rng: rng::SplitMix64::new(seed),
            store,
            durable: model::Model::default(),
            later: Vec::new(),
        }
    }

    fn newest(&self) -> model::Model {
        self.later.last().unwrap_or(&self.durable).clone()
    }

    fn append(&mut self) {
        let mut newest = self.newest();
        if self.rng.below(3) == 0 {
            newest.hard_state.term += 1;
            newest.hard_state.vote = Some(self.rng.below(3));
            self.store.append(Some(newest.hard_state), []);
            self.later.push(newest.clone());
        }
        let base = newest.snapshot.as_ref().map_or(0, |s| s.index);
        // Now and then the newest entries are replaced, as a new leader does.
        let back = match self.rng.below(5) {
            0 => self.rng.below(4),
            _ => 0,
        };
        let index = (newest.last() + 1).saturating_sub(back).max(base + 1);
        let len = self.rng.below(400) as usize;
        let added = model::entry(index, newest.hard_state.term, len);
        self.store.append(None, [model::view(&added)]);
        newest.push(added);
        self.later.push(newest);
    }

    fn sync(&mut self) {
        self.store.sync().expect("sync");
        self.durable = self.newest();
        self.later.clear();
    }

    fn snapshot(&mut self) {
        self.sync();
        let Some(last) = self.durable.entries.last() else {
            return;
        };
        let snapshot = store::StoredSnapshot {
            index: last.index,
            term: last.term,
            body: vec![1; self.rng.below(2_000) as usize],
        };
        let saved = self
            .store
            .save_snapshot(snapshot.index, snapshot.term, &snapshot.body);
        saved.expect("snapshot");
        self.durable.cover(snapshot);
    }

    fn install(&mut self) {
        let snapshot = store::StoredSnapshot {
            index: self.newest().last() + 1 + self.rng.below(5),
            term: self.newest().hard_state.term + 1,
            body: vec![2; self.rng.below(2_000) as usize],
        };
        // The hard state appended with the batch is stored again by the next segment.
        self.sync();
        let saved = self
            .store
            .install_snapshot(snapshot.index, snapshot.term, &snapshot.body);
        saved.expect("snapshot");
        self.durable.cover(snapshot);
    }

    fn crash(&mut self, seed: u64) {
        self.disk.crash(&mut self.rng);
        let opened = model::open(&self.disk);
        let opened = opened.unwrap_or_else(|err| panic!("seed {seed}: {err}"));
        let (store, recovered) = opened.unwrap_or_else(|| panic!("seed {seed}: blank"));
        let held = model::Model::of(&recovered);
        let is_known = held == self.durable || self.later.contains(&held);
        assert!(
            is_known,
            "seed {seed}: {held:?} instead of {:?}",
            self.durable
        );
        self.store = store;
        self.durable = held;
        self.later.clear();
    }
}

#[test]
fn what_was_synced_survives_every_crash() {
    for seed in 0..1_500 {
        let mut run = Run::new(seed);
        for _ in 0..60 {
            match run.rng.below(20) {
                0..=10 => run.append(),
                11..=15 => run.sync(),
                16 => run.snapshot(),
                17 => run.install(),
                _ => {
                    // Records are written only by a sync, so half a batch is on the disk if the
                    // sync does not return.
                    if run.rng.below(2) == 0 {
                        run.disk.fail_sync_after(0);
                        assert!(run.later.is_empty() || run.store.sync().is_err());
                    }
                    run.crash(seed);
                }
            }
        }
    }
}

/// A snapshot or a new segment that a crash interrupts must leave the old or the new state.
#[test]
fn interrupted_snapshot_loses_nothing() {
    for seed in 0..600 {
        let mut run = Run::new(seed);
        for _ in 0..10 {
            run.append();
        }
        run.sync();
        let last = run.durable.entries.last().expect("entries").clone();
        let is_received = run.rng.below(2) == 0;
        let mut after = run.durable.clone();
        let snapshot = store::StoredSnapshot {
            index: last.index + 3 * u64::from(is_received),
            term: last.term,
            body: vec![3; 700],
        };
        after.cover(snapshot.clone());
        run.later.push(after);
        run.disk.fail_sync_after(run.rng.below(8));
        // Whether it fails depends on the number of syncs; both outcomes are checked.
        let stored = if is_received {
            run.store
                .install_snapshot(snapshot.index, snapshot.term, &snapshot.body)
        } else {
            run.store
                .save_snapshot(snapshot.index, snapshot.term, &snapshot.body)
        };
        if stored.is_ok() {
            run.durable = run.newest();
            run.later.clear();
        }
        run.crash(seed);
        run.append();
        run.sync();
        run.crash(seed);
    }
}

#[test]
fn interrupted_creation_leaves_a_blank_folder_or_a_whole_replica() {
    for seed in 0..200 {
        let disk = fake::FakeDisk::new();
        let mut rng = rng::SplitMix64::new(seed);
        disk.fail_sync_after(rng.below(6));
        let created = store::Store::create(Box::new(disk.clone()), model::LIMITS, model::IDENTITY);
        disk.crash(&mut rng);
        let opened = model::open(&disk).unwrap_or_else(|err| panic!("seed {seed}: {err}"));
        match opened {
            Some((store, _)) => assert_eq!(store.identity(), model::IDENTITY),
            None => {
                assert!(created.is_err(), "seed {seed}: a created replica is gone");
                model::create(&disk);
            }
        }
    }
}

/// After a failed sync the kernel may report later ones as successful although data is lost.
#[test]
fn failed_sync_is_final() {
    let disk = fake::FakeDisk::new();
    let mut store = model::create(&disk);
    store.append(None, [model::view(&model::entry(1, 1, 10))]);
    disk.fail_sync_after(0);
    let err = store.sync().expect_err("sync fails");
    assert!(
        err.to_string()
            .contains("log-0000000000000001: sync failed"),
        "{err}"
    );
    disk.fail_sync_after(u64::MAX);
    store.append(None, [model::view(&model::entry(2, 1, 10))]);
    assert!(matches!(store.sync(), Err(error::Error::Failed)));
    assert!(matches!(
        store.save_snapshot(1, 1, b"x"),
        Err(error::Error::Failed)
    ));
}

#[test]
fn full_disk_is_an_error_and_keeps_what_was_synced() {
    let disk = fake::FakeDisk::new();
    let mut store = model::create(&disk);
    disk.limit(1_000);
    let mut synced = 0;
    let err = loop {
        store.append(None, [model::view(&model::entry(synced + 1, 1, 100))]);
        match store.sync() {
            Ok(()) => synced += 1,
            Err(err) => break err,
        }
    };
    assert!(err.to_string().contains("write failed"), "{err}");
    assert!(synced > 3);
    disk.crash(&mut rng::SplitMix64::new(1));
    let (_, recovered) = model::open(&disk).expect("opens").expect("replica");
    assert_eq!(recovered.entries.len() as u64, synced);
}

/// A sync for each entry would bound the throughput by the disk.
#[test]
fn batch_takes_one_sync() {
    let disk = fake::FakeDisk::new();
    let limits = store::Limits::default();
    let created = store::Store::create(Box::new(disk.clone()), limits, model::IDENTITY);
    let mut store = created.expect("store");
    let before = disk.sync_count();
    let entries: Vec<_> = (1..=100).map(|n| model::entry(n, 1, 50)).collect();
    store.append(None, entries.iter().map(model::view));
    store.sync().expect("sync");
    store.sync().expect("nothing to sync");
    assert_eq!(disk.sync_count(), before + 1);
}

/// Two processes on one folder would write over each other.
#[test]
fn real_folder_holds_a_replica_and_is_locked() {
    let folder = env::temp_dir().join(format!("nutmegdale-storage-{}", std::process::id()));
    let open = || disk::FolderDisk::open(&folder.join("a/b"));
    let first = open().expect("folder");
    assert!(open().is_err(), "a second process must be kept out");
    let created = store::Store::create(Box::new(first), model::LIMITS, model::IDENTITY);
    let mut store = created.expect("store");
    for index in 1..=40 {
        store.append(None, [model::view(&model::entry(index, 1, 100))]);
        store.sync().expect("sync");
    }
    store.save_snapshot(30, 1, b"state").expect("snapshot");
    drop(store);
    let disk = open().expect("folder");
    let files = disk.list().expect("list");
    let opened = store::Store::open(Box::new(disk), model::LIMITS).expect("opens");
    let store::Opened::Replica(_, recovered) = opened else {
        panic!("folder is blank");
    };
    assert_eq!(recovered.snapshot.expect("snapshot").body, b"state");
    let indices: Vec<u64> = recovered.entries.iter().map(|e| e.index).collect();
    assert_eq!(indices, (31..=40).collect::<Vec<u64>>());
    assert!(files.len() <= 5, "covered segments are removed: {files:?}");
    fs::remove_dir_all(&folder).expect("folder is removed");
}
