//! Reading and checking of a settings file.

use crate::model;
use nutmegdale_base::clock;
use std::collections;
use std::fmt;
use std::net;
use std::path;
use std::str;

/// Fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line of the key or section, from 1; 0 if the fault is something missing.
    pub line: usize,
    /// Section and key, as in `entry.listen`.
    pub key: String,
    /// Rule that is broken.
    pub rule: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            write!(f, "{}: {}", self.key, self.rule)
        } else {
            write!(f, "line {}: {}: {}", self.line, self.key, self.rule)
        }
    }
}

/// Reads settings from the text of an INI file.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn parse(text: &str) -> Result<model::Settings, Vec<Fault>> {
    let ini = ini::Ini::load_from_str(text).map_err(|err| {
        vec![Fault {
            line: err.line,
            key: "file".to_owned(),
            rule: err.msg.to_string(),
        }]
    })?;
    let mut cx = Reader {
        ini: &ini,
        text,
        faults: Vec::new(),
        used: collections::HashSet::new(),
    };
    let settings = cx.settings();
    cx.check_unused();
    cx.check_repeated();
    if cx.faults.is_empty() {
        Ok(settings)
    } else {
        Err(cx.faults)
    }
}

struct Reader<'a> {
    ini: &'a ini::Ini,
    text: &'a str,
    faults: Vec<Fault>,
    used: collections::HashSet<(&'static str, &'static str)>,
}

