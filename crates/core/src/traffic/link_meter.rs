/*!
Usage of an entry's link, and the backlog of the responses expected on it.
*/

use {crate::clock::Moment, std::time::Duration};

/// The time constant of the average link usage.
const USAGE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// The fraction of the link that responses may use; the rest is for messages between instances and
/// for the packets that open and close connections.
const RESPONSES_FRACTION: f64 = 0.9;

/// The usage of a link with equal capacity in both directions; an entry receives about as much as
/// it sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkMeter {
    capacity_bytes_per_s: f64,
    /// The average usage.
    used_bytes_per_s: f64,
    /// The bytes recorded since the last update of the average.
    counted_bytes: u64,
    updated_at: Option<Moment>,
    /// The bytes of expected responses that the link hasn't had time to carry yet.
    reserved_bytes: f64,
    reserved_at: Moment,
}

impl LinkMeter {
    /// Returns the meter of a link that carries a number of bytes per second in each direction.
    pub(crate) fn new(capacity_bytes_per_s: f64) -> Self {
        Self {
            capacity_bytes_per_s,
            used_bytes_per_s: 0.0,
            counted_bytes: 0,
            updated_at: None,
            reserved_bytes: 0.0,
            reserved_at: Moment(0),
        }
    }

    /// Records the bytes that a request took on the link.
    pub(crate) fn record_bytes(&mut self, bytes: u64) {
        self.counted_bytes += bytes;
    }

    /// Returns the time that the link needs for the reserved responses.
    pub(crate) fn backlog(&mut self, now: Moment) -> Duration {
        let drained_bytes = now.since(self.reserved_at).as_secs_f64()
            * self.capacity_bytes_per_s
            * RESPONSES_FRACTION;
        self.reserved_bytes = (self.reserved_bytes - drained_bytes).max(0.0);
        self.reserved_at = now;
        Duration::from_secs_f64(
            self.reserved_bytes / (self.capacity_bytes_per_s * RESPONSES_FRACTION).max(1.0),
        )
    }

    /// Reserves capacity for an expected response.
    pub(crate) fn reserve(&mut self, bytes: f64) {
        self.reserved_bytes += bytes;
    }

    /// Releases the reservation of a response that won't come.
    pub(crate) fn release(&mut self, bytes: f64) {
        self.reserved_bytes = (self.reserved_bytes - bytes).max(0.0);
    }

    /// Updates the average usage with the bytes recorded since the last update.
    pub(crate) fn update(&mut self, now: Moment) {
        let elapsed_s = self.updated_at.map_or(Duration::ZERO, |at| now.since(at)).as_secs_f64();
        self.updated_at = Some(now);
        if elapsed_s > 0.0 {
            let weight = 1.0 - (-elapsed_s / USAGE_TIME_CONSTANT.as_secs_f64()).exp();
            self.used_bytes_per_s +=
                weight * (self.counted_bytes as f64 / elapsed_s - self.used_bytes_per_s);
            self.counted_bytes = 0;
        }
    }

    /// Returns the average usage as a percentage of the link's capacity, at most 200.
    pub(crate) fn used_percent(&self) -> u8 {
        (100.0 * self.used_bytes_per_s / self.capacity_bytes_per_s.max(1.0)).clamp(0.0, 200.0) as u8
    }
}
