//! Spread of facts over hundreds of processes, with lost messages, cuts and restarts.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_gossip::{message, peers, server_limits, state, store};
use std::collections;
use std::net;

/// Time within which all processes that can reach each other know a fact, as all deployments allow
/// at least.
const CONTACT_MS: u64 = 3_000;
/// Step of the simulated time.
const STEP_MS: u64 = 20;
const REGIONS: [&str; 3] = ["north", "south", "west"];
const KEY: u64 = 7;
/// Format and authentication code of a datagram, in bytes.
const HEAD_BYTES: usize = 9;

struct Process {
    state: state::State,
    next_round_ms: u64,
    is_running: bool,
}

/// Message on its way.
struct Sent {
    from: usize,
    to: usize,
    arrives_ms: u64,
    message: message::Message,
}

struct Network {
    now_ms: u64,
    processes: Vec<Process>,
    sent: Vec<Sent>,
    rng: rng::SplitMix64,
    loss_percent: u64,
    /// Number of processes that the others know.
    listed_count: usize,
    /// Processes that only reach each other.
    island: collections::BTreeSet<usize>,
    sent_count: u64,
    /// Bytes of all messages, and of those to other regions.
    sent_bytes: u64,
    far_bytes: u64,
}

fn address(n: usize) -> net::SocketAddr {
    let [_, _, high, low] = (n as u32).to_be_bytes();
    (net::Ipv4Addr::new(10, 0, high, low), 7001).into()
}

fn index(address: net::SocketAddr) -> usize {
    match address.ip() {
        net::IpAddr::V4(ip) => (u32::from_be_bytes(ip.octets()) & 0xffff) as usize,
        net::IpAddr::V6(_) => unreachable!("only IPv4 addresses are used"),
    }
}

fn region(n: usize) -> &'static str {
    REGIONS[n % REGIONS.len()]
}

impl Network {
    fn start(count: usize, seed: u64, loss_percent: u64) -> Network {
        let now = clock::Millis(1_000);
        let processes = (0..count).map(|n| Process {
            state: state::State::new(),
            next_round_ms: 1_000 + 37 * n as u64 % 1_000,
            is_running: true,
        });
        Network {
            now_ms: now.0,
            processes: processes.collect(),
            sent: Vec::new(),
            rng: rng::SplitMix64::new(seed),
            loss_percent,
            listed_count: count,
            island: collections::BTreeSet::new(),
            sent_count: 0,
            sent_bytes: 0,
            far_bytes: 0,
        }
    }

    fn now(&self) -> clock::Millis {
        clock::Millis(self.now_ms)
    }

    /// Lets a process observe a limit and begin a round at once, as the gateway does.
    fn observe(&mut self, n: usize, milli_per_s: Option<u32>) {
        let now = self.now();
        let process = &mut self.processes[n];
        if process.state.observe_limit(now, KEY, milli_per_s) {
            process.next_round_ms = self.now_ms;
        }
    }

    fn restart(&mut self, n: usize) {
        self.processes[n] = Process {
            state: state::State::new(),
            next_round_ms: self.now_ms,
            is_running: true,
        };
    }

