/*!
Spillover: the share of a region's requests that runs in other regions.

Demand and capacity differ from region to region. A region whose demand exceeds its utilization
limit sends the excess to regions with spare capacity, in proportion to that capacity. The share
rises at a limited rate, since the platform limits how many requests may change their region from
one time window to the next, and falls more slowly. The same limit holds for what moves from one
other region to another, as their spare capacity changes. A hash of the object selects the requests that spill over, so that the
requests for an object stay together, and a running deficit keeps the actual share at the planned
one.
*/

use {
    crate::{clock::Moment, util::stable_hash},
    hemlockspool_model::names::RegionName,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The utilization up to which a region keeps its own requests, if others have capacity for the
/// rest.
const LOCAL_UTILIZATION_MAX: f64 = 0.7;
/// The maximum increase of the share per second: two consecutive windows of 2 s then differ by about
/// 0.1, which is two thirds of the platform's limit.
const SHARE_STEP_PER_S: f64 = 0.05;
/// The maximum share per second that moves from one other region to another: well below the
/// platform's limit, as a region with little traffic deviates from its plan by as much again.
const SHARE_MOVE_PER_S: f64 = 0.02;
/// The maximum decrease of the share per second. Demand that fell often rises again sooner than the
/// share could follow, and objects that return to the region are cold there.
const SHARE_DECAY_PER_S: f64 = 0.01;
/// The maximum increase of the share per second after a region lost targets.
const SHARE_STEP_FAST_PER_S: f64 = 0.5;
/// The relative change of a region's slots that counts as a loss or gain of targets.
const CAPACITY_CHANGE_FRACTION: f64 = 0.08;
/// The time after a loss during which the share may rise fast.
const CAPACITY_CHANGE_TTL: Duration = Duration::from_secs(4);
/// The time after the first request during which the share stays constant: demand is measured over
/// seconds.
const INITIAL_HOLD: Duration = Duration::from_millis(2_500);
/// The change of the selection threshold per request of deficit: small, so that few objects move when
/// the actual share fluctuates.
const DEFICIT_GAIN: f64 = 0.02;
/// The share below which a region gets nothing.
const SHARE_MIN: f64 = 1e-6;
/// The largest deficit or surplus, in requests.
const DEFICIT_MAX: f64 = 10.0;

/// The spillover plan of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct SpilloverPlan {
    /// The planned share of requests that runs in each other region.
    shares: BTreeMap<RegionName, f64>,
    /// The number of requests by which the actual spillover has fallen short of the planned one;
    /// negative for a surplus.
    deficit: f64,
    /// The same for each other region, among the requests that spill over.
    region_deficits: BTreeMap<RegionName, f64>,
    slots: BTreeMap<RegionName, SlotBaseline>,
    first_request_at: Option<Moment>,
    updated_at: Option<Moment>,
}

/// A region's slots at the last change that counted as a loss or gain of targets.
#[derive(Clone, Copy, Debug, Default)]
struct SlotBaseline {
    slots: f64,
    /// The time until which shares may change fast, since the region lost targets.
    fast_until: Option<Moment>,
}

impl SpilloverPlan {
    /// Returns the planned share of requests that spills over.
    pub fn share(&self) -> f64 {
        self.shares.values().sum()
    }

    /// Returns the planned share of requests that runs in each other region.
    pub fn shares(&self) -> &BTreeMap<RegionName, f64> {
        &self.shares
    }

    /// Returns the number of requests by which the actual spillover has fallen short of the planned
    /// one; negative for a surplus.
    pub fn deficit(&self) -> f64 {
        self.deficit
    }

