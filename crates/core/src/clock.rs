/*!
Clock readings, as data.

The reducer reads no clock: each event comes with a clock reading. A [`Moment`] is monotonic and
valid only within one run of a process, so processes never compare each other's moments; a peer may
echo one to the process that created it, and the differences between its own may be compared with
those of another process.
*/

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A point on the monotonic clock of one process, in microseconds.
///
/// The shell lets the clock start at one hour, so that times before the start of the process can be
/// represented.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time from an earlier moment to this one, or zero if that moment isn't earlier.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment that is a duration later than this one.
    pub fn after(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

/// A reading of the monotonic clock and the wall clock for one event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClockReading {
    /// The monotonic clock, for everything that `wall_ms` isn't for.
    pub now: Moment,
    /// The wall clock as Unix time in milliseconds, for audit times, tallies and retention.
    pub wall_ms: u64,
}
