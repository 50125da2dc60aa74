//! Claims of servers that the registry overrules, against delayed announcements.

use nutmegdale_base::clock;
use nutmegdale_registry::{claim, server, state};

const ADDRESS: &str = "10.0.0.1:80";

fn announcement(id: &str, born: u64, sequence: u64) -> server::Announcement {
    server::Announcement {
        id: id.to_owned(),
        born,
        sequence,
        service: "reads".to_owned(),
        address: ADDRESS.parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 4,
        state: server::State::Ready,
        cold_left: clock::Millis::ZERO,
        version: String::new(),
    }
}

fn draining(id: &str, born: u64, sequence: u64) -> server::Announcement {
    server::Announcement {
        state: server::State::Draining,
        ..announcement(id, born, sequence)
    }
}

/// Registry and leader, which hear of announcements at given times.
#[derive(Default)]
struct Leader {
    state: state::State,
    claims: claim::Claims,
    heard: std::collections::HashMap<String, clock::Millis>,
    term: u64,
}

impl Leader {
    fn apply(&mut self, cmd: state::Command) {
        let index = self.state.index + 1;
        self.state.apply(index, cmd, &mut Vec::new());
    }

    /// Takes an announcement in as a coordinator does; returns whether it is a proven claim.
    fn announce(&mut self, now: u64, new: server::Announcement) -> bool {
        let now = clock::Millis(now);
        let Some(claim) = self.state.claim(&new) else {
            self.heard.insert(new.id.clone(), now);
            let old = self.state.servers.get(&new.id);
            let old = old.map(|record| (&record.announcement, clock::Millis::ZERO));
            if server::changes_record(&new, old) {
                self.apply(state::Command::Announce(new));
            }
            return false;
        };
        let heard = claim.rivals.iter().filter_map(|(id, _)| self.heard.get(id));
        let heard = heard.max().copied();
        let is_proven = self.claims.observe(now, self.term, &claim, heard);
        if is_proven {
            self.apply(state::Command::Readmit(claim));
        }
        is_proven
    }

    fn record(&self, id: &str) -> (u64, server::State) {
        let announcement = &self.state.servers[id].announcement;
        (announcement.born, announcement.state)
    }
}

/// Guards against a server whose clock was set back and that is ignored for good, and against
/// taking delayed announcements of an earlier start for it.
#[test]
fn server_with_a_clock_set_back_is_recorded_once_the_later_start_is_silent() {
    let mut leader = Leader::default();
    leader.announce(0, announcement("s", 100, 7));
    for n in 0..7 {
        assert!(!leader.announce(1_000 + n * 1_000, announcement("s", 90, n)));
    }
    // The recorded start is alive, so the others were delayed ones.
    leader.announce(8_000, announcement("s", 100, 8));
    let mut proven_at = None;
    for n in 7..30 {
        let now = 2_000 + n * 1_000;
        if leader.announce(now, announcement("s", 90, n)) {
            proven_at = Some(now);
            break;
        }
    }
    assert_eq!(proven_at, Some(19_000), "10 s after the first one since");
    assert_eq!(leader.record("s"), (90, server::State::Ready));
    // A living later start takes its place back at once.
    leader.announce(20_000, announcement("s", 100, 9));
    assert_eq!(leader.record("s"), (100, server::State::Ready));
}

/// Guards against a claim that is proven by repeated, reordered or sparse announcements, or by those
/// that different leaders heard.
#[test]
fn only_announcements_in_a_row_are_a_proof() {
    let counts = || 1..40_u64;
    let repeated: Vec<_> = counts().map(|n| (n * 1_000, 5)).collect();
    let reordered: Vec<_> = counts().map(|n| (n * 1_000, 50 - n)).collect();
    let sparse: Vec<_> = counts().map(|n| (n * 6_000, n)).collect();
    let few: Vec<_> = (0..4).map(|n| (1_000 + n * 4_000, n)).collect();
    for announcements in [repeated, reordered, sparse, few] {
        let mut leader = Leader::default();
        leader.announce(0, announcement("s", 100, 7));
        for (now, sequence) in &announcements {
            let is_proven = leader.announce(*now, announcement("s", 90, *sequence));
            assert!(!is_proven, "{announcements:?}");
        }
    }
    let mut leader = Leader::default();
    leader.announce(0, announcement("s", 100, 7));
    for n in 1..40 {
        leader.term = n / 8;
        assert!(!leader.announce(n * 1_000, announcement("s", 90, n)));
    }
}

