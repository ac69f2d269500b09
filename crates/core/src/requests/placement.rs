/*!
Where a request runs: a target here, an entry elsewhere, the queue, or nowhere.

A decision reserves what it uses before it acts, so that no two decisions count on the same slot.
Work for other failure domains goes through their entries: slots are counted where they are spent.
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

/// Requests that may wait for each slot.
const WAITING_PER_SLOT: usize = 2;
/// The longest wait for a slot.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// What passing a request on costs within the region.
const NEAR_COST: Duration = Duration::from_millis(4);
/// What passing a request on to another region costs.
const FAR_COST: Duration = Duration::from_millis(60);

/// An entry of another failure domain that may take a request.
struct RemoteOption {
    entry: EntryObject,
    link: Option<LinkName>,
    cost: Duration,
}

/// A place in the queue that a request may have.
struct WaitingRoom {
    /// The time until its turn.
    wait: Duration,
    /// Whether another's request must go for it.
    by_eviction: bool,
}

impl RequestScheduler {
    /// Decides on a request that has what it needs to run.
    pub(super) fn place(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let Some(request) = self.open.get(&id).cloned() else {
            return Vec::new();
        };
        let left = request.deadline_at.since(ctx.clock.now);
        let needed = self.kind_time(&request).unwrap_or_default();
        if left.is_zero() || left < needed / 2 {
            return self.refuse_unrun(id, RefusalReason::DeadlineTooShort, None, ctx);
        }
        let service = request.intake.service.clone();
        let waiting = self.queues.get(&service).map_or(0, |queue| queue.len());
        if waiting == 0
            && let Some(effect) = self.run_here(id, ctx)
        {
            return vec![effect];
        }
        let room = self.waiting_room(&request, left.saturating_sub(needed), ctx);
        let remote = self.remote_option(&request, ctx);
        match (room, remote) {
            (Some(room), Some(remote)) if room.wait > remote.cost => {
                self.run_there(id, remote, ctx)
            }
            (Some(room), _) => self.wait_here(id, &room, ctx),
            (None, Some(remote)) => self.run_there(id, remote, ctx),
            (None, None) => {
                let (reason, retry_after) = self.why_nowhere(&request, ctx);
                self.refuse_unrun(id, reason, Some(retry_after), ctx)
            }
        }
    }

    /// Serves waiting requests as far as slots are free, and ends those that waited too long.
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
            if let Some(effect) = self.run_here(id, ctx) {
                effects.push(effect);
                continue;
            }
            let Some(request) = self.open.get(&id) else {
                continue;
            };
            let (kind, caller) = (request.intake.kind.clone(), request.caller.clone());
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

    /// Ends waiting requests whose time can't be kept any more, and passes on those that have
    /// waited for longer than that costs: slots were held for longer than expected.
    pub(crate) fn expire_queues(&mut self, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let ids: Vec<RequestId> = self.queues.values().flat_map(|queue| queue.ids()).collect();
        let mut effects = Vec::new();
        for id in ids {
            let Some(request) = self.open.get(&id).cloned() else { continue };
            let RequestStage::Queued { since } = request.stage else { continue };
            let waited = ctx.clock.now.since(since);
            let needed = self.kind_time(&request).unwrap_or_default();
            let late = ctx.clock.now.after(needed / 2) > request.deadline_at;
            let over = late || waited >= WAIT_MAX;
            let remote = if over { None } else { self.remote_option(&request, ctx) };
            let remote = remote.filter(|remote| waited >= remote.cost);
            if !over && remote.is_none() {
                continue;
            }
            if let Some(queue) = self.queues.get_mut(&request.intake.service) {
                queue.remove(id);
            }
            effects.extend(match remote {
                Some(remote) => self.run_there(id, remote, ctx),
                None if late => self.refuse_unrun(id, RefusalReason::DeadlineTooShort, None, ctx),
                None => self.refuse_unrun(id, RefusalReason::Overloaded, None, ctx),
            });
        }
        effects
    }

    /// Refuses a caller that has more under way than a limit object allows it here.
    pub(super) fn check_caller(
        &self,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> Result<(), RefusalReason> {
        let resource = LimitResource::Caller(request.caller.clone());
        let Some(ceiling) = ctx.config.set().ceiling(&resource) else {
            return Ok(());
        };
        let running = self.by_caller.get(&request.caller).copied().unwrap_or(0);
        let waiting: usize = self.queues.values().map(|q| q.caller_len(&request.caller)).sum();
        let own = u64::from(running) + waiting as u64;
        let salt = caller_hash(request.intake.caller);
        if own < ctx.share.portion_of(ceiling, salt) {
            Ok(())
        } else {
            Err(RefusalReason::CallerOverShare)
        }
    }

    fn run_here(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Option<NodeEffect> {
        if !self.region_has_room(ctx) || !self.shift_has_room(id, ctx) {
            return None;
        }
        let request = self.open.get(&id)?;
        let (service, tried) = (request.intake.service.clone(), request.tried.clone());
        let now = ctx.clock.now;
        let target = ctx.targets.acquire_slot(&service, &tried, ctx.share, ctx.random, now)?;
        self.count_shift(id, ctx);
        let place = AttemptDestination::Local { target: target.name };
        self.start(id, place, target.address, ctx)
    }

    fn run_there(
        &mut self,
        id: RequestId,
        remote: RemoteOption,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        self.counts.forwarded += 1;
        let RemoteOption { entry, link, .. } = remote;
        let place = AttemptDestination::Remote { entry: entry.name, link };
        self.start(id, place, entry.http, ctx).into_iter().collect()
    }

    fn wait_here(
        &mut self,
        id: RequestId,
        room: &WaitingRoom,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        request.stage = RequestStage::Queued { since: ctx.clock.now };
        let queue = self.queues.entry(request.intake.service.clone()).or_default();
        let evicted = if room.by_eviction { queue.evict() } else { None };
        queue.push(&request.intake.kind, request.policy.weight, &request.caller, id);
        let reason = RefusalReason::CallerOverShare;
        evicted.map_or(Vec::new(), |id| self.refuse_unrun(id, reason, None, ctx))
    }

    fn refuse_unrun(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        self.give_up(id, reason, RunOutcome::NotRun, retry_after, ctx)
    }

    fn region_has_room(&self, ctx: &RequestContext<'_>) -> bool {
        let Some(part) = ctx.quotas.in_flight else {
            return true;
        };
        ctx.targets.total_in_flight() < ctx.share.portion_of(part, 0)
    }

    /// Tells whether the shift cap lets a caller from elsewhere in, without counting it.
    fn shift_has_room(&mut self, id: RequestId, ctx: &RequestContext<'_>) -> bool {
        let Some(request) = self.open.get(&id) else {
            return false;
        };
        let Some(ceiling) = ctx.quotas.entry_shift else {
            return true;
        };
        if !request.from_other_region {
            return true;
        }
        self.shift.has_capacity(ceiling, ctx.quotas.window, ctx.clock.now)
    }

    /// Counts an attempt for a caller from elsewhere: each one may begin at a target.
    fn count_shift(&mut self, id: RequestId, ctx: &RequestContext<'_>) {
        let from_other_region = self.open.get(&id).is_some_and(|request| request.from_other_region);
        if from_other_region && ctx.quotas.entry_shift.is_some() {
            self.shift.count(ctx.quotas.window, ctx.clock.now);
        }
    }

    /// Returns how a request may wait, if it may.
    ///
    /// Callers share the places in the queue evenly. One with less than its part gets the latest
    /// place of the caller that has most, so that a flood doesn't keep others out.
    fn waiting_room(
        &mut self,
        request: &OpenRequest,
        spare: Duration,
        ctx: &RequestContext<'_>,
    ) -> Option<WaitingRoom> {
        let service = &request.intake.service;
        let slots = ctx.targets.usable_slots(service, ctx.share, ctx.clock.now) as usize;
        if slots == 0 || !self.shift_has_room(request.intake.id, ctx) {
            return None;
        }
        let places = slots * WAITING_PER_SLOT;
        let (waiting, own, callers) = match self.queues.get(service) {
            Some(queue) => (queue.len(), queue.caller_len(&request.caller), queue.callers()),
            None => (0, 0, 0),
        };
        let sharing = callers + usize::from(own == 0);
        let by_eviction = waiting >= places;
        let turns = (waiting + usize::from(!by_eviction)) as f64 / slots as f64;
        let wait = ctx.targets.service_time(service).mul_f64(turns);
        let fair = own < places.div_ceil(sharing.max(1));
        let in_time = wait <= spare && wait <= WAIT_MAX;
        (fair && in_time).then_some(WaitingRoom { wait, by_eviction })
    }

    fn remote_option(
        &self,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> Option<RemoteOption> {
        if request.intake.forwarded {
            return None;
        }
        let service = &request.intake.service;
        let domains = ctx.quotas.service_domains.get(service)?;
        let mut open: Vec<&DomainName> = (domains.iter())
            .filter(|domain| **domain != ctx.identity.domain)
            .filter(|domain| !request.tried_domains.contains(domain))
            .filter(|domain| !self.is_paused(domain, service, ctx))
            .collect();
        let set = ctx.config.set();
        let near = |domain: &DomainName| set.region_of(domain) == Some(&ctx.quotas.region);
        let spread = |domain: &DomainName| {
            crate::util::stable_hash(domain.as_str().as_bytes()) ^ request.intake.id.0
        };
        open.sort_by_key(|domain| {
            let home = request.from_other_region && request.home.as_ref() == Some(domain);
            (Reverse(home), Reverse(near(domain)), spread(domain))
        });
        open.into_iter().find_map(|domain| self.entry_in(domain, near(domain), request, ctx))
    }

    fn is_paused(
        &self,
        domain: &DomainName,
        service: &ServiceName,
        ctx: &RequestContext<'_>,
    ) -> bool {
        let until = self.remote_paused.get(&(domain.clone(), service.clone()));
        until.is_some_and(|until| ctx.clock.now < *until)
    }

    fn entry_in(
        &self,
        domain: &DomainName,
        near: bool,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> Option<RemoteOption> {
        let set = ctx.config.set();
        let serves = |line: &hemlockspool_model::api::LookupEntry| {
            line.domain == *domain && !ctx.config.is_absent(&line.name)
        };
        let first =
            ctx.index.ranked_entries(domain, request.intake.caller, serves).into_iter().next()?;
        if first.domain != *domain {
            return None;
        }
        let entry = set.entries.get(&first.name)?.clone();
        if near {
            return Some(RemoteOption { entry, link: None, cost: NEAR_COST });
        }
        let region = set.region_of(domain)?;
        let part = ctx.quotas.link_rate(region, ctx.share);
        let free = part.is_none_or(|(link, rate)| {
            let backlog = self.links.get(link).map(|pacer| pacer.backlog(ctx.clock.now));
            rate > 0 && backlog.unwrap_or_default() < LINK_BACKLOG_MAX
        });
        let link = part.map(|(link, _)| link.clone());
        free.then_some(RemoteOption { entry, link, cost: FAR_COST })
    }

    fn why_nowhere(
        &mut self,
        request: &OpenRequest,
        ctx: &RequestContext<'_>,
    ) -> (RefusalReason, Duration) {
        let service = &request.intake.service;
        if !self.shift_has_room(request.intake.id, ctx) {
            return (RefusalReason::ShiftCap, ctx.quotas.window / 2);
        }
        let slots = ctx.targets.usable_slots(service, ctx.share, ctx.clock.now);
        if slots == 0 {
            return (RefusalReason::NoTarget, Duration::from_secs(1));
        }
        let wait = ctx.targets.service_time(service) * WAITING_PER_SLOT as u32;
        (RefusalReason::Overloaded, wait.max(Duration::from_millis(50)))
    }
}
