//! Messages between entry processes.

use crate::{crashes, server_limits, store};
use serde::{Deserialize, Serialize};

/// Facts of one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Rate limits that servers name.
    pub limits: Vec<store::Fact<server_limits::Named>>,
    /// Requests under which servers crashed.
    pub crashes: Vec<store::Fact<crashes::Evidence>>,
}

impl Facts {
    /// Returns whether there are no facts.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.crashes.is_empty()
    }
}

/// Message from one entry process to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Facts that the sender has learned recently.
    News(Facts),
    /// Digest of all facts of the sender; a receiver that holds others replies with its own.
    Compare(u64),
    /// Part of all facts of the sender.
    All {
        /// The facts.
        facts: Facts,
        /// Digest of all facts of the sender.
        digest: u64,
        /// Whether a receiver that holds others should reply with its own.
        wants_reply: bool,
    },
}
