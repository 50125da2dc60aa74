//! Border between the path of a request and the ways of choosing a server.

use crate::signal;
use nutmegdale_base::{class, clock, entity, rng};
use std::fmt;
use std::sync;

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
}

/// State that a choice needs besides its inputs; one per thread, reused.
pub struct Context {
    /// Random source.
    pub rng: Box<dyn rng::Rng>,
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// Way of choosing a server.
pub trait Policy: Send + Sync + fmt::Debug {
    /// Chooses a server, or none if no candidate may get the request now.
    fn choose(
        &self,
        cx: &mut Context,
        candidates: &[Candidate],
        req: RequestView<'_>,
    ) -> Option<entity::Server>;
}
