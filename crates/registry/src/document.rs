//! Configuration document as it is stored and sent between processes.
//!
//! Configurations of more than a thousand routes may change several times a second, and each goes
//! to every replica and every entry process over links of a few Mbit/s. Documents repeat the same
//! fields in every route, so they are sent and stored compressed.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::io;
use std::io::Read;
use std::sync;

/// Largest decompressed document, in bytes; messages between processes are smaller.
const UNPACKED_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Compressed document; clones share their bytes.
#[serde_with::serde_as]
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document {
    #[serde_as(as = "sync::Arc<serde_with::Bytes>")]
    packed: sync::Arc<Vec<u8>>,
}

/// Prints the size only, since documents hold the keys of accounts.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Document")
            .field("packed_bytes", &self.packed.len())
            .finish_non_exhaustive()
    }
}

impl Document {
    /// Compresses a document.
    pub fn pack(document: &[u8]) -> Document {
        let level = flate2::Compression::fast();
        let mut packed = Vec::new();
        let mut encoder = flate2::read::DeflateEncoder::new(document, level);
        encoder
            .read_to_end(&mut packed)
            .expect("bytes in memory can be compressed");
        Document {
            packed: sync::Arc::new(packed),
        }
    }

    /// Decompresses the document to the bytes that the operator submitted.
    ///
    /// # Errors
    ///
    /// Fails if the bytes were not made by [`Document::pack`].
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut document = Vec::new();
        if self.packed.is_empty() {
            return Ok(document);
        }
        let decoder = flate2::read::DeflateDecoder::new(self.packed.as_slice());
        decoder
            .take(UNPACKED_MAX_BYTES)
            .read_to_end(&mut document)?;
        Ok(document)
    }

    /// Returns the compressed size, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
