//! Tests of coordinators whose disk stalls.

use std::time;

mod group;

/// Time within which an acknowledged change must reach every entry process.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Stalls the disk of a member, has a change acknowledged by the others, and checks that the
/// member does not pass itself off as current for longer than the limit.
async fn check_stall(group: &group::Group, stalled: usize) {
    let member = &group.members[stalled];
    let index = member.current_index(1).await;
    member.disk.stall();
    group.configure(1, 2).await;
    let acknowledged = time::Instant::now();
    loop {
        let reply = member.sync(index).await;
        if !reply.is_current {
            break;
        }
        assert!(
            acknowledged.elapsed() < APPLY_LIMIT,
            "current without the change {:?} after its acknowledgement",
            acknowledged.elapsed()
        );
    }
    member.disk.resume();
    member.current_index(2).await;
}

/// Guards against entry processes that stay with a follower which has missed changes: its published
/// status still names a leader while its thread waits for the disk.
#[tokio::test(flavor = "multi_thread")]
async fn follower_with_a_stalled_disk_is_not_current() {
    let group = group::Group::start(3).await;
    check_stall(&group, group.find(false)).await;
}

/// Guards against entry processes that follow a replaced leader: its published status still says
/// that it leads while its thread waits for the disk.
#[tokio::test(flavor = "multi_thread")]
async fn leader_with_a_stalled_disk_is_not_current() {
    let group = group::Group::start(3).await;
    check_stall(&group, group.find(true)).await;
}

/// Guards against a coordinator that is taken for stale only because its disk stalls, which would
/// move its entry processes to another zone although nothing has changed.
#[tokio::test(flavor = "multi_thread")]
async fn follower_that_missed_nothing_stays_current() {
    let group = group::Group::start(3).await;
    let member = &group.members[group.find(false)];
    let index = member.current_index(1).await;
    member.disk.stall();
    let start = time::Instant::now();
    while start.elapsed() < 2 * APPLY_LIMIT {
        assert!(member.sync(index).await.is_current);
    }
    member.disk.resume();
}
