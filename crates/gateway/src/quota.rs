//! Limits of accounts on the path of a request: asks coordinators for tokens.
//!
//! The decisions are those of `nutmegdale-quota`. One question is in progress at a time, for all
//! accounts with waiting requests; an account with tokens, or known to be exhausted, needs none.
//! See [docs/design/quotas.md](../../../docs/design/quotas.md).

use crate::{failover, metrics};
use arc_swap::ArcSwap;
use nutmegdale_accounts::account;
use nutmegdale_base::{clock, digest};
use nutmegdale_quota::{gate, holder, message};
use nutmegdale_rpc::client;
use nutmegdale_telemetry::{limiter, metrics as telemetry};
use std::collections;
use std::future;
use std::hash::{BuildHasher, Hasher};
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::oneshot;

/// Timeout of one call. A process on a tenth of a core may be descheduled for that long.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(70);
/// Limit of the timeout in the client, which closes all idle connections when it passes; it is
/// never reached.
const CLIENT_TIMEOUT_MS: clock::Millis = clock::Millis(1_000);
/// Time after which no further coordinator is asked.
const QUESTION_MAX_MS: clock::Millis = clock::Millis(150);
/// Time after which coordinators that have no share of an account are asked again.
const UNKNOWN_RETRY: time::Duration = time::Duration::from_millis(40);
/// Time after which returned tokens are sent although no request waits.
const RETURN_DELAY: time::Duration = time::Duration::from_millis(250);
/// Maximum number of log lines per second.
const LINES_PER_SECOND: u64 = 10;

/// Limits of accounts on one gateway.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Quota {
    clock: sync::Arc<dyn clock::Clock>,
    client: sync::Arc<client::Client>,
    log: slog::Logger,
    lines: limiter::Limiter,
    /// Addresses of the coordinators, nearest first.
    coordinators: ArcSwap<Vec<net::SocketAddr>>,
    state: sync::Mutex<State>,
    counters: Counters,
}

#[derive(Debug)]
struct State {
    holder: holder::Holder,
    failover: failover::Failover,
    waiting: collections::HashMap<holder::Ticket, Waiting>,
    /// Whether a task asks for tokens.
    is_asking: bool,
    /// Whether a task waits to send returned tokens.
    is_returning: bool,
    /// Whether some coordinator answered the last question.
    is_answered: bool,
}

/// Request that waits for its verdict.
#[derive(Debug)]
struct Waiting {
    account: String,
    verdict_tx: oneshot::Sender<gate::Verdict>,
}

#[derive(Debug, Default)]
struct Counters {
    admitted: atomic::AtomicU64,
    waited: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    unavailable: atomic::AtomicU64,
    returned: atomic::AtomicU64,
    calls: atomic::AtomicU64,
    calls_failed: atomic::AtomicU64,
}

impl Quota {
    /// Creates the state of a process without tokens, which knows no coordinator yet.
    pub fn new(
        clock: sync::Arc<dyn clock::Clock>,
        client: sync::Arc<client::Client>,
        log: slog::Logger,
    ) -> sync::Arc<Quota> {
        let id = collections::hash_map::RandomState::new().build_hasher();
        sync::Arc::new(Quota {
            clock,
            client,
            log,
            lines: limiter::Limiter::new(LINES_PER_SECOND),
            coordinators: ArcSwap::default(),
            state: sync::Mutex::new(State {
                holder: holder::Holder::new(id.finish()),
                failover: failover::Failover::new(),
                waiting: collections::HashMap::new(),
                is_asking: false,
                is_returning: false,
                is_answered: true,
            }),
            counters: Counters::default(),
        })
    }

