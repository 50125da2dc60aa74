//! Model of the expected content of a store, and helpers to create and open stores.

#![allow(dead_code)] // Each test file uses some of the helpers.

use nutmegdale_storage::{fake, store};

pub(crate) const IDENTITY: store::Identity = store::Identity {
    id: 0x1234_5678_9abc_def0,
    is_prepared: true,
};

pub(crate) const LIMITS: store::Limits = store::Limits {
    segment_max_bytes: 2_000,
};

/// Expected hard state, snapshot and entries of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Model {
    pub(crate) hard_state: store::HardState,
    pub(crate) snapshot: Option<store::StoredSnapshot>,
    pub(crate) entries: Vec<store::StoredEntry>,
}

impl Model {
    pub(crate) fn from_recovered(recovered: &store::Recovered) -> Model {
        Model {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot.clone(),
            entries: recovered.entries.clone(),
        }
    }

    pub(crate) fn last_index(&self) -> u64 {
        let base = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(base, |e| e.index)
    }

    pub(crate) fn push(&mut self, entry: store::StoredEntry) {
        self.entries.retain(|e| e.index < entry.index);
        self.entries.push(entry);
    }

    pub(crate) fn apply_snapshot(&mut self, snapshot: store::StoredSnapshot) {
        self.entries.retain(|e| e.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }
}

pub(crate) fn entry(index: u64, term: u64, len: usize) -> store::StoredEntry {
    let body = (0..len).map(|n| (index + n as u64) as u8).collect();
    store::StoredEntry { index, term, body }
}

pub(crate) fn borrow_entry(entry: &store::StoredEntry) -> store::Entry<'_> {
    store::Entry {
        index: entry.index,
        term: entry.term,
        body: &entry.body,
    }
}

pub(crate) fn create(disk: &fake::FakeDisk) -> store::Store {
    let disk = Box::new(disk.clone());
    store::Store::create(disk, LIMITS, IDENTITY).expect("store is created")
}

pub(crate) fn open(
    disk: &fake::FakeDisk,
) -> nutmegdale_storage::error::Result<Option<(store::Store, store::Recovered)>> {
    match store::Store::open(Box::new(disk.clone()), LIMITS)? {
        store::Opened::Blank(_) => Ok(None),
        store::Opened::Replica(store, recovered) => Ok(Some((*store, recovered))),
    }
}

/// Returns a disk with several segments and a snapshot, and its expected content.
pub(crate) fn filled_disk() -> (fake::FakeDisk, Model) {
    let disk = fake::FakeDisk::new();
    let mut store = create(&disk);
    let mut model = Model::default();
    for index in 1..=60 {
        let added = entry(index, 1 + index / 10, 20 + (index as usize * 7) % 90);
        model.hard_state = store::HardState {
            term: added.term,
            vote: Some(index % 3),
        };
        store.append(Some(model.hard_state), [borrow_entry(&added)]);
        store.sync().expect("sync");
        model.push(added);
        if index == 25 {
            let snapshot = store::StoredSnapshot {
                index: 20,
                term: 3,
                body: vec![7; 300],
            };
            let saved = store.save_snapshot(snapshot.index, snapshot.term, &snapshot.body);
            saved.expect("snapshot");
            model.apply_snapshot(snapshot);
        }
    }
    (disk, model)
}
