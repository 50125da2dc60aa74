//! Tokens of one coordinator, out of its shares of the limits.
//!
//! Load pattern: a hundred entry processes share each limit, and each sees a few requests a second.
//! Tokens are granted for requests that wait, and ahead of them only while the bucket is well
//! filled. When a bucket is empty, processes are told for how long, so that they refuse locally.
//!
//! Invariant: the level of a bucket and the tokens that entry processes may still use are together
//! at most the burst of the share, once tokens from before a cut of the share have ended. Nothing
//! outlives the lease.

use crate::message::{
    AHEAD_VALID, Ask, Give, LEASE, PROMPT_VALID, ReplyId, Share, SharesReply, SharesRequest,
    TakeReply, TakeRequest,
};
use crate::meter;
use nutmegdale_accounts::account;
use nutmegdale_base::clock;
use std::collections;
use std::net;

/// Interval of reports to the leader.
pub const REPORT_INTERVAL: clock::Millis = clock::Millis(500);
/// Interval of reports while something is urgent.
pub const REPORT_INTERVAL_URGENT: clock::Millis = clock::Millis(100);

/// Time for which a process that was refused counts as competing for tokens.
const COMPETING: clock::Millis = clock::Millis(1_000);
/// Limits of the time for which a process does not ask again; the second one holds while the share
/// follows a change of the demand.
const EXHAUSTED_MIN: clock::Millis = clock::Millis(50);
const EXHAUSTED_MOVING_MAX: clock::Millis = clock::Millis(100);
const EXHAUSTED_MAX: clock::Millis = clock::Millis(500);
/// Time for which a share counts as moving after a change.
const MOVING: clock::Millis = clock::Millis(500);
/// Fill of a bucket above which tokens are granted ahead.
const AHEAD_FILL: f64 = 0.5;
/// Part of the tokens above that fill that one process gets ahead.
const AHEAD_PART: f64 = 0.25;
/// Fill of a bucket that is kept from processes of other coordinators.
const KEPT_FILL: f64 = 0.25;
/// Requests over which the demand of an account is averaged, and the limits of that time. Demand of
/// an account with few requests a second is known only over seconds.
const DEMAND_REQUESTS: f64 = 2.0;
const DEMAND_MEMORY_S: (f64, f64) = (0.5, 5.0);
/// Change of a demand that is reported, relative to the last report and to the limit.
const DEMAND_CHANGE: f64 = 0.2;
const DEMAND_CHANGE_OF_LIMIT: f64 = 0.03;
/// Smallest change of a demand that is reported, in requests per second.
const DEMAND_MIN: f64 = 0.01;
/// Change of a demand that is reported without delay, relative to the share and to the limit: another
/// coordinator may need what this one does not, or has what this one needs.
const URGENT_CHANGE: f64 = 0.25;
const URGENT_CHANGE_OF_LIMIT: f64 = 0.05;

/// Tokens that an entry process may still use.
#[derive(Debug)]
struct Outstanding {
    holder: u64,
    tokens: u32,
    until: clock::Millis,
}

#[derive(Debug, Default)]
struct Bucket {
    /// Limit of the account with the spare part, as far as this coordinator knows it.
    limit: Share,
    /// Share that the leader gave.
    given: Share,
    /// Share in use, which is at most the limit.
    share: Share,
    changed_at: Option<clock::Millis>,
    level: f64,
    at: clock::Millis,
    outstanding: Vec<Outstanding>,
    demand: meter::Rate,
    reported_demand: f64,
    /// Processes that were refused, with the time.
    competing: collections::BTreeMap<u64, clock::Millis>,
    /// Tokens that were cut from the share and not returned to the leader yet.
    cut: f64,
}

impl Bucket {
    fn memory_s(&self) -> f64 {
        let (min, max) = DEMAND_MEMORY_S;
        (DEMAND_REQUESTS / self.limit.rate.max(0.01)).clamp(min, max)
    }

    fn outstanding(&self) -> f64 {
        self.outstanding.iter().map(|o| f64::from(o.tokens)).sum()
    }

