/*!
Metrics for Prometheus.

The gauges are updated from the state on each scrape. Only the durations of requests are recorded as
they occur, when the head of the response is ready.
*/

use {
    hemlockspool_core::{clock::Moment, reducer::NodeState},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
    },
};

/// The value of the confirmed age while no quorum has confirmed the version, in milliseconds.
const AGE_UNKNOWN_MS: i64 = -1;

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Registry,
    /// The time from a request's arrival to the head of its response, in seconds. Requests that are
    /// refused while they are read aren't included.
    pub request_seconds: Histogram,
    version: IntGauge,
    confirmed_age_ms: IntGauge,
    in_flight: IntGauge,
    queued: IntGauge,
    leading: IntGauge,
    commit: IntGauge,
    submits_pending: IntGauge,
    domain_members: IntGauge,
    requests: IntGaugeVec,
    refusals: IntGaugeVec,
}

impl NodeMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the metric name is valid");
            registry.register(Box::new(gauge.clone())).expect("the metric name is unique");
            gauge
        };
        let gauge_vec = |name: &str, help: &str, label: &str| {
            let gauge_vec = IntGaugeVec::new(Opts::new(name, help), &[label])
                .expect("the metric name is valid");
            registry.register(Box::new(gauge_vec.clone())).expect("the metric name is unique");
            gauge_vec
        };
        let options = HistogramOpts::new(
            "hemlockspool_request_seconds",
            "Time from a request's arrival to the head of its answer",
        );
        let request_seconds = Histogram::with_opts(options).expect("the metric name is valid");
        registry.register(Box::new(request_seconds.clone())).expect("the metric name is unique");
        Self {
            version: gauge("hemlockspool_config_version", "The version in force"),
            confirmed_age_ms: gauge(
                "hemlockspool_config_confirmed_age_milliseconds",
                "How long ago a quorum confirmed the version; -1 when none has",
            ),
            in_flight: gauge("hemlockspool_in_flight", "Requests in flight on targets"),
            queued: gauge("hemlockspool_queued", "Requests that wait for a slot"),
            leading: gauge("hemlockspool_leading", "1 at the leader"),
            commit: gauge("hemlockspool_log_commit", "The last committed index"),
            submits_pending: gauge("hemlockspool_submits_pending", "Commands without an answer"),
            domain_members: gauge("hemlockspool_domain_members", "Entries heard in the domain"),
            requests: gauge_vec(
                "hemlockspool_requests_total",
                "Requests by what became of them",
                "what",
            ),
            refusals: gauge_vec("hemlockspool_refusals_total", "Refusals by reason", "reason"),
            request_seconds,
            registry,
        }
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self, state: &NodeState, now: Moment) -> Vec<u8> {
        self.update_gauges(state, now);
        let mut out = Vec::new();
        // Encoding into memory fails only for metrics without a name, and these have names.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }

    /// Sets all gauges from the state.
    fn update_gauges(&self, state: &NodeState, now: Moment) {
        let config = state.config();
        self.version.set(config.version().map_or(0, |version| version.0 as i64));
        let age = config.confirmed_age(now).map(|age| age.as_millis() as i64);
        self.confirmed_age_ms.set(age.unwrap_or(AGE_UNKNOWN_MS));
        self.in_flight.set(state.targets().total_in_flight() as i64);
        self.queued.set(state.requests().queued() as i64);
        let group = state.replica().map(|replica| replica.group());
        self.leading.set(group.is_some_and(|group| group.is_leader()).into());
        self.commit.set(group.map_or(0, |group| group.commit_index() as i64));
        self.submits_pending.set(state.pending_commands() as i64);
        self.domain_members.set(state.peers().members(now).len() as i64);
        let counts = state.requests().counts();
        let request_counts = [
            ("arrived", counts.arrived),
            ("answered", counts.responded),
            ("retried", counts.retries),
            ("forwarded", counts.forwarded),
        ];
        for (outcome, count) in request_counts {
            self.requests.with_label_values(&[outcome]).set(count as i64);
        }
        for (reason, count) in &counts.refused {
            let reason = serde_json::to_string(reason).unwrap_or_default();
            self.refusals.with_label_values(&[reason.trim_matches('"')]).set(*count as i64);
        }
    }
}
