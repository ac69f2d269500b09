/*!
The open requests of an entry.
*/

use {
    super::{
        limits::{LinkPacer, RetryBudget, ShiftWindow},
        queue::QueueMap,
        types::{
            AttemptPlace, AttemptResult, DispatchOrder, RequestEvent, RequestId, RequestIntake,
            RequestOrder,
        },
    },
    crate::{
        caps::DomainCaps,
        clock::{ClockReading, Moment},
        domain::DomainShare,
        effect::NodeEffect,
        identity::NodeIdentity,
        ledger::{
            ClaimAnswer, ClaimCommand, ClaimKey, ClaimToken, LedgerCommand, LedgerOutcome,
            SettledAnswer, TallyCount, TallyKey, TallyReport,
        },
        spread::ConfigCopy,
        steering::SteeringIndex,
        submit::{SubmitBook, SubmitPurpose},
        targets::TargetBoard,
        util::month_of,
    },
    hemlockspool_model::{
        api::{RefusalBody, RefusalReason, RunOutcome},
        names::{CallerName, DomainName, KindName, LinkName, RegionName, ServiceName, TargetName},
        objects::{KindPolicy, RepeatRule},
    },
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// How long an entry tries to have a claim recorded.
const CLAIM_PATIENCE: Duration = Duration::from_secs(3);
/// How long an entry tries to have an outcome recorded.
const RECORD_PATIENCE: Duration = Duration::from_secs(300);
/// When a caller should come back for a claim that isn't settled.
const CLAIM_RETRY: Duration = Duration::from_secs(1);
/// For how long an entry elsewhere that couldn't be reached is left alone.
const REMOTE_PAUSE: Duration = Duration::from_secs(1);
/// For how long an entry elsewhere that refused is left alone at least.
const REMOTE_FULL_PAUSE: Duration = Duration::from_millis(50);
/// Attempts at one request at most.
const ATTEMPTS_MAX: u32 = 4;
/// The weight of the latest answer in a kind's mean time.
const KIND_GAIN: f64 = 0.1;

#[derive(Clone, Debug)]
pub(super) enum RequestStage {
    /// Its claim is under way.
    Claiming,
    /// It waits for a slot.
    Queued { since: Moment },
    /// An attempt is under way.
    Running { attempt: u32, place: AttemptPlace },
    /// It has its answer.
    Answered,
}

#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub intake: RequestIntake,
    pub policy: KindPolicy,
    pub caller: CallerName,
    pub home: Option<DomainName>,
    /// Whether the caller is at home in another region.
    pub foreign: bool,
    /// Whether it was counted against the shift cap.
    pub shift_counted: bool,
    pub deadline_at: Moment,
    pub stage: RequestStage,
    pub attempts: u32,
    pub maybe_ran: bool,
    pub tried: BTreeSet<TargetName>,
    pub tried_domains: BTreeSet<DomainName>,
    pub claim: Option<(ClaimKey, ClaimToken)>,
}

/// Counts of what became of requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that got a complete answer.
    pub answered: u64,
    /// Extra attempts.
    pub retries: u64,
    /// Requests passed on to other failure domains.
    pub forwarded: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
}

/// The open requests of an entry, and what bounds them.
#[derive(Clone, Debug, Default)]
pub struct RequestBook {
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) queues: QueueMap,
    pub(super) shift: ShiftWindow,
    pub(super) by_caller: BTreeMap<CallerName, u32>,
    pub(super) remote_paused: BTreeMap<(DomainName, ServiceName), Moment>,
    pub(super) links: BTreeMap<LinkName, LinkPacer>,
    pub(super) counts: RequestCounts,
    kind_times: BTreeMap<(ServiceName, KindName), f64>,
    retries: RetryBudget,
    tallies: BTreeMap<TallyKey, TallyCount>,
    tallies_changed: bool,
}

/// Everything around the open requests that a decision looks at.
pub(crate) struct RequestContext<'a> {
    pub identity: &'a NodeIdentity,
    pub config: &'a ConfigCopy,
    pub caps: &'a DomainCaps,
    pub index: &'a SteeringIndex,
    pub share: DomainShare,
    pub share_valid_until: Moment,
    pub targets: &'a mut TargetBoard,
    pub submits: &'a mut SubmitBook,
    pub seeds: &'a [SocketAddr],
    pub random: &'a mut Pcg32,
    pub clock: ClockReading,
}

