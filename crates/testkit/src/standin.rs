//! Backend server stand-in that counts every execution by request id and by key.
//!
//! It has slots and a queue, a limit of connections, cold start, drain, refusal and deadlines, and
//! it may lie: see [`Behaviour`]. A path with the query `bytes=N` is answered with N bytes.

mod accept;
mod announce;
mod answer;
mod behaviour;
mod body;
mod counts;
mod shared;

pub use behaviour::{Behaviour, Load, Shown};
pub use counts::{Counter, Counts, Execution};
pub use shared::Shared;

use nutmegdale_membership::announcement;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use tokio::task;

/// Running stand-in; it stops when dropped, and its connections break as those of a killed process.
#[derive(Debug)]
pub struct StandIn {
    /// What it counted and how it behaves.
    pub shared: sync::Arc<Shared>,
    tasks: task::JoinSet<()>,
}

impl StandIn {
    /// Starts a stand-in at the announced address that announces itself to `entries` in turn.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start(
        announced: announcement::Announcement,
        entries: Vec<net::SocketAddr>,
        behaviour: Behaviour,
    ) -> std::io::Result<StandIn> {
        let listen = announced.address;
        StandIn::start_behind(announced, listen, entries, behaviour).await
    }

    /// Starts a stand-in at `listen` that announces another address, as of a link in front of it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start_behind(
        announced: announcement::Announcement,
        listen: net::SocketAddr,
        entries: Vec<net::SocketAddr>,
        behaviour: Behaviour,
    ) -> std::io::Result<StandIn> {
        let listener = listen::bind(listen).await?;
        let shared = sync::Arc::new(Shared::new(announced.clone(), behaviour));
        let mut tasks = task::JoinSet::new();
        tasks.spawn(accept::run(sync::Arc::clone(&shared), listener));
        tasks.spawn(announce::run(sync::Arc::clone(&shared), announced, entries));
        Ok(StandIn { shared, tasks })
    }

    /// Stops the server as a kill does; it is not announced any more.
    pub fn kill(&mut self) {
        self.tasks.abort_all();
    }
}
