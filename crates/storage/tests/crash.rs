//! Guards against the loss of synced data in a crash, whichever part of the unsynced data survives,
//! and against acknowledging data that a failing or full disk did not store.

use nutmegdale_base::{rng, rng::Rng as _};
use nutmegdale_storage::disk::Disk as _;
use nutmegdale_storage::{disk, error, fake, store};
use std::{env, fs};

mod model;

struct Simulation {
    disk: fake::FakeDisk,
    rng: rng::SplitMix64,
    store: store::Store,
    /// State after the last successful sync.
    durable: model::Model,
    /// States after each record appended since then.
    unsynced: Vec<model::Model>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let disk = fake::FakeDisk::new();
        let store = model::create(&disk);
        Simulation {
            disk,
            rng: rng::SplitMix64::new(seed),
            store,
            durable: model::Model::default(),
            unsynced: Vec::new(),
        }
    }

    fn newest_model(&self) -> model::Model {
        self.unsynced.last().unwrap_or(&self.durable).clone()
    }

    fn append(&mut self) {
        let mut newest = self.newest_model();
        if self.rng.below(3) == 0 {
            newest.hard_state.term += 1;
            newest.hard_state.vote = Some(self.rng.below(3));
            self.store.append(Some(newest.hard_state), []);
            self.unsynced.push(newest.clone());
        }
        let base = newest.snapshot.as_ref().map_or(0, |s| s.index);
        // One append in five may replace the newest entries, as a new leader does.
        let replaced_count = match self.rng.below(5) {
            0 => self.rng.below(4),
            _ => 0,
        };
        let index = (newest.last_index() + 1)
            .saturating_sub(replaced_count)
            .max(base + 1);
        let len = self.rng.below(400) as usize;
        let added = model::entry(index, newest.hard_state.term, len);
        self.store.append(None, [model::borrow_entry(&added)]);
        newest.push(added);
        self.unsynced.push(newest);
    }

    fn sync(&mut self) {
        self.store.sync().expect("sync");
        self.durable = self.newest_model();
        self.unsynced.clear();
    }

    fn save_snapshot(&mut self) {
        self.sync();
        let Some(last) = self.durable.entries.last() else {
            return;
        };
        let snapshot = store::StoredSnapshot {
            index: last.index,
            term: last.term,
            body: vec![1; self.rng.below(2_000) as usize],
        };
        let result = self
            .store
            .save_snapshot(snapshot.index, snapshot.term, &snapshot.body);
        result.expect("snapshot");
        self.durable.apply_snapshot(snapshot);
    }

    fn install_snapshot(&mut self) {
        let snapshot = store::StoredSnapshot {
            index: self.newest_model().last_index() + 1 + self.rng.below(5),
            term: self.newest_model().hard_state.term + 1,
            body: vec![2; self.rng.below(2_000) as usize],
        };
        // `install_snapshot` drops an unsynced batch except for its hard state, which the header of
        // the next segment stores. The model does not cover this, so the batch is synced first.
        self.sync();
        let result = self
            .store
            .install_snapshot(snapshot.index, snapshot.term, &snapshot.body);
        result.expect("snapshot");
        self.durable.apply_snapshot(snapshot);
    }

    fn crash(&mut self, seed: u64) {
        self.disk.crash(&mut self.rng);
        let opened = model::open(&self.disk);
        let opened = opened.unwrap_or_else(|err| panic!("seed {seed}: {err}"));
        let (store, recovered) = opened.unwrap_or_else(|| panic!("seed {seed}: blank"));
        let recovered_model = model::Model::from_recovered(&recovered);
        let is_expected =
            recovered_model == self.durable || self.unsynced.contains(&recovered_model);
        assert!(
            is_expected,
            "seed {seed}: {recovered_model:?} instead of {:?}",
            self.durable
        );
        self.store = store;
        self.durable = recovered_model;
        self.unsynced.clear();
    }
}

#[test]
fn synced_data_survives_every_crash() {
    for seed in 0..1_500 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..60 {
            match simulation.rng.below(20) {
                0..=10 => simulation.append(),
                11..=15 => simulation.sync(),
                16 => simulation.save_snapshot(),
                17 => simulation.install_snapshot(),
                _ => {
                    // A failed sync leaves records that were written but not synced.
                    if simulation.rng.below(2) == 0 {
                        simulation.disk.fail_sync_after(0);
                        assert!(simulation.unsynced.is_empty() || simulation.store.sync().is_err());
                    }
                    simulation.crash(seed);
                }
            }
        }
    }
}

