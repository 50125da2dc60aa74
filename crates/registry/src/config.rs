//! Configuration of a deployment, submitted by operators as one document.

use displaydoc::Display;
use nutmegdale_accounts::{account, key};
use nutmegdale_base::{class, clock};
use std::collections;

/// Longest timeout that a route may have.
pub const TIMEOUT_MAX_MS: clock::Millis = clock::Millis::from_secs(600);

/// Service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// Route from a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Class, which decides whether a request may be retried.
    pub class: class::Class,
    /// Longest time until the final response.
    pub timeout: clock::Millis,
    /// Latency up to which a response has its full value for the caller.
    pub target_latency: clock::Millis,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services that share the requests.
    pub targets: Vec<Target>,
    /// Most attempts per request, the first one included.
    pub attempts_max: u32,
    /// Regions that may serve the route; empty if all may.
    pub home_regions: Vec<String>,
    /// Whether its requests need no account.
    pub is_public: bool,
}

/// Service: the set of backend servers that handle the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check on each server.
    pub health_path: String,
    /// Most connections that one server accepts from all processes together.
    pub connections_max: u32,
    /// Time after its start for which a server is cold.
    pub warmup: clock::Millis,
    /// Requests per second that a cold server can handle.
    pub cold_requests_per_s: f64,
}

/// Limits of the listeners for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// Largest head of a request, in bytes.
    pub head_max_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// Longest time for a caller to send the head of a request.
    pub header_timeout: clock::Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: clock::Millis,
}

/// Decoded configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version, chosen by the operator.
    pub version: u64,
    /// Routes of the deployment.
    pub routes: Vec<Route>,
    /// Services of the deployment.
    pub services: Vec<Service>,
    /// Limits of the listeners for callers.
    pub listeners: Listeners,
    /// Client accounts; `None` if callers are not identified.
    pub accounts: Option<Vec<account::Account>>,
}

/// Reason why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the document cannot be decoded: {0}
    Unreadable(String),
    /// route {route:?} names the service {service:?}, which does not exist
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// two routes have the host {host:?} and the prefix {prefix:?}
    DuplicateRoute {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
    },
    /// the timeout of route {0:?} is zero or longer than ten minutes
    InvalidTimeout(String),
    /// route {0:?} allows no attempts
    NoAttempts(String),
    /// route {0:?} needs a service with a positive weight, and no weight may be negative
    InvalidWeights(String),
    /// the prefix of route {0:?} does not begin and end with a slash
    InvalidPrefix(String),
    /// two services have the name {0:?}
    DuplicateService(String),
    /// an account has the name {0:?}, which is empty or cannot be sent in a header
    InvalidAccountName(String),
    /// two accounts have the name {0:?}
    DuplicateAccount(String),
    /// the account {0:?} has a key that another account has
    SharedKey(String),
    /// the account {0:?} has an empty key
    EmptyKey(String),
    /// the limit of account {0:?} is not a number or is negative
    InvalidLimit(String),
}

impl std::error::Error for Error {}

/// Decoder of the configuration documents of a front end.
///
/// All processes of a deployment must use the same implementation, since each decodes on its own.
pub trait Codec: Send + Sync {
    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] if the document is not in the format of this codec.
    fn decode(&self, document: &[u8]) -> Result<Config, Error>;
}

/// Checks the rules that apply to every configuration, whatever its encoding.
///
/// # Errors
///
/// Returns the first violation.
pub fn check(config: &Config) -> Result<(), Error> {
    let mut services = collections::BTreeSet::new();
    for service in &config.services {
        if !services.insert(service.name.as_str()) {
            return Err(Error::DuplicateService(service.name.clone()));
        }
    }
    let mut prefixes = collections::BTreeSet::new();
    for route in &config.routes {
        check_route(route, &services)?;
        if !prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
            return Err(Error::DuplicateRoute {
                host: route.host.clone(),
                prefix: route.prefix.clone(),
            });
        }
    }
    check_accounts(config.accounts.as_deref().unwrap_or(&[]))
}

fn check_route(route: &Route, services: &collections::BTreeSet<&str>) -> Result<(), Error> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::InvalidPrefix(route.name.clone()));
    }
    if route.timeout == clock::Millis::ZERO || route.timeout > TIMEOUT_MAX_MS {
        return Err(Error::InvalidTimeout(route.name.clone()));
    }
    if route.attempts_max == 0 {
        return Err(Error::NoAttempts(route.name.clone()));
    }
    let missing = route
        .targets
        .iter()
        .find(|t| !services.contains(t.service.as_str()));
    if let Some(target) = missing {
        return Err(Error::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    let is_valid_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
    let has_target = route.targets.iter().any(|t| t.weight > 0.0);
    if !has_target || !route.targets.iter().all(|t| is_valid_weight(t.weight)) {
        return Err(Error::InvalidWeights(route.name.clone()));
    }
    Ok(())
}

fn check_accounts(accounts: &[account::Account]) -> Result<(), Error> {
    let empty_key = key::Digest::of(b"");
    let mut names = collections::BTreeSet::new();
    let mut owners = collections::HashMap::new();
    for account in accounts {
        let name = account.name.as_str();
        // Servers get the name in a header, whose value has no space around it.
        if name.is_empty() || name.trim() != name || name.contains(char::is_control) {
            return Err(Error::InvalidAccountName(name.to_owned()));
        }
        if !names.insert(name) {
            return Err(Error::DuplicateAccount(name.to_owned()));
        }
        if account.keys.contains(&empty_key) {
            return Err(Error::EmptyKey(name.to_owned()));
        }
        for digest in &account.keys {
            let owner = *owners.entry(digest.bytes()).or_insert(name);
            if owner != name {
                return Err(Error::SharedKey(name.to_owned()));
            }
        }
        let is_valid = |figure: f64| figure.is_finite() && figure >= 0.0;
        let limit = account.limit.as_ref();
        if limit.is_some_and(|l| !is_valid(l.rate_per_s) || !is_valid(l.burst)) {
            return Err(Error::InvalidLimit(name.to_owned()));
        }
    }
    Ok(())
}
