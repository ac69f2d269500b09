/*!
The only reader of the clock that also counts the time for which the machine is suspended. The
runtime's clock stands still meanwhile.
*/

use {
    crate::shell::moment_since,
    hemlockspool_core::{machine_clock::MachineClock, util::stable_hash},
    nix::time::{ClockId, clock_gettime},
    std::{fs, time::Duration},
    tokio::time::Instant,
};

/// The file with the id of the machine's boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// The link that names the time namespace, each of which has clocks of its own.
const TIME_NAMESPACE_PATH: &str = "/proc/self/ns/time";
/// The time between two clock readings below which they count as taken at once.
const READING_TIME_MAX: Duration = Duration::from_micros(100);
/// The number of attempts to read the clocks at once.
const READINGS_MAX: u32 = 100;

/// Returns the time since the machine was booted, or zero on a system without such a clock.
pub(crate) fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Returns the clock of the machine for a process that started at `started`, or none if the machine's
/// boot can't be told from others.
pub(crate) fn machine_clock(started: Instant) -> Option<MachineClock> {
    let boot_id = fs::read_to_string(BOOT_ID_PATH).ok().filter(|id| !id.trim().is_empty())?;
    let namespace = fs::read_link(TIME_NAMESPACE_PATH).unwrap_or_default();
    let (base_us, suspended) = (0..READINGS_MAX).find_map(|_| read_clocks(started))?;
    // A process that ran before a suspension converts its moments without it.
    let text = format!("{} {} {}", boot_id.trim(), namespace.display(), suspended.as_millis());
    Some(MachineClock { id: stable_hash(text.as_bytes()), base_us })
}

/// Returns the time of the machine's clock at the zero moment of the process, in microseconds, and the
/// time for which the machine was suspended; none if the readings weren't taken at once.
fn read_clocks(started: Instant) -> Option<(i64, Duration)> {
    let now = moment_since(started);
    let running = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?);
    let since_boot = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    let is_at_once = moment_since(started).since(now) < READING_TIME_MAX;
    let base_us = i64::try_from(since_boot.as_micros()).ok()? - i64::try_from(now.0).ok()?;
    is_at_once.then_some((base_us, since_boot.saturating_sub(running)))
}
