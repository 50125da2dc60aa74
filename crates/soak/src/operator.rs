//! Operator of the soak: changes the configuration, reads it back, and takes zones out of service.

use crate::{ledger, server, wire};
use nutmegdale_base::rng;
use nutmegdale_base::rng::Rng;
use std::net;
use std::sync;
use std::time;

/// Timeout of one call.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Delay before a call without a definite response is retried.
const RETRY_DELAY_MS: u64 = 150;
/// Time after which an order is no longer retried.
const RETRY_MAX_MS: u64 = 12_000;
/// Time after the acknowledgement of a version from which no older one may be read.
const PROPAGATION_MAX_MS: u64 = 2_000;

/// Sends orders to the control processes and checks what they return.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Operator {
    control: Vec<net::SocketAddr>,
    ledger: sync::Arc<ledger::Ledger>,
    wire: sync::Arc<dyn wire::Wire>,
    state: tokio::sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: rng::SplitMix64,
    /// Newest version that was acknowledged, and when.
    acknowledged: Option<(u64, time::Instant)>,
    /// Newest version that was sent.
    last_sent: u64,
}

impl Operator {
    /// Creates an operator for the control processes at `control`.
    pub fn new(
        seed: u64,
        control: Vec<net::SocketAddr>,
        ledger: sync::Arc<ledger::Ledger>,
        wire: sync::Arc<dyn wire::Wire>,
    ) -> Operator {
        Operator {
            control,
            ledger,
            wire,
            state: tokio::sync::Mutex::new(State {
                rng: rng::SplitMix64::new(seed),
                acknowledged: None,
                last_sent: 0,
            }),
        }
    }

    /// Sends an order to random control processes until one responds with a status below 500 or the
    /// time runs out.
    async fn send_with_retries(
        &self,
        rng: &mut rng::SplitMix64,
        message: &wire::Message,
        retry_max_ms: u64,
    ) -> Option<nutmegdale_testkit::http::Answer> {
        let deadline = time::Instant::now() + time::Duration::from_millis(retry_max_ms);
        while time::Instant::now() < deadline {
            let target = self.control[rng.below(self.control.len() as u64) as usize];
            match server::send(target, message, CALL_TIMEOUT_MS).await {
                Some(answer) if answer.status < 500 => return Some(answer),
                _ => tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await,
            }
        }
        None
    }

    /// Writes the next version of the configuration; returns whether it was acknowledged.
    pub async fn configure(&self) -> bool {
        let mut state = self.state.lock().await;
        let base = state.last_sent;
        // A version without a definite response is sent again before the next one replaces it.
        let is_unacknowledged = state.acknowledged.map_or(0, |(version, _)| version) < base;
        let (version, base) = match is_unacknowledged {
            true => (base, state.acknowledged.map_or(0, |(version, _)| version)),
            false => (base + 1, base),
        };
        state.last_sent = version;
        let message = self.wire.configure(version, base);
        let answer = self
            .send_with_retries(&mut state.rng, &message, RETRY_MAX_MS)
            .await;
        match answer {
            Some(answer) if answer.status == 200 => {
                state.acknowledged = Some((version, time::Instant::now()));
                true
            }
            Some(answer) => {
                let status = answer.status;
                let text = format!(
                    "configuration {version} with base {base} was rejected with status {status}"
                );
                self.ledger.record_violation(text);
                false
            }
            None => false,
        }
    }

    /// Reads the configuration from each control process and records a violation for each version
    /// that is too old; returns how many processes answered.
    pub async fn read(&self) -> usize {
        let mut answered_count = 0;
        for target in &self.control {
            let state = self.state.lock().await;
            let propagation_max = time::Duration::from_millis(PROPAGATION_MAX_MS);
            let acknowledged = state
                .acknowledged
                .filter(|(_, at)| at.elapsed() >= propagation_max);
            drop(state);
            let answer = server::send(*target, &self.wire.read(), CALL_TIMEOUT_MS).await;
            let Some(answer) = answer.filter(|answer| answer.status == 200) else {
                continue;
            };
            answered_count += 1;
            let version = self.wire.parse_version(&answer.body);
            if let Some((oldest, _)) = acknowledged
                && version.is_none_or(|version| version < oldest)
            {
                let text = format!(
                    "{target} returns version {version:?} although {oldest} is acknowledged"
                );
                self.ledger.record_violation(text);
            }
        }
        answered_count
    }

    /// Takes a zone out of service or back in; returns whether that was acknowledged.
    pub async fn set_zone(&self, zone: &str, is_out: bool) -> bool {
        let message = self.wire.set_zone(zone, is_out);
        let mut rng = rng::SplitMix64::new(zone.len() as u64 + u64::from(is_out));
        let answer = self
            .send_with_retries(&mut rng, &message, RETRY_MAX_MS)
            .await;
        answer.is_some_and(|answer| answer.status < 300)
    }
}
