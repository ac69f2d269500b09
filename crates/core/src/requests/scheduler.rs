/*!
Admission and bookkeeping of the open requests of an entry.
*/

use {
    super::{
        latency::KindLatency,
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

/// The stage of an open request.
#[derive(Clone, Debug)]
pub(super) enum RequestStage {
    /// The claim command was submitted; its outcome is pending.
    Claiming,
    /// The request waits for a slot.
    Queued { since: Moment },
    /// An attempt is running.
    Running { attempt: u32, destination: AttemptDestination },
    /// The result is known and no attempt is running.
    Answered,
}

/// A request that was admitted and has been neither refused nor closed.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub incoming: IncomingRequest,
    pub policy: KindPolicy,
    pub caller: CallerName,
    pub home_domain: Option<DomainName>,
    /// Whether the caller's home domain is in another region.
    pub from_other_region: bool,
    pub deadline_at: Moment,
    pub stage: RequestStage,
    pub attempts: u32,
    /// The time that the latest attempt had to respond.
    pub attempt_time: Duration,
    pub may_have_run: bool,
    pub tried_targets: BTreeSet<TargetName>,
    pub tried_domains: BTreeSet<DomainName>,
    pub claim: Option<(ClaimKey, ClaimToken)>,
}

/// Counters of requests by outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// The number of requests that arrived.
    pub arrived: u64,
    /// The number of requests whose last attempt ended in `AttemptResult::Answered`; responses
    /// stored for earlier runs don't count.
    pub responded: u64,
    /// The number of retries that were charged to the retry budget.
    pub retries: u64,
    /// The number of attempts forwarded to entries of other failure domains.
    pub forwarded: u64,
    /// The number of refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
}

/// The open requests of an entry, with their queues, counters and limits.
#[derive(Clone, Debug)]
pub struct RequestScheduler {
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) queues: QueueMap,
    pub(super) shift_window: ShiftWindow,
    pub(super) running_by_caller: BTreeMap<CallerName, u32>,
    pub(super) remote_backoff: BTreeMap<(DomainName, ServiceName), Moment>,
    pub(super) link_pacers: BTreeMap<LinkName, LinkPacer>,
    pub(super) counts: RequestCounts,
    pub(super) kind_latencies: BTreeMap<(ServiceName, KindName), KindLatency>,
    pub(super) retry_budget: RetryBudget,
    pub(super) tallies: BTreeMap<TallyKey, TallyCount>,
    pub(super) tallies_changed: bool,
}

/// The rest of the node's state that decisions about requests depend on.
pub(crate) struct RequestContext<'a> {
    pub identity: &'a NodeIdentity,
    pub config: &'a ConfigSync,
    pub quotas: &'a DomainQuotas,
    pub steering_index: &'a SteeringIndex,
    pub share: DomainShare,
    pub share_valid_until: Moment,
    pub targets: &'a mut TargetTracker,
    pub submitter: &'a mut CommandSubmitter,
    pub seeds: &'a [SocketAddr],
    pub random: &'a mut Pcg32,
    pub clock: ClockReading,
}

