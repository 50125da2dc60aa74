//! Conversion between the records of the store and the types of the log.

use nutmegdale_consensus::{actions, types};
use nutmegdale_storage::{error, store};

/// Decodes the recovered records of a store.
///
/// # Errors
///
/// Returns a message that names the record that cannot be decoded.
pub(crate) fn decode(stored: store::Recovered) -> Result<types::Recovered, String> {
    let snapshot = stored.snapshot.map(|s| {
        let decode_error = |err| format!("snapshot up to entry {}: {err}", s.index);
        rmp_serde::from_slice(&s.body).map_err(decode_error)
    });
    let entries = stored.entries.iter().map(|e| {
        let decode_error = |err| format!("entry {}: {err}", e.index);
        Ok(types::LogEntry {
            term: types::Term(e.term),
            index: types::Index(e.index),
            payload: rmp_serde::from_slice(&e.body).map_err(decode_error)?,
        })
    });
    Ok(types::Recovered {
        hard_state: types::HardState {
            term: types::Term(stored.hard_state.term),
            voted_for: stored.hard_state.vote.map(types::ReplicaId),
        },
        snapshot: snapshot.transpose()?,
        entries: entries.collect::<Result<_, String>>()?,
    })
}

fn hard_state(state: types::HardState) -> store::HardState {
    store::HardState {
        term: state.term.0,
        vote: state.voted_for.map(|id| id.0),
    }
}

/// Encodes a snapshot for the store.
pub(crate) fn encode_snapshot(snapshot: &types::Snapshot) -> Vec<u8> {
    rmp_serde::to_vec(snapshot).expect("snapshot can be encoded")
}

/// Stores the records listed in the actions of a batch with one sync; returns the size of the new
/// entries in bytes.
pub(crate) fn persist(
    store: &mut store::Store,
    actions: &actions::Actions,
) -> error::Result<usize> {
    if let Some(snapshot) = &actions.snapshot {
        let body = encode_snapshot(snapshot);
        store.install_snapshot(snapshot.index.0, snapshot.term.0, &body)?;
    }
    let encode =
        |e: &types::LogEntry| rmp_serde::to_vec(&e.payload).expect("payload can be encoded");
    let bodies: Vec<Vec<u8>> = actions.entries.iter().map(encode).collect();
    let entries = actions.entries.iter().zip(&bodies);
    let entries = entries.map(|(entry, body)| store::Entry {
        index: entry.index.0,
        term: entry.term.0,
        body,
    });
    store.append(actions.hard_state.map(hard_state), entries);
    store.sync()?;
    Ok(bodies.iter().map(Vec::len).sum())
}
