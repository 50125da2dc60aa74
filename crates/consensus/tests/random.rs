//! Seeded runs over a small network with faults: whatever is dropped, delayed, duplicated, cut,
//! crashed, frozen or lost with a disk, the history must stay correct, and the group must work
//! again once the faults end. A failure prints its seed; `NUTMEGDALE_SEED=N` runs one seed alone.

use nutmegdale_base::rng::Rng as _;
use nutmegdale_consensus::{input, status, types};
use nutmegdale_verifier::history;
use std::collections;
use std::env;

mod net;

/// Seeds of one test.
const RUNS_COUNT: u64 = 2_000;
const STEPS_COUNT: u64 = 200;
/// Seeds of longer trials that found a fault: 2011618 took an answer to an earlier term for one of
/// this term, 1047040 left a follower behind whose hint lay below the part that matched, and
/// 4081030 one that needed no snapshot any more.
const FOUND: [u64; 3] = [2_011_618, 1_047_040, 4_081_030];

fn seeds(first: u64, count: u64) -> Vec<u64> {
    match env::var("NUTMEGDALE_SEED") {
        Ok(seed) => vec![seed.parse().expect("NUTMEGDALE_SEED is a number")],
        Err(_) => FOUND.into_iter().chain(first..first + count).collect(),
    }
}

/// Runs `body` for each seed on several threads, since one run is sequential.
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

/// Repair of a lost disk, step by step as an operator does it.
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

    fn any(&mut self) -> u64 {
        let numbers = self.net.numbers();
        numbers[self.net.rng.below(numbers.len() as u64) as usize]
    }

    /// Returns mostly the leader, which takes up work, and sometimes another replica.
    fn target(&mut self) -> u64 {
        let any = self.any();
        match self.net.leader() {
            Some(leader) if self.net.rng.below(8) > 0 => leader,
            _ => any,
        }
    }

    fn step(&mut self) {
        let span_ms = 1 + self.net.rng.below(30);
        self.net.run(span_ms);
        self.step_repair();
        let number = self.target();
        match self.net.rng.below(40) {
            0..=15 if self.net.is_up(number) => {
                for _ in 0..1 + self.net.rng.below(4) {
                    self.net.propose(number);
                }
            }
            16..=23 if self.net.is_up(number) => drop(self.net.read(number)),
            24 => self.net.crash(number),
            25 => self.net.links.cut.clear(),
            26 => self.cut(number),
            27 => self.net.replica_mut(number).is_frozen = true,
            28 => self.change_links(),
            29 if self.net.is_up(number) => {
                self.net.input(number, input::Input::Transfer);
                self.net.finish(number);
            }
            _ => self.mend(),
        }
    }

    fn cut(&mut self, number: u64) {
        let other = self.any();
        let link = match self.net.rng.below(2) {
            0 => (number, other),
            _ => (other, number),
        };
        self.net.links.cut.insert(link);
    }

    /// Starts or wakes one replica.
    fn mend(&mut self) {
        let number = self.any();
        if self.net.replica(number).node.is_none() {
            self.net.start(number);
        }
        self.net.replica_mut(number).is_frozen = false;
    }

    fn change_links(&mut self) {
        self.net.links.drop_percent = [0, 0, 5, 30][self.net.rng.below(4) as usize];
        self.net.links.duplicate_percent = [0, 10][self.net.rng.below(2) as usize];
        self.net.links.delay_max_ms = [3, 20, 80][self.net.rng.below(3) as usize];
    }

    /// Takes away a disk if the last repair is finished; an operator may not lose two at once.
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
        self.net.input(leader, input::Input::Change(change));
        self.net.finish(leader);
    }

    /// Ends all faults and checks that the group works again and that the history is correct.
    fn settle(mut self) {
        self.net.heal();
        let seed = self.seed;
        for _ in 0..400 {
            self.net.run(10);
            self.step_repair();
            if self.repair.is_none() && self.net.leader().is_some() {
                break;
            }
        }
        assert!(self.repair.is_none(), "seed {seed}: repair does not finish");
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
    run.settle();
}

fn run_with_lost_disks(seed: u64) {
    let mut run = Run::new(seed, 3);
    for step in 0..STEPS_COUNT {
        run.step();
        // Often, so that the second disk is lost right after the repair of the first.
        if step % 3 == 0 {
            let number = run.any();
            run.lose_disk(number);
        }
    }
    run.settle();
}

#[test]
fn history_stays_correct_under_faults_of_links_and_processes() {
    for_each_seed(1, RUNS_COUNT, run_with_faults);
}

#[test]
fn history_stays_correct_when_disks_are_lost_one_after_another() {
    for_each_seed(100_001, RUNS_COUNT, run_with_lost_disks);
}

/// A run without commands or repairs would prove nothing.
#[test]
fn runs_reach_what_they_are_meant_to_reach() {
    let mut reached = collections::BTreeMap::new();
    for seed in 100_001..100_051 {
        let mut run = Run::new(seed, 3);
        for step in 0..STEPS_COUNT {
            run.step();
            if step % 3 == 0 {
                let number = run.any();
                run.lose_disk(number);
            }
        }
        let terms = run.net.numbers().into_iter().filter(|n| run.net.is_up(*n));
        let terms = terms.map(|n| run.net.status(n).term.0).max().unwrap_or(0);
        *reached.entry("terms").or_insert(0) += terms;
        *reached.entry("replacements").or_insert(0) += run.next_replica - 4;
        for event in &run.net.history {
            let name = match event {
                history::Event::Accepted { .. } => "accepted",
                history::Event::ReadDone { .. } => "reads",
                history::Event::Restored { index, .. } if *index > 0 => "snapshots",
                _ => continue,
            };
            *reached.entry(name).or_insert(0) += 1;
        }
        let is_part = |env: &&types::Envelope| matches!(env.message, types::Message::InstallSnapshot { offset, .. } if offset > 0);
        let parts = run.net.sent.iter().filter(is_part).count();
        *reached.entry("parts").or_insert(0) += parts as u64;
    }
    println!("{reached:?}");
    let least = [
        ("accepted", 1_500),
        ("reads", 300),
        ("snapshots", 150),
        ("parts", 1_000),
        ("terms", 250),
        ("replacements", 100),
    ];
    for (name, least) in least {
        assert!(reached[name] >= least, "{name} of {reached:?}");
    }
}

/// A leader that hears no quorum must step down within two election timeouts.
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
