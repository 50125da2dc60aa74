//! Messages between entry processes.

use crate::{board, server_limits};
use serde::{Deserialize, Serialize};

/// Facts of one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Rate limits that servers name.
    pub limits: Vec<board::Fact<server_limits::Named>>,
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
