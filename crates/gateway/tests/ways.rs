//! Which way a request goes: nearby servers before traffic that is billed by volume.

use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{health, placement, signal};
use nutmegdale_gateway::settings;

/// Returns the distance that is picked when the server of the zone is seven times slower.
fn picked(need: placement::RequestProfile) -> placement::Distance {
    let now = clock::Millis(1_000);
    let distances = [placement::Distance::Zone, placement::Distance::CrossRegion];
    let signals = [signal::Signal::default(), signal::Signal::default()];
    let health = health::Health::default();
    for (signal, slowdown_percent) in signals.iter().zip([700, 100]) {
        let report = signal::Report {
            running: 0,
            waiting: 0,
            slots: 3,
            slowdown_percent,
        };
        signal.record_report(now, report, 0);
    }
    let candidates: Vec<_> = signals
        .iter()
        .zip(distances)
        .map(|(signal, distance)| placement::Candidate {
            signal,
            health: &health,
            slots: 3,
            distance,
            is_cold: false,
            is_preferred: true,
        })
        .collect();
    let mut rng = rng::SplitMix64::new(1);
    let ranked = placement::rank(
        now,
        &candidates,
        need,
        &settings::LINKS,
        placement::Purpose::Probe(usize::MAX),
        &mut rng,
    );
    distances[ranked[0].0]
}

/// Guards against exports that travel between regions although their aim leaves time for a slow
/// server nearby.
#[test]
fn export_with_a_long_aim_stays_in_its_zone() {
    let export = placement::RequestProfile {
        work_ms: 170.0,
        transfer_kb: 90.0,
        saturation_factor: 1.7,
        target_ms: 1_200.0,
    };
    assert_eq!(picked(export), placement::Distance::Zone);
}

/// Guards against lookups that miss their aim at a slow server to spare a kilobyte.
#[test]
fn lookup_goes_to_a_quick_server_of_another_region() {
    let lookup = placement::RequestProfile {
        work_ms: 90.0,
        transfer_kb: 1.5,
        saturation_factor: 1.7,
        target_ms: 250.0,
    };
    assert_eq!(picked(lookup), placement::Distance::CrossRegion);
}
