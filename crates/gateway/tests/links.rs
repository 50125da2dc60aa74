//! Tests of the link costs, which avoid traffic between zones since it is billed by volume.

use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{health, placement, signal};
use nutmegdale_gateway::settings;

/// Returns the distance of the picked server if the one in the zone is seven times slower.
fn picked_distance(profile: placement::RequestProfile) -> placement::Distance {
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
        profile,
        &settings::LINKS,
        placement::Purpose::Probe(usize::MAX),
        &mut rng,
    );
    distances[ranked[0].0]
}

/// Guards against exports that are sent to another region although their latency target leaves time
/// for a slow server in the zone.
#[test]
fn export_with_a_long_latency_target_stays_in_its_zone() {
    let export = placement::RequestProfile {
        service_time_ms: 170.0,
        transfer_kb: 90.0,
        saturation_factor: 1.7,
        target_ms: 1_200.0,
    };
    assert_eq!(picked_distance(export), placement::Distance::Zone);
}

/// Guards against lookups that miss their latency target at a slow server to avoid a kilobyte of
/// traffic between regions.
#[test]
fn lookup_goes_to_a_fast_server_in_another_region() {
    let lookup = placement::RequestProfile {
        service_time_ms: 90.0,
        transfer_kb: 1.5,
        saturation_factor: 1.7,
        target_ms: 250.0,
    };
    assert_eq!(picked_distance(lookup), placement::Distance::CrossRegion);
}
