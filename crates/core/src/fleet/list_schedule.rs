/*!
Schedule on which a process reads the platform's list of targets.

The platform limits the call rate of all instances together, and reading the list takes several
calls. Each process therefore limits its own rate, based on the number of calls that its last read
took and the number of processes that may read at the same rate.
*/

use {crate::clock::Moment, std::time::Duration};

/// Time after which an unfinished read is given up and another may start.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Time of the next read of the list, and the cost of a read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListSchedule {
    due: Moment,
    started_at: Option<Moment>,
    calls_per_read: u32,
    calls_per_s: f64,
}

impl ListSchedule {
    /// Creates a schedule for a platform that accepts `calls_per_s` calls per second. The first
    /// read is due at `due`.
    pub(crate) fn new(calls_per_s: f64, due: Moment) -> Self {
        Self { due, started_at: None, calls_per_read: 1, calls_per_s }
    }

    /// Returns whether a read may start.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        let in_progress = self.started_at.is_some_and(|at| now.since(at) < READ_TIMEOUT);
        !in_progress && now >= self.due
    }

    /// Returns the minimum time between two reads of each process, so that `processes` processes
    /// together use at most `rate_fraction` of the platform's call rate.
    pub(crate) fn min_interval(&self, processes: usize, rate_fraction: f64) -> Duration {
        let calls = processes as f64 * f64::from(self.calls_per_read);
        Duration::from_secs_f64(calls / (self.calls_per_s * rate_fraction).max(0.1))
    }

    /// Records the start of a read. The next may start after `interval`.
    pub(crate) fn start(&mut self, now: Moment, interval: Duration) {
        self.started_at = Some(now);
        self.due = now.after(interval);
    }

    /// Records that a read succeeded after a number of calls.
    pub(crate) fn complete(&mut self, calls: u32) {
        self.started_at = None;
        self.calls_per_read = calls.max(1);
    }

    /// Records that a read failed after a number of calls, and the time of the next attempt. A
    /// complete read takes at least that many calls, so the estimate isn't lowered.
    pub(crate) fn fail(&mut self, calls: u32, retry_at: Moment) {
        self.started_at = None;
        self.calls_per_read = self.calls_per_read.max(calls);
        self.due = retry_at;
    }
}
