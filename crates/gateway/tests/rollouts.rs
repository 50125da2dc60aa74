//! Division of requests between two versions: roles, share, and what a stale process may send.

mod stub;

use nutmegdale_base::{class, clock};
use nutmegdale_gateway::rollouts::{Role, Selection};
use nutmegdale_gateway::{rollouts, settings, state, table};
use nutmegdale_registry::{follow, rollout, server};
use nutmegdale_rollout::{bound, plan};
use nutmegdale_telemetry::log;
use std::collections;
use std::sync;

const DURATION_MS: clock::Millis = clock::Millis(12_000);
const ORDERED_AT_MS: clock::Millis = clock::Millis(100_000);

/// Process with a service whose servers have two versions.
struct Process {
    clock: sync::Arc<clock::ManualClock>,
    shared: state::Shared,
    builder: table::Builder,
    copy: follow::LocalCopy,
}

impl Process {
    /// Creates a process with servers `o0`, `o1`... of version v1 and `n0`, `n1`... of version v2.
    fn new(old: usize, new: usize) -> Process {
        let settings = sync::Arc::new(settings::Settings {
            features: settings::Features {
                rollouts: Some(bound::Bound {
                    share: 0.1,
                    slack: 50.0,
                    rollback: clock::Millis(5_000),
                }),
                ..settings::Features::default()
            },
            ..stub::settings()
        });
        let mut builder = table::Builder::new(sync::Arc::clone(&settings));
        let empty = builder.build(clock::Millis::ZERO, &follow::LocalCopy::default(), None);
        let clock = sync::Arc::new(clock::ManualClock::new(ORDERED_AT_MS));
        let dependencies = state::Dependencies {
            clock: clock.clone(),
            dialect: sync::Arc::new(stub::TestDialect),
            codec: sync::Arc::new(stub::FixedCodec),
            log: log::discard(),
            data: None,
            seed: 1,
        };
        let mut copy = follow::LocalCopy {
            index: 1,
            version: 1,
            ..follow::LocalCopy::default()
        };
        let names = (0..old).map(|n| (format!("o{n}"), "v1", n));
        let names = names.chain((0..new).map(|n| (format!("n{n}"), "v2", 100 + n)));
        for (id, version, port) in names {
            let announcement = server::Announcement {
                id: id.clone(),
                born: 1,
                sequence: 1,
                service: "service".to_owned(),
                address: ([127, 0, 0, 1], 1_000 + port as u16).into(),
                zone: if port % 2 == 0 { "zone" } else { "far" }.to_owned(),
                slots: 4,
                state: server::State::Ready,
                cold_left: clock::Millis::ZERO,
                version: version.to_owned(),
            };
            let cold_until = clock::Millis::ZERO;
            let known = follow::Server {
                announcement,
                cold_until,
            };
            copy.servers.insert(id, known);
        }
        let shared = state::Shared::new(settings, dependencies, empty);
        shared.record_confirmation(ORDERED_AT_MS);
        let mut process = Process {
            clock,
            shared,
            builder,
            copy,
        };
        process.publish();
        process
    }

    fn publish(&mut self) {
        let now = clock::Clock::now(&*self.clock);
        let config = stub::config(class::Class::UrgentLookup);
        let table = self.builder.build(now, &self.copy, Some(&config));
        self.shared.publish(table);
    }

    fn set_stage(&mut self, stage: plan::Stage) {
        let rollout = rollout::Rollout {
            order: 7,
            target: "v2".to_owned(),
            duration: DURATION_MS,
            stage,
            elapsed: clock::Millis::ZERO,
        };
        let known = (ORDERED_AT_MS, rollout);
        self.copy.rollouts.insert("service".to_owned(), known);
        self.publish();
    }

    fn roles(&self) -> collections::BTreeMap<String, Role> {
        let table = self.shared.table.load();
        let roles = table.backends().map(|b| (b.id().to_owned(), b.role()));
        roles.collect()
    }

    /// Returns the number of servers with a role whose names begin with `prefix`.
    fn count(&self, prefix: &str, role: Role) -> usize {
        let roles = self.roles();
        let named = roles.iter().filter(|(id, _)| id.starts_with(prefix));
        named.filter(|(_, known)| **known == role).count()
    }

    fn division(&self) -> sync::Arc<rollouts::Division> {
        let table = self.shared.table.load();
        table.services[0].rollout.clone().expect("a rollout")
    }

    /// Returns how many of `count` requests are canary requests.
    fn canaries(&self, count: usize) -> usize {
        let division = self.division();
        let first = (0..count).map(|_| division.select(&self.shared, true));
        first.filter(|s| *s == Selection::Canary).count()
    }
}

