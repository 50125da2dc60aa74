//! Exchanges facts on servers with the other entry processes, in datagrams.
//!
//! The decisions are in `nutmegdale_gossip`. A datagram needs no connection, so a peer that is down
//! or cut off costs one lost datagram and delays nothing; the loss of some is part of the design. See
//! [docs/design/gossip.md](../../../docs/design/gossip.md).

use crate::{datagram, fingerprint, metrics, state, table};
use arc_swap::ArcSwap;
use nutmegdale_base::clock;
use nutmegdale_dispatch::server_limit;
use nutmegdale_gossip::{crashes, message, peers, server_limits, state as facts, store};
use nutmegdale_telemetry::metrics as telemetry;
use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::UdpSocket;

/// Largest datagram that is read, in bytes.
const DATAGRAM_MAX_BYTES: usize = 4_096;
/// Time for the first configuration, which names the peers, before it is asked for again.
const CONFIG_WAIT_MS: clock::Millis = clock::Millis(1_000);
/// Pause after an error of the socket.
const ERROR_PAUSE_MS: u64 = 100;

/// Requests under which servers crashed, with the number of these servers.
pub(crate) type Suspected = collections::HashMap<fingerprint::Fingerprint, usize>;

/// Facts that this process holds, and what operators see of their exchange.
#[derive(Debug)]
pub struct Gossip {
    state: sync::Mutex<facts::State>,
    /// Copy of the facts on crashes for the path of a request.
    suspected: ArcSwap<Suspected>,
    /// Notified when there is news for other processes.
    news: tokio::sync::Notify,
    /// Notified when the facts on crashes have changed.
    crashes_changed: tokio::sync::Notify,
    sent: atomic::AtomicU64,
    sent_bytes: atomic::AtomicU64,
    received: atomic::AtomicU64,
    rejected: atomic::AtomicU64,
}

impl Default for Gossip {
    fn default() -> Gossip {
        Gossip::new()
    }
}

