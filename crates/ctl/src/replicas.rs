//! Commands that show or change the replicas of groups.

use crate::args;
use crate::exit::{self, Context, Exit};
use crate::print::{self, text};
use serde_json::{Value, json};

/// Runs a subcommand of `replicas`.
pub(crate) async fn run(cx: &mut Context<'_>, action: &args::ReplicasAction) -> exit::Result<Exit> {
    match action {
        args::ReplicasAction::Status(_) => status(cx).await,
        args::ReplicasAction::Admit(args) => {
            let body = json!({ "address": args.address });
            change(cx, &args.group, "admit", &body).await
        }
        args::ReplicasAction::Promote(args) => {
            let body = json!({ "replica": args.replica });
            change(cx, &args.group, "promote", &body).await
        }
        args::ReplicasAction::Remove(args) => {
            let body = json!({ "replica": args.replica });
            change(cx, &args.group, "remove", &body).await
        }
    }
}

async fn status(cx: &mut Context<'_>) -> exit::Result<Exit> {
    let response = cx.client.get("replicas").await?;
    if cx.is_json {
        cx.print_json(&response);
        return Ok(Exit::Done);
    }
    for group in print::list(&response.value()?) {
        let repair_state = match &group["is_repaired"] {
            Value::Bool(true) => "every voter holds everything committed",
            Value::Bool(false) => "repair not finished",
            _ => "no leader answered",
        };
        cx.print_line(&format!(
            "group {}: leader {}, term {}, {repair_state}",
            text(&group["group"]),
            text(&group["leader"]),
            text(&group["term"]),
        ));
        for replica in print::list(&group["replicas"]) {
            cx.print_line(&format!("  {}", format_replica(replica)));
        }
    }
    Ok(Exit::Done)
}

fn format_replica(replica: &Value) -> String {
    let role = match &replica["is_voter"] {
        Value::Bool(true) => "voter",
        _ => "learner",
    };
    let mut line = format!(
        "{} {} {} {role} holds {}",
        text(&replica["replica"]),
        text(&replica["name"]),
        text(&replica["address"]),
        text(&replica["matched"]),
    );
    let states = [
        ("is_reached", false, "not reached"),
        ("is_caught_up", false, "not caught up"),
        ("is_suspect", true, "lost state"),
    ];
    for (key, value, state) in states {
        if replica[key] == Value::Bool(value) {
            line += &format!(", {state}");
        }
    }
    line
}

async fn change(
    cx: &mut Context<'_>,
    group: &str,
    action: &str,
    body: &Value,
) -> exit::Result<Exit> {
    let path = format!("replicas/{group}/{action}");
    let bytes = serde_json::to_vec(body).expect("JSON value can be encoded");
    let response = cx.client.send("POST", &path, &bytes).await?;
    if response.status != 200 {
        return exit::fail(Exit::Refused, response.error());
    }
    match cx.is_json {
        true => cx.print_json(&response),
        false => {
            let replica = response.value()?;
            cx.print_line(&format!("{action} {}: done", text(&replica["replica"])));
        }
    }
    Ok(Exit::Done)
}
