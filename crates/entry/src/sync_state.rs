//! Replicated state of an entry process: its copies of the catalogue and of the hub's directory,
//! and the validation of sync replies that update them.
//!
//! Invariants: the version never decreases, a rejected reply changes nothing, and a reply that
//! [`SyncState::apply_reply`] accepts leaves exactly the configuration that the quorum confirmed.

use displaydoc::Display;
use nutmegdale_catalogue::{config, diff};
use nutmegdale_membership::{announcement, directory, local};
use nutmegdale_rpc::message;

/// Reason to reject a sync reply; the configuration lease is then not extended.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReplyError {
    /// version {offered} of the reply is older than the current version {held}
    Older {
        /// Version in the reply.
        offered: config::Version,
        /// Current version of this process.
        held: config::Version,
    },
    /// version {0} is confirmed but cannot be reconstructed from the reply
    Incomplete(config::Version),
}

/// Announcements that a sync request carries, from servers that announce themselves to this
/// process.
#[derive(Debug)]
pub struct PendingAnnouncements {
    /// Announcements to send.
    pub changed: Vec<announcement::Announcement>,
    /// Whether these are all announcements, not only changed ones.
    pub is_all: bool,
    /// Number of the last change that is included.
    pub last_change: u64,
}

/// Replicated state of one entry process.
#[derive(Debug)]
pub struct SyncState {
    config: config::Config,
    directory: directory::Directory,
    acked_change: u64,
    must_send_all: bool,
    needs_full_config: bool,
}

impl Default for SyncState {
    fn default() -> SyncState {
        SyncState::new()
    }
}

impl SyncState {
    /// Creates empty state. Nothing is persisted over a restart, so no configuration applies before
    /// a quorum has confirmed it.
    pub fn new() -> SyncState {
        SyncState {
            config: config::Config::default(),
            directory: directory::Directory::new(),
            acked_change: 0,
            must_send_all: true,
            needs_full_config: false,
        }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &config::Config {
        &self.config
    }

    /// Returns the copy of the hub's directory.
    pub fn directory(&self) -> &directory::Directory {
        &self.directory
    }

    /// Returns the version for the next sync request; 0 requests the full configuration.
    pub fn request_version(&self) -> config::Version {
        if self.needs_full_config {
            return config::Version(0);
        }
        self.config.version
    }

    /// Returns whether there are announcements that the leader has not acknowledged.
    pub fn has_pending_announcements(&self, local: &local::LocalTable) -> bool {
        self.must_send_all || local.last_change() > self.acked_change
    }

    /// Returns the announcements for the next sync request.
    pub fn pending_announcements(&self, local: &local::LocalTable) -> PendingAnnouncements {
        let from = if self.must_send_all {
            0
        } else {
            self.acked_change
        };
        PendingAnnouncements {
            changed: local.changed_after(from).cloned().collect(),
            is_all: self.must_send_all,
            last_change: local.last_change(),
        }
    }

    /// Applies a confirmed reply to a sync that sent announcements up to `sent_change`, and returns
    /// whether the configuration or the directory changed.
    ///
    /// # Errors
    ///
    /// Rejects an inconsistent reply, which changes neither of them.
    pub fn apply_reply(
        &mut self,
        here: &str,
        sent_change: u64,
        reply: message::Confirmed,
        local: &mut local::LocalTable,
    ) -> Result<bool, ReplyError> {
        let held = self.config.version;
        if reply.version < held {
            return Err(ReplyError::Older {
                offered: reply.version,
                held,
            });
        }
        let next = self.next_config(reply.version, reply.update);
        let next = next.filter(|next| next.digest() == reply.digest);
        let Some(next) = next else {
            self.needs_full_config = true;
            return Err(ReplyError::Incomplete(reply.version));
        };
        let is_newer = next.version != held || self.needs_full_config;
        self.needs_full_config = false;
        self.config = next;
        self.acked_change = sent_change;
        self.must_send_all = reply.wants_all;
        if !reply.wants_all {
            local.forget_gone(sent_change);
        }
        for listed in &reply.delta.servers {
            local.reconcile(here, listed);
        }
        Ok(self.directory.apply(reply.delta) || is_newer)
    }

    fn next_config(
        &self,
        version: config::Version,
        update: Option<message::Update>,
    ) -> Option<config::Config> {
        let mut next = match update {
            Some(message::Update::Whole(cfg)) => *cfg,
            Some(message::Update::Effects(effects)) => {
                let mut next = self.config.clone();
                for effect in &effects {
                    diff::apply(&mut next, effect);
                }
                next.version = version;
                next
            }
            None => self.config.clone(),
        };
        // Only the control group validates bindings of ledger regions.
        next.ledger_regions.clear();
        (next.version == version).then_some(next)
    }
}
