/*!
Placement of requests: on a local target, at an entry of another failure domain or in the queue;
requests that fit nowhere are refused.

A decision to run a request on a local target acquires the slot in the same step, so that no two
decisions rely on the same one. Requests for other failure domains go through entries there, because
each domain's entries count its slots.
*/

use {
    super::{
        limits::LINK_BACKLOG_MAX,
        scheduler::{OpenRequest, RequestContext, RequestScheduler, RequestStage},
        types::{AttemptDestination, RequestId},
    },
    crate::{effect::NodeEffect, steering::caller_hash},
    hemlockspool_model::{
        api::{RefusalReason, RunOutcome},
        names::{DomainName, LinkName, ServiceName},
        objects::{EntryObject, LimitResource},
    },
    std::{cmp::Reverse, time::Duration},
};

/// The number of requests that may wait for each slot.
const QUEUED_PER_SLOT: usize = 2;
/// The longest wait for a slot.
const QUEUE_WAIT_MAX: Duration = Duration::from_secs(1);
/// The extra latency of forwarding a request within the region.
const SAME_REGION_COST: Duration = Duration::from_millis(4);
/// The extra latency of forwarding a request to another region.
const CROSS_REGION_COST: Duration = Duration::from_millis(60);

/// An entry of another failure domain that a request may be forwarded to.
struct RemoteCandidate {
    entry: EntryObject,
    link: Option<LinkName>,
    cost: Duration,
}

/// The terms on which a request may join the queue.
struct QueueAdmission {
    /// The expected time until the request gets a slot.
    wait: Duration,
    /// Whether a waiting request must be evicted first.
    evicts: bool,
}

impl RequestScheduler {
    /// Decides where an admitted request runs, and starts, enqueues or refuses it.
    pub(super) fn place(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let Some(request) = self.open.get(&id).cloned() else {
            return Vec::new();
        };
        let now = ctx.clock.now;
        let time_left = request.deadline_at.since(now);
        let latency = self.kind_latency(&request);
        let expected_latency =
            latency.as_ref().and_then(|latency| latency.average(now)).unwrap_or_default();
        if time_left.is_zero() || latency.is_some_and(|latency| latency.refuses(time_left, now)) {
            return self.refuse_not_run(id, RefusalReason::DeadlineTooShort, None, ctx);
        }
        let service = request.incoming.service.clone();
        let waiting = self.queues.get(&service).map_or(0, |queue| queue.len());
        if waiting == 0
            && let Some(effect) = self.dispatch_locally(id, ctx)
        {
            return vec![effect];
        }
        let admission =
            self.queue_admission(&request, time_left.saturating_sub(expected_latency), ctx);
        let remote = self.remote_candidate(&request, ctx);
        match (admission, remote) {
            (Some(admission), Some(remote)) if admission.wait > remote.cost => {
                self.forward(id, remote, ctx)
            }
            (Some(admission), _) => self.enqueue(id, &admission, ctx),
            (None, Some(remote)) => self.forward(id, remote, ctx),
            (None, None) => {
                let (reason, retry_after) = self.capacity_refusal(&request, ctx);
                self.refuse_not_run(id, reason, Some(retry_after), ctx)
            }
        }
    }

