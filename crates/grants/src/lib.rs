//! Right to send to a cold server: one entry process at a time holds it.
//!
//! A cold server collapses under a full share, and entry processes do not see each other's
//! requests, so counting in each of them cannot bound what the server gets. [`table::Table`] is the
//! leader's record of who holds which grant; [`holder::Holder`] is the entry process's side, and
//! [`lease::Lease`] the part of it that the path of a request reads. Nobody needs synchronised
//! clocks: each side counts spans on its own clock, and the holder's span starts before the
//! leader's. See [docs/design.md](../../../docs/design.md), section 6, "Cold servers".

pub mod holder;
pub mod lease;
pub mod message;
pub mod table;

use nutmegdale_base::clock;

/// Time after the sending of a sync during which the grants of its answer may be used.
pub const GRANT_MS: clock::Millis = clock::Millis(2_000);
/// Longest time of a request at a cold server; the path of a request ends it then.
pub const REQUEST_MAX_MS: clock::Millis = clock::Millis(10_000);
/// Part by which two clocks may differ in rate, in thousandths, far above any working clock.
const DRIFT_MILLI: u64 = 10;
/// Time after the last renewal of a grant, or after the start of a leader's term, until which a
/// request under it may still be at the server.
pub const HOLD_OFF_MS: clock::Millis =
    clock::Millis((GRANT_MS.0 + REQUEST_MAX_MS.0) * (1_000 + DRIFT_MILLI) / 1_000);
