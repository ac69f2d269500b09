/*!
Points in time, as data.

The reducer reads no clock: each event comes with a reading. A [`Moment`] is monotonic and means
something only within one run of a process, so it never goes into a promise between processes; a
peer may only hand one back to the process that made it.
*/

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A point on the monotonic clock of one process, in microseconds since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time from an earlier moment to this one; zero when it isn't earlier.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment a duration later.
    pub fn after(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(span.as_micros() as u64))
    }
}

/// Both clocks, read together for one event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClockReading {
    /// The monotonic clock, for every decision.
    pub now: Moment,
    /// The calendar, in milliseconds since 1970, for audit times, tallies and retention.
    pub wall_ms: u64,
}
