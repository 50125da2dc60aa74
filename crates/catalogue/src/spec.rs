//! Catalogue entries as operators write them.

use nutmegdale_base::class;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use std::fmt;
use std::str;

/// Span of time that operators write with its unit, as in `90s`, `24h` or `30d`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Length in seconds.
    pub secs: u64,
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The longest unit that divides the span, so that operators read it as they write it.
        let units = [(86_400, "d"), (3_600, "h"), (60, "m")];
        let divides = |(secs, _): &(u64, &str)| self.secs > 0 && self.secs.is_multiple_of(*secs);
        let (secs, unit) = units.into_iter().find(divides).unwrap_or((1, "s"));
        write!(f, "{}{unit}", self.secs / secs)
    }
}

impl str::FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Span, String> {
        let unit_start = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(unit_start);
        let count: u64 = digits
            .parse()
            .map_err(|_| format!("{text:?} is not a time span"))?;
        let factor = match unit {
            "s" => 1,
            "m" => 60,
            "h" => 3_600,
            "d" => 86_400,
            _ => return Err(format!("time span {text:?} must end in s, m, h or d")),
        };
        let secs = count
            .checked_mul(factor)
            .ok_or(format!("time span {text:?} is too long"))?;
        Ok(Span { secs })
    }
}

/// Limits of a route or an account; a missing limit does not apply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Accepted requests per second over all entry VMs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Requests in flight over all entry VMs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// Response bytes per second over all entry VMs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes_per_second: Option<u64>,
    /// Largest request body, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
}

/// Route: a path prefix, the service that handles it and the rules for its requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Unique name of the route.
    pub name: String,
    /// Person who is responsible for the route.
    pub owner: String,
    /// Class of the requests, which decides their idempotency and priority.
    pub class: class::Class,
    /// Path prefix, matched by whole segments; the longest match wins.
    pub path_prefix: String,
    /// Service whose servers handle the requests.
    pub service: String,
    /// Regions outside which a request is neither served, forwarded nor stored; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
    /// Region of the ledger that records one-time requests; required for that class and invalid
    /// for others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger_region: Option<String>,
    /// Time for which the ledger keeps a one-time request; required for that class and invalid for
    /// others.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retention: Option<Span>,
    /// Accounts that may use the route; empty for every account.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<String>,
    /// Limits over all accounts.
    #[serde(default)]
    pub limits: Limits,
}

/// Client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Unique name of the account.
    pub name: String,
    /// Person who is responsible for the account.
    pub owner: String,
    /// Highest priority of the account: a bulk account is served as bulk on urgent routes too.
    pub class: class::Class,
    /// SHA-256 of the account's token in lower-case hexadecimal; `None` if no token is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_sha256: Option<String>,
    /// Regions outside which the account's requests are not served; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
    /// Limits over all routes.
    #[serde(default)]
    pub limits: Limits,
}

/// Availability zone and the region it lies in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Name of the zone.
    pub name: String,
    /// Name of its region.
    pub region: String,
}
