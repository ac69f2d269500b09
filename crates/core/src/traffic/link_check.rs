/*!
Exchanges with targets that show whether this entry's link delays packets.

Late replies of all replicas look like a full link, although only the replicas may be slow. Quick
exchanges with others tell the two apart. While replicas are late and nothing else is exchanged, the
entry connects to targets for this alone, in turn and at a limited rate. The results say nothing about
the targets: what matters is only how long the exchange took.
*/

use {
    crate::{
        clock::Moment,
        fleet::decision_events::DecisionEvent,
        traffic::{
            router::RequestRouter,
            send_times::UNCOUNTED_WAIT,
            target_state::{TargetHealth, TargetState},
        },
    },
    hemlockspool_model::names::TargetName,
    std::{net::SocketAddr, time::Duration},
};

/// The shortest interval of checks.
const INTERVAL: Duration = Duration::from_millis(100);
/// The time before the last exchange says nothing more from which on another one is begun: two
/// intervals, so that one of them may fail or begin late.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// The time without checks after which the next one is logged.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// An exchange with a target that shows whether this entry's link delays packets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkCheck {
    /// The address of the target.
    pub address: SocketAddr,
    /// The name of the target.
    pub target: TargetName,
    /// The path at which it tells its health; none if it limits its requests.
    pub path: Option<String>,
    /// The time after which the exchange is given up, as it would show nothing.
    pub limit: Duration,
}

/// The checks that were made.
#[derive(Debug, Default)]
pub(crate) struct LinkCheckState {
    last: Option<(TargetName, Moment)>,
    count: u64,
}

impl RequestRouter {
    /// Returns the number of checks of this entry's link that were begun.
    pub fn link_check_count(&self) -> u64 {
        self.link_checks.count
    }

    /// Returns the check that is due while replies of replicas are late, unless other exchanges tell
    /// as much.
    pub(crate) fn next_link_check(&mut self, now: Moment) -> Option<LinkCheck> {
        let last_at = self.link_checks.last.as_ref().map(|(_, at)| *at);
        let is_covered = self.send_times.uncounted_until(now) > now.after(LEAD_TIME);
        if is_covered || last_at.is_some_and(|at| now < at.after(INTERVAL)) {
            return None;
        }
        let target = self.choose_checked(now)?;
        let (address, path) = self.probe_endpoint(&target)?;
        let path = Some(path).filter(|_| !self.targets[&target].has_limit());
        if last_at.is_none_or(|at| now.since(at) >= LOG_PAUSE) {
            let target = target.clone();
            self.log_events.push(DecisionEvent::LinkChecked { target });
        }
        self.link_checks.last = Some((target.clone(), now));
        self.link_checks.count += 1;
        Some(LinkCheck { address, target, path, limit: UNCOUNTED_WAIT })
    }

    /// Chooses the next target among those that take requests; of other regions or with a rate limit
    /// only if there are no others.
    fn choose_checked(&self, now: Moment) -> Option<TargetName> {
        let last_target = self.link_checks.last.as_ref().map(|(target, _)| target);
        let is_usable = |state: &TargetState| {
            !state.is_draining()
                && state.health == TargetHealth::Healthy
                && !state.is_paused(now)
                && !self.evacuated.contains(&state.info.domain)
        };
        let rank = |(target, state): &(&TargetName, &TargetState)| {
            let is_remote = state.region != self.settings.region;
            (is_remote, state.has_limit(), Some(*target) <= last_target)
        };
        let usable = self.targets.iter().filter(|(_, state)| is_usable(state));
        usable.min_by_key(rank).map(|(target, _)| target.clone())
    }
}
