//! Durable log and snapshots of one replica under one data folder.
//!
//! [`store::Store`] appends records, syncs them in batches and replaces the start of the log by a
//! snapshot. [`document`] keeps small files that are replaced as a whole. [`disk::Disk`] abstracts
//! the file system: [`disk::FolderDisk`] is the real one, and [`fake::FakeDisk`] simulates failed
//! syncs, torn writes, crashes and a full disk. Every record carries its length and a CRC32C that
//! also covers its file and offset, so corruption is detected. Unreadable data after the last synced
//! position is a torn tail and is truncated. The file format is described in
//! [docs/replication.md](../../../docs/replication.md).

pub mod disk;
pub mod document;
pub mod error;
pub mod fake;
mod frame;
mod record;
mod recovery;
mod replace;
mod snapshot;
pub mod store;
mod synced;