impl<'a> Reader<'a> {
    fn fault(&mut self, section: &str, key: &str, rule: impl Into<String>) {
        let line = self.line_of(section, key);
        self.faults.push(Fault {
            line,
            key: format!("{section}.{key}"),
            rule: rule.into(),
        });
    }

    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut is_inside = false;
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                is_inside = name == section;
            } else if is_inside && line.split('=').next().is_some_and(|k| k.trim() == key) {
                return number + 1;
            }
        }
        0
    }

    fn get(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        self.used.insert((section, key));
        self.ini.get_from(Some(section), key)
    }

    fn required(&mut self, section: &'static str, key: &'static str) -> &'a str {
        match self.get(section, key) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.fault(section, key, "is required");
                ""
            }
        }
    }

    fn name(&mut self, section: &'static str, key: &'static str) -> String {
        let value = self.required(section, key);
        let is_ok = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if !value.bytes().all(is_ok) || value.len() > 64 {
            let rule = "must have 1 to 64 lower-case letters, digits and hyphens";
            self.fault(section, key, rule);
        }
        value.to_owned()
    }

    fn address(&mut self, section: &'static str, key: &'static str) -> net::SocketAddr {
        let value = self.required(section, key);
        match value.parse() {
            Ok(address) => address,
            Err(_) => {
                if !value.is_empty() {
                    let rule = format!("{value:?} is not an IP number with a port");
                    self.fault(section, key, rule);
                }
                net::SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    fn list(&mut self, section: &'static str, key: &'static str) -> Vec<&'a str> {
        let items = self.required(section, key).split(',').map(str::trim);
        items.filter(|item| !item.is_empty()).collect()
    }

    fn millis(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: clock::Millis,
        most: clock::Millis,
    ) -> clock::Millis {
        let Some(value) = self.get(section, key) else {
            return default;
        };
        match parse_millis(value) {
            Some(span) if span > clock::Millis::ZERO && span <= most => span,
            Some(_) => {
                self.fault(
                    section,
                    key,
                    format!("must be above zero and at most {most}"),
                );
                default
            }
            None => {
                let rule = format!("{value:?} is not a time span; write 500ms, 4s or 2m");
                self.fault(section, key, rule);
                default
            }
        }
    }

    fn number<N: str::FromStr + PartialOrd + fmt::Display + Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: N,
        range: std::ops::RangeInclusive<N>,
    ) -> N {
        let Some(value) = self.get(section, key) else {
            return default;
        };
        match value.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (least, most) = (range.start(), range.end());
                self.fault(
                    section,
                    key,
                    format!("must be a number from {least} to {most}"),
                );
                default
            }
        }
    }

    fn settings(&mut self) -> model::Settings {
        let roles = self.list("process", "roles");
        for role in &roles {
            if !["entry", "control"].contains(role) {
                let rule = format!("{role:?} is not a role; roles are entry and control");
                self.fault("process", "roles", rule);
            }
        }
        let process = self.process();
        let entry = roles.contains(&"entry").then(|| self.entry());
        let control = roles.contains(&"control").then(|| self.control(&process));
        model::Settings {
            process,
            entry,
            control,
        }
    }

    fn process(&mut self) -> model::Process {
        let process = model::Process {
            name: self.name("process", "name"),
            zone: self.name("process", "zone"),
            region: self.name("process", "region"),
            cluster_token: self.required("process", "cluster_token").to_owned(),
            threads: self.number("process", "threads", 2, 1..=256),
            log_level: self
                .get("process", "log_level")
                .unwrap_or("info")
                .to_owned(),
        };
        if !process.cluster_token.is_empty() && process.cluster_token.len() < 16 {
            self.fault("process", "cluster_token", "must have at least 16 bytes");
        }
        let levels = ["critical", "error", "warning", "info", "debug", "trace"];
        if !levels.contains(&process.log_level.as_str()) {
            self.fault(
                "process",
                "log_level",
                format!("must be one of {}", levels.join(", ")),
            );
        }
        process
    }

    fn entry(&mut self) -> model::Entry {
        let minutes = |count: u64| clock::Millis::from_secs(60 * count);
        model::Entry {
            listen: self.address("entry", "listen"),
            observe: self.address("entry", "observe"),
            control: self.addresses("entry", "control"),
            config_lease_ms: self.millis(
                "entry",
                "config_lease",
                clock::Millis(4_000),
                clock::Millis(4_000),
            ),
            addresses_ttl_ms: self.millis(
                "entry",
                "addresses_ttl",
                clock::Millis(5_000),
                minutes(10),
            ),
            drain_ms: self.millis("entry", "drain", clock::Millis(30_000), minutes(60)),
            deadline_ms: self.millis("entry", "deadline", clock::Millis(30_000), minutes(60)),
            measuring_bytes_per_second: self.number(
                "entry",
                "measuring_bytes_per_second",
                19_000,
                1_000..=1_000_000_000,
            ),
        }
    }

    fn addresses(&mut self, section: &'static str, key: &'static str) -> Vec<net::SocketAddr> {
        let mut addresses = Vec::new();
        for item in self.list(section, key) {
            match item.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let rule = format!("{item:?} is not an IP number with a port");
                    self.fault(section, key, rule);
                }
            }
        }
        addresses
    }

    fn control(&mut self, process: &model::Process) -> model::Control {
        let control = model::Control {
            listen: self.address("control", "listen"),
            admin: self.address("control", "admin"),
            data: path::PathBuf::from(self.required("control", "data")),
            members: self.members(),
            operators: self.operators(),
        };
        let is_listed = control
            .members
            .iter()
            .any(|m| *m == own(process, control.listen));
        if !control.members.is_empty() && !is_listed {
            let (name, region, listen) = (&process.name, &process.region, control.listen);
            let rule = format!("must list this process as {name}@{region}={listen}");
            self.fault("control", "members", rule);
        }
        self.check_control(&control);
        control
    }

    fn check_control(&mut self, control: &model::Control) {
        for (at, member) in control.members.iter().enumerate() {
            let same = |m: &model::Member| m.name == member.name || m.address == member.address;
            if control.members[..at].iter().any(same) {
                let rule = format!("lists {:?} or its address twice", member.name);
                self.fault("control", "members", rule);
            }
        }
        for (at, operator) in control.operators.iter().enumerate() {
            let same = |o: &model::Operator| o.name == operator.name || o.token == operator.token;
            if control.operators[..at].iter().any(same) {
                let rule = format!("lists {:?} or its token twice", operator.name);
                self.fault("control", "operators", rule);
            }
        }
    }

    fn members(&mut self) -> Vec<model::Member> {
        let mut members = Vec::new();
        for item in self.list("control", "members") {
            match parse_member(item) {
                Some(member) => members.push(member),
                None => {
                    let rule = format!("{item:?} is not NAME@REGION=IP:PORT");
                    self.fault("control", "members", rule);
                }
            }
        }
        members
    }

    fn operators(&mut self) -> Vec<model::Operator> {
        let mut operators = Vec::new();
        for item in self.list("control", "operators") {
            match item.split_once(':') {
                Some((name, token)) if !name.is_empty() && token.len() >= 16 => {
                    let (name, token) = (name.to_owned(), token.to_owned());
                    operators.push(model::Operator { name, token });
                }
                // The item holds a token, so the message must not repeat it.
                _ => self.fault(
                    "control",
                    "operators",
                    "each item must be NAME:TOKEN with a token of at least 16 bytes",
                ),
            }
        }
        operators
    }

    /// The INI reader keeps the last value of a key that is set twice, which hides the first one.
    fn check_repeated(&mut self) {
        let mut section = "";
        let mut seen = collections::HashSet::new();
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                section = name;
            } else if let Some((key, _)) = line.split_once('=')
                && !line.starts_with([';', '#'])
                && !seen.insert((section, key.trim()))
            {
                self.faults.push(Fault {
                    line: number + 1,
                    key: format!("{section}.{}", key.trim()),
                    rule: "is set twice".to_owned(),
                });
            }
        }
    }

    fn check_unused(&mut self) {
        for (section, properties) in self.ini {
            let section = section.unwrap_or("");
            for (key, _) in properties {
                if !self.used.iter().any(|(s, k)| *s == section && *k == key) {
                    self.fault(
                        section,
                        key,
                        "is not a key of this section or of a role in use",
                    );
                }
            }
        }
    }
}

fn own(process: &model::Process, listen: net::SocketAddr) -> model::Member {
    model::Member {
        name: process.name.clone(),
        region: process.region.clone(),
        address: listen,
    }
}

fn parse_member(item: &str) -> Option<model::Member> {
    let (place, address) = item.split_once('=')?;
    let (name, region) = place.split_once('@')?;
    let address = address.parse().ok()?;
    Some(model::Member {
        name: name.to_owned(),
        region: region.to_owned(),
        address,
    })
}

fn parse_millis(text: &str) -> Option<clock::Millis> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(unit_at);
    let count: u64 = digits.parse().ok()?;
    let factor = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    count.checked_mul(factor).map(clock::Millis)
}