    fn run_for(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            for n in 0..self.processes.len() {
                self.round(n);
            }
        }
    }

    fn deliver(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let sent = std::mem::take(&mut self.sent);
        let (due, later) = sent.into_iter().partition(|sent| sent.arrives_ms <= now_ms);
        self.sent = later;
        let due: Vec<Sent> = due;
        for sent in due {
            let process = &mut self.processes[sent.to];
            if !process.is_running {
                continue;
            }
            let received = process.state.receive(now, &sent.message);
            if received.has_news() {
                process.next_round_ms = process.next_round_ms.min(now_ms);
            }
            for reply in received.replies {
                self.send(sent.to, sent.from, reply);
            }
        }
    }

    fn round(&mut self, n: usize) {
        let process = &self.processes[n];
        let is_due = self.now_ms >= process.next_round_ms && process.is_running;
        if !is_due {
            return;
        }
        let others = (0..self.listed_count).filter(|other| *other != n);
        let others: Vec<_> = others
            .map(|other| peers::Peer {
                address: address(other),
                region: region(other),
            })
            .collect();
        let now = self.now();
        let process = &mut self.processes[n];
        let outgoing = process.state.round(now, &others, region(n), &mut self.rng);
        let interval = process.state.next_round(now);
        process.next_round_ms = interval.map_or(u64::MAX, |interval| self.now_ms + interval.0);
        for (to, message) in outgoing {
            self.send(n, index(to), message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: message::Message) {
        self.sent_count += 1;
        let body = rmp_serde::to_vec(&message).expect("a message can be encoded");
        let bytes = (HEAD_BYTES + body.len()) as u64;
        self.sent_bytes += bytes;
        if region(from) != region(to) {
            self.far_bytes += bytes;
        }
        let is_cut = self.island.contains(&from) != self.island.contains(&to);
        if is_cut || self.rng.below(100) < self.loss_percent {
            return;
        }
        let delay_ms = match region(from) == region(to) {
            true => 2,
            false => 10,
        };
        self.sent.push(Sent {
            from,
            to,
            arrives_ms: self.now_ms + delay_ms,
            message,
        });
    }

    fn limit(&self, n: usize) -> Option<u32> {
        self.processes[n].state.limits.get(KEY)?.milli_per_s
    }

    fn ignorant(&self, milli_per_s: Option<u32>) -> Vec<usize> {
        let all = 0..self.processes.len();
        all.filter(|n| self.processes[*n].is_running && self.limit(*n) != milli_per_s)
            .collect()
    }
}

/// Guards against processes that do not know a fact within the time that the rules allow.
#[test]
fn every_process_knows_a_fact_in_time() {
    for count in [2, 16, 132, 315] {
        for seed in 0..10 {
            let mut network = Network::start(count, seed, 5);
            network.run_for(5_000);
            network.observe(seed as usize % count, Some(1_600));
            network.run_for(CONTACT_MS);
            let ignorant = network.ignorant(Some(1_600));
            assert!(ignorant.is_empty(), "{count} processes, {ignorant:?}");
            network.observe(0, None);
            network.run_for(CONTACT_MS);
            let ignorant = network.ignorant(None);
            assert!(ignorant.is_empty(), "{count} processes, {ignorant:?}");
        }
    }
}

/// Guards against messages without end, and against any while there are no facts.
#[test]
fn messages_are_few_and_end() {
    let mut network = Network::start(132, 1, 0);
    network.run_for(6_000);
    let at_start = network.sent_count;
    assert!(
        at_start <= 132 * 4,
        "{at_start} comparisons after the start"
    );
    network.run_for(60_000);
    assert_eq!(network.sent_count, at_start);
    network.observe(0, Some(1_600));
    network.run_for(5_000);
    let for_news = network.sent_count - at_start;
    // Ten peers are told, and two comparisons a second begin.
    assert!(for_news <= 132 * 21, "{for_news} messages for one fact");
    network.run_for(10_000);
    let compared = network.sent_count - at_start - for_news;
    assert!(compared <= 132 * 21, "{compared} comparisons in 10 s");
}

/// Guards against a process that wakes often for as long as it runs, since it has no peers to tell.
#[test]
fn process_without_peers_seldom_wakes() {
    let mut state = state::State::new();
    let mut now = clock::Millis(1_000);
    assert!(state.observe_limit(now, KEY, Some(1_600)));
    let mut rounds_count = 0;
    while now < clock::Millis(61_000) {
        state.round(now, &[], REGIONS[0], &mut rng::SplitMix64::new(1));
        let interval = state.next_round(now).expect("a fact to compare");
        now = now + interval;
        rounds_count += 1;
    }
    assert!(rounds_count <= 10 * 10 + 50 * 2, "{rounds_count} rounds");
}

/// Guards against processes that stay without the facts after they were cut off, frozen or restarted.
#[test]
fn processes_that_return_catch_up() {
    for seed in 0..10 {
        let mut network = Network::start(48, seed, 5);
        network.island = (0..12).collect();
        network.processes[20].is_running = false;
        network.run_for(5_000);
        network.observe(30, Some(2_400));
        network.run_for(CONTACT_MS);
        assert_eq!(network.limit(0), None);
        network.island.clear();
        network.processes[20].is_running = true;
        // The gateway notices that it lost its coordinator and follows one again.
        for n in (0..12).chain([20]) {
            network.processes[n].state.catch_up();
            network.processes[n].next_round_ms = network.now_ms;
        }
        network.restart(40);
        network.run_for(CONTACT_MS);
        let ignorant = network.ignorant(Some(2_400));
        assert!(ignorant.is_empty(), "seed {seed}: {ignorant:?}");
    }
}

/// Guards against processes that learn late what the others have kept over the end of all of them: at
/// first each knows only a few others.
#[test]
fn processes_that_start_together_agree_soon() {
    const SPAN_MS: u64 = 400;
    for count in [16, 132] {
        for seed in 0..10 {
            let mut network = Network::start(count, seed, 5);
            (0..count).for_each(|n| network.restart(n));
            for n in 0..count / 3 {
                network.observe(n, Some(1_600));
            }
            network.listed_count = 3;
            network.run_for(100);
            network.listed_count = count;
            network.run_for(SPAN_MS);
            let ignorant = network.ignorant(Some(1_600));
            assert!(ignorant.is_empty(), "{count} processes: {ignorant:?}");
        }
    }
}

/// Guards against processes that disagree after two of them observed different limits at once.
#[test]
fn observations_at_the_same_time_converge() {
    for (first, second) in [(Some(1_000), Some(2_000)), (Some(1_000), None)] {
        let mut network = Network::start(16, 3, 0);
        network.observe(4, Some(9_000));
        network.run_for(CONTACT_MS);
        network.observe(1, first);
        network.observe(2, second);
        network.run_for(CONTACT_MS);
        assert_eq!(network.ignorant(Some(1_000)), [] as [usize; 0]);
    }
}

/// Guards against facts that are kept without bound, or forgotten while they are confirmed.
#[test]
fn facts_are_bounded_in_number_and_time() {
    let now = clock::Millis(1_000);
    let mut state = state::State::new();
    for key in 0..10_000 {
        state.observe_limit(now, key, Some(1_000));
    }
    assert_eq!(state.limits.len(), 4_096);
    let half = now + clock::Millis(server_limits::LIFETIME_MS.0 / 2);
    let key = state.limits.iter().next().expect("a fact").0;
    assert!(
        state.observe_limit(half, key, Some(1_000)),
        "a confirmation"
    );
    let expired = state.expire(now + server_limits::LIFETIME_MS);
    assert_eq!((expired.limits.len(), state.limits.len()), (4_095, 1));
    let old = store::Fact {
        key: 1,
        age: server_limits::LIFETIME_MS,
        value: server_limits::Named {
            number: 9,
            milli_per_s: Some(1),
        },
    };
    assert!(!state.limits.merge(half, &old, 1), "an expired fact");
}

/// Guards against small changes of a limit that every process is told.
#[test]
fn only_changes_that_matter_are_told() {
    let now = clock::Millis(1_000);
    let mut state = state::State::new();
    assert!(!state.observe_limit(now, KEY, None), "no limit is the rule");
    assert!(state.observe_limit(now, KEY, Some(2_000)));
    assert!(!state.observe_limit(now, KEY, Some(2_100)));
    assert!(state.observe_limit(now, KEY, Some(1_500)));
    assert!(state.observe_limit(now, KEY, None));
    assert!(!state.observe_limit(now, KEY, None));
}

/// Guards against an exchange that takes more of a process than the target size allows for all its
/// control traffic, while dozens of servers change their limits each second.
#[test]
fn bytes_stay_within_the_budget_of_a_process() {
    /// Bytes a second that a process may send for control.
    const BUDGET_BYTES: u64 = 19_000;
    const CHANGES_PER_S: u64 = 24;
    const SECONDS: u64 = 10;
    for count in [16, 132, 315] {
        let mut network = Network::start(count, 4, 1);
        network.run_for(4_000);
        let before = (network.sent_bytes, network.far_bytes);
        let started_ms = network.now_ms;
        for n in 0..SECONDS * CHANGES_PER_S {
            let now = network.now();
            let observer = n as usize * 7 % count;
            let process = &mut network.processes[observer];
            let milli_per_s = 1_000 + 500 * ((n + n / 60) as u32 % 5);
            if process
                .state
                .observe_limit(now, 100 + n % 60, Some(milli_per_s))
            {
                process.next_round_ms = network.now_ms;
            }
            network.run_for(1_000 / CHANGES_PER_S / STEP_MS * STEP_MS);
        }
        let took_ms = network.now_ms - started_ms;
        let per_second = |bytes: u64| bytes * 1_000 / took_ms / count as u64;
        let sent = per_second(network.sent_bytes - before.0);
        let far = per_second(network.far_bytes - before.1);
        println!("{count} processes: {sent} bytes a second each, {far} to other regions");
        assert!(
            sent <= BUDGET_BYTES,
            "{count} processes: {sent} bytes a second"
        );
        // Processes without others in their region, as in some small deployments, tell only those.
        assert!(far * 2 <= sent, "{far} of {sent} bytes to other regions");
    }
}
