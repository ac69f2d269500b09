/*!
The open requests of an entry.
*/

use {
    super::{
        limits::{LinkPacer, RetryBudget, ShiftWindow},
        queue::QueueMap,
        types::{
            AttemptDestination, DispatchAttempt, IncomingRequest, RequestAction, RequestEvent,
            RequestId,
        },
    },
    crate::{
        clock::{ClockReading, Moment},
        config_sync::ConfigSync,
        domain::DomainShare,
        effect::NodeEffect,
        identity::NodeIdentity,
        ledger::{ClaimKey, ClaimToken, TallyCount, TallyKey, TallyReport, claims::KEY_BYTES_MAX},
        quotas::DomainQuotas,
        steering::SteeringIndex,
        submit::CommandSubmitter,
        targets::TargetTracker,
    },
    hemlockspool_model::{
        api::{RefusalReason, RefusalResponse, RunOutcome},
        names::{CallerName, DomainName, KindName, LinkName, RegionName, ServiceName, TargetName},
        objects::{KindPolicy, RepeatPolicy},
    },
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

#[derive(Clone, Debug)]
pub(super) enum RequestStage {
    /// Its claim is under way.
    Claiming,
    /// It waits for a slot.
    Queued { since: Moment },
    /// An attempt is under way.
    Running { attempt: u32, place: AttemptDestination },
    /// It has its answer.
    Answered,
}

#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub intake: IncomingRequest,
    pub policy: KindPolicy,
    pub caller: CallerName,
    pub home: Option<DomainName>,
    /// Whether the caller is at home in another region.
    pub from_other_region: bool,
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
#[derive(Clone, Debug)]
pub struct RequestScheduler {
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) queues: QueueMap,
    pub(super) shift: ShiftWindow,
    pub(super) by_caller: BTreeMap<CallerName, u32>,
    pub(super) remote_paused: BTreeMap<(DomainName, ServiceName), Moment>,
    pub(super) links: BTreeMap<LinkName, LinkPacer>,
    pub(super) counts: RequestCounts,
    pub(super) kind_times: BTreeMap<(ServiceName, KindName), f64>,
    pub(super) retries: RetryBudget,
    pub(super) tallies: BTreeMap<TallyKey, TallyCount>,
    pub(super) tallies_changed: bool,
}

/// Everything around the open requests that a decision looks at.
pub(crate) struct RequestContext<'a> {
    pub identity: &'a NodeIdentity,
    pub config: &'a ConfigSync,
    pub quotas: &'a DomainQuotas,
    pub index: &'a SteeringIndex,
    pub share: DomainShare,
    pub share_valid_until: Moment,
    pub targets: &'a mut TargetTracker,
    pub submitter: &'a mut CommandSubmitter,
    pub seeds: &'a [SocketAddr],
    pub random: &'a mut Pcg32,
    pub clock: ClockReading,
}

impl RequestScheduler {
    /// Makes the book of a process that starts.
    pub fn new(now: Moment) -> Self {
        Self {
            open: BTreeMap::new(),
            queues: QueueMap::new(),
            shift: ShiftWindow::new(now),
            by_caller: BTreeMap::new(),
            remote_paused: BTreeMap::new(),
            links: BTreeMap::new(),
            counts: RequestCounts::default(),
            kind_times: BTreeMap::new(),
            retries: RetryBudget::default(),
            tallies: BTreeMap::new(),
            tallies_changed: false,
        }
    }

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

    fn arrive(&mut self, intake: IncomingRequest, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        self.counts.arrived += 1;
        let id = intake.id;
        let request = match self.admit(intake, ctx) {
            Ok(request) => request,
            Err(reason) => return vec![self.refusal(id, reason, RunOutcome::NotRun, None)],
        };
        let never = request.policy.repeat == RepeatPolicy::Never;
        let claims = never && !request.intake.forwarded;
        self.retries.deposit();
        self.open.insert(id, request);
        if claims { self.start_claim(id, ctx) } else { self.place(id, ctx) }
    }

    fn admit(
        &self,
        intake: IncomingRequest,
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
        let never = policy.repeat == RepeatPolicy::Never;
        if never {
            let key = intake.key.as_ref().ok_or(RefusalReason::KeyMissing)?;
            if key.len() > KEY_BYTES_MAX {
                return Err(RefusalReason::KeyTooLong);
            }
        }
        let block = set.find_block(intake.caller);
        let own_name = || CallerName::new(&intake.caller.to_string());
        let caller = block.map_or_else(own_name, |block| block.caller.clone());
        let home = block.map(|block| block.domain.clone());
        let home_region = home.as_ref().and_then(|domain| set.region_of(domain));
        let from_other_region = home_region.is_some_and(|region| *region != ctx.quotas.region);
        let given = Duration::from_millis(policy.deadline_ms);
        let mut deadline = intake.deadline.unwrap_or(given);
        if never {
            // The claim must outlast the request, whatever time its caller allows.
            deadline = deadline.min(Duration::from_millis(policy.retention_ms / 2));
        }
        let request = OpenRequest {
            intake,
            policy,
            caller,
            home,
            from_other_region,
            deadline_at: ctx.clock.now.after(deadline),
            stage: RequestStage::Claiming,
            attempts: 0,
            maybe_ran: false,
            tried: BTreeSet::new(),
            tried_domains: BTreeSet::new(),
            claim: None,
        };
        self.check_caller(&request, ctx)?;
        if ctx.submitter.is_full() && never {
            return Err(RefusalReason::NoQuorum);
        }
        Ok(request)
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

    fn refusal(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
    ) -> NodeEffect {
        *self.counts.refused.entry(reason).or_default() += 1;
        let retry_after_ms = retry_after.unwrap_or(RETRY_DEFAULT).as_millis() as u64;
        let body = RefusalResponse { reason, outcome, retry_after_ms };
        NodeEffect::Request { id, action: RequestAction::Refuse(body) }
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
        place: AttemptDestination,
        address: SocketAddr,
        ctx: &RequestContext<'_>,
    ) -> Option<NodeEffect> {
        let request = self.open.get_mut(&id)?;
        request.attempts += 1;
        let attempt = request.attempts;
        request.stage = RequestStage::Running { attempt, place: place.clone() };
        *self.by_caller.entry(request.caller.clone()).or_default() += 1;
        let time_left = request.deadline_at.since(ctx.clock.now);
        let valid_until = match ctx.quotas.entry_shift {
            Some(_) if request.from_other_region => {
                let last = ctx.clock.now.after(ShiftWindow::send_span(ctx.quotas.window));
                ctx.share_valid_until.min(last)
            }
            _ => ctx.share_valid_until,
        };
        let dispatch =
            DispatchAttempt { attempt, destination: place, address, time_left, valid_until };
        Some(NodeEffect::Request { id, action: RequestAction::Dispatch(dispatch) })
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

    /// Books bytes on the link to a region, and returns how long to wait before sending them; none
    /// while this entry has no part of the link.
    pub(crate) fn reserve_link(
        &mut self,
        to: &RegionName,
        bytes: u64,
        quotas: &DomainQuotas,
        share: DomainShare,
        now: Moment,
    ) -> Option<Duration> {
        let Some((link, rate)) = quotas.link_rate(to, share) else {
            return Some(Duration::ZERO);
        };
        self.links.entry(link.clone()).or_default().reserve(bytes, rate, now)
    }
}

/// When a caller should come back if nothing better is known.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);
