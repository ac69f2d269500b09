/*!
Ceilings that hold without talking, and the budget of retries.

A ceiling of a region is split among its failure domains by their slots, and within a domain among
the entries that serve. The parts of all entries never add up to more than the ceiling, whoever is
cut off from whom. What one domain leaves unused is not lent to another.
*/

use {
    crate::clock::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Pieces that a shift window is counted in.
const WINDOW_PIECES: u32 = 20;

/// The part of a window within which an admitted request must be sent.
const SEND_PART: u32 = 8;
/// The part of a window that the way to a target may take: connections are made on it.
const WAY_PART: u32 = 20;

/// Admissions within a sliding window of time.
#[derive(Clone, Debug)]
pub struct ShiftWindow {
    pieces: VecDeque<(Moment, u64)>,
    started: Moment,
}

impl ShiftWindow {
    /// Makes the window of a process that starts, which doesn't know what an earlier life of it
    /// admitted.
    pub fn new(started: Moment) -> Self {
        Self { pieces: VecDeque::new(), started }
    }

    /// Tells whether one more admission fits; none does before one window has passed.
    ///
    /// An admission counts for longer than the window: by a piece, and by the time that may pass until
    /// its request begins at a target, so that no window holds more beginnings than the ceiling.
    pub fn has_capacity(&mut self, ceiling: u64, window: Duration, now: Moment) -> bool {
        let until_begun = Self::send_span(window) + window / WAY_PART;
        let stands = window + window / WINDOW_PIECES + until_begun;
        if now.since(self.started) <= stands {
            return false;
        }
        while self.pieces.front().is_some_and(|(at, _)| now.since(*at) > stands) {
            self.pieces.pop_front();
        }
        let count: u64 = self.pieces.iter().map(|(_, count)| count).sum();
        count < ceiling
    }

    /// Returns within which time an admitted request must be sent.
    pub fn send_span(window: Duration) -> Duration {
        window / SEND_PART
    }

    /// Counts one admission.
    pub fn count(&mut self, window: Duration, now: Moment) {
        match self.pieces.back_mut() {
            Some((at, count)) if now.since(*at) < window / WINDOW_PIECES => *count += 1,
            _ => self.pieces.push_back((now, 1)),
        }
    }
}

/// The bytes that may still be sent on a link, as the moment at which it is free.
#[derive(Clone, Debug, Default)]
pub struct LinkPacer {
    free_at: Moment,
}

/// How far ahead a link may be booked before requests are refused.
pub const LINK_BACKLOG_MAX: Duration = Duration::from_millis(250);

impl LinkPacer {
    /// Books bytes at a rate, and returns how long to wait before sending them; none when the rate
    /// is zero, and nothing is booked.
    pub fn reserve(&mut self, bytes: u64, bytes_per_second: u64, now: Moment) -> Option<Duration> {
        let start = self.free_at.max(now);
        let micros = bytes.saturating_mul(1_000_000).checked_div(bytes_per_second)?;
        self.free_at = start.after(Duration::from_micros(micros));
        Some(start.since(now))
    }

    /// Returns how far ahead the link is booked.
    pub fn backlog(&self, now: Moment) -> Duration {
        self.free_at.since(now)
    }
}

/// Extra attempts in proportion to first ones.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In hundredths of an attempt.
    credit: u64,
}

/// What one attempt costs, in hundredths.
const ATTEMPT_COST: u64 = 100;
/// What a first attempt earns, in hundredths: a tenth of an attempt.
const ATTEMPT_EARNS: u64 = 10;
/// The most that can be saved up, in hundredths.
const CREDIT_MAX: u64 = 1_000;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: CREDIT_MAX }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + ATTEMPT_EARNS).min(CREDIT_MAX);
    }

    /// Takes an extra attempt out of the budget, if it has one.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.credit >= ATTEMPT_COST;
        if enough {
            self.credit -= ATTEMPT_COST;
        }
        enough
    }
}
