//! Monotonic clock and wall clock of the system.

use nutmegdale_base::clock;
use std::time;

/// Monotonic clock that starts at zero when it is created.
///
/// Unlike [`time::Instant`], it keeps running while the VM is suspended, so that a lease or a
/// deadline also expires during a suspension.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: time::Duration,
}

fn since_boot() -> time::Duration {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    now.expect("the system has a boot-time clock").into()
}

impl SystemClock {
    /// Creates a clock that starts at zero now.
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

/// Returns the wall-clock time in milliseconds since the Unix epoch, only for records that people
/// read and for the ages of facts that outlive a process.
pub fn wall_ms() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a random identifier of this process start; two starts get different ones with
/// overwhelming probability.
pub fn boot_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // `RandomState` is seeded from the system's random source.
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(wall_ms());
    hasher.write_u32(std::process::id());
    hasher.finish()
}
