//! The example settings that docs/OPERATIONS.md refers to.

use nutmegdale_settings::read;
use std::fs;
use std::path;

/// Guards against examples that the current parser rejects.
#[test]
fn every_example_is_valid() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let mut count = 0;
    for file in fs::read_dir(&root).expect("folder of examples") {
        let path = file.expect("example").path();
        let text = fs::read_to_string(&path).expect("example is text");
        if let Err(errors) = read::parse(&text) {
            panic!("{}: {errors:?}", path.display());
        }
        count += 1;
    }
    assert_eq!(count, 3);
}

/// Guards against a settings key without documentation for operators.
#[test]
fn every_key_of_the_examples_is_documented() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("page");
    for name in ["single", "entry", "control"] {
        let path = root.join(format!("examples/settings/{name}.ini"));
        let text = fs::read_to_string(path).expect("example is text");
        let mut section = "";
        for line in text.lines().filter(|line| !line.starts_with(';')) {
            if let Some(title) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                section = title;
            } else if let Some((key, _)) = line.split_once(" = ") {
                let key = format!("`{section}.{key}`");
                assert!(page.contains(&key), "{key} is not documented");
            }
        }
    }
}