impl RequestBook {
    /// Returns the counts so far.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> u64 {
        self.queues.values().map(|queue| queue.len() as u64).sum()
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> u64 {
        self.open.len() as u64
    }

    pub(crate) fn handle(
        &mut self,
        event: RequestEvent,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        match event {
            RequestEvent::Arrived(intake) => self.arrive(*intake, ctx),
            RequestEvent::AttemptEnded { id, attempt, result } => {
                self.attempt_ended(id, attempt, result, ctx)
            }
            RequestEvent::Closed { id } => self.close(id, ctx),
        }
    }

    fn arrive(&mut self, intake: RequestIntake, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        self.counts.arrived += 1;
        let id = intake.id;
        let request = match self.admit(intake, ctx) {
            Ok(request) => request,
            Err(reason) => return vec![self.refusal(id, reason, RunOutcome::NotRun, None)],
        };
        let never = request.policy.repeat == RepeatRule::Never;
        let claims = never && !request.intake.forwarded;
        self.retries.earn();
        self.open.insert(id, request);
        if claims { self.start_claim(id, ctx) } else { self.place(id, ctx) }
    }

    fn admit(
        &self,
        intake: RequestIntake,
        ctx: &RequestContext<'_>,
    ) -> Result<OpenRequest, RefusalReason> {
        if ctx.config.version().is_none() {
            return Err(RefusalReason::NoConfiguration);
        }
        let set = ctx.config.set();
        let service = set.services.get(&intake.service).ok_or(RefusalReason::NoSuchKind)?;
        let policy = service.kinds.get(&intake.kind).ok_or(RefusalReason::NoSuchKind)?.clone();
        if intake.body_bytes > policy.request_bytes {
            return Err(RefusalReason::BodyTooLarge);
        }
        let never = policy.repeat == RepeatRule::Never;
        if never && intake.key.is_none() {
            return Err(RefusalReason::KeyMissing);
        }
        let block = set.block_of(intake.caller);
        let own_name = || CallerName::new(&intake.caller.to_string());
        let caller = block.map_or_else(own_name, |block| block.caller.clone());
        let home = block.map(|block| block.domain.clone());
        let home_region = home.as_ref().and_then(|domain| set.region_of(domain));
        let foreign = home_region.is_some_and(|region| *region != ctx.caps.region);
        let given = Duration::from_millis(policy.deadline_ms);
        let deadline = intake.deadline.unwrap_or(given);
        let request = OpenRequest {
            intake,
            policy,
            caller,
            home,
            foreign,
            shift_counted: false,
            deadline_at: ctx.clock.now.after(deadline),
            stage: RequestStage::Claiming,
            attempts: 0,
            maybe_ran: false,
            tried: BTreeSet::new(),
            tried_domains: BTreeSet::new(),
            claim: None,
        };
        self.check_caller(&request, ctx)?;
        if ctx.submits.is_full() && never {
            return Err(RefusalReason::NoQuorum);
        }
        Ok(request)
    }

    fn start_claim(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let key = ClaimKey {
            service: request.intake.service.clone(),
            key: request.intake.key.clone().unwrap_or_default(),
        };
        let token = ClaimToken {
            entry: ctx.identity.name.clone(),
            incarnation: ctx.identity.incarnation,
            request: id.0,
        };
        request.claim = Some((key.clone(), token.clone()));
        let digest = request.intake.digest;
        let retention_ms = request.policy.retention_ms;
        let left = request.deadline_at.since(ctx.clock.now);
        let command = LedgerCommand::Claim(ClaimCommand { key, token, digest, retention_ms });
        let patience = CLAIM_PATIENCE.min(left);
        let purpose = SubmitPurpose::Claim(id);
        ctx.submits.submit(command, purpose, patience, ctx.seeds, ctx.clock.now)
    }

