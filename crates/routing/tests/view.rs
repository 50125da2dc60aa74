//! Guards the view against routing to servers and regions that the catalogue does not permit.

use nutmegdale_catalogue::{change, config, state};
use nutmegdale_membership::{announcement, directory, hub};
use nutmegdale_routing::{permit, view};
use serde_json::json;

const LOCALITY: view::Locality<'_> = view::Locality {
    zone: "zone-a",
    region: "north",
};

fn config(extra: &[serde_json::Value]) -> config::Config {
    let mut ops = vec![
        json!({ "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } }),
        json!({ "op": "put-zone", "zone": { "name": "zone-b", "region": "north" } }),
        json!({ "op": "put-zone", "zone": { "name": "zone-c", "region": "south" } }),
        json!({ "op": "put-account", "account":
            { "name": "ann", "owner": "Ann", "class": "urgent-lookup" } }),
        json!({ "op": "put-account", "account":
            { "name": "bob", "owner": "Bob", "class": "urgent-lookup",
              "home_regions": ["south"] } }),
        json!({ "op": "put-route", "route":
            { "name": "logs", "owner": "Ann", "class": "urgent-lookup",
              "path_prefix": "/logs", "service": "reads" } }),
        json!({ "op": "put-route", "route":
            { "name": "north-logs", "owner": "Ann", "class": "urgent-lookup",
              "path_prefix": "/logs/north", "service": "reads",
              "home_regions": ["north"] } }),
    ];
    ops.extend_from_slice(extra);
    let change = json!({ "id": "c", "base": 0, "author": "Ann", "ops": ops });
    let change: change::Change = serde_json::from_value(change).expect("change");
    let mut state = state::State::new();
    let answer = state.apply(change, 0);
    let version = config::Version(1);
    assert_eq!(answer, change::Answer::Accepted { version });
    config::Config::clone(state.config())
}

fn directory(servers: &[(&str, &str, announcement::ServerState)]) -> directory::Directory {
    let record = |(name, zone, state): &(&str, &str, announcement::ServerState)| {
        let announced = announcement::Announcement {
            server: (*name).to_owned(),
            service: "reads".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: (*zone).to_owned(),
            slots: 4,
            connections: 300,
            cold_slots: 1,
            state: *state,
            incarnation: 1,
            sequence: 1,
        };
        let registrar = "entry-0".to_owned();
        hub::ServerRecord {
            announced,
            registrar,
        }
    };
    let mut directory = directory::Directory::new();
    directory.apply(directory::Delta {
        servers: servers.iter().map(record).collect(),
        ..directory::Delta::default()
    });
    directory
}

fn usable(view: &view::View) -> Vec<&str> {
    let servers = view.services.values().flat_map(|s| &s.servers);
    servers.map(|s| view.servers[*s].name.as_str()).collect()
}

/// A longer name in the same segment must not match, and the longest prefix must win.
#[test]
fn routes_match_whole_segments_and_the_longest_prefix() {
    let view = view::View::build(&config(&[]), &directory(&[]), LOCALITY);
    let name = |path| view.match_route(path).map(|r| view.routes[r].name.as_str());
    assert_eq!(name("/logs"), Some("logs"));
    assert_eq!(name("/logs/"), Some("logs"));
    assert_eq!(name("/logs/northern"), Some("logs"));
    assert_eq!(name("/logs/north/hall-7"), Some("north-logs"));
    assert_eq!(name("/logsnorth"), None);
    assert_eq!(name("/"), None);
    assert_eq!(name(""), None);
}

/// P3, P8: servers that are out, in a zone that is out, draining or unknown get no work.
#[test]
fn only_permitted_servers_are_usable() {
    use announcement::ServerState::{Cold, Draining, Warm};
    let servers = [
        ("a-warm", "zone-a", Warm),
        ("a-out", "zone-a", Warm),
        ("a-draining", "zone-a", Draining),
        ("b-warm", "zone-b", Warm),
        ("c-cold", "zone-c", Cold),
        ("nowhere", "zone-x", Warm),
    ];
    let extra = [
        json!({ "op": "zone-out", "name": "zone-b" }),
        json!({ "op": "server-out", "name": "a-out" }),
    ];
    let view = view::View::build(&config(&extra), &directory(&servers), LOCALITY);
    assert_eq!(usable(&view), ["a-warm", "c-cold"]);
    assert!(!view.is_local_zone_out);
    let view = view::View::build(
        &config(&extra),
        &directory(&servers),
        view::Locality {
            zone: "zone-b",
            region: "north",
        },
    );
    assert!(view.is_local_zone_out);
}

/// P4: a permit exists only for regions that both the route and the account name.
#[test]
fn permits_need_route_and_account() {
    let view = view::View::build(&config(&[]), &directory(&[]), LOCALITY);
    let region = |name: &str| {
        let found = view.regions.iter().find(|(_, n)| *n == name);
        found.expect("region").0
    };
    let (north, south) = (region("north"), region("south"));
    let regions = |route: &str, account: &str| -> permit::RegionSet {
        let route = view.find_route(route).expect("route");
        view.home_regions(route, view.find_account(account).expect("account"))
    };
    assert!(regions("logs", "ann").permit(south).is_some());
    assert!(regions("logs", "bob").permit(south).is_some());
    assert!(regions("logs", "bob").permit(north).is_none());
    assert!(regions("north-logs", "ann").permit(north).is_some());
    assert!(regions("north-logs", "ann").permit(south).is_none());
    assert!(regions("north-logs", "bob").permit(north).is_none());
    assert!(regions("north-logs", "bob").permit(south).is_none());
}

/// P4: a process whose settings and catalogue disagree on its region gets no region, so it serves
/// no request with home regions.
#[test]
fn process_with_contradictory_region_has_none() {
    let locality = view::Locality {
        zone: "zone-a",
        region: "south",
    };
    let view = view::View::build(&config(&[]), &directory(&[]), locality);
    assert_eq!(view.local_region, None);
    let locality = view::Locality {
        zone: "zone-x",
        region: "north",
    };
    let view = view::View::build(&config(&[]), &directory(&[]), locality);
    assert_eq!(view.local_region, None);
    assert!(view.is_local_zone_out);
}
