/*!
What the system says of a process.
*/

use std::fs;

/// Ticks of the system's clock in a second, as `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The processor time that a process has used, in seconds.
pub fn cpu_seconds(pid: i32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// The memory that a process holds, in MB.
pub fn resident_mb(pid: i32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kb: f64 = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0.0);
    kb / 1_024.0
}
