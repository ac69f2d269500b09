/*!
The log of a fleet's instance: a JSON line for each decision, on standard output.

Lines go through a bounded queue to a thread of their own, so that a reader that doesn't keep up
never holds a request up; what doesn't fit is dropped and counted. Lines about requests that went
well are bounded in their rate, so that those about refusals and failures always find room.
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

/// Lines that wait for the reader at most.
const LINES_WAITING: usize = 2_048;
/// Lines a second about requests that went well.
const ROUTINE_PER_S: f64 = 10.0;
/// Lines a second about everything else.
const NOTABLE_PER_S: f64 = 100.0;
/// The time between lines about dropped lines.
const DROPS_EVERY: Duration = Duration::from_secs(5);

/// A line as it is written.
#[derive(Serialize)]
struct LogLine<'a> {
    /// Milliseconds since 1970.
    at_ms: u64,
    /// The number of the event.
    code: u16,
    instance: &'a str,
    detail: LineDetail<'a>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum LineDetail<'a> {
    Fleet(&'a DecisionEvent),
    Node { event: String },
}

/// How many lines of one sort may still be written.
#[derive(Debug)]
struct LineAllowance {
    per_s: f64,
    left: f64,
    at: Instant,
}

impl LineAllowance {
    fn new(per_s: f64, now: Instant) -> Self {
        Self { per_s, left: per_s, at: now }
    }

    fn take(&mut self, now: Instant) -> bool {
        let span = now.duration_since(self.at).as_secs_f64();
        self.at = now;
        self.left = (self.left + span * self.per_s).min(self.per_s);
        let fits = self.left >= 1.0;
        if fits {
            self.left -= 1.0;
        }
        fits
    }
}

#[derive(Debug)]
struct LogState {
    writer: NonBlocking,
    routine: LineAllowance,
    notable: LineAllowance,
    dropped: u64,
    reported_at: Instant,
    reported: u64,
}

/// The log.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    instance: String,
    state: Mutex<LogState>,
    lost: ErrorCounter,
    /// Writes what is left when the process ends.
    _guard: WorkerGuard,
}

impl DecisionLog {
    /// Opens the log of an instance.
    pub(crate) fn open(instance: &str) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true);
        let builder = builder.buffered_lines_limit(LINES_WAITING).thread_name("log");
        let (writer, guard) = builder.finish(io::stdout());
        let now = Instant::now();
        let lost = writer.error_counter();
        let state = LogState {
            writer,
            routine: LineAllowance::new(ROUTINE_PER_S, now),
            notable: LineAllowance::new(NOTABLE_PER_S, now),
            dropped: 0,
            reported_at: now,
            reported: 0,
        };
        Self { instance: instance.to_owned(), state: Mutex::new(state), lost, _guard: guard }
    }

    /// Writes a line, unless its sort has had its share.
    pub(crate) fn write(&self, note: &DecisionEvent) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let sort = if note.is_routine() { &mut state.routine } else { &mut state.notable };
        if sort.take(now) {
            self.put(&mut state, note.code(), LineDetail::Fleet(note));
        } else {
            state.dropped += 1;
        }
        let dropped = state.dropped + self.lost.dropped_lines() as u64;
        let due = now.duration_since(state.reported_at) >= DROPS_EVERY;
        if due && dropped > state.reported {
            let lines = dropped - state.reported;
            state.reported = dropped;
            state.reported_at = now;
            let note = DecisionEvent::LinesDropped { lines };
            self.put(&mut state, note.code(), LineDetail::Fleet(&note));
        }
    }

    /// Writes a line about the replicated log.
    pub(crate) fn write_node(&self, note: &LogEvent) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.notable.take(Instant::now()) {
            let event = note.to_string();
            self.put(&mut state, note.code(), LineDetail::Node { event });
        } else {
            state.dropped += 1;
        }
    }

    fn put(&self, state: &mut LogState, code: u16, detail: LineDetail<'_>) {
        let line = LogLine { at_ms: wall_ms(), code, instance: &self.instance, detail };
        let mut bytes = serde_json::to_vec(&line).expect("a note has no types that JSON lacks");
        bytes.push(b'\n');
        // The writer never fails: what doesn't fit is dropped and counted.
        let _ = state.writer.write(&bytes);
    }
}
