/*!
The only reader of the wall clock in this crate, for audit times, tallies, retention, incarnations
and lines of the decision log. The event log gets its timestamps from simplelog.
*/

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 before it.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
