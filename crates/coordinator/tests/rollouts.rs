//! Orders of rollouts through a group of coordinators that loses members.

mod group;

use group::{Group, WAIT};
use nutmegdale_base::clock;
use nutmegdale_coordinator::{machine, operations, rollouts};
use nutmegdale_registry::{rollout, state};
use nutmegdale_replica::machine::StateMachine;
use nutmegdale_rollout::plan;
use nutmegdale_testkit::cluster;
use std::sync;

fn order(target: &str, secs: u64) -> rollout::Order {
    rollout::Order {
        service: "service".to_owned(),
        target: target.to_owned(),
        duration: clock::Millis::from_secs(secs),
    }
}

/// Returns the rollout of the service once it is as expected.
async fn wait_rollout(
    group: &Group,
    what: &str,
    is_expected: impl Fn(&rollout::Rollout) -> bool,
) -> rollout::Rollout {
    cluster::eventually(WAIT, what, || async {
        let rollout = group.members[0].operations.rollout("service").await;
        rollout
            .ok()
            .flatten()
            .filter(|rollout| is_expected(rollout))
    })
    .await
}

/// Guards against a resent order that starts a second rollout or is refused, also at another
/// coordinator and after the first has ended.
#[tokio::test(flavor = "multi_thread")]
async fn resent_order_is_acknowledged_again() {
    let group = Group::start(3).await;
    let start = |member: usize, order| group.members[member].operations.start_rollout(order);
    let accepted = Ok(rollouts::Started::Accepted);
    for member in 0..3 {
        assert_eq!(start(member, order("v2", 1)).await, accepted);
    }
    assert_eq!(
        start(1, order("v3", 1)).await,
        Ok(rollouts::Started::Conflict)
    );
    let unknown = rollout::Order {
        service: "unknown".to_owned(),
        ..order("v2", 1)
    };
    assert_eq!(
        start(2, unknown).await,
        Ok(rollouts::Started::UnknownService)
    );
    let ended = wait_rollout(&group, "end", |rollout| !rollout.stage.is_running()).await;
    assert_eq!(ended.stage, plan::Stage::RolledBack, "there is no server");
    assert_eq!(start(0, order("v2", 1)).await, accepted);
    let read = group.members[2].operations.rollout("service").await;
    assert_eq!(read, Ok(Some(ended)));
    assert_eq!(start(0, order("v2", 2)).await, accepted, "a new order");
}

/// Guards against an acknowledged order that is lost, or never ends, when its leader is lost.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_ends_after_the_loss_of_its_leader() {
    let mut group = Group::start(3).await;
    let leader = group.find(true);
    let started = group.members[leader]
        .operations
        .start_rollout(order("v2", 3));
    assert_eq!(started.await, Ok(rollouts::Started::Accepted));
    group.stop(leader).await;
    wait_rollout(&group, "order", |rollout| rollout.target == "v2").await;
    let ended = wait_rollout(&group, "end", |rollout| !rollout.stage.is_running()).await;
    assert_eq!(ended.stage, plan::Stage::RolledBack);
}

/// Guards against a power failure after which an order is lost or its time starts again.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_continues_after_a_restart_of_all() {
    let mut group = Group::start(3).await;
    let started = group.members[0].operations.start_rollout(order("v2", 6));
    assert_eq!(started.await, Ok(rollouts::Started::Accepted));
    wait_rollout(&group, "elapsed time", |r| r.elapsed > clock::Millis::ZERO).await;
    let disks: Vec<_> = group.members.iter().map(|m| m.disk.clone()).collect();
    for disk in disks {
        group.restart(0, disk).await;
    }
    let known = wait_rollout(&group, "order", |_| true).await;
    assert!(known.elapsed >= clock::Millis(2_000), "{known:?}");
    let ended = wait_rollout(&group, "end", |rollout| !rollout.stage.is_running()).await;
    assert!(ended.elapsed >= clock::Millis(4_000), "{ended:?}");
}

/// Guards against a leader that loses the time of each commit, and completes too late, and against a
/// replica that starts from zero after it has replayed the log.
#[test]
fn time_since_an_order_loses_no_commit() {
    let manual = sync::Arc::new(clock::ManualClock::new(clock::Millis(50_000)));
    let shared = machine::Shared::new(manual.clone());
    let mut replica = machine::Machine::new(sync::Arc::clone(&shared));
    let mut apply = |index, cmd| {
        let cmd = rmp_serde::to_vec(&cmd).expect("a command can be encoded");
        replica.apply(index, &cmd, &mut Vec::new());
    };
    let mark = |elapsed| {
        state::Command::AdvanceRollout(rollout::Advance {
            service: "service".to_owned(),
            order: 1,
            stage: plan::Stage::Canary,
            elapsed: clock::Millis(elapsed),
        })
    };
    let start = rollout::Start {
        order: order("v2", 12),
        previous: 0,
    };
    let elapsed = || shared.running_rollouts()[0].elapsed;
    apply(1, state::Command::StartRollout(start));
    manual.advance(clock::Millis(2_300));
    apply(2, mark(2_000));
    assert_eq!(elapsed(), clock::Millis(2_300), "the commit took 300 ms");
    apply(3, mark(6_000));
    manual.advance(clock::Millis(100));
    assert_eq!(
        elapsed(),
        clock::Millis(6_100),
        "a replica that lags behind"
    );
}

/// Guards against a state that no quorum confirms.
#[tokio::test(flavor = "multi_thread")]
async fn state_is_not_read_without_a_quorum() {
    let mut group = Group::start(3).await;
    let started = group.members[0].operations.start_rollout(order("v2", 12));
    assert_eq!(started.await, Ok(rollouts::Started::Accepted));
    group.stop(0).await;
    group.stop(0).await;
    cluster::eventually(WAIT, "no quorum", || async {
        let read = group.members[0].operations.rollout("service").await;
        matches!(read, Err(operations::Error::Unavailable(_))).then_some(())
    })
    .await;
    let again = group.members[0].operations.start_rollout(order("v2", 12));
    assert!(again.await.is_err());
}
