/*!
The departure of a target that drains, and its return under the same name.

A target drains because the list shows it so or because it says that it leaves, and it gets no
requests until it has stopped. It may start again under its name without ever missing from the list.
The list that shows it as ready again can't be trusted at once: for a moment it may be an older one,
from another reader, or one that hasn't shown the target as draining yet. A cold start that is newly
on the list, or another address, is proof of a new start. Without one, the target must be shown as
ready for a while. If the list never showed it as draining, only a health check tells that the
target doesn't leave any more.
*/

use {
    crate::{
        clock::Moment,
        fleet::decision_events::DecisionEvent,
        traffic::{router::RequestRouter, target_state::TargetState},
    },
    hemlockspool_model::names::TargetName,
    std::time::Duration,
};

/// The time for which the list must show a target as ready after it has shown it as draining: longer
/// than an older list is in use.
const READY_TIME_MIN: Duration = Duration::from_secs(4);
/// The time after which a target that said that it leaves, and that the list doesn't show as draining,
/// is probed: the list shows a target that stops much sooner.
const LEAVING_PROBE_DELAY: Duration = Duration::from_secs(12);
/// The interval of these probes.
const LEAVING_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// What is known of the departure of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TargetDeparture {
    /// Whether the list has shown the target as draining.
    is_listed: bool,
    /// The time since which the list shows the target as ready, after it has shown it as draining.
    ready_since: Option<Moment>,
    /// The time of the next probe, if the target said that it leaves.
    probe_at: Option<Moment>,
}

impl TargetDeparture {
    /// Returns the departure of a target that the list shows as draining.
    pub(crate) fn listed() -> Self {
        Self { is_listed: true, ready_since: None, probe_at: None }
    }

    /// Returns the departure of a target that says that it leaves.
    pub(crate) fn stated(now: Moment) -> Self {
        let probe_at = Some(now.after(LEAVING_PROBE_DELAY));
        Self { is_listed: false, ready_since: None, probe_at }
    }

    /// Records that the target says again that it leaves.
    pub(crate) fn record_stated(&mut self, now: Moment) {
        self.ready_since = None;
        self.probe_at = Some(now.after(LEAVING_PROBE_DELAY));
    }

    /// Records how the list shows the target.
    pub(crate) fn record_listed(&mut self, draining: bool, now: Moment) {
        if draining {
            *self = Self::listed();
        } else if self.is_listed {
            self.ready_since.get_or_insert(now);
        }
    }

    fn is_over(&self, now: Moment) -> bool {
        self.ready_since.is_some_and(|since| now.since(since) >= READY_TIME_MIN)
    }

    /// Returns whether a probe is due, and plans the next one.
    fn start_probe(&mut self, now: Moment) -> bool {
        let is_due = !self.is_listed && self.probe_at.is_some_and(|at| now >= at);
        if is_due {
            self.probe_at = Some(now.after(LEAVING_PROBE_INTERVAL));
        }
        is_due
    }
}

impl TargetState {
    /// Returns whether a probe is due that shows whether the target still leaves.
    pub(super) fn start_departure_probe(&mut self, now: Moment) -> bool {
        self.departure.as_mut().is_some_and(|departure| departure.start_probe(now))
    }

    /// Ends the departure after a successful probe, if the list doesn't show the target as draining.
    /// Returns whether it did.
    pub(super) fn finish_departure_probe(&mut self) -> bool {
        let has_returned = self.departure.is_some_and(|departure| !departure.is_listed);
        if has_returned {
            self.reset();
        }
        has_returned
    }
}

impl RequestRouter {
    /// Ends the departures of targets that the list has shown as ready for long enough.
    pub(super) fn update_departures(&mut self, now: Moment) {
        let mut returned: Vec<TargetName> = Vec::new();
        for (name, state) in &mut self.targets {
            if state.departure.is_some_and(|departure| departure.is_over(now)) {
                state.reset();
                returned.push(name.clone());
            }
        }
        returned.into_iter().for_each(|target| self.log_return(target));
    }

    /// Logs that a target that drained takes requests again.
    pub(super) fn log_return(&mut self, target: TargetName) {
        self.log_events.push(DecisionEvent::TargetReturned { target });
    }
}