    /// Goes on with a request whose claim came back, or ran out of time.
    pub(crate) fn claim_ended(
        &mut self,
        id: RequestId,
        outcome: Option<LedgerOutcome>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        if !self.open.contains_key(&id) {
            return Vec::new();
        }
        use RefusalReason as R;
        let not_run = RunOutcome::NotRun;
        match outcome {
            Some(LedgerOutcome::Claimed(ClaimAnswer::Granted)) => self.place(id, ctx),
            Some(LedgerOutcome::Claimed(ClaimAnswer::Settled(answer))) => {
                self.forget_claim(id);
                vec![NodeEffect::Request { id, order: RequestOrder::Replay(answer) }]
            }
            Some(LedgerOutcome::Claimed(ClaimAnswer::Open)) => {
                self.forget_claim(id);
                self.give_up(id, R::ClaimOpen, RunOutcome::Unknown, Some(CLAIM_RETRY), ctx)
            }
            Some(LedgerOutcome::Claimed(ClaimAnswer::KeyReused)) => {
                self.forget_claim(id);
                self.give_up(id, R::KeyReused, not_run, None, ctx)
            }
            Some(LedgerOutcome::Claimed(ClaimAnswer::Full)) => {
                self.forget_claim(id);
                self.give_up(id, R::ClaimsFull, not_run, None, ctx)
            }
            _ => self.give_up(id, R::NoQuorum, not_run, None, ctx),
        }
    }

