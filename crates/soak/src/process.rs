//! Runs the programs under test as child processes.
//!
//! Only child processes that were started here are signalled, by their process ids.

use crate::wire;
use nix::sys::signal;
use nix::unistd;
use std::fs;
use std::io;
use std::io::Write;
use std::path;
use std::process;
use std::sync;

/// Child process that can be started again after it has ended; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Description of the program.
    pub program: wire::Program,
    binary: path::PathBuf,
    folder: path::PathBuf,
    child: Option<process::Child>,
}

impl Process {
    /// Creates a process without starting it; its settings file and its log are written to
    /// `folder`.
    pub fn new(program: wire::Program, binary: &path::Path, folder: &path::Path) -> Process {
        Process {
            program,
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Starts the program unless it is running.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn start(&mut self, wire: &dyn wire::Wire) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let (args, variable, text) = wire.launch(&self.program);
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

    /// Returns the process id of the last start, or `None` if the process was killed.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Returns whether the program is running.
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
            // The process may have ended since the check.
            let _ = signal::kill(unistd::Pid::from_raw(pid), signal);
        }
    }

    /// Requests a graceful stop.
    pub fn stop(&mut self) {
        self.signal(signal::Signal::SIGTERM);
    }

    /// Pauses or resumes the program.
    pub fn set_paused(&mut self, is_paused: bool) {
        self.signal(match is_paused {
            true => signal::Signal::SIGSTOP,
            false => signal::Signal::SIGCONT,
        });
    }

    /// Kills the program without a graceful stop.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if it has ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Removes the durable state; the program must not be running.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn wipe_data(&mut self) -> io::Result<()> {
        self.program.is_first_start = false;
        fs::remove_dir_all(&self.program.data)
    }

    /// Appends garbage to the newest log file, as a write that was never synced leaves it; the
    /// program must not be running.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn append_torn_write(&self) -> io::Result<()> {
        let Some(newest) = newest_log(&self.program.data)? else {
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

/// Returns the log file below `folder` with the latest modification time.
fn newest_log(folder: &path::Path) -> io::Result<Option<path::PathBuf>> {
    let mut latest: Option<(std::time::SystemTime, path::PathBuf)> = None;
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
            let modified_at = meta.modified()?;
            if is_log
                && latest
                    .as_ref()
                    .is_none_or(|(latest_at, _)| modified_at > *latest_at)
            {
                latest = Some((modified_at, entry.path()));
            }
        }
    }
    Ok(latest.map(|(_, path)| path))
}

/// Process that the concurrent steps of a scenario share.
pub type SharedProcess = sync::Arc<sync::Mutex<Process>>;

/// Locks a shared process.
pub fn lock(process: &SharedProcess) -> sync::MutexGuard<'_, Process> {
    process.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
