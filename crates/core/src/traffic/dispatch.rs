/*!
Attempts: the target of each, what becomes of it, and what the entry learns from that.
*/

use {
    crate::{
        clock::Moment,
        fleet::{decision_events::DecisionEvent, routes::ResolvedRoute},
        traffic::{
            admission::{RETRY_FULL, RETRY_ROOM},
            board::TargetHealth,
            desk::TrafficDesk,
            job::{
                AttemptEnd, JobOrder, RefusalReason, RequestJob, RequestRefusal, TargetLoad,
                TargetOrder,
            },
            placement::{PlacementGap, PlacementView, TargetChoice, affinity},
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

impl TrafficDesk {
    /// Decides what comes next for a request.
    pub fn place(&mut self, job: &mut RequestJob, now: Moment) -> JobOrder {
        match self.try_place(job, now) {
            Ok(order) => JobOrder::Send(order),
            Err(reason) => JobOrder::Refuse(self.refuse(job, reason, now)),
        }
    }

    fn try_place(
        &mut self,
        job: &mut RequestJob,
        now: Moment,
    ) -> Result<TargetOrder, RefusalReason> {
        let ended = if job.unclear { RefusalReason::Unclear } else { RefusalReason::Full };
        if now >= job.deadline {
            return Err(if job.unclear { RefusalReason::TimedOut } else { ended });
        }
        if job.unclear && job.plan.repeat == RepeatPolicy::Never {
            return Err(RefusalReason::Unclear);
        }
        // Targets that refused don't count as ones that it was run on, but as repeats.
        if job.runs >= job.plan.attempts || job.arrivals > job.plan.attempts {
            return Err(ended);
        }
        if job.misses >= MISSES_MAX {
            return Err(if job.unclear { ended } else { RefusalReason::NoTarget });
        }
        let choice = self.choose(job, now).map_err(|gap| match (job.unclear, gap) {
            (true, _) => RefusalReason::Unclear,
            (false, PlacementGap::Full) => RefusalReason::Full,
            (false, PlacementGap::None) => RefusalReason::NoTarget,
        })?;
        if job.arrivals > 0 && !self.may_repeat(&job.service, now) {
            return Err(ended);
        }
        Ok(self.send(job, choice, now))
    }

    fn may_repeat(&mut self, service: &ServiceName, now: Moment) -> bool {
        let entries = self.entries.len();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(self.settings.retry_bound, entries, now)
    }

    fn choose(&self, job: &RequestJob, now: Moment) -> Result<TargetChoice, PlacementGap> {
        let Some(pools) = self.pools.get(&job.service) else {
            return Err(PlacementGap::None);
        };
        let allowed =
            |region: &RegionName| job.plan.homes.is_empty() || job.plan.homes.contains(region);
        let first = job.region.as_ref().unwrap_or(&self.settings.region);
        let mut order: Vec<(&RegionName, &[TargetName])> = pools
            .iter()
            .filter(|(region, _)| allowed(region))
            .map(|(r, p)| (r, p.as_slice()))
            .collect();
        let rank = |region: &RegionName| {
            let own = *region == self.settings.region;
            (region != first, !own, stable_hash(format!("{region} {}", job.key).as_bytes()))
        };
        order.sort_by_key(|(region, _)| rank(region));
        let view = PlacementView {
            records: &self.records,
            evacuated: &self.evacuated,
            me: self.settings.me,
            entries: &self.entries,
            now,
            work_ms: self.work_ms(&job.plan),
            usual_failing: self.usual_failing(&job.service),
        };
        view.choose(job, &order)
    }

    /// Returns the load of the target that an object has in the entry's own region, in parts of its
    /// slots.
    pub(super) fn pressure(&self, service: &ServiceName, key: u64, now: Moment) -> f64 {
        let pool = self.pools.get(service).and_then(|pools| pools.get(&self.settings.region));
        let records = pool.into_iter().flatten().filter_map(|name| {
            let record = self.records.get(name)?;
            (record.is_eligible() && !record.is_cold(now)).then_some((name, record))
        });
        let first = records.max_by_key(|(name, _)| affinity(key, name));
        first.map_or(0.0, |(_, record)| record.load(now) / f64::from(record.fact.slots.max(1)))
    }

    fn usual_failing(&self, service: &ServiceName) -> f64 {
        self.failing.get(service).copied().unwrap_or_default()
    }

    fn work_ms(&self, plan: &ResolvedRoute) -> f64 {
        self.work.get(&plan.name).map_or(0.0, |(_, work)| work.work_ms)
    }

    fn send(&mut self, job: &mut RequestJob, choice: TargetChoice, now: Moment) -> TargetOrder {
        let TargetChoice { target, load, is_cold } = choice;
        let rate = self.services.get(&job.service).and_then(|rule| rule.cold_per_s);
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
        job.tried.push(target.clone());
        let left = job.deadline.since(now);
        let fresh = job.plan.repeat == RepeatPolicy::Never;
        self.notes.push(DecisionEvent::RequestSent {
            request: job.id.clone(),
            route: job.plan.name.clone(),
            service: job.service.clone(),
            object: job.key as u32,
            target: target.clone(),
            attempt: job.tried.len() as u32,
            load,
            left_ms: left.as_millis() as u64,
            version: self.version.unwrap_or(0),
        });
        job.connect_patience = self.connects.patience(near, left);
        let connect_patience = job.connect_patience.span;
        TargetOrder { target, address, connect_patience, left, fresh }
    }

    fn refuse(&mut self, job: &RequestJob, reason: RefusalReason, now: Moment) -> RequestRefusal {
        self.link.release(job.booked_bytes);
        if reason == RefusalReason::Full
            && job.arrivals == 0
            && let Some(plan) = self.spills.get_mut(&job.service)
        {
            plan.refused(job.region.is_some());
        }
        if !reason.promises_not_run() {
            self.notes.push(DecisionEvent::RequestFailed {
                request: job.id.clone(),
                reason: reason.word(),
                target: job.tried.last().cloned(),
                attempts: job.tried.len() as u32,
                took_ms: now.since(job.arrived).as_millis() as u64,
            });
            return RequestRefusal { reason, retry_after: None };
        }
        let work = Duration::from_secs_f64(self.work_ms(&job.plan) / 1_000.0);
        let wait =
            if job.refused_with_room { RETRY_ROOM } else { work.clamp(RETRY_FULL.0, RETRY_FULL.1) };
        let retry_after = Some(wait);
        self.note_refusal(&job.id, reason, retry_after, job.tried.len() as u32);
        RequestRefusal { reason, retry_after }
    }

    /// Takes in how long a connection to a target took.
    pub fn connected(&mut self, target: &TargetName, took: Duration) {
        let record = self.records.get(target);
        if record.is_some_and(|record| record.region == self.settings.region) {
            self.connects.made_near(took);
        }
    }

    /// Accounts for the end of an attempt.
    pub fn ended(
        &mut self,
        job: &mut RequestJob,
        target: &TargetName,
        end: AttemptEnd,
        took: Duration,
        now: Moment,
    ) {
        // Connections that a target refuses fail sooner.
        let timed_out = end == AttemptEnd::NotSent && took >= job.connect_patience.span;
        let telling = job.connect_patience.is_telling;
        if (timed_out && telling) || end.reached_target() {
            self.connects.count(!timed_out);
        }
        match end {
            AttemptEnd::NotSent => job.misses += 1,
            AttemptEnd::NotRun { load, .. } => {
                job.arrivals += 1;
                job.refused_with_room = load.is_some_and(|load| load.running < load.slots);
            }
            AttemptEnd::Answered { .. }
            | AttemptEnd::Broken
            | AttemptEnd::Dropped
            | AttemptEnd::Silent
            | AttemptEnd::Cancelled => {
                job.arrivals += 1;
                job.runs += 1;
                job.unclear = true;
            }
        }
        self.measure(job, target, end, took, now);
        self.note_failing(job, end);
        let (link_full, link_calm) = (self.connects.is_link_full(), self.connects.is_link_calm());
        let Some(record) = self.records.get_mut(target) else { return };
        record.own = record.own.saturating_sub(1);
        if matches!(end, AttemptEnd::NotRun { replaced: false, .. } | AttemptEnd::Answered { .. }) {
            record.reached(now);
        }
        let out = match end {
            AttemptEnd::NotSent if timed_out && (link_full || !telling) => None,
            AttemptEnd::NotSent => {
                if timed_out && link_calm {
                    record.lost_at = Some(now);
                }
                record.failed(true, now)
            }
            AttemptEnd::NotRun { load, replaced } => {
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
            AttemptEnd::Answered { status, load } => {
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
            AttemptEnd::Broken => record.failed(false, now),
            // A request that outlasts its route's time says little of the target: the time may be
            // short for work on a cold object, and leaving the target makes its objects cold.
            AttemptEnd::Silent | AttemptEnd::Dropped | AttemptEnd::Cancelled => None,
        };
        let reason = match end {
            AttemptEnd::NotSent => "no connection",
            AttemptEnd::NotRun { replaced: true, .. } => "another instance at its address",
            AttemptEnd::NotRun { .. } => "not run",
            AttemptEnd::Answered { .. } => "answered",
            AttemptEnd::Broken => "broken answer",
            AttemptEnd::Dropped => "kept connection ended",
            AttemptEnd::Silent => "no answer in time",
            AttemptEnd::Cancelled => "caller gone",
        };
        let answered = matches!(end, AttemptEnd::Answered { status, .. } if status < 500);
        if !answered {
            let (request, target) = (job.id.clone(), target.clone());
            self.notes.push(DecisionEvent::AttemptFailed { request, target, reason });
        }
        if let Some(span) = out {
            let (target, millis) = (target.clone(), span.as_millis() as u64);
            self.notes.push(DecisionEvent::TargetOut { target, reason, millis });
        }
    }

    /// Keeps the share of attempts that a service's targets fail. While most of them refuse in spite
    /// of room, the same target is as good as another, and the object is warm there.
    fn note_failing(&mut self, job: &mut RequestJob, end: AttemptEnd) {
        let has_room = |load: Option<TargetLoad>| load.is_none_or(|load| load.running < load.slots);
        let (failed, refused) = match end {
            AttemptEnd::NotRun { load, replaced: false } if has_room(load) => (1.0, true),
            AttemptEnd::Answered { status, .. } => (f64::from(u8::from(status >= 500)), false),
            AttemptEnd::Broken => (1.0, false),
            _ => return,
        };
        let share = self.failing.entry(job.service.clone()).or_default();
        *share += SERVICE_FAILURE_WEIGHT * (failed - *share);
        if refused && *share >= SAME_TARGET_FAILING {
            job.tried.pop();
        }
    }

    fn measure(
        &mut self,
        job: &RequestJob,
        target: &TargetName,
        end: AttemptEnd,
        took: Duration,
        now: Moment,
    ) {
        let AttemptEnd::Answered { status, load } = end else { return };
        let Some(record) = self.records.get(target) else { return };
        let queued = load.is_some_and(|load| load.waiting > 0);
        let usual = record.region == self.settings.region && !record.is_cold(now) && !queued;
        if let (true, true, Some((_, work))) =
            (status < 300, usual, self.work.get_mut(&job.plan.name))
        {
            work.measure(took);
        }
    }

    /// Notes that a request was answered, with what the answer took on this entry's link.
    pub fn answered(
        &mut self,
        job: &RequestJob,
        target: &TargetName,
        status: u16,
        bytes: u64,
        now: Moment,
    ) {
        self.link.count(bytes);
        if let Some((_, work)) = self.work.get_mut(&job.plan.name) {
            work.answered(bytes);
        }
        self.notes.push(DecisionEvent::RequestAnswered {
            request: job.id.clone(),
            target: target.clone(),
            status,
            took_ms: now.since(job.arrived).as_millis() as u64,
        });
    }
}
