//! Tests that the number of metric series is fixed and that a burst of failures cannot flood the
//! log.

use nutmegdale_base::{class, clock, outcome};
use nutmegdale_telemetry::{failures, log, metrics};
use std::time;

#[test]
fn reason_discriminants_match_their_index_in_all() {
    for (n, reason) in outcome::Reason::ALL.iter().enumerate() {
        assert_eq!(*reason as usize, n, "{reason}");
    }
}

#[test]
fn all_series_exist_at_start_and_count_requests() {
    let requests = metrics::Requests::new();
    let samples = [metrics::Sample {
        name: "nutmegdale_version",
        help: "Version.",
        kind: metrics::Kind::Gauge,
        value: 7,
    }];
    let before = requests.text(&samples).lines().count();
    let took = time::Duration::from_millis(3);
    let overload = outcome::Outcome::NotRun(outcome::Reason::Overload);
    requests.count(Some(class::Class::BulkExport), overload, took);
    requests.count(
        None,
        outcome::Outcome::NotRun(outcome::Reason::NoRoute),
        took,
    );
    let text = requests.text(&samples);
    assert_eq!(text.lines().count(), before);
    for line in [
        "nutmegdale_requests_total{class=\"bulk-export\",outcome=\"not-run\",reason=\"overload\"} 1",
        "nutmegdale_requests_total{class=\"none\",outcome=\"not-run\",reason=\"no-route\"} 1",
        "nutmegdale_request_duration_seconds_count{class=\"bulk-export\"} 1",
        "nutmegdale_version 7",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
}

#[test]
fn failure_log_is_rate_limited() {
    let log = failures::FailureLog::new(log::discard());
    let failure = failures::Failure {
        request_id: "1-1",
        version: 3,
        outcome: outcome::Outcome::NotRun(outcome::Reason::Overload),
        route: Some("reads"),
        class: Some(class::Class::UrgentLookup),
        server: None,
        took_ms: 1,
    };
    for second in [5, 6] {
        let now = clock::Millis::from_secs(second);
        let written = (0..1_000).filter(|_| log.write(now, &failure)).count();
        assert_eq!(written as u64, failures::LINES_PER_SECOND);
    }
}
