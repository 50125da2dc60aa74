//! Guards against calls that miss the leader of a ledger group, and against lost replies that are
//! mistaken for failures: the call is retried, and the caller learns that an earlier copy of the
//! claim may still be applied.

use bytes::Bytes;
use nutmegdale_base::{clock, entity};
use nutmegdale_catalogue::{config, spec};
use nutmegdale_entry::ledger_client::{self, ClaimStore};
use nutmegdale_ledger::{command, key, state};
use nutmegdale_membership::directory;
use nutmegdale_routing::{permit, view};
use nutmegdale_rpc::{ledger, listen, message, server};
use nutmegdale_testkit::addresses;
use std::{collections, net, sync};
use tokio::sync::watch;

const TOKEN: &str = "cluster-token-for-tests";
const TIMEOUT: clock::Millis = clock::Millis(5_000);

/// Behaviour of a fake control process for one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// Applies the command and replies.
    Done,
    /// Applies the command, but the reply is lost.
    LoseReply,
    /// Redirects to another leader.
    Redirect(net::SocketAddr),
    /// Replies that it is not the leader and knows none.
    NoLeader,
    /// Rejects the call.
    Refused,
}

/// Fake control process over a real state machine. It runs through its behaviours, then repeats
/// `Done`.
struct FakeControl {
    behaviours: sync::Mutex<collections::VecDeque<Behaviour>>,
    state: sync::Arc<sync::Mutex<state::State>>,
}

impl server::Handler for FakeControl {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        let behaviour = self.behaviours.lock().expect("behaviours").pop_front();
        let behaviour = behaviour.unwrap_or(Behaviour::Done);
        let reply = (|| {
            let unreadable = (hyper::StatusCode::OK, String::new());
            let not_leader = |leader| ledger::Reply::<()>::NotLeader { leader };
            match behaviour {
                Behaviour::Redirect(leader) => return server::encode(&not_leader(Some(leader))),
                Behaviour::NoLeader => return server::encode(&not_leader(None)),
                Behaviour::Refused => return Err((hyper::StatusCode::FORBIDDEN, String::new())),
                Behaviour::Done | Behaviour::LoseReply => {}
            }
            assert_eq!(name, ledger::CLAIM);
            let req: ledger::Request<command::Claim> = server::decode(&body)?;
            assert_eq!(req.region, "north");
            let mut state = self.state.lock().expect("state");
            let command::Reply::Claim(reply) = state.apply(command::Command::Claim(req.body))
            else {
                panic!("reply to a claim is of another kind");
            };
            if behaviour == Behaviour::LoseReply {
                // To the client, an unreadable reply is the same as a lost one.
                return Err(unreadable);
            }
            server::encode(&ledger::Reply::Done(reply))
        })();
        Some(Box::pin(std::future::ready(reply)))
    }
}

struct FakeGroup {
    remote: ledger_client::RemoteStore,
    addresses: Vec<net::SocketAddr>,
    _stop: watch::Sender<bool>,
}

/// Starts two fakes in region north; `behaviours` gets the addresses of both.
async fn start(behaviours: impl Fn(&[net::SocketAddr]) -> Vec<Vec<Behaviour>>) -> FakeGroup {
    let mut free = addresses::Addresses::reserve();
    let addresses: Vec<_> = (0..2).map(|_| free.next_address()).collect();
    let state = state::State::new(state::Bounds::default());
    let state = sync::Arc::new(sync::Mutex::new(state));
    let (stop, stop_rx) = watch::channel(false);
    for (address, behaviours) in addresses.iter().zip(behaviours(&addresses)) {
        let fake = sync::Arc::new(FakeControl {
            behaviours: sync::Mutex::new(behaviours.into()),
            state: sync::Arc::clone(&state),
        });
        let service = sync::Arc::new(server::CallService::new(TOKEN, fake));
        let listener = listen::bind(*address).await.expect("listener");
        let bounds = listen::Bounds::default();
        let drain = clock::Millis(100);
        tokio::spawn(listen::serve(
            listener,
            service,
            bounds,
            stop_rx.clone(),
            drain,
        ));
    }
    let member = |(n, address): (usize, &net::SocketAddr)| message::ControlMember {
        name: format!("control-{n}"),
        region: "north".to_owned(),
        address: *address,
    };
    let mut members: Vec<_> = addresses.iter().enumerate().map(member).collect();
    // Nothing listens at this address; a client that calls it has left the region.
    members.push(message::ControlMember {
        name: "control-9".to_owned(),
        region: "south".to_owned(),
        address: free.next_address(),
    });
    let remote = ledger_client::RemoteStore::new(TOKEN);
    remote.set_control(message::ControlList::new(members));
    FakeGroup {
        remote,
        addresses,
        _stop: stop,
    }
}

