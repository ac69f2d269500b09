/*!
Statistics of a route's requests at one entry: their rate, processing time and response size.
*/

use {crate::traffic::request::TransferredBytes, std::time::Duration};

/// The fraction of the route's goal that is assumed as processing time before the first
/// measurement.
const PROCESSING_GOAL_FRACTION: f64 = 0.4;
/// The quantile of the measured times that counts as the route's processing time: low enough to be
/// that of a warm object even while many objects are cold.
const PROCESSING_QUANTILE: f64 = 0.3;
/// The relative step of the quantile estimate per measurement.
const PROCESSING_QUANTILE_STEP: f64 = 0.05;
/// The weight of a new measurement in the mean processing time.
const MEAN_SMOOTHING: f64 = 0.03;
/// The upper bound of a measurement in the mean, in multiples of the warm processing time. Without
/// it, the demand would include slots that are no longer needed once cold objects are warm.
const MEAN_SAMPLE_RATIO_MAX: f64 = 2.0;
/// The bytes that a response is assumed to take on the link before the first response.
pub(super) const RESPONSE_BYTES_DEFAULT: f64 = 3_000.0;
/// The weight of a new request in the mean bytes that a request takes.
const TRANSFER_BYTES_SMOOTHING: f64 = 0.05;
/// The time constant of the average request rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// The statistics of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteStats {
    arrivals: u32,
    rate_per_s: f64,
    /// The processing time of a request for a warm object, in milliseconds.
    pub warm_processing_ms: f64,
    /// The mean processing time of all requests, in milliseconds.
    mean_processing_ms: f64,
    /// The mean bytes that a response and both heads take on the link, without the streamed part of
    /// a large response.
    pub response_bytes: f64,
    /// The mean bytes of a request's body.
    pub body_bytes: f64,
}

impl RouteStats {
    /// Returns the initial statistics of a route with a goal.
    pub(crate) fn new(goal: Duration) -> Self {
        let warm_processing_ms = PROCESSING_GOAL_FRACTION * goal.as_secs_f64() * 1_000.0;
        Self {
            arrivals: 0,
            rate_per_s: 0.0,
            warm_processing_ms,
            mean_processing_ms: warm_processing_ms,
            response_bytes: RESPONSE_BYTES_DEFAULT,
            body_bytes: 0.0,
        }
    }

    /// Counts a request in the request rate.
    pub(crate) fn record_arrival(&mut self) {
        self.arrivals += 1;
    }

    /// Updates the request rate after a nonzero interval.
    pub(crate) fn update_rate(&mut self, elapsed: Duration) {
        let weight = 1.0 - (-elapsed.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        let rate = f64::from(self.arrivals) / elapsed.as_secs_f64();
        self.rate_per_s += weight * (rate - self.rate_per_s);
        self.arrivals = 0;
    }

    /// Records the duration of a successful attempt as a request's processing time.
    pub(crate) fn record_processing_time(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let direction = if elapsed_ms > self.warm_processing_ms {
            PROCESSING_QUANTILE
        } else {
            PROCESSING_QUANTILE - 1.0
        };
        self.warm_processing_ms *= 1.0 + PROCESSING_QUANTILE_STEP * direction;
        let sample_ms = elapsed_ms.min(MEAN_SAMPLE_RATIO_MAX * self.warm_processing_ms);
        self.mean_processing_ms += MEAN_SMOOTHING * (sample_ms - self.mean_processing_ms);
    }

    /// Records the bytes that an answered request took on the link.
    pub(crate) fn record_transfer(&mut self, bytes: TransferredBytes) {
        let update = |mean: &mut f64, sample: u64| {
            *mean += TRANSFER_BYTES_SMOOTHING * (sample as f64 - *mean);
        };
        update(&mut self.response_bytes, bytes.response);
        update(&mut self.body_bytes, bytes.body);
    }

    /// Returns the number of slots that the requests keep busy.
    pub(crate) fn busy_slots(&self) -> f64 {
        self.rate_per_s * self.mean_processing_ms / 1_000.0
    }
}
