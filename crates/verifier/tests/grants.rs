//! Tests the limits of cold servers (P2): 20 entry processes compete for the same cold servers,
//! with restarts, network partitions, late and lost messages, clock skew and leader changes. A
//! server must never get more than `cold_slots` concurrent requests, and these only from a single
//! process.

use nutmegdale_base::clock::Millis;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_grants::{REQUEST_MAX_MS, holder, lease, message, table};
use nutmegdale_verifier::grants;
use std::cmp;
use std::collections;
use std::sync;

const RUNS_COUNT: u64 = 2_000;
const ENTRIES_COUNT: usize = 20;
const SERVERS: [&str; 3] = ["cold-0", "cold-1", "cold-2"];
const COLD_SLOTS: u32 = 2;
const RUN_MS: u64 = 30_000;
const SYNC_TIMEOUT_MS: u64 = 1_800;

/// Content of a sync request, which may arrive long after a later one.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SyncRequest {
    boot: u64,
    number: u64,
    wanted: Vec<String>,
    released: Vec<(String, message::GrantId)>,
}

impl SyncRequest {
    fn released(&self) -> Vec<message::Grant> {
        let grant = |(server, id): &(String, message::GrantId)| message::Grant {
            server: server.clone(),
            id: *id,
        };
        self.released.iter().map(grant).collect()
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sync {
        entry: usize,
        boot: u64,
    },
    AtLeader {
        entry: usize,
        request: SyncRequest,
        leader: usize,
    },
    Answer {
        entry: usize,
        boot: u64,
        number: u64,
        granted: Vec<(String, u64, u64)>,
    },
    Request {
        entry: usize,
    },
    Done {
        entry: usize,
        boot: u64,
        server: usize,
    },
    Restart {
        entry: usize,
    },
    NewLeader,
}

struct Entry {
    boot: u64,
    /// Offset and rate of the process's clock against simulated time.
    offset_ms: u64,
    rate_milli: u64,
    holder: holder::Holder,
    leases: Vec<sync::Arc<lease::Lease>>,
    sync_number: u64,
    last_sync_at: Millis,
    last_request: message::GrantRequest,
    wants_grant: [bool; 3],
    partitioned_until: u64,
}

struct Run {
    rng: SplitMix64,
    now: u64,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    next_event: u64,
    entries: Vec<Entry>,
    leaders: Vec<table::Table>,
    checker: grants::Checker,
}

impl Entry {
    fn new(rng: &mut SplitMix64, boot: u64) -> Entry {
        let mut holder = holder::Holder::new();
        let leases = SERVERS.iter().map(|server| holder.lease(server)).collect();
        Entry {
            boot,
            offset_ms: 1 + rng.below(1_000_000),
            rate_milli: 997 + rng.below(7),
            holder,
            leases,
            sync_number: 0,
            last_sync_at: Millis::ZERO,
            last_request: message::GrantRequest::default(),
            wants_grant: [true; 3],
            partitioned_until: 0,
        }
    }

    fn now(&self, now: u64) -> Millis {
        Millis(self.offset_ms + now * self.rate_milli / 1_000)
    }

    fn name(&self, index: usize) -> String {
        format!("entry-{index}/{}", self.boot)
    }
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut rng = SplitMix64::new(seed);
        let entries = (0..ENTRIES_COUNT)
            .map(|_| Entry::new(&mut rng, 1))
            .collect();
        let mut run = Run {
            rng,
            now: 0,
            events: collections::BinaryHeap::new(),
            next_event: 0,
            entries,
            leaders: vec![table::Table::new(1, Millis(0))],
            checker: grants::Checker::new(COLD_SLOTS),
        };
        for entry in 0..ENTRIES_COUNT {
            // All entry processes discover the cold servers in the same millisecond.
            run.at(0, Event::Sync { entry, boot: 1 });
            run.at(1, Event::Request { entry });
        }
        for _ in 0..run.rng.below(6) {
            let (at, entry) = (run.rng.below(RUN_MS), run.rng.below(20) as usize);
            run.at(at, Event::Restart { entry });
        }
        for _ in 0..run.rng.below(3) {
            let at = run.rng.below(RUN_MS);
            run.at(at, Event::NewLeader);
        }
        run
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.push(cmp::Reverse((at, self.next_event, event)));
    }

    /// Draws the network delay of a message in ms: mostly short, sometimes very long, `None` if the
    /// message is lost.
    fn network_delay(&mut self) -> Option<u64> {
        match self.rng.below(100) {
            0..4 => None,
            4..7 => Some(1_000 + self.rng.below(14_000)),
            _ => Some(1 + self.rng.below(20)),
        }
    }

    fn run(&mut self) -> Result<(), grants::Violation> {
        while let Some(cmp::Reverse((at, _, event))) = self.events.pop() {
            if at > RUN_MS {
                break;
            }
            self.now = at;
            match event {
                Event::Sync { entry, boot } => self.sync(entry, boot),
                Event::AtLeader {
                    entry,
                    request,
                    leader,
                } => self.at_leader(entry, &request, leader),
                Event::Answer {
                    entry,
                    boot,
                    number,
                    granted,
                } => {
                    self.answer(entry, boot, number, &granted);
                }
                Event::Request { entry } => self.request(entry)?,
                Event::Done {
                    entry,
                    boot,
                    server,
                } => self.done(entry, boot, server),
                Event::Restart { entry } => self.restart(entry),
                Event::NewLeader => self.new_leader(),
            }
        }
        Ok(())
    }

