//! Admission of requests in one entry process, with the tokens that it got from a coordinator.
//!
//! Load pattern: a process sees a few requests a second of many accounts, and at times tens a second
//! of one account that is far over its limit. A request uses a token that is held; otherwise it
//! waits for the next answer of a coordinator, which it shares with all that arrive meanwhile. While
//! an account is exhausted, its requests are refused without a question.
//!
//! Tokens end on the clock of this process, counted from before the question was sent, so a process
//! that was frozen finds them void.

use crate::gate;
use crate::message::{AHEAD_VALID, Ask, Give, PROMPT_VALID, TakeReply, TakeRequest};
use crate::meter;
use nutmegdale_base::clock;
use std::collections;

/// Time over which the requests of an account are averaged to take tokens ahead.
const EXPECTED_MEMORY_S: f64 = 2.0;
/// Rate of requests from which tokens are taken ahead; fewer would mostly end unused.
const AHEAD_MIN_PER_S: f64 = 0.75;
/// Largest number of requests of one account that wait at the same time.
const WAITING_MAX_COUNT: usize = 64;
/// Age up to which a returned token is passed on.
const RETURN_MAX_AGE: clock::Millis = clock::Millis(500);
/// Time after a refusal for which returned tokens are sent without waiting for the next question.
const SHORT: clock::Millis = clock::Millis(1_000);
/// Interval at which other coordinators are asked for tokens of an exhausted account, since its zone may
/// have tokens that are not needed there.
const ELSEWHERE_INTERVAL: clock::Millis = clock::Millis(500);
/// Largest number of other coordinators that are asked then.
const ELSEWHERE_MAX_COUNT: u32 = 2;
/// Callers wait for a retry time of up to their remaining time divided by this. Those that return
/// earlier do not hold a place among those that return in order.
const HONOURED_DIVISOR: u64 = 3;
/// Shortest retry time.
const RETRY_MIN: clock::Millis = clock::Millis(20);
/// Retry time if no coordinator answers, which is that of the choice of another one.
pub const UNAVAILABLE_RETRY: clock::Millis = clock::Millis(300);

/// Identifies a waiting request.
pub type Ticket = u64;

/// Decision on a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The decision is final.
    Decided(gate::Verdict),
    /// The request waits for the answer to the next question.
    Waits(Ticket),
}

/// Tokens that were granted ahead.
#[derive(Debug)]
struct Lot {
    unused: u32,
    size: u32,
    until: clock::Millis,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    time_left: clock::Millis,
}

#[derive(Debug, Default)]
struct Stock {
    lot: Option<Lot>,
    exhausted_until: clock::Millis,
    refused_at: Option<clock::Millis>,
    /// Time from which other coordinators may be asked.
    elsewhere_at: clock::Millis,
    /// Other coordinators that may still be asked for this question.
    elsewhere_left: u32,
    /// Return time of the next refused caller.
    return_at: clock::Millis,
    interval: clock::Millis,
    waiting: collections::VecDeque<Waiting>,
    arrived: u32,
    arrivals: meter::Rate,
    admitted: meter::Recent,
    refunded: meter::Recent,
    returned: u32,
    returned_at: clock::Millis,
}

impl Stock {
    fn use_token(&mut self, now: clock::Millis) -> bool {
        let lot = self.lot.as_mut();
        let Some(lot) = lot.filter(|lot| lot.unused > 0 && lot.until > now) else {
            return false;
        };
        lot.unused -= 1;
        self.admitted.add(now, 1);
        true
    }

    fn refuse(&mut self, now: clock::Millis, time_left: clock::Millis) -> gate::Verdict {
        self.refused_at = Some(now);
        let earliest = self.exhausted_until.max(now + RETRY_MIN);
        let at = self.return_at.max(earliest);
        if at.since(now).0 <= time_left.0 / HONOURED_DIVISOR {
            self.return_at = at + self.interval;
        }
        gate::Verdict::OverLimit {
            retry_after: at.since(now),
        }
    }

    fn is_exhausted(&self, now: clock::Millis) -> bool {
        self.exhausted_until > now
    }

    /// Takes the returned tokens that are still to be passed on.
    fn take_returned(&mut self, now: clock::Millis) -> u32 {
        let returned = std::mem::take(&mut self.returned);
        match now.since(self.returned_at) <= RETURN_MAX_AGE {
            true => returned,
            false => 0,
        }
    }

