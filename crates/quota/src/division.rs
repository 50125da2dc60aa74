//! Division of each limit among the coordinators, decided by the leader.
//!
//! Load pattern: callers of one account move between zones within seconds, and a few accounts send
//! several times their usual rate for some seconds. Shares follow the demand, and a quarter of each
//! limit is divided evenly, so that each zone has tokens before its demand is known.
//!
//! Invariant: for each account, the sum of all shares that coordinators may be using is at most the
//! whole, and tokens come with a share only out of the reserve, which holds the burst of a new
//! account, what was cut from other shares and the refill of the part that nobody has. Until a
//! coordinator has confirmed an offer, the larger of the old and the new share counts. A new leader
//! counts what it does not know as in use until the leases of its predecessor have ended. See
//! [docs/design/quotas.md](../../../docs/design/quotas.md).

use crate::message::{AHEAD_VALID, LEASE, Offer, ReplyId, Share, SharesReply, SharesRequest};
use crate::meter;
use displaydoc::Display;
use nutmegdale_accounts::account;
use nutmegdale_base::clock;
use std::collections;
use std::net;

/// Age up to which the confirmation of a leader by a quorum allows it to answer. The next leader may
/// be elected at any time after that confirmation.
pub const CONFIRMATION_MAX: clock::Millis = clock::Millis(1_200);
/// Time after an answer for which its receiver may use its shares, in the view of the leader. The
/// part beyond the lease exceeds [`CONFIRMATION_MAX`]: a former leader must not regard a lease as
/// ended that its successor has renewed in the last moment.
const HOLD: clock::Millis = clock::Millis(LEASE.0 + 1_500);
/// Time within which all coordinators report to a new leader.
const FIRST_REPORTS: clock::Millis = clock::Millis(2_000);
/// Margin for the resolution of clocks.
const STEP: clock::Millis = clock::Millis(100);
/// Time without a report after which nothing is planned for a coordinator.
const LIVE: clock::Millis = clock::Millis(2_000);
/// Time for which a removed account is remembered, so that it gets no second burst when it is
/// added again within a window.
const REMOVED_KEPT: clock::Millis = clock::Millis(10_000);

/// Part of each limit that is divided evenly.
const EVEN_PART: f64 = 0.25;
/// Headroom above the demand of a coordinator, relative to it. The variation of independent requests
/// comes on top. What no coordinator needs stays in the reserve, from which a sudden demand is served
/// with the next report, before others have given up what they no longer need.
const HEADROOM: f64 = 1.2;
/// Demand that is assumed in addition to the reported one, as a part of the limit.
const ASSUMED_DEMAND: f64 = 0.02;
/// Difference from the planned share below which a share stays, as a part of an even share: for a
/// coordinator whose demand exceeds its share, and for any other.
const TOLERANCE_SHORT: f64 = 0.05;
const TOLERANCE: f64 = 0.25;
/// Smallest change that is worth a message, as a part of an even share.
const STEP_MIN: f64 = 0.02;

/// Why a report is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Error {
    /// a later report of the coordinator was received
    Outdated,
    /// the coordinator has shares of a later leader
    Superseded,
}

impl std::error::Error for Error {}

impl Share {
    fn plus(self, other: Share) -> Share {
        Share {
            rate: self.rate + other.rate,
            burst: self.burst + other.burst,
        }
    }

