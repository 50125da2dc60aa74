//! Checks the example catalogue in docs/OPERATIONS.md.

use nutmegdale_catalogue::{change, config, state};
use std::fs;
use std::path;

/// Guards against a documented example that the catalogue rejects.
#[test]
fn first_catalogue_of_the_operations_page_is_accepted() {
    let page = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("page");
    let block = page.split("```\n").find(|block| block.starts_with("[\n"));
    let change = change::Change {
        id: "first".to_owned(),
        base: Some(config::Version(0)),
        author: "ann".to_owned(),
        ops: serde_json::from_str(block.expect("steps")).expect("JSON"),
    };
    let answer = state::State::new().apply(change, 0);
    assert!(answer.is_accepted(), "{answer}");
}
