//! Facts that a process holds, and the messages that spread them.

use crate::{crashes, message, peers, server_limits, store};
use nutmegdale_base::{clock, rng};
use std::net;

/// Limit of the facts on limits of servers: a few for each server of the largest deployments.
const LIMITS_MAX_COUNT: usize = 4_096;
/// Limit of the facts on requests under which servers crashed.
const CRASHES_MAX_COUNT: usize = 4_096;
/// Facts of one message, which then fits into a datagram that no link splits.
const FACTS_MAX_COUNT: usize = 32;
/// Interval between two rounds in which news is told, or in which a process catches up.
const NEWS_INTERVAL_MS: clock::Millis = clock::Millis(100);
/// Interval between two comparisons of a process that holds facts.
const COMPARE_INTERVAL_MS: clock::Millis = clock::Millis(500);
/// Peers with which a process compares its facts after a start or a suspension.
const CATCH_UP_COUNT: u32 = 4;
/// Time after its first round in which a process expects more peers, and compares its facts again when
/// it learns of some. After a start of all processes the first lists of peers are short.
const START_MS: clock::Millis = clock::Millis(10_000);
/// Time between two rounds from which a process was suspended.
const SUSPENDED_AFTER_MS: clock::Millis = clock::Millis(2_500);

/// Message and the peer that it goes to.
pub type Outgoing = (net::SocketAddr, message::Message);

/// What a message has changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Messages to the sender.
    pub replies: Vec<message::Message>,
    /// Keys of limits that have changed.
    pub limits: Vec<u64>,
    /// Whether facts on crashes have changed.
    pub has_crashes: bool,
}

impl Received {
    /// Returns whether any fact has changed.
    pub fn has_news(&self) -> bool {
        !self.limits.is_empty() || self.has_crashes
    }
}

/// Facts that a process holds.
#[derive(Debug)]
pub struct State {
    /// Rate limits that servers name.
    pub limits: store::Store<server_limits::Named>,
    /// Requests under which servers crashed, by fingerprint.
    pub crashes: store::Store<crashes::Evidence>,
    sends_count: u32,
    /// Time of the last round, if it left another one due within [`COMPARE_INTERVAL_MS`].
    last_active_round: Option<clock::Millis>,
    last_compare: clock::Millis,
    /// Comparisons that are still due after a start or a suspension.
    catch_up_left: u32,
    first_round: Option<clock::Millis>,
    /// Number of peers in the last round.
    peers_count: usize,
}

impl Default for State {
    fn default() -> State {
        State::new()
    }
}

impl State {
    /// Creates the state of a process that has just started.
    pub fn new() -> State {
        State {
            limits: store::Store::new(LIMITS_MAX_COUNT),
            crashes: store::Store::new(CRASHES_MAX_COUNT),
            sends_count: peers::sends_count(1),
            last_active_round: None,
            last_compare: clock::Millis::ZERO,
            catch_up_left: CATCH_UP_COUNT,
            first_round: None,
            peers_count: 0,
        }
    }

    /// Makes the next rounds compare the facts with those of several peers, since this process may
    /// have missed some.
    pub fn catch_up(&mut self) {
        self.catch_up_left = CATCH_UP_COUNT;
    }

    /// Records the limit that a response names, `None` for no limit; returns whether it is news for
    /// the other processes.
    pub fn observe_limit(
        &mut self,
        now: clock::Millis,
        key: u64,
        milli_per_s: Option<u32>,
    ) -> bool {
        let known = self.limits.get_aged(now, key);
        let Some(value) = server_limits::observe(known, milli_per_s) else {
            return false;
        };
        self.limits.merge(now, &fresh(key, value), self.sends_count)
    }

    /// Records that `server` crashed under the request with the fingerprint `key`; returns whether
    /// that is news for the other processes.
    pub fn record_crash(&mut self, now: clock::Millis, key: u64, server: u32) -> bool {
        let known = self.crashes.get_aged(now, key);
        let Some(value) = crashes::attribute(known, server) else {
            return false;
        };
        self.crashes
            .merge(now, &fresh(key, value), self.sends_count)
    }

    /// Records that the request with the fingerprint `key` was served; returns whether that is news
    /// for the other processes.
    pub fn clear(&mut self, now: clock::Millis, key: u64) -> bool {
        let Some(value) = crashes::clear(self.crashes.get(key)) else {
            return false;
        };
        self.crashes
            .merge(now, &fresh(key, value), self.sends_count)
    }

    /// Returns the time until the next round; `None` if none is due before a message or an
    /// observation.
    pub fn next_round(&self, now: clock::Millis) -> Option<clock::Millis> {
        let is_urgent = self.catch_up_left > 0 || self.has_news();
        let may_have_peers = self.peers_count > 0 || self.is_starting(now);
        match is_urgent && may_have_peers {
            true => Some(NEWS_INTERVAL_MS),
            false => (is_urgent || self.has_facts()).then_some(COMPARE_INTERVAL_MS),
        }
    }

    fn is_starting(&self, now: clock::Millis) -> bool {
        let first_round = self.first_round.unwrap_or(now);
        now.since(first_round) < START_MS
    }

    fn has_facts(&self) -> bool {
        !self.limits.is_empty() || !self.crashes.is_empty()
    }