    /// Moves the shares towards those that demand and capacity require.
    ///
    /// Both are given by region: demand in busy slots, capacity in slots.
    pub fn update(
        &mut self,
        local_region: &RegionName,
        demand: &BTreeMap<RegionName, f64>,
        slots: &BTreeMap<RegionName, f64>,
        now: Moment,
    ) {
        let (desired_share, weights) = desired_share(local_region, demand, slots);
        self.record_slots(slots, now);
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at)).as_secs_f64();
        self.updated_at = Some(now);
        let local_slots = slots.get(local_region).copied().unwrap_or_default();
        if local_slots <= 0.0 {
            self.shares = scaled(&weights, desired_share);
            return;
        }
        if self.first_request_at.is_none() {
            let mean = slots.values().sum::<f64>() / slots.len().max(1) as f64;
            // The demand isn't known yet, so all regions are assumed to have the same.
            let share = (1.0 - local_slots / mean).max(0.0);
            let others = slots.iter().filter(|(region, _)| *region != local_region);
            let other_slots = others.map(|(region, count)| (region.clone(), *count)).collect();
            self.shares = scaled(&other_slots, share);
            return;
        }
        if self.first_request_at.is_some_and(|at| now.since(at) < INITIAL_HOLD) {
            return;
        }
        let has_lost = |baseline: &SlotBaseline| baseline.fast_until.is_some_and(|at| now < at);
        let rate = |is_fast, rate| if is_fast { SHARE_STEP_FAST_PER_S } else { rate };
        let rise =
            elapsed * rate(self.slots.get(local_region).is_some_and(has_lost), SHARE_STEP_PER_S);
        let step = elapsed * rate(self.slots.values().any(has_lost), SHARE_MOVE_PER_S);
        let share =
            desired_share.clamp(self.share() - SHARE_DECAY_PER_S * elapsed, self.share() + rise);
        let is_gone = |region: &RegionName| slots.get(region).is_none_or(|count| *count <= 0.0);
        self.move_shares(share, &weights, step, is_gone);
    }

    /// Moves the shares to a given sum, and towards proportions, by a limited total change. A region
    /// that has no slots any more loses its share at once.
    fn move_shares<F>(
        &mut self,
        sum: f64,
        weights: &BTreeMap<RegionName, f64>,
        step: f64,
        is_gone: F,
    ) where
        F: Fn(&RegionName) -> bool,
    {
        let kept = self.shares.iter().filter(|(region, _)| !is_gone(region));
        let old: BTreeMap<RegionName, f64> =
            kept.map(|(region, share)| (region.clone(), *share)).collect();
        let goal = scaled(if weights.is_empty() { &old } else { weights }, sum);
        let old_sum: f64 = old.values().sum();
        let nearest = with_sum(&old, &goal, sum);
        // What the sum changes counts too: it is as many requests that change their region.
        let step = (step - (sum - old_sum).abs()).max(0.0);
        let gap: f64 = differences(&nearest, &goal).values().map(|gap| gap.max(0.0)).sum();
        let fraction = if gap > step { step / gap } else { 1.0 };
        self.shares = differences(&nearest, &goal)
            .into_iter()
            .map(|(region, gap)| {
                let share = nearest.get(&region).copied().unwrap_or_default();
                (region, share + fraction * gap)
            })
            .filter(|(_, share)| *share > SHARE_MIN)
            .collect();
    }

    /// Lets the shares change fast for a while if a region lost targets.
    fn record_slots(&mut self, slots: &BTreeMap<RegionName, f64>, now: Moment) {
        for (region, count) in slots {
            let baseline = self.slots.entry(region.clone()).or_default();
            let change = count - baseline.slots;
            if change.abs() > CAPACITY_CHANGE_FRACTION * baseline.slots.max(1.0) {
                if change < 0.0 {
                    baseline.fast_until = Some(now.after(CAPACITY_CHANGE_TTL));
                }
                baseline.slots = *count;
            }
        }
    }

    /// Returns the region to which a request spills over, or `None` if it stays in the entry's own.
    pub fn choose_region(&mut self, key: u64, now: Moment) -> Option<RegionName> {
        self.first_request_at.get_or_insert(now);
        let share = self.share();
        let position = unit_interval(stable_hash(&key.to_le_bytes()));
        let threshold = share + DEFICIT_GAIN * self.deficit;
        let spills = share >= 1.0 || (share > 0.0 && position < threshold);
        self.add_deficit(if spills { share - 1.0 } else { share });
        let region = if spills { self.region_for(key) } else { None };
        if let Some(region) = &region {
            self.add_region_deficits(region, 1.0);
        }
        region
    }

    /// Reverts the effect of a choice on the deficits when the request found no capacity: the shares
    /// count only requests that run.
    pub fn undo_choice(&mut self, region: Option<&RegionName>) {
        let share = self.share();
        self.add_deficit(if region.is_some() { 1.0 - share } else { -share });
        if let Some(region) = region {
            self.add_region_deficits(region, -1.0);
        }
    }

    /// Adds requests that run in another region to the deficits of all other regions.
    fn add_region_deficits(&mut self, chosen: &RegionName, requests: f64) {
        let sum = self.share().max(SHARE_MIN);
        self.region_deficits.retain(|region, _| self.shares.contains_key(region));
        for (region, share) in &self.shares {
            let actual = if region == chosen { 1.0 } else { 0.0 };
            let deficit = self.region_deficits.entry(region.clone()).or_default();
            *deficit += requests * (share / sum - actual);
            *deficit = deficit.clamp(-DEFICIT_MAX, DEFICIT_MAX);
        }
    }

    fn add_deficit(&mut self, requests: f64) {
        self.deficit = (self.deficit + requests).clamp(-DEFICIT_MAX, DEFICIT_MAX);
    }

    /// Returns the other region for a key by weighted rendezvous hashing.
    fn region_for(&self, key: u64) -> Option<RegionName> {
        let score = |(region, share): &(&RegionName, &f64)| {
            let deficit = self.region_deficits.get(*region).copied().unwrap_or_default();
            let weight = *share + DEFICIT_GAIN * deficit * self.share();
            let text = format!("{region} {key}");
            let uniform = unit_interval(stable_hash(text.as_bytes())).max(f64::MIN_POSITIVE);
            -uniform.ln() / weight.max(f64::MIN_POSITIVE)
        };
        let best = self.shares.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(region, _)| region.clone())
    }
}

