//! Resource usage of a process, from the proc file system.

use std::fs;

/// Length of a clock tick of CPU time accounting, in microseconds.
const TICK_US: u64 = 10_000;

/// Returns the CPU time of a process in microseconds, or zero if it has ended.
pub fn cpu_us(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may hold spaces; user and system time follow as fields 12 and 13.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_ascii_whitespace().skip(11).take(2);
    let ticks = fields.filter_map(|field| field.parse::<u64>().ok());
    ticks.sum::<u64>() * TICK_US
}

/// Returns the resident memory of a process in KiB, or zero if it has ended.
pub fn resident_kib(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_ascii_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
