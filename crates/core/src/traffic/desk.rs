/*!
The desk at which requests are let in, placed and accounted for.
*/

use {
    crate::{
        clock::Moment,
        fleet::{
            messages::{FleetCensus, InstancePlace, LoadLine, load_id},
            notes::FleetNote,
            roster::{TargetFact, TargetList},
            routes::{RouteIndex, RoutePlan},
        },
        traffic::{
            board::{ProbeWish, TargetHealth, TargetRecord},
            budget::{RetryBound, RetryBudget},
            job::{
                AttemptEnd, JobOrder, RefusalReason, RequestHead, RequestJob, RequestRefusal,
                TargetLoad, TargetOrder,
            },
            link_meter::LinkMeter,
            placement::{PlacementGap, PlacementView, TargetChoice, affinity},
            spill::SpillPlan,
        },
        util::stable_hash,
    },
    hemlockspool_model::{
        names::{DomainName, RegionName, RouteName, ServiceName, TargetName},
        objects::RepeatRule,
        table::{RouteTable, ServiceRule},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// How long a connection to a target may take: two exchanges with the farthest region and a lost
/// packet's wait at a near one.
const CONNECT_PATIENCE: Duration = Duration::from_millis(400);
/// Connections that may fail for one request.
const MISSES_MAX: u32 = 3;
/// The part of the goal that a route's work is taken to be before any was measured.
const WORK_OF_GOAL: f64 = 0.4;
/// The quantile of measured times that counts as a route's work: that of requests whose object is
/// warm, also while many are not.
const WORK_QUANTILE: f64 = 0.3;
/// The relative step of that quantile at each measurement.
const WORK_STEP: f64 = 0.05;
/// The weight of a new measurement of a route's mean work.
const MEAN_WEIGHT: f64 = 0.03;
/// How many times the warm work a measurement counts at most: planning for cold objects would ask
/// for slots that nobody needs once they are warm.
const MEAN_WORKS_MAX: f64 = 2.0;
/// How long the link may be busy with answers already for one more to be asked for, by rank.
const LINK_BACKLOG: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(200), Duration::from_millis(100)];
/// The bytes that an answer is taken to have before any was seen.
const ANSWER_BYTES: f64 = 3_000.0;
/// The weight of a new answer in the mean size of a route's answers.
const BYTES_WEIGHT: f64 = 0.05;
/// The weight of an attempt in the share of attempts that a service's targets fail.
const SERVICE_FAILURE_WEIGHT: f64 = 0.03;
/// From which share on a request that was refused in spite of room may go to the same target again.
const SAME_TARGET_FAILING: f64 = 0.25;
/// The time over which the rate of requests is averaged.
const RATE_SPAN: Duration = Duration::from_millis(1_500);
/// How long a service's targets stay cold when the table doesn't say.
const COLD_START_DEFAULT: Duration = Duration::from_secs(3);
/// Requests a second that a cold target stands when the table doesn't say.
const COLD_PER_S_DEFAULT: f64 = 5.0;
/// When a caller may come back to an entry that has no configuration yet.
const RETRY_NO_TABLE: Duration = Duration::from_millis(300);
/// When a caller may come back to another entry than one that stops.
const RETRY_STOPPING: Duration = Duration::from_millis(10);
/// The bounds of when a caller may come back to targets without room.
const RETRY_FULL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_000));

/// What a desk is told by the settings.
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Where this entry listens for peers.
    pub me: SocketAddr,
    /// The region of this entry.
    pub region: RegionName,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// How many requests may be sent again.
    pub retry_bound: RetryBound,
    /// What this entry's link carries each way, in bytes a second.
    pub link_bytes_per_s: f64,
}

/// The work of one route, as this entry sees it.
#[derive(Clone, Copy, Debug, Default)]
struct RouteWork {
    arrivals: u32,
    rate_per_s: f64,
    /// The work on a warm object.
    work_ms: f64,
    /// The mean of all work.
    mean_ms: f64,
    /// The mean size of its answers with what goes with them.
    bytes: f64,
}

/// Requests and targets of one entry.
#[derive(Debug)]
pub struct TrafficDesk {
    settings: DeskSettings,
    index: RouteIndex,
    version: Option<u64>,
    services: BTreeMap<ServiceName, ServiceRule>,
    records: BTreeMap<TargetName, TargetRecord>,
    pools: BTreeMap<ServiceName, BTreeMap<RegionName, Vec<TargetName>>>,
    load_ids: BTreeMap<u32, TargetName>,
    link: LinkMeter,
    evacuated: BTreeSet<DomainName>,
    entries: BTreeMap<SocketAddr, InstancePlace>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    spills: BTreeMap<ServiceName, SpillPlan>,
    work: BTreeMap<RouteName, (ServiceName, RouteWork)>,
    splits: BTreeMap<RouteName, Vec<i64>>,
    /// The share of attempts that each service's targets fail.
    failing: BTreeMap<ServiceName, f64>,
    demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    counted_at: Moment,
    draws: u64,
    stopping: bool,
    notes: Vec<FleetNote>,
}

