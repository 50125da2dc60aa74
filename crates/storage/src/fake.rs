//! In-memory disk with fault injection, for tests.

use crate::disk;
use nutmegdale_base::rng;
use std::collections;
use std::io;
use std::sync;

/// Unit in which a crash keeps or loses unsynced bytes, like a drive's sector.
const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone, Default)]
struct Inode {
    content: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    inodes: collections::BTreeMap<u64, Inode>,
    names: collections::BTreeMap<String, u64>,
    durable_names: collections::BTreeMap<String, u64>,
    next_inode: u64,
    capacity_bytes: Option<usize>,
    syncs_before_fault: Option<u64>,
    sync_count: u64,
    is_stalled: bool,
    stall_beyond_bytes: Option<usize>,
}

/// In-memory disk. Clones share its state, so that a test can inject faults while a store owns
/// another clone.
#[derive(Debug, Clone, Default)]
pub struct FakeDisk {
    state: sync::Arc<sync::Mutex<State>>,
    resumed: sync::Arc<sync::Condvar>,
}

impl FakeDisk {
    /// Creates an empty disk.
    pub fn new() -> FakeDisk {
        FakeDisk::default()
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the state once the disk is not stalled.
    fn responsive_state(&self) -> sync::MutexGuard<'_, State> {
        let resumed = self
            .resumed
            .wait_while(self.state(), |state| state.is_stalled);
        resumed.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Makes writes and syncs wait until [`FakeDisk::resume`].
    pub fn stall(&self) {
        self.state().is_stalled = true;
    }

    /// Stalls the disk at the first write that would grow the files beyond `size_bytes` in total.
    pub fn stall_beyond(&self, size_bytes: usize) {
        self.state().stall_beyond_bytes = Some(size_bytes);
    }

    /// Returns whether writes and syncs wait.
    pub fn is_stalled(&self) -> bool {
        self.state().is_stalled
    }

    /// Ends a stall.
    pub fn resume(&self) {
        self.state().is_stalled = false;
        self.resumed.notify_all();
    }

    /// Makes every sync fail after `count` more.
    pub fn fail_sync_after(&self, count: u64) {
        self.state().syncs_before_fault = Some(count);
    }

    /// Makes writes fail that would grow the files beyond `capacity_bytes` in total.
    pub fn set_capacity(&self, capacity_bytes: usize) {
        self.state().capacity_bytes = Some(capacity_bytes);
    }

    /// Returns the number of syncs of files and of the folder so far, failed ones included.
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }

    /// Returns an independent copy of all files, durable or not, without faults and limits.
    pub fn copy(&self) -> FakeDisk {
        let state = self.state();
        let copy = State {
            inodes: state.inodes.clone(),
            names: state.names.clone(),
            durable_names: state.durable_names.clone(),
            next_inode: state.next_inode,
            ..State::default()
        };
        FakeDisk {
            state: sync::Arc::new(sync::Mutex::new(copy)),
            resumed: sync::Arc::default(),
        }
    }

    /// Simulates a power failure: unsynced sectors, lengths and names are each kept or lost at
    /// random. Clears the injected faults and the capacity.
    pub fn crash(&self, rng: &mut dyn rng::Rng) {
        let mut state = self.state();
        let (old, new) = (state.durable_names.clone(), state.names.clone());
        let mut names = old.clone();
        for (name, inode) in &new {
            if old.get(name) != Some(inode) && rng.below(2) == 0 {
                names.insert(name.clone(), *inode);
            }
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            if rng.below(2) == 0 {
                names.remove(name);
            }
        }
        for inode in state.inodes.values_mut() {
            inode.durable = content_after_crash(inode, rng);
            inode.content = inode.durable.clone();
        }
        state.durable_names = names.clone();
        state.names = names;
        state.capacity_bytes = None;
        state.syncs_before_fault = None;
    }

    /// Flips the bits of `mask` in one byte of a file.
    pub fn flip_bits(&self, name: &str, offset: usize, mask: u8) {
        let mut state = self.state();
        if let Some(inode) = state.inode_of(name) {
            inode.content[offset] ^= mask;
            inode.durable = inode.content.clone();
        }
    }

