/*!
The log of an instance of a fleet: one JSON line for each decision and each event of the replicated
log, on standard output.

Lines pass through a bounded queue to a thread of their own, so that a slow reader of the output
never delays a request; lines that don't fit are dropped and counted. Lines about sent and answered
requests have a lower rate limit of their own, so that lines about refusals and failures still get
through.
*/

use {
    crate::wall_clock::wall_ms,
    hemlockspool_core::{fleet::decision_events::DecisionEvent, log_events::LogEvent},
    serde::Serialize,
    std::{
        io::{self, Write},
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
    tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard},
};

/// The maximum number of lines that wait to be written.
const QUEUED_LINES_MAX: usize = 2_048;
/// The rate limit of log lines about sent and answered requests, in lines per second.
const ROUTINE_LINES_PER_S: f64 = 10.0;
/// The rate limit of all other log lines, in lines per second.
const NOTABLE_LINES_PER_S: f64 = 100.0;
/// The shortest time between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// A line of the log as it is serialized.
#[derive(Serialize)]
struct LogLine<'a> {
    /// The time of the event, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// The number of the event type.
    code: u16,
    instance: &'a str,
    detail: LineDetail<'a>,
}

/// The event that a log line describes: a decision, or an event of the replicated log.
#[derive(Serialize)]
#[serde(untagged)]
enum LineDetail<'a> {
    Fleet(&'a DecisionEvent),
    Node { event: String },
}

/// A token bucket that limits the rate of one class of lines.
#[derive(Debug)]
struct LineLimiter {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl LineLimiter {
    fn new(per_s: f64, now: Instant) -> Self {
        Self { per_s, tokens: per_s, refilled_at: now }
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

#[derive(Debug)]
struct LogState {
    writer: NonBlocking,
    routine: LineLimiter,
    notable: LineLimiter,
    /// The number of lines that exceeded a rate limit.
    rate_limited: u64,
    reported_at: Instant,
    /// The number of dropped lines that have been reported.
    reported_drops: u64,
}

/// The writer of the decision log.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    instance: String,
    state: Mutex<LogState>,
    /// Counts the lines that didn't fit into the queue.
    queue_drops: ErrorCounter,
    /// Flushes the queue when dropped.
    _guard: WorkerGuard,
}

impl DecisionLog {
    /// Opens the log of an instance.
    pub(crate) fn open(instance: &str) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true);
        let builder = builder.buffered_lines_limit(QUEUED_LINES_MAX).thread_name("log");
        let (writer, guard) = builder.finish(io::stdout());
        let now = Instant::now();
        let queue_drops = writer.error_counter();
        let state = LogState {
            writer,
            routine: LineLimiter::new(ROUTINE_LINES_PER_S, now),
            notable: LineLimiter::new(NOTABLE_LINES_PER_S, now),
            rate_limited: 0,
            reported_at: now,
            reported_drops: 0,
        };
        Self { instance: instance.to_owned(), state: Mutex::new(state), queue_drops, _guard: guard }
    }

    /// Writes a line about a decision, unless the rate limit of its class is exceeded, and a line
    /// with the number of dropped lines when a report of them is due.
    pub(crate) fn write_decision(&self, event: &DecisionEvent) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let limiter = if event.is_routine() { &mut state.routine } else { &mut state.notable };
        if limiter.try_take(now) {
            self.write_line(&mut state, event.code(), LineDetail::Fleet(event));
        } else {
            state.rate_limited += 1;
        }
        let dropped = state.rate_limited + self.queue_drops.dropped_lines() as u64;
        let due = now.duration_since(state.reported_at) >= DROP_REPORT_INTERVAL;
        if due && dropped > state.reported_drops {
            let lines = dropped - state.reported_drops;
            state.reported_drops = dropped;
            state.reported_at = now;
            let event = DecisionEvent::LinesDropped { lines };
            self.write_line(&mut state, event.code(), LineDetail::Fleet(&event));
        }
    }

    /// Writes a line about an event of the replicated log, unless the rate limit is exceeded.
    pub(crate) fn write_log_event(&self, log_event: &LogEvent) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.notable.try_take(Instant::now()) {
            let event = log_event.to_string();
            self.write_line(&mut state, log_event.code(), LineDetail::Node { event });
        } else {
            state.rate_limited += 1;
        }
    }

    fn write_line(&self, state: &mut LogState, code: u16, detail: LineDetail<'_>) {
        let line = LogLine { at_ms: wall_ms(), code, instance: &self.instance, detail };
        let mut bytes =
            serde_json::to_vec(&line).expect("log lines consist of types that JSON can represent");
        bytes.push(b'\n');
        // The writer never fails: it drops and counts lines that don't fit.
        let _ = state.writer.write(&bytes);
    }
}