    /// Subtracts without going below zero.
    fn minus(self, other: Share) -> Share {
        Share {
            rate: (self.rate - other.rate).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    fn max(self, other: Share) -> Share {
        Share {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    fn min(self, other: Share) -> Share {
        Share {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    fn differs(self, other: Share, tolerance: Share) -> bool {
        (self.rate - other.rate).abs() > tolerance.rate
            || (self.burst - other.burst).abs() > tolerance.burst
    }
}

/// Share of one coordinator.
#[derive(Debug, Default)]
struct Held {
    /// Share that the coordinator confirmed.
    confirmed: Share,
    /// Share and tokens in the last reply, of which it is not known whether it arrived.
    offered: Option<(Share, f64)>,
    demand: f64,
}

impl Held {
    fn may_use(&self) -> Share {
        let offered = self.offered.map_or(self.confirmed, |(share, _)| share);
        self.confirmed.max(offered)
    }
}

#[derive(Debug)]
struct Account {
    /// The limit with the spare part of its burst.
    whole: Share,
    /// Part that coordinators unknown to this leader may be using.
    unknown: Share,
    /// Tokens of the part that nobody has.
    reserve: f64,
    reserve_at: clock::Millis,
    held: collections::BTreeMap<u64, Held>,
    removed_at: Option<clock::Millis>,
}

fn whole_share(limit: account::Limit, spare: f64) -> Share {
    Share {
        rate: limit.rate_per_s,
        burst: limit.burst + spare,
    }
}

impl Account {
    /// Creates an account of which nobody has a share.
    fn new(now: clock::Millis, whole: Share) -> Account {
        Account {
            whole,
            unknown: Share::default(),
            reserve: whole.burst,
            reserve_at: now,
            held: collections::BTreeMap::new(),
            removed_at: None,
        }
    }

    fn in_use(&self) -> Share {
        let shares = self.held.values().map(Held::may_use);
        shares.fold(self.unknown, Share::plus)
    }

    fn refill(&mut self, now: clock::Millis) {
        let free = self.whole.minus(self.in_use());
        let refill = free.rate * meter::seconds(now.since(self.reserve_at));
        self.reserve = (self.reserve + refill).min(free.burst);
        self.reserve_at = now;
    }

    /// Resolves the last offer to a coordinator.
    fn settle(&mut self, id: u64, is_applied: bool) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        if let Some((share, tokens)) = held.offered.take() {
            if is_applied {
                held.confirmed = share;
            } else {
                self.reserve += tokens;
            }
        }
    }
}

#[derive(Debug, Clone)]
struct Coordinator {
    address: net::SocketAddr,
    registered_at: clock::Millis,
    /// Whether it has applied a reply of this leader, and so was running after the leader sent it.
    is_proven: bool,
    last_request: u64,
    last_reply: u64,
    reported_at: clock::Millis,
    hold_until: clock::Millis,
}

/// Division of all limits by one leader in one term.
#[derive(Debug)]
pub struct Division {
    term: u64,
    /// Time until which coordinators may use shares of an earlier leader.
    unknown_until: clock::Millis,
    /// Burst on top of each limit, which is divided evenly.
    spare: f64,
    expected_count: usize,
    expected_until: clock::Millis,
    /// Addresses of the members of the group.
    members: Vec<net::SocketAddr>,
    /// Addresses at which no share of an earlier leader is in use that this one does not know.
    settled: collections::BTreeSet<net::SocketAddr>,
    accounts: collections::BTreeMap<String, Account>,
    coordinators: collections::BTreeMap<u64, Coordinator>,
}

impl Division {
    /// Creates the division of a leader that a quorum has confirmed in `term`, and that has applied
    /// every command committed before. Earlier leaders may have divided the limits `divided`.
    /// `spare` is added to the burst of each limit.
    pub fn new(
        now: clock::Millis,
        term: u64,
        spare: f64,
        divided: &collections::BTreeMap<String, account::Limit>,
    ) -> Division {
        let divided = divided.iter().map(|(name, limit)| {
            let whole = whole_share(*limit, spare);
            let account = Account {
                unknown: whole,
                reserve: 0.0,
                ..Account::new(now, whole)
            };
            (name.clone(), account)
        });
        Division {
            term,
            unknown_until: now + HOLD,
            spare,
            expected_count: 1,
            expected_until: now + FIRST_REPORTS,
            members: Vec::new(),
            settled: collections::BTreeSet::new(),
            accounts: divided.collect(),
            coordinators: collections::BTreeMap::new(),
        }
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Sets the number of coordinators that the group should have. At the start of a term, those that
    /// have not reported yet are planned with, so that the first one does not get what belongs to all.
    pub fn expect(&mut self, count: usize) {
        self.expected_count = count.max(1);
    }

    /// Sets the addresses of the members of the group, which alone can have got shares of an earlier
    /// leader. Once all of them are settled, as after a restart of the whole system, the rest of the
    /// limits is known to be free, and nobody has to wait for leases of processes that have ended.
    pub fn set_members(&mut self, members: impl Iterator<Item = net::SocketAddr>) {
        self.members.clear();
        self.members.extend(members);
    }

    /// Records a coordinator as settled once it takes replies of this leader only, and tokens of an
    /// earlier run at its address have ended.
    fn settle_address(&mut self, now: clock::Millis, report: &SharesRequest) {
        let is_settled = report.applied.term == self.term && report.up_for >= AHEAD_VALID + STEP;
        if now >= self.unknown_until || !is_settled {
            return;
        }
        self.settled.insert(report.address);
        let mut members = self.members.iter();
        if !self.members.is_empty() && members.all(|member| self.settled.contains(member)) {
            self.unknown_until = now;
            self.expire(now);
        }
    }

    /// Replaces the limits.
    pub fn set_limits(
        &mut self,
        now: clock::Millis,
        limits: &collections::BTreeMap<String, account::Limit>,
    ) {
        let is_settling = now < self.unknown_until;
        if self.coordinators.is_empty() {
            self.expected_until = now + FIRST_REPORTS;
        }
        for (name, account) in &mut self.accounts {
            if !limits.contains_key(name) {
                account.refill(now);
                account.whole = Share::default();
                account.removed_at.get_or_insert(now);
            }
        }
        for (name, limit) in limits {
            let whole = whole_share(*limit, self.spare);
            let Some(account) = self.accounts.get_mut(name) else {
                self.accounts.insert(name.clone(), Account::new(now, whole));
                continue;
            };
            account.refill(now);
            if is_settling && account.unknown != Share::default() {
                // The former leader may have known the raised limit.
                account.unknown = account.unknown.plus(whole.minus(account.whole));
            }
            account.whole = whole;
            account.removed_at = None;
        }
    }

    /// Answers the report of a coordinator.
    ///
    /// # Errors
    ///
    /// The report must be dropped if a later one was received or if it is meant for a later leader.
    pub fn answer(
        &mut self,
        now: clock::Millis,
        report: &SharesRequest,
    ) -> Result<SharesReply, Error> {
        self.expire(now);
        if report.applied.term > self.term {
            return Err(Error::Superseded);
        }
        let id = report.coordinator;
        let known = self.coordinators.get(&id);
        if known.is_some_and(|known| report.number <= known.last_request) {
            return Err(Error::Outdated);
        }
        let last_reply = known.map_or(0, |known| known.last_reply);
        let last_id = ReplyId {
            term: self.term,
            number: last_reply,
        };
        let is_foreign = report.has_lease && report.applied.term != self.term;
        if is_foreign && report.holdings.is_none() {
            return Ok(SharesReply {
                id: ReplyId {
                    term: self.term,
                    number: 0,
                },
                wants_holdings: true,
                offers: Vec::new(),
            });
        }
        let known = known.cloned();
        let known = known.as_ref();
        let is_known = known.is_some();
        for account in self.accounts.values_mut() {
            account.refill(now);
            account.settle(id, report.applied == last_id);
        }
        if !report.has_lease {
            self.clear_shares(now, id);
        } else if let Some(holdings) = report.holdings.as_ref().filter(|_| is_foreign) {
            self.adopt(now, id, holdings);
        }
        if is_known {
            self.record_returned(&report.returned);
        }
        for (name, demand) in &report.demands {
            if let Some(account) = self.accounts.get_mut(name) {
                account.held.entry(id).or_default().demand = demand.max(0.0);
            }
        }
        let is_proven = known.is_some_and(|known| known.is_proven);
        let registered_at = known.map_or(now, |known| known.registered_at);
        let is_first_proof = !is_proven && is_known && report.applied == last_id;
        if is_first_proof {
            self.end_former(now, report.address, registered_at);
        }
        let coordinator = Coordinator {
            address: report.address,
            registered_at,
            is_proven: is_proven || is_first_proof,
            last_request: report.number,
            last_reply: last_reply + 1,
            reported_at: now,
            hold_until: now + HOLD,
        };
        self.coordinators.insert(id, coordinator);
        self.settle_address(now, report);
        Ok(SharesReply {
            id: ReplyId {
                term: self.term,
                number: last_reply + 1,
            },
            wants_holdings: false,
            offers: self.offers(now, id),
        })
    }

    /// Frees what can no longer be in use.
    fn expire(&mut self, now: clock::Millis) {
        let ended = self.coordinators.iter();
        let ended = ended.filter(|(_, c)| c.hold_until <= now);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.coordinators.remove(&id);
            for account in self.accounts.values_mut() {
                account.refill(now);
                account.held.remove(&id);
            }
        }
        if now >= self.unknown_until {
            let unknown = self.accounts.values_mut();
            for account in unknown.filter(|a| a.unknown != Share::default()) {
                account.refill(now);
                account.unknown = Share::default();
            }
        }
        self.accounts.retain(|_, account| {
            let is_forgotten = |at: clock::Millis| now.since(at) >= REMOVED_KEPT;
            account.in_use() != Share::default() || !account.removed_at.is_some_and(is_forgotten)
        });
    }

    /// Shortens the hold on the shares of earlier runs at an address: the current one was running after
    /// the last report of any earlier one had come in, so those have ended. Their tokens are valid
    /// for a while.
    fn end_former(
        &mut self,
        now: clock::Millis,
        address: net::SocketAddr,
        registered_at: clock::Millis,
    ) {
        let former = self.coordinators.values_mut();
        let former = former.filter(|c| c.address == address && c.reported_at < registered_at);
        for coordinator in former {
            let tokens_end = now + AHEAD_VALID + STEP;
            coordinator.hold_until = coordinator.hold_until.min(tokens_end);
        }
    }

    fn clear_shares(&mut self, now: clock::Millis, id: u64) {
        for account in self.accounts.values_mut() {
            account.refill(now);
            if let Some(held) = account.held.get_mut(&id) {
                held.confirmed = Share::default();
            }
        }
    }

    /// Takes over shares that an earlier leader gave, in place of those that were taken over before:
    /// the coordinator may have heard from that leader again since.
    fn adopt(&mut self, now: clock::Millis, id: u64, holdings: &[(String, Share)]) {
        for account in self.accounts.values_mut() {
            let before = account.held.get(&id).map(|held| held.confirmed);
            account.unknown = account.unknown.plus(before.unwrap_or_default());
        }
        self.clear_shares(now, id);
        for (name, share) in holdings {
            if let Some(account) = self.accounts.get_mut(name) {
                account.unknown = account.unknown.minus(*share);
                account.held.entry(id).or_default().confirmed = *share;
            }
        }
    }

    fn record_returned(&mut self, returned: &[(String, f64)]) {
        for (name, tokens) in returned {
            if let Some(account) = self.accounts.get_mut(name) {
                let free = account.whole.minus(account.in_use());
                account.reserve = (account.reserve + tokens.max(0.0)).min(free.burst);
            }
        }
    }

    fn offers(&mut self, now: clock::Millis, id: u64) -> Vec<Offer> {
        let is_live = |c: &&Coordinator| now.since(c.reported_at) < LIVE;
        let live_count = self.coordinators.values().filter(is_live).count();
        let count = match now < self.expected_until {
            true => live_count.max(self.expected_count),
            false => live_count,
        } as f64;
        let coordinators = &self.coordinators;
        let is_live = |id: &u64| coordinators.get(id).as_ref().is_some_and(is_live);
        let mut offers = Vec::new();
        for (name, account) in &mut self.accounts {
            let planned = planned_share(account, id, count, self.spare, is_live);
            let in_use = account.in_use();
            let free = account.whole.minus(in_use);
            let whole = account.whole;
            let even = |part: f64| Share {
                rate: whole.rate * part / count,
                burst: whole.burst * part / count,
            };
            let is_exceeded = in_use.differs(whole.min(in_use), even(STEP_MIN));
            let held = account.held.entry(id).or_default();
            let old = held.confirmed;
            let tolerance = match held.demand > old.rate {
                true => TOLERANCE_SHORT,
                false => TOLERANCE,
            };
            let is_off = planned.differs(old, even(tolerance)) || is_exceeded;
            let share = planned.min(old.plus(free));
            if !is_off || !share.differs(old, even(STEP_MIN)) {
                continue;
            }
            let added = (share.burst - old.burst).max(0.0);
            let tokens = match free.burst > 0.0 {
                true => account.reserve * (added / free.burst).min(1.0),
                false => 0.0,
            };
            held.offered = Some((share, tokens));
            account.reserve -= tokens;
            offers.push(Offer {
                account: name.clone(),
                share,
                tokens,
            });
        }
        offers
    }
}

/// Returns the share that a coordinator should have, of what the live ones can have together.
fn planned_share(
    account: &Account,
    id: u64,
    count: f64,
    spare: f64,
    is_live: impl Fn(&u64) -> bool,
) -> Share {
    let lost = account.held.iter().filter(|(id, _)| !is_live(id));
    let lost = lost.map(|(_, held)| held.may_use());
    let lost = lost.fold(account.unknown, Share::plus);
    let available = account.whole.minus(lost);
    let assumed = account.whole.rate * ASSUMED_DEMAND / count;
    let live = account.held.iter().filter(|(id, _)| is_live(id));
    let demand: f64 = live.map(|(_, held)| held.demand).sum();
    let own = account.held.get(&id).map_or(0.0, |held| held.demand);
    let demand = demand + assumed * count;
    let by_demand = match demand > 0.0 {
        true => (own + assumed) / demand,
        false => 1.0 / count,
    };
    let needed = HEADROOM * own + own.sqrt();
    let part = EVEN_PART / count + (1.0 - EVEN_PART) * by_demand;
    let needed = needed / account.whole.rate.max(f64::MIN_POSITIVE);
    let part = part.min(needed.max(EVEN_PART / count) + EVEN_PART / count);
    let spare = spare.min(available.burst);
    Share {
        rate: available.rate * part,
        burst: (available.burst - spare) * part + spare / count,
    }
}