    /// Replaces the addresses of the coordinators, which are in order of preference.
    pub fn set_coordinators(&self, addresses: &[net::SocketAddr]) {
        if self.coordinators.load().as_slice() != addresses {
            self.coordinators.store(sync::Arc::new(addresses.to_vec()));
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> Vec<u8> {
        let counter = |name, help, value: &atomic::AtomicU64| telemetry::Sample {
            name,
            help,
            kind: telemetry::Kind::Counter,
            value: value.load(atomic::Ordering::Relaxed),
        };
        let counters = &self.counters;
        let samples = [
            counter(
                "nutmegdale_quota_admitted_total",
                "Requests of limited accounts that were admitted.",
                &counters.admitted,
            ),
            counter(
                "nutmegdale_quota_waited_total",
                "Requests of limited accounts that waited for an answer of a coordinator.",
                &counters.waited,
            ),
            counter(
                "nutmegdale_quota_refused_total",
                "Requests refused because their account was over its limit.",
                &counters.refused,
            ),
            counter(
                "nutmegdale_quota_unavailable_total",
                "Requests refused because no coordinator answered for their account.",
                &counters.unavailable,
            ),
            counter(
                "nutmegdale_quota_returned_total",
                "Tokens returned by requests that did not run.",
                &counters.returned,
            ),
            counter(
                "nutmegdale_quota_calls_total",
                "Calls to coordinators for tokens.",
                &counters.calls,
            ),
            counter(
                "nutmegdale_quota_calls_failed_total",
                "Calls to coordinators for tokens that failed or found no lease.",
                &counters.calls_failed,
            ),
        ];
        samples
            .iter()
            .map(telemetry::Sample::text)
            .collect::<String>()
            .into_bytes()
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Starts to decide on a request; what is not decided at once arrives through the receiver.
    fn begin(
        self: &sync::Arc<Quota>,
        name: &str,
        time_left: clock::Millis,
    ) -> Result<gate::Verdict, oneshot::Receiver<gate::Verdict>> {
        let now = self.clock.now();
        let mut state = self.state();
        let ticket = match state.holder.admit(now, name, time_left) {
            holder::Admission::Decided(verdict) => return Ok(verdict),
            holder::Admission::Waits(ticket) => ticket,
        };
        metrics::increment(&self.counters.waited);
        let (verdict_tx, verdict_rx) = oneshot::channel();
        let account = name.to_owned();
        let waiting = Waiting {
            account,
            verdict_tx,
        };
        state.waiting.insert(ticket, waiting);
        if !std::mem::replace(&mut state.is_asking, true) {
            let quota = sync::Arc::clone(self);
            tokio::spawn(async move { quota.ask_all().await });
        }
        Err(verdict_rx)
    }

    fn finish(&self, name: &str, verdict: gate::Verdict) -> gate::Verdict {
        let counter = match verdict {
            gate::Verdict::Granted => &self.counters.admitted,
            gate::Verdict::OverLimit { .. } => &self.counters.refused,
            gate::Verdict::Unavailable { .. } => &self.counters.unavailable,
        };
        metrics::increment(counter);
        if let gate::Verdict::OverLimit { retry_after } = verdict
            && let Some(suppressed) = self.lines.admit(self.clock.now())
        {
            slog::info!(self.log, "account is over its limit"; "account" => name,
                "retry_ms" => retry_after.0, "suppressed" => suppressed);
        }
        verdict
    }

    /// Asks until no request waits.
    async fn ask_all(&self) {
        loop {
            let now = self.clock.now();
            let question = {
                let mut state = self.state();
                let question = state.holder.question(now);
                state.is_asking = question.is_some();
                question
            };
            let Some(question) = question else {
                return;
            };
            self.ask(now, question).await;
        }
    }

    /// Asks one coordinator after another until the question is answered.
    async fn ask(&self, started: clock::Millis, mut question: message::TakeRequest) {
        let targets = self.coordinators.load_full();
        let mut tried = Vec::new();
        let mut is_answered = false;
        while !question.asks.is_empty() {
            let asked_at = self.clock.now();
            let is_late = asked_at.since(started) > QUESTION_MAX_MS;
            if is_late {
                break;
            }
            let Some(target) = self.next_target(asked_at, &targets, &tried, &question) else {
                let is_unknown = question.asks.iter().any(|ask| !ask.is_elsewhere);
                if !is_answered || !is_unknown {
                    break;
                }
                // Coordinators get their shares of a new account at about this time.
                tokio::time::sleep(UNKNOWN_RETRY).await;
                tried.clear();
                self.state().holder.repeat(&mut question);
                continue;
            };
            tried.push(target);
            metrics::increment(&self.counters.calls);
            let call =
                self.client
                    .call_compact(target, message::TAKE, &question, CLIENT_TIMEOUT_MS);
            let reply = tokio::time::timeout(CALL_TIMEOUT, call).await;
            let reply: Option<message::TakeReply> = reply.ok().and_then(Result::ok);
            let reply = reply.filter(|reply| reply.is_available);
            if !is_answered {
                self.record_call(target, &targets, reply.is_some());
            }
            if let Some(reply) = reply {
                is_answered = true;
                let now = self.clock.now();
                let verdicts = (self.state().holder).settle(now, asked_at, &mut question, &reply);
                self.deliver(verdicts);
            }
            question.retain_unreceived();
        }
        let verdicts = self.state().holder.give_up(self.clock.now(), &question);
        let is_answered = question.asks.iter().all(|ask| ask.is_elsewhere);
        self.log_answered(is_answered, tried.len());
        self.deliver(verdicts);
    }

    /// Returns the coordinator to ask next: the one that answered last, or another one if that one
    /// failed or has no token.
    fn next_target(
        &self,
        now: clock::Millis,
        targets: &[net::SocketAddr],
        tried: &[net::SocketAddr],
        question: &message::TakeRequest,
    ) -> Option<net::SocketAddr> {
        let is_untried = |target: &net::SocketAddr| !tried.contains(target);
        if question.asks.iter().any(|ask| !ask.is_elsewhere) {
            let next = self.state().failover.next(now, targets);
            if next.as_ref().is_some_and(is_untried) {
                return next;
            }
            return targets.iter().copied().find(is_untried);
        }
        // Spreads over all coordinators what one zone lacks.
        let others: Vec<_> = targets.iter().copied().filter(is_untried).collect();
        let draw = digest::of(&(question.holder, question.number));
        let count = others.len().max(1) as u64;
        others.get((draw % count) as usize).copied()
    }

    /// Records the result of a call for the choice of the next coordinator.
    fn record_call(&self, target: net::SocketAddr, targets: &[net::SocketAddr], is_answered: bool) {
        let now = self.clock.now();
        let failover = &mut self.state().failover;
        if is_answered {
            failover.record_success(now, target, targets);
        } else {
            metrics::increment(&self.counters.calls_failed);
            failover.record_failure(now, target);
        }
    }

    fn deliver(&self, verdicts: Vec<(holder::Ticket, gate::Verdict)>) {
        let now = self.clock.now();
        let mut state = self.state();
        for (ticket, verdict) in verdicts {
            let Some(waiting) = state.waiting.remove(&ticket) else {
                continue;
            };
            let is_received = waiting.verdict_tx.send(verdict).is_ok();
            if !is_received && verdict == gate::Verdict::Granted {
                state.holder.refund(now, &waiting.account);
            }
        }
    }

    /// Logs when no coordinator answers any more, and when one does again.
    fn log_answered(&self, is_answered: bool, tried_count: usize) {
        let was_answered = std::mem::replace(&mut self.state().is_answered, is_answered);
        if was_answered == is_answered {
            return;
        }
        let Some(suppressed) = self.lines.admit(self.clock.now()) else {
            return;
        };
        let log = self.log.new(slog::o!("coordinators_tried" => tried_count,
            "suppressed" => suppressed));
        match is_answered {
            true => slog::info!(log, "coordinators answer for limits of accounts"),
            false => slog::warn!(log, "no coordinator answers for limits of accounts"),
        }
    }

    /// Returns the token of a request of the account `name` that did not run.
    fn give_back(self: &sync::Arc<Quota>, name: &str) {
        metrics::increment(&self.counters.returned);
        let now = self.clock.now();
        let mut state = self.state();
        state.holder.refund(now, name);
        if state.is_returning || !state.holder.has_returned(now) {
            return;
        }
        state.is_returning = true;
        let quota = sync::Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(RETURN_DELAY).await;
            let is_idle = {
                let mut state = quota.state();
                state.is_returning = false;
                !std::mem::replace(&mut state.is_asking, true)
            };
            if is_idle {
                quota.ask_all().await;
            }
        });
    }
}

/// Gate that admits requests within the limits of their accounts.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Gate {
    quota: sync::Arc<Quota>,
}

impl Gate {
    /// Creates the gate.
    pub fn new(quota: sync::Arc<Quota>) -> Gate {
        Gate { quota }
    }
}

impl gate::Gate for Gate {
    fn acquire<'a>(
        &'a self,
        account: &'a account::Account,
        time_left: clock::Millis,
    ) -> gate::VerdictFuture<'a> {
        if account.limit.is_none() {
            return Box::pin(future::ready(gate::Verdict::Granted));
        }
        let name = &account.name;
        match self.quota.begin(name, time_left) {
            Ok(verdict) => Box::pin(future::ready(self.quota.finish(name, verdict))),
            Err(rx) => Box::pin(async move {
                // The task that asks ends only after it has decided on all.
                let verdict = rx.await.unwrap_or(gate::Verdict::Unavailable {
                    retry_after: holder::UNAVAILABLE_RETRY,
                });
                self.quota.finish(name, verdict)
            }),
        }
    }

    fn refund(&self, account: &account::Account) {
        if account.limit.is_some() {
            self.quota.give_back(&account.name);
        }
    }
}
