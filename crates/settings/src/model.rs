//! Checked settings.

use nutmegdale_base::clock;
use std::net;
use std::path;

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What every process has.
    pub process: Process,
    /// Settings of the entry role, if the process has it.
    pub entry: Option<Entry>,
    /// Settings of the control role, if the process has it.
    pub control: Option<Control>,
}

/// What every process has.
#[derive(Debug, Clone)]
pub struct Process {
    /// Name, unique over the whole system.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Secret that the system's processes show each other.
    pub cluster_token: String,
    /// Worker threads.
    pub threads: usize,
    /// Lowest level of log lines.
    pub log_level: String,
}

/// Settings of the entry role.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Address that callers and backend servers connect to.
    pub listen: net::SocketAddr,
    /// Address for metrics and the state dump.
    pub observe: net::SocketAddr,
    /// Addresses of the control processes.
    pub control: Vec<net::SocketAddr>,
    /// Time after the sending of a confirmed sync during which new work may be given.
    pub config_lease_ms: clock::Millis,
    /// Time that callers may keep an address list.
    pub addresses_ttl_ms: clock::Millis,
    /// Time that a graceful shutdown waits for requests to end.
    pub drain_ms: clock::Millis,
    /// Longest time of a request, for callers that state no deadline.
    pub deadline_ms: clock::Millis,
    /// Bytes per second for all measuring.
    pub measuring_bytes_per_second: u64,
}

/// Settings of the control role.
#[derive(Debug, Clone)]
pub struct Control {
    /// Address that the system's processes connect to.
    pub listen: net::SocketAddr,
    /// Address for operators, metrics and the state dump.
    pub admin: net::SocketAddr,
    /// Folder of the durable state.
    pub data: path::PathBuf,
    /// Control processes that form the first group, this one included.
    pub members: Vec<Member>,
    /// Operators and their tokens.
    pub operators: Vec<Operator>,
}

/// Control process of the first group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the process.
    pub name: String,
    /// Region that it runs in.
    pub region: String,
    /// Address that the system's processes connect to.
    pub address: net::SocketAddr,
}

/// Operator.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Person.
    pub name: String,
    /// Token that the person shows.
    pub token: String,
}