    fn refill(&mut self, now: clock::Millis) {
        let refill = self.share.rate * meter::seconds(now.since(self.at));
        self.fill(refill);
        self.at = now;
        self.outstanding.retain(|o| o.until > now);
    }

    fn fill(&mut self, tokens: f64) {
        let room = (self.share.burst - self.outstanding()).max(0.0);
        self.level = (self.level + tokens).min(room);
    }

    /// Applies the given share as far as the limit allows; a larger one starts with `tokens`.
    fn update_share(&mut self, now: clock::Millis, tokens: f64) {
        self.refill(now);
        let before = self.level;
        self.share = Share {
            rate: self.given.rate.min(self.limit.rate),
            burst: self.given.burst.min(self.limit.burst),
        };
        self.fill(0.0);
        self.cut += before - self.level;
        self.fill(tokens);
    }

    fn end_share(&mut self) {
        self.given = Share::default();
        self.share = Share::default();
        self.level = 0.0;
        self.cut = 0.0;
        self.outstanding.clear();
    }

    fn take(
        &mut self,
        now: clock::Millis,
        holder: u64,
        ask: &Ask,
        ahead_valid: clock::Millis,
    ) -> Give {
        self.refill(now);
        // Tokens that it got before are used.
        self.outstanding.retain(|o| o.holder != holder);
        self.fill(f64::from(ask.returned));
        let kept = match ask.is_elsewhere {
            true => self.share.burst * KEPT_FILL,
            false => 0.0,
        };
        let prompt = ask.waiting.min((self.level - kept).max(0.0) as u32);
        self.level -= f64::from(prompt);
        let is_refused = prompt < ask.waiting;
        let ahead = match is_refused {
            true => 0,
            false => ask.ahead.min(self.ahead_max(now)),
        };
        self.level -= f64::from(ahead);
        let given = [(prompt, PROMPT_VALID), (ahead, ahead_valid)];
        for (tokens, valid) in given.into_iter().filter(|(tokens, _)| *tokens > 0) {
            let until = now + valid;
            self.outstanding.push(Outstanding {
                holder,
                tokens,
                until,
            });
        }
        self.competing.retain(|_, at| now.since(*at) < COMPETING);
        let is_competing = is_refused && !ask.is_elsewhere;
        let is_first = is_competing && self.competing.insert(holder, now).is_none();
        let rate = self.share.rate.max(1e-6);
        let interval = meter::span(self.competing_count(now).max(1.0) / rate);
        let next = meter::span((1.0 - self.level).max(0.0) / rate);
        let longest = match self.is_moving(now) {
            true => EXHAUSTED_MOVING_MAX,
            false => EXHAUSTED_MAX,
        };
        // Processes that compete take turns, so that their callers do not return together.
        let turn = match is_first {
            true => self.competing.len().saturating_sub(1),
            false => self.competing.range(..holder).count(),
        } as f64;
        let first_in = next + meter::span(turn / rate);
        let exhausted_for = interval.max(next).clamp(EXHAUSTED_MIN, longest);
        Give {
            prompt,
            ahead,
            exhausted_for: match is_refused {
                true => exhausted_for,
                false => clock::Millis::ZERO,
            },
            interval,
            first_in,
        }
    }

    /// Returns how many tokens a process may get ahead: a part of what is above half of the burst,
    /// and otherwise a fair part among the processes that compete.
    fn ahead_max(&mut self, now: clock::Millis) -> u32 {
        let spare = (self.level - self.share.burst * AHEAD_FILL) * AHEAD_PART;
        let competing = self.competing_count(now);
        let fair = match competing > 0.0 {
            true => self.level / (competing + 1.0),
            false => 0.0,
        };
        spare.max(fair).max(0.0) as u32
    }

    fn competing_count(&mut self, now: clock::Millis) -> f64 {
        self.competing.retain(|_, at| now.since(*at) < COMPETING);
        self.competing.len() as f64
    }

    fn is_moving(&self, now: clock::Millis) -> bool {
        let changed_at = self.changed_at;
        self.is_urgent(now) || changed_at.is_some_and(|at| now.since(at) < MOVING)
    }

