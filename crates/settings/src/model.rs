//! Validated settings.

use nutmegdale_base::clock;
use std::net;
use std::path;

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings of every process, whatever its roles.
    pub process: Process,
    /// Settings of the entry role, if the process has it.
    pub entry: Option<Entry>,
    /// Settings of the control role, if the process has it.
    pub control: Option<Control>,
}

/// Settings of every process, whatever its roles.
#[derive(Debug, Clone)]
pub struct Process {
    /// Name of the process, unique in the whole system.
    pub name: String,
    /// Availability zone that the process runs in.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Shared secret with which the system's processes authenticate each other.
    pub cluster_token: String,
    /// Number of worker threads.
    pub threads: usize,
    /// Minimum level of the log messages that are written.
    pub log_level: String,
}

/// Settings of the entry role.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Address that callers and backend servers connect to.
    pub listen: net::SocketAddr,
    /// Address of the metrics and the state dump.
    pub observe: net::SocketAddr,
    /// Addresses of the control processes.
    pub control: Vec<net::SocketAddr>,
    /// Lease of the configuration: time after a confirmed sync was sent during which requests may
    /// still be dispatched.
    pub config_lease_ms: clock::Millis,
    /// Time for which callers may cache the list of addresses.
    pub addresses_ttl_ms: clock::Millis,
    /// Drain timeout: time that a graceful shutdown waits for in-flight requests.
    pub drain_ms: clock::Millis,
    /// Default timeout of a request whose caller sets no deadline.
    pub deadline_ms: clock::Millis,
    /// Budget for the process's own traffic (syncs, announcements and health checks), in bytes per
    /// second.
    pub measuring_bytes_per_second: u64,
}

/// Settings of the control role.
#[derive(Debug, Clone)]
pub struct Control {
    /// Address that the system's processes connect to.
    pub listen: net::SocketAddr,
    /// Address of the administration API, the metrics and the state dump.
    pub admin: net::SocketAddr,
    /// Folder that holds the durable state.
    pub data: path::PathBuf,
    /// Control processes that bootstrap the groups, including this one.
    pub members: Vec<Member>,
    /// Operators who may use the administration API.
    pub operators: Vec<Operator>,
}

/// Control process that takes part in the bootstrap of the groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the process.
    pub name: String,
    /// Region that the process runs in.
    pub region: String,
    /// Address that the system's processes connect to.
    pub address: net::SocketAddr,
}

/// Operator who may use the administration API.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name, recorded as the author of changes.
    pub name: String,
    /// Bearer token that authenticates the operator.
    pub token: String,
}
