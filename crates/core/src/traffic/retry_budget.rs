/*!
How many requests may be sent a second time.

Repeats of a service are bounded over all entries by a ratio of its requests and a fixed slack. Each
entry holds the ratio for its own requests and takes an equal part of the slack, so the sum holds
without talk.
*/

use {
    crate::clock::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// The part of the bound that is used: entries may see different numbers of each other for a while.
const BUDGET_USED: f64 = 0.8;
/// The number of entries assumed until it is known; more than any fleet planned for has.
const ENTRIES_UNKNOWN: usize = 420;

/// The bound, as the platform sets it.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those, over all entries.
    pub slack: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

/// The count of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.push_back(now);
    }

    /// Counts a repeat if there is room for it; tells whether there is.
    pub fn try_withdraw(&mut self, bound: RetryLimit, entries: usize, now: Moment) -> bool {
        self.expire(bound.window, now);
        let entries = if entries == 0 { ENTRIES_UNKNOWN } else { entries };
        let own = bound.ratio * self.requests.len() as f64;
        let most = BUDGET_USED * (own + bound.slack / entries as f64);
        let fits = (self.repeats.len() + 1) as f64 <= most;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    /// Forgets what is older than the window.
    pub fn expire(&mut self, window: Duration, now: Moment) {
        let old = |at: &Moment| now.since(*at) > window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(old) {
            self.repeats.pop_front();
        }
    }
}
