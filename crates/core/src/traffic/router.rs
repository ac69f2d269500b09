/*!
The state from which an entry routes requests: the route table, the targets, and reports of other
instances.
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
            body_budget::BodyBudget,
            connect_meter::ConnectMeter,
            link_check::LinkCheckState,
            link_delay::LinkDelay,
            link_meter::LinkMeter,
            probe::{ProbeRequest, ProbeResult},
            quarantine::QuarantineState,
            reach_meter::ReachMeter,
            retry_budget::{RetryBudget, RetryLimit},
            retry_pacer::RetryPacer,
            route_stats::RouteStats,
            send_times::SendTimes,
            shift_meter::ShiftMeter,
            spillover::SpilloverPlan,
            target_limits::SharedLimits,
            target_state::TargetState,
        },
    },
    hemlockspool_model::{
        names::{DomainName, RegionName, RouteName, ServiceName, TargetName},
        table::{RequestLimits, RouteTable, ServicePolicy},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time for which an entry reports that it couldn't reach a target: at least two heartbeats to
/// each replica.
const OUTAGE_TTL: Duration = Duration::from_millis(1_000);
/// The maximum number of targets that an entry reports as unreachable in one heartbeat: a few
/// hundred bytes.
const OUTAGES_MAX: usize = 64;
/// The time for which a service's targets count as cold after an evacuation if the table doesn't
/// say.
const COLD_START_DEFAULT: Duration = Duration::from_secs(3);

/// The size of the largest body if the table doesn't say, in bytes.
const BODY_BYTES_MAX_DEFAULT: u64 = 64 << 20;
/// The time for which a caller may be silent within a body if the table doesn't say.
const BODY_SILENCE_MAX_DEFAULT: Duration = Duration::from_secs(15);

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The address at which this entry listens for peers.
    pub me: SocketAddr,
    /// The port on which all entries listen for callers.
    pub callers_port: u16,
    /// Whether this entry may connect to targets through replicas when it can't itself.
    pub bridges_allowed: bool,
    /// The region of this entry.
    pub region: RegionName,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// The limit of retries.
    pub retry_limit: RetryLimit,
    /// The capacity of this entry's link in each direction, in bytes per second.
    pub link_bytes_per_s: f64,
    /// The memory for the parts of callers' bodies that are kept, in bytes.
    pub body_memory_bytes: u64,
}

/// The router of one entry's requests to targets.
#[derive(Debug)]
pub struct RequestRouter {
    pub(super) settings: RouterSettings,
    pub(super) routes: RouteIndex,
    pub(super) table_version: Option<u64>,
    pub(super) services: BTreeMap<ServiceName, ServicePolicy>,
    pub(super) targets: BTreeMap<TargetName, TargetState>,
    pub(super) pools: BTreeMap<ServiceName, BTreeMap<RegionName, Vec<TargetName>>>,
    pub(super) targets_by_hash: BTreeMap<u32, TargetName>,
    pub(super) limits: RequestLimits,
    pub(super) link_meter: LinkMeter,
    pub(super) link_delay: LinkDelay,
    pub(super) send_times: SendTimes,
    /// Whether replies of replicas are notably late.
    pub(super) has_link_delay: bool,
    pub(super) link_checks: LinkCheckState,
    pub(super) body_budget: BodyBudget,
    pub(super) retry_pacer: RetryPacer,
    pub(super) connect_meter: ConnectMeter,
    pub(super) reach_meter: ReachMeter,
    /// The peer addresses of the replicas through which this entry may connect to targets.
    pub(super) bridges: Vec<SocketAddr>,
    /// The number of connections through replicas that failed, since the last that succeeded.
    pub(super) failed_bridges: u32,
    /// The time at which connections through replicas were given up.
    pub(super) bridges_failed_at: Option<Moment>,
    /// The number of probes made because this entry was cut off from targets.
    pub(super) reach_probes: usize,
    pub(super) evacuated: BTreeSet<DomainName>,
    pub(super) entries: BTreeMap<SocketAddr, InstancePlace>,
    pub(super) retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(super) spillovers: BTreeMap<ServiceName, SpilloverPlan>,
    pub(super) shift_meters: BTreeMap<ServiceName, ShiftMeter>,
    /// The statistics of each route, with the service chosen for its last request.
    pub(super) route_stats: BTreeMap<RouteName, (ServiceName, RouteStats)>,
    pub(super) split_credits: BTreeMap<RouteName, Vec<i64>>,
    /// The fraction of attempts that each service's targets fail.
    pub(super) failure_rates: BTreeMap<ServiceName, f64>,
    pub(super) shared_limits: SharedLimits,
    pub(super) quarantine: QuarantineState,
    /// Whether the live entries have changed since the shares of targets' limits were divided.
    pub(super) entries_changed: bool,
    pub(super) regional_demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    pub(super) rates_updated_at: Moment,
    pub(super) request_counter: u64,
    pub(super) stopping: bool,
    pub(super) log_events: Vec<DecisionEvent>,
}

impl RequestRouter {
    /// Returns a router without a route table or targets.
    pub fn new(settings: RouterSettings, now: Moment) -> Self {
        let link_meter = LinkMeter::new(settings.link_bytes_per_s);
        let retry_pacer = RetryPacer::new(settings.link_bytes_per_s);
        let body_budget = BodyBudget::new(settings.body_memory_bytes);
        Self {
            settings,
            routes: RouteIndex::default(),
            table_version: None,
            services: BTreeMap::new(),
            targets: BTreeMap::new(),
            pools: BTreeMap::new(),
            targets_by_hash: BTreeMap::new(),
            limits: RequestLimits::default(),
            link_meter,
            link_delay: LinkDelay::default(),
            send_times: SendTimes::default(),
            has_link_delay: false,
            link_checks: LinkCheckState::default(),
            body_budget,
            retry_pacer,
            connect_meter: ConnectMeter::default(),
            reach_meter: ReachMeter::default(),
            bridges: Vec::new(),
            failed_bridges: 0,
            bridges_failed_at: None,
            reach_probes: 0,
            evacuated: BTreeSet::new(),
            entries: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            spillovers: BTreeMap::new(),
            shift_meters: BTreeMap::new(),
            route_stats: BTreeMap::new(),
            split_credits: BTreeMap::new(),
            failure_rates: BTreeMap::new(),
            shared_limits: SharedLimits::default(),
            quarantine: QuarantineState::default(),
            entries_changed: false,
            regional_demand: BTreeMap::new(),
            rates_updated_at: now,
            request_counter: now.0,
            stopping: false,
            log_events: Vec::new(),
        }
    }

    /// Returns the version of the table in force; none before the first.
    pub fn version(&self) -> Option<u64> {
        self.table_version
    }

    /// Returns the limits on callers' requests and connections.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Returns the size of the largest body that a request may have, in bytes.
    pub fn body_bytes_max(&self) -> u64 {
        self.limits.max_body_bytes.unwrap_or(BODY_BYTES_MAX_DEFAULT)
    }

    /// Returns the time for which a caller may be silent within a body.
    pub fn body_silence_max(&self) -> Duration {
        self.limits.idle_timeout.map_or(BODY_SILENCE_MAX_DEFAULT, |timeout| timeout.0)
    }

    /// Returns whether any target is known.
    pub fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Takes the log events recorded since the last call.
    pub fn take_log_events(&mut self) -> Vec<DecisionEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Stops admitting requests.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Puts a route table in force.
    pub fn set_table(&mut self, table: &RouteTable) {
        self.routes = RouteIndex::new(table);
        self.table_version = Some(table.version);
        self.limits = table.limits.clone();
        self.services =
            table.services.iter().map(|policy| (policy.name.clone(), policy.clone())).collect();
        let known: BTreeSet<&RouteName> = table.routes.iter().map(|rule| &rule.name).collect();
        self.split_credits.retain(|name, _| known.contains(name));
        self.route_stats.retain(|name, _| known.contains(name));
    }

    /// Sets the evacuated failure domains. Targets of a domain whose evacuation ends count as cold.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<DomainName>, now: Moment) {
        for state in self.targets.values_mut() {
            let domain = &state.info.domain;
            if self.evacuated.contains(domain) && !evacuated.contains(domain) {
                let duration = cold_start_duration(self.services.get(&state.info.service));
                state.mark_cold(duration, now);
            }
        }
        self.evacuated = evacuated.clone();
    }

    /// Applies the list of targets.
    pub fn set_targets(&mut self, list: &TargetList, now: Moment) {
        self.targets.retain(|name, _| list.contains_key(name));
        for (name, info) in list {
            match self.targets.get_mut(name) {
                Some(state) => {
                    if state.update_info(info.clone(), now) {
                        self.log_return(name.clone());
                    }
                }
                None => {
                    let state = self.new_target(info.clone(), now);
                    self.targets.insert(name.clone(), state);
                }
            }
        }
        self.targets_by_hash =
            self.targets.keys().map(|name| (target_hash(name), name.clone())).collect();
        self.pools.clear();
        for (name, state) in &self.targets {
            let pool = self.pools.entry(state.info.service.clone()).or_default();
            pool.entry(state.region.clone()).or_default().push(name.clone());
        }
    }

    fn new_target(&self, info: TargetInfo, now: Moment) -> TargetState {
        let region = self.settings.domains.get(&info.domain).cloned().unwrap_or_default();
        TargetState::new(info, region, now)
    }

    /// Sets the live entries of the fleet.
    pub fn set_entries(&mut self, live: &LiveEntries) {
        self.entries = live.entries.clone();
        self.entries_changed = true;
    }

    /// Sets the demand of each region for each service, in busy slots.
    pub fn set_demand(&mut self, demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>) {
        self.regional_demand = demand;
    }

    /// Applies the loads that busy targets of the region reported to all entries, as collected by
    /// the followed replica.
    pub fn apply_load_samples(&mut self, samples: &[LoadSample], now: Moment) {
        for sample in samples {
            let name = self.targets_by_hash.get(&sample.target);
            if let Some(state) = name.and_then(|name| self.targets.get_mut(name)) {
                let at = Moment(now.0.saturating_sub(u64::from(sample.age_ms) * 1_000));
                state.record_shared_load(sample.requests, at);
            }
        }
    }

    /// Returns the loads that targets reported to this entry no longer than `max_age` ago.
    pub fn recent_loads(&self, max_age: Duration, now: Moment) -> Vec<LoadSample> {
        let sample = |(name, state): (&TargetName, &TargetState)| {
            let (requests, at) = state.reported_load.filter(|(_, at)| now.since(*at) <= max_age)?;
            let age_ms = now.since(at).as_millis() as u16;
            Some(LoadSample { target: target_hash(name), requests, age_ms })
        };
        self.targets.iter().filter_map(sample).collect()
    }

    /// Returns the targets that this entry recently failed to reach, the latest first.
    pub fn recent_outages(&self, now: Moment) -> Vec<OutageReport> {
        let report = |(name, state): (&TargetName, &TargetState)| {
            let age = now.since(state.unreachable_at?);
            let age_ms = age.as_millis() as u16;
            (age < OUTAGE_TTL).then(|| OutageReport { target: target_hash(name), age_ms })
        };
        let mut reports: Vec<OutageReport> = self.targets.iter().filter_map(report).collect();
        reports.sort_unstable_by_key(|report| report.age_ms);
        reports.truncate(OUTAGES_MAX);
        reports
    }

    /// Applies reports of targets that several failure domains of the region couldn't reach.
    pub fn apply_outages(&mut self, reports: &[OutageReport], now: Moment) {
        for report in reports {
            let Some(name) = self.targets_by_hash.get(&report.target) else { continue };
            let Some(state) = self.targets.get_mut(name) else { continue };
            let at = Moment(now.0.saturating_sub(u64::from(report.age_ms) * 1_000));
            if let Some(duration) = state.record_outage(at, now) {
                let (target, millis) = (name.clone(), duration.as_millis() as u64);
                let reason = "other failure domains can't reach it";
                self.log_events.push(DecisionEvent::TargetOut { target, reason, millis });
            }
        }
    }

    /// Returns the average usage of this entry's link, as a percentage of its capacity.
    pub fn link_percent(&self) -> u8 {
        self.link_meter.used_percent()
    }

    /// Returns the demand of this entry's callers for each service, in busy slots. The demand for a
    /// route counts for the service chosen for its last request. What is forwarded to other entries
    /// counts there.
    pub fn local_demand(&self) -> BTreeMap<ServiceName, f32> {
        let mut demand: BTreeMap<ServiceName, f32> = BTreeMap::new();
        if self.is_forwarding() {
            return demand;
        }
        for (service, stats) in self.route_stats.values() {
            *demand.entry(service.clone()).or_default() += stats.busy_slots() as f32;
        }
        demand
    }

    /// Updates time-dependent state; returns the probes that are due. Targets that the list shows as
    /// draining aren't probed, nor those that take nothing from this entry now.
    pub fn tick(&mut self, now: Moment) -> Vec<ProbeRequest> {
        self.update_rates(now);
        self.link_meter.update(now);
        self.update_spillovers(now);
        self.report_shifts(now);
        let window = self.settings.retry_limit.window;
        for budget in self.retry_budgets.values_mut() {
            budget.expire(2 * window, now);
        }
        self.update_shares(now);
        self.update_reach(now);
        self.update_bridges(now);
        self.update_quarantines(now);
        self.update_departures(now);
        self.send_times.expire(now);
        let mut probes = Vec::new();
        for (name, state) in &mut self.targets {
            let is_due = match state.is_draining() {
                true => state.start_departure_probe(now),
                false => state.is_open(now) && state.start_probe(now),
            };
            if is_due {
                state.take_permit(now);
                probes.push(ProbeRequest { target: name.clone() });
            }
        }
        probes.extend(self.next_reach_probe(now));
        probes
    }

    /// Returns the address and path with which to probe a target.
    pub fn probe_endpoint(&self, target: &TargetName) -> Option<(SocketAddr, String)> {
        let state = self.targets.get(target)?;
        let policy = self.services.get(&state.info.service);
        let path =
            policy.and_then(|policy| policy.health_path.clone()).unwrap_or_else(|| "/".to_owned());
        Some((state.info.address, path))
    }

    /// Applies the result of a probe.
    pub fn finish_probe(&mut self, target: &TargetName, result: ProbeResult, now: Moment) {
        match result {
            ProbeResult::Healthy { .. } | ProbeResult::Unhealthy => self.record_connected(now),
            // While some target takes requests, connections to it show more.
            ProbeResult::Unreached if !self.has_eligible_targets() => {
                self.record_failed_probe(target, now);
            }
            ProbeResult::Unreached => {}
        }
        let Some(state) = self.targets.get_mut(target) else { return };
        let cold = match result {
            ProbeResult::Healthy { cold } => Some(cold),
            ProbeResult::Unhealthy | ProbeResult::Unreached => None,
        };
        if state.is_draining() {
            if cold.is_some() && state.finish_departure_probe() {
                self.log_return(target.clone());
            }
        } else if state.finish_probe(result, now) {
            let cold_ms = cold.unwrap_or_default().as_millis() as u64;
            self.log_events.push(DecisionEvent::TargetBack { target: target.clone(), cold_ms });
        }
    }

    /// Returns whether some target takes requests.
    pub(super) fn has_eligible_targets(&self) -> bool {
        self.targets.values().any(|state| state.is_eligible())
    }

    fn update_rates(&mut self, now: Moment) {
        let elapsed = now.since(self.rates_updated_at);
        if elapsed.is_zero() {
            return;
        }
        self.rates_updated_at = now;
        self.route_stats.values_mut().for_each(|(_, stats)| stats.update_rate(elapsed));
    }

    fn update_spillovers(&mut self, now: Moment) {
        for (service, pools) in &self.pools {
            let warm_slots: BTreeMap<RegionName, f64> = pools
                .iter()
                .map(|(region, pool)| (region.clone(), self.warm_slots(pool, now)))
                .collect();
            let demand: BTreeMap<RegionName, f64> = (self.regional_demand.iter())
                .filter_map(|(region, services)| {
                    Some((region.clone(), f64::from(*services.get(service)?)))
                })
                .collect();
            let plan = self.spillovers.entry(service.clone()).or_default();
            plan.update(&self.settings.region, &demand, &warm_slots, now);
        }
    }

    fn warm_slots(&self, pool: &[TargetName], now: Moment) -> f64 {
        let states = pool.iter().filter_map(|name| self.targets.get(name));
        let usable = states.filter(|state| {
            state.is_eligible()
                && !state.is_cold(now)
                && !self.evacuated.contains(&state.info.domain)
        });
        usable.map(|state| f64::from(state.info.slots)).sum()
    }

    /// Returns the planned percentage of each service's requests that spills over to other regions.
    pub fn spillover_percents(&self) -> BTreeMap<ServiceName, u32> {
        let percent = |plan: &SpilloverPlan| (plan.share() * 100.0).round() as u32;
        self.spillovers.iter().map(|(service, plan)| (service.clone(), percent(plan))).collect()
    }
}

fn cold_start_duration(policy: Option<&ServicePolicy>) -> Duration {
    let duration = policy.and_then(|policy| policy.cold_start);
    duration.map_or(COLD_START_DEFAULT, |duration| duration.0)
}
