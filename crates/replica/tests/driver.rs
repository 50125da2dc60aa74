//! Tests that the driver replies only after records are durable, and that it neither spins nor lets
//! the log grow without a bound.

use nutmegdale_base::{clock, rng};
use nutmegdale_consensus::status;
use nutmegdale_replica::{driver, handle};
use nutmegdale_storage::{fake, store};
use nutmegdale_telemetry::clock as system;
use std::sync;
use std::sync::atomic;
use std::time;

mod group;

fn command(number: u64) -> Vec<u8> {
    number.to_le_bytes().to_vec()
}

/// Crashes a disk and returns the bodies of the log entries that a recovery finds on it.
fn recover_bodies(disk: &fake::FakeDisk, seed: u64) -> Vec<Vec<u8>> {
    disk.crash(&mut rng::SplitMix64::new(seed));
    let opened = store::Store::open(Box::new(disk.clone()), store::Limits::default());
    let store::Opened::Replica(_, recovered) = opened.expect("store opens") else {
        panic!("folder is blank");
    };
    let bodies = recovered.entries.into_iter().map(|e| e.body);
    bodies.collect()
}

fn contains(bodies: &[Vec<u8>], command: &[u8]) -> bool {
    let contains_command = |body: &Vec<u8>| body.windows(command.len()).any(|w| w == command);
    bodies.iter().any(contains_command)
}

/// A command that a failing disk did not store must never be acknowledged.
#[tokio::test]
async fn command_on_a_failing_disk_is_never_acknowledged() {
    for syncs in 0..12 {
        let (_mesh, members) = group::bootstrap(1).await;
        group::leader(&members).await;
        members[0].disk.fail_sync_after(syncs);
        let mut accepted = Vec::new();
        let mut refused = 0;
        for number in 1_000..1_020 {
            match members[0].handle.propose(command(number)).await {
                Ok(_) => accepted.push(command(number)),
                Err(_) => refused += 1,
            }
        }
        assert!(
            refused >= 20 - syncs,
            "{refused} refused after {syncs} syncs"
        );
        let confirmed = members[0].handle.confirm_leadership().await;
        assert_eq!(confirmed, Err(handle::ProposeError::Stopped));
        let bodies = recover_bodies(&members[0].disk, syncs);
        for command in &accepted {
            assert!(
                contains(&bodies, command),
                "{command:?} after {syncs} syncs"
            );
        }
    }
}

/// A replica whose disk failed must not keep reporting its previous role.
#[tokio::test]
async fn status_shows_that_a_replica_stopped() {
    let (_mesh, members) = group::bootstrap(1).await;
    group::leader(&members).await;
    members[0].disk.fail_sync_after(0);
    assert!(members[0].handle.propose(command(1)).await.is_err());
    let mut status = members[0].handle.subscribe();
    while status.changed().await.is_ok() {}
    assert_eq!(members[0].handle.status().role, status::Role::Stopped);
    assert_eq!(members[0].handle.status().is_repaired, None);
}

/// A full disk must stop the replica in the same way as a failing one.
#[tokio::test]
async fn command_on_a_full_disk_is_never_acknowledged() {
    let (_mesh, members) = group::bootstrap(1).await;
    group::leader(&members).await;
    members[0].disk.set_capacity(3_000);
    let mut accepted = Vec::new();
    let err = loop {
        let command = vec![accepted.len() as u8; 64];
        match members[0].handle.propose(command.clone()).await {
            Ok(_) => accepted.push(command),
            Err(err) => break err,
        }
    };
    assert_eq!(err, handle::ProposeError::Unknown);
    assert!(accepted.len() > 5);
    let bodies = recover_bodies(&members[0].disk, 1);
    assert!(accepted.iter().all(|command| contains(&bodies, command)));
}

/// A failure of the leader's disk between commands must not lose any accepted command.
#[tokio::test]
async fn group_keeps_accepted_commands_when_the_disk_of_its_leader_fails() {
    let (_mesh, mut members) = group::bootstrap(3).await;
    let first = group::leader(&members).await;
    members[first].disk.fail_sync_after(7);
    let mut accepted = Vec::new();
    for number in 0..20 {
        if members[first].handle.propose(command(number)).await.is_ok() {
            accepted.push(command(number));
        }
    }
    assert!(accepted.len() < 20);
    drop(members.remove(first));
    let second = group::leader(&members).await;
    members[second]
        .handle
        .propose(command(99))
        .await
        .expect("accepted");
    let commands = members[second].commands.lock().expect("lock").clone();
    let kept: Vec<_> = commands.iter().filter(|c| accepted.contains(c)).collect();
    assert_eq!(kept, accepted.iter().collect::<Vec<_>>());
}

