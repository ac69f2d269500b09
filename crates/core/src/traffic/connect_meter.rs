/*!
Connect times and timeouts, which show whether this entry's own link is congested.

A target that doesn't accept a connection in time is most likely gone. When most targets don't, the
packets are delayed at this entry, because callers send more than its link carries. Short timeouts
then serve nobody: callers retry and the link stays saturated, and ejecting the targets makes it
worse. A single large body delays the packets of a few connections in the same way.
*/

use std::time::Duration;

/// The default connect timeout: allows two round trips to the farthest region and the delay caused
/// by a lost packet in a near one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The connect timeout within the region while the link is uncongested: many times the usual
/// connect time. A lost packet is retransmitted only after 1 s, while the request may still be in
/// time at another target.
const CONNECT_TIMEOUT_LOCAL: Duration = Duration::from_millis(150);
/// The connect timeout while this entry's link is saturated: longer than the 1 s after which TCP
/// retransmits a lost packet, and about the queueing delay after one second of requests at two and
/// a half times the link's rate.
const CONNECT_TIMEOUT_SATURATED: Duration = Duration::from_millis(1_500);
/// The longest backlog of this entry's link beside which a timeout still says something about the
/// target: it delays a connection by a third of the shortest timeout.
const BACKLOG_CONCLUSIVE_MAX: Duration = Duration::from_millis(50);
/// The fraction of a request's remaining time that a connection may take; the rest leaves time to
/// refuse the request as not run.
const TIME_LEFT_FRACTION: f64 = 0.8;
/// The weight of one attempt in the timeout rate.
const TIMEOUT_RATE_SMOOTHING: f64 = 0.1;
/// The timeout rate at which the link counts as saturated.
const SATURATED_TIMEOUT_RATE: f64 = 0.4;

/// The weight of one connection in the mean connect time within the region.
const LOCAL_MEAN_SMOOTHING: f64 = 0.1;
/// The mean connect time within the region up to which the link counts as uncongested: ten times
/// that of an idle link.
const UNCONGESTED_LOCAL_MEAN_MS: f64 = 40.0;
/// The mean connect time that is assumed before the first connection: an entry may start on a
/// saturated link.
const LOCAL_MEAN_DEFAULT_MS: f64 = 100.0;

/// The fraction of this entry's attempts, at all targets, that timed out connecting, and the mean
/// connect time within its region. Attempts on reused connections count as connected in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectMeter {
    timeout_rate: f64,
    local_mean_ms: f64,
}

impl Default for ConnectMeter {
    fn default() -> Self {
        Self { timeout_rate: 0.0, local_mean_ms: LOCAL_MEAN_DEFAULT_MS }
    }
}

/// The timeout of one connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ConnectTimeout {
    /// The longest time the connection may take.
    pub limit: Duration,
    /// Whether a timeout says something about the target or the link, rather than only that the
    /// request had little time left.
    pub is_conclusive: bool,
}

impl ConnectMeter {
    /// Records whether an attempt had a connection, new or reused, or timed out connecting.
    pub(crate) fn record_outcome(&mut self, connected: bool) {
        let sample = if connected { 0.0 } else { 1.0 };
        self.timeout_rate += TIMEOUT_RATE_SMOOTHING * (sample - self.timeout_rate);
    }

    /// Records the time that a connection to a target of the entry's region took.
    pub(crate) fn record_local_time(&mut self, elapsed: Duration) {
        self.local_mean_ms +=
            LOCAL_MEAN_SMOOTHING * (elapsed.as_secs_f64() * 1_000.0 - self.local_mean_ms);
    }

    /// Returns whether this entry's own link can be ruled out as the cause of a timeout.
    pub(crate) fn is_link_uncongested(&self) -> bool {
        self.local_mean_ms <= UNCONGESTED_LOCAL_MEAN_MS && !self.is_link_saturated()
    }

    /// Returns whether connections time out regardless of the target.
    pub(crate) fn is_link_saturated(&self) -> bool {
        self.timeout_rate >= SATURATED_TIMEOUT_RATE
    }

    /// Returns the connect timeout for a request with some time left, for a target of the entry's
    /// region or of another one. `backlog` is the time that the entry's link needs for the bodies
    /// and responses that it is about to carry, which delay the connection.
    pub(crate) fn timeout(
        &self,
        is_local: bool,
        time_left: Duration,
        backlog: Duration,
    ) -> ConnectTimeout {
        let usual = if is_local && self.is_link_uncongested() {
            CONNECT_TIMEOUT_LOCAL
        } else {
            CONNECT_TIMEOUT
        };
        let longest = if self.is_link_saturated() { CONNECT_TIMEOUT_SATURATED } else { usual };
        let delay = if is_congested(backlog) { backlog } else { Duration::ZERO };
        let limit = (longest + delay).min(time_left.mul_f64(TIME_LEFT_FRACTION));
        let is_conclusive = limit >= usual && delay.is_zero();
        ConnectTimeout { limit, is_conclusive }
    }
}

/// Returns whether a backlog of this entry's link may be the cause of a connect timeout.
pub(crate) fn is_congested(backlog: Duration) -> bool {
    backlog > BACKLOG_CONCLUSIVE_MAX
}
