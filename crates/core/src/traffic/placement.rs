/*!
The choice of a target among those of a service.
*/

use {
    crate::{
        clock::Moment,
        fleet::messages::InstancePlace,
        traffic::{cold_limiter, request::AdmittedRequest, target_state::TargetState},
        util::stable_hash,
    },
    hemlockspool_model::names::{DomainName, RegionName, TargetName},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// The part of its slots that the second target of an object may have in use: work on an object that
/// is new to a target takes several times as long, and pushes out other objects.
const SECOND_LOAD: f64 = 0.6;
/// The part of the time to spare that a request may wait at a target, for each rank.
const QUEUE_BY_RANK: [f64; 3] = [0.9, 0.6, 0.35];
/// The most rounds of work that a request waits at a target.
const QUEUE_ROUNDS_MAX: f64 = 1.0;
/// By how much more than usual for its service a target must fail to come after all others: leaving
/// it makes its objects cold, which isn't worth it when the others fail as much.
const FAILING: f64 = 0.3;
/// One in this many requests tries a target that fails many.
const TRIAL_ONE_IN: u64 = 24;

/// What a choice is made from.
#[derive(Debug)]
pub(crate) struct PlacementContext<'a> {
    pub records: &'a BTreeMap<TargetName, TargetState>,
    pub evacuated: &'a BTreeSet<DomainName>,
    pub me: SocketAddr,
    pub entries: &'a BTreeMap<SocketAddr, InstancePlace>,
    pub now: Moment,
    /// How long the work of the request takes at a warm target, in milliseconds.
    pub work_ms: f64,
    /// The share of requests that the service's targets fail at present.
    pub usual_failing: f64,
}

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TargetChoice {
    pub target: TargetName,
    pub load: f64,
    pub is_cold: bool,
}

/// Why none was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementError {
    /// All have too much work.
    NoCapacity,
    /// There is none.
    NoTarget,
}

impl PlacementContext<'_> {
    /// Chooses a target of the pools, which are by region and in the order of preference.
    pub(crate) fn choose(
        &self,
        request: &AdmittedRequest,
        pools: &[(&RegionName, &[TargetName])],
    ) -> Result<TargetChoice, PlacementError> {
        let mut gap = PlacementError::NoTarget;
        for (_, pool) in pools {
            match self.choose_in(request, pool) {
                Ok(choice) => return Ok(choice),
                // Other regions help out by plan, not when a region happens to be full.
                Err(PlacementError::NoCapacity) => {
                    gap = PlacementError::NoCapacity;
                    break;
                }
                Err(PlacementError::NoTarget) => {}
            }
        }
        // Targets that have just started take what nobody else does.
        let cold = pools.iter().find_map(|(_, pool)| self.choose_cold(request, pool));
        cold.ok_or(gap)
    }

    fn choose_in(
        &self,
        request: &AdmittedRequest,
        pool: &[TargetName],
    ) -> Result<TargetChoice, PlacementError> {
        let mut ranked: Vec<(u64, &TargetName, &TargetState)> = (pool.iter())
            .filter_map(|name| Some((name, self.records.get(name)?)))
            .filter(|(name, record)| {
                self.is_open(request, name, record) && !record.is_cold(self.now)
            })
            .map(|(name, record)| (affinity_score(request.key, name), name, record))
            .collect();
        if ranked.is_empty() {
            return Err(PlacementError::NoTarget);
        }
        // Targets that fail many requests come last, unless it is their turn for a trial.
        let fails = |name: &TargetName, record: &TargetState| {
            let trial = affinity_score(request.arrived.0, name).is_multiple_of(TRIAL_ONE_IN);
            record.failing(self.now) >= self.usual_failing + FAILING && !trial
        };
        ranked.sort_unstable_by_key(|(rank, name, record)| (fails(name, record), Reverse(*rank)));
        let room = |record: &TargetState| {
            let load = record.load(self.now);
            let limit = self.limit(request, record.fact.slots);
            (load < limit && !record.is_full(self.now)).then_some(load)
        };
        let choice =
            |name: &TargetName, load| TargetChoice { target: name.clone(), load, is_cold: false };
        let (_, first, record) = ranked[0];
        if let Some(load) = room(record) {
            return Ok(choice(first, load));
        }
        // An object stays with its targets also when they are full: spread over all of them, the
        // work on cold objects would fill the whole region.
        if let Some((_, second, record)) = ranked.get(1) {
            let load = record.load(self.now);
            if load < SECOND_LOAD * f64::from(record.fact.slots) && !record.is_full(self.now) {
                return Ok(choice(second, load));
            }
        }
        Err(PlacementError::NoCapacity)
    }

    fn choose_cold(&self, request: &AdmittedRequest, pool: &[TargetName]) -> Option<TargetChoice> {
        let records = pool.iter().filter_map(|name| Some((name, self.records.get(name)?)));
        let mut fitting = records.filter(|(name, record)| {
            self.is_open(request, name, record)
                && record.is_cold(self.now)
                && record.cold_permits.ready(self.now)
                && cold_limiter::is_cold_sender(name, self.me, self.entries)
        });
        let (name, record) = fitting.next()?;
        Some(TargetChoice { target: name.clone(), load: record.load(self.now), is_cold: true })
    }

    fn is_open(&self, request: &AdmittedRequest, name: &TargetName, record: &TargetState) -> bool {
        record.is_eligible()
            && !self.evacuated.contains(&record.fact.domain)
            && !request.tried.contains(name)
    }

    /// Returns how many requests a target may hold for one more to be in time there.
    fn limit(&self, request: &AdmittedRequest, slots: u32) -> f64 {
        let left_ms = request.goal_at.since(self.now).as_secs_f64() * 1_000.0;
        let spare_rounds = (left_ms - self.work_ms) / self.work_ms.max(1.0);
        let rank = (request.route.priority as usize).min(QUEUE_BY_RANK.len() - 1);
        let rounds = (spare_rounds * QUEUE_BY_RANK[rank]).clamp(0.0, QUEUE_ROUNDS_MAX);
        f64::from(slots) * (1.0 + rounds)
    }
}

/// Returns the rank of a target for an object.
pub(crate) fn affinity_score(key: u64, target: &TargetName) -> u64 {
    let mut bytes = Vec::with_capacity(8 + target.as_str().len());
    bytes.extend_from_slice(&key.to_le_bytes());
    bytes.extend_from_slice(target.as_str().as_bytes());
    stable_hash(&bytes)
}
