/*!
The time that packets wait on this entry's link.

What callers send and what they receive waits behind everything else on a saturated link, which no
time that the entry takes for itself shows. Messages to replicas and their replies pass through the
same two queues, so the round trip shows the sum of both waits.
*/

use {crate::clock::Moment, std::time::Duration};

/// The round trip up to which packets don't count as delayed: that to the farthest region and the
/// processing at a busy replica.
const UNDELAYED_ROUND_TRIP_MAX: Duration = Duration::from_millis(100);
/// The time for which a measurement is valid: several heartbeats.
const MEASUREMENT_TTL: Duration = Duration::from_millis(1_500);
/// The smallest change of the delay that is logged.
const LOGGED_CHANGE_MIN: Duration = Duration::from_millis(200);

/// The last measured delay of packets on the link, in both directions together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkDelay {
    delay: Duration,
    measured_at: Moment,
    logged: Duration,
}

impl LinkDelay {
    /// Records the round trip of a message to a replica. Returns the delay if it is to be logged.
    pub(crate) fn record_round_trip(&mut self, elapsed: Duration, now: Moment) -> Option<Duration> {
        self.delay = elapsed.saturating_sub(UNDELAYED_ROUND_TRIP_MAX);
        self.measured_at = now;
        let has_ended = self.delay.is_zero() && !self.logged.is_zero();
        if !has_ended && self.delay.abs_diff(self.logged) < LOGGED_CHANGE_MIN {
            return None;
        }
        self.logged = self.delay;
        Some(self.delay)
    }

    /// Returns the delay; zero if there is no recent measurement.
    pub(crate) fn current(&self, now: Moment) -> Duration {
        let is_recent = now.since(self.measured_at) < MEASUREMENT_TTL;
        if is_recent { self.delay } else { Duration::ZERO }
    }
}
