/*!
Attempts of admitted requests: chooses the target of each attempt and records its result.
*/

use {
    crate::{
        clock::Moment,
        fleet::{decision_events::DecisionEvent, routes::ResolvedRoute},
        traffic::{
            admission::{RETRY_AFTER_NO_CAPACITY, RETRY_AFTER_REFUSED_WITH_CAPACITY},
            connect_meter,
            late_cause::{AttemptTimes, LateCause},
            peer_forwarding::bridge_timeout,
            placement::{PlacementContext, PlacementError, TargetChoice},
            request::{
                AdmittedRequest, AttemptResult, ConnectionChoice, DispatchDecision, RefusalReason,
                RequestRefusal, TargetAttempt, TargetLoad, TransferredBytes,
            },
            router::RequestRouter,
        },
        util::stable_hash,
    },
    hemlockspool_model::names::{RegionName, ServiceName, TargetName},
    std::{net::SocketAddr, time::Duration},
};

/// The number of failed connections after which a request is given up.
const FAILED_CONNECTS_MAX: u32 = 3;
/// The weight of one attempt in the failure rate of a service.
const SERVICE_FAILURE_SMOOTHING: f64 = 0.03;
/// The failure rate of a service at which a request that its target refused despite free capacity
/// may be retried at the same target.
const SAME_TARGET_FAILURE_RATE: f64 = 0.25;
/// The requests per second that a cold target takes if the table doesn't say.
const COLD_PER_S_DEFAULT: f64 = 5.0;

impl RequestRouter {
    /// Decides the next step of a request: an attempt at a target, or a refusal.
    pub fn dispatch(&mut self, request: &mut AdmittedRequest, now: Moment) -> DispatchDecision {
        match self.try_dispatch(request, now) {
            Ok(decision) => decision,
            Err(reason) => DispatchDecision::Refuse(self.refuse(request, reason, now)),
        }
    }

    fn try_dispatch(
        &mut self,
        request: &mut AdmittedRequest,
        now: Moment,
    ) -> Result<DispatchDecision, RefusalReason> {
        let exhausted = if request.may_have_run {
            RefusalReason::OutcomeUnknown
        } else {
            RefusalReason::NoCapacity
        };
        self.update_limit(request);
        if now >= request.limit.at {
            return Err(if request.may_have_run { RefusalReason::TimedOut } else { exhausted });
        }
        if now >= request.refused_at && request.delivered_attempts == 0 {
            return Err(exhausted);
        }
        if request.may_have_run && request.route.repeat.is_at_most_once() {
            return Err(RefusalReason::OutcomeUnknown);
        }
        if request.body_consumed {
            return Err(exhausted);
        }
        // A refused attempt doesn't count as a possible run, but at most one attempt more than the
        // route allows may reach a target.
        if request.possible_runs >= request.route.attempts
            || request.delivered_attempts > request.route.attempts
        {
            return Err(exhausted);
        }
        if request.is_trial && request.delivered_attempts > 0 {
            return Err(exhausted);
        }
        if self.check_quarantine(request, now)? {
            self.start_trial(request, now);
        }
        let bridge = self.choose_bridge(request);
        if self.is_cut_off() && bridge.is_none() {
            return self.try_forward(request, now).map(DispatchDecision::Forward);
        }
        if request.failed_connects >= FAILED_CONNECTS_MAX {
            return Err(if request.may_have_run { exhausted } else { RefusalReason::NoTarget });
        }
        let choice = self.choose_target(request, now).map_err(|error| {
            match (request.may_have_run, error) {
                (true, _) => RefusalReason::OutcomeUnknown,
                (false, PlacementError::NoCapacity) => RefusalReason::NoCapacity,
                (false, PlacementError::NoTarget) => RefusalReason::NoTarget,
            }
        })?;
        if request.delivered_attempts > 0 && !self.try_withdraw_retry(&request.service, now) {
            return Err(exhausted);
        }
        Ok(DispatchDecision::Send(self.start_attempt(request, choice, bridge, now)))
    }

    /// Takes a retry from the budget of a service; returns whether the budget allows it.
    pub(super) fn try_withdraw_retry(&mut self, service: &ServiceName, now: Moment) -> bool {
        let entries = self.entries.len();
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.try_withdraw(self.settings.retry_limit, entries, now)
    }

