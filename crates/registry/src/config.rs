//! Configuration of a deployment, submitted by operators as one document.

use displaydoc::Display;
use nutmegdale_base::{class, clock};
use std::collections;

/// Longest timeout that a route may have.
pub const TIMEOUT_MAX_MS: clock::Millis = clock::Millis::from_secs(600);

/// Service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service.
    pub service: String,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: f64,
}

/// Route of requests to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Class, which decides whether a request may be sent again.
    pub class: class::Class,
    /// Longest time until the final answer.
    pub timeout: clock::Millis,
    /// Time within which an answer is worth its full value to the caller.
    pub target_latency: clock::Millis,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that serve the route.
    pub targets: Vec<Target>,
    /// Servers to which one request may be sent.
    pub attempts_max: u32,
    /// Regions that may serve the route; empty if all may.
    pub home_regions: Vec<String>,
}

/// Service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one server accepts from all processes together.
    pub connections_max: u32,
    /// Time for which a server that has started stays cold.
    pub warmup: clock::Millis,
    /// Requests per second that a cold server bears.
    pub cold_per_s: f64,
}

/// Bounds of the listeners for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// Bytes of the head of a request.
    pub head_max_bytes: usize,
    /// Bytes of the body of a request.
    pub body_max_bytes: u64,
    /// Time for a caller to send a head.
    pub header_timeout: clock::Millis,
    /// Time that a connection may be idle.
    pub idle_timeout: clock::Millis,
}

/// Decoded configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version, chosen by the operator.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds of listeners.
    pub listeners: Listeners,
}

/// Rule that a configuration breaks.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the document cannot be read: {0}
    Unreadable(String),
    /// route {route:?} names the service {service:?}, which does not exist
    UnknownService {
        /// Route.
        route: String,
        /// Service that it names.
        service: String,
    },
    /// two routes have the host {host:?} and the prefix {prefix:?}
    DuplicateRoute {
        /// Host.
        host: String,
        /// Prefix.
        prefix: String,
    },
    /// the timeout of route {0:?} is zero or longer than ten minutes
    Timeout(String),
    /// route {0:?} allows no attempt
    NoAttempt(String),
    /// route {0:?} has no service with a positive weight
    NoTarget(String),
    /// the prefix of route {0:?} does not begin and end with a slash
    Prefix(String),
    /// two services have the name {0:?}
    DuplicateService(String),
}

impl std::error::Error for Error {}

/// Decodes the documents of a front end.
///
/// Every process of a system has the same implementation, since replicas decode on their own.
pub trait Codec: Send + Sync {
    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] if the document is not one of this codec.
    fn decode(&self, document: &[u8]) -> Result<Config, Error>;
}

/// Checks the rules that hold for every configuration.
///
/// # Errors
///
/// Returns the first rule that is broken.
pub fn check(config: &Config) -> Result<(), Error> {
    let mut services = collections::BTreeSet::new();
    for service in &config.services {
        if !services.insert(service.name.as_str()) {
            return Err(Error::DuplicateService(service.name.clone()));
        }
    }
    let mut places = collections::BTreeSet::new();
    for route in &config.routes {
        check_route(route, &services)?;
        if !places.insert((route.host.as_str(), route.prefix.as_str())) {
            return Err(Error::DuplicateRoute {
                host: route.host.clone(),
                prefix: route.prefix.clone(),
            });
        }
    }
    Ok(())
}

fn check_route(route: &Route, services: &collections::BTreeSet<&str>) -> Result<(), Error> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::Prefix(route.name.clone()));
    }
    if route.timeout == clock::Millis::ZERO || route.timeout > TIMEOUT_MAX_MS {
        return Err(Error::Timeout(route.name.clone()));
    }
    if route.attempts_max == 0 {
        return Err(Error::NoAttempt(route.name.clone()));
    }
    let unknown = route
        .targets
        .iter()
        .find(|t| !services.contains(t.service.as_str()));
    if let Some(target) = unknown {
        return Err(Error::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    let is_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
    let has_target = route.targets.iter().any(|t| t.weight > 0.0);
    if !has_target || !route.targets.iter().all(|t| is_weight(t.weight)) {
        return Err(Error::NoTarget(route.name.clone()));
    }
    Ok(())
}
