//! Seeded random runs over a simulated network with faults. Messages are dropped, delayed and
//! duplicated, links are cut, replicas crash, pause or lose their disk; the history must stay
//! correct, and the group must work again after the faults end. A failure prints its seed;
//! `NUTMEGDALE_SEED=N` runs one seed alone.

use nutmegdale_base::rng::Rng as _;
use nutmegdale_consensus::{input, status, types};
use nutmegdale_verifier::history;
use std::collections;
use std::env;

mod net;

/// Number of seeds of one test.
const SEEDS_COUNT: u64 = 2_000;
const STEPS_COUNT: u64 = 200;
/// Seeds of longer trials that found bugs. 2011618: a response to an earlier term was taken for one
/// of this term. 1047040: a follower whose conflict hint lay below the matched index never caught
/// up. 4081030: neither did a follower that no longer needed the snapshot that it was sent.
const REGRESSION_SEEDS: [u64; 3] = [2_011_618, 1_047_040, 4_081_030];

fn seeds(first: u64, count: u64) -> Vec<u64> {
    match env::var("NUTMEGDALE_SEED") {
        Ok(seed) => vec![seed.parse().expect("NUTMEGDALE_SEED is a number")],
        Err(_) => REGRESSION_SEEDS
            .into_iter()
            .chain(first..first + count)
            .collect(),
    }
}

/// Runs `body` for each seed, on several threads since a single run is sequential.
fn for_each_seed(first: u64, count: u64, body: fn(u64)) {
    let seeds = seeds(first, count);
    std::thread::scope(|scope| {
        for part in seeds.chunks(seeds.len().div_ceil(4)) {
            scope.spawn(move || {
                for seed in part {
                    println!("NUTMEGDALE_SEED={seed}");
                    body(*seed);
                }
            });
        }
    });
}

/// Replacement of a replica that lost its disk, in the steps that an operator takes.
#[derive(Debug, Clone, Copy)]
struct Repair {
    lost: u64,
    new: u64,
}

struct Run {
    net: net::Net,
    seed: u64,
    repair: Option<Repair>,
    next_replica: u64,
}

impl Run {
    fn new(seed: u64, count: u64) -> Run {
        let net = net::Net::new(seed, count);
        Run {
            net,
            seed,
            repair: None,
            next_replica: count + 1,
        }
    }

    fn any_replica(&mut self) -> u64 {
        let numbers = self.net.numbers();
        numbers[self.net.rng.below(numbers.len() as u64) as usize]
    }

    /// Returns mostly the leader, which accepts operations, and sometimes another replica.
    fn target(&mut self) -> u64 {
        let any = self.any_replica();
        match self.net.leader() {
            Some(leader) if self.net.rng.below(8) > 0 => leader,
            _ => any,
        }
    }

    fn step(&mut self) {
        let duration_ms = 1 + self.net.rng.below(30);
        self.net.run(duration_ms);
        self.step_repair();
        let number = self.target();
        match self.net.rng.below(40) {
            0..=15 if self.net.is_running(number) => {
                for _ in 0..1 + self.net.rng.below(4) {
                    self.net.propose(number);
                }
            }
            16..=23 if self.net.is_running(number) => drop(self.net.read(number)),
            24 => self.net.crash(number),
            25 => self.net.links.cut.clear(),
            26 => self.cut_link(number),
            27 => self.net.replica_mut(number).is_paused = true,
            28 => self.change_links(),
            29 if self.net.is_running(number) => {
                self.net.process(number, input::Input::Transfer);
                self.net.end_batch(number);
            }
            _ => self.recover_any(),
        }
    }

    fn cut_link(&mut self, number: u64) {
        let other = self.any_replica();
        let link = match self.net.rng.below(2) {
            0 => (number, other),
            _ => (other, number),
        };
        self.net.links.cut.insert(link);
    }

    /// Starts or resumes a random replica.
    fn recover_any(&mut self) {
        let number = self.any_replica();
        if self.net.replica(number).node.is_none() {
            self.net.start(number);
        }
        self.net.replica_mut(number).is_paused = false;
    }

    fn change_links(&mut self) {
        self.net.links.drop_percent = [0, 0, 5, 30][self.net.rng.below(4) as usize];
        self.net.links.duplicate_percent = [0, 10][self.net.rng.below(2) as usize];
        self.net.links.delay_max_ms = [3, 20, 80][self.net.rng.below(3) as usize];
    }

    /// Replaces a voter by a replica with an empty disk, if the previous repair has finished: the
    /// group tolerates only one lost disk at a time.
    fn lose_disk(&mut self, number: u64) {
        let Some(leader) = self.net.leader().filter(|_| self.repair.is_none()) else {
            return;
        };
        let status = self.net.status(leader);
        if status.is_repaired != Some(true) || !status.members.is_voter(net::id(number)) {
            return;
        }
        self.net.crash(number);
        self.net.replicas.retain(|r| r.id != number);
        let new = self.next_replica;
        self.next_replica += 1;
        self.net.add(new);
        self.repair = Some(Repair { lost: number, new });
    }

