//! Interface between the request path and the policies that select a server.

use crate::signal;
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::{class, clock, entity, rng};
use std::fmt;
use std::sync;

/// Value of [`Candidate::distance`] for a server in another region.
pub const DISTANCE_OTHER_REGION: u8 = 2;

/// Server that a policy may select.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Index of the server in the routing view.
    pub server: entity::Server,
    /// Region of the server.
    pub region: entity::Region,
    /// Network distance: 0 for the same zone, 1 for the same region, 2 for another region.
    pub distance: u8,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    /// Whether the server is warming up after a cold start.
    pub is_cold: bool,
    /// Load signal of the server.
    pub signal: sync::Arc<signal::Signal>,
}

/// Properties of a request that policies use.
#[derive(Debug, Clone, Copy)]
pub struct RequestView<'a> {
    /// Class of the request.
    pub class: class::Class,
    /// Time of the selection.
    pub now: clock::Millis,
    /// Servers of earlier attempts of the request.
    pub tried: &'a [entity::Server],
    /// Regions that may serve the request, as a bit mask by region index.
    pub regions_mask: u64,
}

impl RequestView<'_> {
    /// Returns whether a candidate is eligible for the request; every policy must check this.
    ///
    /// Cold servers are not eligible, since only the holder of a grant may send to them.
    pub fn may_use(&self, candidate: &Candidate) -> bool {
        let region = u32::try_from(candidate.region.index()).unwrap_or(u32::MAX);
        let bit = 1_u64.checked_shl(region).unwrap_or(0);
        !candidate.is_cold
            && !candidate.signal.is_reported_cold()
            && !candidate.signal.is_reported_draining(self.now)
            && self.regions_mask & bit != 0
            && !self.tried.contains(&candidate.server)
    }
}

/// Mutable state of a selection; each thread keeps one and reuses it.
pub struct Context {
    /// Random number generator.
    pub rng: Box<dyn rng::Rng>,
}

impl Context {
    /// Returns a random eligible candidate other than `except`.
    ///
    /// The expected time does not depend on the number of candidates while most are eligible.
    pub fn pick<'a>(
        &mut self,
        candidates: &'a [Candidate],
        req: RequestView<'_>,
        except: Option<entity::Server>,
    ) -> Option<&'a Candidate> {
        if candidates.is_empty() {
            return None;
        }
        let start = self.rng.below(candidates.len() as u64) as usize;
        let (before, after) = candidates.split_at(start);
        after
            .iter()
            .chain(before)
            .find(|c| Some(c.server) != except && req.may_use(c))
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// Policy that selects the server of a request.
pub trait Policy: Send + Sync + fmt::Debug {
    /// Selects a server, or none if no candidate is eligible now.
    ///
    /// `candidates` must be ordered by distance.
    fn choose(
        &self,
        cx: &mut Context,
        candidates: &[Candidate],
        req: RequestView<'_>,
    ) -> Option<entity::Server>;
}