fn ledger_region() -> ledger_client::LedgerRegion {
    let mut cfg = config::Config::default();
    let zone = config::ZoneState {
        region: "north".to_owned(),
        out: false,
    };
    cfg.zones.insert("zone-a".to_owned(), zone);
    let place = view::Locality {
        zone: "zone-a",
        region: "north",
    };
    let view = view::View::build(&cfg, &directory::Directory::new(), place);
    let region: entity::Region = view.local_region.expect("region");
    let permit = permit::RegionSet::ALL.permit(region).expect("permit");
    ledger_client::LedgerRegion::new(&view, permit)
}

fn claim(attempt: u64) -> command::Claim {
    command::Claim {
        key: key::KeyId::new("account", "route", "k"),
        digest: key::Digest::of_body(b"request"),
        claimant: command::Claimant {
            entry: "entry-0".to_owned(),
            boot: 1,
            attempt,
        },
        run_ms: clock::Millis(10_000),
        keep_ms: clock::Millis::from_secs(one_day().secs),
    }
}

fn one_day() -> spec::Span {
    "1d".parse().expect("span")
}

#[tokio::test]
async fn leader_is_found_after_redirects_and_rejections() {
    let group = start(|addresses| {
        vec![
            vec![Behaviour::NoLeader, Behaviour::Redirect(addresses[1])],
            vec![
                Behaviour::Refused,
                Behaviour::Redirect(addresses[0]),
                Behaviour::Done,
            ],
        ]
    })
    .await;
    let response = group
        .remote
        .claim(&ledger_region(), &claim(1), TIMEOUT)
        .await;
    let response = response.expect("reply");
    assert_eq!(response.reply, command::ClaimReply::Granted);
    assert!(
        !response.may_arrive_late,
        "rejected calls cannot be applied later"
    );
}

#[tokio::test]
async fn lost_reply_is_retried_and_reported() {
    let group = start(|_| vec![vec![Behaviour::LoseReply], vec![Behaviour::LoseReply]]).await;
    let response = group
        .remote
        .claim(&ledger_region(), &claim(1), TIMEOUT)
        .await;
    let response = response.expect("reply");
    // The first copy was applied; retries of the same attempt hold the same claim.
    assert_eq!(response.reply, command::ClaimReply::Granted);
    assert!(response.may_arrive_late);
    let other = group
        .remote
        .claim(&ledger_region(), &claim(2), TIMEOUT)
        .await;
    let other = other.expect("reply");
    assert_eq!(other.reply, command::ClaimReply::Pending(claim(1).claimant));
    assert!(!other.may_arrive_late);
}

#[tokio::test]
async fn unreachable_leader_and_lost_reply_have_different_errors() {
    let timeout = clock::Millis(300);
    let group = start(|_| {
        vec![
            vec![Behaviour::NoLeader; 1_000],
            vec![Behaviour::NoLeader; 1_000],
        ]
    })
    .await;
    let result = group
        .remote
        .claim(&ledger_region(), &claim(1), timeout)
        .await;
    assert_eq!(result, Err(ledger_client::Error::NotDone));
    let group = start(|_| {
        vec![
            vec![Behaviour::LoseReply; 1_000],
            vec![Behaviour::NoLeader; 1_000],
        ]
    })
    .await;
    let result = group
        .remote
        .claim(&ledger_region(), &claim(1), timeout)
        .await;
    assert_eq!(result, Err(ledger_client::Error::Uncertain));
    assert_eq!(group.addresses.len(), 2);
}
