//! Answers to entry processes, which follow the registry.

use crate::{confirmation, operations};
use nutmegdale_base::clock;
use nutmegdale_registry::follow;
use std::time;

/// Interval at which a held sync checks the list of entry processes, which sends no notification.
const ENTRIES_POLL_MS: clock::Millis = clock::Millis(250);

impl operations::Operations {
    /// Returns how long ago every change accepted until then was in the registry of this replica;
    /// `None` without evidence.
    pub(crate) fn confirmation_age(&self) -> Option<clock::Millis> {
        let status = self.handle.status();
        let now = self.clock.now();
        let mut soft = self.soft_state();
        if let Some(proof) = confirmation::Proof::of_leader(&status) {
            soft.confirmation.record(proof);
        }
        let confirmed_at = soft.confirmation.confirmed_at(status.applied);
        confirmed_at.map(|at| now.since(at))
    }

    /// Answers the sync of an entry process as a long poll: on the first change, or when the hold
    /// time of the request has passed.
    pub async fn sync(&self, req: follow::SyncRequest) -> follow::SyncReply {
        let started = self.clock.now();
        self.soft_state()
            .entries
            .record_sync(started, &req.entry, req.is_ready);
        let mut index = self.shared.subscribe();
        loop {
            index.mark_unchanged();
            let reply = self.sync_reply(&req);
            let elapsed = self.clock.now().since(started);
            let has_changes =
                !reply.changes.is_empty() || reply.is_whole || reply.entries.is_some();
            if has_changes || !reply.is_current || elapsed >= req.hold {
                return reply;
            }
            let wait = req.hold.since(elapsed).min(ENTRIES_POLL_MS);
            let wait = wait.min(confirmation::recent_for(reply.confirmation_age));
            let wait = time::Duration::from_millis(wait.0);
            // The loop checks again after a new index as well as after the timeout.
            let woken = tokio::time::timeout(wait, index.changed());
            drop(woken.await);
        }
    }

    fn sync_reply(&self, req: &follow::SyncRequest) -> follow::SyncReply {
        let now = self.clock.now();
        // Read first: the registry may only be newer than its evidence.
        let confirmation_age = self.confirmation_age();
        let since = self.shared.since(req.index);
        let soft = self.soft_state();
        let ready = soft.entries.ready(now);
        let entries = (follow::entries_digest(&ready) != req.entries_digest).then_some(ready);
        let coordinators = soft.peers.live(now).map(|peer| follow::Coordinator {
            address: peer.address,
            zone: peer.zone.clone(),
        });
        follow::SyncReply {
            // The role and the leader in the status of the replica are no evidence.
            is_current: confirmation::is_recent(confirmation_age),
            index: since.index,
            is_whole: since.is_whole,
            changes: since.changes,
            entries,
            coordinators: coordinators.collect(),
            confirmation_age,
        }
    }
}
