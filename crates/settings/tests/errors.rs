//! Errors in settings files: all errors are reported at once, with their lines and keys.

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

fn errors(text: &str) -> Vec<String> {
    match read::parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

/// Returns the errors after one line of valid settings was replaced.
fn errors_with(line: &str, replacement: &str) -> Vec<String> {
    assert!(ENTRY.contains(line), "{line}");
    errors(&ENTRY.replace(line, replacement))
}

/// Guards against valid settings that are rejected, and against wrong default values.
#[test]
fn valid_settings_are_accepted_with_defaults() {
    let settings = read::parse(ENTRY).expect("valid settings");
    let entry = settings.entry.expect("entry role");
    assert_eq!(entry.config_lease_ms.0, 4_000);
    assert_eq!(entry.drain_ms.0, 30_000);
    assert!(settings.control.is_none());
}

/// Guards against a parser that stops at the first error, which would cost operators one restart per
/// error.
#[test]
fn all_errors_are_reported_at_once() {
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
        errors(text),
        [
            "line 3: process.roles: \"proxy\" is not a role; roles are entry and control",
            "line 2: process.name: must have 1 to 64 lower-case letters, digits and hyphens",
            "process.region: is required",
            "line 6: process.threads: must be a number from 1 to 256",
            "line 5: process.cluster_token: must have at least 16 bytes",
            "line 7: process.log_level: must be one of critical, error, warning, info, debug, trace",
            "line 11: entry.listen: \"localhost:8080\" is not an IP address with a port",
            "line 12: entry.observe: \"10.0.0.7\" is not an IP address with a port",
            "line 13: entry.control: \"control.example:8090\" is not an IP address with a port",
            "line 14: entry.config_lease: \"5\" is not a duration such as 500ms, 4s or 2m",
            "line 15: entry.drain: \"30 seconds\" is not a duration such as 500ms, 4s or 2m",
            "line 16: entry.deadline: must be above zero and at most 3600000 ms",
            "line 17: entry.measuring_bytes_per_second: must be a number from 1000 to 1000000000",
            "line 8: process.colour: is not a key of this section or belongs to a role that is not enabled",
            "line 20: extra.key: is not a key of this section or belongs to a role that is not enabled",
        ]
    );
}

/// Guards against a configuration lease above its maximum, with which an entry process would use an
/// outdated catalogue for longer than the documented time.
#[test]
fn lease_above_the_maximum_is_an_error() {
    let line = "control = 10.0.0.2:8090\n";
    let longer = format!("{line}config_lease = 4001ms\n");
    let expected = "line 12: entry.config_lease: must be above zero and at most 4000 ms";
    assert_eq!(errors_with(line, &longer), [expected]);
    let shorter = format!("{line}config_lease = 3s\n");
    assert_eq!(errors_with(line, &shorter), Vec::<String>::new());
}

/// Guards against keys that are silently ignored: keys in the section of another role, duplicate keys
/// and missing sections.
#[test]
fn unused_duplicate_and_missing_keys_are_errors() {
    let other = format!("{ENTRY}[control]\nlisten = 10.0.0.2:8090\n");
    let expected = "line 13: control.listen: is not a key of this section or belongs to a role that is not enabled";
    assert_eq!(errors(&other), [expected]);
    let twice = format!("{ENTRY}listen = 10.0.0.8:8080\n");
    assert_eq!(errors(&twice), ["line 12: entry.listen: is set twice"]);
    let missing = errors_with("roles = entry", "roles = control");
    assert!(
        missing.contains(&"control.data: is required".to_owned()),
        "{missing:?}"
    );
    let empty = errors_with("zone = zone-a", "zone =");
    assert_eq!(empty, ["line 4: process.zone: is required"]);
}

/// Guards against a control process that is missing from its own member list, and against tokens in
/// error messages.
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
    let errors = errors(text);
    assert_eq!(
        errors,
        [
            "line 12: control.members: \"control-3=10.0.0.4:8090\" is not NAME@REGION=IP:PORT",
            "line 13: control.operators: each item must be NAME:TOKEN with a token of at least \
             16 bytes",
            "line 12: control.members: must list this process as \
             control-1@north=10.0.0.2:8090",
        ]
    );
    assert!(!errors.concat().contains("secret"));
}

/// Guards against ambiguous lists of members and operators.
#[test]
fn duplicate_members_and_operators_are_errors() {
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
        errors(text),
        [
            "line 12: control.members: lists \"control-1\" or its address twice",
            "line 13: control.operators: lists \"ann\" or its token twice",
        ]
    );
}
