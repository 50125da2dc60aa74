//! Grants: exclusive, leased rights of one entry process to send requests to a cold server.
//!
//! A cold server collapses under a full share of requests, and entry processes do not see each
//! other's requests, so counting in each of them cannot bound the load of the server.
//! [`table::Table`] is the leader's record of the holder of each grant; [`holder::Holder`] is the
//! entry process's side, and [`lease::Lease`] the part of it that the request path reads. Clocks
//! need not be synchronised: each side measures durations on its own clock, and the lease of the
//! holder starts before that of the leader. See
//! [docs/design.md](../../../docs/design.md), section 6, "Cold servers".

pub mod holder;
pub mod lease;
pub mod message;
pub mod table;

use nutmegdale_base::clock;

/// Duration of the lease that the answer to a sync grants, counted from the sending of the sync.
pub const GRANT_MS: clock::Millis = clock::Millis(2_000);
/// Maximum duration of a request at a cold server, after which the request path cancels it.
pub const REQUEST_MAX_MS: clock::Millis = clock::Millis(10_000);
/// Assumed bound of the difference in rate of two clocks, in thousandths, far above that of any
/// working clock.
const DRIFT_MILLI: u64 = 10;
/// Time after the last renewal of a grant, or after the start of a leader's term, during which a
/// request under an earlier lease may still be at the server.
pub const HOLD_OFF_MS: clock::Millis =
    clock::Millis((GRANT_MS.0 + REQUEST_MAX_MS.0) * (1_000 + DRIFT_MILLI) / 1_000);
