//! Commands that only read.

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
    let answer = cx.client.get(&path).await?;
    if cx.is_json {
        cx.json(&answer);
        return Ok(Exit::Done);
    }
    let config = answer.value()?;
    cx.line(&format!("version {}", text(&config["version"])));
    for (title, key) in [
        ("zone", "zones"),
        ("account", "accounts"),
        ("route", "routes"),
    ] {
        for (name, entry) in config[key].as_object().into_iter().flatten() {
            cx.line(&format!("{title} {name}: {}", print::fields(entry)));
        }
    }
    for name in print::list(&config["servers_out"]) {
        cx.line(&format!("server {}: out", text(name)));
    }
    Ok(Exit::Done)
}

/// Shows changes.
pub(crate) async fn history(cx: &mut Context<'_>, args: &args::History) -> exit::Result<Exit> {
    let mut path = format!("history?limit={}", args.limit.unwrap_or(100));
    if let Some(after) = args.after {
        path += &format!("&after={after}");
    }
    let answer = cx.client.get(&path).await?;
    if cx.is_json {
        cx.json(&answer);
        return Ok(Exit::Done);
    }
    let history = answer.value()?;
    for record in print::list(&history["records"]) {
        let change = &record["change"];
        let ops: Vec<String> = print::list(&change["ops"]).iter().map(print::op).collect();
        let wall_ms = record["wall_ms"].as_u64().unwrap_or(0);
        cx.line(&format!(
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
    let answer = cx.client.get(&path).await?;
    if cx.is_json {
        cx.json(&answer);
        return Ok(Exit::Done);
    }
    for effect in print::list(&answer.value()?) {
        cx.line(&format!(
            "{} {}",
            text(&effect["kind"]),
            text(&effect["name"])
        ));
        for (sign, side) in [("-", "before"), ("+", "after")] {
            // An entry is an object with its kind as the only key, or the bare kind.
            let entry = match &effect[side] {
                Value::Object(object) => object.values().next().map(print::fields),
                Value::Null => None,
                bare => Some(text(bare)),
            };
            if let Some(entry) = entry {
                cx.line(&format!("  {sign} {entry}"));
            }
        }
    }
    Ok(Exit::Done)
}

/// Shows the state of the whole system.
pub(crate) async fn status(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let answer = cx.client.get("status").await?;
    if cx.is_json {
        cx.json(&answer);
        return Ok(Exit::Done);
    }
    let status = answer.value()?;
    let in_force = &status["in_force"];
    cx.line(&format!(
        "version {} is in force on {} of {} entry processes",
        text(&in_force["version"]),
        text(&in_force["on"]),
        text(&in_force["of"]),
    ));
    if !print::list(&in_force["missing"]).is_empty() {
        cx.line(&format!("missing: {}", print::joined(&in_force["missing"])));
    }
    cx.line(&format!(
        "leader {}, term {}",
        text(&status["leader"]),
        text(&status["term"])
    ));
    if status["is_complete"] != Value::Bool(true) {
        cx.line("the leader is new and may not know every entry process and server");
    }
    for (title, key) in [("entry process", "entries"), ("lost entry process", "lost")] {
        for entry in print::list(&status[key]) {
            cx.line(&format!(
                "{title} {}: {}",
                text(&entry["name"]),
                print::fields(entry)
            ));
        }
    }
    for (zone, states) in status["servers"].as_object().into_iter().flatten() {
        cx.line(&format!("servers in {zone}: {}", print::joined(states)));
    }
    for note in print::list(&status["notes"]) {
        cx.line(&format!("note: {}", text(note)));
    }
    Ok(Exit::Done)
}

/// Prints a dump, which is JSON in any case.
pub(crate) async fn dump(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let answer = cx.client.get("dump").await?;
    cx.json(&answer);
    Ok(Exit::Done)
}

/// Prints the verdict of the audit.
pub(crate) async fn audit(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let answer = cx.client.get("audit").await?;
    let verdict = answer.value()?;
    let violations = print::list(&verdict["violations"]);
    if cx.is_json {
        cx.json(&answer);
    } else {
        for violation in violations {
            cx.line(&format!(
                "violation: {} requests of {} under version {}: {}",
                text(&violation["count"]),
                text(&violation["entry"]),
                text(&violation["key"]["version"]),
                text(&violation["rule"]),
            ));
        }
        cx.line(&format!(
            "{} requests judged, {} violations, {} rows of versions that are no longer kept, \
             {} requests not counted by version",
            text(&verdict["requests"]),
            violations.len(),
            text(&verdict["unjudged_rows"]),
            text(&verdict["dropped"]),
        ));
    }
    match violations.is_empty() {
        true => Ok(Exit::Done),
        false => Ok(Exit::Violations),
    }
}