    fn step_repair(&mut self) {
        let (Some(repair), Some(leader)) = (self.repair, self.net.leader()) else {
            return;
        };
        let status = self.net.status(leader);
        let new = status.members.get(net::id(repair.new));
        let change = match new {
            None => input::MemberChange::Admit(net::member(repair.new, false)),
            Some(new) if !new.is_voter => input::MemberChange::Promote(new.id),
            Some(_) if status.members.get(net::id(repair.lost)).is_some() => {
                input::MemberChange::Remove(net::id(repair.lost))
            }
            Some(_) => {
                if status.is_repaired == Some(true) {
                    self.repair = None;
                }
                return;
            }
        };
        self.net.process(leader, input::Input::Change(change));
        self.net.end_batch(leader);
    }

    /// Ends all faults; checks that the group works again and that the history is correct.
    fn heal_and_check(mut self) {
        self.net.heal();
        let seed = self.seed;
        for _ in 0..400 {
            self.net.run(10);
            self.step_repair();
            if self.repair.is_none() && self.net.leader().is_some() {
                break;
            }
        }
        assert!(
            self.repair.is_none(),
            "seed {seed}: the repair does not finish"
        );
        let mut command = 0;
        let is_accepted = (0..100).any(|_| {
            self.net.run(20);
            if let Some(leader) = self.net.leader() {
                command = self.net.propose(leader);
                self.net.run_until(100, |net| net.is_accepted(command));
            }
            self.net.is_accepted(command)
        });
        assert!(is_accepted, "seed {seed}: no command is accepted");
        self.net.run(400);
        let leader = self.net.leader().expect("leader");
        let members = self.net.status(leader).members;
        for voter in members.voters() {
            let replica = voter.0;
            self.net.history.push(history::Event::Settled { replica });
        }
        let violations = history::check(&self.net.history);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

fn run_with_faults(seed: u64) {
    let mut run = Run::new(seed, [3, 3, 5][(seed % 3) as usize]);
    for _ in 0..STEPS_COUNT {
        run.step();
    }
    run.heal_and_check();
}

fn run_with_lost_disks(seed: u64) {
    let mut run = Run::new(seed, 3);
    for step in 0..STEPS_COUNT {
        run.step();
        // Tries often, so that a disk is lost right after the previous repair.
        if step % 3 == 0 {
            let number = run.any_replica();
            run.lose_disk(number);
        }
    }
    run.heal_and_check();
}

#[test]
fn history_stays_correct_under_faults_of_links_and_processes() {
    for_each_seed(1, SEEDS_COUNT, run_with_faults);
}

#[test]
fn history_stays_correct_when_disks_are_lost_one_after_another() {
    for_each_seed(100_001, SEEDS_COUNT, run_with_lost_disks);
}

/// Random runs that hardly accept commands, send snapshots or replace disks would prove nothing.
#[test]
fn random_runs_exercise_the_features_under_test() {
    let mut counts = collections::BTreeMap::new();
    for seed in 100_001..100_051 {
        let mut run = Run::new(seed, 3);
        for step in 0..STEPS_COUNT {
            run.step();
            if step % 3 == 0 {
                let number = run.any_replica();
                run.lose_disk(number);
            }
        }
        let terms = run
            .net
            .numbers()
            .into_iter()
            .filter(|n| run.net.is_running(*n));
        let terms = terms.map(|n| run.net.status(n).term.0).max().unwrap_or(0);
        *counts.entry("terms").or_insert(0) += terms;
        *counts.entry("replacements").or_insert(0) += run.next_replica - 4;
        for event in &run.net.history {
            let name = match event {
                history::Event::Accepted { .. } => "accepted",
                history::Event::ReadDone { .. } => "reads",
                history::Event::Restored { index, .. } if *index > 0 => "snapshots",
                _ => continue,
            };
            *counts.entry(name).or_insert(0) += 1;
        }
        let is_part = |env: &&types::Envelope| matches!(env.message, types::Message::InstallSnapshot { offset, .. } if offset > 0);
        let parts = run.net.sent.iter().filter(is_part).count();
        *counts.entry("parts").or_insert(0) += parts as u64;
    }
    println!("{counts:?}");
    let min_counts = [
        ("accepted", 1_500),
        ("reads", 300),
        ("snapshots", 150),
        ("parts", 1_000),
        ("terms", 250),
        ("replacements", 100),
    ];
    for (name, min_count) in min_counts {
        assert!(counts[name] >= min_count, "{name} of {counts:?}");
    }
}

/// A leader that hears from no quorum must step down within two election timeouts.
#[test]
fn leader_without_a_quorum_steps_down() {
    for seed in 1..=50 {
        let mut net = net::Net::new(seed, 3);
        assert!(
            net.run_until(1_000, |net| net.leader().is_some()),
            "seed {seed}"
        );
        let leader = net.leader().expect("leader");
        for other in net.numbers() {
            net.links.cut.insert((other, leader));
        }
        net.run(200);
        let role = net.status(leader).role;
        assert_ne!(role, status::Role::Leader, "seed {seed}");
    }
}