    fn has_returned(&self, now: clock::Millis) -> bool {
        let is_short = self.refused_at.is_some_and(|at| now.since(at) < SHORT);
        is_short && self.returned > 0 && now.since(self.returned_at) <= RETURN_MAX_AGE
    }

    fn ask(&mut self, now: clock::Millis, account: &str) -> Ask {
        self.lot = None;
        let expected = self.arrivals.get(now, EXPECTED_MEMORY_S);
        let ahead = match expected >= AHEAD_MIN_PER_S && !self.waiting.is_empty() {
            true => (expected * meter::seconds(AHEAD_VALID)).ceil() as u32,
            false => 0,
        };
        Ask {
            account: account.to_owned(),
            waiting: self.waiting.len() as u32,
            ahead,
            arrived: std::mem::take(&mut self.arrived),
            returned: self.take_returned(now),
            is_elsewhere: false,
        }
    }

    /// Uses an answer; returns what to ask of another coordinator.
    fn settle(
        &mut self,
        now: clock::Millis,
        asked_at: clock::Millis,
        ask: &Ask,
        (give, ahead_valid): (Give, clock::Millis),
        verdicts: &mut Vec<(Ticket, gate::Verdict)>,
    ) -> Option<Ask> {
        let until = |valid: clock::Millis| (asked_at + valid > now).then_some(asked_at + valid);
        let prompt = until(PROMPT_VALID).map_or(0, |_| give.prompt);
        if !ask.is_elsewhere {
            self.interval = give.interval;
            self.lot = until(ahead_valid).map(|until| Lot {
                unused: give.ahead,
                size: give.ahead,
                until,
            });
        }
        for _ in 0..prompt {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            self.admitted.add(now, 1);
            verdicts.push((waiting.ticket, gate::Verdict::Granted));
        }
        // Those that arrived after the question.
        while !self.waiting.is_empty() && self.use_token(now) {
            let waiting = self.waiting.pop_front().expect("not empty");
            verdicts.push((waiting.ticket, gate::Verdict::Granted));
        }
        if give.exhausted_for == clock::Millis::ZERO {
            if ask.is_elsewhere {
                self.exhausted_until = now;
                self.elsewhere_at = now;
            }
            return None;
        }
        if !ask.is_elsewhere {
            self.exhausted_until = now + give.exhausted_for;
            if self.return_at < now {
                self.return_at = now + give.first_in;
            }
            self.elsewhere_left = 0;
            if now >= self.elsewhere_at {
                self.elsewhere_at = now + ELSEWHERE_INTERVAL;
                self.elsewhere_left = ELSEWHERE_MAX_COUNT;
            }
        }
        if self.elsewhere_left > 0 && !self.waiting.is_empty() {
            self.elsewhere_left -= 1;
            return Some(Ask {
                account: ask.account.clone(),
                waiting: self.waiting.len() as u32,
                ahead: 0,
                arrived: 0,
                returned: 0,
                is_elsewhere: true,
            });
        }
        while let Some(waiting) = self.waiting.pop_front() {
            let verdict = self.refuse(now, waiting.time_left);
            verdicts.push((waiting.ticket, verdict));
        }
        None
    }
}

/// Tokens and waiting requests of one entry process.
#[derive(Debug)]
pub struct Holder {
    id: u64,
    last_number: u64,
    next_ticket: Ticket,
    stocks: collections::BTreeMap<String, Stock>,
}

impl Holder {
    /// Creates the state of a process without tokens. `id` is random in each run.
    pub fn new(id: u64) -> Holder {
        Holder {
            id,
            last_number: 0,
            next_ticket: 0,
            stocks: collections::BTreeMap::new(),
        }
    }