impl RequestScheduler {
    /// Returns the scheduler of a process that just started.
    pub fn new(now: Moment) -> Self {
        Self {
            open: BTreeMap::new(),
            queues: QueueMap::new(),
            shift_window: ShiftWindow::new(now),
            running_by_caller: BTreeMap::new(),
            remote_backoff: BTreeMap::new(),
            link_pacers: BTreeMap::new(),
            counts: RequestCounts::default(),
            kind_latencies: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            tallies: BTreeMap::new(),
            tallies_changed: false,
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> u64 {
        self.queues.values().map(|queue| queue.len() as u64).sum()
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> u64 {
        self.open.len() as u64
    }

    pub(crate) fn handle(
        &mut self,
        event: RequestEvent,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        match event {
            RequestEvent::Arrived(incoming) => self.handle_arrival(*incoming, ctx),
            RequestEvent::AttemptEnded { id, attempt, result } => {
                self.handle_attempt_end(id, attempt, result, ctx)
            }
            RequestEvent::Closed { id } => self.handle_close(id, ctx),
        }
    }

    fn handle_arrival(
        &mut self,
        incoming: IncomingRequest,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        self.counts.arrived += 1;
        let id = incoming.id;
        let request = match self.admit(incoming, ctx) {
            Ok(request) => request,
            Err(reason) => return vec![self.refusal_effect(id, reason, RunOutcome::NotRun, None)],
        };
        let at_most_once = request.policy.repeat == RepeatPolicy::Never;
        let needs_claim = at_most_once && !request.incoming.forwarded;
        self.retry_budget.deposit();
        self.open.insert(id, request);
        if needs_claim { self.start_claim(id, ctx) } else { self.place(id, ctx) }
    }

    fn admit(
        &self,
        incoming: IncomingRequest,
        ctx: &RequestContext<'_>,
    ) -> Result<OpenRequest, RefusalReason> {
        if ctx.config.version().is_none() {
            return Err(RefusalReason::NoConfiguration);
        }
        let set = ctx.config.set();
        let service = set.services.get(&incoming.service).ok_or(RefusalReason::NoSuchKind)?;
        let policy = service.kinds.get(&incoming.kind).ok_or(RefusalReason::NoSuchKind)?.clone();
        if incoming.body_bytes > policy.request_bytes {
            return Err(RefusalReason::BodyTooLarge);
        }
        let at_most_once = policy.repeat == RepeatPolicy::Never;
        if at_most_once {
            let key = incoming.key.as_ref().ok_or(RefusalReason::KeyMissing)?;
            if key.len() > KEY_BYTES_MAX {
                return Err(RefusalReason::KeyTooLong);
            }
        }
        let block = set.find_block(incoming.caller);
        let address_name = || CallerName::new(&incoming.caller.to_string());
        let caller = block.map_or_else(address_name, |block| block.caller.clone());
        let home_domain = block.map(|block| block.domain.clone());
        let home_region = home_domain.as_ref().and_then(|domain| set.region_of(domain));
        let from_other_region = home_region.is_some_and(|region| *region != ctx.quotas.region);
        let default_deadline = Duration::from_millis(policy.deadline_ms);
        let mut deadline = incoming.deadline.unwrap_or(default_deadline);
        if at_most_once {
            // The claim must outlive the request, whatever deadline the caller sets.
            deadline = deadline.min(Duration::from_millis(policy.retention_ms / 2));
        }
        let request = OpenRequest {
            incoming,
            policy,
            caller,
            home_domain,
            from_other_region,
            deadline_at: ctx.clock.now.after(deadline),
            stage: RequestStage::Claiming,
            attempts: 0,
            attempt_time: Duration::ZERO,
            may_have_run: false,
            tried_targets: BTreeSet::new(),
            tried_domains: BTreeSet::new(),
            claim: None,
        };
        self.check_caller(&request, ctx)?;
        if ctx.submitter.is_full() && at_most_once {
            return Err(RefusalReason::NoQuorum);
        }
        Ok(request)
    }

    fn handle_close(&mut self, id: RequestId, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
        let Some(request) = self.open.get(&id) else {
            return Vec::new();
        };
        let stage = request.stage.clone();
        let service = request.incoming.service.clone();
        let mut effects = Vec::new();
        match stage {
            RequestStage::Claiming => effects.extend(self.release_claim(id, ctx)),
            RequestStage::Queued { .. } => {
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.remove(id);
                }
                effects.extend(self.release_claim(id, ctx));
            }
            RequestStage::Running { destination, .. } => self.release_slot(id, &destination, ctx),
            RequestStage::Answered => {}
        }
        self.open.remove(&id);
        effects.extend(self.serve_queues(ctx));
        effects
    }

    /// Ends a request with a refusal. The outcome is [`RunOutcome::Unknown`], whatever is passed,
    /// if an earlier attempt may have run. The claim is released if the outcome is
    /// [`RunOutcome::NotRun`].
    pub(super) fn refuse(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let may_have_run = self.open.get(&id).is_some_and(|request| request.may_have_run);
        let outcome = if may_have_run { RunOutcome::Unknown } else { outcome };
        let mut effects = Vec::new();
        if outcome == RunOutcome::NotRun {
            effects.extend(self.release_claim(id, ctx));
        }
        self.open.remove(&id);
        effects.push(self.refusal_effect(id, reason, outcome, retry_after));
        effects
    }

    fn refusal_effect(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
    ) -> NodeEffect {
        *self.counts.refused.entry(reason).or_default() += 1;
        let retry_after_ms = retry_after.unwrap_or(RETRY_AFTER_DEFAULT).as_millis() as u64;
        let body = RefusalResponse { reason, outcome, retry_after_ms };
        NodeEffect::Request { id, action: RequestAction::Refuse(body) }
    }

    /// Returns the recent latencies of a request's kind, or `None` before the kind's first response.
    pub(super) fn kind_latency(&mut self, request: &OpenRequest) -> Option<&mut KindLatency> {
        let key = (request.incoming.service.clone(), request.incoming.kind.clone());
        self.kind_latencies.get_mut(&key)
    }

    /// Marks an attempt as running, and returns the effect that makes it.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        destination: AttemptDestination,
        address: SocketAddr,
        ctx: &RequestContext<'_>,
    ) -> Option<NodeEffect> {
        let request = self.open.get_mut(&id)?;
        request.attempts += 1;
        let attempt = request.attempts;
        request.stage = RequestStage::Running { attempt, destination: destination.clone() };
        *self.running_by_caller.entry(request.caller.clone()).or_default() += 1;
        let time_left = request.deadline_at.since(ctx.clock.now);
        request.attempt_time = time_left;
        let valid_until = match ctx.quotas.entry_shift {
            Some(_) if request.from_other_region => {
                let send_by = ctx.clock.now.after(ShiftWindow::send_timeout(ctx.quotas.window));
                ctx.share_valid_until.min(send_by)
            }
            _ => ctx.share_valid_until,
        };
        let dispatch = DispatchAttempt { attempt, destination, address, time_left, valid_until };
        Some(NodeEffect::Request { id, action: RequestAction::Dispatch(dispatch) })
    }

    /// Returns a report of the totals, if they changed since the last report.
    pub(crate) fn tally_report(&mut self, identity: &NodeIdentity) -> Option<TallyReport> {
        if !self.tallies_changed {
            return None;
        }
        self.tallies_changed = false;
        let totals = self.tallies.iter().map(|(key, count)| (key.clone(), *count)).collect();
        Some(TallyReport { source: identity.tally_source(), totals })
    }

    /// Marks the totals as changed, so that they are reported again after a report was lost.
    pub(crate) fn mark_tallies_changed(&mut self) {
        self.tallies_changed = !self.tallies.is_empty();
    }

    /// Reserves bytes on the link to a region, and returns how long to wait before sending them;
    /// zero if no link is declared. Returns `None` while this entry has no share of the link.
    pub(crate) fn reserve_link(
        &mut self,
        to: &RegionName,
        bytes: u64,
        quotas: &DomainQuotas,
        share: DomainShare,
        now: Moment,
    ) -> Option<Duration> {
        self.pace_link(to, quotas, share, |pacer, rate| pacer.reserve(bytes, rate, now))
    }

    /// Begins to send bytes whose reserved time has come. Returns how long to wait before trying
    /// again, which is zero if the bytes may be sent now, or `None` if the share of the link has
    /// ended.
    pub(crate) fn begin_on_link(
        &mut self,
        to: &RegionName,
        bytes: u64,
        quotas: &DomainQuotas,
        share: DomainShare,
        now: Moment,
    ) -> Option<Duration> {
        self.pace_link(to, quotas, share, |pacer, rate| pacer.begin(bytes, rate, now))
    }

    fn pace_link<F>(
        &mut self,
        to: &RegionName,
        quotas: &DomainQuotas,
        share: DomainShare,
        pace: F,
    ) -> Option<Duration>
    where
        F: FnOnce(&mut LinkPacer, u64) -> Option<Duration>,
    {
        let Some((link, rate)) = quotas.link_rate(to, share) else {
            return Some(Duration::ZERO);
        };
        pace(self.link_pacers.entry(link.clone()).or_default(), rate)
    }
}

/// The retry delay sent to a caller if no better estimate is known.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);