    /// Dispatches waiting requests as long as slots are free.
    pub(crate) fn serve_queues(&mut self, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            effects.extend(self.serve_queue(&service, ctx));
        }
        effects
    }

    fn serve_queue(
        &mut self,
        service: &ServiceName,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        while let Some(id) = self.queues.get_mut(service).and_then(|queue| queue.pop()) {
            if let Some(effect) = self.dispatch_locally(id, ctx) {
                effects.push(effect);
                continue;
            }
            let Some(request) = self.open.get(&id) else {
                continue;
            };
            let (kind, caller) = (request.incoming.kind.clone(), request.caller.clone());
            if let Some(queue) = self.queues.get_mut(service) {
                queue.push_front(&kind, &caller, id);
            }
            break;
        }
        if self.queues.get(service).is_some_and(|queue| queue.len() == 0) {
            self.queues.remove(service);
        }
        effects
    }

    /// Refuses waiting requests that have waited too long or can no longer meet their deadline, and
    /// forwards those that have waited for longer than forwarding costs, if another failure domain
    /// is available. They wait that long if slots were occupied for longer than expected, or if no
    /// other failure domain was available when they were enqueued.
    pub(crate) fn expire_queues(&mut self, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let ids: Vec<RequestId> = self.queues.values().flat_map(|queue| queue.ids()).collect();
        let mut effects = Vec::new();
        for id in ids {
            let Some(request) = self.open.get(&id).cloned() else { continue };
            let RequestStage::Queued { since } = request.stage else { continue };
            let waited = ctx.clock.now.since(since);
            let (now, time_left) = (ctx.clock.now, request.deadline_at.since(ctx.clock.now));
            let latency = self.kind_latency(&request);
            let deadline_unreachable = now > request.deadline_at
                || latency.is_some_and(|latency| latency.exceeds(time_left, now));
            let wait_over = deadline_unreachable || waited >= QUEUE_WAIT_MAX;
            let remote = if wait_over { None } else { self.remote_candidate(&request, ctx) };
            let remote = remote.filter(|remote| waited >= remote.cost);
            if !wait_over && remote.is_none() {
                continue;
            }
            if let Some(queue) = self.queues.get_mut(&request.incoming.service) {
                queue.remove(id);
            }
            effects.extend(match remote {
                Some(remote) => self.forward(id, remote, ctx),
                None if deadline_unreachable => {
                    self.refuse_not_run(id, RefusalReason::DeadlineTooShort, None, ctx)
                }
                None => self.refuse_not_run(id, RefusalReason::Overloaded, None, ctx),
            });
        }
        effects
    }

    /// Checks that a caller's running and queued requests, with one more, stay within this entry's
    /// share of the caller's ceiling, if one is declared. Requests whose claim is pending don't
    /// count.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::CallerOverShare`] if they don't.
    pub(super) fn check_caller(
        &self,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> Result<(), RefusalReason> {
        let resource = LimitResource::Caller(request.caller.clone());
        let Some(ceiling) = ctx.config.set().ceiling(&resource) else {
            return Ok(());
        };
        let running = self.running_by_caller.get(&request.caller).copied().unwrap_or(0);
        let waiting: usize =
            self.queues.values().map(|queue| queue.caller_len(&request.caller)).sum();
        let caller_total = u64::from(running) + waiting as u64;
        let salt = caller_hash(request.incoming.caller);
        if caller_total < ctx.share.portion_of(ceiling, salt) {
            Ok(())
        } else {
            Err(RefusalReason::CallerOverShare)
        }
    }

    fn dispatch_locally(
        &mut self,
        id: RequestId,
        ctx: &mut RequestContext<'_>,
    ) -> Option<NodeEffect> {
        if !self.region_has_capacity(ctx) || !self.shift_has_capacity(id, ctx) {
            return None;
        }
        let request = self.open.get(&id)?;
        let (service, tried_targets) =
            (request.incoming.service.clone(), request.tried_targets.clone());
        let now = ctx.clock.now;
        let target =
            ctx.targets.acquire_slot(&service, &tried_targets, ctx.share, ctx.random, now)?;
        self.count_shift_admission(id, ctx);
        let destination = AttemptDestination::Local { target: target.name };
        self.start_attempt(id, destination, target.address, ctx)
    }

    fn forward(
        &mut self,
        id: RequestId,
        remote: RemoteCandidate,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        self.counts.forwarded += 1;
        let RemoteCandidate { entry, link, .. } = remote;
        let destination = AttemptDestination::Remote { entry: entry.name, link };
        self.start_attempt(id, destination, entry.http, ctx).into_iter().collect()
    }

    fn enqueue(
        &mut self,
        id: RequestId,
        admission: &QueueAdmission,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        request.stage = RequestStage::Queued { since: ctx.clock.now };
        let queue = self.queues.entry(request.incoming.service.clone()).or_default();
        let evicted = if admission.evicts { queue.evict() } else { None };
        queue.push(&request.incoming.kind, request.policy.weight, &request.caller, id);
        let reason = RefusalReason::CallerOverShare;
        evicted.map_or(Vec::new(), |id| self.refuse_not_run(id, reason, None, ctx))
    }

    fn refuse_not_run(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        self.refuse(id, reason, RunOutcome::NotRun, retry_after, ctx)
    }

    fn region_has_capacity(&self, ctx: &RequestContext<'_>) -> bool {
        let Some(quota) = ctx.quotas.in_flight else {
            return true;
        };
        ctx.targets.total_in_flight() < ctx.share.portion_of(quota, 0)
    }

    /// Returns whether the shift ceiling admits the request, without counting it. It limits only
    /// callers from other regions.
    fn shift_has_capacity(&mut self, id: RequestId, ctx: &RequestContext<'_>) -> bool {
        let Some(request) = self.open.get(&id) else {
            return false;
        };
        let Some(ceiling) = ctx.quotas.entry_shift else {
            return true;
        };
        if !request.from_other_region {
            return true;
        }
        self.shift_window.has_capacity(ceiling, ctx.quotas.window, ctx.clock.now)
    }

    /// Counts an attempt for a caller from another region: each attempt may start at a target.
    fn count_shift_admission(&mut self, id: RequestId, ctx: &RequestContext<'_>) {
        let from_other_region = self.open.get(&id).is_some_and(|request| request.from_other_region);
        if from_other_region && ctx.quotas.entry_shift.is_some() {
            self.shift_window.record_admission(ctx.quotas.window, ctx.clock.now);
        }
    }

    /// Returns the terms on which a request may wait, or `None` if it may not. `slack` is the
    /// longest wait after which it can still meet its deadline.
    ///
    /// Callers share the places in the queue evenly. If the queue is full, a caller with less than
    /// an even share evicts the latest request of the caller with the most in any one kind, so that
    /// a flood of requests from one caller doesn't keep others out.
    fn queue_admission(
        &mut self,
        request: &OpenRequest,
        slack: Duration,
        ctx: &RequestContext<'_>,
    ) -> Option<QueueAdmission> {
        let service = &request.incoming.service;
        let slots = ctx.targets.usable_slots(service, ctx.share, ctx.clock.now) as usize;
        if slots == 0 || !self.shift_has_capacity(request.incoming.id, ctx) {
            return None;
        }
        let capacity = slots * QUEUED_PER_SLOT;
        let (waiting, caller_waiting, waiting_callers) = match self.queues.get(service) {
            Some(queue) => (queue.len(), queue.caller_len(&request.caller), queue.caller_count()),
            None => (0, 0, 0),
        };
        let caller_count = waiting_callers + usize::from(caller_waiting == 0);
        let evicts = waiting >= capacity;
        let rounds = (waiting + usize::from(!evicts)) as f64 / slots as f64;
        let wait = ctx.targets.service_time(service).mul_f64(rounds);
        let below_even_share = caller_waiting < capacity.div_ceil(caller_count.max(1));
        let in_time = wait <= slack && wait <= QUEUE_WAIT_MAX;
        (below_even_share && in_time).then_some(QueueAdmission { wait, evicts })
    }

    fn remote_candidate(
        &self,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> Option<RemoteCandidate> {
        if request.incoming.forwarded {
            return None;
        }
        let service = &request.incoming.service;
        let domains = ctx.quotas.service_domains.get(service)?;
        let mut domains: Vec<&DomainName> = (domains.iter())
            .filter(|domain| **domain != ctx.identity.domain)
            .filter(|domain| !request.tried_domains.contains(domain))
            .filter(|domain| !self.is_backing_off(domain, service, ctx))
            .collect();
        let set = ctx.config.set();
        let same_region = |domain: &DomainName| set.region_of(domain) == Some(&ctx.quotas.region);
        let tie_break = |domain: &DomainName| {
            crate::util::stable_hash(domain.as_str().as_bytes()) ^ request.incoming.id.0
        };
        domains.sort_by_key(|domain| {
            let is_home = request.from_other_region && request.home_domain.as_ref() == Some(domain);
            (Reverse(is_home), Reverse(same_region(domain)), tie_break(domain))
        });
        domains
            .into_iter()
            .find_map(|domain| self.candidate_in(domain, same_region(domain), request, ctx))
    }

    fn is_backing_off(
        &self,
        domain: &DomainName,
        service: &ServiceName,
        ctx: &RequestContext<'_>,
    ) -> bool {
        let until = self.remote_backoff.get(&(domain.clone(), service.clone()));
        until.is_some_and(|until| ctx.clock.now < *until)
    }

    fn candidate_in(
        &self,
        domain: &DomainName,
        same_region: bool,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> Option<RemoteCandidate> {
        let set = ctx.config.set();
        let serves = |entry: &hemlockspool_model::api::LookupEntry| {
            entry.domain == *domain && !ctx.config.is_absent(&entry.name)
        };
        let candidate = ctx
            .steering_index
            .ranked_entries(domain, request.incoming.caller, serves)
            .into_iter()
            .next()?;
        if candidate.domain != *domain {
            return None;
        }
        let entry = set.entries.get(&candidate.name)?.clone();
        if same_region {
            return Some(RemoteCandidate { entry, link: None, cost: SAME_REGION_COST });
        }
        let region = set.region_of(domain)?;
        let link_rate = ctx.quotas.link_rate(region, ctx.share);
        let available = link_rate.is_none_or(|(link, rate)| {
            let backlog = self.link_pacers.get(link).map(|pacer| pacer.backlog(ctx.clock.now));
            rate > 0 && backlog.unwrap_or_default() < LINK_BACKLOG_MAX
        });
        let link = link_rate.map(|(link, _)| link.clone());
        available.then_some(RemoteCandidate { entry, link, cost: CROSS_REGION_COST })
    }

    fn capacity_refusal(
        &mut self,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> (RefusalReason, Duration) {
        let service = &request.incoming.service;
        if !self.shift_has_capacity(request.incoming.id, ctx) {
            return (RefusalReason::ShiftCap, ctx.quotas.window / 2);
        }
        let slots = ctx.targets.usable_slots(service, ctx.share, ctx.clock.now);
        if slots == 0 {
            return (RefusalReason::NoTarget, Duration::from_secs(1));
        }
        let wait = ctx.targets.service_time(service) * QUEUED_PER_SLOT as u32;
        (RefusalReason::Overloaded, wait.max(Duration::from_millis(50)))
    }
}
