//! Programs under test as processes of their own.
//!
//! Only processes that were started here are signalled, by their ids.

use crate::wire;
use nix::sys::signal;
use nix::unistd;
use std::fs;
use std::io;
use std::io::Write;
use std::path;
use std::process;
use std::sync;

/// Program that runs or has ended; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// What it is.
    pub program: wire::Program,
    binary: path::PathBuf,
    folder: path::PathBuf,
    child: Option<process::Child>,
}

impl Process {
    /// Prepares a program; it does not run yet. Its settings and logs go to `folder`.
    pub fn new(program: wire::Program, binary: &path::Path, folder: &path::Path) -> Process {
        Process {
            program,
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Starts the program, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn start(&mut self, wire: &dyn wire::Wire) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let (args, variable, text) = wire.start(&self.program);
        let name = &self.program.name;
        let settings = self.folder.join(format!("{name}.settings"));
        fs::write(&settings, text)?;
        fs::create_dir_all(&self.program.data)?;
        let path = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(path)?;
        let mut command = process::Command::new(&self.binary);
        command.args(args).env(variable, settings);
        command.stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns the process id of the last start, unless it was killed.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Returns whether the program runs.
    pub fn is_running(&mut self) -> bool {
        let running = |child: &mut process::Child| matches!(child.try_wait(), Ok(None));
        self.child.as_mut().is_some_and(running)
    }

    fn signal(&mut self, signal: signal::Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child
            && let Ok(pid) = i32::try_from(child.id())
        {
            // It may have ended in this moment.
            let _ = signal::kill(unistd::Pid::from_raw(pid), signal);
        }
    }

    /// Asks the program to end.
    pub fn stop(&mut self) {
        self.signal(signal::Signal::SIGTERM);
    }

    /// Pauses the program or lets it go on.
    pub fn pause(&mut self, is_paused: bool) {
        self.signal(match is_paused {
            true => signal::Signal::SIGSTOP,
            false => signal::Signal::SIGCONT,
        });
    }

    /// Kills the program at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if it has ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Removes the durable state of a program that does not run.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn wipe(&mut self) -> io::Result<()> {
        self.program.is_first_start = false;
        fs::remove_dir_all(&self.program.data)
    }

    /// Appends bytes to the newest file of a program that does not run, as a write that was never
    /// synced leaves them.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn tear(&self) -> io::Result<()> {
        let Some(newest) = newest(&self.program.data)? else {
            return Ok(());
        };
        let mut file = fs::OpenOptions::new().append(true).open(newest)?;
        file.write_all(&[0x5a; 37])
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the log file below `folder` that was written last.
fn newest(folder: &path::Path) -> io::Result<Option<path::PathBuf>> {
    let mut found: Option<(std::time::SystemTime, path::PathBuf)> = None;
    let mut folders = vec![folder.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            let meta = entry.metadata()?;
            if meta.is_dir() {
                folders.push(entry.path());
                continue;
            }
            let is_log = entry.file_name().to_string_lossy().starts_with("log-");
            let at = meta.modified()?;
            if is_log && found.as_ref().is_none_or(|(newest, _)| at > *newest) {
                found = Some((at, entry.path()));
            }
        }
    }
    Ok(found.map(|(_, path)| path))
}

/// Process that is shared by the steps of a scene.
pub type Shared = sync::Arc<sync::Mutex<Process>>;

/// Locks a shared process.
pub fn lock(process: &Shared) -> sync::MutexGuard<'_, Process> {
    process.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
