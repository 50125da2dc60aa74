//! Groups in one process, with fake disks and an in-memory transport.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use nutmegdale_base::{clock, rng};
use nutmegdale_consensus::{status, types};
use nutmegdale_replica::{driver, handle, machine, transport};
use nutmegdale_storage::{disk, fake, store};
use nutmegdale_telemetry::{clock as system, log};
use std::collections;
use std::sync;
use std::time;

/// State machine that keeps every command and replies with the number of commands.
#[derive(Debug, Default)]
pub(crate) struct CommandList {
    pub(crate) commands: sync::Arc<sync::Mutex<Vec<Vec<u8>>>>,
}

impl machine::StateMachine for CommandList {
    fn apply(&mut self, _index: u64, cmd: &[u8], reply: &mut Vec<u8>) {
        let mut commands = self.commands.lock().expect("lock");
        commands.push(cmd.to_vec());
        reply.extend_from_slice(commands.len().to_string().as_bytes());
    }

    fn snapshot(&self, buf: &mut Vec<u8>) {
        for command in self.commands.lock().expect("lock").iter() {
            buf.extend_from_slice(&(command.len() as u32).to_le_bytes());
            buf.extend_from_slice(command);
        }
    }

    fn restore(&mut self, mut snapshot: &[u8]) -> Result<(), String> {
        let mut commands = Vec::new();
        while let Some((len, rest)) = snapshot.split_first_chunk::<4>() {
            let (command, rest) = rest.split_at(u32::from_le_bytes(*len) as usize);
            commands.push(command.to_vec());
            snapshot = rest;
        }
        *self.commands.lock().expect("lock") = commands;
        Ok(())
    }
}

/// Transport that delivers messages at once and drops those for replicas that are not connected.
#[derive(Debug, Default)]
pub(crate) struct Mesh {
    handles: sync::Mutex<collections::HashMap<types::ReplicaId, handle::Handle>>,
}

impl Mesh {
    pub(crate) fn connect(&self, id: u64, handle: handle::Handle) {
        let mut handles = self.handles.lock().expect("lock");
        handles.insert(types::ReplicaId(id), handle);
    }
}

impl transport::Transport for Mesh {
    fn send(&self, to: types::ReplicaId, msg: &types::Envelope) {
        let handle = self.handles.lock().expect("lock").get(&to).cloned();
        if let Some(handle) = handle {
            handle.deliver(vec![msg.clone()], 100);
        }
    }

    fn set_members(&self, _members: &types::MemberSet) {}
}

pub(crate) fn config(id: u64) -> driver::Config {
    let identity = store::Identity {
        id,
        is_prepared: true,
    };
    let mut cfg = driver::Config::new("test", identity);
    cfg.node.election_ms = clock::Millis(500);
    cfg.node.heartbeat_ms = clock::Millis(50);
    cfg
}

pub(crate) struct Member {
    pub(crate) handle: handle::Handle,
    pub(crate) disk: fake::FakeDisk,
    pub(crate) commands: sync::Arc<sync::Mutex<Vec<Vec<u8>>>>,
}

pub(crate) fn dependencies(
    mesh: &sync::Arc<Mesh>,
    machine: Box<dyn machine::StateMachine>,
    disk: Box<dyn disk::Disk>,
    seed: u64,
) -> driver::Dependencies {
    driver::Dependencies {
        machine,
        transport: sync::Arc::clone(mesh) as sync::Arc<dyn transport::Transport>,
        clock: sync::Arc::new(system::SystemClock::start()),
        rng: Box::new(rng::SplitMix64::new(seed)),
        disk,
        log: log::discard(),
    }
}

pub(crate) fn start(mesh: &sync::Arc<Mesh>, cfg: driver::Config, disk: &fake::FakeDisk) -> Member {
    let list = CommandList::default();
    let commands = sync::Arc::clone(&list.commands);
    let id = cfg.new_identity.id;
    let deps = dependencies(mesh, Box::new(list), Box::new(disk.clone()), id);
    let started = driver::start(cfg, deps).expect("replica starts");
    mesh.connect(id, started.handle.clone());
    Member {
        handle: started.handle,
        disk: disk.clone(),
        commands,
    }
}

pub(crate) fn set(count: u64) -> types::MemberSet {
    let member = |number: u64| types::Member {
        id: types::ReplicaId(number),
        name: format!("n{number}"),
        region: "r".to_owned(),
        address: ([127, 0, 0, 1], number as u16).into(),
        is_voter: true,
    };
    types::MemberSet {
        members: (1..=count).map(member).collect(),
    }
}

/// Starts and bootstraps a group of `count` replicas.
pub(crate) async fn bootstrap(count: u64) -> (sync::Arc<Mesh>, Vec<Member>) {
    let mesh = sync::Arc::new(Mesh::default());
    let members: Vec<Member> = (1..=count)
        .map(|id| start(&mesh, config(id), &fake::FakeDisk::new()))
        .collect();
    for member in members.iter().rev() {
        let bootstrapped = member.handle.bootstrap(set(count), true).await;
        bootstrapped.expect("group is bootstrapped");
    }
    (mesh, members)
}

/// Waits until one of `members` leads and returns its position.
pub(crate) async fn leader(members: &[Member]) -> usize {
    let start = time::Instant::now();
    loop {
        let is_leader = |m: &Member| m.handle.status().role == status::Role::Leader;
        if let Some(position) = members.iter().position(is_leader)
            && members[position].handle.confirm_leadership().await.is_ok()
        {
            return position;
        }
        assert!(start.elapsed() < time::Duration::from_secs(10), "no leader");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}