/// A crash while a snapshot or a new segment is written must leave the old or the new state.
#[test]
fn interrupted_snapshot_loses_nothing() {
    for seed in 0..600 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..10 {
            simulation.append();
        }
        simulation.sync();
        let last = simulation.durable.entries.last().expect("entries").clone();
        let is_received = simulation.rng.below(2) == 0;
        let mut after = simulation.durable.clone();
        let snapshot = store::StoredSnapshot {
            index: last.index + 3 * u64::from(is_received),
            term: last.term,
            body: vec![3; 700],
        };
        after.apply_snapshot(snapshot.clone());
        simulation.unsynced.push(after);
        simulation.disk.fail_sync_after(simulation.rng.below(8));
        // The injected fault may come after the last sync of the operation, so it may succeed.
        let result = if is_received {
            simulation
                .store
                .install_snapshot(snapshot.index, snapshot.term, &snapshot.body)
        } else {
            simulation
                .store
                .save_snapshot(snapshot.index, snapshot.term, &snapshot.body)
        };
        if result.is_ok() {
            simulation.durable = simulation.newest_model();
            simulation.unsynced.clear();
        }
        simulation.crash(seed);
        simulation.append();
        simulation.sync();
        simulation.crash(seed);
    }
}

#[test]
fn interrupted_creation_leaves_a_blank_folder_or_a_complete_replica() {
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
                assert!(created.is_err(), "seed {seed}: a created replica is lost");
                model::create(&disk);
            }
        }
    }
}

/// After a failed sync the kernel may report later syncs as successful although data is lost.
#[test]
fn failed_sync_is_final() {
    let disk = fake::FakeDisk::new();
    let mut store = model::create(&disk);
    store.append(None, [model::borrow_entry(&model::entry(1, 1, 10))]);
    disk.fail_sync_after(0);
    let err = store.sync().expect_err("sync fails");
    assert!(
        err.to_string()
            .contains("log-0000000000000001: sync failed"),
        "{err}"
    );
    disk.fail_sync_after(u64::MAX);
    store.append(None, [model::borrow_entry(&model::entry(2, 1, 10))]);
    assert!(matches!(store.sync(), Err(error::Error::Failed)));
    assert!(matches!(
        store.save_snapshot(1, 1, b"x"),
        Err(error::Error::Failed)
    ));
}

#[test]
fn full_disk_fails_the_sync_and_keeps_synced_data() {
    let disk = fake::FakeDisk::new();
    let mut store = model::create(&disk);
    disk.set_capacity(1_000);
    let mut synced = 0;
    let err = loop {
        store.append(
            None,
            [model::borrow_entry(&model::entry(synced + 1, 1, 100))],
        );
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

/// One sync for each entry would limit the throughput to the disk's rate of syncs.
#[test]
fn batch_takes_one_sync() {
    let disk = fake::FakeDisk::new();
    let limits = store::Limits::default();
    let created = store::Store::create(Box::new(disk.clone()), limits, model::IDENTITY);
    let mut store = created.expect("store");
    let before = disk.sync_count();
    let entries: Vec<_> = (1..=100).map(|n| model::entry(n, 1, 50)).collect();
    store.append(None, entries.iter().map(model::borrow_entry));
    store.sync().expect("sync");
    store.sync().expect("nothing to sync");
    assert_eq!(disk.sync_count(), before + 1);
}

/// Two processes that use the same folder would overwrite each other's files.
#[test]
fn folder_stores_a_replica_and_is_locked() {
    let folder = env::temp_dir().join(format!("nutmegdale-storage-{}", std::process::id()));
    let open = || disk::FolderDisk::open(&folder.join("a/b"));
    let first = open().expect("folder");
    assert!(open().is_err(), "a second process must be kept out");
    let created = store::Store::create(Box::new(first), model::LIMITS, model::IDENTITY);
    let mut store = created.expect("store");
    for index in 1..=40 {
        store.append(None, [model::borrow_entry(&model::entry(index, 1, 100))]);
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
