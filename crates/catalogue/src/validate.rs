//! Validation of a whole configuration before it is accepted.

use crate::change;
use crate::config;
use crate::spec;
use nutmegdale_accounts::key;
use nutmegdale_base::class;
use nutmegdale_base::header;
use std::collections;

/// Longest name of an entry, zone or server, in bytes.
const NAME_MAX_BYTES: usize = 64;
/// Longest path prefix, in bytes.
const PREFIX_MAX_BYTES: usize = 256;
/// Longest name of an owner, in bytes.
const OWNER_MAX_BYTES: usize = 128;
/// Maximum number of routes, accounts, servers out of service and bound ledger regions, each. Every
/// entry process receives the whole configuration.
const ENTRIES_MAX_COUNT: usize = 10_000;
/// Maximum number of zones, and therefore of regions: a set of regions is a 64-bit mask.
const ZONES_MAX_COUNT: usize = 64;
/// Longest retention of one-time requests, in seconds: one leap year.
const RETENTION_MAX_SECS: u64 = 366 * 86_400;

/// Returns every rule that a configuration breaks.
pub fn check(cfg: &config::Config) -> Vec<change::Fault> {
    let mut cx = Checker {
        cfg,
        faults: Vec::new(),
    };
    cx.check_counts();
    cx.check_zones();
    cx.check_accounts();
    cx.check_routes();
    cx.faults
}

/// Returns whether a name has 1 to 64 lower-case letters, digits and inner hyphens.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty()
        && name.len() <= NAME_MAX_BYTES
        && name.bytes().all(is_allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}

struct Checker<'a> {
    cfg: &'a config::Config,
    faults: Vec<change::Fault>,
}

