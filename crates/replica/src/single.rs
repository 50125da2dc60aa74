//! Group of one replica without durable storage, for a first try and for tests of services.

use crate::handle;
use crate::machine;
use std::io;
use std::thread;
use tokio::sync::mpsc;

/// Commands that may wait for the group's thread.
const QUEUE_MAX_COUNT: usize = 1_024;
/// Term of a group that never elects.
const ONLY_TERM: u64 = 1;

/// Starts a group of one replica.
///
/// # Errors
///
/// Returns the error of the operating system if no thread can be started.
pub fn start(mut machine: Box<dyn machine::StateMachine>) -> io::Result<handle::Handle> {
    let (tx, mut rx) = mpsc::channel(QUEUE_MAX_COUNT);
    let body = move || {
        let mut index = 0;
        while let Some(req) = rx.blocking_recv() {
            match req {
                handle::Request::Propose { cmd, reply } => {
                    index += 1;
                    let mut buf = Vec::new();
                    machine.apply(index, &cmd, &mut buf);
                    // A proposer that went away needs no answer.
                    drop(reply.send(Ok(buf)));
                }
                handle::Request::Confirm { reply } => drop(reply.send(Ok(ONLY_TERM))),
            }
        }
    };
    thread::Builder::new()
        .name("group".to_owned())
        .spawn(body)?;
    Ok(handle::Handle::new(tx))
}
