/*!
Handling of attempt results, and retries.

A request that may have run and must not run twice is never retried. A retry is charged to a budget
proportional to the number of admitted requests, unless the failed attempt sent nothing.
*/

use {
    super::{
        claims::submit_detached,
        latency::KindLatency,
        scheduler::{RequestContext, RequestScheduler, RequestStage},
        types::{AttemptDestination, AttemptResult, RequestId},
    },
    crate::{
        effect::NodeEffect,
        ledger::{LedgerCommand, StoredResponse, TallyKey},
        util::month_of,
    },
    hemlockspool_model::{
        api::{RefusalReason, RunOutcome},
        objects::RepeatPolicy,
    },
    std::time::Duration,
};

/// The time for which a remote failure domain gets no requests of a service after a failed attempt;
/// also the longest such time after a refusal.
const REMOTE_BACKOFF: Duration = Duration::from_secs(1);
/// The shortest time for which a remote failure domain gets no requests of a service after a
/// refusal.
const REMOTE_REFUSAL_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The deadline of a kind divided by this is the time for a response without which a destination is to
/// blame. Whoever states less time for a request, or has used it up, must not make others' requests
/// miss a target that works.
const TIMEOUT_BLAME_DIVISOR: u32 = 2;
/// The maximum number of attempts for one request.
const ATTEMPTS_MAX: u32 = 4;

impl RequestScheduler {
    pub(super) fn handle_attempt_end(
        &mut self,
        id: RequestId,
        attempt: u32,
        result: AttemptResult,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let RequestStage::Running { attempt: current, destination } = &request.stage else {
            return Vec::new();
        };
        if *current != attempt {
            return Vec::new();
        }
        let destination = destination.clone();
        request.stage = RequestStage::Answered;
        self.release_slot(id, &destination, ctx);
        let mut effects = match result {
            AttemptResult::Answered { response, latency } => {
                self.handle_response(id, &destination, response, latency, ctx)
            }
            AttemptResult::NotSent => self.handle_not_sent(id, &destination, ctx),
            AttemptResult::NotRun { retry_after } => {
                self.handle_not_run(id, &destination, retry_after, ctx)
            }
            AttemptResult::Interrupted => self.handle_interrupted(id, &destination, true, ctx),
            AttemptResult::TimedOut => {
                let had_time = self.open.get(&id).is_some_and(|request| {
                    let kind_deadline = Duration::from_millis(request.policy.deadline_ms);
                    request.attempt_time >= kind_deadline / TIMEOUT_BLAME_DIVISOR
                });
                self.handle_interrupted(id, &destination, had_time, ctx)
            }
            AttemptResult::Truncated => record_target_failure(&destination, ctx),
        };
        effects.extend(self.serve_queues(ctx));
        effects
    }

