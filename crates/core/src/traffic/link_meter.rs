/*!
How much of an entry's link is in use.
*/

use {crate::clock::Moment, std::time::Duration};

/// The time over which use is averaged.
const USE_SPAN: Duration = Duration::from_millis(1_500);

/// The use of a link that carries the same each way; an entry takes in about as much as it sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkMeter {
    bytes_per_s: f64,
    used_per_s: f64,
    counted: u64,
    at: Option<Moment>,
}

impl LinkMeter {
    pub(crate) fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, used_per_s: 0.0, counted: 0, at: None }
    }

    pub(crate) fn count(&mut self, bytes: u64) {
        self.counted += bytes;
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
