/*!
Ways around the lost connections of an entry that is cut off from targets.

Such an entry still has its callers, and a link of its own to carry their requests. It connects to
targets through replicas of its region, which passes only bytes through them. If that fails too, it
forwards requests to other entries, whose links must carry them in addition to those of their own
callers. A peer treats a forwarded request like one of its own callers', but never forwards it
again, so that requests don't circle between entries that are all cut off.
*/

use {
    crate::{
        clock::Moment,
        fleet::{decision_events::DecisionEvent, messages::InstancePlace},
        traffic::{
            connect_meter::ConnectTimeout,
            probe::ProbeRequest,
            request::{
                AdmittedRequest, AttemptResult, PeerAttempt, RefusalReason, TransferredBytes,
            },
            router::RequestRouter,
            target_state::TargetHealth,
        },
        util::stable_hash,
    },
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// The number of entries to which one request is forwarded, one after the other.
const PEERS_MAX: usize = 3;
/// The timeout of a connection to another entry: longer than what waits on its link before it
/// refuses forwarded requests.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The number of connections through replicas that a request may fail to get.
const BRIDGED_CONNECTS_MAX: u32 = 2;
/// The number of failed connections through replicas, without one in between that succeeded, after
/// which requests are forwarded to other entries.
const FAILED_BRIDGES_MAX: u32 = 6;
/// The time after which replicas are tried again.
const BRIDGES_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// The timeout of a connection to a target through a replica: two connections, one after the other.
const BRIDGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns the timeout of a connection through a replica for a request with some time left.
pub(super) fn bridge_timeout(time_left: Duration) -> ConnectTimeout {
    ConnectTimeout { limit: BRIDGE_TIMEOUT.min(time_left), is_conclusive: false }
}

impl RequestRouter {
    /// Returns whether this entry has lost its connections to all targets.
    pub fn is_cut_off(&self) -> bool {
        self.reach_meter.is_cut_off()
    }

    /// Returns whether this entry forwards all requests to other entries: it is cut off, and can't
    /// connect to targets through replicas either.
    pub fn is_forwarding(&self) -> bool {
        self.is_cut_off() && (self.bridges.is_empty() || self.bridges_failed_at.is_some())
    }

    /// Sets the peer addresses of the replicas through which this entry may connect to targets.
    pub fn set_bridges(&mut self, bridges: Vec<SocketAddr>) {
        if self.settings.bridges_allowed {
            self.bridges = bridges;
        }
    }

    /// Chooses the replica through which to connect to targets, if this entry is cut off. A request
    /// with home regions isn't sent through one, as that may be elsewhere.
    pub(super) fn choose_bridge(&self, request: &AdmittedRequest) -> Option<SocketAddr> {
        let usable = self.is_cut_off()
            && !self.is_forwarding()
            && request.route.homes.is_empty()
            && request.failed_connects < BRIDGED_CONNECTS_MAX;
        if !usable {
            return None;
        }
        let hash = stable_hash(request.id.as_bytes()).wrapping_add(request.failed_connects.into());
        Some(self.bridges[hash as usize % self.bridges.len()])
    }

    /// Records the result of an attempt through a replica.
    pub(super) fn record_bridge(&mut self, result: AttemptResult, now: Moment) {
        if result == AttemptResult::NotSent {
            self.failed_bridges += 1;
        } else if result.reached_target() {
            self.failed_bridges = 0;
        }
        if self.failed_bridges >= FAILED_BRIDGES_MAX {
            self.failed_bridges = 0;
            self.bridges_failed_at = Some(now);
        }
    }

    /// Tries replicas again after a while if connections through them failed.
    pub(super) fn update_bridges(&mut self, now: Moment) {
        if self.bridges_failed_at.is_some_and(|at| now.since(at) >= BRIDGES_RETRY_DELAY) {
            self.bridges_failed_at = None;
        }
    }

    /// Records a reply of the followed replica, and the time since its heartbeat was sent.
    pub fn record_reply(&mut self, elapsed: Duration, now: Moment) {
        self.reach_meter.record_reply(elapsed, now);
        self.record_round_trip(elapsed, now);
    }

    /// Records the time from a message to any replica to its answer.
    pub fn record_round_trip(&mut self, elapsed: Duration, now: Moment) {
        if let Some(delay) = self.link_delay.record_round_trip(elapsed, now) {
            let millis = delay.as_millis() as u64;
            let inbound_ms = self.inbound_delay().as_millis() as u64;
            self.log_events.push(DecisionEvent::LinkDelayed { millis, inbound_ms });
        }
    }

    /// Returns the time that packets wait on this entry's link, in both directions together; zero if
    /// it isn't known, or if connections to targets show that the replica is slow and not the link.
    pub fn link_delay(&self, now: Moment) -> Duration {
        if self.connect_meter.is_link_uncongested() {
            return Duration::ZERO;
        }
        self.link_delay.current(now)
    }

    /// Records a new connection to a target, which ends a time of being cut off.
    pub(super) fn record_connected(&mut self, now: Moment) {
        let Some((failed, duration)) = self.reach_meter.record_success(now) else { return };
        self.restore_targets(&failed);
        let millis = duration.as_millis() as u64;
        self.log_events.push(DecisionEvent::TargetsReached { millis });
    }

    /// Ends the ejection of targets that were ejected for a fault of this entry's links.
    fn restore_targets(&mut self, names: &BTreeSet<TargetName>) {
        for name in names {
            if let Some(state) = self.targets.get_mut(name)
                && !matches!(state.health, TargetHealth::Replaced { .. })
            {
                state.health = TargetHealth::Healthy;
                state.consecutive_failures = 0;
            }
        }
    }

    /// Records a target that couldn't be connected to for a reason that isn't this entry's load.
    pub(super) fn record_unconnected(&mut self, target: &TargetName, now: Moment) {
        self.reach_meter.record_failure(target, now);
        self.update_reach(now);
    }

    /// Records a target that couldn't be connected to by a probe, while no target takes requests.
    pub(super) fn record_failed_probe(&mut self, target: &TargetName, now: Moment) {
        self.reach_meter.record_failed_probe(target, now);
        self.update_reach(now);
    }

    /// Finds out whether this entry is cut off: it may have ejected all targets before that is
    /// certain, and then makes no more attempts that would show it.
    pub(super) fn update_reach(&mut self, now: Moment) {
        let known = self.targets.len();
        let Some(failed) = self.reach_meter.start_cut_off(known, now) else { return };
        // The reports would eject targets at entries that reach them.
        self.targets.values_mut().for_each(|state| state.unreachable_at = None);
        let names = self.reach_meter.failed_targets().clone();
        self.restore_targets(&names);
        self.log_events.push(DecisionEvent::TargetsUnreachable { failed });
    }

    /// Returns a probe of the next target, which shows whether this entry is still cut off.
    pub(super) fn next_reach_probe(&mut self, now: Moment) -> Option<ProbeRequest> {
        if !self.is_cut_off() {
            return None;
        }
        let usable = |name: &&TargetName| {
            let state = self.targets.get(*name);
            state.is_some_and(|state| !state.is_draining() && state.is_open(now))
        };
        let count = self.targets.keys().filter(usable).count();
        self.reach_probes = self.reach_probes.wrapping_add(1);
        let target = self.targets.keys().filter(usable).nth(self.reach_probes % count.max(1))?;
        Some(ProbeRequest { target: target.clone() })
    }

    /// Chooses another entry for a request that this one can't send to any target.
    ///
    /// # Errors
    ///
    /// The reason to refuse the request: it was forwarded to this entry, or no other entry may get
    /// it.
    pub(super) fn try_forward(
        &mut self,
        request: &mut AdmittedRequest,
        now: Moment,
    ) -> Result<PeerAttempt, RefusalReason> {
        let exhausted = if request.may_have_run {
            RefusalReason::OutcomeUnknown
        } else {
            RefusalReason::NoTarget
        };
        if request.is_forwarded || request.tried_peers.len() >= PEERS_MAX {
            return Err(exhausted);
        }
        let peer = self.choose_peer(request).ok_or(exhausted)?;
        if request.delivered_attempts > 0 && !self.try_withdraw_retry(&request.service, now) {
            return Err(exhausted);
        }
        request.tried_peers.push(peer);
        let time_left = request.limit.at.since(now);
        // All entries listen for callers on the same port.
        let address = SocketAddr::new(peer.ip(), self.settings.callers_port);
        let left_ms = time_left.as_millis() as u64;
        self.log_events.push(DecisionEvent::RequestForwarded {
            request: request.id.clone(),
            peer: address,
            left_ms,
        });
        let connect_timeout = PEER_CONNECT_TIMEOUT.min(time_left);
        Ok(PeerAttempt { address, connect_timeout, time_left })
    }

    /// Chooses an entry that the request hasn't been forwarded to, of this region if there is one.
    /// A request with home regions goes to their entries only.
    fn choose_peer(&self, request: &AdmittedRequest) -> Option<SocketAddr> {
        let homes = &request.route.homes;
        let is_local = |place: &InstancePlace| place.region == self.settings.region;
        let candidates = self.entries.iter().filter(|(peer, place)| {
            **peer != self.settings.me
                && !request.tried_peers.contains(peer)
                && (homes.is_empty() || homes.contains(&place.region))
        });
        let rank = |(peer, place): &(&SocketAddr, &InstancePlace)| {
            (!is_local(place), stable_hash(format!("{} {peer}", request.id).as_bytes()))
        };
        candidates.min_by_key(rank).map(|(peer, _)| *peer)
    }

    /// Records the result of forwarding a request to another entry.
    pub fn finish_forwarding(
        &mut self,
        request: &mut AdmittedRequest,
        peer: SocketAddr,
        result: AttemptResult,
    ) {
        match result {
            AttemptResult::NotSent => {}
            AttemptResult::NotRun { .. } => request.delivered_attempts += 1,
            _ => {
                request.delivered_attempts += 1;
                request.possible_runs += 1;
                request.may_have_run = true;
            }
        }
        if !matches!(result, AttemptResult::Answered { .. }) {
            let (request, reason) = (request.id.clone(), result.as_str());
            self.log_events.push(DecisionEvent::ForwardingFailed { request, peer, reason });
        }
    }

    /// Records a request that another entry answered, and the bytes that it took on this entry's
    /// link.
    pub fn finish_forwarded_request(
        &mut self,
        request: &AdmittedRequest,
        peer: SocketAddr,
        status: u16,
        bytes: TransferredBytes,
        now: Moment,
    ) {
        self.record_transfer(request, bytes);
        let took_ms = now.since(request.time.arrived_at).as_millis() as u64;
        let request = request.id.clone();
        self.log_events.push(DecisionEvent::ForwardingAnswered { request, peer, status, took_ms });
    }
}