    /// Releases the slot that an attempt occupied at a local target, and decrements its caller's
    /// count of running requests.
    pub(super) fn release_slot(
        &mut self,
        id: RequestId,
        destination: &AttemptDestination,
        ctx: &mut RequestContext<'_>,
    ) {
        if let AttemptDestination::Local { target } = destination {
            ctx.targets.release_slot(target);
        }
        let Some(request) = self.open.get(&id) else {
            return;
        };
        if let Some(count) = self.running_by_caller.get_mut(&request.caller) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running_by_caller.remove(&request.caller);
            }
        }
    }

    fn handle_response(
        &mut self,
        id: RequestId,
        destination: &AttemptDestination,
        response: Option<StoredResponse>,
        latency: Duration,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        if let AttemptDestination::Local { target } = destination {
            effects.extend(ctx.targets.record_response(target, latency));
        }
        self.counts.responded += 1;
        let Some(request) = self.open.get_mut(&id) else {
            return effects;
        };
        let kind = (request.incoming.service.clone(), request.incoming.kind.clone());
        let now = ctx.clock.now;
        let recent = self.kind_latencies.entry(kind);
        let recent = recent.and_modify(|recent| recent.record(latency, now));
        recent.or_insert_with(|| KindLatency::new(latency, now));
        if !request.incoming.forwarded {
            let key = TallyKey {
                month: month_of(ctx.clock.wall_ms),
                service: request.incoming.service.clone(),
                kind: request.incoming.kind.clone(),
            };
            let count = self.tallies.entry(key).or_default();
            count.requests += 1;
            count.weighted += u64::from(request.policy.weight);
            self.tallies_changed = true;
        }
        if let (Some((key, token)), Some(response)) = (request.claim.take(), response) {
            let command = LedgerCommand::Settle { key, token, answer: response };
            effects.extend(submit_detached(command, ctx));
        }
        effects
    }

    fn handle_not_sent(
        &mut self,
        id: RequestId,
        destination: &AttemptDestination,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = record_target_failure(destination, ctx);
        self.back_off(id, destination, REMOTE_BACKOFF, ctx);
        effects.extend(self.retry(id, true, ctx));
        effects
    }

    fn handle_not_run(
        &mut self,
        id: RequestId,
        destination: &AttemptDestination,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        if let AttemptDestination::Local { target } = destination {
            ctx.targets.record_refusal(target, ctx.clock.now);
        }
        let backoff =
            retry_after.unwrap_or_default().clamp(REMOTE_REFUSAL_BACKOFF_MIN, REMOTE_BACKOFF);
        self.back_off(id, destination, backoff, ctx);
        self.retry(id, false, ctx)
    }

    /// Retries a request that may have run, or refuses it. `blamed` tells whether the destination
    /// gets fewer requests for it.
    fn handle_interrupted(
        &mut self,
        id: RequestId,
        destination: &AttemptDestination,
        blamed: bool,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        if blamed {
            effects.extend(record_target_failure(destination, ctx));
        }
        let backoff = if blamed { REMOTE_BACKOFF } else { Duration::ZERO };
        self.back_off(id, destination, backoff, ctx);
        let Some(request) = self.open.get_mut(&id) else {
            return effects;
        };
        request.may_have_run = true;
        let repeatable = request.policy.repeat == RepeatPolicy::Safe && request.incoming.replayable;
        effects.extend(if repeatable {
            self.retry(id, false, ctx)
        } else {
            self.refuse(id, RefusalReason::AttemptFailed, RunOutcome::Unknown, None, ctx)
        });
        effects
    }

    /// Excludes a local target, or the failure domain of a remote entry, from further attempts of
    /// this request. The failure domain also gets no other requests of the service until the
    /// backoff ends, if there is one.
    fn back_off(
        &mut self,
        id: RequestId,
        destination: &AttemptDestination,
        backoff: Duration,
        ctx: &RequestContext<'_>,
    ) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        match destination {
            AttemptDestination::Local { target } => {
                request.tried_targets.insert(target.clone());
            }
            AttemptDestination::Remote { entry, .. } => {
                let set = ctx.config.set();
                let Some(object) = set.entries.get(entry) else {
                    return;
                };
                request.tried_domains.insert(object.domain.clone());
                if backoff.is_zero() {
                    return;
                }
                let key = (object.domain.clone(), request.incoming.service.clone());
                self.remote_backoff.insert(key, ctx.clock.now.after(backoff));
            }
        }
    }

    /// Places the request again if it may be retried, and refuses it otherwise.
    fn retry(
        &mut self,
        id: RequestId,
        exempt_from_budget: bool,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get(&id) else {
            return Vec::new();
        };
        // A body that isn't held in memory is consumed by the first attempt, even if that sent only
        // a part of it or nothing.
        let replayable = request.incoming.replayable;
        let allowed = replayable
            && request.attempts < ATTEMPTS_MAX
            && (exempt_from_budget || self.retry_budget.try_withdraw());
        if allowed {
            self.counts.retries += u64::from(!exempt_from_budget);
            return self.place(id, ctx);
        }
        let outcome = if request.may_have_run { RunOutcome::Unknown } else { RunOutcome::NotRun };
        let reason = match outcome {
            RunOutcome::Unknown => RefusalReason::AttemptFailed,
            _ => RefusalReason::Overloaded,
        };
        self.refuse(id, reason, outcome, None, ctx)
    }
}

fn record_target_failure(
    destination: &AttemptDestination,
    ctx: &mut RequestContext<'_>,
) -> Vec<NodeEffect> {
    match destination {
        AttemptDestination::Local { target } => ctx.targets.record_failure(target, ctx.clock.now),
        AttemptDestination::Remote { .. } => Vec::new(),
    }
}