    /// Returns the size of a file in bytes.
    pub fn size_bytes(&self, name: &str) -> usize {
        let mut state = self.state();
        state.inode_of(name).map_or(0, |inode| inode.content.len())
    }
}

/// Returns the content of a file after a crash.
fn content_after_crash(inode: &Inode, rng: &mut dyn rng::Rng) -> Vec<u8> {
    let (old, new) = (&inode.durable, &inode.content);
    let (short, long) = (old.len().min(new.len()), old.len().max(new.len()));
    let len = short + rng.below((long - short) as u64 + 1) as usize;
    let mut content = vec![0; len];
    for start in (0..len).step_by(SECTOR_BYTES) {
        let end = (start + SECTOR_BYTES).min(len);
        let source = if rng.below(2) == 0 { old } else { new };
        let copied_end = end.min(source.len()).max(start);
        if start < copied_end {
            content[start..copied_end].copy_from_slice(&source[start..copied_end]);
        }
    }
    content
}

impl State {
    /// Returns the size of all files after a write to one of them, in bytes.
    fn size_after_write(&self, inode: u64, end: usize) -> usize {
        let used: usize = self.inodes.values().map(|i| i.content.len()).sum();
        let size = self.inodes.get(&inode).map_or(0, |i| i.content.len());
        used + end.saturating_sub(size)
    }

    fn inode_of(&mut self, name: &str) -> Option<&mut Inode> {
        let inode = self.names.get(name)?;
        self.inodes.get_mut(inode)
    }

    fn count_sync(&mut self) -> io::Result<()> {
        self.sync_count += 1;
        match &mut self.syncs_before_fault {
            Some(0) => Err(io::Error::other("injected sync failure")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

fn not_found(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, format!("no file {name}"))
}

impl disk::Disk for FakeDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        let inode = state.inode_of(name).ok_or_else(|| not_found(name))?;
        Ok(inode.content.clone())
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn disk::DiskFile>> {
        let mut state = self.state();
        let inode = match state.names.get(name) {
            Some(inode) => *inode,
            None => {
                state.next_inode += 1;
                let inode = state.next_inode;
                state.inodes.insert(inode, Inode::default());
                state.names.insert(name.to_owned(), inode);
                inode
            }
        };
        Ok(Box::new(FakeFile {
            disk: self.clone(),
            inode,
        }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let inode = state.names.remove(from).ok_or_else(|| not_found(from))?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let removed = self.state().names.remove(name);
        removed.map(drop).ok_or_else(|| not_found(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.responsive_state();
        state.count_sync()?;
        state.durable_names = state.names.clone();
        Ok(())
    }
}

impl disk::DataFolder for FakeDisk {
    /// Opens this disk as the folder of the process's only replica.
    fn open(&self, _group: &str) -> io::Result<Box<dyn disk::Disk>> {
        Ok(Box::new(self.clone()))
    }
}

#[derive(Debug)]
struct FakeFile {
    disk: FakeDisk,
    inode: u64,
}

impl disk::DiskFile for FakeFile {
    fn write_at(&mut self, offset: u64, buf: &[u8]) -> io::Result<()> {
        let end = offset as usize + buf.len();
        let mut state = self.disk.state();
        let size = state.size_after_write(self.inode, end);
        if state.stall_beyond_bytes.is_some_and(|limit| size > limit) {
            state.stall_beyond_bytes = None;
            state.is_stalled = true;
        }
        drop(state);
        let mut state = self.disk.responsive_state();
        let capacity = state.capacity_bytes.unwrap_or(usize::MAX);
        if state.size_after_write(self.inode, end) > capacity {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let inode = state.inodes.entry(self.inode).or_default();
        if inode.content.len() < end {
            inode.content.resize(end, 0);
        }
        inode.content[offset as usize..end].copy_from_slice(buf);
        Ok(())
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        let inode = state.inodes.entry(self.inode).or_default();
        inode.content.resize(len as usize, 0);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.responsive_state();
        state.count_sync()?;
        let inode = state.inodes.entry(self.inode).or_default();
        inode.durable = inode.content.clone();
        Ok(())
    }
}
