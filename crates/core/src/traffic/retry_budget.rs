/*!
Retry budget: limits the number of retries.

The retries of a service are limited, over all entries, to a ratio of its requests plus a fixed
slack. Each entry applies the ratio to its own requests and takes an equal share of the slack, so
that the sum stays within the limit without coordination. An attempt counts as a retry only if an
earlier one may have reached a target.
*/

use {
    crate::clock::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// The fraction of the limit that is used: entries may disagree about the number of entries for a
/// while.
const LIMIT_USED_FRACTION: f64 = 0.8;
/// The number of entries that is assumed until it is known; larger than any planned fleet.
const ENTRIES_DEFAULT: usize = 420;

/// The limit of retries, as set by the platform.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// The number of retries per request.
    pub ratio: f64,
    /// The additional number of retries over all entries.
    pub slack: f64,
    /// The time window in which requests and retries are counted.
    pub window: Duration,
}

/// The requests and retries of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Records a request.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.push_back(now);
    }

    /// Records a retry if the limit allows one more; returns whether it does.
    pub fn try_withdraw(&mut self, limit: RetryLimit, entries: usize, now: Moment) -> bool {
        self.expire(limit.window, now);
        let entries = if entries == 0 { ENTRIES_DEFAULT } else { entries };
        let earned = limit.ratio * self.requests.len() as f64;
        let allowed = LIMIT_USED_FRACTION * (earned + limit.slack / entries as f64);
        let fits = (self.retries.len() + 1) as f64 <= allowed;
        if fits {
            self.retries.push_back(now);
        }
        fits
    }

    /// Removes the requests and retries that are older than the window.
    pub fn expire(&mut self, window: Duration, now: Moment) {
        let is_expired = |at: &Moment| now.since(*at) > window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
