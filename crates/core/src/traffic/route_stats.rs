/*!
The work that a route's requests ask for, as one entry sees it.
*/

use std::time::Duration;

/// The part of the goal that a route's work is taken to be before any was measured.
const WORK_OF_GOAL: f64 = 0.4;
/// The quantile of measured times that counts as a route's work: that of requests whose object is
/// warm, also while many are not.
const WORK_QUANTILE: f64 = 0.3;
/// The relative step of that quantile at each measurement.
const WORK_STEP: f64 = 0.05;
/// The weight of a new measurement of a route's mean work.
const MEAN_WEIGHT: f64 = 0.03;
/// How many times the warm work a measurement counts at most: planning for cold objects would ask
/// for slots that nobody needs once they are warm.
const MEAN_WORKS_MAX: f64 = 2.0;
/// The bytes that an answer is taken to have before any was seen.
pub(super) const ANSWER_BYTES: f64 = 3_000.0;
/// The weight of a new answer in the mean size of a route's answers.
const BYTES_WEIGHT: f64 = 0.05;
/// The time over which the rate of requests is averaged.
const RATE_SPAN: Duration = Duration::from_millis(1_500);

/// The work of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteStats {
    arrivals: u32,
    rate_per_s: f64,
    /// The work on a warm object.
    pub work_ms: f64,
    /// The mean of all work.
    mean_ms: f64,
    /// The mean size of its answers with what goes with them.
    pub bytes: f64,
}

impl RouteStats {
    /// Makes the work of a route of which nothing was measured, from its goal.
    pub(crate) fn new(goal: Duration) -> Self {
        let work_ms = WORK_OF_GOAL * goal.as_secs_f64() * 1_000.0;
        Self { arrivals: 0, rate_per_s: 0.0, work_ms, mean_ms: work_ms, bytes: ANSWER_BYTES }
    }

    pub(crate) fn arrived(&mut self) {
        self.arrivals += 1;
    }

    /// Moves time on by a span above zero.
    pub(crate) fn tick(&mut self, span: Duration) {
        let weight = 1.0 - (-span.as_secs_f64() / RATE_SPAN.as_secs_f64()).exp();
        let rate = f64::from(self.arrivals) / span.as_secs_f64();
        self.rate_per_s += weight * (rate - self.rate_per_s);
        self.arrivals = 0;
    }

    /// Takes in how long a target took.
    pub(crate) fn measure(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let weight = if took_ms > self.work_ms { WORK_QUANTILE } else { WORK_QUANTILE - 1.0 };
        self.work_ms *= 1.0 + WORK_STEP * weight;
        let counted_ms = took_ms.min(MEAN_WORKS_MAX * self.work_ms);
        self.mean_ms += MEAN_WEIGHT * (counted_ms - self.mean_ms);
    }

    /// Takes in the size of an answer.
    pub(crate) fn answered(&mut self, bytes: u64) {
        self.bytes += BYTES_WEIGHT * (bytes as f64 - self.bytes);
    }

    /// Returns the slots that the requests keep busy.
    pub(crate) fn busy_slots(&self) -> f64 {
        self.rate_per_s * self.mean_ms / 1_000.0
    }
}
