//! Simulated entry process: its view of the servers and the decision code that it runs.

use crate::plan;
use crate::trace;
use nutmegdale_admission::{bulk, hedge, retry};
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::{class, clock, entity, rng};
use nutmegdale_choice::{policy, signal};
use nutmegdale_grants::{holder, lease, message};
use std::sync;

/// State of a server in the directory of an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// The server gets its full share of requests.
    Warm,
    /// The server gets requests only under a grant.
    Cold,
    /// The server gets no requests.
    Out,
}

/// Simulated entry process.
#[derive(Debug)]
pub struct Entry {
    /// Index of its zone in the trace.
    pub zone: usize,
    /// Budget of retries and hedged requests.
    pub budget: retry::RetryBudget,
    /// Delay before a hedged request.
    pub delay: hedge::HedgeDelay,
    /// Concurrency limit of bulk requests.
    pub bulk: bulk::BulkSlots,
    /// Load signal of each server, by server index.
    pub signals: Vec<sync::Arc<signal::Signal>>,
    /// Lease of each cold server's grant, by server index.
    pub leases: Vec<sync::Arc<lease::Lease>>,
    /// Requests and keeps the grants for cold servers.
    pub holder: holder::Holder,
    /// Time and content of the last sync request.
    pub last_sync: (clock::Millis, message::GrantRequest),
    states: Vec<ServerState>,
    distances: Vec<u8>,
    cold_slots: u32,
    slots: u32,
    candidates: Vec<policy::Candidate>,
    policy: Box<dyn policy::Policy>,
    cx: policy::Context,
}

/// Returns the distance between two zones, as used in [`policy::Candidate`].
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
    /// Creates an entry process whose directory lists every server as warm.
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
            last_sync: (clock::Millis::ZERO, message::GrantRequest::default()),
            states: vec![ServerState::Warm; limits.count],
            distances: zones.map(|to| distance(trace, zone, to)).collect(),
            cold_slots: limits.cold_slots,
            slots: limits.slots,
            candidates: Vec::new(),
            policy: plan.policy(),
            cx: policy::Context {
                rng: Box::new(rng::SplitMix64::new(seed)),
            },
        };
        entry.rebuild_candidates();
        entry
    }

    /// Returns the distance of a server.
    pub fn distance(&self, server: usize) -> u8 {
        self.distances[server]
    }

    /// Applies a state change of a server to the directory.
    pub fn update_server(&mut self, now: clock::Millis, server: usize, state: ServerState) {
        if self.states[server] == ServerState::Cold && state == ServerState::Warm {
            self.signals[server].set_warm_since(now);
        }
        self.signals[server].clear_reported_state();
        self.states[server] = state;
        self.rebuild_candidates();
    }

    fn rebuild_candidates(&mut self) {
        let listed = (0..self.states.len()).filter(|n| self.states[*n] != ServerState::Out);
        let candidate = |n: usize| policy::Candidate {
            server: entity::Server::new(n),
            region: entity::Region::new(0),
            distance: self.distances[n],
            slots: self.slots,
            is_cold: self.states[n] == ServerState::Cold,
            signal: sync::Arc::clone(&self.signals[n]),
        };
        let mut candidates: Vec<_> = listed.map(candidate).collect();
        candidates.sort_by_key(|c| c.distance);
        self.candidates = candidates;
    }

    /// Returns the names of the cold servers in the local region, which this process may warm up.
    pub fn cold_servers(&self) -> Vec<String> {
        let is_cold = |n: &usize| {
            self.states[*n] == ServerState::Cold
                && self.distances[*n] < policy::DISTANCE_OTHER_REGION
        };
        let cold = (0..self.states.len()).filter(is_cold);
        cold.map(server_name).collect()
    }

    /// Chooses a server: for the first send of a read a cold server with a free grant, otherwise by
    /// the policy.
    ///
    /// The flag tells whether the request counts against the lease of a cold server.
    pub fn choose(
        &mut self,
        now: clock::Millis,
        class: class::Class,
        tried: &[entity::Server],
    ) -> Option<(usize, bool)> {
        if class.is_idempotent() && tried.is_empty() {
            for server in 0..self.states.len() {
                let is_free = self.states[server] == ServerState::Cold
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