    fn is_urgent(&self, now: clock::Millis) -> bool {
        let demand = self.demand.get(now, self.memory_s());
        let least = (self.share.rate * URGENT_CHANGE).max(self.limit.rate * URGENT_CHANGE_OF_LIMIT);
        (demand - self.reported_demand).abs() > least.max(DEMAND_MIN)
    }

    /// Returns the demand if it is to be reported.
    fn changed_demand(&self, now: clock::Millis) -> Option<f64> {
        let demand = self.demand.get(now, self.memory_s());
        let least = (self.reported_demand * DEMAND_CHANGE)
            .max(self.limit.rate * DEMAND_CHANGE_OF_LIMIT)
            .max(DEMAND_MIN);
        ((demand - self.reported_demand).abs() > least).then_some(demand)
    }
}

/// Last question of an entry process.
#[derive(Debug)]
struct Asked {
    number: u64,
    at: clock::Millis,
}

/// Tokens of one coordinator.
#[derive(Debug)]
pub struct Pool {
    id: u64,
    address: net::SocketAddr,
    last_report: u64,
    first_reported_at: Option<clock::Millis>,
    reported_at: Option<clock::Millis>,
    is_urgent: bool,
    wants_holdings: bool,
    /// Last reply that was applied.
    applied: ReplyId,
    newest_term: u64,
    lease_end: Option<clock::Millis>,
    buckets: collections::BTreeMap<String, Bucket>,
    asked: collections::BTreeMap<u64, Asked>,
}

/// Time after which the number of the last question of a process is forgotten. Returned tokens that
/// arrive later than that belong to questions that have long failed.
const ASKED_KEPT: clock::Millis = clock::Millis(60_000);

impl Pool {
    /// Creates the pool of a coordinator that has no share and serves at `address`. `id` is random in
    /// each run.
    pub fn new(id: u64, address: net::SocketAddr) -> Pool {
        Pool {
            id,
            address,
            last_report: 0,
            first_reported_at: None,
            reported_at: None,
            is_urgent: true,
            wants_holdings: false,
            applied: ReplyId::default(),
            newest_term: 0,
            lease_end: None,
            buckets: collections::BTreeMap::new(),
            asked: collections::BTreeMap::new(),
        }
    }

    /// Replaces the limits. No share exceeds its limit from now on, whatever the leader knows.
    pub fn set_limits(
        &mut self,
        now: clock::Millis,
        limits: &collections::BTreeMap<String, account::Limit>,
        spare: f64,
    ) {
        self.is_urgent = true;
        // The leader may not know yet that the account was removed, and have it again when it does.
        for bucket in self.buckets.values_mut() {
            bucket.limit = Share::default();
        }
        for (name, limit) in limits {
            let bucket = self.buckets.entry(name.clone()).or_default();
            bucket.limit = Share {
                rate: limit.rate_per_s,
                burst: limit.burst + spare,
            };
        }
        for bucket in self.buckets.values_mut() {
            bucket.update_share(now, 0.0);
        }
        let none = Share::default();
        let is_used = |bucket: &Bucket| bucket.limit != none || bucket.given != none;
        self.buckets.retain(|_, bucket| is_used(bucket));
    }

    /// Returns for how long the lease still lasts.
    pub fn lease_left(&self, now: clock::Millis) -> clock::Millis {
        self.lease_end
            .map_or(clock::Millis::ZERO, |end| end.since(now))
    }

    /// Answers an entry process.
    pub fn take(&mut self, now: clock::Millis, req: &TakeRequest) -> TakeReply {
        self.expire(now);
        let last = self.asked.get(&req.holder).map_or(0, |asked| asked.number);
        let is_new = req.number > last;
        if is_new {
            let (number, at) = (req.number, now);
            self.asked.insert(req.holder, Asked { number, at });
        }
        let lease_left = self.lease_left(now);
        // Tokens must end before the lease does.
        let is_available = lease_left > PROMPT_VALID && is_new;
        let ahead_valid = lease_left.min(AHEAD_VALID);
        let mut gives = Vec::new();
        for ask in &req.asks {
            let Some(bucket) = self.buckets.get_mut(&ask.account) else {
                gives.push(None);
                continue;
            };
            let memory_s = bucket.memory_s();
            bucket.demand.add(now, ask.arrived, memory_s);
            let has_share = is_available && bucket.share.rate > 0.0;
            let give = has_share.then(|| bucket.take(now, req.holder, ask, ahead_valid));
            gives.push(give);
        }
        if !is_available {
            gives.clear();
        }
        TakeReply {
            is_available,
            ahead_valid,
            gives,
        }
    }

