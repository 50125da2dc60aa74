//! Answers to entry processes, which follow the registry.

use crate::{confirmation, operations};
use nutmegdale_base::clock;
use nutmegdale_registry::{entry_list, follow};
use std::time;

/// Interval at which a held sync checks the list of entry processes, which sends no notification.
const ENTRIES_POLL_MS: clock::Millis = clock::Millis(250);
/// Least time between two replies with changes to one entry process. After a start hundreds of
/// changes follow each other within seconds, and each reply makes the process build a table.
const REPLY_SPACING_MS: clock::Millis = clock::Millis(100);

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

    /// Answers the sync of an entry process of an older build, which takes whole lists of entry
    /// processes only.
    pub async fn sync(&self, req: follow::SyncRequest) -> follow::SyncReply {
        let update = self.sync_changes(&req).await;
        match update.entry_changes {
            None => update.reply,
            Some(_) => follow::SyncReply {
                entries: Some(self.soft_state().entries.ready(self.clock.now())),
                ..update.reply
            },
        }
    }

    /// Answers the sync of an entry process as a long poll: on the first change, or when the hold
    /// time of the request has passed. Changes that follow each other closely go into one reply.
    pub async fn sync_changes(&self, req: &follow::SyncRequest) -> follow::SyncUpdate {
        let started = self.clock.now();
        self.soft_state()
            .entries
            .record_sync(started, &req.entry, req.is_ready);
        let mut index = self.shared.subscribe();
        loop {
            index.mark_unchanged();
            let update = self.sync_update(req);
            let reply = &update.reply;
            let elapsed = self.clock.now().since(started);
            let has_changes = !reply.changes.is_empty()
                || reply.entries.is_some()
                || update.entry_changes.is_some();
            let is_due = has_changes && elapsed >= REPLY_SPACING_MS;
            if is_due || reply.is_whole || !reply.is_current || elapsed >= req.hold {
                return update;
            }
            if has_changes {
                // Nothing that follows can make the reply due earlier.
                let wait = REPLY_SPACING_MS.since(elapsed).min(req.hold.since(elapsed));
                tokio::time::sleep(time::Duration::from_millis(wait.0)).await;
                continue;
            }
            let wait = req.hold.since(elapsed).min(ENTRIES_POLL_MS);
            let wait = wait.min(confirmation::recent_for(reply.confirmation_age));
            let wait = time::Duration::from_millis(wait.0);
            // The loop checks again after a new index as well as after the timeout.
            let woken = tokio::time::timeout(wait, index.changed());
            drop(woken.await);
        }
    }

    fn sync_update(&self, req: &follow::SyncRequest) -> follow::SyncUpdate {
        let now = self.clock.now();
        // Read first: the registry may only be newer than its evidence.
        let confirmation_age = self.confirmation_age();
        let since = self.shared.since(req.index);
        let mut soft = self.soft_state();
        let ready = soft.entries.ready(now);
        let (entries, entry_changes) = match soft.entry_lists.update(ready, req.entries_digest) {
            entry_list::Update::Same => (None, None),
            entry_list::Update::Changes(changes) => (None, Some(changes)),
            entry_list::Update::Whole(entries) => (Some(entries), None),
        };
        let coordinators = soft.peers.live(now).map(|peer| follow::Coordinator {
            address: peer.address,
            zone: peer.zone.clone(),
        });
        let reply = follow::SyncReply {
            // The role and the leader in the status of the replica are no evidence.
            is_current: confirmation::is_recent(confirmation_age),
            index: since.index,
            is_whole: since.is_whole,
            changes: since.changes,
            entries,
            coordinators: coordinators.collect(),
            confirmation_age,
        };
        follow::SyncUpdate {
            reply,
            entry_changes,
        }
    }
}
