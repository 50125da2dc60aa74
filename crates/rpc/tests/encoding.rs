//! Tests of the encoding of calls and responses.

use nutmegdale_rpc::{client, server};
use serde::{Deserialize, Serialize};

/// Entry that omits empty fields, as the catalogue's entries do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    regions: Vec<String>,
    limit: u32,
}

/// Guards against encoding without field names where a type omits empty fields: the decoder would
/// read the next field in place of an omitted one, or fail.
#[test]
fn named_encoding_round_trips_types_that_omit_empty_fields() {
    let entry = Entry {
        owner: None,
        regions: Vec::new(),
        limit: 7,
    };
    let body = client::Client::encode(&entry).expect("value can be encoded");
    assert_eq!(server::decode::<Entry>(&body).ok().as_ref(), Some(&entry));
    let response = server::encode(&entry).expect("value can be encoded");
    let decoded: Entry = client::Client::decode(&response).expect("value can be decoded");
    assert_eq!(decoded, entry);
}

/// Guards against compact responses that a client cannot decode.
#[test]
fn client_decodes_compact_responses() {
    let list = vec![("entry-1".to_owned(), 1_u64), ("entry-2".to_owned(), 2)];
    let compact = server::encode_compact(&list).expect("value can be encoded");
    let decoded: Vec<(String, u64)> =
        client::Client::decode(&compact).expect("value can be decoded");
    assert_eq!(decoded, list);
}
