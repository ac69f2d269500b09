/*!
Latencies of a kind's responses, by which requests are refused that can't meet their deadline.

Requests of a kind differ, and targets recover, so only the shortest recent latency counts against a
request. While it has requests refused, one of them is tried now and then: refused requests bring no
latencies that could show that it doesn't hold for them.
*/

use {crate::clock::Moment, std::time::Duration};

/// The length of a period. Latencies count in the period in which they were measured and in the next
/// one.
const PERIOD: Duration = Duration::from_secs(5);
/// The time for which requests are refused before one is tried.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// The weight of the latest sample in the moving average.
const SMOOTHING: f64 = 0.1;

/// The recent latencies of a kind.
#[derive(Clone, Debug)]
pub(super) struct KindLatency {
    average_us: f64,
    /// The shortest latency of the current period.
    shortest: Duration,
    /// The shortest latency of the period before, if there were responses in it.
    shortest_before: Option<Duration>,
    period_started: Moment,
    /// The time of the first refusal, or of the latest trial.
    refusing_since: Option<Moment>,
}

impl KindLatency {
    /// Returns the latencies of a kind after its first response.
    pub(super) fn new(latency: Duration, now: Moment) -> Self {
        Self {
            average_us: latency.as_micros() as f64,
            shortest: latency,
            shortest_before: None,
            period_started: now,
            refusing_since: None,
        }
    }

    /// Records the latency of a response.
    pub(super) fn record(&mut self, latency: Duration, now: Moment) {
        let age = now.since(self.period_started);
        if age >= 2 * PERIOD {
            *self = Self { refusing_since: self.refusing_since, ..Self::new(latency, now) };
            return;
        }
        if age >= PERIOD {
            self.shortest_before = Some(self.shortest);
            self.shortest = latency;
            self.period_started = now;
        }
        self.shortest = self.shortest.min(latency);
        self.average_us += SMOOTHING * (latency.as_micros() as f64 - self.average_us);
    }

    /// Returns the moving average, or `None` if it is old.
    pub(super) fn average(&self, now: Moment) -> Option<Duration> {
        let is_recent = now.since(self.period_started) < 2 * PERIOD;
        is_recent.then(|| Duration::from_micros(self.average_us as u64))
    }

    /// Returns whether a response within some time is out of reach: it is less than half of the
    /// shortest recent latency.
    pub(super) fn exceeds(&self, time_left: Duration, now: Moment) -> bool {
        let age = now.since(self.period_started);
        let before = self.shortest_before.filter(|_| age < PERIOD);
        let shortest = before.map_or(self.shortest, |before| before.min(self.shortest));
        age < 2 * PERIOD && time_left < shortest / 2
    }

    /// Returns whether to refuse a request for its time left.
    pub(super) fn refuses(&mut self, time_left: Duration, now: Moment) -> bool {
        if !self.exceeds(time_left, now) {
            return false;
        }
        let since = *self.refusing_since.get_or_insert(now);
        let is_trial = now.since(since) >= TRIAL_INTERVAL;
        if is_trial {
            self.refusing_since = Some(now);
        }
        !is_trial
    }
}
