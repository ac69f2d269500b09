/*!
Metrics of a fleet's instance, for Prometheus.
*/

use {
    hemlockspool_core::fleet::decision_events::DecisionEvent,
    poem::{Endpoint, endpoint},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
    },
    std::sync::Arc,
};

/// The bounds of the request histogram, in seconds: from a warm target's work to the longest wait.
const REQUEST_BUCKETS: [f64; 12] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 12.0];

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct FleetMetrics {
    registry: Registry,
    /// The time from a request's head to its answer, in seconds.
    pub request_seconds: Histogram,
    events: IntCounterVec,
    states: IntGaugeVec,
}

impl FleetMetrics {
    /// Makes the metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let options = HistogramOpts::new(
            "hemlockspool_request_seconds",
            "Time from a request's head to its answer",
        );
        let options = options.buckets(REQUEST_BUCKETS.to_vec());
        let request_seconds = Histogram::with_opts(options).expect("the name is good");
        let options =
            Opts::new("hemlockspool_events_total", "Decisions, by the number of their event");
        let events = IntCounterVec::new(options, &["code", "reason"]).expect("the name is good");
        let options = Opts::new("hemlockspool_state", "What this instance believes");
        let states = IntGaugeVec::new(options, &["name"]).expect("the name is good");
        registry.register(Box::new(request_seconds.clone())).expect("the name is new");
        registry.register(Box::new(events.clone())).expect("the name is new");
        registry.register(Box::new(states.clone())).expect("the name is new");
        Self { registry, request_seconds, events, states }
    }

    /// Counts a decision, whether or not its line is written.
    pub(crate) fn count(&self, note: &DecisionEvent) {
        let reason = match note {
            DecisionEvent::RequestRefused { reason, .. }
            | DecisionEvent::RequestFailed { reason, .. }
            | DecisionEvent::AttemptFailed { reason, .. }
            | DecisionEvent::TargetOut { reason, .. } => reason,
            _ => "",
        };
        self.events.with_label_values(&[&note.code().to_string(), reason]).inc();
    }

    /// Sets what the instance believes.
    pub(crate) fn set(&self, name: &str, value: i64) {
        self.states.with_label_values(&[name]).set(value);
    }

    /// Returns the metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        // Metrics that can't be encoded leave an empty page, which shows up as a missing series.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }

    /// Returns an endpoint that serves them.
    pub(crate) fn endpoint(self: &Arc<Self>) -> impl Endpoint + use<> {
        let metrics = Arc::clone(self);
        endpoint::make_sync(move |_| metrics.text())
    }
}
