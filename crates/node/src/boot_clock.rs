/*!
The only reader of the clock that also counts the time for which the machine is suspended. The
runtime's clock stands still meanwhile.
*/

use {
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Returns the time since the machine was booted, or zero on a system without such a clock.
pub(crate) fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