/// Guards against servers that get requests which their stage does not allow.
#[test]
fn stage_decides_which_servers_get_requests() {
    let mut process = Process::new(50, 50);
    assert_eq!(process.roles().len(), 100);
    assert_eq!(process.count("", Role::Usual), 100, "an ordinary release");
    process.set_stage(plan::Stage::Canary);
    assert_eq!(process.count("o", Role::Usual), 50);
    let canaries = process.count("n", Role::Canary);
    assert_eq!((canaries, process.count("n", Role::Reserve)), (4, 46));
    process.set_stage(plan::Stage::Promoting);
    assert_eq!(process.count("o", Role::Retired), 50);
    assert_eq!(process.count("n", Role::Usual), 50);
    process.set_stage(plan::Stage::RolledBack);
    assert_eq!(
        (process.roles().len(), process.count("o", Role::Usual)),
        (50, 50)
    );
    process.set_stage(plan::Stage::Completed);
    assert_eq!(process.count("", Role::Usual), 100, "ordinary releases");
}

/// Guards against a service that gets no requests at all since one version has no server.
#[test]
fn service_of_one_version_is_not_divided() {
    for (old, new) in [(5, 0), (0, 5)] {
        for stage in [plan::Stage::Canary, plan::Stage::Promoting] {
            let mut process = Process::new(old, new);
            process.set_stage(stage);
            assert_eq!(process.count("", Role::Usual), 5, "{old}, {new}, {stage:?}");
        }
    }
}

/// Guards against more canary requests than the share, also across tables, and against retries and
/// hedges that go to the new version.
#[test]
fn canary_requests_stay_within_the_share() {
    let mut process = Process::new(20, 20);
    process.set_stage(plan::Stage::Canary);
    let mut canaries = 0;
    for _ in 0..100 {
        canaries += process.canaries(10);
        process.copy.index += 1;
        process.publish();
    }
    assert!((79..=81).contains(&canaries), "{canaries} of 1000");
    let division = process.division();
    assert_eq!(division.select(&process.shared, false), Selection::Usual);
}

/// Guards against requests to the new version by a process that may have missed a rollback.
#[test]
fn stale_process_sends_nothing_to_the_new_version() {
    let mut process = Process::new(20, 20);
    process.set_stage(plan::Stage::Canary);
    let table = process.shared.table.load_full();
    let may_send = |selection| {
        let mut canaries = table.backends().filter(|b| b.role() == Role::Canary);
        let backend = canaries.next().expect("a canary server");
        rollouts::may_send(&process.shared, backend, selection)
    };
    assert!(may_send(Selection::Canary));
    assert!(
        !may_send(Selection::Usual),
        "decided before the order was known"
    );
    process.clock.advance(clock::Millis(2_500));
    assert!(
        !may_send(Selection::Canary),
        "checked again right before a send"
    );
    assert_eq!(process.canaries(100), 0);
    let division = process.division();
    assert_eq!(division.select(&process.shared, false), Selection::Usual);
    process.clock.advance(DURATION_MS);
    assert_eq!(division.select(&process.shared, true), Selection::Usual);
    assert_eq!(
        division.select(&process.shared, false),
        Selection::LastResort
    );
    assert!(may_send(Selection::LastResort));
}

/// Guards against a rollout that is completed while requests to old servers are in flight, and
/// against a send to an old server that was decided before the promotion.
#[test]
fn report_counts_requests_in_flight_at_old_servers() {
    let mut process = Process::new(20, 20);
    process.set_stage(plan::Stage::Canary);
    let table = process.shared.table.load_full();
    let mut backends = table.backends();
    let old = backends.find(|b| b.id() == "o3").expect("a known server");
    old.signal.begin();
    process.set_stage(plan::Stage::Promoting);
    assert_eq!(process.division().report().old_in_flight, 1);
    assert!(!rollouts::may_send(&process.shared, old, Selection::Usual));
    old.signal.end();
    assert_eq!(process.division().report().old_in_flight, 0);
}

/// Guards against evidence that is lost when a table is built, or counted for the wrong version.
#[test]
fn evidence_is_kept_by_version() {
    let mut process = Process::new(20, 20);
    process.set_stage(plan::Stage::Canary);
    let table = process.shared.table.load_full();
    let now = ORDERED_AT_MS;
    for (id, count) in [("o1", 3), ("n1", 2)] {
        let mut backends = table.backends();
        let backend = backends.find(|b| b.id() == id).expect("a known server");
        let observer = process.division().observer("route", backend, now);
        let observer = observer.expect("a known route");
        (0..count).for_each(|_| observer.record_failure());
        process.publish();
    }
    assert_eq!(process.division().report().evidence.totals(), (3, 2));
}
