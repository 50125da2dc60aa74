//! Demand that an entry process reports to the leader in its syncs, and the grants and shares in
//! the replies: leases of cold servers, states from load reports, and shares of rate limits.

use crate::snapshot;
use nutmegdale_admission::{limit, shares};
use nutmegdale_base::clock;
use nutmegdale_catalogue::spec;
use nutmegdale_grants::{holder, message};
use nutmegdale_membership::{announcement, hub};
use nutmegdale_routing::view;
use std::collections;
use std::sync;
use std::sync::atomic::Ordering::Relaxed;

/// Time after the last request for a service during which grants of its cold servers are requested,
/// in milliseconds.
const DEMAND_WINDOW_MS: u64 = 5_000;

/// Part of a sync request that reports demand.
#[derive(Debug, Clone, Default)]
pub struct SyncDemand {
    /// Server states from load reports that the directory does not show yet.
    pub reported_states: Vec<hub::ReportedState>,
    /// Grants requested and released.
    pub grants: message::GrantRequest,
    /// Request rates at routes and accounts with limits.
    pub demands: Vec<shares::Demand>,
}

/// Request counter of a service or a limiter at the latest sync.
#[derive(Debug, Default, Clone, Copy)]
struct Sample {
    count: u64,
    updated_at: clock::Millis,
    had_demand: bool,
}

/// Tracks the demand of one entry process between syncs.
#[derive(Debug, Default)]
pub struct DemandTracker {
    /// Grants that this process holds.
    pub holder: holder::Holder,
    services: collections::HashMap<String, Sample>,
    limits: collections::HashMap<String, Sample>,
    shares: collections::HashMap<String, u32>,
}

impl DemandTracker {
    /// Creates a tracker without demand.
    pub fn new() -> DemandTracker {
        DemandTracker::default()
    }

    /// Collects the demand for the next sync.
    pub fn collect(&mut self, now: clock::Millis, snapshot: &snapshot::Snapshot) -> SyncDemand {
        let in_demand = self.cold_servers_in_demand(now, snapshot);
        SyncDemand {
            reported_states: reported_states(now, snapshot),
            grants: self.holder.request(in_demand.into_iter()),
            demands: self.demands(now, snapshot),
        }
    }

    /// Returns the cold servers of services with recent requests.
    ///
    /// Servers of another region are left to the entry processes there, unless there are none.
    fn cold_servers_in_demand<'a>(
        &mut self,
        now: clock::Millis,
        snapshot: &'a snapshot::Snapshot,
    ) -> Vec<&'a str> {
        let view = &snapshot.view;
        let mut in_demand = Vec::new();
        for (key, service) in view.services.iter() {
            let count = snapshot.services[key].requests_count.load(Relaxed);
            let sample = self.services.entry(service.name.clone()).or_default();
            if count != sample.count {
                (sample.count, sample.updated_at) = (count, now);
            }
            if count == 0 || now.since(sample.updated_at).0 >= DEMAND_WINDOW_MS {
                continue;
            }
            let cold = snapshot.cold_servers[key]
                .iter()
                .map(|server| &view.servers[*server]);
            let is_responsible = |server: &&view::ServerView| {
                let has_entry = |entry: &view::EntryView| entry.region == server.region;
                Some(server.region) == view.local_region || !view.entries.values().any(has_entry)
            };
            in_demand.extend(
                cold.filter(is_responsible)
                    .map(|server| server.name.as_str()),
            );
        }
        in_demand
    }

    fn demands(
        &mut self,
        now: clock::Millis,
        snapshot: &snapshot::Snapshot,
    ) -> Vec<shares::Demand> {
        let mut demands = Vec::new();
        let mut add = |name: String, limits: &spec::Limits, limiter: &limit::Limiter| {
            if has_shared_limit(limits) {
                let sample = self.limits.entry(name.clone()).or_default();
                demands.extend(demand(now, name, sample, limiter.offered_count()));
            }
        };
        for_each_limit(snapshot, &mut add);
        demands
    }

    /// Applies the reply to the sync that was sent at `sent_at` with `request`.
    pub fn apply_reply(
        &mut self,
        sent_at: clock::Millis,
        request: &message::GrantRequest,
        granted: &[message::Grant],
        new_shares: Vec<shares::Share>,
        snapshot: &snapshot::Snapshot,
    ) {
        self.holder.apply_answer(sent_at, request, granted);
        self.shares = new_shares.into_iter().map(|s| (s.limit, s.milli)).collect();
        let even = shares::even_share(snapshot.view.entries.len());
        let mut set = |name: String, limits: &spec::Limits, limiter: &limit::Limiter| {
            if has_shared_limit(limits) {
                limiter.set_share(self.shares.get(&name).copied().unwrap_or(even));
            }
        };
        for_each_limit(snapshot, &mut set);
    }
}

fn has_shared_limit(limits: &spec::Limits) -> bool {
    limits.requests_per_second.is_some()
        || limits.concurrency.is_some()
        || limits.bytes_per_second.is_some()
}

fn for_each_limit(
    snapshot: &snapshot::Snapshot,
    f: &mut impl FnMut(String, &spec::Limits, &limit::Limiter),
) {
    for (key, route) in snapshot.view.routes.iter() {
        let limiter: &sync::Arc<limit::Limiter> = &snapshot.route_limits[key];
        f(snapshot::route_limit_name(route), &route.limits, limiter);
    }
    for (key, account) in snapshot.view.accounts.iter() {
        let limiter = &snapshot.account_limits[key];
        f(
            snapshot::account_limit_name(account),
            &account.limits,
            limiter,
        );
    }
}

/// Returns the demand since the previous sample, including a final zero after it ended.
fn demand(
    now: clock::Millis,
    limit: String,
    sample: &mut Sample,
    count: u64,
) -> Option<shares::Demand> {
    let elapsed_ms = now.since(sample.updated_at).0.max(1);
    let requests = count.saturating_sub(sample.count);
    let per_sec = (requests * 1_000).div_ceil(elapsed_ms);
    let per_sec = u32::try_from(per_sec).unwrap_or(u32::MAX);
    let had_demand = sample.had_demand;
    *sample = Sample {
        count,
        updated_at: now,
        had_demand: per_sec > 0,
    };
    (per_sec > 0 || had_demand).then_some(shares::Demand { limit, per_sec })
}

/// Returns the server states from load reports that the directory does not show.
fn reported_states(now: clock::Millis, snapshot: &snapshot::Snapshot) -> Vec<hub::ReportedState> {
    let mut reported = Vec::new();
    for (key, server) in snapshot.view.servers.iter() {
        let state = &snapshot.servers[key];
        let is_cold = match server.state {
            announcement::ServerState::Warm if state.signal.is_reported_cold() => true,
            announcement::ServerState::Cold
                if state.signal.is_reported_warm() && state.lease.is_valid(now) =>
            {
                false
            }
            _ => continue,
        };
        reported.push(hub::ReportedState {
            server: server.name.clone(),
            incarnation: server.incarnation,
            is_cold,
        });
    }
    reported
}