/// One sync per command would limit the throughput of the group to the sync rate of its disk.
#[tokio::test]
async fn queued_commands_share_a_sync() {
    let (_mesh, members) = group::bootstrap(1).await;
    group::leader(&members).await;
    let syncs_before = members[0].disk.sync_count();
    let mut proposals = tokio::task::JoinSet::new();
    for number in 0..2_000 {
        let handle = members[0].handle.clone();
        proposals.spawn(async move { handle.propose(command(number)).await });
    }
    let replies = proposals.join_all().await;
    assert!(replies.iter().all(Result::is_ok));
    let syncs = members[0].disk.sync_count() - syncs_before;
    assert!(syncs < 1_000, "{syncs} syncs for 2000 commands");
}

/// An unbounded log would fill the disk and make recovery ever slower.
#[tokio::test]
async fn snapshot_bounds_the_log_and_restores_the_state() {
    let mesh = sync::Arc::new(group::Mesh::default());
    let disk = fake::FakeDisk::new();
    let mut cfg = group::config(1);
    cfg.snapshot_after_bytes = 2_000;
    let member = group::start(&mesh, cfg.clone(), &disk);
    let bootstrapped = member.handle.bootstrap(group::set(1), true).await;
    bootstrapped.expect("group is bootstrapped");
    let members = [member];
    group::leader(&members).await;
    for number in 0..500 {
        let reply = members[0].handle.propose(command(number)).await;
        reply.expect("accepted");
    }
    members[0].handle.stop().await;
    let opened = store::Store::open(Box::new(disk.clone()), cfg.store).expect("opens");
    let store::Opened::Replica(_, recovered) = opened else {
        panic!("folder is blank");
    };
    assert!(recovered.entries.len() < 300, "{}", recovered.entries.len());
    let members = [group::start(&mesh, cfg, &disk)];
    group::leader(&members).await;
    let commands = members[0].commands.lock().expect("lock").clone();
    assert_eq!(commands, (0..500).map(command).collect::<Vec<_>>());
}

/// A graceful stop must not cost the group an election timeout.
#[tokio::test]
async fn stop_transfers_leadership() {
    let (_mesh, mut members) = group::bootstrap(3).await;
    let first = group::leader(&members).await;
    members[first]
        .handle
        .propose(command(1))
        .await
        .expect("accepted");
    let term = members[first].handle.status().term;
    members[first].handle.stop().await;
    let stopped = members.remove(first);
    assert_eq!(
        stopped.handle.propose(command(2)).await,
        Err(handle::ProposeError::Stopped)
    );
    assert_ne!(stopped.handle.status().role, status::Role::Leader);
    let second = group::leader(&members).await;
    let new_term = members[second].handle.status().term;
    assert_eq!(new_term.0, term.0 + 1, "more than one election");
}

/// Clock that counts its reads.
struct CountingClock {
    inner: system::SystemClock,
    count: atomic::AtomicU64,
}

impl clock::Clock for CountingClock {
    fn now(&self) -> clock::Millis {
        self.count.fetch_add(1, atomic::Ordering::Relaxed);
        self.inner.now()
    }
}

/// A thread that spins while it waits takes a core away from other threads.
#[tokio::test]
async fn idle_group_does_not_spin() {
    let mesh = sync::Arc::new(group::Mesh::default());
    let counting = sync::Arc::new(CountingClock {
        inner: system::SystemClock::start(),
        count: atomic::AtomicU64::new(0),
    });
    let disk = Box::new(fake::FakeDisk::new());
    let mut deps = group::dependencies(&mesh, Box::new(group::CommandList::default()), disk, 1);
    deps.clock = sync::Arc::clone(&counting) as sync::Arc<dyn clock::Clock>;
    let started = driver::start(group::config(1), deps).expect("replica starts");
    let bootstrapped = started.handle.bootstrap(group::set(1), true).await;
    bootstrapped.expect("group is bootstrapped");
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let reads_before = counting.count.load(atomic::Ordering::Relaxed);
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    let reads = counting.count.load(atomic::Ordering::Relaxed) - reads_before;
    // A heartbeat every 50 ms reads the clock a few times.
    assert!(reads < 300, "{reads} reads of the clock in 0.9 s");
}
