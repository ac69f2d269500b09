/*!
The limits of requests at an entry: the sliding window of a shift ceiling, the pacing of a link, and
the retry budget.

Each limit of a region is split among its failure domains: the ceilings on requests in flight and on
shifts in proportion to the domains' slots, the rate of a link evenly. Within a domain, the quota of
shifts is split among the declared entries, and the other quotas among the current members. The
shares of all entries never add up to more than the limit, even during network partitions between
failure domains. A quota that one domain leaves unused is not lent to another.
*/

use {
    crate::clock::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// The number of buckets in a shift window.
const WINDOW_BUCKETS: u32 = 20;

/// The window divided by this is the time within which an admitted request must be sent.
const SEND_TIMEOUT_DIVISOR: u32 = 8;
/// The window divided by this is the time allowed from sending to the start at a target, which
/// includes making a connection.
const CONNECT_TIMEOUT_DIVISOR: u32 = 20;

/// The number of admissions within a sliding time window.
#[derive(Clone, Debug)]
pub struct ShiftWindow {
    buckets: VecDeque<(Moment, u64)>,
    started: Moment,
}

impl ShiftWindow {
    /// Returns the window of a process that just started. It doesn't know the admissions of the
    /// process's earlier incarnations.
    pub fn new(started: Moment) -> Self {
        Self { buckets: VecDeque::new(), started }
    }

    /// Returns whether one more admission stays within the ceiling.
    ///
    /// An admission is counted for longer than the window: by one bucket, and by the time that may
    /// pass until its request starts at a target. So no window contains more starts than the
    /// ceiling. Returns false until the process has run for longer than that, because the
    /// admissions of earlier incarnations are unknown.
    pub fn has_capacity(&mut self, ceiling: u64, window: Duration, now: Moment) -> bool {
        let start_delay_max = Self::send_timeout(window) + window / CONNECT_TIMEOUT_DIVISOR;
        let counted_for = window + window / WINDOW_BUCKETS + start_delay_max;
        if now.since(self.started) <= counted_for {
            return false;
        }
        while self.buckets.front().is_some_and(|(at, _)| now.since(*at) > counted_for) {
            self.buckets.pop_front();
        }
        let count: u64 = self.buckets.iter().map(|(_, count)| count).sum();
        count < ceiling
    }

    /// Returns the time within which an admitted request must be sent.
    pub fn send_timeout(window: Duration) -> Duration {
        window / SEND_TIMEOUT_DIVISOR
    }

    /// Records one admission.
    pub fn record_admission(&mut self, window: Duration, now: Moment) {
        match self.buckets.back_mut() {
            Some((at, count)) if now.since(*at) < window / WINDOW_BUCKETS => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }
}

/// Paces the bytes sent on a link.
///
/// Senders first reserve time, which puts them in order and shows how long the link is booked, and
/// begin to send when that time comes. Senders that come late, because the machine was busy, must
/// not send together: the link would carry more than its rate for as long as they were late.
#[derive(Clone, Debug, Default)]
pub struct LinkPacer {
    /// The end of the reserved time.
    free_at: Moment,
    /// The earliest moment at which the next sender may begin.
    next_send_at: Moment,
}

/// The backlog at which a link stops accepting forwarded requests.
pub const LINK_BACKLOG_MAX: Duration = Duration::from_millis(250);

impl LinkPacer {
    /// Reserves time for some bytes at a rate, and returns how long to wait before sending them.
    /// Reserves nothing and returns `None` if the rate is zero.
    pub fn reserve(&mut self, bytes: u64, bytes_per_second: u64, now: Moment) -> Option<Duration> {
        let start = self.free_at.max(now);
        let duration_us = bytes.saturating_mul(1_000_000).checked_div(bytes_per_second)?;
        self.free_at = start.after(Duration::from_micros(duration_us));
        Some(start.since(now))
    }

    /// Begins to send bytes whose reserved time has come. Returns how long to wait before trying
    /// again if the link still carries bytes of an earlier sender, or zero if the sender may begin.
    /// Returns `None` if the rate is zero.
    pub fn begin(&mut self, bytes: u64, bytes_per_second: u64, now: Moment) -> Option<Duration> {
        let duration_us = bytes.saturating_mul(1_000_000).checked_div(bytes_per_second)?;
        let wait = self.next_send_at.since(now);
        if wait.is_zero() {
            self.next_send_at = now.after(Duration::from_micros(duration_us));
        }
        Some(wait)
    }

    /// Returns the time until the link is free.
    pub fn backlog(&self, now: Moment) -> Duration {
        self.free_at.since(now)
    }
}

/// A budget of retries proportional to the number of admitted requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The credit, in hundredths of an attempt.
    credit: u64,
}

/// The cost of one retry, in hundredths of an attempt.
const RETRY_COST: u64 = 100;
/// The credit for one admitted request, in hundredths of an attempt.
const ADMISSION_CREDIT: u64 = 10;
/// The largest credit, in hundredths of an attempt.
const CREDIT_MAX: u64 = 1_000;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: CREDIT_MAX }
    }
}

impl RetryBudget {
    /// Adds the credit for an admitted request.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + ADMISSION_CREDIT).min(CREDIT_MAX);
    }

    /// Withdraws the cost of one retry, and returns whether the credit was sufficient.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.credit >= RETRY_COST;
        if enough {
            self.credit -= RETRY_COST;
        }
        enough
    }
}