impl TrafficDesk {
    /// Makes a desk that knows nothing yet.
    pub fn new(settings: DeskSettings, now: Moment) -> Self {
        let link = LinkMeter::new(settings.link_bytes_per_s);
        Self {
            settings,
            index: RouteIndex::default(),
            version: None,
            services: BTreeMap::new(),
            records: BTreeMap::new(),
            pools: BTreeMap::new(),
            load_ids: BTreeMap::new(),
            link,
            evacuated: BTreeSet::new(),
            entries: BTreeMap::new(),
            budgets: BTreeMap::new(),
            spills: BTreeMap::new(),
            work: BTreeMap::new(),
            splits: BTreeMap::new(),
            failing: BTreeMap::new(),
            demand: BTreeMap::new(),
            counted_at: now,
            draws: now.0,
            stopping: false,
            notes: Vec::new(),
        }
    }

    /// Returns the version of the table in force; none before the first.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Tells whether any target is known.
    pub fn has_targets(&self) -> bool {
        !self.records.is_empty()
    }

    /// Returns what is to be logged.
    pub fn take_notes(&mut self) -> Vec<FleetNote> {
        std::mem::take(&mut self.notes)
    }

    /// Lets no more requests in.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Puts a table in force.
    pub fn set_table(&mut self, table: &RouteTable) {
        self.index = RouteIndex::new(table);
        self.version = Some(table.version);
        self.services =
            table.services.iter().map(|rule| (rule.name.clone(), rule.clone())).collect();
        let known: BTreeSet<&RouteName> = table.routes.iter().map(|rule| &rule.name).collect();
        self.splits.retain(|name, _| known.contains(name));
        self.work.retain(|name, _| known.contains(name));
    }

