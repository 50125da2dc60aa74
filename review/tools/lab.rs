//! What the scripted cases share: processes of the system under test, an operator's HTTP client, and
//! the record. It uses the standard library only, so that `rustc` alone builds it without a network.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;
/// Metrics port of a control process in `deploy/system.toml`.
const CONTROL_METRICS_PORT: &str = "9465";
/// Attempts to find a port that is free at all addresses of the case.
const PORT_ATTEMPTS_COUNT: usize = 50;

/// Record of what was sent, answered and run, with the seconds since the start of the case.
pub struct Record {
    file: fs::File,
    start: Instant,
}

impl Record {
    /// Creates the record in the folder of the case.
    pub fn create(path: &str) -> io::Result<Record> {
        let file = fs::File::create(path)?;
        let start = Instant::now();
        Ok(Record { file, start })
    }

    /// Writes one line to the record and to standard output.
    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        // The verdict is printed too, so a full disk loses no result.
        let _ = writeln!(self.file, "{line}");
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a loopback address of this run, so that runs at the same time do not meet: the metrics port
/// of the deploy file is the same in all of them.
pub fn address(case: u8, n: u8) -> Ipv4Addr {
    let run = std::process::id() % 250 + 1;
    Ipv4Addr::new(127, 80 + case, run as u8, n)
}

/// Ports of the control processes, the same at every address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub internal: u16,
}

/// Returns a port that is free at all of `addresses` and is none of `taken`.
pub fn free_port(addresses: &[Ipv4Addr], taken: &[u16]) -> io::Result<u16> {
    for _ in 0..PORT_ATTEMPTS_COUNT {
        let port = TcpListener::bind((addresses[0], 0))?.local_addr()?.port();
        let is_free = |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok();
        if !taken.contains(&port) && addresses.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no port is free at all addresses"))
}

/// Deployment: where its processes keep their files, their zones and their ports.
pub struct Deployment {
    pub folder: PathBuf,
    pub binary: PathBuf,
    pub ports: Ports,
    pub zones: Vec<&'static str>,
}

/// Control process that a case started. It is killed when dropped.
pub struct Control {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
}

impl Deployment {
    /// Starts a control process, as the platform starts it on a machine with a disk.
    pub fn start_control(
        &self,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        seeds: &[Ipv4Addr],
        is_first_start: bool,
    ) -> io::Result<Control> {
        let data = self.folder.join(format!("{name}.data"));
        fs::create_dir_all(&data)?;
        let listen = format!("control = \"{ip}:{}\"\n", self.ports.control);
        let serves = "[\"control\"]";
        let settings = self.settings(name, serves, ip, zone, seeds, is_first_start, &listen);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(&self.binary)
            .args(["--platform", "--metrics-port", CONTROL_METRICS_PORT])
            .env("NUTMEGDALE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let (name, child) = (name.to_owned(), Some(child));
        Ok(Control { name, ip, child })
    }

    /// Returns the settings file of a process.
    #[allow(clippy::too_many_arguments)]
    pub fn settings(
        &self,
        name: &str,
        serves: &str,
        ip: Ipv4Addr,
        zone: &str,
        seeds: &[Ipv4Addr],
        is_first_start: bool,
        listen: &str,
    ) -> String {
        let seeds = seeds
            .iter()
            .map(|ip| format!("\"{ip}:{}\"", self.ports.control));
        let seeds: Vec<_> = seeds.collect();
        let zones = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"region-{zone}\"\n"));
        let zones: String = zones.collect();
        format!(
            "nodeName = \"{name}\"\nrole = \"{name}\"\nmachineClass = \"edge\"\n\
             serves = {serves}\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region-{zone}\"\n\
             internalPorts = [{internal}, {internal}]\nseeds = [{seeds}]\n\
             bootstrap = {is_first_start}\nlossCounts = true\ndataDir = \"{data}\"\n\
             discovery = \"registration\"\nentry = \"directory\"\nheartbeat = \"1500ms\"\n\
             [zones]\n{zones}[listen]\n{listen}\
             [limits]\ncpuShare = 0.35\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 64\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n\
             [bounds]\nseedLag = \"3s\"\nreuseAfter = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\n\
             catchUp = \"4s\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nlossSlack = \"200ms\"\n\
             configApply = \"2000ms\"\nrevertSlack = \"250ms\"\nskewMax = \"5000ms\"\n\
             retryBudgetRatio = 0.2\nbudgetWindow = \"10s\"\nbudgetSlack = 64\n\
             warmupOvershoot = 1.5\nwarmupSlack = 5\nevacuate = \"5000ms\"\nrecovery = \"15s\"\n\
             ttl_max = \"5s\"\nprobesPerS = 60\n",
            internal = self.ports.internal,
            data = self.folder.join(format!("{name}.data")).display(),
            seeds = seeds.join(", "),
        )
    }

    /// Returns the address at which a control process serves the operator.
    pub fn control_address(&self, ip: Ipv4Addr) -> SocketAddr {
        (ip, self.ports.control).into()
    }
}

