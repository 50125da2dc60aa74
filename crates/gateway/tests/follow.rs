//! Tests of how an entry process chooses the coordinator that it follows.

use bytes::Bytes;
use nutmegdale_base::clock;
use nutmegdale_gateway::{service, settings, state};
use nutmegdale_registry::{config, document, feed, follow};
use nutmegdale_rpc::{listen, server};
use nutmegdale_telemetry::{clock as telemetry_clock, log};
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpListener;
use tokio::sync::watch;

mod stub;

/// Coordinator whose registry holds one configuration.
#[derive(Debug)]
struct Coordinator {
    address: net::SocketAddr,
    zone: &'static str,
    version: atomic::AtomicU64,
    is_current: atomic::AtomicBool,
    is_silent: atomic::AtomicBool,
    /// Number of syncs that asked not to be held.
    unheld_count: atomic::AtomicUsize,
}

impl Coordinator {
    fn version(&self) -> u64 {
        self.version.load(atomic::Ordering::Relaxed)
    }

    async fn sync(&self, req: follow::SyncRequest, all: Vec<follow::Coordinator>) -> server::Reply {
        let is_current = || self.is_current.load(atomic::Ordering::Relaxed);
        let held_since = time::Instant::now();
        let is_unheld = usize::from(req.hold == clock::Millis::ZERO);
        self.unheld_count
            .fetch_add(is_unheld, atomic::Ordering::Relaxed);
        let hold = time::Duration::from_millis(req.hold.0);
        while is_current() && self.version() <= req.index && held_since.elapsed() < hold {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        while self.is_silent.load(atomic::Ordering::Relaxed) {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        let version = self.version();
        let change = feed::Change::Configuration {
            version,
            document: document::Document::pack(b"{}"),
        };
        server::encode_compact(&follow::SyncReply {
            is_current: is_current(),
            index: version,
            is_whole: false,
            changes: if version > req.index {
                vec![change]
            } else {
                Vec::new()
            },
            entries: None,
            coordinators: all,
            confirmation_age: is_current().then_some(clock::Millis(100)),
        })
    }
}

struct Handler {
    own: sync::Arc<Coordinator>,
    all: Vec<follow::Coordinator>,
}

impl server::Handler for Handler {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        if name != follow::SYNC_CONFIRMED {
            return None;
        }
        let (own, all) = (sync::Arc::clone(&self.own), self.all.clone());
        Some(Box::pin(async move {
            let req: follow::SyncRequest = server::decode(&body)?;
            own.sync(req, all).await
        }))
    }
}

/// Starts coordinators with version 1, one in each of the zones.
async fn start(
    zones: &[&'static str],
    stopped: &watch::Receiver<bool>,
) -> Vec<sync::Arc<Coordinator>> {
    let mut listeners = Vec::new();
    let mut coordinators = Vec::new();
    for zone in zones {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        coordinators.push(sync::Arc::new(Coordinator {
            address: listener.local_addr().expect("an address"),
            zone,
            version: atomic::AtomicU64::new(1),
            is_current: atomic::AtomicBool::new(true),
            is_silent: atomic::AtomicBool::new(false),
            unheld_count: atomic::AtomicUsize::new(0),
        }));
        listeners.push(listener);
    }
    let all = coordinators.iter().map(|c| follow::Coordinator {
        address: c.address,
        zone: c.zone.to_owned(),
    });
    let all: Vec<_> = all.collect();
    for (listener, own) in listeners.into_iter().zip(&coordinators) {
        let handler = Handler {
            own: sync::Arc::clone(own),
            all: all.clone(),
        };
        let service = server::CallService::new("token", sync::Arc::new(handler));
        let (service, stopped) = (sync::Arc::new(service), stopped.clone());
        let bounds = listen::Bounds::default();
        let drain = clock::Millis(100);
        tokio::spawn(listen::serve(listener, service, bounds, stopped, drain));
    }
    coordinators
}

/// Returns an address at which nothing listens.
async fn free_address() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// Waits until the entry process routes by `version`; returns how long that took.
async fn wait_version(shared: &state::Shared, version: u64) -> time::Duration {
    let start = time::Instant::now();
    while shared.table.load().config_version != version {
        let elapsed = start.elapsed();
        assert!(
            elapsed < time::Duration::from_secs(10),
            "no version {version}"
        );
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// Starts a gateway in zone "zone" that knows the coordinators as seeds.
async fn start_gateway(
    coordinators: &[sync::Arc<Coordinator>],
    stopped: &watch::Receiver<bool>,
) -> sync::Arc<state::Shared> {
    let codec = sync::Arc::new(stub::FixedCodec);
    start_gateway_with(coordinators, stopped, codec, settings::Features::default()).await
}

async fn start_gateway_with(
    coordinators: &[sync::Arc<Coordinator>],
    stopped: &watch::Receiver<bool>,
    codec: sync::Arc<dyn config::Codec>,
    features: settings::Features,
) -> sync::Arc<state::Shared> {
    let seeds = coordinators.iter().map(|c| c.address).collect();
    let (seeds_tx, seeds) = watch::channel(seeds);
    let dependencies = state::Dependencies {
        clock: sync::Arc::new(telemetry_clock::SystemClock::start()),
        dialect: sync::Arc::new(stub::TestDialect),
        codec,
        log: log::discard(),
        data: None,
        seed: 1,
    };
    let mut settings = stub::settings();
    settings.features = features;
    settings.entry.address = free_address().await;
    let gateway = service::Gateway::new(settings, seeds, dependencies, stopped.clone());
    let shared = sync::Arc::clone(&gateway.shared);
    tokio::spawn(async move {
        let _seeds = seeds_tx;
        gateway.run().await
    });
    shared
}

/// Guards against entry processes that stay with a coordinator of another region for seconds after a
/// start, because the one of their zone was not current at the first attempt.
#[tokio::test]
async fn entry_process_returns_to_the_nearest_coordinator_soon() {
    let (_stop, stopped) = watch::channel(false);
    let coordinators = start(&["zone", "far"], &stopped).await;
    let own = &coordinators[0];
    own.is_current.store(false, atomic::Ordering::Relaxed);
    let shared = start_gateway(&coordinators, &stopped).await;
    wait_version(&shared, 1).await;
    own.is_current.store(true, atomic::Ordering::Relaxed);
    own.version.store(2, atomic::Ordering::Relaxed);
    let elapsed = wait_version(&shared, 2).await;
    assert!(elapsed < time::Duration::from_millis(2_000), "{elapsed:?}");
}

/// Guards against an entry process that goes back at once to the nearest coordinator, whose sync has
/// just timed out: each further timeout leaves it with an old configuration.
#[tokio::test]
async fn entry_process_leaves_a_silent_coordinator_after_one_timeout() {
    let (_stop, stopped) = watch::channel(false);
    let coordinators = start(&["zone", "far"], &stopped).await;
    let shared = start_gateway(&coordinators, &stopped).await;
    wait_version(&shared, 1).await;
    let silent = &coordinators[0].is_silent;
    silent.store(true, atomic::Ordering::Relaxed);
    coordinators[1].version.store(2, atomic::Ordering::Relaxed);
    let elapsed = wait_version(&shared, 2).await;
    assert!(elapsed < time::Duration::from_millis(1_500), "{elapsed:?}");
}

/// Guards against an entry process that returns to the first of several lost coordinators of its zone
/// before it has tried the others: it went without a configuration for as long as they were named.
#[tokio::test]
async fn entry_process_reaches_a_coordinator_behind_several_silent_ones() {
    const TIMEOUT_MS: u64 = 900;
    let (_stop, stopped) = watch::channel(false);
    let zones = ["zone", "zone", "zone", "zone", "zone", "far"];
    let coordinators = start(&zones, &stopped).await;
    let shared = start_gateway(&coordinators, &stopped).await;
    wait_version(&shared, 1).await;
    let (far, lost) = coordinators.split_last().expect("a coordinator");
    for coordinator in lost {
        coordinator.is_silent.store(true, atomic::Ordering::Relaxed);
    }
    far.version.store(2, atomic::Ordering::Relaxed);
    let elapsed = wait_version(&shared, 2).await;
    let limit = time::Duration::from_millis((lost.len() as u64 + 1) * TIMEOUT_MS);
    assert!(elapsed < limit, "{elapsed:?}");
}

/// Guards against an entry process that stays with the coordinator of its own zone although this
/// coordinator says that it may have missed changes.
#[tokio::test]
async fn entry_process_leaves_a_coordinator_that_is_not_current() {
    let (_stop, stopped) = watch::channel(false);
    let coordinators = start(&["zone", "far"], &stopped).await;
    let shared = start_gateway(&coordinators, &stopped).await;
    wait_version(&shared, 1).await;

    let [own, far] = &coordinators[..] else {
        panic!("two coordinators, not {}", coordinators.len());
    };
    own.is_current.store(false, atomic::Ordering::Relaxed);
    far.version.store(2, atomic::Ordering::Relaxed);
    let elapsed = wait_version(&shared, 2).await;
    assert!(elapsed < time::Duration::from_millis(1_000), "{elapsed:?}");
    let confirmation = String::from_utf8(shared.metrics_text()).expect("text");
    assert!(
        confirmation.contains("nutmegdale_registry_confirmation_age_ms"),
        "{confirmation}"
    );
}

/// Codec that can be made to fail, as that of an older build does with a new kind of document.
#[derive(Debug, Default)]
struct FailingCodec {
    is_failing: atomic::AtomicBool,
}

impl config::Codec for FailingCodec {
    fn decode(&self, document: &[u8]) -> Result<config::Config, config::Error> {
        match self.is_failing.load(atomic::Ordering::Relaxed) {
            true => Err(config::Error::Unreadable("a new kind".to_owned())),
            false => stub::FixedCodec.decode(document),
        }
    }
}

/// Guards against a process that goes on accepting withdrawn keys, since it counts a configuration
/// as taken up although it could not decode it.
#[tokio::test]
async fn undecodable_configuration_confirms_nothing() {
    /// Longer than two held syncs.
    const SYNC: time::Duration = time::Duration::from_millis(1_200);
    let (_stop, stopped) = watch::channel(false);
    let coordinators = start(&["zone"], &stopped).await;
    let codec = sync::Arc::new(FailingCodec::default());
    let handle: sync::Arc<dyn config::Codec> = sync::Arc::clone(&codec) as _;
    let features = settings::Features::default();
    let shared = start_gateway_with(&coordinators, &stopped, handle, features).await;
    wait_version(&shared, 1).await;
    let first = shared.confirmed_at();
    tokio::time::sleep(SYNC).await;
    let confirmed = shared.confirmed_at();
    assert!(confirmed > first, "syncs without changes confirm the copy");
    codec.is_failing.store(true, atomic::Ordering::Relaxed);
    coordinators[0].version.store(2, atomic::Ordering::Relaxed);
    wait_version(&shared, 2).await;
    let confirmed = shared.confirmed_at();
    tokio::time::sleep(SYNC).await;
    assert_eq!(shared.confirmed_at(), confirmed);
    codec.is_failing.store(false, atomic::Ordering::Relaxed);
    coordinators[0].version.store(3, atomic::Ordering::Relaxed);
    wait_version(&shared, 3).await;
    assert!(shared.confirmed_at() > confirmed);
}

/// Cuts an entry process off for 4 s; returns the number of syncs meanwhile that asked not to be held.
async fn count_unheld_syncs(features: settings::Features) -> usize {
    let (_stop, stopped) = watch::channel(false);
    let coordinators = start(&["zone"], &stopped).await;
    let codec = sync::Arc::new(stub::FixedCodec);
    let shared = start_gateway_with(&coordinators, &stopped, codec, features).await;
    wait_version(&shared, 1).await;
    let own = &coordinators[0];
    let count = || own.unheld_count.load(atomic::Ordering::Relaxed);
    let pause = |millis| tokio::time::sleep(time::Duration::from_millis(millis));
    pause(1_200).await;
    assert_eq!(count(), 0, "in normal operation");
    own.is_silent.store(true, atomic::Ordering::Relaxed);
    pause(4_000).await;
    own.is_silent.store(false, atomic::Ordering::Relaxed);
    let lost_count = count();
    pause(1_200).await;
    let confirmed_at = shared.confirmed_at();
    pause(1_200).await;
    assert!(count() <= lost_count + 1, "contact is back");
    assert!(shared.confirmed_at() > confirmed_at);
    lost_count
}

/// Guards against a process that refuses keys for longer than it must after it was cut off, against
/// syncs in quick succession where there is no evidence, and against more syncs without accounts.
#[tokio::test]
async fn sync_after_a_loss_of_contact_is_not_held() {
    let accounts = settings::Features {
        accounts: Some(settings::Accounts { revocation: None }),
        ..settings::Features::default()
    };
    let without = settings::Features::default();
    let (count, without_count) =
        tokio::join!(count_unheld_syncs(accounts), count_unheld_syncs(without));
    // At most one in each hold time of 0.5 s.
    assert!((1..=8).contains(&count), "{count} syncs");
    assert_eq!(without_count, 0);
}
