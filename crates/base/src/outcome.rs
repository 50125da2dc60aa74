//! Outcome of a request, as the caller sees it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What happened to a request that an entry VM received.
///
/// Invariant: `NotRun` is created only where no byte of the request can have been executed, and
/// nothing turns `Unknown` into `NotRun`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole response of a backend server was or is being forwarded.
    Answered,
    /// The request provably did not run.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl Outcome {
    /// Returns the value of the `nutmegdale-outcome` header.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Returns the reason of an outcome other than `Answered`.
    pub fn reason(self) -> Option<Reason> {
        match self {
            Outcome::Answered => None,
            Outcome::NotRun(reason) | Outcome::Unknown(reason) => Some(reason),
        }
    }
}

macro_rules! reasons {
    ($($(#[$attr:meta])* $variant:ident = $name:literal,)*) => {
        /// Why a request was not answered by a backend server.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$attr])* $variant,)*
        }

        impl Reason {
            /// Every reason, for metrics with a bounded label set.
            pub const ALL: &[Reason] = &[$(Reason::$variant,)*];

            /// Returns the value of the `nutmegdale-reason` header.
            pub fn name(self) -> &'static str {
                match self {
                    $(Reason::$variant => $name,)*
                }
            }
        }
    };
}

reasons! {
    /// No route of the catalogue matches the path.
    NoRoute = "no-route",
    /// The account is missing, unknown or not permitted on the route.
    Account = "account",
    /// The request is malformed.
    BadRequest = "bad-request",
    /// The entry VM holds no catalogue that a quorum confirmed in time.
    ConfigLease = "config-lease",
    /// The entry VM lies outside the home regions of the route.
    HomeRegion = "home-region",
    /// The availability zone of the entry VM is out of service.
    ZoneOut = "zone-out",
    /// The entry VM is shutting down.
    ShuttingDown = "shutting-down",
    /// A configured limit is reached.
    Limit = "limit",
    /// Every usable backend server is full.
    Overload = "overload",
    /// Every usable backend server asked for no requests for a while.
    Backoff = "backoff",
    /// Every usable backend server has reached the rate limit that it names.
    ServerLimit = "server-limit",
    /// Backend servers crashed each time that they ran the request.
    CrashesServers = "crashes-servers",
    /// No usable backend server is announced.
    NoServer = "no-server",
    /// No connection to a backend server could be made.
    Connect = "connect",
    /// The backend server refused the request and stated that it did not run.
    ServerRefused = "server-refused",
    /// The deadline passed.
    Deadline = "deadline",
    /// The exchange with the backend server failed after the request was sent.
    BrokenAnswer = "broken-answer",
    /// The ledger of one-time requests could not be reached.
    Ledger = "ledger",
    /// The idempotency key is missing, too long or used with another request.
    Key = "key",
    /// An earlier attempt of the same one-time request is in flight.
    Pending = "pending",
    /// An earlier attempt of the same one-time request failed and may have run.
    EarlierSend = "earlier-send",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
