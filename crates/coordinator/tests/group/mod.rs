//! Coordinators of one group in one process, with fake disks.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use nutmegdale_accounts::account;
use nutmegdale_base::clock;
use nutmegdale_consensus::status;
use nutmegdale_coordinator::{operations, service};
use nutmegdale_quota::gate;
use nutmegdale_registry::{config, follow, state};
use nutmegdale_rollout::bound;
use nutmegdale_storage::fake;
use nutmegdale_telemetry::{clock as telemetry_clock, log};
use nutmegdale_testkit::{addresses, cluster};
use std::io;
use std::net;
use std::path;
use std::sync;
use std::time;
use tokio::sync::watch;
use tokio::task;

/// Time for an election and for other work that no test measures.
pub(crate) const WAIT: time::Duration = time::Duration::from_secs(20);

/// Codec of documents that start with the decimal digits of their version and a space. A following
/// `limit=RATE` limits the account `account` to this rate, with a burst of one second.
struct VersionCodec;

impl config::Codec for VersionCodec {
    fn decode(&self, document: &[u8]) -> Result<config::Config, config::Error> {
        let text = String::from_utf8_lossy(document);
        let version = text.split(' ').next().unwrap_or_default().parse();
        let limit = text
            .split_once("limit=")
            .and_then(|(_, rate)| rate.parse().ok());
        Ok(config::Config {
            version: version.map_err(|_| config::Error::Unreadable(text.into_owned()))?,
            routes: Vec::new(),
            services: vec![config::Service {
                name: "service".to_owned(),
                health_path: "/health".to_owned(),
                connections_max: 100,
                warmup: clock::Millis::ZERO,
                cold_requests_per_s: 10.0,
            }],
            listeners: config::Listeners {
                head_max_bytes: 16_384,
                body_max_bytes: 100_000,
                header_timeout: clock::Millis(3_000),
                idle_timeout: clock::Millis(15_000),
            },
            accounts: limit.map(|limit| vec![limited_account(limit)]),
        })
    }
}

/// Returns the account `account` with a limit of `rate` requests per second.
pub(crate) fn limited_account(rate: f64) -> account::Account {
    account::Account {
        name: "account".to_owned(),
        keys: Vec::new(),
        priority: None,
        limit: Some(account::Limit {
            rate_per_s: rate,
            burst: rate,
        }),
        home_regions: Vec::new(),
    }
}

/// Coordinator of the group.
pub(crate) struct Member {
    pub(crate) operations: sync::Arc<operations::Operations>,
    pub(crate) disk: fake::FakeDisk,
    pub(crate) address: net::SocketAddr,
    stop: watch::Sender<bool>,
    task: task::JoinHandle<io::Result<()>>,
}

impl Member {
    pub(crate) fn role(&self) -> status::Role {
        self.operations.status().role
    }

    /// Returns whether the coordinator has ended by itself.
    pub(crate) fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Syncs as an entry process that holds the registry up to `index`.
    pub(crate) async fn sync(&self, index: u64) -> follow::SyncReply {
        let entry = follow::Entry {
            name: "entry".to_owned(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
        };
        let req = follow::SyncRequest {
            entry,
            is_ready: false,
            index,
            entries_digest: follow::entries_digest(&[]),
            hold: clock::Millis(100),
        };
        self.operations.sync(req).await
    }

    /// Returns the index of the registry once the member is current with `version`.
    pub(crate) async fn current_index(&self, version: u64) -> u64 {
        cluster::eventually(WAIT, &format!("version {version}"), || async {
            let reply = self.sync(0).await;
            let has_version = self.operations.version() == version;
            (reply.is_current && has_version).then_some(reply.index)
        })
        .await
    }
}

/// Coordinators that run until the value is dropped.
pub(crate) struct Group {
    pub(crate) members: Vec<Member>,
    addresses: addresses::Addresses,
    first_members: Vec<net::SocketAddr>,
    quotas: Option<gate::Bound>,
}

impl Group {
    /// Starts `count` coordinators and gives them version 1.
    pub(crate) async fn start(count: usize) -> Group {
        Group::start_with(count, None, "").await
    }

