//! Status and dump of the whole system, for operators.

use crate::{catalogue, hub};
use nutmegdale_base::clock;
use nutmegdale_catalogue::config;
use nutmegdale_membership::announcement::ServerState;
use nutmegdale_membership::hub as membership;
use serde::Serialize;
use std::collections;
use std::net;

/// Status of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Name of the process.
    pub name: String,
    /// Availability zone of the process.
    pub zone: String,
    /// Address that callers and backend servers connect to.
    pub address: net::SocketAddr,
    /// Configuration version that it used at its last sync; 0 for a lost process.
    pub version: u64,
    /// Time since its last sync.
    pub silent_ms: clock::Millis,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Rollout of the newest configuration version to the entry processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InForce {
    /// Newest accepted version.
    pub version: config::Version,
    /// Number of live entry processes that use it.
    pub on: usize,
    /// Number of live entry processes.
    pub of: usize,
    /// Names of live entry processes that do not use it yet.
    pub missing: Vec<String>,
}

/// Status of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the control process that leads.
    pub leader: String,
    /// Raft term of the leader.
    pub term: u64,
    /// Whether the leader's table is complete; false for the first 10 s after its election, since the
    /// table is rebuilt from syncs.
    pub is_complete: bool,
    /// Rollout of the newest version.
    pub in_force: InForce,
    /// Live entry processes.
    pub entries: Vec<Entry>,
    /// Entry processes that stopped syncing without a graceful shutdown in the last 10 minutes.
    pub lost: Vec<Entry>,
    /// Number of announced servers by zone and state.
    pub servers: collections::BTreeMap<String, collections::BTreeMap<&'static str, usize>>,
    /// Probable mistakes in the catalogue, the settings or announcements.
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
    /// Builds the status from the leader's catalogue and its table.
    pub fn build(
        leader: &str,
        cfg: &config::Config,
        table: &membership::HubTable,
        now: clock::Millis,
    ) -> Status {
        let watermarks = table.watermarks();
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
            term: watermarks.epoch,
            is_complete: watermarks.is_complete,
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
                "server {server} receives no requests: its zone {zone} is not in the catalogue"
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
            "entry process {name} serves no requests: its zone {zone} is not in the catalogue"
        ));
    }
    notes.sort();
    notes
}

/// Server in a dump.
#[derive(Debug, Clone, Serialize)]
pub struct Server {
    /// Last announcement that changed the record.
    pub announced: nutmegdale_membership::announcement::Announcement,
    /// Entry process that receives its announcements.
    pub registrar: String,
}

/// State of the leader, for debugging.
#[derive(Debug, Clone, Serialize)]
pub struct Dump<'a> {
    /// Status of the whole system.
    pub status: Status,
    /// Newest configuration.
    pub config: &'a config::Config,
    /// Digest of the configuration, which entry processes compare with their copy.
    pub digest: u64,
    /// Number of records in the history of changes.
    pub history_count: usize,
    /// Watermarks of the table, which entry processes compare with their position.
    pub marks: membership::Watermarks,
    /// Announced servers, including those removed within the last minute.
    pub servers: Vec<Server>,
    /// Number of rows of the audit.
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
