//! Demonstrates the guarantees of nutmegdale on one machine, with a small copy of the Bavarian
//! deployment.
//!
//! Separate processes serve reads, filings and exports while an entry process is killed and a zone
//! is taken out of service and returned; then everything shuts down gracefully. Exits with a failure
//! if a guarantee was violated.

mod scene;
mod traffic;
mod verdict;

use nutmegdale_testkit::cluster;
use std::process;
use std::time;

/// Duration of traffic in each phase.
const PHASE: time::Duration = time::Duration::from_secs(4);
/// Time until a change of a zone takes effect at all entry processes.
const ZONE_CHANGE_DELAY: time::Duration = time::Duration::from_secs(6);
/// Zone that is taken out of service.
const ZONE: &str = "franken-1";

fn log(text: &str) {
    println!("demo: {text}");
}

#[tokio::main(worker_threads = 4)]
async fn main() -> process::ExitCode {
    log("starting 3 control processes, 6 entry processes and 12 servers");
    let mut scene = scene::Scene::start().await;
    scene.ctl(&["status"]);
    let mut verdict = verdict::Verdict::default();
    let traffic = traffic::Traffic::start(&scene.addresses());
    log("serving reads, filings and exports");
    tokio::time::sleep(PHASE).await;

    log("killing an entry process");
    scene.cluster.entry[0].kill();
    tokio::time::sleep(PHASE).await;

    log(&format!("taking zone {ZONE} out of service"));
    scene.ctl(&["zone", "out", ZONE]);
    tokio::time::sleep(ZONE_CHANGE_DELAY).await;
    let before = scene.executed_in(ZONE);
    tokio::time::sleep(PHASE).await;
    let late = scene.executed_in(ZONE) - before;
    verdict.check(
        late == 0,
        &format!("{late} requests were executed in {ZONE} while it was out of service"),
    );
    log("returning the zone to service");
    scene.ctl(&["zone", "in", ZONE]);
    tokio::time::sleep(ZONE_CHANGE_DELAY).await;
    let has_returned = scene.executed_in(ZONE) > before;
    verdict.check(
        has_returned,
        "the zone got no requests after its return to service",
    );

    log("stopping an entry process gracefully under traffic");
    scene.cluster.entry[1].signal("TERM");
    verdict.check(
        exits_with_success(&mut scene.cluster.entry[1]).await,
        "an entry process exited with an error",
    );
    let tally = traffic.stop().await;
    log("stopping everything");
    for daemon in scene.cluster.entry[2..]
        .iter()
        .chain(&scene.cluster.control)
    {
        daemon.signal("TERM");
    }
    let (entry, control) = (&mut scene.cluster.entry, &mut scene.cluster.control);
    for daemon in entry[2..].iter_mut().chain(control) {
        let is_success = exits_with_success(daemon).await;
        verdict.check(is_success, &format!("{} exited with an error", daemon.name));
    }
    verdict.check_calls(&tally, &scene.standins);
    verdict.print(&tally)
}

async fn exits_with_success(daemon: &mut cluster::Daemon) -> bool {
    // Waiting blocks the thread; the traffic continues on other worker threads.
    tokio::task::block_in_place(|| daemon.wait())
}
