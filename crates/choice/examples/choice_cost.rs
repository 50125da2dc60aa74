//! Prints the time of one selection for services of several sizes; it should not depend on the
//! size.

use nutmegdale_base::clock::Millis;
use nutmegdale_base::entity::{EntityRef, Region, Server};
use nutmegdale_base::{class, rng};
use nutmegdale_choice::{baseline, least_cost, p2c, policy, signal};
use std::sync;
use std::time;

const SELECTIONS_COUNT: u32 = 1_000_000;

fn candidates(count: usize) -> Vec<policy::Candidate> {
    let candidate = |n| policy::Candidate {
        server: Server::new(n),
        region: Region::new(n * 3 / count),
        distance: (n * 3 / count) as u8,
        slots: 4,
        is_cold: false,
        signal: sync::Arc::new(signal::Signal::new()),
    };
    (0..count).map(candidate).collect()
}

fn nanos_per_selection(policy: &dyn policy::Policy, count: usize) -> u128 {
    let servers = candidates(count);
    let mut cx = policy::Context {
        rng: Box::new(rng::SplitMix64::new(1)),
    };
    let start = time::Instant::now();
    for n in 0..SELECTIONS_COUNT {
        let req = policy::RequestView {
            class: class::Class::UrgentLookup,
            now: Millis(u64::from(n) / 100),
            tried: &[],
            regions_mask: u64::MAX,
        };
        let server = policy.choose(&mut cx, &servers, req).expect("a server");
        let signal = &servers[server.index()].signal;
        signal.begin();
        signal.record_success(req.now, 5_000);
        signal.end();
    }
    start.elapsed().as_nanos() / u128::from(SELECTIONS_COUNT)
}

fn main() {
    let policies: [(&str, Box<dyn policy::Policy>); 4] = [
        ("random", Box::new(baseline::Random)),
        ("p2c", Box::new(p2c::PowerOfTwo)),
        ("least-in-flight", Box::new(baseline::LeastInFlight)),
        ("least-cost", Box::new(least_cost::LeastCost::default())),
    ];
    println!("| policy | 6 servers | 20 servers | 200 servers |\n|---|---:|---:|---:|");
    for (name, policy) in &policies {
        let cost = |count| nanos_per_selection(policy.as_ref(), count);
        println!(
            "| {name} | {} ns | {} ns | {} ns |",
            cost(6),
            cost(20),
            cost(200)
        );
    }
}
