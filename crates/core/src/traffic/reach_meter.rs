/*!
Whether this entry reaches targets at all.

A target that can't be connected to is most likely gone. If no target can be, although other
instances answer quickly, this entry has lost its links to them: it is cut off. Other entries may
still reach the targets.
*/

use {
    crate::clock::Moment,
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeSet, time::Duration},
};

/// The number of different targets, without one that could be connected to in between, that must
/// have failed.
const FAILED_TARGETS_MIN: usize = 4;
/// The number of failed probes in a row from which on they count like failed connections of
/// requests. Probes are made only of targets that failed before, some of which may be gone.
const FAILED_PROBES_MIN: u32 = 8;
/// The shortest time without a successful connection, since several targets may refuse connections
/// for a moment while they are busy.
const FAILING_TIME_MIN: Duration = Duration::from_millis(250);
/// The longest round trip to the followed replica beside which failed connections aren't due to a
/// saturated link of this entry: more than twice that to the farthest region.
const PEER_ROUND_TRIP_MAX: Duration = Duration::from_millis(200);
/// The longest time since the last reply of the followed replica: several heartbeats.
const REPLY_AGE_MAX: Duration = Duration::from_millis(1_000);

/// The failed connections since the last successful one.
#[derive(Debug, Default)]
pub(crate) struct ReachMeter {
    failed: BTreeSet<TargetName>,
    failed_probes: u32,
    failing_since: Option<Moment>,
    cut_off_since: Option<Moment>,
    /// The time of the last reply of the followed replica, and how long it took.
    last_reply: Option<(Moment, Duration)>,
}

impl ReachMeter {
    /// Returns whether this entry is cut off from targets.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the targets that couldn't be connected to since the last successful connection.
    pub(crate) fn failed_targets(&self) -> &BTreeSet<TargetName> {
        &self.failed
    }

    /// Records the time from a heartbeat to its reply.
    pub(crate) fn record_reply(&mut self, elapsed: Duration, now: Moment) {
        self.last_reply = Some((now, elapsed));
    }

    /// Returns whether this entry's own link can be ruled out as the cause of failed connections.
    fn is_link_fast(&self, now: Moment) -> bool {
        self.last_reply.is_some_and(|(at, elapsed)| {
            elapsed <= PEER_ROUND_TRIP_MAX && now.since(at) <= REPLY_AGE_MAX
        })
    }

    /// Records a target that couldn't be connected to.
    pub(crate) fn record_failure(&mut self, target: &TargetName, now: Moment) {
        self.failed.insert(target.clone());
        self.failing_since.get_or_insert(now);
    }

    /// Records a target that couldn't be connected to by a probe, while no target takes requests.
    pub(crate) fn record_failed_probe(&mut self, target: &TargetName, now: Moment) {
        self.failed_probes = self.failed_probes.saturating_add(1);
        if self.failed_probes >= FAILED_PROBES_MIN {
            self.record_failure(target, now);
        }
    }

    /// Returns the number of failed targets, of `targets` in total, if the entry counts as cut off
    /// from now on.
    pub(crate) fn start_cut_off(&mut self, targets: usize, now: Moment) -> Option<usize> {
        let since = self.failing_since?;
        let begins = self.cut_off_since.is_none()
            && self.failed.len() >= FAILED_TARGETS_MIN.min(targets)
            && now.since(since) >= FAILING_TIME_MIN
            && self.is_link_fast(now);
        if !begins {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(self.failed.len())
    }

    /// Records a successful connection. Returns the targets that couldn't be connected to before,
    /// and for how long the entry was cut off, if it was.
    pub(crate) fn record_success(
        &mut self,
        now: Moment,
    ) -> Option<(BTreeSet<TargetName>, Duration)> {
        self.failing_since = None;
        self.failed_probes = 0;
        let failed = std::mem::take(&mut self.failed);
        let since = self.cut_off_since.take()?;
        Some((failed, now.since(since)))
    }
}
