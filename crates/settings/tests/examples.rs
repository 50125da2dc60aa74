//! The example settings that docs/OPERATIONS.md points to.

use nutmegdale_settings::read;
use std::fs;
use std::path;

/// Guards against examples that a new version refuses.
#[test]
fn every_example_passes_the_check() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let mut count = 0;
    for file in fs::read_dir(&root).expect("folder of examples") {
        let path = file.expect("example").path();
        let text = fs::read_to_string(&path).expect("example is text");
        if let Err(faults) = read::parse(&text) {
            panic!("{}: {faults:?}", path.display());
        }
        count += 1;
    }
    assert_eq!(count, 3);
}

/// Guards against a key that operators cannot look up.
#[test]
fn every_key_of_the_examples_is_on_the_operations_page() {
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
