//! One entry process of a replay: what it knows, and the decision code that it runs.

use crate::plan;
use crate::trace;
use nutmegdale_admission::{bulk, hedge, retry};
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::{class, clock, entity, rng};
use nutmegdale_choice::{policy, signal};
use nutmegdale_grants::{holder, lease, message};
use std::sync;

/// State of a server in an entry process's directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Known {
    /// Gets its full share.
    Warm,
    /// Gets requests under a grant only.
    Cold,
    /// Gets none.
    Out,
}

/// Entry process.
#[derive(Debug)]
pub struct Entry {
    /// Number of its zone.
    pub zone: usize,
    /// Retries and hedges.
    pub budget: retry::RetryBudget,
    /// Wait before a hedge.
    pub delay: hedge::HedgeDelay,
    /// Bound of bulk requests.
    pub bulk: bulk::BulkSlots,
    /// Load signal of each server.
    pub signals: Vec<sync::Arc<signal::Signal>>,
    /// Grant of each server.
    pub leases: Vec<sync::Arc<lease::Lease>>,
    /// Grants.
    pub holder: holder::Holder,
    /// What the sync under way asks for, and when it was sent.
    pub asked: (clock::Millis, message::GrantRequest),
    known: Vec<Known>,
    distances: Vec<u8>,
    cold_slots: u32,
    slots: u32,
    candidates: Vec<policy::Candidate>,
    policy: Box<dyn policy::Policy>,
    cx: policy::Context,
}

/// Returns the distance between two zones, as [`policy::Candidate`] has it.
pub fn distance(trace: &trace::Trace, from: usize, to: usize) -> u8 {
    if from == to {
        0
    } else if trace.zones[from].1 == trace.zones[to].1 {
        1
    } else {
        policy::DISTANCE_OTHER_REGION
    }
}

/// Returns the name of a server.
pub fn server_name(server: usize) -> String {
    format!("s{server}")
}

impl Entry {
    /// Creates a process that knows every server as warm.
    pub fn new(trace: &trace::Trace, plan: &plan::Plan, zone: usize, seed: u64) -> Entry {
        let limits = trace.servers.expect("a parsed trace has servers");
        let zones = (0..limits.count).map(|server| server % trace.zones.len());
        let bulk = bulk::BulkSlots::new();
        let slots = limits.count as u64 * u64::from(limits.slots);
        bulk.set_limit(slots, true, trace.entries_count);
        let mut holder = holder::Holder::new();
        let leases = (0..limits.count).map(|server| holder.lease(&server_name(server)));
        let mut entry = Entry {
            zone,
            budget: retry::RetryBudget::new(),
            delay: hedge::HedgeDelay::new(),
            bulk,
            signals: (0..limits.count).map(|_| sync::Arc::default()).collect(),
            leases: leases.collect(),
            holder,
            asked: (clock::Millis::ZERO, message::GrantRequest::default()),
            known: vec![Known::Warm; limits.count],
            distances: zones.map(|to| distance(trace, zone, to)).collect(),
            cold_slots: limits.cold_slots,
            slots: limits.slots,
            candidates: Vec::new(),
            policy: plan.policy(),
            cx: policy::Context {
                rng: Box::new(rng::SplitMix64::new(seed)),
            },
        };
        entry.rebuild();
        entry
    }

    /// Returns the distance of a server.
    pub fn distance(&self, server: usize) -> u8 {
        self.distances[server]
    }

    /// Takes a change of the directory.
    pub fn learn(&mut self, now: clock::Millis, server: usize, known: Known) {
        if self.known[server] == Known::Cold && known == Known::Warm {
            self.signals[server].set_warm_since(now);
        }
        self.signals[server].clear_reported_state();
        self.known[server] = known;
        self.rebuild();
    }

    fn rebuild(&mut self) {
        let listed = (0..self.known.len()).filter(|n| self.known[*n] != Known::Out);
        let candidate = |n: usize| policy::Candidate {
            server: entity::Server::new(n),
            region: entity::Region::new(0),
            distance: self.distances[n],
            slots: self.slots,
            is_cold: self.known[n] == Known::Cold,
            signal: sync::Arc::clone(&self.signals[n]),
        };
        let mut candidates: Vec<_> = listed.map(candidate).collect();
        candidates.sort_by_key(|c| c.distance);
        self.candidates = candidates;
    }

    /// Returns cold servers of the region, which this process may warm.
    pub fn cold_servers(&self) -> Vec<String> {
        let is_cold = |n: &usize| {
            self.known[*n] == Known::Cold && self.distances[*n] < policy::DISTANCE_OTHER_REGION
        };
        let cold = (0..self.known.len()).filter(is_cold);
        cold.map(server_name).collect()
    }

    /// Chooses a server: a cold one under a grant for a first read, else by the policy.
    ///
    /// The flag says that the request counts under the lease of the server.
    pub fn choose(
        &mut self,
        now: clock::Millis,
        class: class::Class,
        tried: &[entity::Server],
    ) -> Option<(usize, bool)> {
        if class.is_idempotent() && tried.is_empty() {
            for server in 0..self.known.len() {
                let is_free = self.known[server] == Known::Cold
                    && self.signals[server].in_flight() < self.cold_slots
                    && self.leases[server].begin(now, self.cold_slots);
                if is_free {
                    return Some((server, true));
                }
            }
        }
        let req = policy::RequestView {
            class,
            now,
            tried,
            regions_mask: u64::MAX,
        };
        let server = self.policy.choose(&mut self.cx, &self.candidates, req)?;
        Some((server.index(), false))
    }
}