impl Gossip {
    /// Creates the state of a process that has just started.
    pub fn new() -> Gossip {
        Gossip {
            state: sync::Mutex::new(facts::State::new()),
            suspected: ArcSwap::default(),
            news: tokio::sync::Notify::new(),
            crashes_changed: tokio::sync::Notify::new(),
            sent: atomic::AtomicU64::new(0),
            sent_bytes: atomic::AtomicU64::new(0),
            received: atomic::AtomicU64::new(0),
            rejected: atomic::AtomicU64::new(0),
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, facts::State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Tells the other processes the limit that a server names, if it is news for them.
    pub fn publish_limit(
        &self,
        now: clock::Millis,
        server: (&str, u64),
        limit: Option<server_limit::Rate>,
    ) {
        let key = server_limits::key(server.0, server.1);
        let milli_per_s = limit.map(|rate| rate.milli_per_s);
        if self.state().observe_limit(now, key, milli_per_s) {
            self.news.notify_one();
        }
    }

    /// Returns whether servers have crashed under any request.
    pub(crate) fn has_suspected(&self) -> bool {
        !self.suspected.load().is_empty()
    }

    /// Returns how many crashes are attributed to a request.
    pub(crate) fn crashes_count(&self, fingerprint: fingerprint::Fingerprint) -> usize {
        let suspected = self.suspected.load();
        suspected.get(&fingerprint).copied().unwrap_or(0)
    }

    /// Returns whether a request is banned.
    pub(crate) fn is_banned(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        self.crashes_count(fingerprint) >= crashes::BAN_COUNT
    }

    /// Attributes the crash of a server to a request, and tells the other processes.
    pub(crate) fn record_crash(
        &self,
        now: clock::Millis,
        fingerprint: fingerprint::Fingerprint,
        server: u32,
    ) {
        let mut state = self.state();
        if state.record_crash(now, fingerprint.0, server) {
            self.publish_suspected(&state);
            self.news.notify_one();
        }
    }

    /// Clears a request that was served, and tells the other processes; returns whether crashes were
    /// attributed to it.
    pub(crate) fn clear(&self, now: clock::Millis, fingerprint: fingerprint::Fingerprint) -> bool {
        if !self.suspected.load().contains_key(&fingerprint) {
            return false;
        }
        let mut state = self.state();
        let is_news = state.clear(now, fingerprint.0);
        if is_news {
            self.publish_suspected(&state);
            self.news.notify_one();
        }
        is_news
    }

    fn publish_suspected(&self, state: &facts::State) {
        let suspected = state.crashes.iter().filter(|(_, e)| !e.servers.is_empty());
        let suspected = suspected.map(|(key, evidence)| {
            let fingerprint = fingerprint::Fingerprint(key);
            (fingerprint, evidence.servers.len())
        });
        self.suspected.store(sync::Arc::new(suspected.collect()));
        self.mark_crashes_changed();
    }

    /// Waits until the facts on crashes have changed since the last wait.
    pub(crate) async fn crashes_changed(&self) {
        self.crashes_changed.notified().await;
    }

    /// Ends a wait for a change of the facts on crashes, or the next one.
    pub(crate) fn mark_crashes_changed(&self) {
        self.crashes_changed.notify_one();
    }

    /// Returns the facts on crashes.
    pub(crate) fn crashes(&self, now: clock::Millis) -> Vec<store::Fact<crashes::Evidence>> {
        self.state().crashes.facts(now)
    }

    /// Takes up facts on crashes from an earlier start, and tells the other processes.
    pub(crate) fn restore(&self, now: clock::Millis, crashes: Vec<store::Fact<crashes::Evidence>>) {
        let facts = message::Facts {
            crashes,
            ..message::Facts::default()
        };
        let mut state = self.state();
        if state
            .receive(now, &message::Message::News(facts))
            .has_crashes
        {
            self.publish_suspected(&state);
            self.news.notify_one();
        }
    }

    /// Compares the facts with those of several peers, after a time without contact.
    pub(crate) fn catch_up(&self) {
        self.state().catch_up();
        self.news.notify_one();
    }

    /// Returns the counters of the exchange.
    pub(crate) fn samples(&self) -> [telemetry::Sample; 7] {
        let counter = |name, help, value: &atomic::AtomicU64| telemetry::Sample {
            name,
            help,
            kind: telemetry::Kind::Counter,
            value: value.load(atomic::Ordering::Relaxed),
        };
        let limits_count = self.state().limits.len() as u64;
        let suspected = self.suspected.load();
        let banned = suspected
            .values()
            .filter(|count| **count >= crashes::BAN_COUNT);
        [
            counter(
                "nutmegdale_gossip_sent_total",
                "Datagrams to other entry processes.",
                &self.sent,
            ),
            counter(
                "nutmegdale_gossip_sent_bytes_total",
                "Bytes of datagrams to other entry processes.",
                &self.sent_bytes,
            ),
            counter(
                "nutmegdale_gossip_received_total",
                "Datagrams of other entry processes.",
                &self.received,
            ),
            counter(
                "nutmegdale_gossip_rejected_total",
                "Datagrams that were not authentic or could not be decoded.",
                &self.rejected,
            ),
            telemetry::Sample {
                name: "nutmegdale_gossip_limit_facts",
                help: "Limits of servers that are remembered, including those that have ended.",
                kind: telemetry::Kind::Gauge,
                value: limits_count,
            },
            telemetry::Sample {
                name: "nutmegdale_suspected_requests",
                help: "Requests to which crashes of servers are attributed, the banned ones included.",
                kind: telemetry::Kind::Gauge,
                value: suspected.len() as u64,
            },
            telemetry::Sample {
                name: "nutmegdale_banned_requests",
                help: "Requests that are refused, since servers crashed under them.",
                kind: telemetry::Kind::Gauge,
                value: banned.count() as u64,
            },
        ]
    }
}

/// Applies the known limits to servers that have just appeared in a table.
pub(crate) fn apply_limits(gossip: &Gossip, now: clock::Millis, table: &table::Table) {
    let state = gossip.state();
    if state.limits.is_empty() {
        return;
    }
    for backend in table.backends().filter(|b| b.limit.get().is_none()) {
        let key = server_limits::key(backend.id(), backend.announcement.born);
        let named = state.limits.get(key);
        if let Some(milli_per_s) = named.and_then(|named| named.milli_per_s) {
            backend.set_limit(now, Some(server_limit::Rate { milli_per_s }));
        }
    }
}

/// Applies what has changed: the limits of the given keys, which may have expired, to their servers,
/// and the facts on crashes to the copy for requests.
fn apply_changed(shared: &state::Shared, now: clock::Millis, received: &facts::Received) {
    if received.has_crashes {
        let state = shared.gossip.state();
        shared.gossip.publish_suspected(&state);
    }
    let keys = &received.limits;
    if keys.is_empty() {
        return;
    }
    let table = shared.table.load();
    for backend in table.backends() {
        let key = server_limits::key(backend.id(), backend.announcement.born);
        if !keys.contains(&key) {
            continue;
        }
        let named = shared.gossip.state().limits.get(key).copied();
        let milli_per_s = named.and_then(|named| named.milli_per_s);
        let limit = milli_per_s.map(|milli_per_s| server_limit::Rate { milli_per_s });
        shared.set_limit(backend, now, limit, "peer");
    }
}

/// Exchanges facts through a socket at `address` until the task is aborted. The other processes are
/// expected at the same port.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn run(shared: sync::Arc<state::Shared>, address: net::SocketAddr) -> io::Result<()> {
    let socket = UdpSocket::bind(address).await?;
    tokio::join!(
        receive(&shared, &socket),
        tell(&shared, &socket, address.port())
    );
    Ok(())
}

/// Receives and merges datagrams of other processes.
async fn receive(shared: &state::Shared, socket: &UdpSocket) {
    let token = &shared.settings.cluster_token;
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (len, sender) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                slog::warn!(shared.log, "datagram cannot be received"; "error" => %err);
                tokio::time::sleep(time::Duration::from_millis(ERROR_PAUSE_MS)).await;
                continue;
            }
        };
        metrics::increment(&shared.gossip.received);
        let Some(message) = datagram::decode(token, &buf[..len]) else {
            metrics::increment(&shared.gossip.rejected);
            continue;
        };
        let now = shared.clock.now();
        let received = shared.gossip.state().receive(now, &message);
        apply_changed(shared, now, &received);
        if received.has_news() {
            shared.gossip.news.notify_one();
        }
        for reply in &received.replies {
            send(shared, socket, sender, reply).await;
        }
    }
}

