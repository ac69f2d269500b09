/*!
Unused connections to targets, kept ready for requests that must not run twice.
*/

use {
    super::connection_pool::TargetConnection,
    crate::shell::moment_since,
    hemlockspool_core::traffic::spare_plan::{SPARE_TTL, SparePlan},
    hemlockspool_model::names::TargetName,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// A connection that has carried no request.
struct SpareConnection {
    connection: TargetConnection,
    expires_at: Instant,
}

impl SpareConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.expires_at > now && self.connection.is_ready()
    }
}

#[derive(Default)]
struct SpareState {
    plan: SparePlan,
    /// The unused connections to each target, the oldest first.
    connections: BTreeMap<TargetName, Vec<SpareConnection>>,
    /// The number of connections to each target that are being made.
    connecting: BTreeMap<TargetName, u32>,
}

/// The unused connections to all targets.
pub(super) struct SpareConnections {
    state: Mutex<SpareState>,
    /// The zero of the plan's clock.
    started: Instant,
}

impl SpareConnections {
    /// Returns no connections.
    pub(super) fn new() -> Self {
        Self { state: Mutex::default(), started: Instant::now() }
    }

    /// Takes an unused connection to a target for a request. Returns it, and the number of connections
    /// to make in addition; each of them must be reported to [`SpareConnections::finish_connecting`].
    pub(super) fn take(&self, target: &TargetName) -> (Option<TargetConnection>, u32) {
        let now = Instant::now();
        let mut state = self.lock();
        let wanted = state.plan.record_request(target, moment_since(self.started));
        let mut kept = 0;
        let mut taken = None;
        if let Some(connections) = state.connections.get_mut(target) {
            connections.retain(|spare| spare.is_usable(now));
            taken = (!connections.is_empty()).then(|| connections.remove(0).connection);
            kept = connections.len() as u32;
        }
        let connecting = state.connecting.entry(target.clone()).or_default();
        let missing = wanted.saturating_sub(kept + *connecting);
        *connecting += missing;
        (taken, missing)
    }

    /// Adds the result of making a connection.
    pub(super) fn finish_connecting(
        &self,
        target: &TargetName,
        connection: Option<TargetConnection>,
    ) {
        let mut state = self.lock();
        if let Some(connecting) = state.connecting.get_mut(target) {
            *connecting = connecting.saturating_sub(1);
        }
        if let Some(connection) = connection {
            let spare = SpareConnection { connection, expires_at: Instant::now() + SPARE_TTL };
            state.connections.entry(target.clone()).or_default().push(spare);
        }
    }

    /// Records the time that it took to connect to a target.
    pub(super) fn record_connected(&self, target: &TargetName, elapsed: Duration) {
        self.lock().plan.record_connected(target, elapsed);
    }

    /// Records that a request on an unused connection was lost, and closes the others to its target,
    /// or all others if that happens at several targets.
    pub(super) fn record_loss(&self, target: &TargetName) {
        let mut state = self.lock();
        state.connections.remove(target);
        if state.plan.record_loss(target, moment_since(self.started)) {
            state.connections.clear();
        }
    }

    /// Closes expired connections and returns the number of those that are left.
    pub(super) fn close_expired(&self) -> usize {
        let now = Instant::now();
        let mut state = self.lock();
        state.plan.expire(moment_since(self.started));
        state.connecting.retain(|_, connecting| *connecting > 0);
        state.connections.retain(|_, connections| {
            connections.retain(|spare| spare.is_usable(now));
            !connections.is_empty()
        });
        state.connections.values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, SpareState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
