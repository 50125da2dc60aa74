//! Framing of records by length and checksum.

/// Size of the length and the checksum, which precede the payload of a record.
pub(crate) const HEADER_BYTES: usize = 8;

/// Appends a record to `buf`, which will be written at `start` of the file with number `file`.
pub(crate) fn push(buf: &mut Vec<u8>, file: u64, start: u64, payload: &[u8]) {
    let offset = start + buf.len() as u64;
    let len = u32::try_from(payload.len()).expect("records are bounded below 4 GiB");
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(file, offset, len, payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Covers the file number and the offset too, so that a misdirected write is detected when the
/// record is read from the wrong position.
fn checksum(file: u64, offset: u64, len: u32, payload: &[u8]) -> u32 {
    let mut sum = crc32c::crc32c(&file.to_le_bytes());
    sum = crc32c::crc32c_append(sum, &offset.to_le_bytes());
    sum = crc32c::crc32c_append(sum, &len.to_le_bytes());
    crc32c::crc32c_append(sum, payload)
}

/// Result of reading a record at an offset of a file.
#[derive(Debug)]
pub(crate) enum ReadResult<'a> {
    /// Payload of a complete record with a valid checksum.
    Payload(&'a [u8]),
    /// End of the file.
    End,
    /// Truncated record or wrong checksum, described for the error message.
    Damaged { expected: String, found: String },
}

/// Reads the record at `offset` of the file with number `file`.
pub(crate) fn read(content: &[u8], file: u64, offset: usize) -> ReadResult<'_> {
    let rest = &content[offset..];
    if rest.is_empty() {
        return ReadResult::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return truncated(
            format!("a record header of {HEADER_BYTES} bytes"),
            rest.len(),
        );
    };
    let len = u32::from_le_bytes([header[0], header[1], header[2], header[3]]);
    let sum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let Some(payload) = body.get(..len as usize) else {
        return truncated(format!("a record of {len} bytes"), body.len());
    };
    let computed = checksum(file, offset as u64, len, payload);
    if computed != sum {
        return ReadResult::Damaged {
            expected: format!("a record of {len} bytes with CRC32C {sum:08x}"),
            found: format!("CRC32C {computed:08x}"),
        };
    }
    ReadResult::Payload(payload)
}

fn truncated(expected: String, remaining_bytes: usize) -> ReadResult<'static> {
    ReadResult::Damaged {
        expected,
        found: format!("{remaining_bytes} bytes before the end of the file"),
    }
}

/// Reads the little-endian numbers and the bytes of a payload in order.
#[derive(Debug)]
pub(crate) struct Decoder<'a> {
    rest: &'a [u8],
}

impl<'a> Decoder<'a> {
    pub(crate) fn new(payload: &'a [u8]) -> Decoder<'a> {
        Decoder { rest: payload }
    }

    pub(crate) fn read_u8(&mut self) -> Option<u8> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(*first)
    }

    pub(crate) fn read_u64(&mut self) -> Option<u64> {
        let (first, rest) = self.rest.split_first_chunk::<8>()?;
        self.rest = rest;
        Some(u64::from_le_bytes(*first))
    }

    pub(crate) fn rest(self) -> &'a [u8] {
        self.rest
    }
}
