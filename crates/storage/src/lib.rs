//! Durable log and snapshots of one replica under one data folder.
//!
//! [`store::Store`] appends records, syncs them as one group and replaces the log's beginning by a
//! snapshot. [`disk::Disk`] is the border to the file system; [`disk::FolderDisk`] is the real one
//! and [`fake::FakeDisk`] fails, tears writes, loses unsynced data and fills up on command. Every
//! record carries its length and a CRC32C that also covers its place, so damage is noticed; what
//! follows the last synced place is a torn tail and is truncated. The layout of the files is in
//! [docs/replication.md](../../../docs/replication.md).

pub mod disk;
pub mod error;
pub mod fake;
mod frame;
mod record;
mod recovery;
mod snapshot;
pub mod store;
mod synced;
