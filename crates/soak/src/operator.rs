//! Operator of the soak: changes the configuration, reads it back, and empties zones.

use crate::{ledger, server, wire};
use nutmegdale_base::rng;
use nutmegdale_base::rng::Rng;
use std::net;
use std::sync;
use std::time;

/// Time for one call.
const CALL_MS: u64 = 1_000;
/// Pause after a call without a clear answer.
const PAUSE_MS: u64 = 150;
/// Time after which an order without an acknowledgement is given up.
const ORDER_MS: u64 = 12_000;
/// Time after an acknowledgement from which no older version may be read.
const APPLY_MS: u64 = 2_000;

/// Operator.
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
    /// Newest version that was acknowledged, with the time.
    acknowledged: Option<(u64, time::Instant)>,
    /// Newest version that was sent.
    sent: u64,
}

impl Operator {
    /// Creates an operator.
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
                sent: 0,
            }),
        }
    }

    /// Sends an order to one process after the other until one gives a clear answer.
    async fn order(
        &self,
        rng: &mut rng::SplitMix64,
        message: &wire::Message,
        limit_ms: u64,
    ) -> Option<nutmegdale_testkit::http::Answer> {
        let end = time::Instant::now() + time::Duration::from_millis(limit_ms);
        while time::Instant::now() < end {
            let target = self.control[rng.below(self.control.len() as u64) as usize];
            match server::send(target, message, CALL_MS).await {
                Some(answer) if answer.status < 500 => return Some(answer),
                _ => tokio::time::sleep(time::Duration::from_millis(PAUSE_MS)).await,
            }
        }
        None
    }

    /// Puts the next version in force; returns whether it was acknowledged.
    pub async fn configure(&self) -> bool {
        let mut state = self.state.lock().await;
        let base = state.sent;
        // A version without a clear answer is sent again before another one builds on it.
        let is_open = state.acknowledged.map_or(0, |(version, _)| version) < base;
        let (version, base) = match is_open {
            true => (base, state.acknowledged.map_or(0, |(version, _)| version)),
            false => (base + 1, base),
        };
        state.sent = version;
        let message = self.wire.configure(version, base);
        let answer = self.order(&mut state.rng, &message, ORDER_MS).await;
        match answer {
            Some(answer) if answer.status == 200 => {
                state.acknowledged = Some((version, time::Instant::now()));
                true
            }
            Some(answer) => {
                let status = answer.status;
                let text = format!("configuration {version} on top of {base} got {status}");
                self.ledger.broken(text);
                false
            }
            None => false,
        }
    }

    /// Reads the configuration at each control process and notes versions that are too old;
    /// returns how many processes answered.
    pub async fn read(&self) -> usize {
        let mut answered = 0;
        for target in &self.control {
            let state = self.state.lock().await;
            let apply = time::Duration::from_millis(APPLY_MS);
            let acknowledged = state.acknowledged.filter(|(_, at)| at.elapsed() >= apply);
            drop(state);
            let answer = server::send(*target, &self.wire.read(), CALL_MS).await;
            let Some(answer) = answer.filter(|answer| answer.status == 200) else {
                continue;
            };
            answered += 1;
            let version = self.wire.version(&answer.body);
            if let Some((oldest, _)) = acknowledged
                && version.is_none_or(|version| version < oldest)
            {
                let text = format!("{target} reads version {version:?}, {oldest} is acknowledged");
                self.ledger.broken(text);
            }
        }
        answered
    }

    /// Takes a zone out of service or back in; returns whether that was acknowledged.
    pub async fn set_zone(&self, zone: &str, is_out: bool) -> bool {
        let message = self.wire.set_zone(zone, is_out);
        let mut rng = rng::SplitMix64::new(zone.len() as u64 + u64::from(is_out));
        let answer = self.order(&mut rng, &message, ORDER_MS).await;
        answer.is_some_and(|answer| answer.status < 300)
    }
}