impl Control {
    /// Returns the id of the process while it has not been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns how the process ended by itself, if it did.
    pub fn own_end(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let is_running = |child: &mut Child| matches!(child.try_wait(), Ok(None));
        self.child.as_mut().is_some_and(is_running)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.kill();
    }
}

/// HTTP message that the operator sends.
pub struct Message<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub base_version: Option<u64>,
    pub body: &'a str,
}

/// Answer to a message.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends a message over a connection of its own and waits up to `limit` for the answer.
pub fn send(to: SocketAddr, message: &Message<'_>, limit: Duration) -> io::Result<Answer> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    let base = message.base_version;
    let base = base.map_or(String::new(), |base| {
        format!("X-Base-Version: {base:08x}\r\n")
    });
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n{base}\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        message.method,
        message.path,
        message.body.len()
    );
    stream.write_all(format!("{head}{}", message.body).as_bytes())?;
    let mut received = Vec::new();
    let mut buf = [0; 16 * 1024];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer in time"));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buf)? {
            0 => break,
            n => received.extend_from_slice(&buf[..n]),
        }
    }
    parse_answer(&String::from_utf8_lossy(&received))
}

/// Parses an answer that ends with its connection.
fn parse_answer(text: &str) -> io::Result<Answer> {
    let broken = || io::Error::other("not an HTTP answer");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(broken)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(broken)?;
    let body = body.to_owned();
    Ok(Answer { status, body })
}

/// Returns a small valid configuration.
pub fn configuration(version: u64) -> String {
    configuration_of(
        "[\"r-1\",\"review.example\",\"/reads/\",\"safe\",\"800ms\",\"250ms\",2,null,2,[],\"reads\"]",
        version,
    )
}

/// Returns a valid configuration with `count` routes, which are the same in each version.
pub fn large_configuration(version: u64, count: usize) -> String {
    let mut state = 0;
    let mut name = || {
        // SplitMix64.
        state = u64::wrapping_add(state, 0x9e37_79b9_7f4a_7c15);
        let mut z = state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:010x}", (z ^ (z >> 31)) >> 24)
    };
    let mut row = |n: usize| {
        let (route, host, prefix, rest) = (name(), name(), name(), name());
        let weight = 1 + n * 7 % 98;
        let split = format!(
            "[{{\"service\":\"reads\",\"weight\":{weight}}},\
             {{\"service\":\"copies\",\"weight\":{}}}]",
            100 - weight
        );
        let (split, service) = match n % 2 {
            0 => (split.as_str(), "null"),
            _ => ("null", "\"reads\""),
        };
        format!(
            "[\"r-{route}\",\"{host}.example\",\"/{prefix}/{rest}/\",\"safe\",\"800ms\",\"250ms\",2,\
             {split},2,[],{service}]"
        )
    };
    let rows: Vec<_> = (0..count).map(|n| row(n)).collect();
    configuration_of(&rows.join(","), version)
}

