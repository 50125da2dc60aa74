//! Encoding of calls.

use nutmegdale_rpc::{client, server};
use serde::{Deserialize, Serialize};

/// Entry that leaves out what is empty, as those of the catalogue do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    regions: Vec<String>,
    limit: u32,
}

/// Guards against bodies without field names for types that leave out empty fields: the next field
/// is then read in their place, or the call fails.
#[test]
fn calls_and_answers_carry_types_that_leave_out_empty_fields() {
    let entry = Entry {
        owner: None,
        regions: Vec::new(),
        limit: 7,
    };
    let body = client::Client::encode(&entry).expect("it can be encoded");
    assert_eq!(server::decode::<Entry>(&body).ok().as_ref(), Some(&entry));
    let answer = server::encode(&entry).expect("it can be encoded");
    let decoded: Entry = client::Client::decode(&answer).expect("it can be decoded");
    assert_eq!(decoded, entry);
}

/// Guards against compact answers that a caller cannot read.
#[test]
fn compact_answers_are_read_like_others() {
    let list = vec![("entry-1".to_owned(), 1_u64), ("entry-2".to_owned(), 2)];
    let compact = server::encode_compact(&list).expect("it can be encoded");
    let decoded: Vec<(String, u64)> = client::Client::decode(&compact).expect("it can be decoded");
    assert_eq!(decoded, list);
}
