//! Audit counters of an entry process.

use nutmegdale_base::clock::Millis;
use nutmegdale_base::entity;
use nutmegdale_catalogue::{audit as catalogue_audit, config, spec};
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

fn build_view(cfg: &config::Config) -> view::View {
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

/// Guards against sends that are missing in the audit: a request whose caller disconnects while it
/// is in flight counts as unknown, and each request counts by zone, by region and by server.
#[test]
fn every_send_is_counted() {
    let cfg = config(1);
    let view = build_view(&cfg);
    let mut collector = audit::Collector::new();
    let counters = collector.counters(&cfg, &view);
    let (route, server) = keys(&view);
    let reason = nutmegdale_base::outcome::Reason::Connect;
    let not_run = forward::AttemptResult::NotRun(reason, None);
    counters.begin(&view, route, server).end(&not_run);
    drop(counters.begin(&view, route, server));
    let report = collector.report(Millis(0));
    let expected = catalogue_audit::Counts {
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

/// Guards against counts that restart with each view of the same version, and against resending
/// rows that the leader has acknowledged.
#[test]
fn views_of_one_version_share_counts_and_acked_rows_are_not_resent() {
    let cfg = config(1);
    let view = build_view(&cfg);
    let mut collector = audit::Collector::new();
    let (route, server) = keys(&view);
    let first = collector.counters(&cfg, &view);
    let second = collector.counters(&cfg, &view);
    drop(first.begin(&view, route, server));
    drop(second.begin(&view, route, server));
    let report = collector.report(Millis(0));
    assert!(
        report.rows.iter().all(|row| row.counts.unknown == 2),
        "{report:?}"
    );
    collector.ack(&report);
    assert!(collector.report(Millis(100_000)).is_empty());
    // A new leader has none of the rows.
    collector.reset_acked();
    assert_eq!(collector.report(Millis(100_000)).rows, report.rows);
}

/// Guards against syncs that exceed their byte budget: the delay before the next report depends on
/// the size of the last one.
#[test]
fn report_interval_depends_on_size() {
    let cfg = config(1);
    let view = build_view(&cfg);
    let mut collector = audit::Collector::new();
    let counters = collector.counters(&cfg, &view);
    let (route, server) = keys(&view);
    drop(counters.begin(&view, route, server));
    assert_eq!(collector.report(Millis(0)).rows.len(), 3);
    assert!(collector.report(Millis(1_999)).is_empty());
    assert!(!collector.report(Millis(2_000)).is_empty());
}

/// Guards against unbounded memory use as versions accumulate; evicted counts are reported as
/// dropped.
#[test]
fn evicted_versions_are_counted_as_dropped() {
    let mut collector = audit::Collector::new();
    for version in 1..=100 {
        let cfg = config(version);
        let view = build_view(&cfg);
        let counters = collector.counters(&cfg, &view);
        let (route, server) = keys(&view);
        drop(counters.begin(&view, route, server));
    }
    let report = collector.report(Millis(0));
    assert_eq!(report.dropped, 36);
    assert!(report.rows.len() <= catalogue_audit::REPORT_ROWS_MAX_COUNT);
    assert!(report.rows.iter().all(|row| row.key.version.0 > 36));
}
