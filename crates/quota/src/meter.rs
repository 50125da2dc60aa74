//! Rates of events.

use nutmegdale_base::clock;

/// Exponential moving average of a rate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    per_s: f64,
    at: clock::Millis,
}

impl Rate {
    /// Returns the rate at `now`, averaged over about `memory_s` seconds.
    pub(crate) fn get(&self, now: clock::Millis, memory_s: f64) -> f64 {
        self.per_s * (-seconds(now.since(self.at)) / memory_s).exp()
    }

    /// Records events.
    pub(crate) fn add(&mut self, now: clock::Millis, count: u32, memory_s: f64) {
        self.per_s = self.get(now, memory_s) + f64::from(count) / memory_s;
        self.at = now;
    }
}

/// Number of events within the last half second, at a resolution of a quarter of a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Recent {
    slot: u64,
    counts: [u32; 2],
}

const SLOT_MS: u64 = 250;

impl Recent {
    pub(crate) fn add(&mut self, now: clock::Millis, count: u32) {
        self.advance(now);
        self.counts[0] += count;
    }

    pub(crate) fn count(&mut self, now: clock::Millis) -> u32 {
        self.advance(now);
        self.counts[0] + self.counts[1]
    }

    fn advance(&mut self, now: clock::Millis) {
        let slot = now.0 / SLOT_MS;
        if slot == self.slot {
            return;
        }
        let is_next = slot == self.slot + 1;
        self.counts = [0, if is_next { self.counts[0] } else { 0 }];
        self.slot = slot;
    }
}

/// Returns a span in seconds.
pub(crate) fn seconds(span: clock::Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

/// Returns a number of seconds as a span, rounded up.
pub(crate) fn span(seconds: f64) -> clock::Millis {
    clock::Millis((seconds * 1_000.0).ceil().clamp(0.0, 1e12) as u64)
}
