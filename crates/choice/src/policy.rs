//! Border between the path of a request and the ways of choosing a server.

use crate::signal;
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::{class, clock, entity, rng};
use std::fmt;
use std::sync;

/// Distance of a candidate in another region.
pub const DISTANCE_OTHER_REGION: u8 = 2;

/// Server that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Index in the view.
    pub server: entity::Server,
    /// Region of the server.
    pub region: entity::Region,
    /// Cost of the distance: 0 for the same zone, 1 for the same region, 2 for another region.
    pub distance: u8,
    /// Requests that the server works on at once.
    pub slots: u32,
    /// Whether the server is in cold start.
    pub is_cold: bool,
    /// Load signal.
    pub signal: sync::Arc<signal::Signal>,
}

/// What a policy may know of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestView<'a> {
    /// Class that the request is served as.
    pub class: class::Class,
    /// Time of the choice.
    pub now: clock::Millis,
    /// Servers that an earlier try of the request used.
    pub tried: &'a [entity::Server],
    /// Regions that the request may be in, as a bit mask by index.
    pub regions_mask: u64,
}

impl RequestView<'_> {
    /// Returns whether a candidate may get the request at all; every policy asks.
    ///
    /// Cold servers are refused, since only the holder of a grant may send to them.
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

/// State that a choice needs besides its inputs; one per thread, reused.
pub struct Context {
    /// Random source.
    pub rng: Box<dyn rng::Rng>,
}

impl Context {
    /// Returns a random usable candidate other than `except`.
    ///
    /// The expected cost does not depend on the number of candidates while most are usable.
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

/// Way of choosing a server.
pub trait Policy: Send + Sync + fmt::Debug {
    /// Chooses a server, or none if no candidate may get the request now.
    ///
    /// `candidates` are ordered by distance.
    fn choose(
        &self,
        cx: &mut Context,
        candidates: &[Candidate],
        req: RequestView<'_>,
    ) -> Option<entity::Server>;
}