/// Returns weights scaled to a sum.
fn scaled(weights: &BTreeMap<RegionName, f64>, sum: f64) -> BTreeMap<RegionName, f64> {
    let all: f64 = weights.values().sum();
    let share = |weight: &f64| sum * weight / all.max(f64::MIN_POSITIVE);
    weights.iter().map(|(region, weight)| (region.clone(), share(weight))).collect()
}

/// Returns, for each region, how far its share is below the goal.
fn differences(
    shares: &BTreeMap<RegionName, f64>,
    goal: &BTreeMap<RegionName, f64>,
) -> BTreeMap<RegionName, f64> {
    let value_of = |values: &BTreeMap<RegionName, f64>, region: &RegionName| {
        values.get(region).copied().unwrap_or_default()
    };
    let regions: BTreeSet<&RegionName> = shares.keys().chain(goal.keys()).collect();
    let difference = |region: &RegionName| value_of(goal, region) - value_of(shares, region);
    regions.into_iter().map(|region| (region.clone(), difference(region))).collect()
}

/// Returns shares with another sum; only those change that come closer to the goal by it.
fn with_sum(
    shares: &BTreeMap<RegionName, f64>,
    goal: &BTreeMap<RegionName, f64>,
    sum: f64,
) -> BTreeMap<RegionName, f64> {
    let change = sum - shares.values().sum::<f64>();
    let gaps = differences(shares, goal);
    let towards = |gap: f64| if gap * change > 0.0 { gap } else { 0.0 };
    let all: f64 = gaps.values().map(|gap| towards(*gap).abs()).sum();
    gaps.iter()
        .map(|(region, gap)| {
            let part = towards(*gap).abs() / all.max(f64::MIN_POSITIVE);
            (region.clone(), shares.get(region).copied().unwrap_or_default() + change * part)
        })
        .collect()
}

/// Maps a hash to the interval [0, 1).
fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the share of a region's requests that should spill over, and the weights of the other
/// regions.
fn desired_share(
    local_region: &RegionName,
    demand: &BTreeMap<RegionName, f64>,
    slots: &BTreeMap<RegionName, f64>,
) -> (f64, BTreeMap<RegionName, f64>) {
    let all_demand: f64 = demand.values().sum();
    let all_slots: f64 = slots.values().sum();
    if all_slots <= 0.0 {
        return (0.0, BTreeMap::new());
    }
    let goal_utilization = LOCAL_UTILIZATION_MAX.max(all_demand / all_slots);
    let demand_of = |region: &RegionName| demand.get(region).copied().unwrap_or_default();
    let spare_slots = |region: &RegionName, region_slots: f64| {
        (goal_utilization * region_slots - demand_of(region)).max(0.0)
    };
    let weights: BTreeMap<RegionName, f64> = (slots.iter())
        .filter(|(region, _)| *region != local_region)
        .map(|(region, region_slots)| (region.clone(), spare_slots(region, *region_slots)))
        .filter(|(_, spare)| *spare > 0.0)
        .collect();
    let local_demand = demand_of(local_region);
    let local_slots = slots.get(local_region).copied().unwrap_or_default();
    if local_slots <= 0.0 {
        // Without local targets everything spills over, even if the others have little capacity.
        let others = slots
            .iter()
            .filter(|(region, region_slots)| *region != local_region && **region_slots > 0.0);
        let weights =
            others.map(|(region, region_slots)| (region.clone(), *region_slots)).collect();
        return (1.0, weights);
    }
    if local_demand <= 0.0 || weights.is_empty() {
        return (0.0, weights);
    }
    let share = (1.0 - goal_utilization * local_slots / local_demand).clamp(0.0, 1.0);
    (share, weights)
}