/// Returns a valid configuration with the services `reads` and `copies` and the given rows of routes.
pub fn configuration_of(rows: &str, version: u64) -> String {
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\
         \"type\",\"timeout\",\"targetLatency\",\"priority\",\"trafficSplit\",\"maxAttempts\",\
         \"allowedRegions\",\"service\"],\"rows\":[{rows}]}},\"services\":{{\"columns\":[\"name\",\
         \"healthPath\",\"maxConns\",\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\
         \"rows\":[[\"reads\",\"/health\",260,\"h1\",false,\"3s\",9.5],\
         [\"copies\",\"/health\",260,\"h1\",false,\"3s\",9.5]]}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}"
    )
}

/// Operator, who sends an order to one daemon after the other until it is answered.
pub struct Operator {
    pub daemons: Vec<SocketAddr>,
    next: usize,
}

/// Time after which the operator moves on to another daemon.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// First pause between two calls; it grows with each call.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest pause between two calls.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

impl Operator {
    /// Creates an operator who knows `daemons`.
    pub fn new(daemons: Vec<SocketAddr>) -> Operator {
        Operator { daemons, next: 0 }
    }

    /// Sends an order until a daemon answers it with other than a 5xx, for at most `limit`; returns
    /// that answer.
    pub fn order(
        &mut self,
        record: &mut Record,
        message: &Message<'_>,
        limit: Duration,
    ) -> Option<Answer> {
        let start = Instant::now();
        let mut backoff = BACKOFF_MIN;
        let name = format!("{} {}", message.method, message.path);
        while start.elapsed() < limit {
            let to = self.daemons[self.next % self.daemons.len()];
            self.next += 1;
            match send(to, message, ANSWER_LIMIT) {
                Ok(answer) if answer.status < 500 => {
                    record.line(&format!("{name} to {to}: {}", answer.status));
                    return Some(answer);
                }
                Ok(answer) => {
                    let text = answer.body.trim();
                    record.line(&format!("{name} to {to}: {} {text}", answer.status));
                }
                Err(err) => record.line(&format!("{name} to {to}: no answer ({err})")),
            }
            std::thread::sleep(backoff);
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        None
    }

    /// Submits the configuration `version` on top of `base`; returns whether it was acknowledged.
    pub fn configure(
        &mut self,
        record: &mut Record,
        version: u64,
        base: u64,
        limit: Duration,
    ) -> bool {
        self.submit(record, &configuration(version), base, limit)
    }

    /// Submits a configuration document on top of `base`; returns whether it was acknowledged.
    pub fn submit(&mut self, record: &mut Record, body: &str, base: u64, limit: Duration) -> bool {
        let message = Message {
            method: "POST",
            path: "/Config.Put",
            base_version: Some(base),
            body,
        };
        let answer = self.order(record, &message, limit);
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Reads the configuration; returns its document.
    pub fn read(&mut self, record: &mut Record, limit: Duration) -> Option<String> {
        let message = Message {
            method: "GET",
            path: "/Config.Get",
            base_version: None,
            body: "",
        };
        let answer = self.order(record, &message, limit)?;
        (answer.status == 200).then_some(answer.body)
    }
}

/// Returns a new folder for the files of a case, below the folder for temporary files.
pub fn temporary_folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Runs a case and exits with its verdict.
pub fn run_case(name: &str, case: impl FnOnce(&mut Record, &PathBuf) -> io::Result<i32>) -> ! {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let prepared = Record::create(&path).and_then(|record| Ok((record, temporary_folder(name)?)));
    let Ok((mut record, folder)) = prepared else {
        std::process::exit(COULD_NOT_RUN);
    };
    let code = case(&mut record, &folder).unwrap_or_else(|err| {
        record.line(&format!("the case could not run: {err}"));
        COULD_NOT_RUN
    });
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    std::process::exit(code);
}
