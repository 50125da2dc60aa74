//! What the requests of one route need, learned from answers and heads.

use nutmegdale_base::{class, clock};
use nutmegdale_dispatch::estimate;
use nutmegdale_dispatch::estimate::Room;

const AIM: clock::Millis = clock::Millis(250);

fn learned() -> estimate::Estimate {
    let estimate = estimate::Estimate::new(class::Class::UrgentLookup, AIM);
    for _ in 0..50 {
        estimate.record_response(clock::Millis(90), 100, 1_500, Room::Free);
    }
    estimate
}

/// Guards against callers that come for the first time and are taken for returning ones, because a
/// few others state a much longer time.
#[test]
fn a_few_long_waits_do_not_make_others_returning_callers() {
    let estimate = learned();
    for n in 0..400_u64 {
        let left = if n % 10 == 0 {
            3_000
        } else {
            700 + n * 7 % 100
        };
        let waited = estimate.infer_elapsed_wait(clock::Millis(left));
        assert!(
            n < 50 || left == 3_000 || waited == clock::Millis::ZERO,
            "{n}: {waited}"
        );
    }
    let waited = estimate.infer_elapsed_wait(clock::Millis(400));
    assert!(waited.0.abs_diff(350) < 120, "{waited}");
}

/// Guards against predictions that count waiting in a queue, or a slow VM, as work.
#[test]
fn work_is_learned_from_servers_with_room() {
    let estimate = learned();
    for _ in 0..50 {
        estimate.record_response(clock::Millis(400), 100, 1_500, Room::None);
        estimate.record_response(clock::Millis(630), 700, 1_500, Room::Free);
    }
    assert!(
        (estimate.work_ms() - 90.0).abs() < 3.0,
        "{}",
        estimate.work_ms()
    );
}

/// Guards against servers that slow down when they are full and are taken not to, or the reverse.
#[test]
fn slow_down_of_full_servers_is_learned() {
    let estimate = learned();
    for _ in 0..50 {
        estimate.record_response(clock::Millis(150), 100, 1_500, Room::Last);
    }
    assert!((estimate.saturation_factor() - 1.67).abs() < 0.1);
    let other = learned();
    for _ in 0..50 {
        other.record_response(clock::Millis(80), 100, 1_500, Room::Last);
    }
    assert!(
        (other.saturation_factor() - 1.0).abs() < f64::EPSILON,
        "never quicker when full"
    );
}

/// Guards against first exports that travel between regions because their size is not known yet.
#[test]
fn exports_are_large_until_their_size_is_known() {
    let estimate = estimate::Estimate::new(class::Class::BulkExport, AIM);
    assert!(estimate.response_kb() > 50.0);
    for _ in 0..30 {
        estimate.record_response(clock::Millis(70), 100, 2_000, Room::Free);
    }
    assert!(estimate.response_kb() < 5.0);
}

/// Guards against requests that are admitted in the second after a restart though they cannot keep
/// their aim: their routes are taken to need far less work than their aims leave time for.
#[test]
fn work_is_guessed_from_the_aim_until_an_answer_tells_it() {
    let aim = clock::Millis(600);
    let estimate = estimate::Estimate::new(class::Class::OneTimeFiling, aim);
    assert!((estimate.work_ms() - 240.0).abs() < 1.0);
    estimate.record_response(clock::Millis(290), 100, 1_500, Room::Free);
    assert!((estimate.work_ms() - 290.0).abs() < 1.0);
    let export = estimate::Estimate::new(class::Class::BulkExport, aim);
    assert!(export.work_ms() < 150.0);
}
