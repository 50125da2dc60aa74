//! Replays every trace under every plan: the expected bounds must hold, and the table must match its
//! golden file to the last digit, so that every change of a decision shows up in a diff.
//!
//! `UPDATE_GOLDEN=1 cargo test -p nutmegdale-replay` regenerates the golden files.

use nutmegdale_replay::{outcome, plan, run, trace};
use std::env;
use std::fs;
use std::path;

const SEED: u64 = 1;

#[test]
fn traces_meet_their_expected_bounds_and_golden_tables() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = fs::read_dir(root.join("traces")).expect("folder of traces");
    let mut paths: Vec<_> = folder.map(|file| file.expect("trace").path()).collect();
    paths.sort();
    let mut failures = Vec::new();
    for path in paths {
        let name = path
            .file_stem()
            .expect("name")
            .to_string_lossy()
            .into_owned();
        let text = fs::read_to_string(&path).expect("trace can be read");
        let trace = trace::Trace::parse(&text).unwrap_or_else(|err| panic!("{name}: {err}"));
        let run_plan = |plan| run::run(&trace, plan, SEED);
        let outcomes: Vec<_> = plan::all().into_iter().map(run_plan).collect();
        assert!(!trace.expects.is_empty(), "{name} has no expect statement");
        for expect in &trace.expects {
            let outcome = outcomes.iter().find(|o| o.plan == expect.plan);
            let outcome = outcome.unwrap_or_else(|| panic!("{name}: no plan {}", expect.plan));
            let is_within = outcome.is_within(&expect.column, expect.most);
            if !is_within.unwrap_or_else(|| panic!("{name}: no column {}", expect.column)) {
                failures.push(format!("{name}: {expect:?}"));
            }
        }
        let table = outcome::table(&outcomes);
        let golden = root.join("tests/golden").join(format!("{name}.md"));
        if env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&golden, &table).expect("golden file can be written");
        }
        let expected = fs::read_to_string(&golden).unwrap_or_default();
        if table != expected {
            failures.push(format!(
                "{name}: the table differs from its golden file:\n{table}"
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a malformed line that is ignored or misread, which would replay a different trace.
#[test]
fn malformed_lines_are_reported() {
    let head = "entries 2\nzones a:north\nservers 2 slots=4 cold-slots=1 service-us=5000\n";
    assert!(trace::Trace::parse(head).is_ok());
    for (line, error) in [
        (
            "load 0 10 urgent",
            "line 4: \"rate\" is missing or not a number",
        ),
        (
            "at 5 zone-out b",
            "line 4: \"at 5 zone-out b\" is not a valid statement",
        ),
        (
            "at 5 melt s1",
            "line 4: \"at 5 melt s1\" is not a valid statement",
        ),
        (
            "arrive 5 0 hasty",
            "line 4: \"arrive 5 0 hasty\" is not a valid statement",
        ),
    ] {
        let parsed = trace::Trace::parse(&format!("{head}{line}\n"));
        assert_eq!(parsed.expect_err(line).to_string(), error);
    }
    let parsed = trace::Trace::parse("entries 2\n");
    assert_eq!(
        parsed.expect_err("no servers").to_string(),
        "the trace has no statement of servers"
    );
}
