//! Prints the table of results.

use nutmegdale_testkit::load;

/// Total of the runs of one variant.
pub(crate) struct Row {
    pub(crate) name: String,
    pub(crate) measured: load::Measurements,
    pub(crate) cpu_us: u64,
}

impl Row {
    fn latency_us(&self, quantile: f64) -> f64 {
        self.measured.latency_ns.value_at_quantile(quantile) as f64 / 1e3
    }

    fn cpu_us_per_call(&self) -> f64 {
        self.cpu_us as f64 / self.measured.answered_count().max(1) as f64
    }
}

/// Prints one line per variant: its own figures, its overhead over direct calls, and the ratio of
/// this overhead to that of the minimal proxy. `rows` starts with the direct calls and the proxy.
pub(crate) fn print(title: &str, rows: &[Row]) {
    println!("\n{title}");
    println!(
        "{:14} {:>9} {:>9} {:>8} {:>8} {:>8} | {:>8} {:>8} {:>8} | {:>6} | {:>8} {:>6} | {:>6}",
        "way (us)",
        "calls/s",
        "MB/s",
        "p50",
        "p90",
        "p99",
        "+p50",
        "+p90",
        "+p99",
        "/relay",
        "CPU/call",
        "/relay",
        "failed"
    );
    let (direct, relay) = (&rows[0], &rows[1]);
    for row in rows {
        let added = |quantile| row.latency_us(quantile) - direct.latency_us(quantile);
        let relay_added = relay.latency_us(0.5) - direct.latency_us(0.5);
        let secs = row.measured.elapsed.as_secs_f64();
        println!(
            "{:14} {:9.0} {:9.1} {:8.0} {:8.0} {:8.0} | {:8.0} {:8.0} {:8.0} | {:6.2} | \
             {:8.1} {:6.2} | {:6}",
            row.name,
            row.measured.answered_count() as f64 / secs,
            row.measured.body_bytes as f64 / secs / 1e6,
            row.latency_us(0.5),
            row.latency_us(0.9),
            row.latency_us(0.99),
            added(0.5),
            added(0.9),
            added(0.99),
            added(0.5) / relay_added,
            row.cpu_us_per_call(),
            row.cpu_us_per_call() / relay.cpu_us_per_call(),
            row.measured.failed_count
        );
    }
    let late = &direct.measured.late_ns;
    let (p50_ns, p99_ns) = (late.value_at_quantile(0.5), late.value_at_quantile(0.99));
    println!(
        "sent after the planned arrival: p50 {} us, p99 {} us",
        p50_ns / 1_000,
        p99_ns / 1_000
    );
}