    fn choose_target(
        &self,
        request: &AdmittedRequest,
        now: Moment,
    ) -> Result<TargetChoice, PlacementError> {
        let Some(pools) = self.pools.get(&request.service) else {
            return Err(PlacementError::NoTarget);
        };
        let is_allowed = |region: &RegionName| {
            request.route.homes.is_empty() || request.route.homes.contains(region)
        };
        let preferred = request.preferred_region.as_ref().unwrap_or(&self.settings.region);
        let mut ranked: Vec<(&RegionName, &[TargetName])> = pools
            .iter()
            .filter(|(region, _)| is_allowed(region))
            .map(|(region, pool)| (region, pool.as_slice()))
            .collect();
        let rank = |region: &RegionName| {
            let is_local = *region == self.settings.region;
            (
                region != preferred,
                !is_local,
                stable_hash(format!("{region} {}", request.key_hash).as_bytes()),
            )
        };
        ranked.sort_by_key(|(region, _)| rank(region));
        let context = PlacementContext {
            targets: &self.targets,
            evacuated: &self.evacuated,
            me: self.settings.me,
            entries: &self.entries,
            now,
            warm_processing_ms: self.warm_processing_ms(&request.route),
            baseline_failure_rate: self.baseline_failure_rate(&request.service),
        };
        context.choose_target(request, &ranked)
    }

    fn baseline_failure_rate(&self, service: &ServiceName) -> f64 {
        self.failure_rates.get(service).copied().unwrap_or_default()
    }

    fn warm_processing_ms(&self, route: &ResolvedRoute) -> f64 {
        self.route_stats.get(&route.name).map_or(0.0, |(_, stats)| stats.warm_processing_ms)
    }

    fn start_attempt(
        &mut self,
        request: &mut AdmittedRequest,
        choice: TargetChoice,
        bridge: Option<SocketAddr>,
        now: Moment,
    ) -> TargetAttempt {
        let TargetChoice { target, load, is_cold } = choice;
        let cold_per_s = self.services.get(&request.service).and_then(|policy| policy.cold_per_s);
        let mut address = self.settings.me;
        let (mut is_local, mut slots) = (false, 1.0);
        if let Some(state) = self.targets.get_mut(&target) {
            state.own_in_flight += 1;
            is_local = state.region == self.settings.region;
            address = state.info.address;
            slots = f64::from(state.info.slots.max(1));
            state.take_permit(now);
            if is_cold {
                state.cold_limiter.take_permit(cold_per_s.unwrap_or(COLD_PER_S_DEFAULT), now);
            }
        }
        request.last_attempt = AttemptTimes {
            started_at: now,
            utilization: load / slots,
            is_local,
            ..AttemptTimes::default()
        };
        request.tried_targets.push(target.clone());
        let time_left = request.limit.at.since(now);
        // Kept connections may be from before the entry was cut off. A target that writes its refusal
        // once more must not have it taken for the response to the retry, which has the same id.
        let is_retry_at_target = request.retried_target.as_ref() == Some(&target);
        let connection = match request.route.repeat.is_at_most_once() {
            _ if bridge.is_some() => ConnectionChoice::New,
            true => ConnectionChoice::Unused,
            false if is_retry_at_target => ConnectionChoice::New,
            false => ConnectionChoice::Any,
        };
        request.is_bridged = bridge.is_some();
        self.log_events.push(DecisionEvent::RequestSent {
            request: request.id.clone(),
            route: request.route.name.clone(),
            service: request.service.clone(),
            object: request.key_hash as u32,
            target: target.clone(),
            attempt: request.tried_targets.len() as u32,
            load,
            bridge,
            left_ms: time_left.as_millis() as u64,
            version: self.table_version.unwrap_or(0),
        });
        let backlog = self.link_meter.backlog(now);
        request.connect_timeout = match bridge {
            Some(_) => bridge_timeout(time_left),
            None => self.connect_meter.timeout(is_local, time_left, backlog),
        };
        let connect_timeout = request.connect_timeout.limit;
        TargetAttempt { target, address, connect_timeout, time_left, connection, bridge }
    }

    fn refuse(
        &mut self,
        request: &AdmittedRequest,
        reason: RefusalReason,
        now: Moment,
    ) -> RequestRefusal {
        self.link_meter.release(request.reserved_bytes);
        if reason.is_known_not_run() {
            self.record_not_run(request);
        }
        if reason == RefusalReason::NoCapacity
            && request.delivered_attempts == 0
            && let Some(plan) = self.spillovers.get_mut(&request.service)
        {
            plan.undo_choice(request.preferred_region.as_ref());
        }
        if !reason.is_known_not_run() {
            self.log_events.push(DecisionEvent::RequestFailed {
                request: request.id.clone(),
                reason: reason.as_str(),
                target: request.tried_targets.last().cloned(),
                attempts: request.tried_targets.len() as u32,
                took_ms: now.since(request.time.arrived_at).as_millis() as u64,
                waited_ms: request.link_wait().as_millis() as u64,
            });
            return RequestRefusal { reason, retry_after: None };
        }
        let processing_time =
            Duration::from_secs_f64(self.warm_processing_ms(&request.route) / 1_000.0);
        let retry_after = if reason == RefusalReason::Quarantined {
            self.quarantine_left(request, now)
        } else if request.refused_with_capacity {
            RETRY_AFTER_REFUSED_WITH_CAPACITY
        } else {
            processing_time.clamp(RETRY_AFTER_NO_CAPACITY.0, RETRY_AFTER_NO_CAPACITY.1)
        };
        let retry_after = retry_after.max(self.time_until_open(&request.service, now));
        let retry_after = Some(retry_after);
        self.log_refusal(&request.id, reason, retry_after, request.tried_targets.len() as u32);
        RequestRefusal { reason, retry_after }
    }

