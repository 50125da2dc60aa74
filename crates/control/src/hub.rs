//! Answers to the syncs of entry processes.

use crate::catalogue;
use nutmegdale_base::clock;
use nutmegdale_membership::{directory, hub};
use nutmegdale_replica::handle;
use nutmegdale_rpc::message;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Hub of the leader; a replica that does not lead refuses syncs.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Hub {
    clock: sync::Arc<dyn clock::Clock>,
    group: handle::Handle,
    published: sync::Arc<catalogue::Published>,
    table: sync::Mutex<hub::HubTable>,
    changed: watch::Sender<()>,
}

impl Hub {
    /// Creates a hub over the group.
    pub fn new(
        clock: sync::Arc<dyn clock::Clock>,
        group: handle::Handle,
        published: sync::Arc<catalogue::Published>,
    ) -> Hub {
        let table = sync::Mutex::new(hub::HubTable::new(0));
        Hub {
            clock,
            group,
            published,
            table,
            changed: watch::Sender::new(()),
        }
    }

    /// Answers a sync once something changed or the time to hold it is over.
    ///
    /// The quorum confirms the lead after the hold, so the answer is current when it is made.
    pub async fn sync(&self, req: &message::SyncRequest) -> message::SyncReply {
        let mut versions = self.published.subscribe();
        let mut changes = self.changed.subscribe();
        let epoch = match self.group.confirm().await {
            Ok(term) => term,
            Err(err) => return not_leader(&err),
        };
        if self.take(epoch, req) {
            self.changed.send_replace(());
        }
        if req.may_hold && !self.has_news(req) {
            let hold = time::Duration::from_millis(message::SYNC_HOLD_MS.0);
            let news = async {
                loop {
                    tokio::select! {
                        _ = versions.changed() => {}
                        _ = changes.changed() => {}
                    }
                    if self.has_news(req) {
                        break;
                    }
                }
            };
            // A timeout is the usual end of a hold.
            drop(tokio::time::timeout(hold, news).await);
        }
        match self.group.confirm().await {
            Ok(term) if term == epoch => self.reply(req),
            Ok(_) => message::SyncReply::NotLeader { leader: None },
            Err(err) => not_leader(&err),
        }
    }

    fn table(&self) -> sync::MutexGuard<'_, hub::HubTable> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn take(&self, epoch: u64, req: &message::SyncRequest) -> bool {
        let now = self.clock.now();
        let mut table = self.table();
        if table.epoch() != epoch {
            *table = hub::HubTable::new(epoch);
        }
        let before = (table.revision(), table.entries_revision());
        table.sync(now, &req.entry, &req.changed);
        table.expire(now);
        before != (table.revision(), table.entries_revision())
    }

    fn has_news(&self, req: &message::SyncRequest) -> bool {
        let version = self.published.load().config.version;
        let table = self.table();
        version > req.version
            || table.epoch() != req.position.epoch
            || table.revision() > req.position.servers
            || table.entries_revision() > req.position.entries
    }

    fn reply(&self, req: &message::SyncRequest) -> message::SyncReply {
        let accepted = self.published.load();
        let config = &accepted.config;
        let is_newer = config.version > req.version;
        message::SyncReply::Confirmed {
            version: config.version,
            config: is_newer.then(|| Box::new(config.as_ref().clone())),
            delta: directory::Delta::collect(&self.table(), req.position),
        }
    }
}

fn not_leader(err: &handle::ProposeError) -> message::SyncReply {
    let leader = match err {
        handle::ProposeError::NotLeader { leader } => *leader,
        _ => None,
    };
    message::SyncReply::NotLeader { leader }
}
