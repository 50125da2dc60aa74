//! Results of a replay, as callers and operators observe them.

use std::fmt::Write;

/// Network traffic spent on load measurement.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeasuringTraffic {
    /// Number of probes and syncs.
    pub messages_count: u64,
    /// Bytes of these messages and of the load reports on answers.
    pub bytes: u64,
}

/// Outcome of one plan.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Name of the plan.
    pub plan: &'static str,
    /// Length of the trace, in milliseconds.
    pub span_ms: u64,
    /// Latencies of answered urgent reads in microseconds, in ascending order.
    pub urgent_us: Vec<u64>,
    /// Number of answered requests of other classes.
    pub others_count: u64,
    /// Number of requests that ended with a server's error.
    pub failed_count: u64,
    /// Number of requests that were refused without being executed.
    pub refused_count: u64,
    /// Number of requests without an answer at their deadline.
    pub unknown_count: u64,
    /// Number of sends that found all slots of their server busy.
    pub oversubscribed_count: u64,
    /// Number of sends that exceeded the cold slots of a cold server.
    pub over_cold_count: u64,
    /// Number of sends to cold servers under a grant.
    pub cold_count: u64,
    /// Number of retries and hedged requests.
    pub second_sends_count: u64,
    /// Number of sends to another region.
    pub crossed_count: u64,
    /// Measurement traffic within regions.
    pub near: MeasuringTraffic,
    /// Measurement traffic between regions.
    pub cross: MeasuringTraffic,
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
    /// Returns a percentile of the latencies of urgent reads; `milli` is the percentile in
    /// thousandths, such as 990 for p99.
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

    /// Returns whether a column stays within a bound, which is in milliseconds for latencies.
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
