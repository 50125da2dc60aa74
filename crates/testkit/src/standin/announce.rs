//! Periodic announcements of a stand-in.

use super::shared;
use crate::http;
use nutmegdale_membership::announcement;
use std::net;
use std::sync;
use std::time;

/// Delay before the announcement to the next entry process.
const FAILOVER_DELAY: time::Duration = time::Duration::from_millis(100);
/// Timeout of one announcement.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Announces the server to one entry process, and to the next one when a renewal fails.
pub(super) async fn run(
    shared: sync::Arc<shared::Shared>,
    mut announced: announcement::Announcement,
    entries: Vec<net::SocketAddr>,
) {
    if entries.is_empty() {
        return;
    }
    let mut entry = 0;
    loop {
        let mut pause = shared.behaviour().renew_time;
        if let Some(load) = shared.announced_load() {
            announced.sequence += 1;
            announced.state = load.state;
            if !send(entries[entry % entries.len()], &announced).await {
                entry += 1;
                pause = FAILOVER_DELAY;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.changed.notified() => {}
        }
    }
}

async fn send(entry: net::SocketAddr, announced: &announcement::Announcement) -> bool {
    let body = serde_json::to_vec(announced).expect("announcement can be encoded");
    let req = http::Request::post("/.nutmegdale/announce", &[], body);
    match tokio::time::timeout(TIMEOUT, http::send(entry, &req)).await {
        Ok(Ok(answer)) => answer.status == 200,
        _ => false,
    }
}
