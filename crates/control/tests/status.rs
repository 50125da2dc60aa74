//! Status of entry processes and servers as shown to operators.

use nutmegdale_base::clock::Millis;
use nutmegdale_catalogue::config;
use nutmegdale_control::status;
use nutmegdale_membership::{announcement, hub};

fn entry(name: &str, zone: &str) -> hub::EntryRecord {
    hub::EntryRecord {
        name: name.to_owned(),
        boot: 1,
        zone: zone.to_owned(),
        address: ([127, 0, 0, 1], 2).into(),
        leaving: false,
    }
}

fn server(name: &str, zone: &str) -> announcement::Announcement {
    announcement::Announcement {
        server: name.to_owned(),
        service: "reads".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        slots: 4,
        connections: 300,
        cold_slots: 1,
        state: announcement::ServerState::Warm,
        incarnation: 1,
        sequence: 1,
    }
}

fn config() -> config::Config {
    let mut cfg = config::Config {
        version: config::Version(7),
        ..config::Config::default()
    };
    let region = "north".to_owned();
    let state = config::ZoneState { region, out: false };
    cfg.zones.insert("zone-a".to_owned(), state);
    cfg.servers_out.insert("typo".to_owned());
    cfg.servers_out.insert("reads-1".to_owned());
    cfg
}

fn sync(
    table: &mut hub::HubTable,
    now: u64,
    entry: &hub::EntryRecord,
    version: u64,
    changed: &[announcement::Announcement],
) {
    let upload = hub::Upload {
        entry,
        changed,
        is_all: true,
        version,
    };
    table.sync(Millis(now), upload);
}

/// Guards against a status that reports a version as in force everywhere while an entry process
/// still uses an older one, and against entry processes that disappear from the status when they
/// fail.
#[test]
fn outdated_and_lost_entry_processes_are_listed() {
    let mut table = hub::HubTable::new(4, Millis(0));
    sync(&mut table, 0, &entry("entry-1", "zone-a"), 7, &[]);
    sync(&mut table, 0, &entry("entry-2", "zone-a"), 6, &[]);
    let status = status::Status::build("control-0", &config(), &table, Millis(10));
    assert_eq!((status.in_force.on, status.in_force.of), (1, 2));
    assert_eq!(status.in_force.missing, ["entry-2"]);

    sync(&mut table, 5_000, &entry("entry-1", "zone-a"), 7, &[]);
    table.expire(Millis(5_000));
    let status = status::Status::build("control-0", &config(), &table, Millis(5_000));
    assert_eq!((status.in_force.on, status.in_force.of), (1, 1));
    assert_eq!(status.lost.len(), 1);
    assert_eq!(
        (status.lost[0].name.as_str(), status.lost[0].silent_ms),
        ("entry-2", Millis(5_000))
    );
}

/// Guards against a mistyped server or zone name that goes unnoticed, and against a server that
/// receives no requests without a visible reason.
#[test]
fn notes_list_servers_and_entry_processes_with_unknown_names() {
    let mut table = hub::HubTable::new(4, Millis(0));
    let changed = [server("reads-1", "zone-a"), server("reads-2", "zone-x")];
    sync(&mut table, 0, &entry("entry-1", "zone-y"), 7, &changed);
    let status = status::Status::build("control-0", &config(), &table, Millis(10));
    assert_eq!(
        status.notes,
        [
            "entry process entry-1 serves no requests: its zone zone-y is not in the catalogue",
            "server reads-2 receives no requests: its zone zone-x is not in the catalogue",
            "server typo is out of service and not announced",
        ]
    );
    assert_eq!(status.servers["zone-a"]["warm"], 1);
}
