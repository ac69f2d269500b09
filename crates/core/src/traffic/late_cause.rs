/*!
The cause of a response that missed its route's goal: the part that took the most time beyond that of
a warm object at a target with free slots.
*/

use {crate::clock::Moment, std::time::Duration};

/// What is known of the attempt that a response came from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTimes {
    /// The start of the attempt.
    pub started_at: Moment,
    /// The time that it took to connect; zero on a connection that was there before.
    pub connect_time: Duration,
    /// The time from when the target had the whole request to the head of its response.
    pub processing_time: Duration,
    /// The load of the target when it was chosen, as a fraction of its slots.
    pub utilization: f64,
    /// Whether the target is in the entry's own region.
    pub is_local: bool,
}

/// The cause of a response that missed its route's goal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LateCause {
    /// Earlier attempts.
    EarlierAttempts,
    /// A new connection to the target.
    Connecting,
    /// The request waited at the target, which had no free slots when it was chosen.
    QueuedAtTarget,
    /// The target took long although it had free slots: the object was new to it, or it is slow or
    /// far away.
    SlowTarget,
    /// The bodies of the request and of the response.
    Bodies,
}

impl LateCause {
    /// Returns the cause of a response that took `elapsed` since its request arrived.
    pub(crate) fn of(
        times: &AttemptTimes,
        arrived_at: Moment,
        elapsed: Duration,
        warm_processing: Duration,
    ) -> Self {
        let earlier = times.started_at.since(arrived_at);
        let known = earlier + times.connect_time + times.processing_time;
        let at_target =
            if times.utilization >= 1.0 { Self::QueuedAtTarget } else { Self::SlowTarget };
        let parts = [
            (earlier, Self::EarlierAttempts),
            (times.connect_time, Self::Connecting),
            (times.processing_time.saturating_sub(warm_processing), at_target),
            (elapsed.saturating_sub(known), Self::Bodies),
        ];
        parts.into_iter().max_by_key(|(time, _)| *time).map_or(at_target, |(_, cause)| cause)
    }

    /// Returns the text that appears in events.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::EarlierAttempts => "earlier attempts",
            Self::Connecting => "connecting",
            Self::QueuedAtTarget => "queued at the target",
            Self::SlowTarget => "slow target or new object",
            Self::Bodies => "bodies",
        }
    }
}
