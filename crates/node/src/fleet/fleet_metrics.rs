/*!
Prometheus metrics of an instance of a fleet.
*/

use {
    hemlockspool_core::fleet::decision_events::DecisionEvent,
    poem::{Endpoint, endpoint},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
        TextEncoder,
    },
    std::sync::Arc,
};

/// The bucket bounds of the request histogram, in seconds, from the processing time of a warm
/// target to the longest time that a caller waits.
const REQUEST_SECONDS_BUCKETS: [f64; 12] =
    [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 12.0];

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct FleetMetrics {
    registry: Registry,
    /// The time from a request's head to the head of its response, in seconds.
    pub request_seconds: Histogram,
    events: IntCounterVec,
    states: IntGaugeVec,
}

impl FleetMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let options = HistogramOpts::new(
            "hemlockspool_request_seconds",
            "Time from a request's head to its answer",
        );
        let options = options.buckets(REQUEST_SECONDS_BUCKETS.to_vec());
        let request_seconds = Histogram::with_opts(options).expect("the metric's name is valid");
        let options =
            Opts::new("hemlockspool_events_total", "Decisions, by the number of their event");
        let events =
            IntCounterVec::new(options, &["code", "reason"]).expect("the metric's name is valid");
        let options = Opts::new("hemlockspool_state", "What this instance believes");
        let states = IntGaugeVec::new(options, &["name"]).expect("the metric's name is valid");
        registry.register(Box::new(request_seconds.clone())).expect("the metric's name is unique");
        registry.register(Box::new(events.clone())).expect("the metric's name is unique");
        registry.register(Box::new(states.clone())).expect("the metric's name is unique");
        Self { registry, request_seconds, events, states }
    }

    /// Counts a decision, whether or not its log line is written.
    pub(crate) fn count_event(&self, event: &DecisionEvent) {
        let reason = match event {
            DecisionEvent::RequestRefused { reason, .. }
            | DecisionEvent::RequestFailed { reason, .. }
            | DecisionEvent::AttemptFailed { reason, .. }
            | DecisionEvent::TargetOut { reason, .. } => reason,
            DecisionEvent::RequestLate { cause, .. } => cause,
            _ => "",
        };
        self.events.with_label_values(&[&event.code().to_string(), reason]).inc();
    }

    /// Adds a counter that is incremented elsewhere.
    pub(crate) fn add_counter(&self, counter: &IntCounter) {
        self.registry.register(Box::new(counter.clone())).expect("the metric's name is unique");
    }

    /// Sets a gauge of the instance's state.
    pub(crate) fn set_state(&self, name: &str, value: i64) {
        self.states.with_label_values(&[name]).set(value);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut bytes = Vec::new();
        // Encoding into memory fails only for metrics without a name, and these have names.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }

    /// Returns an endpoint that serves the metrics.
    pub(crate) fn endpoint(self: &Arc<Self>) -> impl Endpoint + use<> {
        let metrics = Arc::clone(self);
        endpoint::make_sync(move |_| metrics.render())
    }
}