    fn expire(&mut self, now: clock::Millis) {
        if self.lease_end.is_some_and(|end| end <= now) {
            self.lease_end = None;
            self.buckets.values_mut().for_each(Bucket::end_share);
        }
        self.asked
            .retain(|_, asked| now.since(asked.at) < ASKED_KEPT);
    }

    /// Returns whether a report to the leader is due.
    pub fn is_report_due(&self, now: clock::Millis) -> bool {
        let Some(at) = self.reported_at else {
            return true;
        };
        let is_urgent = || self.is_urgent || self.buckets.values().any(|b| b.is_urgent(now));
        let elapsed = now.since(at);
        elapsed >= REPORT_INTERVAL || (elapsed >= REPORT_INTERVAL_URGENT && is_urgent())
    }

    /// Returns the next report. The reply to any earlier one must not be applied any more.
    pub fn report(&mut self, now: clock::Millis) -> SharesRequest {
        self.expire(now);
        self.reported_at = Some(now);
        let first_reported_at = *self.first_reported_at.get_or_insert(now);
        self.is_urgent = false;
        self.last_report += 1;
        let has_lease = self.lease_end.is_some();
        let mut demands = Vec::new();
        let mut returned = Vec::new();
        for (name, bucket) in &mut self.buckets {
            if let Some(demand) = bucket.changed_demand(now) {
                demands.push((name.clone(), demand));
            }
            // If the report is lost, these tokens are.
            let cut = std::mem::take(&mut bucket.cut);
            if cut >= 0.1 {
                returned.push((name.clone(), cut));
            }
        }
        let holdings = (has_lease && self.wants_holdings).then(|| {
            let buckets = self.buckets.iter();
            let held = buckets.filter(|(_, bucket)| bucket.given != Share::default());
            held.map(|(name, bucket)| (name.clone(), bucket.given))
                .collect()
        });
        SharesRequest {
            coordinator: self.id,
            address: self.address,
            number: self.last_report,
            applied: self.applied,
            has_lease,
            holdings,
            demands,
            returned,
            up_for: now.since(first_reported_at),
        }
    }

    /// Records that the leader did not answer a report.
    pub fn record_lost(&mut self) {
        // The demands of the report may be unknown to the leader, or to the next one.
        for bucket in self.buckets.values_mut() {
            bucket.reported_demand = 0.0;
        }
    }

    /// Applies the reply to the last report, which was built at `asked_at`. Returns whether the
    /// lease is renewed.
    pub fn apply(
        &mut self,
        now: clock::Millis,
        asked_at: clock::Millis,
        report: &SharesRequest,
        reply: SharesReply,
    ) -> bool {
        self.expire(now);
        if report.number != self.last_report || reply.id.term < self.newest_term {
            return false;
        }
        self.newest_term = reply.id.term;
        // A lease that has ended meanwhile has taken the shares with it that the leader renews.
        let is_ended = report.has_lease && self.lease_end.is_none();
        if reply.wants_holdings || is_ended {
            self.wants_holdings = reply.wants_holdings;
            self.is_urgent = true;
            self.record_lost();
            return false;
        }
        let lease_end = asked_at + LEASE;
        if lease_end <= now {
            return false;
        }
        self.wants_holdings = false;
        self.applied = reply.id;
        self.lease_end = Some(lease_end);
        for (name, demand) in &report.demands {
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.reported_demand = *demand;
            }
        }
        for offer in reply.offers {
            // Confirms the change, so that others can get what has become free.
            self.is_urgent = true;
            if let Some(bucket) = self.buckets.get_mut(&offer.account) {
                bucket.given = offer.share;
                bucket.changed_at = Some(now);
                bucket.update_share(now, offer.tokens);
            }
        }
        true
    }
}
