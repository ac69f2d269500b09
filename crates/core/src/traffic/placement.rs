/*!
Placement: chooses a target among those of a service.
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

/// The load, as a fraction of a target's slots, up to which the target takes requests for the
/// objects whose second choice it is: an object that is new to a target takes several times as long
/// and evicts other objects.
const SECOND_CHOICE_LOAD_FRACTION: f64 = 0.6;
/// The fraction of a request's spare time before its goal for which it may queue at a target, by
/// priority.
const QUEUE_FRACTION_BY_PRIORITY: [f64; 3] = [0.9, 0.6, 0.35];
/// The longest queueing time at a target, in multiples of the processing time.
const QUEUE_ROUNDS_MAX: f64 = 1.0;
/// The excess of a target's failure rate over that of its service at which the target ranks after
/// all others. Moving its objects makes them cold, which doesn't pay when the other targets fail as
/// often.
const EXCESS_FAILURE_RATE: f64 = 0.3;

/// The state that a placement is based on.
#[derive(Debug)]
pub(crate) struct PlacementContext<'a> {
    pub targets: &'a BTreeMap<TargetName, TargetState>,
    pub evacuated: &'a BTreeSet<DomainName>,
    pub me: SocketAddr,
    pub entries: &'a BTreeMap<SocketAddr, InstancePlace>,
    pub now: Moment,
    /// The processing time of a request for a warm object, in milliseconds.
    pub warm_processing_ms: f64,
    /// The current failure rate of the service's targets.
    pub baseline_failure_rate: f64,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TargetChoice {
    pub target: TargetName,
    pub load: f64,
    pub is_cold: bool,
}

/// The reason why no target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementError {
    /// Neither the first nor the second choice among a region's available warm targets has capacity
    /// for the request, or none of them takes one from this entry now.
    NoCapacity,
    /// No warm target is available, and no cold one may get the request now.
    NoTarget,
}

impl PlacementContext<'_> {
    /// Chooses a target from pools, which are given by region in order of preference.
    ///
    /// # Errors
    ///
    /// The reason why no target is chosen.
    pub(crate) fn choose_target(
        &self,
        request: &AdmittedRequest,
        pools: &[(&RegionName, &[TargetName])],
    ) -> Result<TargetChoice, PlacementError> {
        let mut error = PlacementError::NoTarget;
        for (_, pool) in pools {
            match self.choose_warm(request, pool) {
                Ok(choice) => return Ok(choice),
                // Requests move to other regions by the spillover plan, not whenever a region is
                // full.
                Err(PlacementError::NoCapacity) => {
                    error = PlacementError::NoCapacity;
                    break;
                }
                Err(PlacementError::NoTarget) => {}
            }
        }
        // Cold targets, of whichever region, are used only if no warm target was chosen.
        let cold = pools.iter().find_map(|(_, pool)| self.choose_cold(request, pool));
        cold.ok_or(error)
    }

    fn choose_warm(
        &self,
        request: &AdmittedRequest,
        pool: &[TargetName],
    ) -> Result<TargetChoice, PlacementError> {
        let mut ranked: Vec<(u64, &TargetName, &TargetState)> = (pool.iter())
            .filter_map(|name| Some((name, self.targets.get(name)?)))
            .filter(|(name, state)| {
                self.is_available(request, name, state) && !state.is_cold(self.now)
            })
            .map(|(name, state)| (affinity_score(request.key_hash, name), name, state))
            .collect();
        if ranked.is_empty() {
            let is_closed = |name: &TargetName| {
                let state = self.targets.get(name).filter(|state| !state.is_cold(self.now));
                state.is_some_and(|state| self.is_usable(request, name, state))
            };
            // Targets that pause or have a rate limit are like full ones.
            return Err(match pool.iter().any(is_closed) {
                true => PlacementError::NoCapacity,
                false => PlacementError::NoTarget,
            });
        }
        // Targets with a high failure rate rank last. It decays with time, so they are tried again.
        let is_failing = |state: &TargetState| {
            state.failure_rate(self.now) >= self.baseline_failure_rate + EXCESS_FAILURE_RATE
        };
        ranked.sort_unstable_by_key(|(score, _, state)| (is_failing(state), Reverse(*score)));
        let load_if_free = |state: &TargetState| {
            let load = state.load(self.now);
            let load_limit = self.load_limit(request, state.info.slots);
            (load < load_limit && !state.is_full(self.now)).then_some(load)
        };
        let choice =
            |name: &TargetName, load| TargetChoice { target: name.clone(), load, is_cold: false };
        let (_, first, state) = ranked[0];
        if let Some(load) = load_if_free(state) {
            return Ok(choice(first, load));
        }
        // An object stays with its first two targets even when they are full: if objects spread
        // over all targets, the work on cold objects would use up the capacity of the region.
        if let Some((_, second, state)) = ranked.get(1) {
            let load = state.load(self.now);
            if load < SECOND_CHOICE_LOAD_FRACTION * f64::from(state.info.slots)
                && !state.is_full(self.now)
            {
                return Ok(choice(second, load));
            }
        }
        Err(PlacementError::NoCapacity)
    }

    fn choose_cold(&self, request: &AdmittedRequest, pool: &[TargetName]) -> Option<TargetChoice> {
        let targets = pool.iter().filter_map(|name| Some((name, self.targets.get(name)?)));
        let mut candidates = targets.filter(|(name, state)| {
            self.is_available(request, name, state)
                && state.is_cold(self.now)
                && state.cold_limiter.is_ready(self.now)
                && cold_limiter::is_cold_sender(name, self.me, self.entries)
        });
        let (name, state) = candidates.next()?;
        Some(TargetChoice { target: name.clone(), load: state.load(self.now), is_cold: true })
    }

    fn is_available(
        &self,
        request: &AdmittedRequest,
        name: &TargetName,
        state: &TargetState,
    ) -> bool {
        self.is_usable(request, name, state) && state.is_open(self.now)
    }

    /// Returns whether a target may get the request now or once it takes requests again.
    fn is_usable(&self, request: &AdmittedRequest, name: &TargetName, state: &TargetState) -> bool {
        state.is_eligible()
            && !self.evacuated.contains(&state.info.domain)
            && !request.tried_targets.contains(name)
    }

    /// Returns the load below which the first-choice target gets the request: the target's slots
    /// plus a queue as long as the request's goal and priority allow.
    fn load_limit(&self, request: &AdmittedRequest, slots: u32) -> f64 {
        let time_left_ms = request.goal_deadline.since(self.now).as_secs_f64() * 1_000.0;
        let spare_rounds =
            (time_left_ms - self.warm_processing_ms) / self.warm_processing_ms.max(1.0);
        let priority = (request.route.priority as usize).min(QUEUE_FRACTION_BY_PRIORITY.len() - 1);
        let rounds =
            (spare_rounds * QUEUE_FRACTION_BY_PRIORITY[priority]).clamp(0.0, QUEUE_ROUNDS_MAX);
        f64::from(slots) * (1.0 + rounds)
    }
}

/// Returns the score of a target for a key in rendezvous hashing; the highest score is preferred.
pub(crate) fn affinity_score(key: u64, target: &TargetName) -> u64 {
    let mut bytes = Vec::with_capacity(8 + target.as_str().len());
    bytes.extend_from_slice(&key.to_le_bytes());
    bytes.extend_from_slice(target.as_str().as_bytes());
    stable_hash(&bytes)
}