impl Checker<'_> {
    fn fault(&mut self, field: String, rule: impl Into<String>) {
        self.faults.push(change::Fault {
            field,
            rule: rule.into(),
        });
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if !is_valid_name(name) {
            self.fault(
                field.to_owned(),
                "must have 1 to 64 lower-case letters, digits and inner hyphens",
            );
        }
    }

    fn check_owner(&mut self, field: &str, owner: &str) {
        if owner.trim().is_empty() {
            self.fault(format!("{field}.owner"), "must name a person");
        }
        if owner.len() > OWNER_MAX_BYTES {
            let rule = format!("must have at most {OWNER_MAX_BYTES} bytes");
            self.fault(format!("{field}.owner"), rule);
        }
    }

    fn check_counts(&mut self) {
        let counts = [
            ("routes", self.cfg.routes.len(), ENTRIES_MAX_COUNT),
            ("accounts", self.cfg.accounts.len(), ENTRIES_MAX_COUNT),
            ("servers_out", self.cfg.servers_out.len(), ENTRIES_MAX_COUNT),
            (
                "ledger_regions",
                self.cfg.ledger_regions.len(),
                ENTRIES_MAX_COUNT,
            ),
            ("zones", self.cfg.zones.len(), ZONES_MAX_COUNT),
        ];
        for (field, count, max) in counts {
            if count > max {
                self.fault(field.to_owned(), format!("must have at most {max} entries"));
            }
        }
    }

    fn check_zones(&mut self) {
        for (name, zone) in &self.cfg.zones {
            let field = format!("zones.{name}");
            self.check_name(&format!("{field}.name"), name);
            self.check_name(&format!("{field}.region"), &zone.region);
        }
        for name in &self.cfg.servers_out {
            self.check_name(&format!("servers_out.{name}"), name);
        }
    }

    fn check_regions(&mut self, field: &str, regions: &[String]) {
        let mut seen = collections::BTreeSet::new();
        for region in regions {
            if !self.cfg.zones.values().any(|z| z.region == *region) {
                self.fault(field.to_owned(), format!("region {region:?} has no zone"));
            }
            if !seen.insert(region) {
                self.fault(
                    field.to_owned(),
                    format!("region {region:?} is listed twice"),
                );
            }
        }
    }

    fn check_limits(&mut self, field: &str, limits: &spec::Limits) {
        let zero = [
            ("requests_per_second", limits.requests_per_second == Some(0)),
            ("concurrency", limits.concurrency == Some(0)),
            ("bytes_per_second", limits.bytes_per_second == Some(0)),
        ];
        for (limit, is_zero) in zero {
            if is_zero {
                self.fault(format!("{field}.limits.{limit}"), "must be above zero");
            }
        }
    }

    fn check_accounts(&mut self) {
        for (name, account) in &self.cfg.accounts {
            let field = format!("accounts.{name}");
            self.check_name(&format!("{field}.name"), name);
            self.check_owner(&field, &account.owner);
            self.check_regions(&format!("{field}.home_regions"), &account.home_regions);
            self.check_limits(&field, &account.limits);
            if let Some(digest) = &account.token_sha256
                && key::Digest::parse_hex(digest).is_none()
            {
                let rule = "must be 64 lower-case hexadecimal digits";
                self.fault(format!("{field}.token_sha256"), rule);
            }
        }
    }

    fn check_routes(&mut self) {
        let mut prefixes = collections::BTreeMap::new();
        for (name, route) in &self.cfg.routes {
            let field = format!("routes.{name}");
            self.check_name(&format!("{field}.name"), name);
            self.check_owner(&field, &route.owner);
            self.check_name(&format!("{field}.service"), &route.service);
            self.check_prefix(&format!("{field}.path_prefix"), &route.path_prefix);
            self.check_regions(&format!("{field}.home_regions"), &route.home_regions);
            self.check_limits(&field, &route.limits);
            self.check_ledger(&field, name, route);
            self.check_route_accounts(&format!("{field}.accounts"), &route.accounts);
            if let Some(other) = prefixes.insert(route.path_prefix.as_str(), name) {
                let rule = format!("prefix is taken by route {other:?}");
                self.fault(format!("{field}.path_prefix"), rule);
            }
        }
    }

    fn check_route_accounts(&mut self, field: &str, accounts: &[String]) {
        let mut seen = collections::BTreeSet::new();
        for account in accounts {
            if !self.cfg.accounts.contains_key(account) {
                let rule = format!("account {account:?} does not exist");
                self.fault(field.to_owned(), rule);
            }
            if !seen.insert(account) {
                let rule = format!("account {account:?} is listed twice");
                self.fault(field.to_owned(), rule);
            }
        }
    }

    fn check_prefix(&mut self, field: &str, prefix: &str) {
        let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"/-_.~".contains(&b);
        let has_valid_segments = prefix == "/"
            || prefix[1.min(prefix.len())..]
                .split('/')
                .all(is_valid_segment);
        if !prefix.starts_with('/') || !prefix.bytes().all(is_unreserved) || !has_valid_segments {
            self.fault(
                field.to_owned(),
                "must be / or start with / and have segments of unreserved characters",
            );
        }
        if prefix.len() > PREFIX_MAX_BYTES {
            self.fault(
                field.to_owned(),
                format!("must have at most {PREFIX_MAX_BYTES} bytes"),
            );
        }
        if format!("{prefix}/").starts_with(header::RESERVED_PATH) {
            self.fault(
                field.to_owned(),
                format!("{} is reserved", header::RESERVED_PATH),
            );
        }
    }

    fn check_ledger(&mut self, field: &str, name: &str, route: &spec::RouteSpec) {
        let region_field = format!("{field}.ledger_region");
        let retention_field = format!("{field}.retention");
        if route.class != class::Class::OneTimeFiling {
            if route.ledger_region.is_some() {
                self.fault(region_field, "applies to class one-time-filing only");
            }
            if route.retention.is_some() {
                self.fault(retention_field, "applies to class one-time-filing only");
            }
            return;
        }
        match route.retention {
            None => self.fault(retention_field, "is required for class one-time-filing"),
            Some(span) if span.secs == 0 || span.secs > RETENTION_MAX_SECS => {
                self.fault(retention_field, "must be between 1s and 366d");
            }
            Some(_) => {}
        }
        let Some(region) = &route.ledger_region else {
            self.fault(region_field, "is required for class one-time-filing");
            return;
        };
        self.check_regions(&region_field, std::slice::from_ref(region));
        if !route.home_regions.is_empty() && !route.home_regions.contains(region) {
            self.fault(region_field.clone(), "must be one of home_regions");
        }
        if let Some(bound) = self.cfg.ledger_regions.get(name)
            && bound != region
        {
            let rule = format!("route name {name:?} is bound to ledger region {bound:?} for ever");
            self.fault(region_field, rule);
        }
    }
}

fn is_valid_segment(segment: &str) -> bool {
    !segment.is_empty() && segment != "." && segment != ".."
}
