//! Differences between two configurations, entry by entry.

use crate::config;
use crate::spec;
use serde::{Deserialize, Serialize};
use std::collections;
use std::fmt;

/// Kind of a catalogue entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Availability zone.
    Zone,
    /// Client account.
    Account,
    /// Route to a service.
    Route,
    /// Server that is out of service.
    ServerOut,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Zone => "zone",
            Kind::Account => "account",
            Kind::Route => "route",
            Kind::ServerOut => "server-out",
        })
    }
}

/// Content of a catalogue entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// Availability zone with its service state.
    Zone(config::ZoneState),
    /// Client account.
    Account(Box<spec::AccountSpec>),
    /// Route to a service.
    Route(Box<spec::RouteSpec>),
    /// Server that is out of service.
    ServerOut,
}

/// Difference of one entry between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: String,
    /// Content before; `None` if it did not exist.
    pub before: Option<Entry>,
    /// Content after; `None` if it no longer exists.
    pub after: Option<Entry>,
}

/// Returns the entries that differ from `old` to `new`, by kind and name.
pub fn between(old: &config::Config, new: &config::Config) -> Vec<Effect> {
    let mut effects = Vec::new();
    let zone = |zone: &config::ZoneState| Entry::Zone(zone.clone());
    compare(Kind::Zone, &old.zones, &new.zones, zone, &mut effects);
    let account = |account: &spec::AccountSpec| Entry::Account(Box::new(account.clone()));
    compare(
        Kind::Account,
        &old.accounts,
        &new.accounts,
        account,
        &mut effects,
    );
    let route = |route: &spec::RouteSpec| Entry::Route(Box::new(route.clone()));
    compare(Kind::Route, &old.routes, &new.routes, route, &mut effects);
    for name in old.servers_out.symmetric_difference(&new.servers_out) {
        let content = |is_out: bool| is_out.then_some(Entry::ServerOut);
        effects.push(Effect {
            kind: Kind::ServerOut,
            name: name.clone(),
            before: content(old.servers_out.contains(name)),
            after: content(new.servers_out.contains(name)),
        });
    }
    effects
}

fn compare<T: PartialEq>(
    kind: Kind,
    old: &collections::BTreeMap<String, T>,
    new: &collections::BTreeMap<String, T>,
    content: impl Fn(&T) -> Entry,
    effects: &mut Vec<Effect>,
) {
    let added = new.keys().filter(|name| !old.contains_key(*name));
    let mut names: Vec<&String> = old.keys().chain(added).collect();
    names.sort();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        if before != after {
            effects.push(Effect {
                kind,
                name: name.clone(),
                before: before.map(&content),
                after: after.map(&content),
            });
        }
    }
}

/// Merges effects, given in the order of their versions, into one per entry and omits those that
/// cancel out.
pub fn compose<'a>(effects: impl Iterator<Item = &'a Effect>) -> Vec<Effect> {
    let mut merged: collections::BTreeMap<(Kind, &str), Effect> = collections::BTreeMap::new();
    for effect in effects {
        merged
            .entry((effect.kind, &effect.name))
            .and_modify(|first| first.after.clone_from(&effect.after))
            .or_insert_with(|| effect.clone());
    }
    let merged = merged.into_values();
    merged
        .filter(|effect| effect.before != effect.after)
        .collect()
}

/// Returns the effects that undo `effects`.
pub fn inverse(effects: Vec<Effect>) -> Vec<Effect> {
    let swap = |effect: Effect| Effect {
        before: effect.after,
        after: effect.before,
        ..effect
    };
    effects.into_iter().map(swap).collect()
}

/// Applies an effect to a configuration.
pub fn apply(cfg: &mut config::Config, effect: &Effect) {
    let name = effect.name.clone();
    match &effect.after {
        Some(Entry::Zone(zone)) => drop(cfg.zones.insert(name, zone.clone())),
        Some(Entry::Account(account)) => {
            cfg.accounts.insert(name, account.as_ref().clone());
        }
        Some(Entry::Route(route)) => drop(cfg.routes.insert(name, route.as_ref().clone())),
        Some(Entry::ServerOut) => drop(cfg.servers_out.insert(name)),
        None => remove(cfg, effect.kind, &name),
    }
}

fn remove(cfg: &mut config::Config, kind: Kind, name: &str) {
    match kind {
        Kind::Zone => drop(cfg.zones.remove(name)),
        Kind::Account => drop(cfg.accounts.remove(name)),
        Kind::Route => drop(cfg.routes.remove(name)),
        Kind::ServerOut => {
            cfg.servers_out.remove(name);
        }
    }
}
