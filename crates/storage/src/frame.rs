//! Records with length, checksum and place.

/// Bytes before the payload of a record: its length and its checksum.
pub(crate) const HEAD_BYTES: usize = 8;

/// Appends a record to `buf`, which will be written at `start` of the file with number `file`.
pub(crate) fn push(buf: &mut Vec<u8>, file: u64, start: u64, payload: &[u8]) {
    let offset = start + buf.len() as u64;
    let len = u32::try_from(payload.len()).expect("records are bounded below 4 GiB");
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(file, offset, len, payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

/// The sum covers the place too, so a record that is read elsewhere than where it was written, as
/// after a misdirected write, is noticed.
fn checksum(file: u64, offset: u64, len: u32, payload: &[u8]) -> u32 {
    let mut sum = crc32c::crc32c(&file.to_le_bytes());
    sum = crc32c::crc32c_append(sum, &offset.to_le_bytes());
    sum = crc32c::crc32c_append(sum, &len.to_le_bytes());
    crc32c::crc32c_append(sum, payload)
}

/// What lies at an offset of a file.
#[derive(Debug)]
pub(crate) enum Read<'a> {
    /// Whole record.
    Payload(&'a [u8]),
    /// End of the file.
    End,
    /// Something else, as words for an error.
    Damaged { expected: String, found: String },
}

/// Reads the record at `offset` of the file with number `file`.
pub(crate) fn read(content: &[u8], file: u64, offset: usize) -> Read<'_> {
    let rest = &content[offset..];
    if rest.is_empty() {
        return Read::End;
    }
    let Some((head, body)) = rest.split_at_checked(HEAD_BYTES) else {
        return damaged(format!("a record head of {HEAD_BYTES} bytes"), rest.len());
    };
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]);
    let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    let Some(payload) = body.get(..len as usize) else {
        return damaged(format!("a record of {len} bytes"), body.len());
    };
    let computed = checksum(file, offset as u64, len, payload);
    if computed != sum {
        return Read::Damaged {
            expected: format!("a record of {len} bytes with CRC32C {sum:08x}"),
            found: format!("CRC32C {computed:08x}"),
        };
    }
    Read::Payload(payload)
}

fn damaged(expected: String, left_bytes: usize) -> Read<'static> {
    Read::Damaged {
        expected,
        found: format!("{left_bytes} bytes before the end of the file"),
    }
}

/// Little-endian numbers and bytes of a payload, in order.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    pub(crate) fn new(payload: &'a [u8]) -> Fields<'a> {
        Fields { rest: payload }
    }

    pub(crate) fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(*first)
    }

    pub(crate) fn number(&mut self) -> Option<u64> {
        let (first, rest) = self.rest.split_first_chunk::<8>()?;
        self.rest = rest;
        Some(u64::from_le_bytes(*first))
    }

    pub(crate) fn rest(self) -> &'a [u8] {
        self.rest
    }
}
