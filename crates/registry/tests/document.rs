//! Compression of documents.

use nutmegdale_registry::document;

/// Guards against documents that differ after decompression, and against large ones that are hardly
/// compressed.
#[test]
fn document_round_trips() {
    let route = r#"["r-2b9wu3f","a.example","/x/","safe","800ms","250ms",2,null,2,[],"s1"],"#;
    let text = route.repeat(1_500);
    let packed = document::Document::pack(text.as_bytes());
    let unpacked = packed.unpack().expect("it was packed");
    assert_eq!(unpacked, text.as_bytes());
    assert!(packed.packed_bytes() * 10 < text.len());
    assert_eq!(packed, document::Document::pack(text.as_bytes()));
    let empty = document::Document::default();
    assert_eq!(
        empty.unpack().expect("an empty document can be unpacked"),
        b""
    );
}

/// Guards against decoding a document that was truncated in transit.
#[test]
fn truncated_document_is_an_error() {
    let packed = document::Document::pack(&b"configuration ".repeat(50));
    let mut encoded = rmp_serde::to_vec(&packed).expect("a document can be encoded");
    let last = encoded.len() - 1;
    encoded.truncate(last);
    assert!(rmp_serde::from_slice::<document::Document>(&encoded).is_err());
}