/// Tells other processes the news, and compares the facts with theirs.
async fn tell(shared: &state::Shared, socket: &UdpSocket, port: u16) {
    let own_entry = &shared.settings.entry;
    loop {
        // Without a configuration no peers are known.
        if shared.table.load().config_version == 0 {
            shared.wait_configured(CONFIG_WAIT_MS).await;
            continue;
        }
        let now = shared.clock.now();
        let expired = shared.gossip.state().expire(now);
        apply_changed(shared, now, &expired);
        let outgoing = {
            let table = shared.table.load();
            let others = table.entries.iter().filter(|e| e.name != own_entry.name);
            let peers = others.map(|entry| peers::Peer {
                address: (entry.address.ip(), port).into(),
                region: &entry.region,
            });
            let peers: Vec<_> = peers.collect();
            let mut rng = shared.rng();
            let mut state = shared.gossip.state();
            state.round(now, &peers, &own_entry.region, &mut rng)
        };
        for (peer, message) in &outgoing {
            send(shared, socket, *peer, message).await;
        }
        wait_round(&shared.gossip, now).await;
    }
}

/// Waits until the next round is due.
async fn wait_round(gossip: &Gossip, now: clock::Millis) {
    let (interval, has_news) = {
        let state = gossip.state();
        (state.next_round(now), state.has_news())
    };
    let news = gossip.news.notified();
    match interval.map(|interval| time::Duration::from_millis(interval.0)) {
        // News that comes meanwhile is told in the same round.
        Some(interval) if has_news => tokio::time::sleep(interval).await,
        // Either end of the wait begins a round.
        Some(interval) => drop(tokio::time::timeout(interval, news).await),
        None => news.await,
    }
}

async fn send(
    shared: &state::Shared,
    socket: &UdpSocket,
    peer: net::SocketAddr,
    message: &message::Message,
) {
    let Some(datagram) = datagram::encode(&shared.settings.cluster_token, message) else {
        return;
    };
    // A datagram that is not sent counts as lost; later ones repeat its facts.
    if socket.send_to(&datagram, peer).await.is_ok() {
        metrics::increment(&shared.gossip.sent);
        let bytes = &shared.gossip.sent_bytes;
        bytes.fetch_add(datagram.len() as u64, atomic::Ordering::Relaxed);
    }
}
