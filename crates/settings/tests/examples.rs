//! The example settings that docs/operations.md points to.

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
