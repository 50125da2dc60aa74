//! Counts of what an entry process did.

use nutmegdale_base::clock::Millis;
use nutmegdale_base::entity;
use nutmegdale_catalogue::{audit as rules, config, spec};
use nutmegdale_entry::{audit, forward};
use nutmegdale_membership::{announcement, directory, hub};
use nutmegdale_routing::view;

fn config(version: u64) -> config::Config {
    let mut cfg = config::Config {
        version: config::Version(version),
        ..config::Config::default()
    };
    for (zone, region) in [("zone-a", "north"), ("zone-b", "south")] {
        let region = region.to_owned();
        let state = config::ZoneState { region, out: false };
        cfg.zones.insert(zone.to_owned(), state);
    }
    let route = r#"{"name":"reads","owner":"Ann","class":"urgent-lookup","path_prefix":"/logs",
        "service":"reads","home_regions":["north"]}"#;
    let route: spec::RouteSpec = serde_json::from_str(route).expect("route");
    cfg.routes.insert("reads".to_owned(), route);
    cfg.servers_out.insert("reads-1".to_owned());
    cfg
}

fn directory() -> directory::Directory {
    let announced = announcement::Announcement {
        server: "reads-1".to_owned(),
        service: "reads".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone-a".to_owned(),
        slots: 4,
        connections: 300,
        cold_slots: 1,
        state: announcement::ServerState::Warm,
        incarnation: 1,
        sequence: 1,
    };
    let mut directory = directory::Directory::new();
    directory.apply(directory::Delta {
        servers: vec![hub::ServerRecord {
            announced,
            registrar: "entry-1".to_owned(),
        }],
        ..directory::Delta::default()
    });
    directory
}

fn view_of(cfg: &config::Config) -> view::View {
    let place = view::Locality {
        zone: "zone-a",
        region: "north",
    };
    view::View::build(cfg, &directory(), place)
}

fn keys(view: &view::View) -> (entity::Route, entity::Server) {
    let route = view.find_route("reads").expect("route");
    (route, view.servers.keys().next().expect("server"))
}

/// Guards against requests that the audit does not see: one whose caller goes away while it is at
/// the server counts as unknown, and each request is seen by zone, by region and by server.
#[test]
fn every_request_that_is_sent_is_counted() {
    let cfg = config(1);
    let view = view_of(&cfg);
    let mut audit = audit::Audit::new();
    let counts = audit.counts(&cfg, &view);
    let (route, server) = keys(&view);
    let reason = nutmegdale_base::outcome::Reason::Connect;
    let not_run = forward::Attempt::NotRun(reason, None);
    counts.begin(&view, route, server).end(&not_run);
    drop(counts.begin(&view, route, server));
    let report = audit.report(Millis(0));
    let expected = rules::Counts {
        served: 0,
        not_run: 1,
        unknown: 1,
    };
    assert_eq!(report.rows.len(), 3);
    assert!(
        report.rows.iter().all(|row| row.counts == expected),
        "{report:?}"
    );
}

/// Guards against counts that start anew with each view of the same version, and against rows that
/// are sent again although the leader has them.
#[test]
fn views_of_one_version_share_counts_and_acked_rows_are_not_repeated() {
    let cfg = config(1);
    let view = view_of(&cfg);
    let mut audit = audit::Audit::new();
    let (route, server) = keys(&view);
    let first = audit.counts(&cfg, &view);
    let second = audit.counts(&cfg, &view);
    drop(first.begin(&view, route, server));
    drop(second.begin(&view, route, server));
    let report = audit.report(Millis(0));
    assert!(
        report.rows.iter().all(|row| row.counts.unknown == 2),
        "{report:?}"
    );
    audit.ack(&report);
    assert!(audit.report(Millis(100_000)).is_empty());
    // A new leader has none of them.
    audit.forget_acked();
    assert_eq!(audit.report(Millis(100_000)).rows, report.rows);
}

/// Guards the bytes of syncs: a report is not due again before its rows were paid for.
#[test]
fn reports_are_paced_by_their_size() {
    let cfg = config(1);
    let view = view_of(&cfg);
    let mut audit = audit::Audit::new();
    let counts = audit.counts(&cfg, &view);
    let (route, server) = keys(&view);
    drop(counts.begin(&view, route, server));
    assert_eq!(audit.report(Millis(0)).rows.len(), 3);
    assert!(audit.report(Millis(1_999)).is_empty());
    assert!(!audit.report(Millis(2_000)).is_empty());
}

/// Guards against memory that grows with every version; what is pushed out is counted as dropped.
#[test]
fn old_versions_are_dropped_and_counted() {
    let mut audit = audit::Audit::new();
    for version in 1..=100 {
        let cfg = config(version);
        let view = view_of(&cfg);
        let counts = audit.counts(&cfg, &view);
        let (route, server) = keys(&view);
        drop(counts.begin(&view, route, server));
    }
    let report = audit.report(Millis(0));
    assert_eq!(report.dropped, 36);
    assert!(report.rows.len() <= rules::REPORT_ROWS_MAX_COUNT);
    assert!(report.rows.iter().all(|row| row.key.version.0 > 36));
}
