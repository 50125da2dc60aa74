//! Messages of the limits of accounts. Spans in them count on the clock of the receiver, from
//! before it sent its question.

use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::net;

/// Name of the call by which an entry process takes tokens from a coordinator.
pub const TAKE: &str = "quota-take";
/// Name of the call by which a coordinator gets its shares from the leader.
pub const SHARES: &str = "quota-shares";

/// Time for which a share is valid after the request that renewed it was sent. It covers the
/// election of a leader and some lost messages; it also bounds how long a coordinator without a
/// leader grants from a share of a limit that was lowered meanwhile.
pub const LEASE: clock::Millis = clock::Millis(6_000);
/// Time for which a token for a waiting request is valid, from the question on.
pub const PROMPT_VALID: clock::Millis = clock::Millis(200);
/// Longest time for which a token that was granted ahead is valid, from the question on.
pub const AHEAD_VALID: clock::Millis = clock::Millis(1_000);

/// Question of an entry process for tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TakeRequest {
    /// Random number of this run of the entry process.
    pub holder: u64,
    /// Number of the question, which increases, so that returned tokens count once.
    pub number: u64,
    /// Accounts that need tokens.
    pub asks: Vec<Ask>,
}

impl TakeRequest {
    /// Prepares the question for another coordinator, after one that may have received it.
    pub fn retain_unreceived(&mut self) {
        for ask in &mut self.asks {
            ask.returned = 0;
        }
    }
}

/// Tokens that an entry process asks for. It holds no unused token of the account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Name of the account.
    pub account: String,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Tokens that the process expects to use within the next second on top of those.
    pub ahead: u32,
    /// Requests that arrived since the last question, refused ones included.
    pub arrived: u32,
    /// Tokens of requests that did not run.
    pub returned: u32,
    /// Whether the coordinator of the process has no tokens and this is another one.
    pub is_elsewhere: bool,
}

/// Answer of a coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TakeReply {
    /// Whether the coordinator has a lease on its shares; otherwise `gives` is empty.
    pub is_available: bool,
    /// Time for which tokens that were granted ahead are valid.
    pub ahead_valid: clock::Millis,
    /// Tokens for each account in the order of the question; `None` for an account of which the
    /// coordinator has no share.
    pub gives: Vec<Option<Give>>,
}

/// Tokens for one account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Give {
    /// Tokens for waiting requests.
    pub prompt: u32,
    /// Tokens for requests that are still to come.
    pub ahead: u32,
    /// Time for which asking again is useless; zero unless some waiting request got no token.
    pub exhausted_for: clock::Millis,
    /// Interval at which tokens become free for this process.
    pub interval: clock::Millis,
    /// Time until the first of them, in its turn among the processes that compete.
    pub first_in: clock::Millis,
}

/// Part of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the token bucket.
    pub burst: f64,
}

/// Reply of a leader, by which the request after it names it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyId {
    /// Term of the leader.
    pub term: u64,
    /// Number of the reply to this coordinator.
    pub number: u64,
}

/// Report of a coordinator to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharesRequest {
    /// Random number of this run of the coordinator.
    pub coordinator: u64,
    /// Address at which it serves, which no other running coordinator has.
    pub address: net::SocketAddr,
    /// Number of the report, which increases.
    pub number: u64,
    /// Last reply that the coordinator applied. It will apply no other earlier one.
    pub applied: ReplyId,
    /// Whether the lease on its shares has not ended.
    pub has_lease: bool,
    /// All its shares, if a leader asked for them.
    pub holdings: Option<Vec<(String, Share)>>,
    /// Requests per second of the accounts whose demand has changed.
    pub demands: Vec<(String, f64)>,
    /// Tokens that were cut from shares which became smaller.
    pub returned: Vec<(String, f64)>,
    /// Time since the first report of this run.
    pub up_for: clock::Millis,
}

/// Reply of the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharesReply {
    /// Identity of the reply.
    pub id: ReplyId,
    /// Whether the next report has to list all shares; this reply then renews nothing.
    pub wants_holdings: bool,
    /// Shares that change; all others are renewed as they are.
    pub offers: Vec<Offer>,
}

/// Share of one account, which replaces the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Name of the account.
    pub account: String,
    /// New share.
    pub share: Share,
    /// Tokens that come with it.
    pub tokens: f64,
}
