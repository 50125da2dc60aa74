//! Measures what the limits of accounts cost a leader, a coordinator and an entry process: processor
//! time of the decisions and bytes of the messages, by the number of accounts and coordinators.
//!
//! `cargo run --release -p nutmegdale-quota --example quota_cost`

use nutmegdale_accounts::account;
use nutmegdale_base::{clock, rng, rng::Rng};
use nutmegdale_quota::{division, holder, pool};
use std::collections;
use std::net;
use std::time;

const ROUNDS_COUNT: u64 = 200;
const SPARE: f64 = 12.0;

fn bytes(message: &impl serde::Serialize) -> usize {
    let encoded = rmp_serde::to_vec(message).expect("messages can be encoded");
    encoded.len()
}

/// Sums of what one kind of step took.
#[derive(Debug, Default)]
struct Cost {
    count: u32,
    elapsed: time::Duration,
    bytes: usize,
}

impl Cost {
    fn record(&mut self, started: time::Instant, bytes: usize) {
        self.count += 1;
        self.elapsed += started.elapsed();
        self.bytes += bytes;
    }

    fn text(&self) -> String {
        let count = self.count.max(1);
        let micros = self.elapsed.as_secs_f64() * 1e6 / f64::from(count);
        format!("{micros:.1} us, {} bytes", self.bytes / count as usize)
    }
}

/// Runs reports of all coordinators twice a second, and questions of entry processes between them.
fn run(accounts_count: usize, coordinators_count: usize) {
    let limit = account::Limit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    let names = (0..accounts_count).map(|n| format!("account-{n:04}"));
    let limits: collections::BTreeMap<_, _> = names.map(|name| (name, limit)).collect();
    let names: Vec<_> = limits.keys().cloned().collect();
    let none = collections::BTreeMap::new();
    let mut leader = division::Division::new(clock::Millis(0), 1, SPARE, &none);
    leader.set_limits(clock::Millis(0), &limits);
    leader.expect(coordinators_count);
    let mut pools: Vec<_> = (0..coordinators_count)
        .map(|n| {
            let address = net::SocketAddr::from(([127, 0, 0, 1], n as u16));
            let mut pool = pool::Pool::new(n as u64, address);
            pool.set_limits(clock::Millis(0), &limits, SPARE);
            pool
        })
        .collect();
    let mut holder = holder::Holder::new(1);
    let mut rng = rng::SplitMix64::new(1);
    let [mut first, mut reports, mut replies, mut takes] = [(); 4].map(|()| Cost::default());
    for round in 0..ROUNDS_COUNT {
        let now = clock::Millis(round * 500);
        for pool in &mut pools {
            let started = time::Instant::now();
            let report = pool.report(now);
            reports.record(started, bytes(&report));
            let started = time::Instant::now();
            let reply = leader.answer(now, &report).expect("reports are in order");
            let cost = if round == 0 { &mut first } else { &mut replies };
            cost.record(started, bytes(&reply));
            pool.apply(now, now, &report, reply);
        }
        for step in 0..100 {
            let now = clock::Millis(now.0 + step * 5);
            let name = &names[rng.below(accounts_count as u64) as usize];
            let target = rng.below(coordinators_count as u64) as usize;
            let started = time::Instant::now();
            holder.admit(now, name, clock::Millis(1_000));
            if let Some(mut question) = holder.question(now) {
                let reply = pools[target].take(now, &question);
                let size = bytes(&question) + bytes(&reply);
                holder.settle(now, now, &mut question, &reply);
                holder.give_up(now, &question);
                takes.record(started, size);
            }
        }
    }
    println!(
        "{accounts_count} accounts, {coordinators_count} coordinators, 200 questions a second"
    );
    println!("  first reply of the leader: {}", first.text());
    println!("  report of a coordinator: {}", reports.text());
    println!("  reply of the leader: {}", replies.text());
    println!("  question and answer, both sides: {}", takes.text());
}

fn main() {
    for accounts_count in [77, 250, 1_000] {
        for coordinators_count in [6, 9] {
            run(accounts_count, coordinators_count);
        }
    }
}
