//! Tests of the encoding of messages between processes of different builds.

use nutmegdale_base::clock;
use nutmegdale_consensus::types;
use nutmegdale_coordinator::{entries, gossip};
use nutmegdale_registry::{feed, follow};

/// Reply to a sync, as builds without evidence decode it.
type OlderSyncReply = (
    bool,
    u64,
    bool,
    Vec<feed::Change>,
    Option<Vec<follow::Entry>>,
    Vec<follow::Coordinator>,
);
/// Reply to gossip, as builds without evidence decode it.
type OlderGossipReply = (
    gossip::PeerInfo,
    Option<Vec<gossip::PeerInfo>>,
    Option<Vec<entries::EntryStatus>>,
    bool,
);

fn sync_reply() -> follow::SyncReply {
    follow::SyncReply {
        is_current: true,
        index: 7,
        is_whole: false,
        changes: vec![feed::Change::ZonesOut(vec!["zone".to_owned()])],
        entries: Some(Vec::new()),
        coordinators: Vec::new(),
        confirmation_age: None,
    }
}

fn gossip_reply() -> gossip::Reply {
    gossip::Reply {
        sender: gossip::PeerInfo {
            address: "10.0.0.1:7000".parse().expect("an address"),
            public: "10.0.0.1:80".parse().expect("an address"),
            zone: "zone".to_owned(),
            replica: types::ReplicaId(1),
            is_blank: false,
            leads: Some(gossip::Group {
                term: types::Term(3),
                commit: types::Index(7),
                members: vec![types::ReplicaId(1)],
            }),
        },
        peers: None,
        ready: Some(Vec::new()),
        wants_entries: true,
        committed: None,
    }
}

/// Guards against an upgrade, process by process, in which older processes cannot decode the
/// replies of newer ones: without evidence, the replies have their former fields only.
#[test]
fn replies_without_evidence_are_decoded_by_older_builds() {
    let encoded = rmp_serde::to_vec(&sync_reply()).expect("a reply can be encoded");
    let older: OlderSyncReply = rmp_serde::from_slice(&encoded).expect("the former fields");
    assert_eq!((older.0, older.1), (true, 7));
    let encoded = rmp_serde::to_vec(&older).expect("a reply can be encoded");
    assert_eq!(rmp_serde::from_slice(&encoded).ok(), Some(sync_reply()));

    let encoded = rmp_serde::to_vec(&gossip_reply()).expect("a reply can be encoded");
    let older: OlderGossipReply = rmp_serde::from_slice(&encoded).expect("the former fields");
    let encoded = rmp_serde::to_vec(&older).expect("a reply can be encoded");
    assert_eq!(rmp_serde::from_slice(&encoded).ok(), Some(gossip_reply()));
}

/// Guards against evidence that is lost on its way.
#[test]
fn evidence_is_encoded() {
    let mut sync = sync_reply();
    sync.confirmation_age = Some(clock::Millis(300));
    let encoded = rmp_serde::to_vec(&sync).expect("a reply can be encoded");
    assert_eq!(rmp_serde::from_slice(&encoded).ok(), Some(sync));
    let mut gossip = gossip_reply();
    gossip.committed = Some(gossip::Committed {
        index: types::Index(7),
        quorum_age: clock::Millis(120),
    });
    let encoded = rmp_serde::to_vec(&gossip).expect("a reply can be encoded");
    assert_eq!(rmp_serde::from_slice(&encoded).ok(), Some(gossip));
}
