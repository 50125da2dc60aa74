//! Copies of the catalogue and of the hub's table at an entry process, and what it accepts for
//! them.
//!
//! Invariants: the version never goes back, a refused answer changes nothing, and an answer that
//! [`Follower::take`] accepts leaves exactly the configuration that the quorum confirmed.

use displaydoc::Display;
use nutmegdale_catalogue::{config, diff};
use nutmegdale_membership::{announcement, directory, local};
use nutmegdale_rpc::message;

/// Why an answer is refused; the configuration lease is then not extended.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Refused {
    /// version {offered} is older than version {held}, which is held
    Older {
        /// Version of the answer.
        offered: config::Version,
        /// Version held.
        held: config::Version,
    },
    /// version {0} is confirmed but cannot be worked out from the answer
    Incomplete(config::Version),
}

/// What a sync says of the servers that announce themselves here.
#[derive(Debug)]
pub struct Announced {
    /// Announcements to send.
    pub changed: Vec<announcement::Announcement>,
    /// Whether they are all that there are.
    pub is_all: bool,
    /// Number of the last change that they cover.
    pub last_change: u64,
}

/// The copies of one entry process.
#[derive(Debug)]
pub struct Follower {
    config: config::Config,
    directory: directory::Directory,
    acked_change: u64,
    sends_all: bool,
    needs_whole: bool,
}

impl Default for Follower {
    fn default() -> Follower {
        Follower::new()
    }
}

impl Follower {
    /// Creates empty copies, as a process starts with: nothing is kept over a restart, so nothing
    /// is in force before a quorum has confirmed it.
    pub fn new() -> Follower {
        Follower {
            config: config::Config::default(),
            directory: directory::Directory::new(),
            acked_change: 0,
            sends_all: true,
            needs_whole: false,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &config::Config {
        &self.config
    }

    /// Returns the copy of the hub's table.
    pub fn directory(&self) -> &directory::Directory {
        &self.directory
    }

    /// Returns the version that the next sync names; 0 asks for the whole configuration.
    pub fn stated_version(&self) -> config::Version {
        if self.needs_whole {
            return config::Version(0);
        }
        self.config.version
    }

    /// Returns whether there are announcements to send.
    pub fn has_unsent(&self, local: &local::LocalTable) -> bool {
        self.sends_all || local.last_change() > self.acked_change
    }

    /// Returns the announcements that the next sync sends.
    pub fn announced(&self, local: &local::LocalTable) -> Announced {
        let from = if self.sends_all { 0 } else { self.acked_change };
        Announced {
            changed: local.changed_after(from).cloned().collect(),
            is_all: self.sends_all,
            last_change: local.last_change(),
        }
    }

    /// Takes a confirmed answer to a sync that sent announcements up to `sent_change`, and returns
    /// whether the copies changed.
    ///
    /// # Errors
    ///
    /// A refused answer changes neither copy.
    pub fn take(
        &mut self,
        here: &str,
        sent_change: u64,
        reply: message::Confirmed,
        local: &mut local::LocalTable,
    ) -> Result<bool, Refused> {
        let held = self.config.version;
        if reply.version < held {
            return Err(Refused::Older {
                offered: reply.version,
                held,
            });
        }
        let next = self.updated(reply.version, reply.update);
        let next = next.filter(|next| next.digest() == reply.digest);
        let Some(next) = next else {
            self.needs_whole = true;
            return Err(Refused::Incomplete(reply.version));
        };
        let is_newer = next.version != held || self.needs_whole;
        self.needs_whole = false;
        self.config = next;
        self.acked_change = sent_change;
        self.sends_all = reply.wants_all;
        if !reply.wants_all {
            local.forget_gone(sent_change);
        }
        for listed in &reply.delta.servers {
            local.reconcile(here, listed);
        }
        Ok(self.directory.apply(reply.delta) || is_newer)
    }

    fn updated(
        &self,
        version: config::Version,
        update: Option<message::Update>,
    ) -> Option<config::Config> {
        let mut next = match update {
            Some(message::Update::Whole(whole)) => *whole,
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
        // Bindings of ledger regions matter to the checks of the control group only.
        next.ledger_regions.clear();
        (next.version == version).then_some(next)
    }
}
