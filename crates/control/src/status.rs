//! What operators see of the whole system.

use crate::{catalogue, hub};
use nutmegdale_base::clock;
use nutmegdale_catalogue::config;
use nutmegdale_membership::announcement::ServerState;
use nutmegdale_membership::hub as membership;
use serde::Serialize;
use std::collections;
use std::net;

/// Entry process in a status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers and servers.
    pub address: net::SocketAddr,
    /// Version in force there, as of its last sync.
    pub version: u64,
    /// Time since its last sync.
    pub silent_ms: clock::Millis,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// How far the newest version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InForce {
    /// Newest accepted version.
    pub version: config::Version,
    /// Entry processes that route by it.
    pub on: usize,
    /// Live entry processes.
    pub of: usize,
    /// Names of those that do not route by it yet.
    pub missing: Vec<String>,
}

/// Status of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Control process that leads.
    pub leader: String,
    /// Its term.
    pub term: u64,
    /// Whether the leader has heard of every live server; false for 10 s after it took the lead.
    pub is_complete: bool,
    /// How far the newest version is in force.
    pub in_force: InForce,
    /// Live entry processes.
    pub entries: Vec<Entry>,
    /// Entry processes that fell silent without leaving, within the last 10 minutes.
    pub lost: Vec<Entry>,
    /// Announced servers by zone and state.
    pub servers: collections::BTreeMap<String, collections::BTreeMap<&'static str, usize>>,
    /// What operators should look at.
    pub notes: Vec<String>,
}

fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Cold => "cold",
        ServerState::Warm => "warm",
        ServerState::Draining => "draining",
        ServerState::Gone => "gone",
    }
}

impl Status {
    /// Joins the catalogue and the table of the leader.
    pub fn build(
        leader: &str,
        cfg: &config::Config,
        table: &membership::HubTable,
        now: clock::Millis,
    ) -> Status {
        let marks = table.watermarks();
        let entries: Vec<Entry> = table.entries_status(now).map(entry).collect();
        let lost = table.lost(now).map(|(record, silent_ms)| {
            entry(membership::EntryStatus {
                record,
                version: 0,
                silent_ms,
            })
        });
        Status {
            leader: leader.to_owned(),
            term: marks.epoch,
            is_complete: marks.is_complete,
            in_force: in_force(cfg.version, &entries),
            lost: lost.collect(),
            servers: count_servers(table),
            notes: notes(cfg, table, &entries),
            entries,
        }
    }
}

fn entry(status: membership::EntryStatus<'_>) -> Entry {
    Entry {
        name: status.record.name.clone(),
        zone: status.record.zone.clone(),
        address: status.record.address,
        version: status.version,
        silent_ms: status.silent_ms,
        leaving: status.record.leaving,
    }
}

fn in_force(version: config::Version, entries: &[Entry]) -> InForce {
    let missing = entries.iter().filter(|entry| entry.version < version.0);
    let missing: Vec<String> = missing.map(|entry| entry.name.clone()).collect();
    InForce {
        version,
        on: entries.len() - missing.len(),
        of: entries.len(),
        missing,
    }
}

fn live_servers(table: &membership::HubTable) -> impl Iterator<Item = &membership::ServerRecord> {
    let servers = table.servers_after(0);
    servers.filter(|record| record.announced.state != ServerState::Gone)
}

fn count_servers(
    table: &membership::HubTable,
) -> collections::BTreeMap<String, collections::BTreeMap<&'static str, usize>> {
    let mut zones = collections::BTreeMap::new();
    for record in live_servers(table) {
        let states: &mut collections::BTreeMap<_, _> =
            zones.entry(record.announced.zone.clone()).or_default();
        *states
            .entry(state_name(record.announced.state))
            .or_default() += 1;
    }
    zones
}

fn notes(cfg: &config::Config, table: &membership::HubTable, entries: &[Entry]) -> Vec<String> {
    let mut notes = Vec::new();
    let mut announced = collections::BTreeSet::new();
    for record in live_servers(table) {
        let (server, zone) = (&record.announced.server, &record.announced.zone);
        announced.insert(server);
        if !cfg.zones.contains_key(zone) {
            notes.push(format!(
                "server {server} gets no work: its zone {zone} is not in the catalogue"
            ));
        }
    }
    for name in cfg
        .servers_out
        .iter()
        .filter(|name| !announced.contains(name))
    {
        notes.push(format!("server {name} is out of service and not announced"));
    }
    for entry in entries.iter().filter(|e| !cfg.zones.contains_key(&e.zone)) {
        let (name, zone) = (&entry.name, &entry.zone);
        notes.push(format!(
            "entry process {name} serves nothing: its zone {zone} is not in the catalogue"
        ));
    }
    notes.sort();
    notes
}

/// Server in a dump.
#[derive(Debug, Clone, Serialize)]
pub struct Server {
    /// Last announcement that changed something.
    pub announced: nutmegdale_membership::announcement::Announcement,
    /// Entry process that it announces itself to.
    pub registrar: String,
}

/// Everything that the leader holds, for a look at a fault.
#[derive(Debug, Clone, Serialize)]
pub struct Dump<'a> {
    /// Status as operators see it.
    pub status: Status,
    /// The newest configuration.
    pub config: &'a config::Config,
    /// Digest of it that entry processes compare.
    pub digest: u64,
    /// Records of the history.
    pub history_count: usize,
    /// Position that entry processes compare.
    pub marks: membership::Watermarks,
    /// Servers, also those that ended within the last minute.
    pub servers: Vec<Server>,
    /// Rows of the audit.
    pub audit_rows_count: usize,
}

impl<'a> Dump<'a> {
    /// Collects a dump.
    pub fn build(
        leader: &str,
        current: &'a catalogue::Current,
        state: &hub::State,
        now: clock::Millis,
    ) -> Dump<'a> {
        let cfg = &current.accepted.config;
        let servers = state.table.servers_after(0).map(|record| Server {
            announced: record.announced.clone(),
            registrar: record.registrar.clone(),
        });
        Dump {
            status: Status::build(leader, cfg, &state.table, now),
            config: cfg,
            digest: current.digest,
            history_count: current.accepted.history.len(),
            marks: state.table.watermarks(),
            servers: servers.collect(),
            audit_rows_count: state.audit.rows().count(),
        }
    }
}