    /// Returns whether news is to be told.
    pub fn has_news(&self) -> bool {
        self.limits.has_news() || self.crashes.has_news()
    }

    /// Removes the facts whose lifetime has passed.
    pub fn expire(&mut self, now: clock::Millis) -> Received {
        Received {
            limits: self.limits.expire(now),
            has_crashes: !self.crashes.expire(now).is_empty(),
            replies: Vec::new(),
        }
    }

    /// Returns the messages of a round: news, and a comparison if one is due.
    pub fn round(
        &mut self,
        now: clock::Millis,
        peers: &[peers::Peer<'_>],
        own_region: &str,
        rng: &mut dyn rng::Rng,
    ) -> Vec<Outgoing> {
        self.sends_count = peers::sends_count(peers.len());
        self.first_round.get_or_insert(now);
        if self.is_starting(now) && peers.len() > self.peers_count {
            self.catch_up();
        }
        self.peers_count = peers.len();
        let last_round = self.last_active_round.take();
        if last_round.is_some_and(|last| now.since(last) >= SUSPENDED_AFTER_MS) {
            self.catch_up();
        }
        if peers.is_empty() {
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        for _ in 0..peers::FANOUT_COUNT {
            let limits = self.limits.take_news(now, FACTS_MAX_COUNT);
            let rest_count = FACTS_MAX_COUNT - limits.len();
            let crashes = self.crashes.take_news(now, rest_count);
            let facts = message::Facts { limits, crashes };
            if facts.is_empty() {
                break;
            }
            let news = message::Message::News(facts);
            outgoing.extend(peers::choose(peers, own_region, rng).map(|to| (to, news)));
        }
        let has_comparison = self.takes_comparison(now);
        self.last_active_round = self.next_round(now).map(|_| now);
        if has_comparison {
            let compare = message::Message::Compare(self.digest());
            outgoing.extend(peers::choose(peers, own_region, rng).map(|to| (to, compare)));
        }
        outgoing
    }

    /// Returns whether a comparison is due in this round, and counts it.
    fn takes_comparison(&mut self, now: clock::Millis) -> bool {
        let is_periodic = self.has_facts()
            && !self.has_news()
            && now.since(self.last_compare) >= COMPARE_INTERVAL_MS;
        let is_due = is_periodic || self.catch_up_left > 0;
        if is_due {
            self.last_compare = now;
            self.catch_up_left = self.catch_up_left.saturating_sub(1);
        }
        is_due
    }

    fn digest(&self) -> u64 {
        // Rotated, so that equal facts of both kinds do not cancel each other.
        self.limits.digest() ^ self.crashes.digest().rotate_left(1)
    }

    /// Merges a message of another process.
    pub fn receive(&mut self, now: clock::Millis, message: &message::Message) -> Received {
        match message {
            message::Message::News(facts) => self.merge(now, facts),
            message::Message::Compare(digest) => Received {
                replies: self.replies(now, *digest, true),
                ..Received::default()
            },
            message::Message::All {
                facts,
                digest,
                wants_reply,
            } => {
                let mut received = self.merge(now, facts);
                if *wants_reply {
                    received.replies = self.replies(now, *digest, false);
                }
                received
            }
        }
    }

    fn merge(&mut self, now: clock::Millis, facts: &message::Facts) -> Received {
        let sends_count = self.sends_count;
        let limits = facts.limits.iter();
        let changed = limits.filter(|fact| self.limits.merge(now, fact, sends_count));
        let limits = changed.map(|fact| fact.key).collect();
        let crashes = facts.crashes.iter();
        let changed = crashes.filter(|fact| self.crashes.merge(now, fact, sends_count));
        Received {
            limits,
            has_crashes: changed.count() > 0,
            replies: Vec::new(),
        }
    }

    /// Returns all facts if they differ from those with `digest`. The last part wants a reply.
    fn replies(&self, now: clock::Millis, digest: u64, wants_reply: bool) -> Vec<message::Message> {
        let own_digest = self.digest();
        if own_digest == digest {
            return Vec::new();
        }
        let (limits, crashes) = (self.limits.facts(now), self.crashes.facts(now));
        // A process without facts replies, too, so that it gets those of the sender.
        let parts_count = (limits.len() + crashes.len())
            .div_ceil(FACTS_MAX_COUNT)
            .max(1);
        let parts = (0..parts_count).map(|n| {
            let first = n * FACTS_MAX_COUNT;
            let limits: Vec<_> = part(&limits, first, FACTS_MAX_COUNT).to_vec();
            let rest_count = FACTS_MAX_COUNT - limits.len();
            let first_crash = first.saturating_sub(self.limits.len());
            let crashes = part(&crashes, first_crash, rest_count).to_vec();
            message::Message::All {
                facts: message::Facts { limits, crashes },
                digest: own_digest,
                wants_reply: wants_reply && n + 1 == parts_count,
            }
        });
        parts.collect()
    }
}

/// Returns up to `count` facts from the one at `first`.
fn part<V>(facts: &[store::Fact<V>], first: usize, count: usize) -> &[store::Fact<V>] {
    let first = first.min(facts.len());
    &facts[first..facts.len().min(first + count)]
}

fn fresh<V>(key: u64, value: V) -> store::Fact<V> {
    store::Fact {
        key,
        age: clock::Millis::ZERO,
        value,
    }
}
