//! Gateway: forwards callers' requests to backend servers and returns the responses.
//!
//! The path of a request reads one immutable [`table::Table`], published by an atomic pointer
//! swap; [`follow`] keeps it in sync with the registry, through the coordinator that [`failover`]
//! chooses. [`proxy`] handles a request from its head to its outcome; [`caller`] identifies whose
//! request it is. `exchange` makes its attempts, including retries and hedges; `hedge_timer`
//! decides when a hedge is due. [`picker`] applies the decisions of `nutmegdale-dispatch` to pick
//! a server after the health checks of [`probe`], and [`precedence`] keeps slots free for urgent
//! requests. Only [`attempt`] writes requests to servers, over connections from [`pool`];
//! [`buffer`] limits the memory of buffered bodies; `in_flight` records what each attempt tells
//! of its server, and [`server_traffic`] counts bytes. [`quota`] admits requests within the
//! limits of their accounts, [`crashes`] recognises requests that crash servers, `crash_file` keeps
//! these for later starts, [`gossip`] exchanges facts on servers with other entry processes, and
//! [`rollouts`] divides requests between two versions of a service. [`directory`] selects the
//! addresses to which callers connect. Header names of a front end are known only to its
//! [`dialect::Dialect`]. See [docs/platform.md](../../../docs/platform.md).

pub mod attempt;
pub mod backend;
pub mod buffer;
mod call;
pub mod caller;
mod crash_file;
pub mod crashes;
mod datagram;
pub mod decisions;
pub mod dialect;
pub mod directory;
mod exchange;
pub mod failover;
mod fingerprint;
pub mod follow;
pub mod gossip;
mod hedge_timer;
mod in_flight;
mod interim;
pub mod metrics;
pub mod opened;
pub mod payload;
pub mod picker;
mod pipelined;
pub mod pool;
pub mod precedence;
pub mod probe;
pub mod proxy;
pub mod quota;
pub mod rollouts;
pub mod server_traffic;
pub mod service;
pub mod settings;
pub mod state;
pub mod table;
mod upload;