/// Guards against requests to a server that drains under a lower start time, and against a delayed
/// notice of an earlier start that stops requests to the present one.
#[test]
fn draining_under_a_lower_start_time_stops_requests() {
    let mut leader = Leader::default();
    leader.announce(0, announcement("s", 100, 7));
    for n in 1..4 {
        leader.announce(n * 1_000, announcement("s", 90, n));
    }
    assert!(leader.announce(4_000, draining("s", 90, 4)));
    assert_eq!(leader.record("s"), (90, server::State::Draining));

    let mut leader = Leader::default();
    for n in 0..8 {
        leader.announce(n * 1_000, announcement("s", 100, n));
        assert!(!leader.announce(n * 1_000 + 500, draining("s", 90, 9)));
    }
    assert_eq!(leader.record("s"), (100, server::State::Ready));

    // Sent again by a server that was set back and drains at once.
    let mut leader = Leader::default();
    leader.announce(0, announcement("s", 100, 7));
    let resent = (1..6).find(|n| leader.announce(n * 1_000, draining("s", 90, 1)));
    assert_eq!(resent, Some(3));
}

/// Guards against one announcement of another writer that retires the real server at its address for
/// good, and against late ones of a former server that displace the one which uses its address now.
#[test]
fn server_retired_by_another_one_at_its_address_returns() {
    let mut leader = Leader::default();
    leader.announce(0, announcement("real", 100, 1));
    leader.announce(500, announcement("phantom", 200, 1));
    assert_eq!(leader.record("real"), (100, server::State::Gone));
    let returned = (1..30).find(|n| leader.announce(n * 1_000, announcement("real", 100, n + 1)));
    assert_eq!(returned, Some(11));
    assert_eq!(leader.record("real"), (100, server::State::Ready));
    assert_eq!(leader.record("phantom"), (200, server::State::Gone));

    let mut leader = Leader::default();
    leader.announce(0, announcement("former", 100, 1));
    for n in 1..30 {
        leader.announce(n * 1_000, announcement("present", 200, n));
        assert!(!leader.announce(n * 1_000 + 500, announcement("former", 100, n + 1)));
    }
    assert_eq!(leader.record("present"), (200, server::State::Ready));
}

/// Guards against a server that said that it leaves and returns by late announcements, also if
/// another one was announced at its address in between.
#[test]
fn server_that_left_has_no_claim() {
    let mut leader = Leader::default();
    leader.announce(0, announcement("a", 100, 1));
    leader.announce(1_000, announcement("b", 200, 1));
    leader.apply(state::Command::Leave("a".to_owned()));
    assert_eq!(leader.state.claim(&announcement("a", 100, 9)), None);

    let mut leader = Leader::default();
    leader.announce(0, announcement("a", 100, 1));
    leader.announce(500, draining("a", 100, 2));
    leader.announce(1_000, announcement("b", 200, 1));
    assert_eq!(leader.state.claim(&announcement("a", 100, 9)), None);
}

/// Guards against a proof that outlives what it is about: a rival that was recorded anew meanwhile.
#[test]
fn proof_about_a_changed_record_changes_nothing() {
    let mut leader = Leader::default();
    leader.announce(0, announcement("s", 100, 1));
    let claim = leader.state.claim(&announcement("s", 90, 5));
    let claim = claim.expect("a lower start time is a claim");
    leader.announce(500, announcement("s", 110, 1));
    leader.apply(state::Command::Readmit(claim));
    assert_eq!(leader.record("s"), (110, server::State::Ready));
}

/// Guards against snapshots of former builds that cannot be read, and against a changed encoding of
/// records that need no new field.
#[test]
fn records_of_former_builds_are_decoded() {
    #[derive(Debug, serde::Serialize, serde::Deserialize)]
    struct FormerRecord {
        announcement: server::Announcement,
        index: u64,
    }
    let former = FormerRecord {
        announcement: announcement("s", 100, 1),
        index: 3,
    };
    let former = rmp_serde::to_vec_named(&former).expect("a record can be encoded");
    let record: server::Record = rmp_serde::from_slice(&former).expect("the former fields");
    assert_eq!(record.replaced_by, None);
    assert_eq!(rmp_serde::to_vec_named(&record).ok(), Some(former));
    let mut replaced = record;
    replaced.replaced_by = Some("other".to_owned());
    let encoded = rmp_serde::to_vec_named(&replaced).expect("a record can be encoded");
    rmp_serde::from_slice::<FormerRecord>(&encoded).expect("former builds ignore the field");
    assert_eq!(rmp_serde::from_slice(&encoded).ok(), Some(replaced));
}
