//! Faults of settings files: every fault in one go, with its line, key and rule.

use nutmegdale_settings::read;

const ENTRY: &str = "\
[process]
name = entry-1
roles = entry
zone = zone-a
region = north
cluster_token = 0123456789abcdef

[entry]
listen = 10.0.0.7:8080
observe = 10.0.0.7:8081
control = 10.0.0.2:8090
";

fn faults(text: &str) -> Vec<String> {
    match read::parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

/// Returns the faults after one line of valid settings was replaced.
fn faults_with(line: &str, replaced: &str) -> Vec<String> {
    assert!(ENTRY.contains(line), "{line}");
    faults(&ENTRY.replace(line, replaced))
}

/// Guards against settings that stop a process only after it has started.
#[test]
fn valid_settings_have_no_fault_and_defaults() {
    let settings = read::parse(ENTRY).expect("valid settings");
    let entry = settings.entry.expect("entry role");
    assert_eq!(entry.config_lease_ms.0, 4_000);
    assert_eq!(entry.drain_ms.0, 30_000);
    assert!(settings.control.is_none());
}

/// Guards against one restart for each fault: all of them are reported together.
#[test]
fn every_fault_is_reported_in_one_go() {
    let text = "\
[process]
name = Entry 1
roles = entry, proxy
zone = zone-a
cluster_token = short
threads = many
log_level = loud
colour = blue

[entry]
listen = localhost:8080
observe = 10.0.0.7
control = 10.0.0.2:8090, control.example:8090
config_lease = 5
drain = 30 seconds
deadline = 0s
measuring_bytes_per_second = 10

[extra]
key = value
";
    assert_eq!(
        faults(text),
        [
            "line 3: process.roles: \"proxy\" is not a role; roles are entry and control",
            "line 2: process.name: must have 1 to 64 lower-case letters, digits and hyphens",
            "process.region: is required",
            "line 6: process.threads: must be a number from 1 to 256",
            "line 5: process.cluster_token: must have at least 16 bytes",
            "line 7: process.log_level: must be one of critical, error, warning, info, debug, trace",
            "line 11: entry.listen: \"localhost:8080\" is not an IP number with a port",
            "line 12: entry.observe: \"10.0.0.7\" is not an IP number with a port",
            "line 13: entry.control: \"control.example:8090\" is not an IP number with a port",
            "line 14: entry.config_lease: \"5\" is not a time span; write 500ms, 4s or 2m",
            "line 15: entry.drain: \"30 seconds\" is not a time span; write 500ms, 4s or 2m",
            "line 16: entry.deadline: must be above zero and at most 3600000 ms",
            "line 17: entry.measuring_bytes_per_second: must be a number from 1000 to 1000000000",
            "line 8: process.colour: is not a key of this section or of a role in use",
            "line 20: extra.key: is not a key of this section or of a role in use",
        ]
    );
}

/// Guards the configuration lease: a longer one would let an entry process serve on an old
/// catalogue beyond the promised time.
#[test]
fn lease_cannot_be_longer_than_promised() {
    let line = "control = 10.0.0.2:8090\n";
    let longer = format!("{line}config_lease = 4001ms\n");
    let expected = "line 12: entry.config_lease: must be above zero and at most 4000 ms";
    assert_eq!(faults_with(line, &longer), [expected]);
    let shorter = format!("{line}config_lease = 3s\n");
    assert_eq!(faults_with(line, &shorter), Vec::<String>::new());
}

/// Guards against keys that are silently not used: a section of another role, a key twice, a
/// missing section.
#[test]
fn unused_repeated_and_missing_keys_are_faults() {
    let other = format!("{ENTRY}[control]\nlisten = 10.0.0.2:8090\n");
    let expected = "line 13: control.listen: is not a key of this section or of a role in use";
    assert_eq!(faults(&other), [expected]);
    let twice = format!("{ENTRY}listen = 10.0.0.8:8080\n");
    assert_eq!(faults(&twice), ["line 12: entry.listen: is set twice"]);
    let missing = faults_with("roles = entry", "roles = control");
    assert!(
        missing.contains(&"control.data: is required".to_owned()),
        "{missing:?}"
    );
    let empty = faults_with("zone = zone-a", "zone =");
    assert_eq!(empty, ["line 4: process.zone: is required"]);
}

/// Guards against a control process that cannot find itself, and against a token in the log.
#[test]
fn control_members_and_operators_are_checked_without_showing_tokens() {
    let text = "\
[process]
name = control-1
roles = control
zone = zone-a
region = north
cluster_token = 0123456789abcdef

[control]
listen = 10.0.0.2:8090
admin = 10.0.0.2:8091
data = data
members = control-2@north=10.0.0.3:8090, control-3=10.0.0.4:8090
operators = ann:secret
";
    let faults = faults(text);
    assert_eq!(
        faults,
        [
            "line 12: control.members: \"control-3=10.0.0.4:8090\" is not NAME@REGION=IP:PORT",
            "line 13: control.operators: each item must be NAME:TOKEN with a token of at least \
             16 bytes",
            "line 12: control.members: must list this process as \
             control-1@north=10.0.0.2:8090",
        ]
    );
    assert!(!faults.concat().contains("secret"));
}

/// Guards against members that two processes would understand differently.
#[test]
fn repeated_members_and_operators_are_faults() {
    let text = "\
[process]
name = control-1
roles = control
zone = zone-a
region = north
cluster_token = 0123456789abcdef

[control]
listen = 10.0.0.2:8090
admin = 10.0.0.2:8091
data = data
members = control-1@north=10.0.0.2:8090, control-1@north=10.0.0.2:8090
operators = ann:0123456789abcdef, ann:fedcba9876543210
";
    assert_eq!(
        faults(text),
        [
            "line 12: control.members: lists \"control-1\" or its address twice",
            "line 13: control.operators: lists \"ann\" or its token twice",
        ]
    );
}
