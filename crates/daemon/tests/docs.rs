//! Checks that docs/OPERATIONS.md lists the log messages.

use std::fs;
use std::path;

/// Tools, tests and stand-ins, whose log messages are not meant for operators.
const EXCLUDED_CRATES: [&str; 3] = ["replay", "soak", "testkit"];

fn collect_sources(folder: &path::Path, files: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder can be read") {
        let path = entry.expect("folder entry can be read").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let is_excluded = EXCLUDED_CRATES.contains(&&*name) || name == "tests" || name == "target";
        if path.is_dir() && !is_excluded {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|end| end == "rs") {
            files.push(path);
        }
    }
}

/// Returns the log messages of a source file: the first string literal of each logging macro.
fn messages(text: &str) -> Vec<&str> {
    let macros = ["slog::info!(", "slog::warn!(", "slog::error!("];
    let starts = macros.iter().flat_map(|name| text.match_indices(name));
    let messages = starts.filter_map(|(at, _)| text[at..].split('"').nth(1));
    messages.collect()
}

/// Guards against log messages that operators cannot look up in the page.
#[test]
fn every_log_message_is_listed_in_the_operations_page() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = root.join("docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("page can be read");
    let mut files = Vec::new();
    collect_sources(&root.join("crates"), &mut files);
    collect_sources(&root.join("platform"), &mut files);
    let mut count = 0;
    for file in files {
        let text = fs::read_to_string(&file).expect("source file can be read");
        for message in messages(&text) {
            count += 1;
            let is_listed = page.contains(&format!("`{message}`"));
            assert!(is_listed, "{message:?} of {} is not listed", file.display());
        }
    }
    assert!(count > 30, "only {count} messages were found");
}
