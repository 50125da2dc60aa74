//! Payloads of the log's records.

use crate::frame;

/// Version of the file format.
const FORMAT_VERSION: u64 = 1;
const KIND_HEADER: u8 = 1;
const KIND_HARD_STATE: u8 = 2;
const KIND_ENTRY: u8 = 3;

/// Identity of a replica; written with its first record and never changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Random number that the replica drew when its folder was created.
    pub id: u64,
    /// Whether an operator prepared the folder for the first bootstrap of a group.
    pub is_prepared: bool,
}

/// Persistent Raft state besides the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Replica that got this replica's vote in that term.
    pub vote: Option<u64>,
}

/// Log entry to store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Index in the log.
    pub index: u64,
    /// Term in which a leader appended the entry.
    pub term: u64,
    /// Encoded content.
    pub body: &'a [u8],
}

/// Index and term of a log entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EntryId {
    pub(crate) index: u64,
    pub(crate) term: u64,
}

/// First record of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) identity: Identity,
    /// Last entry before the segment, or the default if there is none.
    pub(crate) base: EntryId,
    /// Whether everything before the segment was replaced by a received snapshot.
    pub(crate) is_reset: bool,
    pub(crate) hard_state: HardState,
}

/// Decoded record of a segment.
#[derive(Debug)]
pub(crate) enum Record<'a> {
    Header(Header),
    HardState(HardState),
    Entry(Entry<'a>),
}

fn encode_hard_state(payload: &mut Vec<u8>, state: HardState) {
    payload.extend_from_slice(&state.term.to_le_bytes());
    payload.push(u8::from(state.vote.is_some()));
    payload.extend_from_slice(&state.vote.unwrap_or(0).to_le_bytes());
}

fn decode_hard_state(decoder: &mut frame::Decoder<'_>) -> Option<HardState> {
    let term = decoder.read_u64()?;
    let has_vote = decoder.read_u8()? != 0;
    let vote = decoder.read_u64()?;
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
                for number in [FORMAT_VERSION, header.identity.id, base.index, base.term] {
                    payload.extend_from_slice(&number.to_le_bytes());
                }
                payload.push(u8::from(header.identity.is_prepared));
                payload.push(u8::from(header.is_reset));
                encode_hard_state(payload, header.hard_state);
            }
            Record::HardState(state) => {
                payload.push(KIND_HARD_STATE);
                encode_hard_state(payload, *state);
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
        let mut decoder = frame::Decoder::new(payload);
        match decoder.read_u8()? {
            KIND_HEADER => decode_header(decoder).map(Record::Header),
            KIND_HARD_STATE => decode_hard_state(&mut decoder).map(Record::HardState),
            KIND_ENTRY => Some(Record::Entry(Entry {
                index: decoder.read_u64()?,
                term: decoder.read_u64()?,
                body: decoder.rest(),
            })),
            _ => None,
        }
    }
}

fn decode_header(mut decoder: frame::Decoder<'_>) -> Option<Header> {
    if decoder.read_u64()? != FORMAT_VERSION {
        return None;
    }
    let id = decoder.read_u64()?;
    let base = EntryId {
        index: decoder.read_u64()?,
        term: decoder.read_u64()?,
    };
    let is_prepared = decoder.read_u8()? != 0;
    let is_reset = decoder.read_u8()? != 0;
    let hard_state = decode_hard_state(&mut decoder)?;
    Some(Header {
        identity: Identity { id, is_prepared },
        base,
        is_reset,
        hard_state,
    })
}