    /// Admits a request of `account`, refuses it, or lets it wait for the next answer.
    pub fn admit(
        &mut self,
        now: clock::Millis,
        account: &str,
        time_left: clock::Millis,
    ) -> Admission {
        if !self.stocks.contains_key(account) {
            self.stocks.insert(account.to_owned(), Stock::default());
        }
        let stock = self.stocks.get_mut(account).expect("inserted above");
        stock.arrived = stock.arrived.saturating_add(1);
        stock.arrivals.add(now, 1, EXPECTED_MEMORY_S);
        if stock.waiting.is_empty() && stock.use_token(now) {
            return Admission::Decided(gate::Verdict::Granted);
        }
        if stock.is_exhausted(now) || stock.waiting.len() >= WAITING_MAX_COUNT {
            return Admission::Decided(stock.refuse(now, time_left));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        stock.waiting.push_back(Waiting { ticket, time_left });
        Admission::Waits(ticket)
    }

    /// Returns whether a question is to be asked for waiting requests.
    pub fn has_waiting(&self) -> bool {
        self.stocks.values().any(|stock| !stock.waiting.is_empty())
    }

    /// Returns whether returned tokens are to be passed on although no request waits.
    pub fn has_returned(&self, now: clock::Millis) -> bool {
        self.stocks.values().any(|stock| stock.has_returned(now))
    }

    /// Returns the next question, if there is one to ask. The answer to any earlier one must not be
    /// used any more.
    pub fn question(&mut self, now: clock::Millis) -> Option<TakeRequest> {
        let stocks = self.stocks.iter_mut();
        let due = stocks.filter(|(_, s)| !s.waiting.is_empty() || s.has_returned(now));
        let asks: Vec<_> = due.map(|(name, stock)| stock.ask(now, name)).collect();
        if asks.is_empty() {
            return None;
        }
        self.last_number += 1;
        Some(TakeRequest {
            holder: self.id,
            number: self.last_number,
            asks,
        })
    }

    /// Renumbers a question, so that coordinators which have answered it can be asked again.
    pub fn repeat(&mut self, req: &mut TakeRequest) {
        self.last_number += 1;
        req.number = self.last_number;
    }

    /// Uses the answer to a question that was sent at `asked_at`, removes the accounts that it
    /// settles from the question, and returns the decisions that follow. What is left is to be asked
    /// of another coordinator, which may have a share.
    pub fn settle(
        &mut self,
        now: clock::Millis,
        asked_at: clock::Millis,
        req: &mut TakeRequest,
        reply: &TakeReply,
    ) -> Vec<(Ticket, gate::Verdict)> {
        let mut verdicts = Vec::new();
        if req.number != self.last_number {
            return verdicts;
        }
        let mut left = Vec::new();
        let gives = reply.gives.iter().copied().chain(std::iter::repeat(None));
        for (ask, give) in req.asks.drain(..).zip(gives) {
            let stock = self.stocks.get_mut(&ask.account);
            match (stock, give) {
                (Some(stock), Some(give)) => {
                    let give = (give, reply.ahead_valid);
                    left.extend(stock.settle(now, asked_at, &ask, give, &mut verdicts));
                }
                _ => left.push(ask),
            }
        }
        req.asks = left;
        verdicts
    }

    /// Refuses all requests of a question that no coordinator has answered.
    pub fn give_up(
        &mut self,
        now: clock::Millis,
        req: &TakeRequest,
    ) -> Vec<(Ticket, gate::Verdict)> {
        let mut verdicts = Vec::new();
        for ask in &req.asks {
            let Some(stock) = self.stocks.get_mut(&ask.account) else {
                continue;
            };
            let asked = stock.waiting.len().min(ask.waiting as usize);
            let waiting: Vec<_> = stock.waiting.drain(..asked).collect();
            for waiting in waiting {
                let verdict = match ask.is_elsewhere {
                    true => stock.refuse(now, waiting.time_left),
                    false => gate::Verdict::Unavailable {
                        retry_after: UNAVAILABLE_RETRY,
                    },
                };
                verdicts.push((waiting.ticket, verdict));
            }
        }
        verdicts
    }

    /// Returns the token of a request that did not run. At most as many are returned as were
    /// admitted within the last half second, since older ones may be part of a later window.
    pub fn refund(&mut self, now: clock::Millis, account: &str) {
        let Some(stock) = self.stocks.get_mut(account) else {
            return;
        };
        if stock.refunded.count(now) >= stock.admitted.count(now) {
            return;
        }
        stock.refunded.add(now, 1);
        if let Some(lot) = &mut stock.lot
            && lot.until > now
            && lot.unused < lot.size
        {
            lot.unused += 1;
            return;
        }
        stock.returned = stock.take_returned(now) + 1;
        stock.returned_at = now;
    }
}
