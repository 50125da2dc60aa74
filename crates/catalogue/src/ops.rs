//! Application of the steps of a change to a configuration.

use crate::change;
use crate::config;

/// Binds the name of each one-time route to its ledger region.
pub(crate) fn bind_ledger_regions(cfg: &mut config::Config) {
    for (name, route) in &cfg.routes {
        if let Some(region) = &route.ledger_region {
            cfg.ledger_regions
                .entry(name.clone())
                .or_insert_with(|| region.clone());
        }
    }
}

/// Applies one step; a step that cannot be applied adds a fault.
pub(crate) fn apply(cfg: &mut config::Config, op: &change::Op, faults: &mut Vec<change::Fault>) {
    let result = match op {
        change::Op::PutRoute { route } => {
            cfg.routes.insert(route.name.clone(), route.clone());
            Ok(())
        }
        change::Op::RemoveRoute { name } => {
            require_removed("routes", name, cfg.routes.remove(name).as_ref())
        }
        change::Op::PutAccount { account } => {
            cfg.accounts.insert(account.name.clone(), account.clone());
            Ok(())
        }
        change::Op::RemoveAccount { name } => {
            require_removed("accounts", name, cfg.accounts.remove(name).as_ref())
        }
        change::Op::PutZone { zone } => put_zone(cfg, &zone.name, &zone.region),
        change::Op::RemoveZone { name } => remove_zone(cfg, name),
        change::Op::ZoneOut { name } => set_zone_out(cfg, name, true),
        change::Op::ZoneIn { name } => set_zone_out(cfg, name, false),
        // The server may be down, so it need not be announced.
        change::Op::ServerOut { name } => {
            cfg.servers_out.insert(name.clone());
            Ok(())
        }
        change::Op::ServerIn { name } => match cfg.servers_out.remove(name) {
            true => Ok(()),
            false => Err(fault("servers_out", name, "is not out of service")),
        },
    };
    faults.extend(result.err());
}

fn fault(map: &str, name: &str, rule: &str) -> change::Fault {
    change::Fault {
        field: format!("{map}.{name}"),
        rule: rule.to_owned(),
    }
}

fn require_removed<T>(map: &str, name: &str, removed: Option<&T>) -> Result<(), change::Fault> {
    match removed {
        Some(_) => Ok(()),
        None => Err(fault(map, name, "does not exist")),
    }
}

fn put_zone(cfg: &mut config::Config, name: &str, region: &str) -> Result<(), change::Fault> {
    // Another region would silently change which home regions the zone's servers satisfy.
    if let Some(existing) = cfg.zones.get(name)
        && existing.region != region
    {
        let rule = format!(
            "lies in region {:?}; remove the zone first",
            existing.region
        );
        return Err(fault("zones", &format!("{name}.region"), &rule));
    }
    let state = config::ZoneState {
        region: region.to_owned(),
        out: false,
    };
    cfg.zones.entry(name.to_owned()).or_insert(state);
    Ok(())
}

fn remove_zone(cfg: &mut config::Config, name: &str) -> Result<(), change::Fault> {
    // Removing a zone in service would cut off its requests without draining it first.
    match cfg.zones.get(name) {
        None => Err(fault("zones", name, "does not exist")),
        Some(zone) if !zone.out => {
            let rule = "must be out of service before it is removed";
            Err(fault("zones", name, rule))
        }
        Some(_) => {
            cfg.zones.remove(name);
            Ok(())
        }
    }
}

fn set_zone_out(cfg: &mut config::Config, name: &str, out: bool) -> Result<(), change::Fault> {
    match cfg.zones.get_mut(name) {
        Some(zone) => {
            zone.out = out;
            Ok(())
        }
        None => Err(fault("zones", name, "does not exist")),
    }
}
