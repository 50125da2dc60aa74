//! The machine's clocks.

use nutmegdale_base::clock;
use std::time;

/// Monotonic clock that starts at zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: time::Instant,
}

impl SystemClock {
    /// Starts a clock.
    pub fn start() -> SystemClock {
        SystemClock {
            start: time::Instant::now(),
        }
    }
}

impl clock::Clock for SystemClock {
    fn now(&self) -> clock::Millis {
        let elapsed = self.start.elapsed().as_millis();
        clock::Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch, for records that people read.
pub fn wall_ms() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a number that differs between two starts of a process with overwhelming probability.
pub fn boot_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // The standard library seeds this hasher from the system's random source.
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(wall_ms());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
