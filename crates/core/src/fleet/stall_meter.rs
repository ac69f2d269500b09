/*!
Recent stalls of the process, for example because it was stopped or its machine suspended.

What a process reads right after a stall may have been sent long before, and its sender may have
given up. Its socket doesn't tell when the bytes arrived.
*/

use std::time::Duration;

/// The shortest time without a tick that counts as a stall: ticks come far more often, and operators
/// wait for a response for longer.
const STALL_MIN: Duration = Duration::from_millis(500);
/// The time after a stall within which the process reads what arrived meanwhile.
const BACKLOG_TIME: Duration = Duration::from_millis(1_000);

/// Detects stalls by the clock of the regular ticks, which must include the time for which the
/// machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct StallMeter {
    last_tick: Duration,
    stall_ended_at: Option<Duration>,
}

impl StallMeter {
    /// Creates a meter that has seen no stall. Times are those since any fixed point.
    pub fn new(now: Duration) -> Self {
        Self { last_tick: now, stall_ended_at: None }
    }

    /// Records a tick.
    pub fn record_tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) >= STALL_MIN {
            self.stall_ended_at = Some(now);
        }
        self.last_tick = now;
    }

    /// Returns whether what is read now may have arrived before or during a stall.
    pub fn has_backlog(&self, now: Duration) -> bool {
        let is_late = now.saturating_sub(self.last_tick) >= STALL_MIN;
        is_late || self.stall_ended_at.is_some_and(|at| now.saturating_sub(at) < BACKLOG_TIME)
    }
}
