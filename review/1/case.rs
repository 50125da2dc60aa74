//! Case 1: two control machines of a deployment with three are replaced one after the other, each
//! within the stated tolerance. The acknowledged configuration must still be readable.

#[path = "../tools/lab.rs"]
#[allow(dead_code)]
mod lab;

use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Time from the loss of a machine until its successor starts, as in `replace_core`.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time that the first successor runs before the next machine is lost: `catchUp` (4 s) and 2 s more.
const BETWEEN_LOSSES: Duration = Duration::from_secs(6);
/// Calm time after the last start before the operator reads back; `recovery` is 15 s.
const CALM: Duration = Duration::from_secs(40);
/// Time for which the operator reads back at the end; `contact` is 3 s.
const READ_BACK: Duration = Duration::from_secs(10);
/// Limit of the first configuration, which the operator sends until it is accepted.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(10);
/// Limit of an order (`ack`).
const ACK: Duration = Duration::from_secs(4);

fn main() {
    lab::run_case("review-1", case);
}

fn address(n: u8) -> Ipv4Addr {
    lab::address(1, n)
}

fn case(record: &mut lab::Record, folder: &PathBuf) -> io::Result<i32> {
    let addresses: Vec<_> = (1..=5).map(address).collect();
    let control = lab::free_port(&addresses, &[])?;
    let internal = lab::free_port(&addresses, &[control])?;
    let deployment = lab::Deployment {
        folder: folder.clone(),
        binary: "target/release/nutmegdale".into(),
        ports: lab::Ports { control, internal },
        zones: ZONES.to_vec(),
    };
    let public = |n: u8| deployment.control_address(address(n));
    let first_seeds = [address(1), address(2), address(3)];
    let mut machines = Vec::new();
    for (n, zone) in (1..).zip(ZONES) {
        let name = format!("control-{n}");
        machines.push(deployment.start_control(&name, address(n), zone, &first_seeds, true)?);
        record.line(&format!("started {name} in {zone} at {}", address(n)));
    }
    let mut operator = lab::Operator::new(vec![public(1), public(2), public(3)]);
    if !operator.configure(record, 1, 0, FIRST_CONFIGURATION) {
        record.line("the first configuration was not accepted");
        return Ok(lab::COULD_NOT_RUN);
    }
    sleep(Duration::from_secs(3));
    let mut acknowledged = 1;

    let losses = [(1, 4, [2, 3, 4]), (2, 5, [3, 4, 5])];
    for (lost, successor, seeds) in losses {
        if lab::has_trouble() {
            machines[lost - 1].kill();
            record.line(&format!(
                "control-{lost} is gone for good (SIGKILL, never started again)"
            ));
            sleep(SUCCESSOR_DELAY);
            let name = format!("control-{successor}");
            let ip = address(successor);
            let seeds = seeds.map(address);
            let zone = ZONES[lost - 1];
            let machine = deployment.start_control(&name, ip, zone, &seeds, false)?;
            machines.push(machine);
            record.line(&format!(
                "started {name} in {zone} at {ip}, with an empty disk"
            ));
            operator.daemons = seeds.map(|ip| deployment.control_address(ip)).to_vec();
        }
        sleep(BETWEEN_LOSSES);
        if lost == 1 {
            if !operator.configure(record, 2, 1, ACK) {
                record.line("no acknowledgement between the two replacements");
                return Ok(lab::COULD_NOT_RUN);
            }
            acknowledged = 2;
        }
    }

    sleep(CALM);
    for machine in &mut machines {
        let is_running = machine.is_running();
        record.line(&format!(
            "{} at {}: running {is_running}",
            machine.name, machine.ip
        ));
    }
    let document = operator.read(record, READ_BACK);
    let is_acked = operator.configure(record, 3, acknowledged, ACK);
    record.line(&format!("a further change was acknowledged: {is_acked}"));
    if document == Some(lab::configuration(acknowledged)) {
        record.line(&format!("held: version {acknowledged} was read back"));
        return Ok(lab::HELD);
    }
    record.line(&format!(
        "broken (CONFIG): version {acknowledged} was acknowledged and is not read back, {} s after \
         the last start",
        CALM.as_secs()
    ));
    Ok(lab::BROKEN)
}
