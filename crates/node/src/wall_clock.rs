/*!
The one place that reads the calendar, for audit times, tallies, retention and incarnations.
*/

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time in milliseconds since 1970.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