    /// Ends a request because of its body, after an attempt has ended with
    /// [`AttemptResult::BodyFailed`].
    pub fn refuse_body(
        &mut self,
        request: &AdmittedRequest,
        reason: RefusalReason,
        now: Moment,
    ) -> RequestRefusal {
        RequestRefusal { retry_after: None, ..self.refuse(request, reason, now) }
    }

    /// Releases the memory that was reserved for the body of a request.
    pub fn release_body_memory(&mut self, bytes: u64) {
        self.body_budget.release(bytes);
    }

    /// Records a new connection to a target, which has carried a response, and the time that it
    /// took.
    pub fn record_connect_time(&mut self, target: &TargetName, elapsed: Duration, now: Moment) {
        self.record_connected(now);
        let state = self.targets.get(target);
        if state.is_some_and(|state| state.region == self.settings.region) {
            self.connect_meter.record_local_time(elapsed);
        }
    }

    /// Records the result of an attempt in the state of the request, its target and its service.
    ///
    /// `elapsed` is the time that the target took if it answered, otherwise the time since the
    /// attempt began.
    pub fn finish_attempt(
        &mut self,
        request: &mut AdmittedRequest,
        target: &TargetName,
        result: AttemptResult,
        elapsed: Duration,
        now: Moment,
    ) {
        // A refused connection fails sooner than the timeout.
        let timed_out =
            result == AttemptResult::NotSent && elapsed >= request.connect_timeout.limit;
        let conclusive = request.connect_timeout.is_conclusive
            && !connect_meter::is_congested(self.link_meter.backlog(now));
        if (timed_out && conclusive) || result.reached_target() {
            self.connect_meter.record_outcome(!timed_out);
        }
        match result {
            AttemptResult::NotSent => request.failed_connects += 1,
            AttemptResult::NotRun { load, .. } => {
                request.delivered_attempts += 1;
                request.refused_with_capacity = load.is_some_and(|load| load.running < load.slots);
            }
            AttemptResult::Answered { .. }
            | AttemptResult::Interrupted
            | AttemptResult::ConnectionClosed
            | AttemptResult::TimedOut
            | AttemptResult::Cancelled
            | AttemptResult::BodyFailed => {
                request.delivered_attempts += 1;
                request.possible_runs += 1;
                request.may_have_run = true;
            }
        }
        self.record_run(request, target, result);
        self.record_processing_time(request, target, result, elapsed, now);
        self.record_survival(request, target, result, (elapsed, timed_out), now);
        self.update_failure_rate(request, result);
        let (link_saturated, link_uncongested) =
            (self.connect_meter.is_link_saturated(), self.connect_meter.is_link_uncongested());
        if request.is_bridged {
            self.record_bridge(result, now);
        } else if result == AttemptResult::NotSent && (conclusive || !timed_out) {
            self.record_unconnected(target, now);
        }
        let is_cut_off = self.is_cut_off();
        let Some(state) = self.targets.get_mut(target) else { return };
        state.own_in_flight = state.own_in_flight.saturating_sub(1);
        if matches!(
            result,
            AttemptResult::NotRun { replaced: false, .. } | AttemptResult::Answered { .. }
        ) {
            state.record_reached(now);
        }
        let ejected_for = match result {
            AttemptResult::NotSent if request.is_bridged => None,
            AttemptResult::NotSent if timed_out && (link_saturated || !conclusive) => None,
            AttemptResult::NotSent => {
                if timed_out && link_uncongested && !is_cut_off {
                    state.unreachable_at = Some(now);
                }
                state.record_failure(true, now)
            }
            AttemptResult::NotRun { load, replaced } => {
                if let Some(load) = load {
                    state.record_load(load, now);
                }
                if replaced {
                    state.record_replaced(now);
                    None
                } else {
                    state.record_refusal(load, now);
                    None
                }
            }
            AttemptResult::Answered { status, load } => {
                if let Some(load) = load {
                    state.record_load(load, now);
                }
                if status < 500 {
                    state.record_success(now);
                    None
                } else {
                    state.record_failure(false, now)
                }
            }
            AttemptResult::Interrupted => state.record_failure(false, now),
            // A request that exceeds its timeout says little about the target: the timeout may be
            // too short for an object that is cold there, and ejecting the target would move its
            // objects to targets where all of them are cold.
            AttemptResult::TimedOut
            | AttemptResult::ConnectionClosed
            | AttemptResult::Cancelled
            | AttemptResult::BodyFailed => None,
        };
        let reason = result.as_str();
        let is_success = matches!(result, AttemptResult::Answered { status, .. } if status < 500);
        if !is_success {
            self.log_events.push(DecisionEvent::AttemptFailed {
                fingerprint: request.fingerprint.filter(|_| result.is_broken()),
                request: request.id.clone(),
                target: target.clone(),
                reason,
            });
        }
        if let Some(duration) = ejected_for {
            let (target, millis) = (target.clone(), duration.as_millis() as u64);
            self.log_events.push(DecisionEvent::TargetOut { target, reason, millis });
        }
    }

