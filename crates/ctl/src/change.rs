//! Commands that change the catalogue.

use crate::args;
use crate::exit::{self, Context, Exit};
use crate::print;
use nutmegdale_catalogue::change;
use serde_json::{Value, json};
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::time;

/// Interval between two polls of the status.
const STATUS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Applies a change from a file.
pub(crate) async fn apply(cx: &mut Context<'_>, args: &args::Apply) -> exit::Result<Exit> {
    let mut body = read_change(&args.file)?;
    if let Some(id) = &args.id {
        body["id"] = json!(id);
    }
    if body.get("id").is_none_or(Value::is_null) {
        body["id"] = json!(new_id());
    }
    if let Some(base) = args.base {
        body["base"] = json!(base);
    }
    if body.get("base").is_none_or(Value::is_null) {
        let config = cx.client.get("config").await?.value()?;
        body["base"] = config["version"].clone();
    }
    // A resend must have the same id and base, so both are printed before the request is sent.
    let (id, base) = (&body["id"], &body["base"]);
    let id = id.as_str().unwrap_or_default().to_owned();
    let file = &args.file;
    cx.print_note(&format!(
        "change {id}; to resend: nutmegctl apply {file} --id {id} --base {base}"
    ));
    send(cx, "changes", &body, args.wait).await
}

/// Takes a zone or server out of service or back in.
pub(crate) async fn set_service_state(
    cx: &mut Context<'_>,
    kind: &str,
    requested: &args::ServiceState<'_>,
) -> exit::Result<Exit> {
    let id = requested.id.map_or_else(new_id, str::to_owned);
    let (name, state) = (requested.name, requested.state);
    let command = kind.trim_end_matches('s');
    cx.print_note(&format!(
        "change {id}; to resend: nutmegctl {command} {state} {name} --id {id}"
    ));
    let path = format!("{kind}/{name}/{state}");
    send(cx, &path, &json!({ "id": id }), requested.wait).await
}

fn read_change(file: &str) -> exit::Result<Value> {
    let text = match file {
        "-" => io::read_to_string(io::stdin()),
        _ => fs::read_to_string(file),
    };
    let text = text.or_else(|err| exit::fail(Exit::Usage, format!("{file}: {err}")))?;
    let value: Value = serde_json::from_str(&text)
        .or_else(|err| exit::fail(Exit::Usage, format!("{file}: {err}")))?;
    match value {
        Value::Array(ops) => Ok(json!({ "ops": ops })),
        Value::Object(object) if object.contains_key("op") => Ok(json!({ "ops": [object] })),
        Value::Object(object) if object.contains_key("ops") => Ok(Value::Object(object)),
        _ => exit::fail(
            Exit::Usage,
            format!(
                "{file}: must contain an operation, a list of operations or an object with \"ops\""
            ),
        ),
    }
}

fn new_id() -> String {
    // The standard library seeds each hasher from the system's random source.
    let random = || {
        let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
        hasher.write_u32(std::process::id());
        hasher.finish()
    };
    format!("ctl-{:016x}{:016x}", random(), random())
}

async fn send(
    cx: &mut Context<'_>,
    path: &str,
    body: &Value,
    wait: Option<u64>,
) -> exit::Result<Exit> {
    let bytes = serde_json::to_vec(body).expect("JSON value can be encoded");
    let response = cx.client.send("POST", path, &bytes).await?;
    let answer: change::Answer = match serde_json::from_slice(&response.body) {
        Ok(answer) => answer,
        Err(_) if response.status == 400 => return exit::fail(Exit::Rejected, response.error()),
        Err(_) => return exit::fail(Exit::Refused, response.error()),
    };
    match cx.is_json {
        true => cx.print_json(&response),
        false => cx.print_line(&answer.to_string()),
    }
    let version = match answer {
        change::Answer::Accepted { version } => version.0,
        change::Answer::Conflict { .. } => return Ok(Exit::Conflict),
        change::Answer::Rejected { .. } => return Ok(Exit::Rejected),
    };
    match wait {
        Some(secs) => wait_in_force(cx, version, time::Duration::from_secs(secs)).await,
        None => Ok(Exit::Done),
    }
}

async fn wait_in_force(
    cx: &mut Context<'_>,
    version: u64,
    timeout: time::Duration,
) -> exit::Result<Exit> {
    let start = time::Instant::now();
    loop {
        let status = cx.client.get("status").await?.value()?;
        let (missing, count) = missing_entries(&status, version);
        // A new leader does not yet know every entry process.
        let is_complete = status["is_complete"] == json!(true);
        if missing.is_empty() && is_complete {
            cx.print_note(&format!(
                "version {version} is in force on {count} of {count} entry processes"
            ));
            return Ok(Exit::Done);
        }
        if start.elapsed() >= timeout {
            let on = count - missing.len();
            let mut text = format!(
                "version {version} is in force on {on} of {count} entry processes after {timeout:?}"
            );
            if !missing.is_empty() {
                text += &format!("; missing: {}", missing.join(", "));
            }
            if !is_complete {
                text += "; the leader is new and may not know every entry process";
            }
            return exit::fail(Exit::NotInForce, text);
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn missing_entries(status: &Value, version: u64) -> (Vec<String>, usize) {
    let entries = print::list(&status["entries"]);
    let outdated = entries
        .iter()
        .filter(|entry| entry["version"].as_u64() < Some(version));
    let names = outdated.map(|entry| print::text(&entry["name"])).collect();
    (names, entries.len())
}
