//! Formatting of responses as text.

use serde_json::Value;

/// Returns the items of an array, or none for any other value.
pub(crate) fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Formats a value without quotes; null becomes `-`.
pub(crate) fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Formats the items of an array or the keys and values of an object, separated by commas.
pub(crate) fn joined(value: &Value) -> String {
    let items: Vec<String> = match value {
        Value::Object(object) => object
            .iter()
            .map(|(k, v)| format!("{k} {}", text(v)))
            .collect(),
        other => list(other).iter().map(text).collect(),
    };
    items.join(", ")
}

/// Formats a wall clock time, in milliseconds since the Unix epoch, in UTC.
pub(crate) fn time(wall_ms: u64) -> String {
    let secs = i64::try_from(wall_ms / 1_000).unwrap_or(0);
    let format = time::format_description::well_known::Rfc3339;
    let time = time::OffsetDateTime::from_unix_timestamp(secs).ok();
    let text = time.and_then(|time| time.format(&format).ok());
    text.unwrap_or_else(|| format!("{wall_ms} ms"))
}

/// Formats an operation of a change as its kind and the name of the entry that it changes.
pub(crate) fn op(op: &Value) -> String {
    let kind = text(&op["op"]);
    let name = ["name", "route", "account", "zone"]
        .into_iter()
        .find_map(|key| match &op[key] {
            Value::String(name) => Some(name.clone()),
            Value::Object(entry) => entry.get("name").map(text),
            _ => None,
        });
    format!("{kind} {}", name.unwrap_or_default())
}

/// Formats the fields of an entry except its name and empty objects.
pub(crate) fn fields(entry: &Value) -> String {
    let Some(object) = entry.as_object() else {
        return text(entry);
    };
    let visible = object.iter().filter(|(key, value)| {
        let is_empty = value.as_object().is_some_and(serde_json::Map::is_empty);
        *key != "name" && !is_empty
    });
    let fields = visible.map(|(key, value)| match value {
        Value::Object(_) | Value::Array(_) => format!("{key}=({})", joined(value)),
        _ => format!("{key}={}", text(value)),
    });
    fields.collect::<Vec<_>>().join(" ")
}
