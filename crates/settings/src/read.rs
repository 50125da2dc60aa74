//! Parser and validator of settings files.

use crate::model;
use nutmegdale_base::clock;
use std::collections;
use std::fmt;
use std::net;
use std::path;
use std::str;

/// Error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Line of the key, starting at 1; 0 if the key is missing.
    pub line: usize,
    /// Section and key, such as `entry.listen`.
    pub key: String,
    /// What is wrong with the value or the key.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            write!(f, "{}: {}", self.key, self.message)
        } else {
            write!(f, "line {}: {}: {}", self.line, self.key, self.message)
        }
    }
}

/// Parses and validates the text of an INI file.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn parse(text: &str) -> Result<model::Settings, Vec<Error>> {
    let ini = ini::Ini::load_from_str(text).map_err(|err| {
        vec![Error {
            line: err.line,
            key: "file".to_owned(),
            message: err.msg.to_string(),
        }]
    })?;
    let mut reader = Reader {
        ini: &ini,
        text,
        errors: Vec::new(),
        used: collections::HashSet::new(),
    };
    let settings = reader.settings();
    reader.check_unused();
    reader.check_duplicates();
    if reader.errors.is_empty() {
        Ok(settings)
    } else {
        Err(reader.errors)
    }
}

struct Reader<'a> {
    ini: &'a ini::Ini,
    text: &'a str,
    errors: Vec<Error>,
    used: collections::HashSet<(&'static str, &'static str)>,
}

impl<'a> Reader<'a> {
    fn push_error(&mut self, section: &str, key: &str, message: impl Into<String>) {
        let line = self.line_of(section, key);
        self.errors.push(Error {
            line,
            key: format!("{section}.{key}"),
            message: message.into(),
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
                self.push_error(section, key, "is required");
                ""
            }
        }
    }

    fn name(&mut self, section: &'static str, key: &'static str) -> String {
        let value = self.required(section, key);
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if !value.bytes().all(is_allowed) || value.len() > 64 {
            let message = "must have 1 to 64 lower-case letters, digits and hyphens";
            self.push_error(section, key, message);
        }
        value.to_owned()
    }

    fn address(&mut self, section: &'static str, key: &'static str) -> net::SocketAddr {
        let value = self.required(section, key);
        match value.parse() {
            Ok(address) => address,
            Err(_) => {
                if !value.is_empty() {
                    let message = format!("{value:?} is not an IP address with a port");
                    self.push_error(section, key, message);
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
        max: clock::Millis,
    ) -> clock::Millis {
        let Some(value) = self.get(section, key) else {
            return default;
        };
        match parse_millis(value) {
            Some(value_ms) if value_ms > clock::Millis::ZERO && value_ms <= max => value_ms,
            Some(_) => {
                self.push_error(
                    section,
                    key,
                    format!("must be above zero and at most {max}"),
                );
                default
            }
            None => {
                let message = format!("{value:?} is not a duration such as 500ms, 4s or 2m");
                self.push_error(section, key, message);
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
                let (min, max) = (range.start(), range.end());
                self.push_error(
                    section,
                    key,
                    format!("must be a number from {min} to {max}"),
                );
                default
            }
        }
    }

    fn settings(&mut self) -> model::Settings {
        let roles = self.list("process", "roles");
        for role in &roles {
            if !["entry", "control"].contains(role) {
                let message = format!("{role:?} is not a role; roles are entry and control");
                self.push_error("process", "roles", message);
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
            self.push_error("process", "cluster_token", "must have at least 16 bytes");
        }
        let levels = ["critical", "error", "warning", "info", "debug", "trace"];
        if !levels.contains(&process.log_level.as_str()) {
            self.push_error(
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
                    let message = format!("{item:?} is not an IP address with a port");
                    self.push_error(section, key, message);
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
            .any(|m| *m == own_member(process, control.listen));
        if !control.members.is_empty() && !is_listed {
            let (name, region, listen) = (&process.name, &process.region, control.listen);
            let message = format!("must list this process as {name}@{region}={listen}");
            self.push_error("control", "members", message);
        }
        self.check_control(&control);
        control
    }

    fn check_control(&mut self, control: &model::Control) {
        for (index, member) in control.members.iter().enumerate() {
            let is_duplicate =
                |m: &model::Member| m.name == member.name || m.address == member.address;
            if control.members[..index].iter().any(is_duplicate) {
                let message = format!("lists {:?} or its address twice", member.name);
                self.push_error("control", "members", message);
            }
        }
        for (index, operator) in control.operators.iter().enumerate() {
            let is_duplicate =
                |o: &model::Operator| o.name == operator.name || o.token == operator.token;
            if control.operators[..index].iter().any(is_duplicate) {
                let message = format!("lists {:?} or its token twice", operator.name);
                self.push_error("control", "operators", message);
            }
        }
    }

    fn members(&mut self) -> Vec<model::Member> {
        let mut members = Vec::new();
        for item in self.list("control", "members") {
            match parse_member(item) {
                Some(member) => members.push(member),
                None => {
                    let message = format!("{item:?} is not NAME@REGION=IP:PORT");
                    self.push_error("control", "members", message);
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
                // The item contains a token, so the message must not repeat the item.
                _ => self.push_error(
                    "control",
                    "operators",
                    "each item must be NAME:TOKEN with a token of at least 16 bytes",
                ),
            }
        }
        operators
    }

    /// Reports keys that are set twice. The INI parser keeps only the last value, so a duplicate would
    /// hide the first value.
    fn check_duplicates(&mut self) {
        let mut section = "";
        let mut keys = collections::HashSet::new();
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                section = name;
            } else if let Some((key, _)) = line.split_once('=')
                && !line.starts_with([';', '#'])
                && !keys.insert((section, key.trim()))
            {
                self.errors.push(Error {
                    line: number + 1,
                    key: format!("{section}.{}", key.trim()),
                    message: "is set twice".to_owned(),
                });
            }
        }
    }

    fn check_unused(&mut self) {
        for (section, properties) in self.ini {
            let section = section.unwrap_or("");
            for (key, _) in properties {
                if !self.used.iter().any(|(s, k)| *s == section && *k == key) {
                    self.push_error(
                        section,
                        key,
                        "is not a key of this section or belongs to a role that is not enabled",
                    );
                }
            }
        }
    }
}

fn own_member(process: &model::Process, listen: net::SocketAddr) -> model::Member {
    model::Member {
        name: process.name.clone(),
        region: process.region.clone(),
        address: listen,
    }
}

fn parse_member(item: &str) -> Option<model::Member> {
    let (identity, address) = item.split_once('=')?;
    let (name, region) = identity.split_once('@')?;
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
