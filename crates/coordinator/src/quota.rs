//! Limits of accounts: serves tokens to entry processes, gets this coordinator's shares from the
//! leader, and divides the limits while this replica leads.
//!
//! The decisions are those of `nutmegdale-quota`; this module reads the clock and the registry, and
//! sends the reports. See [docs/design/quotas.md](../../../docs/design/quotas.md).

use crate::operations;
use nutmegdale_base::clock;
use nutmegdale_consensus::status;
use nutmegdale_quota::{division, gate, message, pool};
use nutmegdale_telemetry::{limiter, metrics};
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use std::collections;
use std::hash::{BuildHasher, Hasher};
use std::net;
use std::sync;
use std::time;

/// Interval at which the task looks for changes; the shortest interval of reports.
const TICK: time::Duration = time::Duration::from_millis(pool::REPORT_INTERVAL_URGENT.0);
/// Timeout of a report. Further reports wait for it, and a lease covers a dozen.
const REPORT_TIMEOUT_MS: clock::Millis = clock::Millis(500);
/// Part of the tolerated number of requests over a limit that is divided evenly, so that each zone
/// has tokens also of an account with one request a second. The rest is left to requests that reach
/// servers closer together than they were admitted.
const SPARE_PART: f64 = 0.6;
/// Maximum number of log lines on shares per second.
const LINES_PER_SECOND: u64 = 5;

type Limits = collections::BTreeMap<String, nutmegdale_accounts::account::Limit>;

#[derive(Debug)]
struct State {
    pool: pool::Pool,
    /// Division of this replica, if it leads or was the last to lead.
    division: Option<division::Division>,
    limits: Limits,
    /// Version from which the limits were decoded.
    version: u64,
    /// Last index of the log when this replica was first seen to lead, with the term.
    led_from: Option<(u64, u64)>,
    has_lease: bool,
}

/// Limits of accounts on one coordinator.
#[derive(Debug)]
pub(crate) struct Quota {
    spare: f64,
    state: sync::Mutex<State>,
    metrics: Metrics,
    lines: limiter::Limiter,
}

impl Quota {
    /// Creates the state of a coordinator that has no shares and serves at `address`.
    pub(crate) fn new(address: net::SocketAddr, bound: &gate::Bound) -> Quota {
        let id = collections::hash_map::RandomState::new().build_hasher();
        Quota {
            spare: bound.slack * SPARE_PART,
            state: sync::Mutex::new(State {
                pool: pool::Pool::new(id.finish(), address),
                division: None,
                limits: Limits::new(),
                version: 0,
                led_from: None,
                has_lease: false,
            }),
            metrics: Metrics::new(),
            lines: limiter::Limiter::new(LINES_PER_SECOND),
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn metrics_text(&self) -> Vec<u8> {
        metrics::encode(&self.metrics.registry)
    }
}

impl operations::Operations {
    /// Answers the question of an entry process for tokens; `None` if the deployment has no limits.
    pub fn quota_take(&self, req: &message::TakeRequest) -> Option<message::TakeReply> {
        let quota = self.quota.as_ref()?;
        let reply = quota.state().pool.take(self.clock.now(), req);
        quota.metrics.count_take(req, &reply);
        Some(reply)
    }

    /// Answers the report of another coordinator.
    pub(crate) fn answer_report(
        &self,
        report: &message::SharesRequest,
    ) -> Result<message::SharesReply, String> {
        let quota = self.quota.as_ref();
        let quota = quota.ok_or("the deployment has no limits of accounts")?;
        self.quota_shares(quota, report)
    }

    fn quota_shares(
        &self,
        quota: &Quota,
        report: &message::SharesRequest,
    ) -> Result<message::SharesReply, String> {
        let mut state = quota.state();
        self.refresh_limits(quota, &mut state);
        let now = self.clock.now();
        let division = self.division(quota, &mut state, now);
        let division = division.ok_or("this coordinator does not lead")?;
        division.answer(now, report).map_err(|err| err.to_string())
    }

    /// Decodes the limits if the version of the configuration has changed.
    fn refresh_limits(&self, quota: &Quota, state: &mut State) {
        if self.version() == state.version {
            return;
        }
        let current = self.local_config();
        let document = current.document.unpack();
        let config = document.map_err(|err| err.to_string()).and_then(|bytes| {
            let config = self.codec.decode(&bytes);
            config.map_err(|err| err.to_string())
        });
        state.version = current.version;
        let config = match config {
            Ok(config) => config,
            Err(err) => {
                // Unexpected: the configuration was decoded before it was accepted.
                slog::error!(self.log, "limits of accounts cannot be decoded";
                    "version" => current.version, "error" => err);
                return;
            }
        };
        let accounts = config.accounts.into_iter().flatten();
        let limits = accounts.filter_map(|account| Some((account.name, account.limit?)));
        let limits: Limits = limits.collect();
        if limits == state.limits {
            return;
        }
        let now = self.clock.now();
        state.pool.set_limits(now, &limits, quota.spare);
        if let Some(division) = &mut state.division {
            division.set_limits(now, &limits);
        }
        slog::info!(self.log, "limits of accounts changed"; "version" => current.version,
            "accounts" => limits.len());
        quota.metrics.accounts.set(limits.len() as i64);
        state.limits = limits;
    }

    /// Returns the division, if a quorum has recently confirmed that this replica leads.
    fn division<'a>(
        &self,
        quota: &Quota,
        state: &'a mut State,
        now: clock::Millis,
    ) -> Option<&'a mut division::Division> {
        let status = self.handle.status();
        if status.role != status::Role::Leader {
            state.division = None;
            return None;
        }
        let confirmed_at = status.quorum_contact_at?;
        if now.since(confirmed_at) > division::CONFIRMATION_MAX {
            return None;
        }
        let term = status.term.0;
        if state.division.as_ref().map(division::Division::term) != Some(term) {
            // An earlier leader may have divided limits that this replica has not applied yet.
            if status.applied < status.commit {
                return None;
            }
            state.division = Some(self.start_division(quota, state, now, term));
        }
        let division = state.division.as_mut()?;
        let members = &status.members.members;
        division.expect(members.len());
        division.set_members(members.iter().map(|member| member.address));
        Some(division)
    }

