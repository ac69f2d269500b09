/*!
Attempts: the target of each, what becomes of it, and what the entry learns from that.
*/

use {
    crate::{
        clock::Moment,
        fleet::{decision_events::DecisionEvent, routes::ResolvedRoute},
        traffic::{
            admission::{RETRY_FULL, RETRY_ROOM},
            placement::{PlacementContext, PlacementError, TargetChoice, affinity_score},
            request::{
                AdmittedRequest, AttemptResult, DispatchDecision, RefusalReason, RequestRefusal,
                TargetAttempt, TargetLoad,
            },
            router::RequestRouter,
            target_state::TargetHealth,
        },
        util::stable_hash,
    },
    hemlockspool_model::{
        names::{RegionName, ServiceName, TargetName},
        objects::RepeatPolicy,
    },
    std::time::Duration,
};

/// Connections that may fail for one request.
const MISSES_MAX: u32 = 3;
/// The weight of an attempt in the share of attempts that a service's targets fail.
const SERVICE_FAILURE_WEIGHT: f64 = 0.03;
/// From which share on a request that was refused in spite of room may go to the same target again.
const SAME_TARGET_FAILING: f64 = 0.25;
/// Requests a second that a cold target stands when the table doesn't say.
const COLD_PER_S_DEFAULT: f64 = 5.0;

impl RequestRouter {
    /// Decides what comes next for a request.
    pub fn dispatch(&mut self, request: &mut AdmittedRequest, now: Moment) -> DispatchDecision {
        match self.try_place(request, now) {
            Ok(order) => DispatchDecision::Send(order),
            Err(reason) => DispatchDecision::Refuse(self.refuse(request, reason, now)),
        }
    }

    fn try_place(
        &mut self,
        request: &mut AdmittedRequest,
        now: Moment,
    ) -> Result<TargetAttempt, RefusalReason> {
        let ended = if request.may_have_run {
            RefusalReason::OutcomeUnknown
        } else {
            RefusalReason::NoCapacity
        };
        if now >= request.deadline {
            return Err(if request.may_have_run { RefusalReason::TimedOut } else { ended });
        }
        if request.may_have_run && request.route.repeat == RepeatPolicy::Never {
            return Err(RefusalReason::OutcomeUnknown);
        }
        // Targets that refused don't count as ones that it was run on, but as repeats.
        if request.runs >= request.route.attempts || request.arrivals > request.route.attempts {
            return Err(ended);
        }
        if request.misses >= MISSES_MAX {
            return Err(if request.may_have_run { ended } else { RefusalReason::NoTarget });
        }
        let choice =
            self.choose(request, now).map_err(|gap| match (request.may_have_run, gap) {
                (true, _) => RefusalReason::OutcomeUnknown,
                (false, PlacementError::NoCapacity) => RefusalReason::NoCapacity,
                (false, PlacementError::NoTarget) => RefusalReason::NoTarget,
            })?;
        if request.arrivals > 0 && !self.may_retry(&request.service, now) {
            return Err(ended);
        }
        Ok(self.send(request, choice, now))
    }

    fn may_retry(&mut self, service: &ServiceName, now: Moment) -> bool {
        let entries = self.entries.len();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.try_withdraw(self.settings.retry_limit, entries, now)
    }

    fn choose(
        &self,
        request: &AdmittedRequest,
        now: Moment,
    ) -> Result<TargetChoice, PlacementError> {
        let Some(pools) = self.pools.get(&request.service) else {
            return Err(PlacementError::NoTarget);
        };
        let allowed = |region: &RegionName| {
            request.route.homes.is_empty() || request.route.homes.contains(region)
        };
        let first = request.region.as_ref().unwrap_or(&self.settings.region);
        let mut order: Vec<(&RegionName, &[TargetName])> = pools
            .iter()
            .filter(|(region, _)| allowed(region))
            .map(|(r, p)| (r, p.as_slice()))
            .collect();
        let rank = |region: &RegionName| {
            let own = *region == self.settings.region;
            (region != first, !own, stable_hash(format!("{region} {}", request.key).as_bytes()))
        };
        order.sort_by_key(|(region, _)| rank(region));
        let view = PlacementContext {
            records: &self.records,
            evacuated: &self.evacuated,
            me: self.settings.me,
            entries: &self.entries,
            now,
            work_ms: self.work_ms(&request.route),
            usual_failing: self.usual_failing(&request.service),
        };
        view.choose(request, &order)
    }

