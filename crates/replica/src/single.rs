//! Group of one replica without durable storage, for a first try and for tests of services.

use crate::handle;
use crate::machine;
use nutmegdale_consensus::{status, types};
use std::io;
use std::sync;
use std::sync::mpsc;
use std::thread;
use tokio::sync::watch;

/// Term of a group that never elects.
const ONLY_TERM: u64 = 1;

/// Starts a group of one replica.
///
/// # Errors
///
/// Returns the error of the operating system if no thread can be started.
pub fn start(mut machine: Box<dyn machine::StateMachine>) -> io::Result<handle::Handle> {
    let (tx, rx) = mpsc::channel();
    let gates = handle::Gates::new();
    let (status_tx, status_rx) = watch::channel(sync::Arc::new(status()));
    let handle = handle::Handle::new(tx, sync::Arc::clone(&gates), status_rx);
    let body = move || {
        let mut index = 0;
        while let Ok(req) = rx.recv() {
            gates.leave(&req);
            match req {
                handle::Request::Propose { cmd, reply } => {
                    index += 1;
                    let mut buf = Vec::new();
                    machine.apply(index, &cmd, &mut buf);
                    // A proposer that went away needs no answer.
                    drop(reply.send(Ok(buf)));
                }
                handle::Request::Confirm { reply } => drop(reply.send(Ok(ONLY_TERM))),
                handle::Request::Stop { .. } => break,
                _ => {}
            }
        }
        drop(status_tx);
    };
    thread::Builder::new()
        .name("group".to_owned())
        .spawn(body)?;
    Ok(handle)
}

fn status() -> status::Status {
    status::Status {
        group: "single".to_owned(),
        id: types::ReplicaId(1),
        role: status::Role::Leader,
        term: types::Term(ONLY_TERM),
        leader: Some(types::ReplicaId(1)),
        commit: types::Index(0),
        applied: types::Index(0),
        last: types::Index(0),
        members: types::MemberSet::default(),
        progress: Vec::new(),
        is_repaired: Some(true),
    }
}
