//! Reserved paths, which an entry process serves itself: address lists, outcomes of one-time
//! requests, and announcements of servers.

use crate::one_time;
use crate::proxy;
use crate::response;
use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_base::{clock, header};
use nutmegdale_catalogue::config;
use nutmegdale_membership::{announcement, local};
use nutmegdale_rpc::listen;
use serde::Serialize;
use std::net;
use std::sync;
use tokio::sync::watch;

/// Size limit of an announcement, in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 8 * 1024;

#[derive(Debug, Serialize)]
struct Addresses {
    version: config::Version,
    ttl_ms: clock::Millis,
    addresses: Vec<net::SocketAddr>,
}

#[derive(Debug, Serialize)]
struct Leased {
    lease_ms: clock::Millis,
    renew_ms: clock::Millis,
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    field: String,
    rule: String,
}

/// State of the reserved paths.
#[derive(Debug)]
pub struct Reserved {
    /// Servers that announce themselves to this process.
    pub local: sync::Mutex<local::LocalTable>,
    /// Notifies of changes of `local`.
    pub local_changed: watch::Sender<()>,
    /// Time for which callers may cache an address list.
    pub addresses_ttl_ms: clock::Millis,
}

impl Reserved {
    /// Locks the table of servers that announce themselves to this process.
    pub fn local(&self) -> sync::MutexGuard<'_, local::LocalTable> {
        self.local
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Handles a request for a reserved path.
    pub async fn handle(
        &self,
        shared: &proxy::Shared,
        req: hyper::Request<body::Incoming>,
    ) -> hyper::Response<listen::Body> {
        let path = req
            .uri()
            .path()
            .strip_prefix(header::RESERVED_PATH)
            .unwrap_or("");
        match (req.method().as_str(), path) {
            ("GET", "addresses") => self.addresses(shared, req.uri().query().unwrap_or("")),
            ("GET", "outcome") => one_time::outcome::handle(shared, &req.into_parts().0).await,
            ("POST", "announce") => self.announce(shared, req.into_body()).await,
            _ => error(hyper::StatusCode::NOT_FOUND, "path", "no such resource"),
        }
    }

    fn addresses(&self, shared: &proxy::Shared, query: &str) -> hyper::Response<listen::Body> {
        if !shared.published.has_lease(shared.clock.now()) {
            let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
            return error(
                status,
                "catalogue",
                "is not confirmed; ask another entry VM",
            );
        }
        let snapshot = shared.published.load();
        let view = &snapshot.view;
        let route = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("route="));
        let route = match route.map(|name| view.find_route(name)) {
            Some(None) => {
                return error(hyper::StatusCode::NOT_FOUND, "route", "does not exist");
            }
            Some(found) => found,
            None => None,
        };
        let serves_route = |region| route.is_none_or(|r| view.routes[r].regions.contains(region));
        let usable = view
            .entries
            .values()
            .filter(|e| e.is_usable && serves_route(e.region));
        let mut entries: Vec<_> = usable.collect();
        entries.sort_by_key(|entry| entry.distance);
        let addresses = entries.iter().map(|entry| entry.address).collect();
        let body = Addresses {
            version: view.version,
            ttl_ms: self.addresses_ttl_ms,
            addresses,
        };
        response::json(hyper::StatusCode::OK, &body)
    }

    async fn announce(
        &self,
        shared: &proxy::Shared,
        incoming: body::Incoming,
    ) -> hyper::Response<listen::Body> {
        let limited = http_body_util::Limited::new(incoming, ANNOUNCEMENT_MAX_BYTES);
        let Ok(collected) = limited.collect().await else {
            return error(
                hyper::StatusCode::PAYLOAD_TOO_LARGE,
                "body",
                "must be at most 8 KiB",
            );
        };
        let announcement: announcement::Announcement =
            match serde_json::from_slice(&collected.to_bytes()) {
                Ok(announcement) => announcement,
                Err(err) => {
                    return error(hyper::StatusCode::BAD_REQUEST, "body", &err.to_string());
                }
            };
        let result = self.local().announce(shared.clock.now(), &announcement);
        match result {
            Ok(is_changed) => {
                if is_changed {
                    self.local_changed.send_replace(());
                }
                let body = Leased {
                    lease_ms: announcement::LEASE_MS,
                    renew_ms: announcement::RENEW_MS,
                };
                response::json(hyper::StatusCode::OK, &body)
            }
            Err(local::Refusal::Faults(faults)) => {
                let errors = faults.into_iter().map(|f| ErrorBody {
                    field: f.field.to_owned(),
                    rule: f.rule,
                });
                let errors: Vec<ErrorBody> = errors.collect();
                response::json(hyper::StatusCode::UNPROCESSABLE_ENTITY, &errors)
            }
            Err(local::Refusal::Stale {
                incarnation,
                sequence,
            }) => {
                let rule = format!("is not newer than incarnation {incarnation}, {sequence}");
                error(hyper::StatusCode::CONFLICT, "sequence", &rule)
            }
        }
    }
}

fn error(status: hyper::StatusCode, field: &str, rule: &str) -> hyper::Response<listen::Body> {
    let body = ErrorBody {
        field: field.to_owned(),
        rule: rule.to_owned(),
    };
    response::json(status, &[body])
}
