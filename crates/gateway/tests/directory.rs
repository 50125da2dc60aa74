//! Which addresses callers are told.

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

fn told(entries: &[follow::Entry], zone: &str, region: &str, homes: &[&str]) -> Vec<String> {
    let caller = directory::Caller { zone, region };
    let homes: Vec<_> = homes.iter().map(|home| (*home).to_owned()).collect();
    let addresses = directory::addresses(entries, caller, &homes);
    addresses.iter().map(ToString::to_string).collect()
}

/// Guards against callers that are sent through another zone or region while their own has enough
/// entry processes.
#[test]
fn callers_are_told_their_own_zone_first() {
    let entries = [
        entry(1, "a", "north"),
        entry(2, "a", "north"),
        entry(3, "b", "north"),
        entry(4, "c", "south"),
    ];
    assert_eq!(
        told(&entries, "a", "north", &[]),
        ["10.0.0.1:80", "10.0.0.2:80"]
    );
    let one = ["10.0.0.3:80", "10.0.0.1:80", "10.0.0.2:80"];
    assert_eq!(
        told(&entries, "b", "north", &[]),
        one,
        "one address is too few"
    );
}

/// Guards against bodies that are sent to a region that is neither the caller's nor a home of the
/// route, because the directory named it.
#[test]
fn callers_are_not_told_regions_outside_the_homes() {
    let entries = [
        entry(1, "a", "north"),
        entry(2, "c", "south"),
        entry(3, "e", "west"),
    ];
    let homes = ["north", "south"];
    assert_eq!(
        told(&entries, "a", "north", &homes),
        ["10.0.0.1:80", "10.0.0.2:80"]
    );
    assert!(!told(&entries, "x", "nowhere", &homes).contains(&"10.0.0.3:80".to_owned()));
}

/// Guards against an answer without end in a large system.
#[test]
fn answer_is_bounded() {
    let entries: Vec<_> = (1..200).map(|n| entry(n, "a", "north")).collect();
    let count = told(&entries, "a", "north", &[]).len();
    assert_eq!(count, directory::ADDRESSES_MAX_COUNT);
}
