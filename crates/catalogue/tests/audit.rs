//! Audit of the requests that entry processes sent against the catalogue.

use nutmegdale_base::class;
use nutmegdale_catalogue::{audit, change, config, state};

fn accepted() -> state::Accepted {
    let mut state = state::State::new();
    let changes = [
        r#"[{"op":"put-zone","zone":{"name":"zone-a","region":"north"}},
            {"op":"put-zone","zone":{"name":"zone-b","region":"south"}},
            {"op":"put-route","route":{"name":"reads","owner":"Ann","class":"urgent-lookup",
             "path_prefix":"/logs","service":"reads","home_regions":["north"]}}]"#,
        r#"[{"op":"zone-out","name":"zone-a"}]"#,
        r#"[{"op":"zone-in","name":"zone-a"},{"op":"server-out","name":"reads-1"}]"#,
    ];
    for (n, ops) in changes.iter().enumerate() {
        let change = change::Change {
            id: format!("c{n}"),
            base: Some(state.config().version),
            author: "ann".to_owned(),
            ops: serde_json::from_str(ops).expect("steps"),
        };
        assert!(state.apply(change, 0).is_accepted());
    }
    state.accepted().clone()
}

fn row(version: u64, subject: audit::Subject, served: u64) -> audit::Row {
    audit::Row {
        key: audit::RowKey {
            version: config::Version(version),
            subject,
        },
        counts: audit::Counts {
            served,
            ..audit::Counts::default()
        },
    }
}

fn zone(zone: &str, region: &str) -> audit::Subject {
    audit::Subject::Zone {
        class: class::Class::UrgentLookup,
        zone: zone.to_owned(),
        region: region.to_owned(),
    }
}

fn route(region: &str) -> audit::Subject {
    audit::Subject::Route {
        route: "reads".to_owned(),
        region: region.to_owned(),
    }
}

fn server() -> audit::Subject {
    audit::Subject::Server {
        server: "reads-1".to_owned(),
    }
}

fn evaluate(rows: Vec<audit::Row>) -> audit::Verdict {
    let mut request_counts = audit::RequestCounts::default();
    request_counts.record_report("entry-1", 1, &audit::Report { rows, dropped: 0 });
    audit::evaluate(&request_counts, &accepted())
}

/// Guards against false alarms: requests that their version allowed are no violation, and neither
/// are rows without requests.
#[test]
fn allowed_requests_are_no_violation() {
    let verdict = evaluate(vec![
        row(1, zone("zone-a", "north"), 5),
        row(1, route("north"), 5),
        row(3, zone("zone-a", "north"), 2),
        row(1, server(), 1),
        row(2, zone("zone-a", "north"), 0),
    ]);
    assert_eq!(verdict.violations, []);
    assert_eq!(verdict.requests, 7);
}

/// Guards against undetected violations: each rule is checked against the version that the entry
/// process routed by.
#[test]
fn each_violated_rule_is_reported() {
    let cases = [
        (
            row(2, zone("zone-a", "north"), 1),
            "zone \"zone-a\" is out of service",
        ),
        (
            row(1, zone("zone-x", "north"), 1),
            "zone \"zone-x\" is not in the catalogue",
        ),
        (
            row(1, zone("zone-b", "north"), 1),
            "zone \"zone-b\" lies in region \"south\", not in \"north\"",
        ),
        (
            row(1, route("south"), 1),
            "region \"south\" is not a home region of route \"reads\"",
        ),
        (row(3, server(), 1), "server \"reads-1\" is out of service"),
    ];
    for (row, rule) in cases {
        let violations = evaluate(vec![row.clone()]).violations;
        assert_eq!(violations.len(), 1, "{row:?}");
        assert_eq!(violations[0].rule, rule);
        assert_eq!(
            (violations[0].entry.as_str(), violations[0].count),
            ("entry-1", 1)
        );
    }
}

/// Guards against counts that decrease when an older report arrives late, and against mixing the
/// counts of two boots of one process.
#[test]
fn latest_counts_of_each_boot_are_kept() {
    let mut request_counts = audit::RequestCounts::default();
    let report = |served| audit::Report {
        rows: vec![row(1, zone("zone-a", "north"), served)],
        dropped: 0,
    };
    request_counts.record_report("entry-1", 1, &report(9));
    request_counts.record_report("entry-1", 1, &report(4));
    request_counts.record_report("entry-1", 2, &report(1));
    let served: Vec<u64> = request_counts
        .rows()
        .map(|(.., counts)| counts.served)
        .collect();
    assert_eq!(served, [9, 1]);
}

/// Guards against a leader whose memory grows with every restart of an entry process.
#[test]
fn boots_and_rows_are_bounded() {
    let mut request_counts = audit::RequestCounts::default();
    for boot in 0..2_000 {
        let rows = (1..=100).map(|v| row(v, zone("zone-a", "north"), boot + 1));
        let report = audit::Report {
            rows: rows.collect(),
            dropped: 0,
        };
        request_counts.record_report("entry-1", boot, &report);
    }
    assert!(request_counts.rows().count() <= 65_536);
    let newest = request_counts.rows().map(|(_, boot, ..)| boot).max();
    assert_eq!(newest, Some(1_999));
}

/// Guards against rows that are skipped silently because the history does not hold their version.
#[test]
fn rows_of_versions_outside_the_history_are_counted() {
    let verdict = evaluate(vec![row(9, zone("zone-a", "north"), 1)]);
    assert_eq!((verdict.unjudged_rows, verdict.violations.len()), (1, 0));
}
