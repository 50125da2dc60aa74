//! Bounds of a deployment on roll-outs.

use nutmegdale_base::clock;

/// Bounds on the requests that a version gets before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Largest share of a service's requests, over the time of the roll-out and all processes.
    pub share: f64,
    /// Requests allowed on top of the share.
    pub slack: f64,
    /// Time after the 50th bad response after which a bad version gets no further request.
    pub rollback: clock::Millis,
}
