//! Tests of the addresses that callers get.

use nutmegdale_gateway::directory;
use nutmegdale_registry::follow;

fn entry(n: usize, zone: &str, region: &str) -> follow::Entry {
    follow::Entry {
        name: format!("entry-{n}"),
        address: format!("10.0.0.{n}:80").parse().expect("an address"),
        zone: zone.to_owned(),
        region: region.to_owned(),
    }
}

fn resolve(
    entries: &[follow::Entry],
    zone: &str,
    region: &str,
    home_regions: &[&str],
) -> Vec<String> {
    let caller = directory::Caller { zone, region };
    let home_regions: Vec<_> = home_regions
        .iter()
        .map(|region| (*region).to_owned())
        .collect();
    let addresses = directory::addresses(entries, caller, &home_regions);
    addresses.iter().map(ToString::to_string).collect()
}

/// Guards against directing callers to another zone or region while their own has enough entry
/// processes.
#[test]
fn callers_get_addresses_in_their_own_zone_first() {
    let entries = [
        entry(1, "a", "north"),
        entry(2, "a", "north"),
        entry(3, "b", "north"),
        entry(4, "c", "south"),
    ];
    assert_eq!(
        resolve(&entries, "a", "north", &[]),
        ["10.0.0.1:80", "10.0.0.2:80"]
    );
    let widened = ["10.0.0.3:80", "10.0.0.1:80", "10.0.0.2:80"];
    assert_eq!(
        resolve(&entries, "b", "north", &[]),
        widened,
        "a single address is too few"
    );
}

/// Guards against addresses that make callers send request bodies to a region that is neither their
/// own nor a home region of the route.
#[test]
fn callers_get_no_addresses_outside_the_home_regions() {
    let entries = [
        entry(1, "a", "north"),
        entry(2, "c", "south"),
        entry(3, "e", "west"),
    ];
    let home_regions = ["north", "south"];
    assert_eq!(
        resolve(&entries, "a", "north", &home_regions),
        ["10.0.0.1:80", "10.0.0.2:80"]
    );
    assert!(!resolve(&entries, "x", "nowhere", &home_regions).contains(&"10.0.0.3:80".to_owned()));
}

/// Guards against a response whose size grows with the system.
#[test]
fn number_of_addresses_is_limited() {
    let entries: Vec<_> = (1..200).map(|n| entry(n, "a", "north")).collect();
    let count = resolve(&entries, "a", "north", &[]).len();
    assert_eq!(count, directory::ADDRESSES_MAX_COUNT);
}
