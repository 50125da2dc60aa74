//! Case 5: the machines of a deployment with three control machines lose their disks in turn, one at
//! a time and each only after the one before has been back for `catchUp`. The acknowledged
//! configuration must still be readable.

#[path = "../tools/lab.rs"]
#[allow(dead_code)]
mod lab;

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Routes of each configuration; `big_config` adds up to 1,532, and may come more than once.
const ROUTES_COUNT: usize = 3 * 1_532;
/// Changes of the configuration before the first loss ("hundreds of changes").
const CHANGES_COUNT: u64 = 180;
/// Time for which a machine that loses its disk is down.
const DOWN: Duration = Duration::from_secs(1);
/// Time from the start of a machine with its empty disk until the next one loses its disk: `catchUp`
/// (4 s) and a little more.
const BETWEEN_LOSSES: Duration = Duration::from_millis(4_300);
/// Delay after which the platform starts a process that has ended by itself.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after which no further machine loses its disk.
const LOSSES_END: Duration = Duration::from_secs(88);
/// Calm time with all machines running before the operator reads back; `recovery` is 15 s.
const CALM: Duration = Duration::from_secs(18);
/// Time for which the operator reads back at the end; `contact` is 3 s.
const READ_BACK: Duration = Duration::from_secs(8);
/// Limit of the first configuration, which the operator sends until it is accepted.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(10);
/// Limit of an order (`ack`).
const ACK: Duration = Duration::from_secs(4);

fn main() {
    lab::run_case("review-5", case);
}

fn address(n: usize) -> Ipv4Addr {
    lab::address(5, n as u8 + 1)
}

/// Machines of the deployment and the platform that starts their processes.
struct Platform {
    deployment: lab::Deployment,
    machines: Vec<lab::Control>,
}

impl Platform {
    fn start(&mut self, n: usize, is_first_start: bool) -> io::Result<lab::Control> {
        let seeds = [address(0), address(1), address(2)];
        let name = format!("control-{}", n + 1);
        self.deployment
            .start_control(&name, address(n), ZONES[n], &seeds, is_first_start)
    }

    /// Waits, and starts each process again that ends by itself.
    fn wait(&mut self, record: &mut lab::Record, span: Duration) -> io::Result<()> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            for n in 0..self.machines.len() {
                if let Some(status) = self.machines[n].own_end() {
                    record.line(&format!("control-{} ended by itself: {status}", n + 1));
                    sleep(RESTART_DELAY);
                    self.machines[n] = self.start(n, false)?;
                    record.line(&format!("started control-{} again", n + 1));
                }
            }
            sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

fn case(record: &mut lab::Record, folder: &PathBuf) -> io::Result<i32> {
    let addresses: Vec<_> = (0..3).map(address).collect();
    let control = lab::free_port(&addresses, &[])?;
    let internal = lab::free_port(&addresses, &[control])?;
    let deployment = lab::Deployment {
        folder: folder.clone(),
        binary: "target/release/nutmegdale".into(),
        ports: lab::Ports { control, internal },
        zones: ZONES.to_vec(),
    };
    let daemons = addresses.iter().map(|ip| deployment.control_address(*ip));
    let mut operator = lab::Operator::new(daemons.collect());
    let machines = Vec::new();
    let mut platform = Platform {
        deployment,
        machines,
    };
    let start = Instant::now();
    for n in 0..ZONES.len() {
        let machine = platform.start(n, true)?;
        platform.machines.push(machine);
        record.line(&format!(
            "started control-{} in {} at {}",
            n + 1,
            ZONES[n],
            address(n)
        ));
    }
    for version in 1..=CHANGES_COUNT {
        let document = lab::large_configuration(version, ROUTES_COUNT);
        if !operator.submit(record, &document, version - 1, FIRST_CONFIGURATION) {
            record.line("a configuration was not accepted in the calm");
            return Ok(lab::COULD_NOT_RUN);
        }
    }
    let acknowledged = lab::large_configuration(CHANGES_COUNT, ROUTES_COUNT);
    platform.wait(record, Duration::from_secs(3))?;

    let mut is_answered = true;
    let mut losses = (0..ZONES.len()).cycle();
    while is_answered && start.elapsed() < LOSSES_END {
        if lab::has_trouble() {
            let n = losses.next().unwrap_or_default();
            platform.machines[n].kill();
            fs::remove_dir_all(folder.join(format!("control-{}.data", n + 1)))?;
            record.line(&format!("control-{} loses power and its disk", n + 1));
            platform.wait(record, DOWN)?;
            platform.machines[n] = platform.start(n, false)?;
            record.line(&format!("started control-{} with an empty disk", n + 1));
        }
        platform.wait(record, BETWEEN_LOSSES)?;
        is_answered = operator.read(record, ACK).is_some();
    }
    record.line("no further losses");
    platform.wait(record, CALM)?;
    for machine in &mut platform.machines {
        let is_running = machine.is_running();
        record.line(&format!(
            "{} at {}: running {is_running}",
            machine.name, machine.ip
        ));
    }
    let document = operator.read(record, READ_BACK);
    if document.as_ref() == Some(&acknowledged) {
        record.line(&format!("held: version {CHANGES_COUNT} was read back"));
        return Ok(lab::HELD);
    }
    record.line(&format!(
        "broken (CONFIG): version {CHANGES_COUNT} was acknowledged and is not read back, {} s after \
         the last loss ended",
        CALM.as_secs()
    ));
    Ok(lab::BROKEN)
}
