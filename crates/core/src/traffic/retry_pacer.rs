/*!
When refused callers may come back, so that they don't fill the link.

A caller that an entry can't serve sends its whole request again when it comes back. Told the same short
time each, those of a second of outage come back several times a second, and on a narrow link they keep
out what the entry waits for: its table, and the connections to targets. So each gets a turn.
*/

use {crate::clock::Moment, std::time::Duration};

/// What a caller that comes back sends, in bytes: a new connection, a request head and, for half of
/// the requests that the users describe, 4 kB of body.
const RETURN_BYTES: f64 = 3_000.0;
/// The part of the link that returning callers may use.
const RETURNS_SHARE: f64 = 0.25;

/// The turns of callers that come back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPacer {
    spacing: Duration,
    next: Moment,
}

impl RetryPacer {
    /// Makes the pacer of a link that carries some bytes a second each way.
    pub(crate) fn new(link_bytes_per_s: f64) -> Self {
        let rate = (link_bytes_per_s * RETURNS_SHARE).max(RETURN_BYTES);
        Self { spacing: Duration::from_secs_f64(RETURN_BYTES / rate), next: Moment(0) }
    }

    /// Returns when the next caller may come back, between two bounds.
    ///
    /// Callers that would have to wait for longer than the upper bound all wait for that long: later
    /// they have no time left.
    pub(crate) fn turn(&mut self, now: Moment, soonest: Duration, latest: Duration) -> Duration {
        let at = self.next.max(now.after(soonest)).min(now.after(latest));
        self.next = at.after(self.spacing);
        at.since(now)
    }
}
