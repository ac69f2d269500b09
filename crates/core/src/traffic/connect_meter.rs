/*!
Whether connections to targets take long because of this entry's own link.

A target that doesn't answer a connection in time is most likely gone. When most targets don't, the
packets wait at this entry: more callers came than its link carries. Giving up early then serves nobody,
callers come again, and the link stays full; shutting the targets out makes more work of it.
*/

use std::time::Duration;

/// How long a connection to a target may take: two exchanges with the farthest region and a lost
/// packet's wait at a near one.
const PATIENCE: Duration = Duration::from_millis(400);
/// The same within the region while connections there are quick: many times what they take, and a lost
/// packet is sent again only after 1 s. The request may then be in time at another target.
const PATIENCE_NEAR: Duration = Duration::from_millis(150);
/// The same while this entry's link is full: above the 1 s after which TCP sends a lost packet again, and
/// about the wait behind the requests of a second that come at two and a half times the link's rate.
const PATIENCE_FULL: Duration = Duration::from_millis(1_500);
/// The part of a request's time that a connection may take, so that it can be refused as not run.
const LEFT_PART: f64 = 0.8;
/// The weight of one connection in the share of those that took too long.
const MISS_WEIGHT: f64 = 0.1;
/// The share of connections that took too long from which on the link counts as full.
const MISSES_FULL: f64 = 0.4;

/// The weight of one connection in the mean time of those to targets of the entry's region.
const NEAR_WEIGHT: f64 = 0.1;
/// The mean time up to which they are made as on an idle link: ten times what they take there.
const NEAR_CALM_MS: f64 = 40.0;
/// The mean time that is assumed before any was made: an entry may start on a full link.
const NEAR_FIRST_MS: f64 = 100.0;

/// The share of this entry's connections that took too long, over all targets, and how long those took
/// that were made within the region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectMeter {
    missed: f64,
    near_ms: f64,
}

impl Default for ConnectMeter {
    fn default() -> Self {
        Self { missed: 0.0, near_ms: NEAR_FIRST_MS }
    }
}

/// How long a connection may take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ConnectTimeout {
    /// The time that it may take.
    pub limit: Duration,
    /// Whether a connection that takes longer says something of its target or of the link, and not only
    /// that its request had little time left.
    pub is_conclusive: bool,
}

impl ConnectMeter {
    /// Counts a connection.
    pub(crate) fn count(&mut self, made: bool) {
        let missed = if made { 0.0 } else { 1.0 };
        self.missed += MISS_WEIGHT * (missed - self.missed);
    }

    /// Takes in how long a connection to a target of the entry's region took.
    pub(crate) fn made_near(&mut self, took: Duration) {
        self.near_ms += NEAR_WEIGHT * (took.as_secs_f64() * 1_000.0 - self.near_ms);
    }

    /// Tells whether this entry's own link is no reason for a connection to take long.
    pub(crate) fn is_link_calm(&self) -> bool {
        self.near_ms <= NEAR_CALM_MS && !self.is_link_full()
    }

    /// Tells whether connections take long whatever the target.
    pub(crate) fn is_link_full(&self) -> bool {
        self.missed >= MISSES_FULL
    }

    /// Returns how long a connection may take for a request that has some time left, to a target of
    /// the entry's region or of another.
    pub(crate) fn timeout(&self, near: bool, left: Duration) -> ConnectTimeout {
        let usual = if near && self.is_link_calm() { PATIENCE_NEAR } else { PATIENCE };
        let most = if self.is_link_full() { PATIENCE_FULL } else { usual };
        let limit = most.min(left.mul_f64(LEFT_PART));
        ConnectTimeout { limit, is_conclusive: limit >= usual }
    }
}
