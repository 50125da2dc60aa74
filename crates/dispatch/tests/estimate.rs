//! Estimates of what the requests of one route cost, learned from responses and timeouts.

use nutmegdale_base::{class, clock};
use nutmegdale_dispatch::estimate;
use nutmegdale_dispatch::estimate::Room;

const TARGET: clock::Millis = clock::Millis(250);

fn trained_estimate() -> estimate::Estimate {
    let estimate = estimate::Estimate::new(class::Class::UrgentLookup, TARGET);
    for _ in 0..50 {
        estimate.record_response(clock::Millis(90), 100, 1_500, Room::Free);
    }
    estimate
}

/// Guards against first attempts that are counted as retries because a few other callers have a
/// much longer timeout.
#[test]
fn few_long_timeouts_do_not_turn_first_attempts_into_retries() {
    let estimate = trained_estimate();
    for n in 0..400_u64 {
        let left = if n % 10 == 0 {
            3_000
        } else {
            700 + n * 7 % 100
        };
        let elapsed = estimate.infer_elapsed_wait(clock::Millis(left));
        assert!(
            n < 50 || left == 3_000 || elapsed == clock::Millis::ZERO,
            "{n}: {elapsed}"
        );
    }
    let elapsed = estimate.infer_elapsed_wait(clock::Millis(400));
    assert!(elapsed.0.abs_diff(350) < 120, "{elapsed}");
}

/// Guards against service times that include queueing or the slowdown of a VM.
#[test]
fn service_time_is_learned_from_servers_with_room() {
    let estimate = trained_estimate();
    for _ in 0..50 {
        estimate.record_response(clock::Millis(400), 100, 1_500, Room::None);
        estimate.record_response(clock::Millis(630), 700, 1_500, Room::Free);
    }
    assert!(
        (estimate.service_time_ms() - 90.0).abs() < 3.0,
        "{}",
        estimate.service_time_ms()
    );
}

/// Guards against a saturation factor that does not follow the responses of full servers.
#[test]
fn saturation_factor_is_learned() {
    let estimate = trained_estimate();
    for _ in 0..50 {
        estimate.record_response(clock::Millis(150), 100, 1_500, Room::Last);
    }
    assert!((estimate.saturation_factor() - 1.67).abs() < 0.1);
    let other = trained_estimate();
    for _ in 0..50 {
        other.record_response(clock::Millis(80), 100, 1_500, Room::Last);
    }
    assert!(
        (other.saturation_factor() - 1.0).abs() < f64::EPSILON,
        "a full server is never faster"
    );
}

/// Guards against first exports that cross regions because their size is not known yet.
#[test]
fn exports_count_as_large_before_the_first_response() {
    let estimate = estimate::Estimate::new(class::Class::BulkExport, TARGET);
    assert!(estimate.response_kb() > 50.0);
    for _ in 0..30 {
        estimate.record_response(clock::Millis(70), 100, 2_000, Room::Free);
    }
    assert!(estimate.response_kb() < 5.0);
}

/// Guards against requests that are admitted in the second after a restart although they cannot
/// meet their target latency, because the default service time of their route is far too low.
#[test]
fn service_time_follows_the_target_until_the_first_response() {
    let target = clock::Millis(600);
    let estimate = estimate::Estimate::new(class::Class::OneTimeFiling, target);
    assert!((estimate.service_time_ms() - 240.0).abs() < 1.0);
    estimate.record_response(clock::Millis(290), 100, 1_500, Room::Free);
    assert!((estimate.service_time_ms() - 290.0).abs() < 1.0);
    let export = estimate::Estimate::new(class::Class::BulkExport, target);
    assert!(export.service_time_ms() < 150.0);
}
