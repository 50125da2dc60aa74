//! Shows the promises of nutmegdale on one machine, with the Bavarian deployment on a small scale.
//!
//! Separate processes serve reads, filings and exports while an entry process is killed and a zone
//! is taken out and back; then everything stops gracefully. Ends with a failure if a promise was
//! broken.

mod scene;
mod traffic;
mod verdict;

use nutmegdale_testkit::cluster;
use std::process;
use std::time;

/// Time of traffic in each act.
const ACT: time::Duration = time::Duration::from_secs(4);
/// Time within which a zone that is out gets no new work.
const IN_FORCE: time::Duration = time::Duration::from_secs(6);
/// Zone that is taken out.
const ZONE: &str = "franken-1";

fn say(text: &str) {
    println!("demo: {text}");
}

#[tokio::main(worker_threads = 4)]
async fn main() -> process::ExitCode {
    say("starting 3 control processes, 6 entry processes and 12 servers");
    let mut scene = scene::Scene::start().await;
    scene.ctl(&["status"]);
    let mut verdict = verdict::Verdict::default();
    let traffic = traffic::Traffic::start(&scene.addresses());
    say("serving reads, filings and exports");
    tokio::time::sleep(ACT).await;

    say("killing an entry process");
    scene.cluster.entry[0].kill();
    tokio::time::sleep(ACT).await;

    say(&format!("taking zone {ZONE} out"));
    scene.ctl(&["zone", "out", ZONE]);
    tokio::time::sleep(IN_FORCE).await;
    let before = scene.executed_in(ZONE);
    tokio::time::sleep(ACT).await;
    let late = scene.executed_in(ZONE) - before;
    verdict.check(
        late == 0,
        &format!("{late} requests ran in {ZONE} while it was out"),
    );
    say("taking it back in");
    scene.ctl(&["zone", "in", ZONE]);
    tokio::time::sleep(IN_FORCE).await;
    let returned = scene.executed_in(ZONE) > before;
    verdict.check(returned, "the zone got no work after its return");

    say("stopping an entry process gracefully under traffic");
    scene.cluster.entry[1].signal("TERM");
    verdict.check(
        ended(&mut scene.cluster.entry[1]).await,
        "an entry process did not end well",
    );
    let tally = traffic.stop().await;
    say("stopping everything");
    for daemon in scene.cluster.entry[2..]
        .iter()
        .chain(&scene.cluster.control)
    {
        daemon.signal("TERM");
    }
    let (entry, control) = (&mut scene.cluster.entry, &mut scene.cluster.control);
    for daemon in entry[2..].iter_mut().chain(control) {
        let is_good = ended(daemon).await;
        verdict.check(is_good, &format!("{} did not end well", daemon.name));
    }
    verdict.judge(&tally, &scene.standins);
    verdict.print(&tally)
}

async fn ended(daemon: &mut cluster::Daemon) -> bool {
    // Waiting blocks the thread; other worker threads go on with the traffic.
    tokio::task::block_in_place(|| daemon.wait())
}
