//! What callers and operators saw of a replay.

use std::fmt::Write;

/// Messages and bytes of measuring.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measuring {
    /// Messages: probes and syncs.
    pub messages_count: u64,
    /// Bytes of messages and of reports on answers.
    pub bytes: u64,
}

/// Outcome of one plan.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Name of the plan.
    pub plan: &'static str,
    /// Length of the trace.
    pub span_ms: u64,
    /// Latencies of answered urgent reads, sorted.
    pub urgent_us: Vec<u64>,
    /// Answered requests of other classes.
    pub others_count: u64,
    /// Requests answered with a server's error.
    pub failed_count: u64,
    /// Requests refused as not run.
    pub refused_count: u64,
    /// Requests without an answer at their deadline.
    pub unknown_count: u64,
    /// Requests that found every slot of their server taken.
    pub oversubscribed_count: u64,
    /// Requests beyond the bound of a cold server.
    pub over_cold_count: u64,
    /// Requests at cold servers under a grant.
    pub cold_count: u64,
    /// Second sends.
    pub second_sends_count: u64,
    /// Requests that crossed regions.
    pub crossed_count: u64,
    /// Measuring within regions.
    pub near: Measuring,
    /// Measuring across regions.
    pub cross: Measuring,
}

/// Columns of the table.
const COLUMNS: [&str; 15] = [
    "p50-ms",
    "p99-ms",
    "p99.9-ms",
    "oversub",
    "over-cold",
    "cold",
    "failed",
    "refused",
    "unknown",
    "second",
    "crossed",
    "near-B/s",
    "near-msg/s",
    "cross-B/s",
    "cross-msg/s",
];

impl Outcome {
    /// Returns a percentile of the latencies of urgent reads, given in thousandths.
    pub fn urgent_percentile_us(&self, milli: usize) -> u64 {
        let last = self.urgent_us.len().saturating_sub(1);
        let at = (self.urgent_us.len() * milli / 1_000).min(last);
        self.urgent_us.get(at).copied().unwrap_or(0)
    }

    fn value(&self, column: &str) -> Option<u64> {
        let per_sec = |count: u64| count * 1_000 / self.span_ms.max(1);
        Some(match column {
            "p50-ms" => self.urgent_percentile_us(500),
            "p99-ms" => self.urgent_percentile_us(990),
            "p99.9-ms" => self.urgent_percentile_us(999),
            "oversub" => self.oversubscribed_count,
            "over-cold" => self.over_cold_count,
            "cold" => self.cold_count,
            "failed" => self.failed_count,
            "refused" => self.refused_count,
            "unknown" => self.unknown_count,
            "second" => self.second_sends_count,
            "crossed" => self.crossed_count,
            "near-B/s" => per_sec(self.near.bytes),
            "near-msg/s" => per_sec(self.near.messages_count),
            "cross-B/s" => per_sec(self.cross.bytes),
            "cross-msg/s" => per_sec(self.cross.messages_count),
            _ => return None,
        })
    }

    /// Returns whether a column stays within a bound; a column of times is bounded in ms.
    ///
    /// Returns `None` if there is no such column.
    pub fn is_within(&self, column: &str, most: u64) -> Option<bool> {
        let factor = if column.ends_with("-ms") { 1_000 } else { 1 };
        Some(self.value(column)? <= most * factor)
    }
}

/// Formats outcomes as a Markdown table.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = format!("| plan | {} |\n|---|", COLUMNS.join(" | "));
    text.push_str(&"---:|".repeat(COLUMNS.len()));
    text.push('\n');
    for outcome in outcomes {
        let cell = |column: &&str| {
            let value = outcome.value(column).unwrap_or(0);
            if column.ends_with("-ms") {
                return format!("{}.{}", value / 1_000, value % 1_000 / 100);
            }
            value.to_string()
        };
        let cells: Vec<String> = COLUMNS.iter().map(cell).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| {} | {} |", outcome.plan, cells.join(" | "));
    }
    text
}