    /// Updates the failure rate of a service. At a high rate, a request that its target refused
    /// despite free capacity may be retried there: another target is no more likely to accept it,
    /// and the object is warm at this one. A target that reports no load counts as having capacity.
    fn update_failure_rate(&mut self, request: &mut AdmittedRequest, result: AttemptResult) {
        let has_capacity =
            |load: Option<TargetLoad>| load.is_none_or(|load| load.running < load.slots);
        let (sample, was_refused) = match result {
            AttemptResult::NotRun { load, replaced: false } if has_capacity(load) => (1.0, true),
            AttemptResult::Answered { status, .. } => (f64::from(u8::from(status >= 500)), false),
            AttemptResult::Interrupted => (1.0, false),
            _ => return,
        };
        let failure_rate = self.failure_rates.entry(request.service.clone()).or_default();
        *failure_rate += SERVICE_FAILURE_SMOOTHING * (sample - *failure_rate);
        if was_refused && *failure_rate >= SAME_TARGET_FAILURE_RATE {
            request.retried_target = request.tried_targets.pop();
        }
    }

    fn record_processing_time(
        &mut self,
        request: &mut AdmittedRequest,
        target: &TargetName,
        result: AttemptResult,
        elapsed: Duration,
        now: Moment,
    ) {
        let AttemptResult::Answered { status, load } = result else { return };
        request.last_attempt.processing_time = elapsed;
        let Some(state) = self.targets.get(target) else { return };
        let is_queued = load.is_some_and(|load| load.waiting > 0);
        // A response that waits behind others on this entry's link says little about the target.
        let is_delayed = connect_meter::is_congested(self.link_meter.backlog(now));
        let is_representative = state.region == self.settings.region
            && !state.is_cold(now)
            && !is_queued
            && !is_delayed;
        if let (true, true, Some((_, stats))) =
            (status < 300, is_representative, self.route_stats.get_mut(&request.route.name))
        {
            stats.record_processing_time(elapsed);
        }
    }

    /// Records an answered request and the bytes that it took on this entry's link.
    pub fn finish_request(
        &mut self,
        request: &AdmittedRequest,
        target: &TargetName,
        status: u16,
        bytes: TransferredBytes,
        now: Moment,
    ) {
        self.record_transfer(request, bytes);
        self.log_late_response(request, target, now);
        self.log_events.push(DecisionEvent::RequestAnswered {
            request: request.id.clone(),
            target: target.clone(),
            status,
            took_ms: now.since(request.time.arrived_at).as_millis() as u64,
        });
    }

    fn log_late_response(&mut self, request: &AdmittedRequest, target: &TargetName, now: Moment) {
        if now <= request.goal_deadline {
            return;
        }
        let elapsed = now.since(request.time.arrived_at);
        let warm = Duration::from_secs_f64(self.warm_processing_ms(&request.route) / 1_000.0);
        let times = &request.last_attempt;
        let cause = LateCause::of(times, request.time.arrived_at, elapsed, warm);
        self.log_events.push(DecisionEvent::RequestLate {
            request: request.id.clone(),
            route: request.route.name.clone(),
            target: target.clone(),
            local: times.is_local,
            cause: cause.as_str(),
            took_ms: elapsed.as_millis() as u64,
            goal_ms: request.goal_deadline.since(request.time.arrived_at).as_millis() as u64,
        });
    }

    pub(super) fn record_transfer(&mut self, request: &AdmittedRequest, bytes: TransferredBytes) {
        self.link_meter.record_bytes(bytes.body + bytes.response);
        if let Some((_, stats)) = self.route_stats.get_mut(&request.route.name) {
            stats.record_transfer(bytes);
        }
    }
}
