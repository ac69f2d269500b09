/*!
Processor time and memory of a process, read from `/proc`.
*/

use std::fs;

/// Clock ticks per second in the processor times of `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time that a process has used, in seconds; 0 if `/proc` doesn't list it.
pub fn cpu_seconds(pid: i32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in MiB; 0 if `/proc` states none, as after its exit.
pub fn resident_mb(pid: i32) -> f64 {
    memory_mb(pid, "VmRSS")
}

/// Returns the largest resident memory that a process has had, in MiB; 0 if `/proc` states none.
pub fn peak_resident_mb(pid: i32) -> f64 {
    memory_mb(pid, "VmHWM")
}

fn memory_mb(pid: i32, field: &str) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let kb: f64 = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0.0);
    kb / 1_024.0
}
