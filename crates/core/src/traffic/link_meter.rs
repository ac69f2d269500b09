/*!
How much of an entry's link is in use.
*/

use {crate::clock::Moment, std::time::Duration};

/// The time over which use is averaged.
const USE_SPAN: Duration = Duration::from_millis(1_500);

/// The part of the link that answers may fill: what instances tell each other and the packets of
/// connections take the rest.
const ANSWERS_SHARE: f64 = 0.9;

/// The use of a link that carries the same each way; an entry takes in about as much as it sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkMeter {
    bytes_per_s: f64,
    used_per_s: f64,
    counted: u64,
    at: Option<Moment>,
    /// Bytes of answers that were asked for and that the link hasn't had time to carry.
    expected: f64,
    expected_at: Moment,
}

impl LinkMeter {
    pub(crate) fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            used_per_s: 0.0,
            counted: 0,
            at: None,
            expected: 0.0,
            expected_at: Moment(0),
        }
    }

    pub(crate) fn count(&mut self, bytes: u64) {
        self.counted += bytes;
    }

    /// Returns how long the answers that were asked for will keep the link busy.
    pub(crate) fn backlog(&mut self, now: Moment) -> Duration {
        let carried = now.since(self.expected_at).as_secs_f64() * self.bytes_per_s * ANSWERS_SHARE;
        self.expected = (self.expected - carried).max(0.0);
        self.expected_at = now;
        Duration::from_secs_f64(self.expected / (self.bytes_per_s * ANSWERS_SHARE).max(1.0))
    }

    /// Notes that an answer was asked for.
    pub(crate) fn expect(&mut self, bytes: f64) {
        self.expected += bytes;
    }

    /// Notes that an answer that was asked for won't come.
    pub(crate) fn release(&mut self, bytes: f64) {
        self.expected = (self.expected - bytes).max(0.0);
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        let span = self.at.map_or(Duration::ZERO, |at| now.since(at)).as_secs_f64();
        self.at = Some(now);
        if span > 0.0 {
            let weight = 1.0 - (-span / USE_SPAN.as_secs_f64()).exp();
            self.used_per_s += weight * (self.counted as f64 / span - self.used_per_s);
            self.counted = 0;
        }
    }

    pub(crate) fn percent(&self) -> u8 {
        (100.0 * self.used_per_s / self.bytes_per_s.max(1.0)).clamp(0.0, 200.0) as u8
    }
}
