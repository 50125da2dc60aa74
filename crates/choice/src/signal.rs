//! What an entry process knows of a server's load.

use std::sync::atomic;

/// Load signal of one server, shared by every view that lists the server.
#[derive(Debug, Default)]
pub struct Signal {
    in_flight: atomic::AtomicU32,
}

impl Signal {
    /// Creates the signal of a server that nothing is known of.
    pub fn new() -> Signal {
        Signal::default()
    }

    /// Returns the requests of this entry process that are at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request that is sent.
    pub fn begin(&self) {
        self.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts the end of a request.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
