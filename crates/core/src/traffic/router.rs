/*!
What an entry knows when it decides about requests: the table, the targets, and what other instances
tell it.
*/

use {
    crate::{
        clock::Moment,
        fleet::{
            decision_events::DecisionEvent,
            messages::{InstancePlace, LiveEntries, LoadSample, OutageReport, target_hash},
            roster::{TargetInfo, TargetList},
            routes::RouteIndex,
        },
        traffic::{
            connect_meter::ConnectMeter,
            link_meter::LinkMeter,
            retry_budget::{RetryBudget, RetryLimit},
            retry_pacer::RetryPacer,
            route_stats::RouteStats,
            spillover::SpilloverPlan,
            target_state::{ProbeRequest, TargetState},
        },
    },
    hemlockspool_model::{
        names::{DomainName, RegionName, RouteName, ServiceName, TargetName},
        table::{RouteTable, ServicePolicy},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// For how long an entry tells that it couldn't reach a target: two pulses to each replica.
const OUTAGE_TOLD: Duration = Duration::from_millis(1_000);
/// The most targets of which it tells that at a time: some hundred bytes a pulse.
const OUTAGES_MAX: usize = 64;
/// How long a service's targets stay cold when the table doesn't say.
const COLD_START_DEFAULT: Duration = Duration::from_secs(3);

/// What a desk is told by the settings.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Where this entry listens for peers.
    pub me: SocketAddr,
    /// The region of this entry.
    pub region: RegionName,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// How many requests may be sent again.
    pub retry_limit: RetryLimit,
    /// What this entry's link carries each way, in bytes a second.
    pub link_bytes_per_s: f64,
}

/// Requests and targets of one entry.
#[derive(Debug)]
pub struct RequestRouter {
    pub(super) settings: RouterSettings,
    pub(super) index: RouteIndex,
    pub(super) version: Option<u64>,
    pub(super) services: BTreeMap<ServiceName, ServicePolicy>,
    pub(super) records: BTreeMap<TargetName, TargetState>,
    pub(super) pools: BTreeMap<ServiceName, BTreeMap<RegionName, Vec<TargetName>>>,
    pub(super) line_ids: BTreeMap<u32, TargetName>,
    pub(super) link: LinkMeter,
    pub(super) returns: RetryPacer,
    pub(super) connects: ConnectMeter,
    pub(super) evacuated: BTreeSet<DomainName>,
    pub(super) entries: BTreeMap<SocketAddr, InstancePlace>,
    pub(super) budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(super) spills: BTreeMap<ServiceName, SpilloverPlan>,
    pub(super) work: BTreeMap<RouteName, (ServiceName, RouteStats)>,
    pub(super) splits: BTreeMap<RouteName, Vec<i64>>,
    /// The share of attempts that each service's targets fail.
    pub(super) failing: BTreeMap<ServiceName, f64>,
    pub(super) demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    pub(super) counted_at: Moment,
    pub(super) draws: u64,
    pub(super) stopping: bool,
    pub(super) notes: Vec<DecisionEvent>,
}

impl RequestRouter {
    /// Makes a desk that knows nothing yet.
    pub fn new(settings: RouterSettings, now: Moment) -> Self {
        let link = LinkMeter::new(settings.link_bytes_per_s);
        let returns = RetryPacer::new(settings.link_bytes_per_s);
        Self {
            settings,
            index: RouteIndex::default(),
            version: None,
            services: BTreeMap::new(),
            records: BTreeMap::new(),
            pools: BTreeMap::new(),
            line_ids: BTreeMap::new(),
            link,
            returns,
            connects: ConnectMeter::default(),
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
    pub fn take_log_events(&mut self) -> Vec<DecisionEvent> {
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
        self.line_ids = self.records.keys().map(|name| (target_hash(name), name.clone())).collect();
        self.pools.clear();
        for (name, record) in &self.records {
            let pool = self.pools.entry(record.fact.service.clone()).or_default();
            pool.entry(record.region.clone()).or_default().push(name.clone());
        }
    }

    fn new_record(&self, fact: TargetInfo, now: Moment) -> TargetState {
        let region = self.settings.domains.get(&fact.domain).cloned().unwrap_or_default();
        TargetState::new(fact, region, now)
    }

    /// Takes in who lives.
    pub fn set_entries(&mut self, census: &LiveEntries) {
        self.entries = census.entries.clone();
    }

    /// Takes in the demand of each region.
    pub fn set_demand(&mut self, demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>) {
        self.demand = demand;
    }

    /// Takes in which targets of the region have much to do.
    pub fn apply_load_samples(&mut self, busy: &[LoadSample], now: Moment) {
        for line in busy {
            let name = self.line_ids.get(&line.target);
            if let Some(record) = name.and_then(|name| self.records.get_mut(name)) {
                let at = Moment(now.0.saturating_sub(u64::from(line.age_ms) * 1_000));
                record.hear_shared(line.requests, at);
            }
        }
    }

    /// Returns what targets told of their load within a time.
    pub fn recent_loads(&self, span: Duration, now: Moment) -> Vec<LoadSample> {
        let line = |(name, record): (&TargetName, &TargetState)| {
            let (requests, at) = record.heard.filter(|(_, at)| now.since(*at) <= span)?;
            let age_ms = now.since(at).as_millis() as u16;
            Some(LoadSample { target: target_hash(name), requests, age_ms })
        };
        self.records.iter().filter_map(line).collect()
    }

    /// Returns the targets that this entry couldn't reach of late, the latest first.
    pub fn recent_outages(&self, now: Moment) -> Vec<OutageReport> {
        let line = |(name, record): (&TargetName, &TargetState)| {
            let age = now.since(record.lost_at?);
            let age_ms = age.as_millis() as u16;
            (age < OUTAGE_TOLD).then(|| OutageReport { target: target_hash(name), age_ms })
        };
        let mut lines: Vec<OutageReport> = self.records.iter().filter_map(line).collect();
        lines.sort_unstable_by_key(|line| line.age_ms);
        lines.truncate(OUTAGES_MAX);
        lines
    }

    /// Takes in which targets several failure domains of the region couldn't reach.
    pub fn apply_outages(&mut self, lines: &[OutageReport], now: Moment) {
        for line in lines {
            let Some(name) = self.line_ids.get(&line.target) else { continue };
            let Some(record) = self.records.get_mut(name) else { continue };
            let at = Moment(now.0.saturating_sub(u64::from(line.age_ms) * 1_000));
            if let Some(span) = record.hear_outage(at, now) {
                let (target, millis) = (name.clone(), span.as_millis() as u64);
                let reason = "other failure domains can't reach it";
                self.notes.push(DecisionEvent::TargetOut { target, reason, millis });
            }
        }
    }

    /// Returns the part of this entry's link that is in use, in percent.
    pub fn link_percent(&self) -> u8 {
        self.link.percent()
    }

    /// Returns the demand of this entry's own callers, in busy slots of each service.
    pub fn local_demand(&self) -> BTreeMap<ServiceName, f32> {
        let mut demand: BTreeMap<ServiceName, f32> = BTreeMap::new();
        for (service, work) in self.work.values() {
            *demand.entry(service.clone()).or_default() += work.busy_slots() as f32;
        }
        demand
    }

    /// Moves time on; returns the probes that are due.
    pub(crate) fn tick(&mut self, now: Moment) -> Vec<ProbeRequest> {
        self.count_rates(now);
        self.link.tick(now);
        self.plan_spills(now);
        let window = self.settings.retry_limit.window;
        for budget in self.budgets.values_mut() {
            budget.expire(2 * window, now);
        }
        let due = self.records.iter_mut().filter(|(_, record)| !record.fact.draining);
        let due = due.filter_map(|(name, record)| record.begin_probe(now).then(|| name.clone()));
        due.map(|target| ProbeRequest { target }).collect()
    }

    /// Returns where and how to probe a target.
    pub fn probe_endpoint(&self, target: &TargetName) -> Option<(SocketAddr, String)> {
        let record = self.records.get(target)?;
        let rule = self.services.get(&record.fact.service);
        let path = rule.and_then(|rule| rule.health_path.clone()).unwrap_or_else(|| "/".to_owned());
        Some((record.fact.address, path))
    }

    /// Takes in the end of a probe: for how long the target is cold, if it is well.
    pub fn finish_probe(&mut self, target: &TargetName, cold: Option<Duration>, now: Moment) {
        let Some(record) = self.records.get_mut(target) else { return };
        if record.probed(cold, now) {
            let cold_ms = cold.unwrap_or_default().as_millis() as u64;
            self.notes.push(DecisionEvent::TargetBack { target: target.clone(), cold_ms });
        }
    }

    fn count_rates(&mut self, now: Moment) {
        let span = now.since(self.counted_at);
        if span.is_zero() {
            return;
        }
        self.counted_at = now;
        self.work.values_mut().for_each(|(_, work)| work.tick(span));
    }

    fn plan_spills(&mut self, now: Moment) {
        let near = self.entries.values().filter(|place| place.region == self.settings.region);
        let entries = near.count();
        for (service, pools) in &self.pools {
            let slots: BTreeMap<RegionName, f64> = pools
                .iter()
                .map(|(region, pool)| (region.clone(), self.slots(pool, now)))
                .collect();
            let demand: BTreeMap<RegionName, f64> = (self.demand.iter())
                .filter_map(|(region, by)| Some((region.clone(), f64::from(*by.get(service)?))))
                .collect();
            let plan = self.spills.entry(service.clone()).or_default();
            plan.set_entries(entries);
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

    /// Returns the share of each service's requests that runs elsewhere, in percent.
    pub fn spillover_percents(&self) -> BTreeMap<ServiceName, u32> {
        let percent = |plan: &SpilloverPlan| (plan.share() * 100.0).round() as u32;
        self.spills.iter().map(|(service, plan)| (service.clone(), percent(plan))).collect()
    }
}

fn cold_start(rule: Option<&ServicePolicy>) -> Duration {
    let span = rule.and_then(|rule| rule.cold_start);
    span.map_or(COLD_START_DEFAULT, |span| span.0)
}
