//! Messages between the stand-ins and the programs under test.

use std::net;
use std::path;

/// HTTP request that a stand-in sends.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

/// Role that a program runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Serves operators and backend servers and keeps durable state.
    Control,
}

/// Description of a program to start.
#[derive(Debug, Clone)]
pub struct Program {
    /// Node name, which also names its settings file and its log.
    pub name: String,
    /// Role that it runs.
    pub role: Role,
    /// Address that it listens on.
    pub ip: net::Ipv4Addr,
    /// Its availability zone, which is also the name of its region.
    pub zone: String,
    /// Folder for its durable state.
    pub data: path::PathBuf,
    /// Whether the system starts for the first time.
    pub is_first_start: bool,
    /// Addresses of the control processes, which every program has in its settings.
    pub seeds: Vec<net::Ipv4Addr>,
    /// Names of all zones.
    pub zones: Vec<String>,
}

/// Heartbeat of a backend server.
#[derive(Debug, Clone)]
pub struct Announcement<'a> {
    /// Identity of the server.
    pub id: &'a str,
    /// Address that requests are sent to.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: &'a str,
    /// Name of its service.
    pub service: &'a str,
    /// Start time of the server, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number, which increases with each announcement.
    pub sequence: u64,
    /// Whether the server is draining.
    pub is_draining: bool,
}

/// Request that a backend server received.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    /// Identifier of the request.
    pub id: String,
    /// Identity of the server that the request is addressed to.
    pub expected_server: Option<String>,
    /// Whether the request is a health check.
    pub is_health_check: bool,
    /// Whether the request crashes the server.
    pub is_crashing: bool,
}

/// Wire format, addresses and command line of the programs under test.
pub trait Wire: Send + Sync + 'static {
    /// Returns the arguments of a program, the environment variable that names its settings file,
    /// and the contents of that file.
    fn launch(&self, program: &Program) -> (Vec<String>, &'static str, String);
    /// Returns the address for callers of the entry process at `ip`.
    fn entry_address(&self, ip: net::Ipv4Addr) -> net::SocketAddr;
    /// Returns the address of the directory of the entry process at `ip`.
    fn directory_address(&self, ip: net::Ipv4Addr) -> net::SocketAddr;
    /// Returns the address for operators and servers of the control process at `ip`.
    fn control_address(&self, ip: net::Ipv4Addr) -> net::SocketAddr;
    /// Encodes a query for the addresses of the entry processes.
    fn resolve(&self, zone: &str) -> Message;
    /// Parses the addresses in the response to [`Wire::resolve`].
    fn parse_addresses(&self, body: &[u8]) -> Vec<net::SocketAddr>;
    /// Encodes the announcement of a backend server.
    fn announce(&self, announcement: &Announcement<'_>) -> Message;
    /// Encodes the deregistration of a backend server.
    fn leave(&self, id: &str) -> Message;
    /// Encodes the write of the configuration `version`, which replaces the version `base`.
    fn configure(&self, version: u64, base: u64) -> Message;
    /// Encodes a read of the configuration.
    fn read(&self) -> Message;
    /// Parses the version in the response to [`Wire::read`].
    fn parse_version(&self, body: &[u8]) -> Option<u64>;
    /// Encodes an order to take a zone out of service or back in.
    fn set_zone(&self, zone: &str, is_out: bool) -> Message;
    /// Encodes a request of a caller; a one-time request may be executed once at most.
    fn request(&self, id: &str, is_one_time: bool, deadline_ms: u64) -> Message;
    /// Encodes a request that crashes the servers that run it: the same one each time but for `id`.
    fn crashing_request(&self, id: &str, deadline_ms: u64) -> Message;
    /// Returns the header with which a server names a limit in thousandths of a request per second.
    fn limit_header(&self, milli_per_s: u32) -> (&'static str, String);
    /// Parses the head of a request that a backend server received.
    fn parse_request(&self, head: &hyper::http::request::Parts) -> ReceivedRequest;
    /// Returns the headers of the response of `server` to the request `id`.
    fn response_headers(
        &self,
        server: &str,
        id: &str,
        is_not_run: bool,
    ) -> Vec<(&'static str, String)>;
    /// Returns whether a response carries a server's signature.
    fn is_signed(&self, headers: &hyper::HeaderMap) -> bool;
}
