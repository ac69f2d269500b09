/*!
What a target says of itself with a response, besides its load.

A target knows first that it is in need. What it says is about that target, not about its address. A
limit holds for as long as its later responses state it, a pause for its time, and that it leaves
until it starts again.
*/

use {
    crate::{
        clock::Moment,
        fleet::decision_events::DecisionEvent,
        traffic::{router::RequestRouter, target_departure::TargetDeparture},
    },
    hemlockspool_model::names::{ServiceName, TargetName},
    std::time::Duration,
};

/// What one response of a target says about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// The number of requests per second that the target takes from all entries together; none if
    /// it states no limit. Finite and not negative.
    pub rate_limit: Option<f64>,
    /// Whether the target leaves, and wants no new request any more.
    pub is_leaving: bool,
    /// The time for which the target wants no request from this entry, with a request that it turned
    /// away.
    pub pause: Option<Duration>,
    /// Whether the response states something about the target that can't be used, which counts as
    /// not stated.
    pub is_malformed: bool,
}

/// The rate limit that a target stated, or that it stated none, with the time of the response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StatedLimit {
    pub per_s: Option<f64>,
    pub heard_at: Moment,
}

impl RequestRouter {
    /// Records what a target said of itself with a response of its own.
    pub fn record_notice(&mut self, target: &TargetName, notice: TargetNotice, now: Moment) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if notice.is_malformed && !state.malformed_logged {
            state.malformed_logged = true;
            self.log_events.push(DecisionEvent::NoticeMalformed { target: target.clone() });
        }
        if notice.is_leaving {
            match &mut state.departure {
                Some(departure) => departure.record_stated(now),
                None => {
                    state.departure = Some(TargetDeparture::stated(now));
                    self.log_events.push(DecisionEvent::TargetLeaving { target: target.clone() });
                }
            }
        }
        if let Some(duration) = notice.pause
            && state.pause(duration, now)
        {
            let (target, millis) = (target.clone(), duration.as_millis() as u64);
            self.log_events.push(DecisionEvent::TargetPaused { target, millis });
        }
        // Replicas pass limits on with this precision.
        let per_s = notice.rate_limit.map(|per_s| f64::from(per_s as f32));
        state.stated_limit = Some(StatedLimit { per_s, heard_at: now });
        if state.rate_share.map(|share| share.per_s) != per_s {
            self.update_share(target, now);
        }
    }

    /// Returns the time until the first of a service's targets takes requests from this entry again,
    /// or zero if one does now or none will as far as is known.
    pub(super) fn time_until_open(&self, service: &ServiceName, now: Moment) -> Duration {
        let pools = self.pools.get(service).into_iter().flat_map(|pools| pools.values());
        let states = pools.flatten().filter_map(|name| self.targets.get(name));
        let usable = states
            .filter(|state| state.is_eligible() && !self.evacuated.contains(&state.info.domain));
        let opens_at = usable.filter_map(|state| state.closed_until(now)).min();
        opens_at.map_or(Duration::ZERO, |at| at.since(now))
    }
}