    fn start_division(
        &self,
        quota: &Quota,
        state: &mut State,
        now: clock::Millis,
        term: u64,
    ) -> division::Division {
        self.refresh_limits(quota, state);
        let first = self.shared.first_configuration();
        let is_first_own = state.led_from.zip(first).is_some_and(
            // No leader before has had a configuration.
            |((led_term, last), first)| led_term == term && first > last,
        );
        let none = Limits::new();
        let divided = if is_first_own { &none } else { &state.limits };
        slog::info!(self.log, "limits of accounts are divided"; "term" => term,
            "accounts" => state.limits.len(), "divided_before" => divided.len());
        let mut division = division::Division::new(now, term, quota.spare, divided);
        division.set_limits(now, &state.limits);
        division
    }

    /// Gets shares from the leader until the task is aborted.
    pub(crate) async fn run_quota(&self) {
        let Some(quota) = &self.quota else {
            return std::future::pending().await;
        };
        let mut leads = self.handle.subscribe();
        let mut index = self.shared.subscribe();
        loop {
            let led_term = quota.state().led_from.map(|(term, _)| term);
            let has_begun = |status: &sync::Arc<status::Status>| {
                status.role == status::Role::Leader && Some(status.term.0) != led_term
            };
            let led_from = async {
                let status = leads.wait_for(has_begun).await;
                status.map(|status| (status.term.0, status.last.0))
            };
            tokio::select! {
                // An error means that the replica has stopped, after which the process ends.
                Ok(led_from) = led_from => quota.state().led_from = Some(led_from),
                // New limits are divided at once: entry processes learn of them at the same time.
                Ok(()) = index.changed() => {
                    if self.version() != quota.state().version {
                        self.exchange_shares(quota).await;
                    }
                }
                () = tokio::time::sleep(TICK) => self.exchange_shares(quota).await,
            }
        }
    }

    async fn exchange_shares(&self, quota: &Quota) {
        self.refresh_limits(quota, &mut quota.state());
        self.report(quota).await;
        self.log_lease(quota);
    }

