//! Tests of coordinators that are replaced by others at new addresses.

use nutmegdale_base::clock;
use nutmegdale_base::rng::{self, Rng};
use nutmegdale_consensus::{status, types};
use nutmegdale_coordinator::gossip;
use nutmegdale_rpc::{client, error};
use nutmegdale_storage::fake;
use nutmegdale_testkit::cluster;
use std::time;

mod group;

/// Time from the loss of a coordinator until its replacement starts.
const REPLACEMENT_DELAY: time::Duration = time::Duration::from_secs(1);
/// Time from the start of a replacement until the next coordinator may be lost.
const NEXT_LOSS_DELAY: time::Duration = time::Duration::from_secs(6);

/// Guards against lost voters that pile up: each of them raised the quorum until it had been
/// unreachable for 8 s, so that a second loss, after the first replacement had caught up, left the
/// group without a quorum for good.
#[tokio::test(flavor = "multi_thread")]
async fn group_survives_replacements_one_after_the_other() {
    let mut group = group::Group::start(3).await;
    for _ in 0..2 {
        group.stop(0).await;
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        group.add();
        tokio::time::sleep(NEXT_LOSS_DELAY).await;
    }
    group.configure(1, 2).await;
}

/// Size of the random part of a document, in hexadecimal digits: half of it remains in the log.
const PADDING_DIGITS_COUNT: usize = 2_800_000;
/// Number of large documents. With more than 4 MiB of the log, no batch holds all of it.
const LARGE_VERSIONS: std::ops::RangeInclusive<u64> = 2..=9;
/// Size of the files at which the disk of a replica that catches up stalls: more than one batch and
/// less than the log.
const STALL_BYTES: usize = 7_000_000;
/// Duration of the stall, in which several rounds of gossip take place.
const STALL: time::Duration = time::Duration::from_secs(2);

fn padding(rng: &mut rng::SplitMix64) -> String {
    let words = (0..PADDING_DIGITS_COUNT / 16).map(|_| format!("{:016x}", rng.next_u64()));
    words.collect()
}

/// Guards against a replica that deletes its data while it catches up: a statement of the leader
/// from before its admission names more committed entries than it holds and does not list it.
#[tokio::test(flavor = "multi_thread")]
async fn replica_that_catches_up_slowly_keeps_its_data() {
    let mut group = group::Group::start(3).await;
    let mut rng = rng::SplitMix64::new(1);
    for version in LARGE_VERSIONS {
        let padding = padding(&mut rng);
        group.configure_padded(version - 1, version, &padding).await;
    }
    let disk = fake::FakeDisk::new();
    disk.stall_beyond(STALL_BYTES);
    group.restart(group.find(false), disk.clone()).await;
    let replica = &group.members[2];
    let is_stalled = || async { disk.is_stalled().then_some(()) };
    cluster::eventually(group::WAIT, "the log exceeds the disk", is_stalled).await;
    assert_eq!(replica.role(), status::Role::Learner);
    tokio::time::sleep(STALL).await;
    assert!(!replica.has_ended(), "the replica deleted its data");
    disk.resume();
    replica.current_index(*LARGE_VERSIONS.end()).await;
}

/// Time for which an outdated message arrives again and again; the leader repairs the group twice a
/// second.
const REPEATED_FOR: time::Duration = time::Duration::from_secs(2);

/// Guards against the removal of a working member on an outdated word: a message of a blank replica
/// that ran at its address before, held up on its way.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_message_of_a_blank_replica_removes_no_member() {
    let group = group::Group::start(3).await;
    let (leader, follower) = (
        &group.members[group.find(true)],
        &group.members[group.find(false)],
    );
    let message = gossip::Message {
        sender: gossip::PeerInfo {
            address: follower.address,
            public: follower.address,
            zone: "zone".to_owned(),
            replica: types::ReplicaId(99),
            is_blank: true,
            leads: None,
        },
        entries: None,
        announced: Vec::new(),
        ready_digest: 0,
        peers_digest: 0,
    };
    let client = client::Client::new("token");
    let members_before = leader.operations.status().members.clone();
    let start = time::Instant::now();
    while start.elapsed() < REPEATED_FOR {
        let timeout = clock::Millis(1_000);
        let call = client.call_compact(leader.address, "gossip-confirmed", &message, timeout);
        let reply: error::Result<gossip::Reply> = call.await;
        reply.expect("a reply");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert_eq!(leader.operations.status().members, members_before);
    assert!(!follower.has_ended(), "the follower deleted its data");
}
