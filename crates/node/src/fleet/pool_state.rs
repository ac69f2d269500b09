/*!
The kept connections of a pool, and the unused ones that are being made.
*/

use {
    super::connection_pool::TargetConnection,
    hemlockspool_core::{
        clock::Moment,
        traffic::{
            kept_connections::{ConnectionHistory, KeptConnections, KeptLimits},
            spare_plan::{SPARE_TTL, SparePlan},
        },
    },
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeMap, time::Duration},
};

/// The limits on kept connections. The total takes 1.7 MB, and suffices to keep every connection that
/// a busy entry used in the last two seconds.
const KEPT_LIMITS: KeptLimits = KeptLimits { reused_per_target: 8, total: 64 };

/// What a pool keeps for later requests.
pub(super) struct PoolState {
    plan: SparePlan,
    kept: KeptConnections<TargetConnection>,
    /// The number of unused connections to each target that are being made.
    connecting: BTreeMap<TargetName, u32>,
}

impl PoolState {
    /// Returns a state without connections.
    pub(super) fn new() -> Self {
        Self {
            plan: SparePlan::default(),
            kept: KeptConnections::new(KEPT_LIMITS),
            connecting: BTreeMap::new(),
        }
    }

    /// Takes a connection to a target that has carried a request.
    pub(super) fn take_reused(
        &mut self,
        target: &TargetName,
        now: Moment,
    ) -> Option<TargetConnection> {
        self.kept.take(target, ConnectionHistory::Reused, TargetConnection::is_ready, now)
    }

    /// Takes an unused connection to a target for a request. Returns it, and the number of connections
    /// to make in addition; each of them must be reported to [`PoolState::finish_connecting`].
    pub(super) fn take_unused(
        &mut self,
        target: &TargetName,
        now: Moment,
    ) -> (Option<TargetConnection>, u32) {
        let wanted = self.plan.record_request(target, now);
        let taken =
            self.kept.take(target, ConnectionHistory::Unused, TargetConnection::is_ready, now);
        let kept = self.kept.unused_count(target) as u32;
        let connecting = self.connecting.entry(target.clone()).or_default();
        let missing = wanted.saturating_sub(kept + *connecting);
        *connecting += missing;
        (taken, missing)
    }

    /// Adds the result of making an unused connection.
    pub(super) fn finish_connecting(
        &mut self,
        target: &TargetName,
        connection: Option<TargetConnection>,
        now: Moment,
    ) {
        if let Some(connecting) = self.connecting.get_mut(target) {
            *connecting = connecting.saturating_sub(1);
        }
        if let Some(connection) = connection {
            self.kept.keep(target, ConnectionHistory::Unused, connection, SPARE_TTL, now);
        }
    }

    /// Keeps a connection that has carried a request.
    pub(super) fn put_back(
        &mut self,
        target: &TargetName,
        connection: TargetConnection,
        idle_time: Duration,
        now: Moment,
    ) {
        self.kept.keep(target, ConnectionHistory::Reused, connection, idle_time, now);
    }

    /// Records the time that it took to connect to a target.
    pub(super) fn record_connected(&mut self, target: &TargetName, elapsed: Duration) {
        self.plan.record_connected(target, elapsed);
    }

    /// Records that a request on an unused connection was lost, and closes the others to its target,
    /// or all others if that happens at several targets.
    pub(super) fn record_loss(&mut self, target: &TargetName, now: Moment) {
        let is_general = self.plan.record_loss(target, now);
        self.kept.close_unused((!is_general).then_some(target));
    }

    /// Closes expired connections and returns the number of those that are left.
    pub(super) fn close_expired(&mut self, now: Moment) -> usize {
        self.plan.expire(now);
        self.connecting.retain(|_, connecting| *connecting > 0);
        self.kept.close_expired(|connection| !connection.is_closed(), now);
        self.kept.count()
    }
}