    /// Sends a report to the leader if one is due, and applies the reply.
    async fn report(&self, quota: &Quota) {
        let status = self.handle.status();
        let Some(leader) = status.leader_member().map(|leader| leader.address) else {
            return;
        };
        let asked_at = self.clock.now();
        let report = {
            let mut state = quota.state();
            let has_limits = !state.limits.is_empty() || state.has_lease;
            if !has_limits || !state.pool.is_report_due(asked_at) {
                return;
            }
            state.pool.report(asked_at)
        };
        let reply = if status.role == status::Role::Leader {
            self.quota_shares(quota, &report)
        } else {
            let call =
                self.client
                    .call_compact(leader, message::SHARES, &report, REPORT_TIMEOUT_MS);
            call.await.map_err(|err| err.to_string())
        };
        let now = self.clock.now();
        let mut state = quota.state();
        let outcome = match reply {
            Ok(reply) => {
                self.log_offers(quota, &reply, now);
                match state.pool.apply(now, asked_at, &report, reply) {
                    true => "renewed",
                    false => "not-renewed",
                }
            }
            Err(_) => {
                state.pool.record_lost();
                "failed"
            }
        };
        quota.metrics.reports.with_label_values(&[outcome]).inc();
        let lease_left = state.pool.lease_left(now);
        quota.metrics.lease_left_ms.set(lease_left.0 as i64);
    }

    fn log_offers(&self, quota: &Quota, reply: &message::SharesReply, now: clock::Millis) {
        let largest = reply
            .offers
            .iter()
            .max_by(|a, b| a.share.rate.total_cmp(&b.share.rate));
        let Some(largest) = largest else {
            return;
        };
        if let Some(suppressed) = quota.lines.admit(now) {
            slog::info!(self.log, "shares of limits changed"; "term" => reply.id.term,
                "reply" => reply.id.number, "accounts" => reply.offers.len(),
                "largest" => &largest.account, "rate" => largest.share.rate,
                "burst" => largest.share.burst, "suppressed" => suppressed);
        }
    }

    /// Logs when the lease on the shares has ended, and when there is one again.
    fn log_lease(&self, quota: &Quota) {
        let now = self.clock.now();
        let mut state = quota.state();
        let has_lease = state.pool.lease_left(now) > clock::Millis::ZERO;
        if has_lease != state.has_lease {
            let log = self.log.new(slog::o!("accounts" => state.limits.len()));
            match has_lease {
                true => slog::info!(log, "lease on shares of limits begins"),
                false => slog::warn!(log, "lease on shares of limits has ended"),
            }
            state.has_lease = has_lease;
        }
    }
}

/// Metrics of the limits of accounts. No label names an account.
#[derive(Debug)]
struct Metrics {
    registry: Registry,
    takes: IntCounterVec,
    tokens: IntCounterVec,
    reports: IntCounterVec,
    refused: IntCounter,
    accounts: IntGauge,
    lease_left_ms: IntGauge,
}

impl Metrics {
    fn new() -> Metrics {
        let valid = "names and labels are valid and registered once";
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect(valid);
            registry.register(Box::new(counters.clone())).expect(valid);
            counters
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect(valid);
            registry.register(Box::new(gauge.clone())).expect(valid);
            gauge
        };
        let takes = counters(
            "nutmegdale_quota_takes_total",
            "Questions of entry processes for tokens.",
            "outcome",
        );
        let tokens = counters(
            "nutmegdale_quota_tokens_total",
            "Tokens granted to entry processes.",
            "kind",
        );
        let reports = counters(
            "nutmegdale_quota_reports_total",
            "Reports to the leader, which renew the lease on shares.",
            "outcome",
        );
        let refused = IntCounter::new(
            "nutmegdale_quota_tokens_refused_total",
            "Waiting requests of entry processes that got no token.",
        );
        let refused = refused.expect(valid);
        registry.register(Box::new(refused.clone())).expect(valid);
        let accounts = gauge("nutmegdale_quota_accounts", "Accounts with a limit.");
        let lease_left_ms = gauge(
            "nutmegdale_quota_lease_left_ms",
            "Time for which this coordinator's shares are valid, as of its last report.",
        );
        Metrics {
            takes,
            tokens,
            reports,
            refused,
            accounts,
            lease_left_ms,
            registry,
        }
    }

    fn count_take(&self, req: &message::TakeRequest, reply: &message::TakeReply) {
        let outcome = match reply.is_available {
            true => "answered",
            false => "no-lease",
        };
        self.takes.with_label_values(&[outcome]).inc();
        for (ask, give) in req.asks.iter().zip(&reply.gives) {
            let Some(give) = give else {
                continue;
            };
            let tokens = |kind: &str, count: u32| {
                let tokens = self.tokens.with_label_values(&[kind]);
                tokens.inc_by(u64::from(count));
            };
            tokens("prompt", give.prompt);
            tokens("ahead", give.ahead);
            let refused = ask.waiting.saturating_sub(give.prompt);
            self.refused.inc_by(u64::from(refused));
        }
    }
}
