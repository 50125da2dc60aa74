//! File operations used by the store, all in one folder.

use std::fs;
use std::io;
use std::os::unix::fs::FileExt;
use std::path;

/// File opened for writing.
pub trait DiskFile: Send {
    /// Writes all of `buf` at `offset`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; part of `buf` may have been written.
    fn write_at(&mut self, offset: u64, buf: &[u8]) -> io::Result<()>;

    /// Cuts the file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, len: u64) -> io::Result<()>;

    /// Flushes the content to stable storage.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. The caller must treat it as final, because the
    /// written content may be lost even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
}

/// Folder that holds the files of one replica.
pub trait Disk: Send {
    /// Returns the names of all files in the folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Opens a file for writing and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file over another one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_folder(&self) -> io::Result<()>;
}

/// Data of a process, with one folder per replica.
pub trait DataFolder: Send + Sync {
    /// Opens the folder of the replica of the group `group`.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created or is in use.
    fn open(&self, group: &str) -> io::Result<Box<dyn Disk>>;
}

/// Data folder in the file system.
#[derive(Debug, Clone)]
pub struct FolderData {
    data: path::PathBuf,
}

impl FolderData {
    /// Creates the interface to the data folder `data`; nothing is opened yet.
    pub fn new(data: &path::Path) -> FolderData {
        FolderData {
            data: data.to_owned(),
        }
    }
}

impl DataFolder for FolderData {
    fn open(&self, group: &str) -> io::Result<Box<dyn Disk>> {
        Ok(Box::new(FolderDisk::open(&self.data.join(group))?))
    }
}

/// File that a process locks to keep other processes from using the folder.
const LOCK_FILE_NAME: &str = "lock";

/// Folder in the file system, locked against use by other processes.
#[derive(Debug)]
pub struct FolderDisk {
    folder: path::PathBuf,
    _lock: fs::File,
}

impl FolderDisk {
    /// Opens a folder and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created or another process has locked it.
    pub fn open(folder: &path::Path) -> io::Result<FolderDisk> {
        create_folder(folder)?;
        let lock = fs::File::create(folder.join(LOCK_FILE_NAME))?;
        lock.try_lock().map_err(|err| {
            let text = format!("folder {} is in use: {err}", folder.display());
            io::Error::new(io::ErrorKind::WouldBlock, text)
        })?;
        Ok(FolderDisk {
            folder: folder.to_owned(),
            _lock: lock,
        })
    }
}

/// Creates a folder and its missing parents, and syncs the parent of each created folder.
fn create_folder(folder: &path::Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let parent = folder.parent().filter(|p| !p.as_os_str().is_empty());
    if let Some(parent) = parent {
        create_folder(parent)?;
    }
    match fs::create_dir(folder) {
        Err(err) if err.kind() != io::ErrorKind::AlreadyExists => return Err(err),
        _ => {}
    }
    fs::File::open(parent.unwrap_or(path::Path::new(".")))?.sync_all()
}

impl Disk for FolderDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if entry.file_type()?.is_file() && name != LOCK_FILE_NAME {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let mut options = fs::OpenOptions::new();
        let options = options.write(true).create(true).truncate(false);
        let file = options.open(self.folder.join(name))?;
        Ok(Box::new(FolderFile { file }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        fs::File::open(&self.folder)?.sync_all()
    }
}

#[derive(Debug)]
struct FolderFile {
    file: fs::File,
}

impl DiskFile for FolderFile {
    fn write_at(&mut self, offset: u64, buf: &[u8]) -> io::Result<()> {
        self.file.write_all_at(buf, offset)
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
