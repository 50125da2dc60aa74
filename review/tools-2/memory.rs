//! Case: a large configuration changes hundreds of times, on machines with the memory of the site.

use crate::cluster;
use crate::config;
use crate::record;
use crate::Verdict;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// Memory of a process (`memoryMb`), beyond which the platform kills it.
const MEMORY_MAX_BYTES: usize = 160 * 1024 * 1024;
/// Time after which the platform starts a process again.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(500);
/// Routes of the configuration: `big_config` adds 1,532 at a time, eight times.
const ROUTES_COUNT: usize = 8 * 1_532;
/// Routes without the disruption.
const FEW_ROUTES_COUNT: usize = 10;
/// Changes of the configuration: "hundreds".
const CHANGES_COUNT: u32 = 990;
/// Least time from one change to the next; a `config_storm` has one each 0.06 s at the most.
const INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after which no further change is sent.
const CHANGES_END: time::Duration = time::Duration::from_secs(105);
/// Ends of a machine's processes that count as a fault.
const ENDS_COUNT: usize = 3;
const MACHINES_COUNT: usize = 3;

/// Runs the case.
pub fn run(record: &record::Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut cluster = cluster::Cluster::new(MACHINES_COUNT)?;
    for n in 0..MACHINES_COUNT {
        cluster.start(n, true)?;
    }
    let control = cluster.control_addresses();
    let cluster = sync::Mutex::new(cluster);
    let is_over = atomic::AtomicBool::new(false);
    let routes_count = if has_trouble {
        ROUTES_COUNT
    } else {
        FEW_ROUTES_COUNT
    };
    let mut routes = Routes::new(routes_count);
    let (accepted, ends) = thread::scope(|scope| {
        let platform = scope.spawn(|| watch_memory(record, &cluster, &is_over));
        let accepted = change(record, &control, &mut routes, &cluster);
        is_over.store(true, atomic::Ordering::Relaxed);
        (accepted, platform.join())
    });
    let ends = ends.map_err(|_| "the platform failed".to_owned())??;
    record.line(&format!(
        "{accepted} configurations of {routes_count} routes accepted; ends by memory: {ends:?}"
    ));
    let faulty_count = ends.iter().filter(|count| **count >= ENDS_COUNT).count();
    Ok(match faulty_count * 2 >= MACHINES_COUNT {
        true => Verdict::Broken,
        false if accepted == 0 => return Err("no configuration was accepted".to_owned()),
        false => Verdict::Held,
    })
}

/// Sends one configuration after the other; returns how many were accepted.
fn change(
    record: &record::Record,
    control: &[std::net::SocketAddr],
    routes: &mut Routes,
    cluster: &sync::Mutex<cluster::Cluster>,
) -> u32 {
    let mut version = 0;
    while version < CHANGES_COUNT && record.elapsed() < CHANGES_END {
        let started = time::Instant::now();
        let document = routes.document(version + 1);
        let mut statuses = control
            .iter()
            .map(|address| config::put(*address, version, &document));
        match statuses.find(|status| *status == Some(200)) {
            Some(_) => version += 1,
            // No clear answer: the same is sent again.
            None => thread::sleep(time::Duration::from_millis(200)),
        }
        if version % 50 == 0 {
            let cluster = cluster.lock().expect("no panic while it is locked");
            let used: Vec<_> = (0..MACHINES_COUNT)
                .map(|n| cluster.control_memory(n))
                .collect();
            let used: Vec<_> = used.iter().map(|bytes| bytes / 1024 / 1024).collect();
            record.line(&format!(
                "operator: version {version} accepted; MB of control: {used:?}"
            ));
        }
        thread::sleep(INTERVAL.saturating_sub(started.elapsed()));
    }
    version
}

/// The platform: kills a control process whose memory is over the limit, and starts it again. Returns
/// how often it did for each machine.
fn watch_memory(
    record: &record::Record,
    cluster: &sync::Mutex<cluster::Cluster>,
    is_over: &atomic::AtomicBool,
) -> Result<[usize; MACHINES_COUNT], String> {
    let mut ends = [0; MACHINES_COUNT];
    let mut restarts: [Option<time::Instant>; MACHINES_COUNT] = [None; MACHINES_COUNT];
    while !is_over.load(atomic::Ordering::Relaxed) {
        for n in 0..MACHINES_COUNT {
            let mut cluster = cluster.lock().expect("no panic while it is locked");
            if let Some(at) = restarts[n] {
                if time::Instant::now() >= at {
                    cluster.start_control(n, false)?;
                    restarts[n] = None;
                }
                continue;
            }
            let used = cluster.control_memory(n);
            if used > MEMORY_MAX_BYTES {
                cluster.kill_control(n);
                ends[n] += 1;
                restarts[n] = Some(time::Instant::now() + RESTART_DELAY);
                record.line(&format!(
                    "platform: control of machine {n} uses {} MB and is killed, {} so far",
                    used / 1024 / 1024,
                    ends[n]
                ));
            }
        }
        thread::sleep(time::Duration::from_millis(20));
    }
    Ok(ends)
}

/// Rows of the routes, one of which changes with each version.
struct Routes {
    rows: Vec<String>,
}

impl Routes {
    fn new(count: usize) -> Routes {
        let mut names = Names(1);
        let rows = (0..count).map(|_| names.row(1_000)).collect();
        Routes { rows }
    }

    /// Returns the configuration of a version, in which the timeout of one route is another.
    fn document(&mut self, version: u32) -> String {
        let n = version as usize % self.rows.len();
        let timeout = format!("\"{}ms\"", 1_000 + version);
        let mut fields: Vec<_> = self.rows[n].split(',').map(str::to_owned).collect();
        fields[4] = timeout;
        self.rows[n] = fields.join(",");
        let rows: Vec<_> = self.rows.iter().map(String::as_str).collect();
        config::document(version, &rows, "register")
    }
}

/// Random names, like those of the platform.
struct Names(u64);

impl Names {
    fn name(&mut self, length: usize) -> String {
        let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
        let letter = |_| {
            self.0 = self
                .0
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            char::from(letters[(self.0 >> 33) as usize % letters.len()])
        };
        (0..length).map(letter).collect()
    }

    fn row(&mut self, timeout_ms: u32) -> String {
        let (name, host) = (self.name(7), self.name(6));
        let (first, second) = (self.name(7), self.name(4));
        format!(
            r#"["r-{name}","{host}.example","/{first}/{second}/","safe","{timeout_ms}ms","250ms",2,null,2,[],"register"]"#
        )
    }
}