    /// Returns the load of the target that an object has in the entry's own region, in parts of its
    /// slots.
    pub(super) fn utilization(&self, service: &ServiceName, key: u64, now: Moment) -> f64 {
        let pool = self.pools.get(service).and_then(|pools| pools.get(&self.settings.region));
        let records = pool.into_iter().flatten().filter_map(|name| {
            let record = self.records.get(name)?;
            (record.is_eligible() && !record.is_cold(now)).then_some((name, record))
        });
        let first = records.max_by_key(|(name, _)| affinity_score(key, name));
        first.map_or(0.0, |(_, record)| record.load(now) / f64::from(record.fact.slots.max(1)))
    }

    fn usual_failing(&self, service: &ServiceName) -> f64 {
        self.failing.get(service).copied().unwrap_or_default()
    }

    fn work_ms(&self, plan: &ResolvedRoute) -> f64 {
        self.work.get(&plan.name).map_or(0.0, |(_, work)| work.work_ms)
    }

    fn send(
        &mut self,
        request: &mut AdmittedRequest,
        choice: TargetChoice,
        now: Moment,
    ) -> TargetAttempt {
        let TargetChoice { target, load, is_cold } = choice;
        let rate = self.services.get(&request.service).and_then(|rule| rule.cold_per_s);
        let mut address = self.settings.me;
        let mut near = false;
        if let Some(record) = self.records.get_mut(&target) {
            record.own += 1;
            near = record.region == self.settings.region;
            address = record.fact.address;
            if is_cold {
                record.cold_permits.take(rate.unwrap_or(COLD_PER_S_DEFAULT), now);
            }
        }
        request.tried.push(target.clone());
        let time_left = request.deadline.since(now);
        let new_connection = request.route.repeat == RepeatPolicy::Never;
        self.notes.push(DecisionEvent::RequestSent {
            request: request.id.clone(),
            route: request.route.name.clone(),
            service: request.service.clone(),
            object: request.key as u32,
            target: target.clone(),
            attempt: request.tried.len() as u32,
            load,
            left_ms: time_left.as_millis() as u64,
            version: self.version.unwrap_or(0),
        });
        request.connect_timeout = self.connects.timeout(near, time_left);
        let connect_timeout = request.connect_timeout.limit;
        TargetAttempt { target, address, connect_timeout, time_left, new_connection }
    }

    fn refuse(
        &mut self,
        request: &AdmittedRequest,
        reason: RefusalReason,
        now: Moment,
    ) -> RequestRefusal {
        self.link.release(request.booked_bytes);
        if reason == RefusalReason::NoCapacity
            && request.arrivals == 0
            && let Some(plan) = self.spills.get_mut(&request.service)
        {
            plan.undo_choice(request.region.is_some());
        }
        if !reason.is_known_not_run() {
            self.notes.push(DecisionEvent::RequestFailed {
                request: request.id.clone(),
                reason: reason.as_str(),
                target: request.tried.last().cloned(),
                attempts: request.tried.len() as u32,
                took_ms: now.since(request.arrived).as_millis() as u64,
            });
            return RequestRefusal { reason, retry_after: None };
        }
        let work = Duration::from_secs_f64(self.work_ms(&request.route) / 1_000.0);
        let wait = if request.refused_with_room {
            RETRY_ROOM
        } else {
            work.clamp(RETRY_FULL.0, RETRY_FULL.1)
        };
        let retry_after = Some(wait);
        self.note_refusal(&request.id, reason, retry_after, request.tried.len() as u32);
        RequestRefusal { reason, retry_after }
    }

    /// Takes in how long a connection to a target took.
    pub fn record_connect_time(&mut self, target: &TargetName, took: Duration) {
        let record = self.records.get(target);
        if record.is_some_and(|record| record.region == self.settings.region) {
            self.connects.made_near(took);
        }
    }

