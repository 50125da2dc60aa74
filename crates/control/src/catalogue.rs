//! The catalogue as the state machine of the control group.

use arc_swap::ArcSwap;
use nutmegdale_catalogue::{change, state};
use nutmegdale_replica::machine;
use serde::{Deserialize, Serialize};
use std::sync;
use tokio::sync::watch;

/// Command of the control group.
#[derive(Debug, Serialize, Deserialize)]
pub struct Command {
    /// Change that an operator requested.
    pub change: change::Change,
    /// Wall clock time of the leader in milliseconds since the Unix epoch, for the history.
    pub wall_ms: u64,
}

/// Accepted catalogue with the digest of its configuration.
#[derive(Debug, Clone)]
pub struct Current {
    /// Configuration with its history.
    pub accepted: state::Accepted,
    /// Digest of the configuration, with which entry processes detect a divergent copy.
    pub digest: u64,
}

impl Current {
    fn new(accepted: &state::Accepted) -> Current {
        Current {
            accepted: accepted.clone(),
            digest: accepted.config.digest(),
        }
    }
}

/// Catalogue that this replica has applied; readers take no lock.
#[derive(Debug)]
pub struct Published {
    current: ArcSwap<Current>,
    version_tx: watch::Sender<u64>,
}

impl Published {
    /// Creates the empty catalogue.
    pub fn new() -> sync::Arc<Published> {
        let current = Current::new(&state::Accepted::default());
        sync::Arc::new(Published {
            current: ArcSwap::from_pointee(current),
            version_tx: watch::Sender::new(0),
        })
    }

    /// Returns the catalogue that this replica applied last.
    pub fn load(&self) -> sync::Arc<Current> {
        self.current.load_full()
    }

    /// Returns a receiver that is notified of each new version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version_tx.subscribe()
    }
}

/// State machine that applies changes and publishes the result.
#[derive(Debug)]
pub struct Machine {
    state: state::State,
    published: sync::Arc<Published>,
}

impl Machine {
    /// Creates a machine that publishes to `published`.
    pub fn new(published: sync::Arc<Published>) -> Machine {
        Machine {
            state: state::State::new(),
            published,
        }
    }

    fn publish(&self) {
        // The clone shares the history, so its cost does not grow with the number of changes.
        let current = sync::Arc::new(Current::new(self.state.accepted()));
        self.published.current.store(current);
        let version = self.state.config().version.0;
        self.published.version_tx.send_if_modified(|last| {
            let is_new = *last != version;
            *last = version;
            is_new
        });
    }
}

impl machine::StateMachine for Machine {
    fn apply(&mut self, _index: u64, cmd: &[u8], reply: &mut Vec<u8>) {
        // Commands are encoded by this crate, and the log verifies the checksum of each record.
        let cmd: Command = rmp_serde::from_slice(cmd).expect("command was encoded by this crate");
        let before = self.state.config().version;
        let answer = self.state.apply(cmd.change, cmd.wall_ms);
        rmp_serde::encode::write_named(reply, &answer).expect("answer can be encoded");
        if self.state.config().version != before {
            self.publish();
        }
    }

    fn snapshot(&self, buf: &mut Vec<u8>) {
        rmp_serde::encode::write_named(buf, &self.state).expect("state can be encoded");
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        self.state = rmp_serde::from_slice(snapshot).map_err(|err| err.to_string())?;
        self.state.reindex();
        self.publish();
        Ok(())
    }
}
