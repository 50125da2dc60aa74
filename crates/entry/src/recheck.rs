//! Revalidation of a request against the newest snapshot right before a send.
//!
//! A request keeps the snapshot that it started with and may wait, retry or hedge until its
//! deadline. Meanwhile a zone or server may have been taken out, or a home region changed, so each
//! send is also checked against the newest snapshot.

use crate::check;
use crate::snapshot;
use nutmegdale_base::entity;
use nutmegdale_membership::announcement;

/// Returns whether the newest snapshot still permits a send that snapshot `used` permits.
///
/// Entities are matched by name, since indices differ between views. This scans the service's
/// servers, but only for requests that outlive their snapshot.
pub fn still_permits(
    newest: &snapshot::Snapshot,
    used: &snapshot::Snapshot,
    checked: &check::CheckedRequest,
    server: entity::Server,
) -> bool {
    if newest.view.is_local_zone_out {
        return false;
    }
    let route = &used.view.routes[checked.route];
    let account = &used.view.accounts[checked.account];
    let Some(route) = newest.view.find_route(&route.name) else {
        return false;
    };
    let Some(account) = newest.view.find_account(&account.name) else {
        return false;
    };
    let route_view = &newest.view.routes[route];
    let allowed = route_view.accounts.as_ref();
    if allowed.is_some_and(|list| !list.contains(&account)) {
        return false;
    }
    let regions = newest.view.home_regions(route, account);
    let is_here_home = newest
        .view
        .local_region
        .is_some_and(|here| regions.contains(here));
    let Some(service) = route_view.service else {
        return false;
    };
    let server = &used.view.servers[server];
    let is_same = |key: &entity::Server| {
        let candidate = &newest.view.servers[*key];
        candidate.name == server.name
            && candidate.incarnation == server.incarnation
            && regions.contains(candidate.region)
            && is_cold(candidate.state) == is_cold(server.state)
    };
    is_here_home && newest.view.services[service].servers.iter().any(is_same)
}

/// Different rules apply to sends to warm and to cold servers, so a change between these states
/// revokes the permission.
fn is_cold(state: announcement::ServerState) -> bool {
    state == announcement::ServerState::Cold
}
