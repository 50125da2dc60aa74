//! Tests of announcements that no working server sends.

use nutmegdale_base::clock;
use nutmegdale_consensus::status;
use nutmegdale_coordinator::operations;
use nutmegdale_registry::{feed, server};
use nutmegdale_testkit::cluster;

mod group;

fn announcement(id: &str, born: u64, sequence: u64) -> server::Announcement {
    server::Announcement {
        id: id.to_owned(),
        born,
        sequence,
        service: "reads".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "zone".to_owned(),
        slots: 4,
        state: server::State::Ready,
        cold_left: clock::Millis::ZERO,
        version: String::new(),
    }
}

/// Guards against one odd announcement that keeps working servers out: one with the address of a
/// server and an implausibly late start, or with its identifier and an implausible sequence, would
/// win over everything that the server says afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn implausible_announcement_does_not_affect_other_servers() {
    let group = group::Group::start(1).await;
    let operations = &group.members[0].operations;
    let real = announcement("real", 1_777_000_000_000, 1);
    assert_eq!(operations.announce(real.clone()).await, Ok(()));
    let mut odd = vec![
        announcement("odd", u64::MAX, 1),
        announcement("real", real.born, u64::MAX),
        announcement("", real.born, 2),
        announcement(&"x".repeat(10_000), real.born, 2),
    ];
    for address in ["10.0.0.1:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80"] {
        let mut announcement = announcement("real", real.born, 2);
        announcement.address = address.parse().expect("an address");
        odd.push(announcement);
    }
    for slots in [0, u32::MAX] {
        let mut announcement = announcement("real", real.born, 2);
        announcement.slots = slots;
        odd.push(announcement);
    }
    let mut cold = announcement("real", real.born, 2);
    cold.cold_left = clock::Millis::MAX;
    odd.push(cold);
    for announcement in odd {
        let text = format!("{announcement:?}");
        let announced = operations.announce(announcement).await;
        assert!(
            matches!(announced, Err(operations::Error::Implausible(_))),
            "{announced:?} for {text}"
        );
    }
    let whole = group.members[0].sync(0).await;
    let is_real = |change: &feed::Change| *change == feed::Change::Server(real.clone());
    assert!(whole.changes.iter().any(is_real), "{:?}", whole.changes);
    let leaving = server::Announcement {
        state: server::State::Draining,
        ..announcement("real", real.born, 2)
    };
    assert_eq!(operations.announce(leaving.clone()).await, Ok(()));
    let whole = group.members[0].sync(0).await;
    let is_leaving = |change: &feed::Change| *change == feed::Change::Server(leaving.clone());
    assert!(whole.changes.iter().any(is_leaving), "{:?}", whole.changes);
}

/// Guards against a server whose clock was set back and that still gets requests after it drained,
/// whichever coordinator it reaches.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_with_a_clock_set_back_is_recorded() {
    let group = group::Group::start(3).await;
    let real = announcement("real", 1_777_000_000_000, 9);
    let leaving = server::Announcement {
        state: server::State::Draining,
        ..announcement("real", real.born - 1_000, 1)
    };
    let first = &group.members[0].operations;
    cluster::eventually(group::WAIT, "the announcement", || async {
        first.announce(real.clone()).await.ok()
    })
    .await;
    for member in &group.members {
        cluster::eventually(group::WAIT, "the record", || async {
            let changes = member.sync(0).await.changes;
            let is_real = |change: &feed::Change| *change == feed::Change::Server(real.clone());
            changes.iter().any(is_real).then_some(())
        })
        .await;
    }
    let follower = group
        .members
        .iter()
        .find(|m| m.role() != status::Role::Leader);
    let follower = follower.expect("one member leads");
    let refused = follower.operations.announce(leaving.clone()).await;
    assert_eq!(
        refused,
        Err(operations::Error::Unknown),
        "it may be delayed"
    );
    cluster::eventually(group::WAIT, "the notice of the server", || async {
        follower.operations.announce(leaving.clone()).await.ok()
    })
    .await;
    let is_leaving = |change: &feed::Change| *change == feed::Change::Server(leaving.clone());
    cluster::eventually(group::WAIT, "the changed record", || async {
        let changes = follower.sync(0).await.changes;
        changes.iter().any(is_leaving).then_some(())
    })
    .await;
}
