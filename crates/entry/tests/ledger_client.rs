//! Guards the search for the leader of a ledger group and the meaning of lost replies: a claim
//! whose reply was lost must be repeated, and a claimant must learn that a copy may linger.

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
const PATIENCE: clock::Millis = clock::Millis(5_000);

/// What a control process does with one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    /// Applies it and replies.
    Done,
    /// Applies it, but the reply is lost.
    Lost,
    /// Names another leader.
    Redirect(net::SocketAddr),
    /// Names no leader.
    NoLeader,
    /// Refuses it.
    Refused,
}

/// Fake of a control process: fates in turn, then `Done`, over a real state machine.
struct Fake {
    fates: sync::Mutex<collections::VecDeque<Fate>>,
    state: sync::Arc<sync::Mutex<state::State>>,
}

impl server::Handler for Fake {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        let fate = self.fates.lock().expect("fates").pop_front();
        let fate = fate.unwrap_or(Fate::Done);
        let reply = (|| {
            let lost = (hyper::StatusCode::OK, String::new());
            let no_reply = |leader| ledger::Reply::<()>::NotLeader { leader };
            match fate {
                Fate::Redirect(leader) => return server::encode(&no_reply(Some(leader))),
                Fate::NoLeader => return server::encode(&no_reply(None)),
                Fate::Refused => return Err((hyper::StatusCode::FORBIDDEN, String::new())),
                Fate::Done | Fate::Lost => {}
            }
            assert_eq!(name, ledger::CLAIM);
            let req: ledger::Request<command::Claim> = server::decode(&body)?;
            assert_eq!(req.region, "north");
            let mut state = self.state.lock().expect("state");
            let command::Reply::Claim(reply) = state.apply(command::Command::Claim(req.body))
            else {
                panic!("claim got another reply");
            };
            if fate == Fate::Lost {
                // A reply that cannot be read is as good as none.
                return Err(lost);
            }
            server::encode(&ledger::Reply::Done(reply))
        })();
        Some(Box::pin(std::future::ready(reply)))
    }
}

struct Fakes {
    remote: ledger_client::Remote,
    addresses: Vec<net::SocketAddr>,
    _stop: watch::Sender<bool>,
}

/// Starts fakes in region north whose fates are given by the places of the others.
async fn start(fates: impl Fn(&[net::SocketAddr]) -> Vec<Vec<Fate>>) -> Fakes {
    let mut free = addresses::Addresses::reserve();
    let addresses: Vec<_> = (0..2).map(|_| free.next_address()).collect();
    let state = state::State::new(state::Bounds::default());
    let state = sync::Arc::new(sync::Mutex::new(state));
    let (stop, stop_rx) = watch::channel(false);
    for (address, fates) in addresses.iter().zip(fates(&addresses)) {
        let fake = sync::Arc::new(Fake {
            fates: sync::Mutex::new(fates.into()),
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
    // Nothing listens there; a client that asks it has left the region.
    members.push(message::ControlMember {
        name: "control-9".to_owned(),
        region: "south".to_owned(),
        address: free.next_address(),
    });
    let remote = ledger_client::Remote::new(TOKEN);
    remote.set_control(message::ControlList::new(members));
    Fakes {
        remote,
        addresses,
        _stop: stop,
    }
}

fn home() -> ledger_client::Home {
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
    ledger_client::Home::new(&view, permit)
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
        keep_ms: clock::Millis::from_secs(spec_day().secs),
    }
}

fn spec_day() -> spec::Span {
    "1d".parse().expect("span")
}

#[tokio::test]
async fn the_leader_is_found_through_redirections_and_refusals() {
    let fakes = start(|to| {
        vec![
            vec![Fate::NoLeader, Fate::Redirect(to[1])],
            vec![Fate::Refused, Fate::Redirect(to[0]), Fate::Done],
        ]
    })
    .await;
    let claimed = fakes.remote.claim(&home(), &claim(1), PATIENCE).await;
    let claimed = claimed.expect("reply");
    assert_eq!(claimed.reply, command::ClaimReply::Granted);
    assert!(
        !claimed.may_linger,
        "refused calls cannot take effect later"
    );
}

#[tokio::test]
async fn a_lost_reply_is_repeated_and_reported() {
    let fakes = start(|_| vec![vec![Fate::Lost], vec![Fate::Lost]]).await;
    let claimed = fakes.remote.claim(&home(), &claim(1), PATIENCE).await;
    let claimed = claimed.expect("reply");
    // The first copy took effect; the same attempt holds the same claim.
    assert_eq!(claimed.reply, command::ClaimReply::Granted);
    assert!(claimed.may_linger);
    let other = fakes.remote.claim(&home(), &claim(2), PATIENCE).await;
    let other = other.expect("reply");
    assert_eq!(other.reply, command::ClaimReply::Pending(claim(1).claimant));
    assert!(!other.may_linger);
}

#[tokio::test]
async fn an_unreached_record_and_a_lost_reply_are_told_apart() {
    let patience = clock::Millis(300);
    let fakes = start(|_| vec![vec![Fate::NoLeader; 1_000], vec![Fate::NoLeader; 1_000]]).await;
    let failed = fakes.remote.claim(&home(), &claim(1), patience).await;
    assert_eq!(failed, Err(ledger_client::Error::NotDone));
    let fakes = start(|_| vec![vec![Fate::Lost; 1_000], vec![Fate::NoLeader; 1_000]]).await;
    let failed = fakes.remote.claim(&home(), &claim(1), patience).await;
    assert_eq!(failed, Err(ledger_client::Error::Uncertain));
    assert_eq!(fakes.addresses.len(), 2);
}
