/*!
Which targets an entry keeps unused connections to.

A request that must not run twice needs a connection that hasn't carried another one. Connecting to
another region first takes as long as the request's own way there and back, so an unused connection
is kept ready for a target that gets such requests often, if connecting to it takes long.
*/

use {
    crate::clock::Moment,
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeMap, time::Duration},
};

/// The time for which an unused connection is kept. Targets close idle connections after some
/// seconds, and a request that is sent at that moment may be lost.
pub const SPARE_TTL: Duration = Duration::from_millis(3_000);
/// The mean time between two requests to a target up to which it is likely that the next one comes
/// while the connection is kept.
const INTERVAL_MAX: Duration = Duration::from_millis(1_500);
/// The shortest connect time that is worth another connection: that of another region.
const CONNECT_TIME_MIN: Duration = Duration::from_millis(10);
/// The weight of the last request in the mean time between two.
const INTERVAL_SMOOTHING: f64 = 0.3;
/// The largest number of unused connections to a target.
const SPARES_MAX: u32 = 4;
/// The time without unused connections to a target after a request on one of them was lost, or to all
/// targets after losses at two of them: they or the links may drop idle connections.
const LOSS_PAUSE: Duration = Duration::from_secs(30);
/// The longest time between losses at two targets that may have the same cause.
const LOSS_WINDOW: Duration = Duration::from_secs(5);
/// The time without a request after which a target is forgotten.
const TARGET_TTL: Duration = Duration::from_secs(30);

/// What is known of a target's use.
#[derive(Clone, Copy, Debug)]
struct TargetUse {
    last_at: Moment,
    /// The mean time between two requests; none before the second one.
    mean_interval: Option<Duration>,
    /// The last time that it took to connect; none before the first connection.
    connect_time: Option<Duration>,
    paused_until: Moment,
}

/// The requests to each target that need a connection of their own.
#[derive(Clone, Debug, Default)]
pub struct SparePlan {
    targets: BTreeMap<TargetName, TargetUse>,
    paused_until: Moment,
    last_loss: Option<(TargetName, Moment)>,
}

impl SparePlan {
    /// Records a request to a target. Returns the number of unused connections to keep beside the one
    /// that the request gets.
    pub fn record_request(&mut self, target: &TargetName, now: Moment) -> u32 {
        let Some(known) = self.targets.get_mut(target) else {
            let new_use = TargetUse {
                last_at: now,
                mean_interval: None,
                connect_time: None,
                paused_until: Moment::default(),
            };
            self.targets.insert(target.clone(), new_use);
            return 0;
        };
        let interval = now.since(known.last_at);
        let mean = known.mean_interval.unwrap_or(interval).as_secs_f64();
        let mean = mean + INTERVAL_SMOOTHING * (interval.as_secs_f64() - mean);
        known.mean_interval = Some(Duration::from_secs_f64(mean));
        known.last_at = now;
        let connect_time = known.connect_time.unwrap_or_default();
        let is_worth = connect_time >= CONNECT_TIME_MIN && mean <= INTERVAL_MAX.as_secs_f64();
        if !is_worth || now < self.paused_until.max(known.paused_until) {
            return 0;
        }
        // While one connection is being made, further requests may come.
        let during_connect = connect_time.as_secs_f64() / mean.max(f64::EPSILON);
        (1.0 + during_connect).min(f64::from(SPARES_MAX)) as u32
    }

    /// Records the time that it took to connect to a target.
    pub fn record_connected(&mut self, target: &TargetName, elapsed: Duration) {
        if let Some(known) = self.targets.get_mut(target) {
            known.connect_time = Some(elapsed);
        }
    }

    /// Records that a request on an unused connection was lost. Returns whether no target gets such
    /// connections for a while.
    pub fn record_loss(&mut self, target: &TargetName, now: Moment) -> bool {
        if let Some(known) = self.targets.get_mut(target) {
            known.paused_until = now.after(LOSS_PAUSE);
        }
        let last = self.last_loss.replace((target.clone(), now));
        let is_general =
            last.is_some_and(|(last, at)| last != *target && now.since(at) <= LOSS_WINDOW);
        if is_general {
            self.paused_until = now.after(LOSS_PAUSE);
        }
        is_general
    }

    /// Forgets targets that get no requests any more.
    pub fn expire(&mut self, now: Moment) {
        self.targets.retain(|_, known| now.since(known.last_at) < TARGET_TTL);
    }
}
