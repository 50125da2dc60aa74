//! `nutmegctl explain` over log files of several processes.

use nutmegdale_ctl::Exit;
use std::env;
use std::fs;
use std::process;

const FIRST: &str = r#"
{"msg":"registry taken up","level":"INFO","ts":"2026-07-05T18:07:00.100Z","process":"entry-1","index":79,"version":21}
{"msg":"registry taken up","level":"INFO","ts":"2026-07-05T18:06:50.100Z","process":"entry-1","index":70,"version":20}
{"msg":"request decided","level":"INFO","ts":"2026-07-05T18:07:00.900Z","process":"entry-1","request_id":"9c40","outcome":"unknown","sends":"3:i-7 predicted=120 age=0 speed=100 busy=0 206:broken-answer"}
{"msg":"request decided","level":"INFO","ts":"2026-07-05T18:07:00.950Z","process":"entry-1","request_id":"9c41","outcome":"answered","sends":"3:i-8 predicted=120 age=0 speed=100 busy=0 106:200"}
"#;
const SECOND: &str = r#"
thread 'main' printed text that is not a log line
{"msg":"server taken out","level":"INFO","ts":"2026-07-05T18:07:00.700Z","process":"entry-2","server":"i-7","failure":"Answer"}
{"msg":"server taken out","level":"INFO","ts":"2026-07-05T18:07:00.800Z","process":"entry-2","server":"i-8","failure":"Connect"}
{"msg":"registry taken up","level":"INFO","ts":"2026-07-05T18:07:00.200Z","process":"entry-2","index":79,"version":21}
"#;

fn explain(id: &str) -> (Exit, String, String) {
    let folder = env::temp_dir().join(format!("nutmegctl-explain-{}-{id}", process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let files = [("first.log", FIRST), ("second.log", SECOND)].map(|(name, text)| {
        let path = folder.join(name);
        fs::write(&path, text).expect("a log");
        path.to_str().expect("a plain path").to_owned()
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let args = ["explain", id, &files[0], &files[1]];
    let exit = runtime.block_on(nutmegdale_ctl::run(&args, &mut out, &mut notes));
    fs::remove_dir_all(&folder).expect("the folder can be removed");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (exit, text(out), text(notes))
}

/// Guards against an explanation that omits lines of other processes about the server, or prints
/// unrelated lines.
#[test]
fn lines_of_the_request_its_process_and_its_servers_are_printed_in_order() {
    let (exit, out, notes) = explain("9c40");
    assert_eq!((exit, notes.as_str()), (Exit::Done, ""));
    let lines: Vec<_> = out.lines().collect();
    assert_eq!(lines.len(), 3, "{out}");
    assert!(lines[0].contains("entry-1 registry taken up") && lines[0].contains("index=79"));
    assert!(lines[1].contains("entry-2 server taken out") && lines[1].contains("i-7"));
    assert!(lines[2].contains("entry-1 request decided") && lines[2].contains("9c40"));
}

/// Guards against an unknown id that cannot be told from a request without problems.
#[test]
fn unknown_request_has_its_own_exit_code() {
    let (exit, out, notes) = explain("ffff");
    assert_eq!((exit, out.as_str()), (Exit::NotFound, ""));
    assert!(notes.contains("none of 7 lines"), "{notes}");
}
