/*!
What part of a region's work runs in other regions.

Demand and capacity differ from region to region. A region whose demand is above what it should carry
hands the excess to regions that have room, in proportion to their room. The share moves at a bounded
pace, since the change of regions between neighbouring windows is bounded; which requests go is drawn
by a hash of their object, so that each object's work stays together, and a running balance keeps the
actual share at the planned one.
*/

use {
    crate::{clock::Moment, util::stable_hash},
    hemlockspool_model::names::RegionName,
    std::{collections::BTreeMap, time::Duration},
};

/// The utilisation up to which a region keeps its own work, if others have room for the rest.
const KEEP_UTILISATION: f64 = 0.7;
/// The change of the share per second: two windows of 2 s then differ by a good half of the bound.
const PACE_PER_S: f64 = 0.05;
/// The change of the share per second after a region has lost or regained targets.
const PACE_AFTER_LOSS_PER_S: f64 = 0.5;
/// The change of a region's slots that counts as a loss or gain.
const LOSS_SHARE: f64 = 0.08;
/// For how long after such a change the share follows fast.
const LOSS_FOR: Duration = Duration::from_secs(4);
/// For how long after its first request the share stays: demand is measured over seconds.
const START_HOLD: Duration = Duration::from_millis(2_500);
/// How much a target's load, in parts of its slots, counts for sending its requests elsewhere first.
const PRESSURE_GAIN: f64 = 0.15;
/// The load, in parts of the slots, that counts neither for nor against.
const PRESSURE_EVEN: f64 = 0.6;
/// The share that may go elsewhere beyond the plan, of requests whose own target is full: small
/// against the bound of change.
const OVERFLOW_SHARE: f64 = 0.04;
/// How much a debt of one request moves the threshold at the only entry of a region. More entries
/// share this: their sum is steady by itself, and a threshold that moves less leaves objects in place.
const DEBT_GAIN: f64 = 0.15;
/// The least of it.
const DEBT_GAIN_MIN: f64 = 0.02;
/// The largest debt, in requests.
const DEBT_MAX: f64 = 10.0;

/// The plan of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct SpilloverPlan {
    share: f64,
    debt: f64,
    /// Other regions with their weights.
    weights: BTreeMap<RegionName, f64>,
    slots: f64,
    settled_slots: f64,
    loss_until: Option<Moment>,
    started: Option<Moment>,
    updated: Option<Moment>,
    /// The entries of the region, as far as known.
    entries: usize,
}

impl SpilloverPlan {
    /// Returns the share of requests that runs elsewhere.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Moves the share towards what demand and capacity ask for.
    ///
    /// Both are in busy slots by region.
    pub fn update(
        &mut self,
        home: &RegionName,
        demand: &BTreeMap<RegionName, f64>,
        slots: &BTreeMap<RegionName, f64>,
        now: Moment,
    ) {
        let (wanted, weights) = wanted_share(home, demand, slots);
        if !weights.is_empty() {
            self.weights = weights;
        }
        let own = slots.get(home).copied().unwrap_or_default();
        self.note_slots(own, now);
        let span = self.updated.map_or(Duration::ZERO, |at| now.since(at));
        self.updated = Some(now);
        if own <= 0.0 {
            self.share = wanted;
            return;
        }
        if self.started.is_none() {
            let mean = slots.values().sum::<f64>() / slots.len().max(1) as f64;
            // Nothing is known of the demand yet: regions are taken to have the same.
            self.share = (1.0 - own / mean).max(0.0);
            if self.weights.is_empty() {
                let others = slots.iter().filter(|(region, _)| *region != home);
                self.weights = others.map(|(region, own)| (region.clone(), *own)).collect();
            }
            return;
        }
        if self.started.is_some_and(|at| now.since(at) < START_HOLD) {
            return;
        }
        let after_loss = self.loss_until.is_some_and(|until| now < until);
        let pace = if after_loss { PACE_AFTER_LOSS_PER_S } else { PACE_PER_S };
        let step = pace * span.as_secs_f64();
        self.share = wanted.clamp(self.share - step, self.share + step);
    }

