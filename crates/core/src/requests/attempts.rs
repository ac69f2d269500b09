/*!
How attempts end, and whether another one follows.

A request that may have run and must not be repeated is never tried again. All extra attempts but
those that sent nothing come out of a budget in proportion to first ones.
*/

use {
    super::{
        claims::record,
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

/// For how long an entry elsewhere that couldn't be reached is left alone.
const REMOTE_PAUSE: Duration = Duration::from_secs(1);
/// For how long an entry elsewhere that refused is left alone at least.
const REMOTE_FULL_PAUSE: Duration = Duration::from_millis(50);
/// Attempts at one request at most.
const ATTEMPTS_MAX: u32 = 4;
/// The weight of the latest answer in a kind's mean time.
const KIND_GAIN: f64 = 0.1;

impl RequestScheduler {
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        result: AttemptResult,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let RequestStage::Running { attempt: current, place } = &request.stage else {
            return Vec::new();
        };
        if *current != attempt {
            return Vec::new();
        }
        let place = place.clone();
        request.stage = RequestStage::Answered;
        self.free(id, &place, ctx);
        let mut effects = match result {
            AttemptResult::Answered { answer, latency } => {
                self.answered(id, &place, answer, latency, ctx)
            }
            AttemptResult::NotSent => self.not_sent(id, &place, ctx),
            AttemptResult::NotRun { retry_after } => self.not_run(id, &place, retry_after, ctx),
            AttemptResult::Interrupted => self.broken(id, &place, ctx),
            AttemptResult::Truncated => place_failed(&place, ctx),
        };
        effects.extend(self.serve_queues(ctx));
        effects
    }

    /// Gives the slot of an attempt back.
    pub(super) fn free(
        &mut self,
        id: RequestId,
        place: &AttemptDestination,
        ctx: &mut RequestContext<'_>,
    ) {
        if let AttemptDestination::Local { target } = place {
            ctx.targets.release_slot(target);
        }
        let Some(request) = self.open.get(&id) else {
            return;
        };
        if let Some(count) = self.by_caller.get_mut(&request.caller) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_caller.remove(&request.caller);
            }
        }
    }

    fn answered(
        &mut self,
        id: RequestId,
        place: &AttemptDestination,
        answer: Option<StoredResponse>,
        latency: Duration,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        if let AttemptDestination::Local { target } = place {
            effects.extend(ctx.targets.record_response(target, latency));
        }
        self.counts.answered += 1;
        let Some(request) = self.open.get_mut(&id) else {
            return effects;
        };
        let kind = (request.intake.service.clone(), request.intake.kind.clone());
        let took_us = latency.as_micros() as f64;
        let mean = self.kind_times.entry(kind).or_insert(took_us);
        *mean += KIND_GAIN * (took_us - *mean);
        if !request.intake.forwarded {
            let key = TallyKey {
                month: month_of(ctx.clock.wall_ms),
                service: request.intake.service.clone(),
                kind: request.intake.kind.clone(),
            };
            let count = self.tallies.entry(key).or_default();
            count.requests += 1;
            count.weighted += u64::from(request.policy.weight);
            self.tallies_changed = true;
        }
        if let (Some((key, token)), Some(answer)) = (request.claim.take(), answer) {
            let command = LedgerCommand::Settle { key, token, answer };
            effects.extend(record(command, ctx));
        }
        effects
    }

    fn not_sent(
        &mut self,
        id: RequestId,
        place: &AttemptDestination,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = place_failed(place, ctx);
        self.avoid(id, place, REMOTE_PAUSE, ctx);
        effects.extend(self.try_again(id, true, ctx));
        effects
    }

    fn not_run(
        &mut self,
        id: RequestId,
        place: &AttemptDestination,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        if let AttemptDestination::Local { target } = place {
            ctx.targets.record_refusal(target, ctx.clock.now);
        }
        let pause = retry_after.unwrap_or_default().clamp(REMOTE_FULL_PAUSE, REMOTE_PAUSE);
        self.avoid(id, place, pause, ctx);
        self.try_again(id, false, ctx)
    }

    fn broken(
        &mut self,
        id: RequestId,
        place: &AttemptDestination,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = place_failed(place, ctx);
        self.avoid(id, place, REMOTE_PAUSE, ctx);
        let Some(request) = self.open.get_mut(&id) else {
            return effects;
        };
        request.maybe_ran = true;
        let again = request.policy.repeat == RepeatPolicy::Safe && request.intake.replayable;
        effects.extend(if again {
            self.try_again(id, false, ctx)
        } else {
            self.give_up(id, RefusalReason::AttemptFailed, RunOutcome::Unknown, None, ctx)
        });
        effects
    }

    /// Keeps a request from going to the same place again, and others from an entry elsewhere.
    fn avoid(
        &mut self,
        id: RequestId,
        place: &AttemptDestination,
        pause: Duration,
        ctx: &RequestContext<'_>,
    ) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        match place {
            AttemptDestination::Local { target } => {
                request.tried.insert(target.clone());
            }
            AttemptDestination::Remote { entry, .. } => {
                let set = ctx.config.set();
                let Some(object) = set.entries.get(entry) else {
                    return;
                };
                request.tried_domains.insert(object.domain.clone());
                let key = (object.domain.clone(), request.intake.service.clone());
                self.remote_paused.insert(key, ctx.clock.now.after(pause));
            }
        }
    }

    fn try_again(
        &mut self,
        id: RequestId,
        free_of_charge: bool,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get(&id) else {
            return Vec::new();
        };
        // The body of a request that was cut while it was being sent is gone, and so is one that
        // isn't held.
        let sendable = request.intake.replayable;
        let allowed = sendable
            && request.attempts < ATTEMPTS_MAX
            && (free_of_charge || self.retries.try_withdraw());
        if allowed {
            self.counts.retries += u64::from(!free_of_charge);
            return self.place(id, ctx);
        }
        let outcome = if request.maybe_ran { RunOutcome::Unknown } else { RunOutcome::NotRun };
        let reason = match outcome {
            RunOutcome::Unknown => RefusalReason::AttemptFailed,
            _ => RefusalReason::Overloaded,
        };
        self.give_up(id, reason, outcome, None, ctx)
    }
}

fn place_failed(place: &AttemptDestination, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
    match place {
        AttemptDestination::Local { target } => ctx.targets.record_failure(target, ctx.clock.now),
        AttemptDestination::Remote { .. } => Vec::new(),
    }
}
