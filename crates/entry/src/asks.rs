//! What an entry process asks of the leader in its syncs, and what it does with the answers:
//! grants of cold servers, states that answers told of, and shares of limits.

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

/// Time after the last request for a service during which its cold servers are asked for.
const WANTED_MS: u64 = 5_000;

/// Part of a sync.
#[derive(Debug, Clone, Default)]
pub struct Asked {
    /// States that answers told of.
    pub heard: Vec<hub::ObservedState>,
    /// Grants wanted and given up.
    pub grants: message::GrantRequest,
    /// Demand for limited routes and accounts.
    pub demands: Vec<shares::Demand>,
}

/// Requests for something, as counted at the last look.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    count: u64,
    at: clock::Millis,
    had_demand: bool,
}

/// State of the asks of one entry process.
#[derive(Debug, Default)]
pub struct Asks {
    /// Grants.
    pub holder: holder::Holder,
    services: collections::HashMap<String, Seen>,
    limits: collections::HashMap<String, Seen>,
    shares: collections::HashMap<String, u32>,
}

impl Asks {
    /// Creates the state of a process that has asked for nothing.
    pub fn new() -> Asks {
        Asks::default()
    }

    /// Collects what the next sync asks for.
    pub fn collect(&mut self, now: clock::Millis, snapshot: &snapshot::Snapshot) -> Asked {
        let wanted = self.wanted(now, snapshot);
        Asked {
            heard: heard(now, snapshot),
            grants: self.holder.request(wanted.into_iter()),
            demands: self.demands(now, snapshot),
        }
    }

    /// Returns the cold servers of services that requests ask for.
    ///
    /// Servers of another region are left to the entry processes there, unless there are none.
    fn wanted<'a>(&mut self, now: clock::Millis, snapshot: &'a snapshot::Snapshot) -> Vec<&'a str> {
        let view = &snapshot.view;
        let mut wanted = Vec::new();
        for (key, service) in view.services.iter() {
            let count = snapshot.services[key].asked_count.load(Relaxed);
            let seen = self.services.entry(service.name.clone()).or_default();
            if count != seen.count {
                (seen.count, seen.at) = (count, now);
            }
            if count == 0 || now.since(seen.at).0 >= WANTED_MS {
                continue;
            }
            let cold = snapshot.cold[key]
                .iter()
                .map(|server| &view.servers[*server]);
            let is_ours = |server: &&view::ServerView| {
                let has_entry = |entry: &view::EntryView| entry.region == server.region;
                Some(server.region) == view.local_region || !view.entries.values().any(has_entry)
            };
            wanted.extend(cold.filter(is_ours).map(|server| server.name.as_str()));
        }
        wanted
    }

    fn demands(
        &mut self,
        now: clock::Millis,
        snapshot: &snapshot::Snapshot,
    ) -> Vec<shares::Demand> {
        let mut demands = Vec::new();
        let mut add = |name: String, limits: &spec::Limits, limiter: &limit::Limiter| {
            if is_shared(limits) {
                let seen = self.limits.entry(name.clone()).or_default();
                demands.extend(demand(now, name, seen, limiter.asked_count()));
            }
        };
        for_each_limit(snapshot, &mut add);
        demands
    }

    /// Takes the answer to a sync.
    pub fn take(
        &mut self,
        sent: clock::Millis,
        asked: &message::GrantRequest,
        granted: &[message::Grant],
        given: Vec<shares::Share>,
        snapshot: &snapshot::Snapshot,
    ) {
        self.holder.apply_answer(sent, asked, granted);
        self.shares = given.into_iter().map(|s| (s.limit, s.milli)).collect();
        let even = shares::even(snapshot.view.entries.len());
        let mut set = |name: String, limits: &spec::Limits, limiter: &limit::Limiter| {
            if is_shared(limits) {
                limiter.set_share(self.shares.get(&name).copied().unwrap_or(even));
            }
        };
        for_each_limit(snapshot, &mut set);
    }
}

fn is_shared(limits: &spec::Limits) -> bool {
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

/// Returns the demand since the last look, or zero once after it ended.
fn demand(
    now: clock::Millis,
    limit: String,
    seen: &mut Seen,
    count: u64,
) -> Option<shares::Demand> {
    let span_ms = now.since(seen.at).0.max(1);
    let asked = count.saturating_sub(seen.count);
    let per_sec = (asked * 1_000).div_ceil(span_ms);
    let per_sec = u32::try_from(per_sec).unwrap_or(u32::MAX);
    let had_demand = seen.had_demand;
    *seen = Seen {
        count,
        at: now,
        had_demand: per_sec > 0,
    };
    (per_sec > 0 || had_demand).then_some(shares::Demand { limit, per_sec })
}

/// Returns the states that answers told of and the directory does not show.
fn heard(now: clock::Millis, snapshot: &snapshot::Snapshot) -> Vec<hub::ObservedState> {
    let mut heard = Vec::new();
    for (key, server) in snapshot.view.servers.iter() {
        let live = &snapshot.live[key];
        let is_cold = match server.state {
            announcement::ServerState::Warm if live.signal.is_heard_cold() => true,
            announcement::ServerState::Cold
                if live.signal.is_heard_warm() && live.lease.is_valid(now) =>
            {
                false
            }
            _ => continue,
        };
        heard.push(hub::ObservedState {
            server: server.name.clone(),
            incarnation: server.incarnation,
            is_cold,
        });
    }
    heard
}
