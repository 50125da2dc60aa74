//! Documents that travel compressed.

use nutmegdale_registry::document;

/// Guards against documents that come back changed, and against large ones that travel as large as
/// they are.
#[test]
fn document_comes_back_as_it_was_sent() {
    let route = r#"["r-2b9wu3f","a.example","/x/","safe","800ms","250ms",2,null,2,[],"s1"],"#;
    let text = route.repeat(1_500);
    let packed = document::Document::pack(text.as_bytes());
    let unpacked = packed.unpack().expect("it was packed");
    assert_eq!(unpacked, text.as_bytes());
    assert!(packed.packed_bytes() * 10 < text.len());
    assert_eq!(packed, document::Document::pack(text.as_bytes()));
    let empty = document::Document::default();
    assert_eq!(empty.unpack().expect("nothing is nothing"), b"");
}

/// Guards against bytes that were damaged on their way and are taken for a document.
#[test]
fn damaged_document_is_an_error() {
    let packed = document::Document::pack(&b"configuration ".repeat(50));
    let mut encoded = rmp_serde::to_vec(&packed).expect("a document can be encoded");
    let last = encoded.len() - 1;
    encoded.truncate(last);
    assert!(rmp_serde::from_slice::<document::Document>(&encoded).is_err());
}
