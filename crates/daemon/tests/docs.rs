//! What docs/OPERATIONS.md says of logs.

use std::fs;
use std::path;

/// Crates whose log lines people on call read; those of tests and stand-ins are left out.
const LEFT_OUT: [&str; 3] = ["replay", "soak", "testkit"];

fn sources(folder: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let is_left_out = LEFT_OUT.contains(&&*name) || name == "tests" || name == "target";
        if path.is_dir() && !is_left_out {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// Returns the messages of the log lines of a source file: the first text of each logging macro.
fn messages(text: &str) -> Vec<&str> {
    let macros = ["slog::info!(", "slog::warn!(", "slog::error!("];
    let starts = macros.iter().flat_map(|name| text.match_indices(name));
    let messages = starts.filter_map(|(at, _)| text[at..].split('"').nth(1));
    messages.collect()
}

/// Guards against log lines that nobody can look up.
#[test]
fn every_log_message_stands_in_the_operations_page() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = root.join("docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("page");
    let mut files = Vec::new();
    sources(&root.join("crates"), &mut files);
    sources(&root.join("platform"), &mut files);
    let mut count = 0;
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        for message in messages(&text) {
            count += 1;
            let is_listed = page.contains(&format!("`{message}`"));
            assert!(is_listed, "{message:?} of {} is not listed", file.display());
        }
    }
    assert!(count > 30, "only {count} messages were found");
}