    /// Sets which failure domains are evacuated. Targets of one that comes back may be cold.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<DomainName>, now: Moment) {
        for record in self.records.values_mut() {
            let domain = &record.fact.domain;
            if self.evacuated.contains(domain) && !evacuated.contains(domain) {
                let span = cold_start(self.services.get(&record.fact.service));
                record.cool(span, now);
            }
        }
        self.evacuated = evacuated.clone();
    }

    /// Takes in the list of targets.
    pub fn set_targets(&mut self, list: &TargetList, now: Moment) {
        self.records.retain(|name, _| list.contains_key(name));
        for (name, fact) in list {
            match self.records.get_mut(name) {
                Some(record) => record.relist(fact.clone(), now),
                None => {
                    let record = self.new_record(fact.clone(), now);
                    self.records.insert(name.clone(), record);
                }
            }
        }
        self.load_ids = self.records.keys().map(|name| (load_id(name), name.clone())).collect();
        self.pools.clear();
        for (name, record) in &self.records {
            let pool = self.pools.entry(record.fact.service.clone()).or_default();
            pool.entry(record.region.clone()).or_default().push(name.clone());
        }
    }

    fn new_record(&self, fact: TargetFact, now: Moment) -> TargetRecord {
        let region = self.settings.domains.get(&fact.domain).cloned().unwrap_or_default();
        TargetRecord::new(fact, region, now)
    }

    /// Takes in who lives.
    pub fn set_census(&mut self, census: &FleetCensus) {
        self.entries = census.entries.clone();
    }

    /// Takes in the demand of each region.
    pub fn set_demand(&mut self, demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>) {
        self.demand = demand;
    }

    /// Takes in which targets of the region have much to do.
    pub fn set_busy(&mut self, busy: &[LoadLine], now: Moment) {
        for line in busy {
            let name = self.load_ids.get(&line.target);
            if let Some(record) = name.and_then(|name| self.records.get_mut(name)) {
                let at = Moment(now.0.saturating_sub(u64::from(line.age_ms) * 1_000));
                record.hear_shared(line.requests, at);
            }
        }
    }

    /// Returns what targets told of their load within a time.
    pub fn loads_heard(&self, span: Duration, now: Moment) -> Vec<LoadLine> {
        let line = |(name, record): (&TargetName, &TargetRecord)| {
            let (requests, at) = record.heard.filter(|(_, at)| now.since(*at) <= span)?;
            let age_ms = now.since(at).as_millis() as u16;
            Some(LoadLine { target: load_id(name), requests, age_ms })
        };
        self.records.iter().filter_map(line).collect()
    }

    /// Returns the part of this entry's link that is in use, in percent.
    pub fn link_percent(&self) -> u8 {
        self.link.percent()
    }

    /// Returns the demand of this entry's own callers, in busy slots of each service.
    pub fn own_demand(&self) -> BTreeMap<ServiceName, f32> {
        let mut demand: BTreeMap<ServiceName, f32> = BTreeMap::new();
        for (service, work) in self.work.values() {
            let slots = work.rate_per_s * work.mean_ms / 1_000.0;
            *demand.entry(service.clone()).or_default() += slots as f32;
        }
        demand
    }

    /// Moves time on; returns the probes that are due.
    pub(crate) fn tick(&mut self, now: Moment) -> Vec<ProbeWish> {
        self.count_rates(now);
        self.link.tick(now);
        self.plan_spills(now);
        let window = self.settings.retry_bound.window;
        for budget in self.budgets.values_mut() {
            budget.forget(2 * window, now);
        }
        let due = self.records.iter_mut().filter(|(_, record)| !record.fact.draining);
        let due = due.filter_map(|(name, record)| record.begin_probe(now).then(|| name.clone()));
        due.map(|target| ProbeWish { target }).collect()
    }

    /// Returns where and how to probe a target.
    pub fn probe_of(&self, target: &TargetName) -> Option<(SocketAddr, String)> {
        let record = self.records.get(target)?;
        let rule = self.services.get(&record.fact.service);
        let path = rule.and_then(|rule| rule.health_path.clone()).unwrap_or_else(|| "/".to_owned());
        Some((record.fact.address, path))
    }

    /// Takes in the end of a probe: for how long the target is cold, if it is well.
    pub fn probed(&mut self, target: &TargetName, cold: Option<Duration>, now: Moment) {
        let Some(record) = self.records.get_mut(target) else { return };
        if record.probed(cold, now) {
            let cold_ms = cold.unwrap_or_default().as_millis() as u64;
            self.notes.push(FleetNote::TargetBack { target: target.clone(), cold_ms });
        }
    }

    fn count_rates(&mut self, now: Moment) {
        let span = now.since(self.counted_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        self.counted_at = now;
        let weight = 1.0 - (-span / RATE_SPAN.as_secs_f64()).exp();
        for (_, work) in self.work.values_mut() {
            let rate = f64::from(work.arrivals) / span;
            work.rate_per_s += weight * (rate - work.rate_per_s);
            work.arrivals = 0;
        }
    }

    fn plan_spills(&mut self, now: Moment) {
        for (service, pools) in &self.pools {
            let slots: BTreeMap<RegionName, f64> = pools
                .iter()
                .map(|(region, pool)| (region.clone(), self.slots(pool, now)))
                .collect();
            let demand: BTreeMap<RegionName, f64> = (self.demand.iter())
                .filter_map(|(region, by)| Some((region.clone(), f64::from(*by.get(service)?))))
                .collect();
            let plan = self.spills.entry(service.clone()).or_default();
            plan.update(&self.settings.region, &demand, &slots, now);
        }
    }

    fn slots(&self, pool: &[TargetName], now: Moment) -> f64 {
        let records = pool.iter().filter_map(|name| self.records.get(name));
        let usable = records.filter(|record| {
            record.is_eligible()
                && !record.is_cold(now)
                && !self.evacuated.contains(&record.fact.domain)
        });
        usable.map(|record| f64::from(record.fact.slots)).sum()
    }

    /// Lets a request in, or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal, which is final.
    pub fn admit(
        &mut self,
        head: &RequestHead<'_>,
        now: Moment,
    ) -> Result<RequestJob, RequestRefusal> {
        let refused = self.refusal_at_door(head);
        let plan = match (refused, self.index.find(head.host, head.path)) {
            (None, Some(plan)) => Arc::clone(plan),
            (refused, _) => {
                let reason = refused.unwrap_or(RefusalReason::NoRoute);
                return Err(self.refuse_head(head, reason));
            }
        };
        let service = self.draw_part(&plan);
        self.count_arrival(&plan, &service);
        let booked_bytes = match self.book_link(&plan, now) {
            Ok(bytes) => bytes,
            Err(backlog) => return Err(self.refuse_for_link(head, backlog)),
        };
        self.budgets.entry(service.clone()).or_default().request(now);
        self.draws = self.draws.wrapping_add(1);
        let key = match head.key.filter(|_| plan.sticky) {
            Some(key) => stable_hash(key.as_bytes()),
            None => stable_hash(&self.draws.to_le_bytes()),
        };
        let pressure = self.pressure(&service, key, now);
        let region = self.spills.get_mut(&service);
        let region = region.and_then(|plan| plan.draw(key, pressure, now));
        let patience = head.patience.unwrap_or(plan.timeout).min(plan.timeout);
        Ok(RequestJob {
            id: head.id.to_owned(),
            service,
            key,
            region,
            arrived: now,
            deadline: now.after(patience),
            goal_at: now.after(plan.goal.min(patience)),
            tried: Vec::new(),
            arrivals: 0,
            misses: 0,
            booked_bytes,
            runs: 0,
            unclear: false,
            plan,
        })
    }

    /// Books the answer of a request on the link, and returns its bytes.
    ///
    /// # Errors
    ///
    /// For how long the link is busy, when that is too long for the request's rank.
    fn book_link(&mut self, plan: &RoutePlan, now: Moment) -> Result<f64, Duration> {
        let backlog = self.link.backlog(now);
        let rank = (plan.rank as usize).min(LINK_BACKLOG.len() - 1);
        if backlog > LINK_BACKLOG[rank] {
            return Err(backlog);
        }
        let bytes = self.work.get(&plan.name).map_or(ANSWER_BYTES, |(_, work)| work.bytes);
        self.link.expect(bytes);
        Ok(bytes)
    }

    fn refuse_for_link(&mut self, head: &RequestHead<'_>, backlog: Duration) -> RequestRefusal {
        let reason = RefusalReason::LinkFull;
        let retry_after = Some(backlog.clamp(RETRY_FULL.0, RETRY_FULL.1));
        self.note_refusal(head.id, reason, retry_after, 0);
        RequestRefusal { reason, retry_after }
    }

    fn refusal_at_door(&self, head: &RequestHead<'_>) -> Option<RefusalReason> {
        if self.version.is_none() || !self.has_targets() {
            return Some(RefusalReason::NoTable);
        }
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        (head.id.is_empty()).then_some(RefusalReason::NoRoute)
    }

    fn refuse_head(&mut self, head: &RequestHead<'_>, reason: RefusalReason) -> RequestRefusal {
        let retry_after = match reason {
            RefusalReason::NoTable => Some(RETRY_NO_TABLE),
            RefusalReason::Stopping => Some(RETRY_STOPPING),
            _ => None,
        };
        self.note_refusal(head.id, reason, retry_after, 0);
        RequestRefusal { reason, retry_after }
    }

    fn note_refusal(
        &mut self,
        id: &str,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        attempts: u32,
    ) {
        self.notes.push(FleetNote::RequestRefused {
            request: id.to_owned(),
            reason: reason.word(),
            retry_after_ms: retry_after.unwrap_or_default().as_millis() as u64,
            attempts,
            version: self.version.unwrap_or(0),
        });
    }

    /// Draws the service of a request so that each part of a split gets its share in every row of
    /// requests, not just on average.
    fn draw_part(&mut self, plan: &RoutePlan) -> ServiceName {
        if plan.parts.len() == 1 {
            return plan.parts[0].0.clone();
        }
        let credits = self.splits.entry(plan.name.clone()).or_default();
        if credits.len() != plan.parts.len() {
            // Entries start at different points, so that their rows don't run in step.
            let start = |(i, (_, weight)): (usize, &(ServiceName, u32))| {
                let text = format!("{} {} {i}", self.settings.me, plan.name);
                (stable_hash(text.as_bytes()) % (u64::from(*weight) + 1)) as i64
            };
            *credits = plan.parts.iter().enumerate().map(start).collect();
        }
        let total: i64 = plan.parts.iter().map(|(_, weight)| i64::from(*weight)).sum();
        for (credit, (_, weight)) in credits.iter_mut().zip(&plan.parts) {
            *credit += i64::from(*weight);
        }
        let best = (0..credits.len()).max_by_key(|i| (credits[*i], std::cmp::Reverse(*i)));
        let best = best.unwrap_or(0);
        credits[best] -= total;
        plan.parts[best].0.clone()
    }

    fn count_arrival(&mut self, plan: &RoutePlan, service: &ServiceName) {
        let goal_ms = plan.goal.as_secs_f64() * 1_000.0;
        let work_ms = WORK_OF_GOAL * goal_ms;
        let fresh =
            RouteWork { work_ms, mean_ms: work_ms, bytes: ANSWER_BYTES, ..RouteWork::default() };
        let line = self.work.entry(plan.name.clone()).or_insert((service.clone(), fresh));
        line.0 = service.clone();
        line.1.arrivals += 1;
    }

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
        if job.unclear && job.plan.repeat == RepeatRule::Never {
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
    fn pressure(&self, service: &ServiceName, key: u64, now: Moment) -> f64 {
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

    fn work_ms(&self, plan: &RoutePlan) -> f64 {
        self.work.get(&plan.name).map_or(0.0, |(_, work)| work.work_ms)
    }

    fn send(&mut self, job: &mut RequestJob, choice: TargetChoice, now: Moment) -> TargetOrder {
        let TargetChoice { target, load, is_cold } = choice;
        let rate = self.services.get(&job.service).and_then(|rule| rule.cold_per_s);
        let mut address = self.settings.me;
        if let Some(record) = self.records.get_mut(&target) {
            record.own += 1;
            address = record.fact.address;
            if is_cold {
                record.cold_permits.take(rate.unwrap_or(COLD_PER_S_DEFAULT), now);
            }
        }
        job.tried.push(target.clone());
        let left = job.deadline.since(now);
        let fresh = job.plan.repeat == RepeatRule::Never;
        self.notes.push(FleetNote::RequestSent {
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
        let connect_patience = CONNECT_PATIENCE.min(left);
        TargetOrder { target, address, connect_patience, left, fresh }
    }

    fn refuse(&mut self, job: &RequestJob, reason: RefusalReason, now: Moment) -> RequestRefusal {
        self.link.release(job.booked_bytes);
        if !reason.promises_not_run() {
            self.notes.push(FleetNote::RequestFailed {
                request: job.id.clone(),
                reason: reason.word(),
                target: job.tried.last().cloned(),
                attempts: job.tried.len() as u32,
                took_ms: now.since(job.arrived).as_millis() as u64,
            });
            return RequestRefusal { reason, retry_after: None };
        }
        let work = Duration::from_secs_f64(self.work_ms(&job.plan) / 1_000.0);
        let retry_after = Some(work.clamp(RETRY_FULL.0, RETRY_FULL.1));
        self.note_refusal(&job.id, reason, retry_after, job.tried.len() as u32);
        RequestRefusal { reason, retry_after }
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
        match end {
            AttemptEnd::NotSent => job.misses += 1,
            AttemptEnd::NotRun { .. } => job.arrivals += 1,
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
        let Some(record) = self.records.get_mut(target) else { return };
        record.own = record.own.saturating_sub(1);
        let out = match end {
            AttemptEnd::NotSent => record.failed(true, now),
            AttemptEnd::NotRun { load, replaced } => {
                if let Some(load) = load {
                    record.hear_load(load, now);
                }
                if replaced {
                    record.health = TargetHealth::Replaced;
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
        if !answered && end != AttemptEnd::Cancelled {
            let (request, target) = (job.id.clone(), target.clone());
            self.notes.push(FleetNote::AttemptFailed { request, target, reason });
        }
        if let Some(span) = out {
            let (target, millis) = (target.clone(), span.as_millis() as u64);
            self.notes.push(FleetNote::TargetOut { target, reason, millis });
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
            let took_ms = took.as_secs_f64() * 1_000.0;
            let weight = if took_ms > work.work_ms { WORK_QUANTILE } else { WORK_QUANTILE - 1.0 };
            work.work_ms *= 1.0 + WORK_STEP * weight;
            let counted_ms = took_ms.min(MEAN_WORKS_MAX * work.work_ms);
            work.mean_ms += MEAN_WEIGHT * (counted_ms - work.mean_ms);
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
            work.bytes += BYTES_WEIGHT * (bytes as f64 - work.bytes);
        }
        self.notes.push(FleetNote::RequestAnswered {
            request: job.id.clone(),
            target: target.clone(),
            status,
            took_ms: now.since(job.arrived).as_millis() as u64,
        });
    }

    /// Returns the share of each service's requests that runs elsewhere, in percent.
    pub fn spill_shares(&self) -> BTreeMap<ServiceName, u32> {
        let percent = |plan: &SpillPlan| (plan.share() * 100.0).round() as u32;
        self.spills.iter().map(|(service, plan)| (service.clone(), percent(plan))).collect()
    }
}

fn cold_start(rule: Option<&ServiceRule>) -> Duration {
    let span = rule.and_then(|rule| rule.cold_start);
    span.map_or(COLD_START_DEFAULT, |span| span.0)
}
