//! Content of the log's records.

use crate::frame;

/// Version of the layout of the files.
const LAYOUT: u64 = 1;
const KIND_HEADER: u8 = 1;
const KIND_HARD_STATE: u8 = 2;
const KIND_ENTRY: u8 = 3;

/// Who a replica is; written with its first record and never changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Random number of the replica.
    pub id: u64,
    /// Whether an operator prepared the folder for the first bootstrap of a group.
    pub is_prepared: bool,
}

/// Term and vote.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HardState {
    /// Newest term.
    pub term: u64,
    /// Vote in that term.
    pub vote: Option<u64>,
}

/// Entry to store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Position.
    pub index: u64,
    /// Term.
    pub term: u64,
    /// Encoded content.
    pub body: &'a [u8],
}

/// Position and term of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Mark {
    pub(crate) index: u64,
    pub(crate) term: u64,
}

/// First record of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) identity: Identity,
    /// Last entry before the segment.
    pub(crate) base: Mark,
    /// Whether everything before the segment was replaced by a received snapshot.
    pub(crate) is_reset: bool,
    pub(crate) hard_state: HardState,
}

/// Record of a segment.
#[derive(Debug)]
pub(crate) enum Record<'a> {
    Header(Header),
    HardState(HardState),
    Entry(Entry<'a>),
}

fn push_hard_state(payload: &mut Vec<u8>, state: HardState) {
    payload.extend_from_slice(&state.term.to_le_bytes());
    payload.push(u8::from(state.vote.is_some()));
    payload.extend_from_slice(&state.vote.unwrap_or(0).to_le_bytes());
}

fn read_hard_state(fields: &mut frame::Fields<'_>) -> Option<HardState> {
    let term = fields.number()?;
    let has_vote = fields.byte()? != 0;
    let vote = fields.number()?;
    let vote = has_vote.then_some(vote);
    Some(HardState { term, vote })
}

impl Record<'_> {
    pub(crate) fn encode(&self, payload: &mut Vec<u8>) {
        payload.clear();
        match self {
            Record::Header(header) => {
                payload.push(KIND_HEADER);
                let base = header.base;
                for number in [LAYOUT, header.identity.id, base.index, base.term] {
                    payload.extend_from_slice(&number.to_le_bytes());
                }
                payload.push(u8::from(header.identity.is_prepared));
                payload.push(u8::from(header.is_reset));
                push_hard_state(payload, header.hard_state);
            }
            Record::HardState(state) => {
                payload.push(KIND_HARD_STATE);
                push_hard_state(payload, *state);
            }
            Record::Entry(entry) => {
                payload.push(KIND_ENTRY);
                payload.extend_from_slice(&entry.index.to_le_bytes());
                payload.extend_from_slice(&entry.term.to_le_bytes());
                payload.extend_from_slice(entry.body);
            }
        }
    }

    pub(crate) fn decode(payload: &[u8]) -> Option<Record<'_>> {
        let mut fields = frame::Fields::new(payload);
        match fields.byte()? {
            KIND_HEADER => read_header(fields).map(Record::Header),
            KIND_HARD_STATE => read_hard_state(&mut fields).map(Record::HardState),
            KIND_ENTRY => Some(Record::Entry(Entry {
                index: fields.number()?,
                term: fields.number()?,
                body: fields.rest(),
            })),
            _ => None,
        }
    }
}

fn read_header(mut fields: frame::Fields<'_>) -> Option<Header> {
    if fields.number()? != LAYOUT {
        return None;
    }
    let id = fields.number()?;
    let base = Mark {
        index: fields.number()?,
        term: fields.number()?,
    };
    let is_prepared = fields.byte()? != 0;
    let is_reset = fields.byte()? != 0;
    let hard_state = read_hard_state(&mut fields)?;
    Some(Header {
        identity: Identity { id, is_prepared },
        base,
        is_reset,
        hard_state,
    })
}
