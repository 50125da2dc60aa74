//! Read-only commands.

use crate::args;
use crate::exit::{self, Context, Exit};
use crate::print::{self, text};
use serde_json::Value;

/// Shows a configuration.
pub(crate) async fn show(cx: &mut Context<'_>, args: &args::Show) -> exit::Result<Exit> {
    let path = match args.version {
        Some(version) => format!("config?version={version}"),
        None => "config".to_owned(),
    };
    let response = cx.client.get(&path).await?;
    if cx.is_json {
        cx.print_json(&response);
        return Ok(Exit::Done);
    }
    let config = response.value()?;
    cx.print_line(&format!("version {}", text(&config["version"])));
    for (title, key) in [
        ("zone", "zones"),
        ("account", "accounts"),
        ("route", "routes"),
    ] {
        for (name, entry) in config[key].as_object().into_iter().flatten() {
            cx.print_line(&format!("{title} {name}: {}", print::fields(entry)));
        }
    }
    for name in print::list(&config["servers_out"]) {
        cx.print_line(&format!("server {}: out", text(name)));
    }
    Ok(Exit::Done)
}

/// Shows the history of changes.
pub(crate) async fn history(cx: &mut Context<'_>, args: &args::History) -> exit::Result<Exit> {
    let mut path = format!("history?limit={}", args.limit.unwrap_or(100));
    if let Some(after) = args.after {
        path += &format!("&after={after}");
    }
    let response = cx.client.get(&path).await?;
    if cx.is_json {
        cx.print_json(&response);
        return Ok(Exit::Done);
    }
    let history = response.value()?;
    for record in print::list(&history["records"]) {
        let change = &record["change"];
        let ops: Vec<String> = print::list(&change["ops"]).iter().map(print::op).collect();
        let wall_ms = record["wall_ms"].as_u64().unwrap_or(0);
        cx.print_line(&format!(
            "{} from {}  {}  {}  {}  {}",
            text(&record["version"]),
            text(&record["base"]),
            print::time(wall_ms),
            text(&change["author"]),
            text(&change["id"]),
            ops.join("; "),
        ));
    }
    Ok(Exit::Done)
}

/// Shows the entries that differ between two versions.
pub(crate) async fn diff(cx: &mut Context<'_>, args: &args::Diff) -> exit::Result<Exit> {
    let mut path = format!("diff?from={}", args.from);
    if let Some(to) = args.to {
        path += &format!("&to={to}");
    }
    let response = cx.client.get(&path).await?;
    if cx.is_json {
        cx.print_json(&response);
        return Ok(Exit::Done);
    }
    for effect in print::list(&response.value()?) {
        cx.print_line(&format!(
            "{} {}",
            text(&effect["kind"]),
            text(&effect["name"])
        ));
        for (sign, side) in [("-", "before"), ("+", "after")] {
            // An entry is an object whose only key is its kind, or just the kind as a string.
            let entry = match &effect[side] {
                Value::Object(object) => object.values().next().map(print::fields),
                Value::Null => None,
                kind => Some(text(kind)),
            };
            if let Some(entry) = entry {
                cx.print_line(&format!("  {sign} {entry}"));
            }
        }
    }
    Ok(Exit::Done)
}

/// Shows the state of the whole system.
pub(crate) async fn status(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let response = cx.client.get("status").await?;
    if cx.is_json {
        cx.print_json(&response);
        return Ok(Exit::Done);
    }
    let status = response.value()?;
    let in_force = &status["in_force"];
    cx.print_line(&format!(
        "version {} is in force on {} of {} entry processes",
        text(&in_force["version"]),
        text(&in_force["on"]),
        text(&in_force["of"]),
    ));
    if !print::list(&in_force["missing"]).is_empty() {
        cx.print_line(&format!("missing: {}", print::joined(&in_force["missing"])));
    }
    cx.print_line(&format!(
        "leader {}, term {}",
        text(&status["leader"]),
        text(&status["term"])
    ));
    if status["is_complete"] != Value::Bool(true) {
        cx.print_line("the leader is new and may not know every entry process and server");
    }
    for (title, key) in [("entry process", "entries"), ("lost entry process", "lost")] {
        for entry in print::list(&status[key]) {
            cx.print_line(&format!(
                "{title} {}: {}",
                text(&entry["name"]),
                print::fields(entry)
            ));
        }
    }
    for (zone, states) in status["servers"].as_object().into_iter().flatten() {
        cx.print_line(&format!("servers in {zone}: {}", print::joined(states)));
    }
    for note in print::list(&status["notes"]) {
        cx.print_line(&format!("note: {}", text(note)));
    }
    Ok(Exit::Done)
}

/// Prints the dump of the leader, which is always JSON.
pub(crate) async fn dump(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let response = cx.client.get("dump").await?;
    cx.print_json(&response);
    Ok(Exit::Done)
}

/// Prints the result of the audit.
pub(crate) async fn audit(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let response = cx.client.get("audit").await?;
    let result = response.value()?;
    let violations = print::list(&result["violations"]);
    if cx.is_json {
        cx.print_json(&response);
    } else {
        for violation in violations {
            cx.print_line(&format!(
                "violation: {} requests of {} under version {}: {}",
                text(&violation["count"]),
                text(&violation["entry"]),
                text(&violation["key"]["version"]),
                text(&violation["rule"]),
            ));
        }
        cx.print_line(&format!(
            "{} requests checked, {} violations, {} rows of versions that are no longer kept, \
             {} requests not counted by version",
            text(&result["requests"]),
            violations.len(),
            text(&result["unjudged_rows"]),
            text(&result["dropped"]),
        ));
    }
    match violations.is_empty() {
        true => Ok(Exit::Done),
        false => Ok(Exit::Violations),
    }
}
