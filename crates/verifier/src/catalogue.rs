//! Checks invariants of the catalogue independently of the code that maintains them.
//!
//! [`check_answers`] reads a sequence of changes with the answers that operators received, and
//! [`check_history`] replays the history with its own interpreter of operations.

use nutmegdale_catalogue::{change, config, history};
use std::collections;

/// Description of a violated invariant.
pub type Violation = String;

/// Checks the answers to changes, given in the order in which the group applied the changes.
pub fn check_answers(answered: &[(change::Change, change::Answer)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut first = collections::HashMap::new();
    let mut accepted: Vec<&change::Change> = Vec::new();
    for (change, answer) in answered {
        if let Some((earlier, earlier_answer)) = first.get(change.id.as_str()) {
            if *earlier == change && *earlier_answer != answer {
                violations.push(format!("{}: a resend got a different answer", change.id));
            }
            if *earlier != change && matches!(answer, change::Answer::Accepted { .. }) {
                violations.push(format!(
                    "{}: accepted with different content under the same id",
                    change.id
                ));
            }
            continue;
        }
        first.insert(change.id.as_str(), (change, answer));
        match answer {
            change::Answer::Accepted { version } => {
                accepted.push(change);
                if version.0 != accepted.len() as u64 {
                    violations.push(format!(
                        "{}: version {version} is out of sequence",
                        change.id
                    ));
                }
                if change.base.is_some_and(|base| base.0 + 1 != version.0) {
                    violations.push(format!(
                        "{}: accepted although its base is not the previous version",
                        change.id
                    ));
                }
            }
            change::Answer::Conflict {
                winner, current, ..
            } => {
                let base = change.base.map_or(u64::MAX, |base| base.0);
                let at = usize::try_from(base).unwrap_or(usize::MAX);
                if accepted.get(at).is_none_or(|change| change.id != *winner) {
                    violations.push(format!(
                        "{}: {winner} is not the change that replaced the base",
                        change.id
                    ));
                }
                if current.0 != accepted.len() as u64 {
                    violations.push(format!(
                        "{}: {current} was not the current version",
                        change.id
                    ));
                }
            }
            change::Answer::Rejected { faults } => {
                if faults.is_empty() || faults.iter().any(|f| f.field.is_empty()) {
                    violations.push(format!("{}: rejected without naming a field", change.id));
                }
            }
        }
    }
    violations
}

/// Checks that replaying a history from the first version on produces `cfg`.
pub fn check_history(history: &history::History, cfg: &config::Config) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut replayed = config::Config::default();
    for record in history.iter() {
        if record.base != replayed.version || record.version.0 != record.base.0 + 1 {
            violations.push(format!(
                "version {} does not follow its predecessor",
                record.version
            ));
        }
        if record.change.base.is_some_and(|base| base != record.base) {
            violations.push(format!(
                "the change of version {} names a different base",
                record.version
            ));
        }
        for op in &record.change.ops {
            replay(&mut replayed, op);
        }
        replayed.version = record.version;
    }
    // Ledger regions outlive their routes, so the replay has none; `check_config` compares them with
    // the routes.
    let mut expected = cfg.clone();
    expected.ledger_regions.clear();
    if replayed != expected {
        violations.push("replaying the history does not produce the configuration".to_owned());
    }
    violations.extend(check_config(cfg));
    violations
}

fn replay(cfg: &mut config::Config, op: &change::Op) {
    match op {
        change::Op::PutRoute { route } => {
            cfg.routes.insert(route.name.clone(), route.clone());
        }
        change::Op::RemoveRoute { name } => drop(cfg.routes.remove(name)),
        change::Op::PutAccount { account } => {
            cfg.accounts.insert(account.name.clone(), account.clone());
        }
        change::Op::RemoveAccount { name } => drop(cfg.accounts.remove(name)),
        change::Op::PutZone { zone } => {
            let out = cfg.zones.get(&zone.name).is_some_and(|state| state.out);
            let region = zone.region.clone();
            let state = config::ZoneState { region, out };
            cfg.zones.insert(zone.name.clone(), state);
        }
        change::Op::RemoveZone { name } => drop(cfg.zones.remove(name)),
        change::Op::ZoneOut { name } => replay_zone(cfg, name, true),
        change::Op::ZoneIn { name } => replay_zone(cfg, name, false),
        change::Op::ServerOut { name } => drop(cfg.servers_out.insert(name.clone())),
        change::Op::ServerIn { name } => {
            cfg.servers_out.remove(name);
        }
    }
}

fn replay_zone(cfg: &mut config::Config, name: &str, out: bool) {
    if let Some(zone) = cfg.zones.get_mut(name) {
        zone.out = out;
    }
}

/// Checks that every name that a configuration refers to exists, that prefixes are unique and that
/// ledger regions fit the routes.
pub fn check_config(cfg: &config::Config) -> Vec<Violation> {
    let mut violations = Vec::new();
    let regions: collections::HashSet<&str> = cfg
        .zones
        .values()
        .map(|zone| zone.region.as_str())
        .collect();
    let mut prefixes = collections::HashSet::new();
    for (name, route) in &cfg.routes {
        let ledger = route.ledger_region.iter();
        for region in route.home_regions.iter().chain(ledger) {
            if !regions.contains(region.as_str()) {
                violations.push(format!("route {name}: region {region} has no zone"));
            }
        }
        for account in &route.accounts {
            if !cfg.accounts.contains_key(account) {
                violations.push(format!("route {name}: no account {account}"));
            }
        }
        if !prefixes.insert(&route.path_prefix) {
            violations.push(format!("route {name}: prefix is not unique"));
        }
        if route.ledger_region.is_some()
            && cfg.ledger_regions.get(name) != route.ledger_region.as_ref()
        {
            violations.push(format!(
                "route {name}: ledger region differs from the recorded one"
            ));
        }
        if route.ledger_region.is_some() == route.class.is_idempotent() {
            violations.push(format!(
                "route {name}: class and ledger region contradict each other"
            ));
        }
    }
    for (name, account) in &cfg.accounts {
        for region in &account.home_regions {
            if !regions.contains(region.as_str()) {
                violations.push(format!("account {name}: region {region} has no zone"));
            }
        }
    }
    violations
}
