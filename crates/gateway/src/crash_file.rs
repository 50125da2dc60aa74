//! Keeps the crashes that are attributed to requests in a file, so that bans outlive the end of all
//! entry processes at the same time.
//!
//! A process without a data folder gets them from the others by gossip. Limits of servers are not
//! kept: a server names its limit with each response. See
//! [docs/design/crashing-requests.md](../../../docs/design/crashing-requests.md).

use crate::{metrics, state};
use displaydoc::Display;
use nutmegdale_base::clock;
use nutmegdale_gossip::{crashes, store};
use nutmegdale_storage::{disk, document, error};
use nutmegdale_telemetry::clock as wall_clock;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync;
use std::time;
use tokio::task;

/// Folder in the data folder of the process.
const FOLDER: &str = "gossip";
const FILE_NAME: &str = "crashes";
/// Version of the format of the file.
const FORMAT: u8 = 1;
/// Shortest time between two writes, each of which waits for the disk.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after a failed write before the next one.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Why the file cannot be read or written.
#[derive(Debug, Display)]
enum Error {
    /// data folder cannot be opened: {0}
    Folder(io::Error),
    /// {0}
    Storage(error::Error),
    /// file of crashes is empty or has another format than this version writes
    Format,
    /// crashes cannot be encoded: {0}
    Encode(rmp_serde::encode::Error),
    /// crashes cannot be decoded: {0}
    Decode(rmp_serde::decode::Error),
    /// task ended: {0}
    Task(task::JoinError),
}

/// Content of the file, after the format.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    /// Time of day at which the ages of the facts held, in milliseconds since the Unix epoch.
    wall_ms: u64,
    crashes: Vec<store::Fact<crashes::Evidence>>,
}

/// Takes up the crashes of earlier starts, and writes them whenever they have changed, until the task
/// is aborted.
pub(crate) async fn run(shared: sync::Arc<state::Shared>, data: sync::Arc<dyn disk::DataFolder>) {
    match on_blocking_thread(&data, read).await {
        Ok(content) => restore(&shared, content),
        Err(err) => slog::warn!(shared.log, "crashes cannot be restored"; "error" => %err),
    }
    loop {
        shared.gossip.crashes_changed().await;
        let content = Content {
            wall_ms: wall_clock::wall_ms(),
            crashes: shared.gossip.crashes(shared.clock.now()),
        };
        let written = on_blocking_thread(&data, move |data| write(data, &content)).await;
        let Err(err) = written else {
            tokio::time::sleep(WRITE_INTERVAL).await;
            continue;
        };
        metrics::increment(&shared.metrics.crashes_unsaved);
        slog::warn!(shared.log, "crashes cannot be saved"; "error" => %err);
        tokio::time::sleep(RETRY_DELAY).await;
        shared.gossip.mark_crashes_changed();
    }
}

/// Runs a function that may wait for the disk.
async fn on_blocking_thread<T: Send + 'static>(
    data: &sync::Arc<dyn disk::DataFolder>,
    function: impl FnOnce(&dyn disk::DataFolder) -> Result<T, Error> + Send + 'static,
) -> Result<T, Error> {
    let data = sync::Arc::clone(data);
    let ended = task::spawn_blocking(move || function(&*data)).await;
    ended.map_err(Error::Task)?
}

fn read(data: &dyn disk::DataFolder) -> Result<Option<Content>, Error> {
    let disk = data.open(FOLDER).map_err(Error::Folder)?;
    let Some(bytes) = document::read(&*disk, FILE_NAME).map_err(Error::Storage)? else {
        return Ok(None);
    };
    let Some((&FORMAT, body)) = bytes.split_first() else {
        return Err(Error::Format);
    };
    rmp_serde::from_slice(body).map(Some).map_err(Error::Decode)
}

fn write(data: &dyn disk::DataFolder, content: &Content) -> Result<(), Error> {
    let mut bytes = vec![FORMAT];
    rmp_serde::encode::write(&mut bytes, content).map_err(Error::Encode)?;
    let disk = data.open(FOLDER).map_err(Error::Folder)?;
    document::write(&*disk, FILE_NAME, &bytes).map_err(Error::Storage)
}

/// Takes up the crashes in the file, which have aged since it was written.
fn restore(shared: &state::Shared, content: Option<Content>) {
    let Some(mut content) = content else {
        return;
    };
    let passed = clock::Millis(wall_clock::wall_ms().saturating_sub(content.wall_ms));
    for fact in &mut content.crashes {
        fact.age = fact.age + passed;
    }
    let count = content.crashes.len();
    shared.gossip.restore(shared.clock.now(), content.crashes);
    slog::info!(shared.log, "crashes restored"; "requests" => count, "age_ms" => passed.0);
}