    /// Like [`Group::start`], with limits of accounts and a document that ends with `padding`.
    pub(crate) async fn start_with(
        count: usize,
        quotas: Option<gate::Bound>,
        padding: &str,
    ) -> Group {
        let mut addresses = addresses::Addresses::reserve();
        let first_members: Vec<_> = (0..count).map(|_| addresses.next_address()).collect();
        let mut group = Group {
            members: Vec::new(),
            addresses,
            first_members,
            quotas,
        };
        for address in group.first_members.clone() {
            let member = group.start_member(address, true, fake::FakeDisk::new());
            group.members.push(member);
        }
        group.configure_padded(0, 1, padding).await;
        for member in &group.members {
            member.current_index(1).await;
        }
        group
    }

    fn start_member(
        &self,
        address: net::SocketAddr,
        is_first_start: bool,
        disk: fake::FakeDisk,
    ) -> Member {
        let settings = service::Settings {
            listen: address,
            public: address,
            zone: address.ip().to_string(),
            data: path::PathBuf::new(),
            first_members: self.first_members.clone(),
            is_first_start,
            target_voters_count: self.first_members.len(),
            cluster_token: "token".to_owned(),
            quotas: self.quotas,
            rollouts: Some(bound::Bound {
                share: 0.1,
                slack: 50.0,
                rollback: clock::Millis(5_000),
            }),
        };
        let mut seeds = self.first_members.clone();
        seeds.extend(self.members.iter().map(|member| member.address));
        start(settings, seeds, disk)
    }

    /// Stops the member at a position for good and waits until it has ended.
    pub(crate) async fn stop(&mut self, position: usize) {
        let member = self.members.remove(position);
        member.stop.send_replace(true);
        drop(member.task.await);
    }

    /// Stops the member at a position and starts it again at its address with `disk`.
    pub(crate) async fn restart(&mut self, position: usize, disk: fake::FakeDisk) {
        let address = self.members[position].address;
        self.stop(position).await;
        let member = self.start_member(address, false, disk);
        self.members.push(member);
    }

    /// Starts a coordinator with an empty disk at a new address.
    pub(crate) fn add(&mut self) {
        let address = self.addresses.next_address();
        let member = self.start_member(address, false, fake::FakeDisk::new());
        self.members.push(member);
    }

    /// Returns the position of a member that leads or does not lead.
    pub(crate) fn find(&self, is_leader: bool) -> usize {
        let is_match = |m: &Member| (m.role() == status::Role::Leader) == is_leader;
        let position = self.members.iter().position(is_match);
        position.expect("a group has a leader and followers")
    }

    /// Replaces the version `base`, through any member, until the change is acknowledged.
    pub(crate) async fn configure(&self, base: u64, version: u64) {
        self.configure_padded(base, version, "").await;
    }

    /// Like [`Group::configure`], with a document that ends with `padding`.
    pub(crate) async fn configure_padded(&self, base: u64, version: u64, padding: &str) {
        let document = format!("{version} {padding}");
        cluster::eventually(WAIT, &format!("version {version} accepted"), || async {
            for member in &self.members {
                let changed = member.operations.configure(base, document.as_bytes());
                if changed.await == Ok(state::Reply::Done) {
                    return Some(());
                }
            }
            None
        })
        .await;
    }
}

fn start(settings: service::Settings, seeds: Vec<net::SocketAddr>, disk: fake::FakeDisk) -> Member {
    let dependencies = service::Dependencies {
        codec: sync::Arc::new(VersionCodec),
        data: Box::new(disk.clone()),
        clock: sync::Arc::new(telemetry_clock::SystemClock::start()),
        log: log::discard(),
    };
    let address = settings.listen;
    // The sender may go: the addresses do not change.
    let seeds = watch::channel(seeds).1;
    let coordinator = service::Coordinator::start(settings, seeds, dependencies);
    let coordinator = coordinator.expect("a coordinator starts");
    let operations = sync::Arc::clone(&coordinator.operations);
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(coordinator.run(stopped));
    Member {
        operations,
        disk,
        address,
        stop,
        task,
    }
}