    fn note_slots(&mut self, own: f64, now: Moment) {
        self.slots = own;
        if (own - self.settled_slots).abs() > LOSS_SHARE * self.settled_slots.max(1.0) {
            if self.settled_slots > 0.0 {
                self.loss_until = Some(now.after(LOSS_FOR));
            }
            self.settled_slots = own;
        }
    }

    /// Sets how many entries the region has.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Draws the region of a request; none for the entry's own.
    ///
    /// `utilization` is the load of the target that would run it in the entry's own region, in parts of
    /// its slots. Requests of loaded targets go first: the balance keeps the share all the same.
    pub fn choose_region(&mut self, key: u64, utilization: f64, now: Moment) -> Option<RegionName> {
        self.started.get_or_insert(now);
        if self.weights.is_empty() {
            return None;
        }
        let share = if utilization >= 1.0 { self.share.max(OVERFLOW_SHARE) } else { self.share };
        let place = unit(stable_hash(&key.to_le_bytes()));
        let place = place - PRESSURE_GAIN * (utilization.min(2.0) - PRESSURE_EVEN);
        let gain = (DEBT_GAIN / self.entries.max(1) as f64).max(DEBT_GAIN_MIN);
        let goes = share >= 1.0 || (share > 0.0 && place < share + gain * self.debt);
        let taken = if goes { 1.0 } else { 0.0 };
        let planned = self.share.max(OVERFLOW_SHARE);
        self.debt = (self.debt + planned - taken).clamp(-DEBT_MAX, DEBT_MAX);
        if goes { self.region_of(key) } else { None }
    }

    /// Takes a draw back whose request nothing had room for: the share is that of requests that run.
    pub fn undo_choice(&mut self, went: bool) {
        let taken = if went { 1.0 } else { 0.0 };
        let planned = self.share.max(OVERFLOW_SHARE);
        self.debt = (self.debt - planned + taken).clamp(-DEBT_MAX, DEBT_MAX);
    }

    /// Returns the other region of a key: the first in a ranking by hash and weight.
    fn region_of(&self, key: u64) -> Option<RegionName> {
        let score = |(region, weight): &(&RegionName, &f64)| {
            let text = format!("{region} {key}");
            let draw = unit(stable_hash(text.as_bytes())).max(f64::MIN_POSITIVE);
            -draw.ln() / weight.max(f64::MIN_POSITIVE)
        };
        let best = self.weights.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(region, _)| region.clone())
    }
}

fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the share of a region's work that should run elsewhere, and where.
fn wanted_share(
    home: &RegionName,
    demand: &BTreeMap<RegionName, f64>,
    slots: &BTreeMap<RegionName, f64>,
) -> (f64, BTreeMap<RegionName, f64>) {
    let all_demand: f64 = demand.values().sum();
    let all_slots: f64 = slots.values().sum();
    if all_slots <= 0.0 {
        return (0.0, BTreeMap::new());
    }
    let level = KEEP_UTILISATION.max(all_demand / all_slots);
    let demand_of = |region: &RegionName| demand.get(region).copied().unwrap_or_default();
    let room = |region: &RegionName, own: f64| (level * own - demand_of(region)).max(0.0);
    let weights: BTreeMap<RegionName, f64> = (slots.iter())
        .filter(|(region, _)| *region != home)
        .map(|(region, own)| (region.clone(), room(region, *own)))
        .filter(|(_, room)| *room > 0.0)
        .collect();
    let local_demand = demand_of(home);
    let own_slots = slots.get(home).copied().unwrap_or_default();
    if own_slots <= 0.0 {
        // Without targets of its own everything goes, also where there is little room.
        let others = slots.iter().filter(|(region, own)| *region != home && **own > 0.0);
        let weights = others.map(|(region, own)| (region.clone(), *own)).collect();
        return (1.0, weights);
    }
    if local_demand <= 0.0 || weights.is_empty() {
        return (0.0, weights);
    }
    let share = (1.0 - level * own_slots / local_demand).clamp(0.0, 1.0);
    (share, weights)
}
