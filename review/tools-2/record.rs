//! Record of what was sent, answered and run.

use std::fs;
use std::io;
use std::io::Write;
use std::sync;
use std::time;

/// Record file; each line begins with the seconds since its creation.
pub struct Record {
    file: sync::Mutex<fs::File>,
    start: time::Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record {
            file: sync::Mutex::new(fs::File::create(path)?),
            start: time::Instant::now(),
        })
    }

    /// Returns the time since the creation of the file.
    pub fn elapsed(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Writes a line to the file and to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("no panic while the file is locked");
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}
