//! The machine's clocks.

use nutmegdale_base::clock;
use std::time;

/// Monotonic clock that starts at zero when it is created.
///
/// It goes on while the VM is suspended, unlike [`time::Instant`], so that a lease or a deadline
/// that passed during a suspension has passed.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: time::Duration,
}

fn since_boot() -> time::Duration {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    now.expect("the system has a boot-time clock").into()
}

impl SystemClock {
    /// Starts a clock.
    pub fn start() -> SystemClock {
        SystemClock {
            start: since_boot(),
        }
    }
}

impl clock::Clock for SystemClock {
    fn now(&self) -> clock::Millis {
        let elapsed = since_boot().saturating_sub(self.start).as_millis();
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
