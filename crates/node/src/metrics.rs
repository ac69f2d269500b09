/*!
Metrics for Prometheus.

Gauges are read off the state when they are asked for; only the time that requests take is counted
as they go.
*/

use {
    hemlockspool_core::{clock::Moment, reducer::NodeState},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
    },
};

/// The age shown while no quorum has confirmed the version, in milliseconds.
const AGE_UNKNOWN_MS: i64 = -1;

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Registry,
    /// The time from a request's arrival to its answer, in seconds.
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
    /// Makes the metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is good");
            registry.register(Box::new(gauge.clone())).expect("the name is new");
            gauge
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges =
                IntGaugeVec::new(Opts::new(name, help), &[label]).expect("the name is good");
            registry.register(Box::new(gauges.clone())).expect("the name is new");
            gauges
        };
        let options = HistogramOpts::new(
            "hemlockspool_request_seconds",
            "Time from a request's arrival to the head of its answer",
        );
        let request_seconds = Histogram::with_opts(options).expect("the name is good");
        registry.register(Box::new(request_seconds.clone())).expect("the name is new");
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
            requests: gauges(
                "hemlockspool_requests_total",
                "Requests by what became of them",
                "what",
            ),
            refusals: gauges("hemlockspool_refusals_total", "Refusals by reason", "reason"),
            request_seconds,
            registry,
        }
    }

    /// Returns the text for Prometheus.
    pub(crate) fn render(&self, state: &NodeState, now: Moment) -> Vec<u8> {
        self.read_off(state, now);
        let mut out = Vec::new();
        // Encoding into memory fails only for metrics without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }

    fn read_off(&self, state: &NodeState, now: Moment) {
        let config = state.config();
        self.version.set(config.version().map_or(0, |version| version.0 as i64));
        let age = config.confirmed_age(now).map(|age| age.as_millis() as i64);
        self.confirmed_age_ms.set(age.unwrap_or(AGE_UNKNOWN_MS));
        self.in_flight.set(state.targets().total_in_flight() as i64);
        self.queued.set(state.requests().queued() as i64);
        let group = state.replica().map(|replica| replica.group());
        self.leading.set(group.is_some_and(|group| group.is_leader()).into());
        self.commit.set(group.map_or(0, |group| group.commit_index() as i64));
        self.submits_pending.set(state.submits_pending() as i64);
        self.domain_members.set(state.peers().members(now).len() as i64);
        let counts = state.requests().counts();
        let lines = [
            ("arrived", counts.arrived),
            ("answered", counts.answered),
            ("retried", counts.retries),
            ("forwarded", counts.forwarded),
        ];
        for (what, count) in lines {
            self.requests.with_label_values(&[what]).set(count as i64);
        }
        for (reason, count) in &counts.refused {
            let text = serde_json::to_string(reason).unwrap_or_default();
            self.refusals.with_label_values(&[text.trim_matches('"')]).set(*count as i64);
        }
    }
}
