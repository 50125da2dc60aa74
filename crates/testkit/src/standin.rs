//! Simulated backend server that counts executions by request id and by idempotency key.
//!
//! It has slots and a queue, a connection limit, cold start, draining, load shedding and deadlines,
//! and can report a false load: see [`Behaviour`]. The query `bytes=N` requests a body of N bytes.

mod accept;
mod announce;
mod answer;
mod behaviour;
mod body;
mod counts;
mod shared;

pub use behaviour::{Behaviour, Load, LoadSource};
pub use counts::{Counter, Counts, Execution};
pub use shared::Shared;

use nutmegdale_membership::announcement;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use tokio::task;

/// Running stand-in. Dropping it stops it and closes its connections, as the kill of a process does.
#[derive(Debug)]
pub struct StandIn {
    /// Counters and behaviour, which tests can read and change.
    pub shared: sync::Arc<Shared>,
    tasks: task::JoinSet<()>,
}

impl StandIn {
    /// Starts a stand-in at the announced address. It announces itself to one of `entries`, and to the
    /// next one when an announcement fails.
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

    /// Starts a stand-in that listens at `listen` but announces another address, such as that of a
    /// link in front of it.
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

    /// Stops the server and its announcements, as the kill of a process does.
    pub fn kill(&mut self) {
        self.tasks.abort_all();
    }
}
