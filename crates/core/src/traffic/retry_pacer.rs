/*!
Retry delays of refused callers, paced so that their retries don't saturate the link.

A caller that is refused sends its whole request again when it retries. If all callers refused
within a second of an outage were given the same short delay, they would retry several times per
second, and on a narrow link their traffic would displace what the entry waits for: its route table
and its connections to targets. The pacer therefore gives each caller a retry slot of its own.
*/

use {crate::clock::Moment, std::time::Duration};

/// The bytes that a retry sends: a new connection, a request head and, for half of the requests in
/// the users' workload, a body of 4 kB.
const RETRY_BYTES: f64 = 3_000.0;
/// The fraction of the link that retries may use.
const RETRIES_FRACTION: f64 = 0.25;

/// A scheduler of retry slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPacer {
    spacing: Duration,
    next_at: Moment,
}

impl RetryPacer {
    /// Returns a pacer for a link that carries a number of bytes per second in each direction.
    pub(crate) fn new(link_bytes_per_s: f64) -> Self {
        let rate = (link_bytes_per_s * RETRIES_FRACTION).max(RETRY_BYTES);
        Self { spacing: Duration::from_secs_f64(RETRY_BYTES / rate), next_at: Moment(0) }
    }

    /// Returns the delay after which the next caller may retry, between two bounds.
    ///
    /// Callers whose slot is later than the upper bound all get the upper bound: their requests
    /// have no time left after that.
    pub(crate) fn next_delay(
        &mut self,
        now: Moment,
        earliest: Duration,
        latest: Duration,
    ) -> Duration {
        let retry_at = self.next_at.max(now.after(earliest)).min(now.after(latest));
        self.next_at = retry_at.after(self.spacing);
        retry_at.since(now)
    }
}