    /// Accounts for the end of an attempt.
    pub fn finish_attempt(
        &mut self,
        request: &mut AdmittedRequest,
        target: &TargetName,
        end: AttemptResult,
        took: Duration,
        now: Moment,
    ) {
        // Connections that a target refuses fail sooner.
        let timed_out = end == AttemptResult::NotSent && took >= request.connect_timeout.limit;
        let conclusive = request.connect_timeout.is_conclusive;
        if (timed_out && conclusive) || end.reached_target() {
            self.connects.count(!timed_out);
        }
        match end {
            AttemptResult::NotSent => request.misses += 1,
            AttemptResult::NotRun { load, .. } => {
                request.arrivals += 1;
                request.refused_with_room = load.is_some_and(|load| load.running < load.slots);
            }
            AttemptResult::Answered { .. }
            | AttemptResult::Interrupted
            | AttemptResult::ConnectionClosed
            | AttemptResult::TimedOut
            | AttemptResult::Cancelled => {
                request.arrivals += 1;
                request.runs += 1;
                request.may_have_run = true;
            }
        }
        self.measure(request, target, end, took, now);
        self.note_failing(request, end);
        let (link_full, link_calm) = (self.connects.is_link_full(), self.connects.is_link_calm());
        let Some(record) = self.records.get_mut(target) else { return };
        record.own = record.own.saturating_sub(1);
        if matches!(
            end,
            AttemptResult::NotRun { replaced: false, .. } | AttemptResult::Answered { .. }
        ) {
            record.reached(now);
        }
        let out = match end {
            AttemptResult::NotSent if timed_out && (link_full || !conclusive) => None,
            AttemptResult::NotSent => {
                if timed_out && link_calm {
                    record.lost_at = Some(now);
                }
                record.failed(true, now)
            }
            AttemptResult::NotRun { load, replaced } => {
                if let Some(load) = load {
                    record.hear_load(load, now);
                }
                if replaced {
                    record.health = TargetHealth::Replaced;
                    record.lost_at = Some(now);
                    None
                } else {
                    record.hear_refusal(load, now);
                    None
                }
            }
            AttemptResult::Answered { status, load } => {
                if let Some(load) = load {
                    record.hear_load(load, now);
                }
                if status < 500 {
                    record.succeeded(now);
                    None
                } else {
                    record.failed(false, now)
                }
            }
            AttemptResult::Interrupted => record.failed(false, now),
            // A request that outlasts its route's time says little of the target: the time may be
            // short for work on a cold object, and leaving the target makes its objects cold.
            AttemptResult::TimedOut
            | AttemptResult::ConnectionClosed
            | AttemptResult::Cancelled => None,
        };
        let reason = match end {
            AttemptResult::NotSent => "no connection",
            AttemptResult::NotRun { replaced: true, .. } => "another instance at its address",
            AttemptResult::NotRun { .. } => "not run",
            AttemptResult::Answered { .. } => "answered",
            AttemptResult::Interrupted => "broken answer",
            AttemptResult::ConnectionClosed => "kept connection ended",
            AttemptResult::TimedOut => "no answer in time",
            AttemptResult::Cancelled => "caller gone",
        };
        let answered = matches!(end, AttemptResult::Answered { status, .. } if status < 500);
        if !answered {
            let (request, target) = (request.id.clone(), target.clone());
            self.notes.push(DecisionEvent::AttemptFailed { request, target, reason });
        }
        if let Some(span) = out {
            let (target, millis) = (target.clone(), span.as_millis() as u64);
            self.notes.push(DecisionEvent::TargetOut { target, reason, millis });
        }
    }

    /// Keeps the share of attempts that a service's targets fail. While most of them refuse in spite
    /// of room, the same target is as good as another, and the object is warm there.
    fn note_failing(&mut self, request: &mut AdmittedRequest, end: AttemptResult) {
        let has_room = |load: Option<TargetLoad>| load.is_none_or(|load| load.running < load.slots);
        let (failed, refused) = match end {
            AttemptResult::NotRun { load, replaced: false } if has_room(load) => (1.0, true),
            AttemptResult::Answered { status, .. } => (f64::from(u8::from(status >= 500)), false),
            AttemptResult::Interrupted => (1.0, false),
            _ => return,
        };
        let share = self.failing.entry(request.service.clone()).or_default();
        *share += SERVICE_FAILURE_WEIGHT * (failed - *share);
        if refused && *share >= SAME_TARGET_FAILING {
            request.tried.pop();
        }
    }

    fn measure(
        &mut self,
        request: &AdmittedRequest,
        target: &TargetName,
        end: AttemptResult,
        took: Duration,
        now: Moment,
    ) {
        let AttemptResult::Answered { status, load } = end else { return };
        let Some(record) = self.records.get(target) else { return };
        let queued = load.is_some_and(|load| load.waiting > 0);
        let usual = record.region == self.settings.region && !record.is_cold(now) && !queued;
        if let (true, true, Some((_, work))) =
            (status < 300, usual, self.work.get_mut(&request.route.name))
        {
            work.measure(took);
        }
    }

    /// Notes that a request was answered, with what the answer took on this entry's link.
    pub fn finish_request(
        &mut self,
        request: &AdmittedRequest,
        target: &TargetName,
        status: u16,
        bytes: u64,
        now: Moment,
    ) {
        self.link.count(bytes);
        if let Some((_, work)) = self.work.get_mut(&request.route.name) {
            work.answered(bytes);
        }
        self.notes.push(DecisionEvent::RequestAnswered {
            request: request.id.clone(),
            target: target.clone(),
            status,
            took_ms: now.since(request.arrived).as_millis() as u64,
        });
    }
}