    fn sync(&mut self, index: usize, boot: u64) {
        if self.entries[index].boot != boot {
            return;
        }
        let dice = self.rng.below(200);
        let now = self.now;
        let entry = &mut self.entries[index];
        if dice == 0 {
            entry.partitioned_until = now + 10_000;
        } else if dice < 40 {
            entry.wants_grant[dice as usize % 3] ^= true;
        }
        let wanted = SERVERS
            .iter()
            .zip(entry.wants_grant)
            .filter(|(_, wants)| *wants);
        entry.last_request = entry.holder.request(wanted.map(|(server, _)| *server));
        entry.last_sync_at = entry.now(now);
        entry.sync_number += 1;
        let released = entry.last_request.released.iter();
        let request = SyncRequest {
            boot,
            number: entry.sync_number,
            wanted: entry.last_request.wanted.clone(),
            released: released.map(|g| (g.server.clone(), g.id)).collect(),
        };
        let is_partitioned = entry.partitioned_until > now;
        if let Some(delay) = self.network_delay().filter(|_| !is_partitioned) {
            let leader = self.leaders.len() - 1;
            let event = Event::AtLeader {
                entry: index,
                request,
                leader,
            };
            self.at(now + delay, event);
        }
        // The next sync follows the answer or the timeout.
        let wait = 20 + self.rng.below(SYNC_TIMEOUT_MS);
        self.at(now + wait, Event::Sync { entry: index, boot });
    }

    fn at_leader(&mut self, index: usize, request: &SyncRequest, leader: usize) {
        let name = format!("entry-{index}");
        let table = &mut self.leaders[leader];
        table.release(&name, request.boot, &request.released());
        let granted = table.grant(Millis(self.now), &name, request.boot, &request.wanted);
        if leader + 1 != self.leaders.len() {
            // A deposed leader gets no quorum to confirm its leadership, so it doesn't answer.
            return;
        }
        let list = granted
            .into_iter()
            .map(|g| (g.server, g.id.epoch, g.id.number));
        let granted = list.collect();
        if let Some(delay) = self.network_delay() {
            let (boot, number) = (request.boot, request.number);
            let answer = Event::Answer {
                entry: index,
                boot,
                number,
                granted,
            };
            self.at(self.now + delay, answer);
        }
    }

    fn answer(&mut self, index: usize, boot: u64, number: u64, list: &[(String, u64, u64)]) {
        let entry = &mut self.entries[index];
        if entry.boot != boot || entry.sync_number != number {
            return;
        }
        let grant = |(server, epoch, number): &(String, u64, u64)| message::Grant {
            server: server.clone(),
            id: message::GrantId {
                epoch: *epoch,
                number: *number,
            },
        };
        let granted: Vec<_> = list.iter().map(grant).collect();
        let request = entry.last_request.clone();
        entry
            .holder
            .apply_answer(entry.last_sync_at, &request, &granted);
    }

    fn request(&mut self, index: usize) -> Result<(), grants::Violation> {
        let server = self.rng.below(3) as usize;
        let entry = &self.entries[index];
        let (boot, name) = (entry.boot, entry.name(index));
        if entry.leases[server].begin(entry.now(self.now), COLD_SLOTS) {
            self.checker.begin(SERVERS[server], &name)?;
            let duration_ms = match self.rng.below(10) {
                0 => REQUEST_MAX_MS.0,
                _ => 1 + self.rng.below(200),
            };
            self.at(
                self.now + duration_ms,
                Event::Done {
                    entry: index,
                    boot,
                    server,
                },
            );
        }
        let pause = 1 + self.rng.below(200);
        self.at(self.now + pause, Event::Request { entry: index });
        Ok(())
    }

    fn done(&mut self, index: usize, boot: u64, server: usize) {
        if self.entries[index].boot == boot {
            let name = self.entries[index].name(index);
            self.checker.end(SERVERS[server], &name);
            self.entries[index].leases[server].end();
        }
    }

    fn restart(&mut self, index: usize) {
        let name = self.entries[index].name(index);
        self.checker.remove_holder(&name);
        let boot = self.entries[index].boot + 1;
        self.entries[index] = Entry::new(&mut self.rng, boot);
        self.at(self.now + 100, Event::Sync { entry: index, boot });
    }

    fn new_leader(&mut self) {
        let epoch = self.leaders.len() as u64 + 1;
        self.leaders
            .push(table::Table::new(epoch, Millis(self.now)));
    }
}

#[test]
fn cold_servers_get_at_most_their_slots_from_a_single_holder() {
    let mut begun_count = 0;
    for seed in 0..RUNS_COUNT {
        let mut run = Run::new(seed);
        if let Err(violation) = run.run() {
            panic!("seed {seed}, at {} ms: {violation}", run.now);
        }
        assert_eq!(
            run.checker.most_present, COLD_SLOTS,
            "seed {seed}: no server reached its bound, so the run tests nothing"
        );
        begun_count += run.checker.begun_count;
    }
    // Fewer requests would mean that grants are hardly ever issued.
    assert!(
        begun_count > RUNS_COUNT * 50,
        "only {begun_count} requests in all runs"
    );
}

/// Tests the checker itself with the violations that grants prevent.
#[test]
fn checker_reports_a_second_holder_and_a_request_over_the_bound() {
    let mut checker = grants::Checker::new(1);
    assert_eq!(checker.begin("s", "a/1"), Ok(()));
    let over = grants::Violation::OverBound {
        server: "s".into(),
        bound: 1,
        present: 2,
    };
    assert_eq!(checker.begin("s", "a/1"), Err(over));
    let second = checker.begin("s", "b/1").expect_err("a second holder");
    let text = "server s got a request of b/1 while one of a/1 was in flight";
    assert_eq!(second.to_string(), text);
}