    fn forget_claim(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.claim = None;
            request.stage = RequestStage::Answered;
        }
    }

    fn attempt_ended(
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
            AttemptResult::Answered { answer, took } => {
                self.answered(id, &place, answer, took, ctx)
            }
            AttemptResult::NotSent => self.not_sent(id, &place, ctx),
            AttemptResult::NotRun { retry_after } => self.not_run(id, &place, retry_after, ctx),
            AttemptResult::Broken => self.broken(id, &place, ctx),
            AttemptResult::Cut => place_failed(&place, ctx),
        };
        effects.extend(self.serve_queues(ctx));
        effects
    }

    /// Gives the slot of an attempt back.
    fn free(&mut self, id: RequestId, place: &AttemptPlace, ctx: &mut RequestContext<'_>) {
        if let AttemptPlace::Local { target } = place {
            ctx.targets.finished(target);
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
        place: &AttemptPlace,
        answer: Option<SettledAnswer>,
        took: Duration,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        if let AttemptPlace::Local { target } = place {
            effects.extend(ctx.targets.answered(target, took));
        }
        self.counts.answered += 1;
        let Some(request) = self.open.get_mut(&id) else {
            return effects;
        };
        let kind = (request.intake.service.clone(), request.intake.kind.clone());
        let took_us = took.as_micros() as f64;
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
        place: &AttemptPlace,
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
        place: &AttemptPlace,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        if let AttemptPlace::Local { target } = place {
            ctx.targets.shed(target, ctx.clock.now);
        }
        let pause = retry_after.unwrap_or_default().clamp(REMOTE_FULL_PAUSE, REMOTE_PAUSE);
        self.avoid(id, place, pause, ctx);
        self.try_again(id, false, ctx)
    }

    fn broken(
        &mut self,
        id: RequestId,
        place: &AttemptPlace,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let mut effects = place_failed(place, ctx);
        self.avoid(id, place, REMOTE_PAUSE, ctx);
        let Some(request) = self.open.get_mut(&id) else {
            return effects;
        };
        request.maybe_ran = true;
        let again = request.policy.repeat == RepeatRule::Safe && request.intake.replayable;
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
        place: &AttemptPlace,
        pause: Duration,
        ctx: &RequestContext<'_>,
    ) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        match place {
            AttemptPlace::Local { target } => {
                request.tried.insert(target.clone());
            }
            AttemptPlace::Remote { entry, .. } => {
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
        let allowed =
            sendable && request.attempts < ATTEMPTS_MAX && (free_of_charge || self.retries.spend());
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

    fn close(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let Some(request) = self.open.get(&id) else {
            return Vec::new();
        };
        let stage = request.stage.clone();
        let service = request.intake.service.clone();
        let mut effects = Vec::new();
        match stage {
            RequestStage::Claiming => effects.extend(self.release_claim(id, ctx)),
            RequestStage::Queued { .. } => {
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.remove(id);
                }
                effects.extend(self.release_claim(id, ctx));
            }
            RequestStage::Running { place, .. } => self.free(id, &place, ctx),
            RequestStage::Answered => {}
        }
        self.open.remove(&id);
        effects.extend(self.serve_queues(ctx));
        effects
    }

    /// Ends a request with its final answer.
    pub(super) fn give_up(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let maybe_ran = self.open.get(&id).is_some_and(|request| request.maybe_ran);
        let outcome = if maybe_ran { RunOutcome::Unknown } else { outcome };
        let mut effects = Vec::new();
        if outcome == RunOutcome::NotRun {
            effects.extend(self.release_claim(id, ctx));
        }
        self.open.remove(&id);
        effects.push(self.refusal(id, reason, outcome, retry_after));
        effects
    }

    fn release_claim(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let claim = self.open.get_mut(&id).and_then(|request| request.claim.take());
        let Some((key, token)) = claim else {
            return Vec::new();
        };
        record(LedgerCommand::Release { key, token }, ctx)
    }

    fn refusal(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
    ) -> NodeEffect {
        *self.counts.refused.entry(reason).or_default() += 1;
        let retry_after_ms = retry_after.unwrap_or(RETRY_DEFAULT).as_millis() as u64;
        let body = RefusalBody { reason, outcome, retry_after_ms };
        NodeEffect::Request { id, order: RequestOrder::Refuse(body) }
    }

    /// Returns how long a kind takes to answer; none before its first answer.
    pub(super) fn kind_time(&self, request: &OpenRequest) -> Option<Duration> {
        let key = (request.intake.service.clone(), request.intake.kind.clone());
        self.kind_times.get(&key).map(|us| Duration::from_micros(*us as u64))
    }

    /// Marks an attempt as under way, and returns the order for it.
    pub(super) fn start(
        &mut self,
        id: RequestId,
        place: AttemptPlace,
        address: SocketAddr,
        ctx: &RequestContext<'_>,
    ) -> Option<NodeEffect> {
        let request = self.open.get_mut(&id)?;
        request.attempts += 1;
        let attempt = request.attempts;
        request.stage = RequestStage::Running { attempt, place: place.clone() };
        *self.by_caller.entry(request.caller.clone()).or_default() += 1;
        let budget = request.deadline_at.since(ctx.clock.now);
        let valid_until = ctx.share_valid_until;
        let order = DispatchOrder { attempt, place, address, budget, valid_until };
        Some(NodeEffect::Request { id, order: RequestOrder::Dispatch(order) })
    }

    /// Returns the totals for a report, if they changed since the last one.
    pub(crate) fn tally_report(&mut self, identity: &NodeIdentity) -> Option<TallyReport> {
        if !self.tallies_changed {
            return None;
        }
        self.tallies_changed = false;
        let totals = self.tallies.iter().map(|(key, count)| (key.clone(), *count)).collect();
        Some(TallyReport { source: identity.tally_source(), totals })
    }

    /// Says that the last report got lost.
    pub(crate) fn tally_lost(&mut self) {
        self.tallies_changed = !self.tallies.is_empty();
    }

    /// Books bytes on the link to a region, and returns how long to wait before sending them.
    pub(crate) fn book_link(
        &mut self,
        to: &RegionName,
        bytes: u64,
        caps: &DomainCaps,
        share: DomainShare,
        now: Moment,
    ) -> Duration {
        let Some((link, rate)) = caps.link_rate(to, share) else {
            return Duration::ZERO;
        };
        self.links.entry(link.clone()).or_default().book(bytes, rate, now)
    }
}

/// When a caller should come back if nothing better is known.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);

fn place_failed(place: &AttemptPlace, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
    match place {
        AttemptPlace::Local { target } => ctx.targets.failed(target, ctx.clock.now),
        AttemptPlace::Remote { .. } => Vec::new(),
    }
}

fn record(command: LedgerCommand, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
    let (purpose, patience) = (SubmitPurpose::Record, RECORD_PATIENCE);
    ctx.submits.submit(command, purpose, patience, ctx.seeds, ctx.clock.now)
}
