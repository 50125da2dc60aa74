//! What stand-ins and programs say to each other.

use std::net;
use std::path;

/// Message of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// What a program serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Callers.
    Entry,
    /// Operators and backend servers, with durable state.
    Control,
}

/// Program to start.
#[derive(Debug, Clone)]
pub struct Program {
    /// Name.
    pub name: String,
    /// What it serves.
    pub role: Role,
    /// Its address.
    pub ip: net::Ipv4Addr,
    /// Its availability zone, which is also its region.
    pub zone: String,
    /// Folder of its durable state.
    pub data: path::PathBuf,
    /// Whether the system starts for the first time.
    pub is_first_start: bool,
    /// Addresses of the control processes that every program is told.
    pub seeds: Vec<net::Ipv4Addr>,
    /// All zones.
    pub zones: Vec<String>,
}

/// Announcement of a backend server.
#[derive(Debug, Clone)]
pub struct Announcement<'a> {
    /// Identity.
    pub id: &'a str,
    /// Address that requests go to.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: &'a str,
    /// Service.
    pub service: &'a str,
    /// Start in milliseconds since the Unix epoch.
    pub born: u64,
    /// Number that grows with each announcement.
    pub sequence: u64,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

/// Request as a backend server sees it.
#[derive(Debug, Clone, Default)]
pub struct Arrived {
    /// Its identifier.
    pub id: String,
    /// Server that it is meant for.
    pub expected: Option<String>,
    /// Whether it is a health check.
    pub is_health: bool,
}

/// Language of the programs under test.
pub trait Wire: Send + Sync + 'static {
    /// Returns the arguments of a program, the variable that names its settings file, and the text
    /// of that file.
    fn start(&self, program: &Program) -> (Vec<String>, &'static str, String);
    /// Returns the address for callers of the entry process at `ip`.
    fn front(&self, ip: net::Ipv4Addr) -> net::SocketAddr;
    /// Returns the address of the directory of the entry process at `ip`.
    fn directory(&self, ip: net::Ipv4Addr) -> net::SocketAddr;
    /// Returns the address for operators and servers of the control process at `ip`.
    fn control(&self, ip: net::Ipv4Addr) -> net::SocketAddr;
    /// Asks where to connect.
    fn resolve(&self, zone: &str) -> Message;
    /// Reads the addresses of an answer to [`Wire::resolve`].
    fn addresses(&self, body: &[u8]) -> Vec<net::SocketAddr>;
    /// Announces a backend server.
    fn announce(&self, announcement: &Announcement<'_>) -> Message;
    /// Says that a backend server has left.
    fn leave(&self, id: &str) -> Message;
    /// Puts the configuration `version`, which builds on `base`, in force.
    fn configure(&self, version: u64, base: u64) -> Message;
    /// Reads the configuration.
    fn read(&self) -> Message;
    /// Reads the version of an answer to [`Wire::read`].
    fn version(&self, body: &[u8]) -> Option<u64>;
    /// Takes a zone out of service or back in.
    fn set_zone(&self, zone: &str, is_out: bool) -> Message;
    /// Makes a request of a caller; a one-time request may run once at most.
    fn request(&self, id: &str, is_one_time: bool, deadline_ms: u64) -> Message;
    /// Reads a request at a backend server.
    fn arrived(&self, head: &hyper::http::request::Parts) -> Arrived;
    /// Returns the headers of a server's answer to the request `id`.
    fn answer(&self, server: &str, id: &str, is_not_run: bool) -> Vec<(&'static str, String)>;
    /// Returns whether an answer bears a server's mark.
    fn is_signed(&self, headers: &hyper::HeaderMap) -> bool;
}
