/*!
What an entry knows of each target.

The platform's list says what a target is; its answers say how it does. What it does goes before what
it says: a target that refuses connections or breaks answers is left alone for a while and probed
before it gets requests again.
*/

use {
    crate::{
        clock::Moment,
        fleet::roster::TargetInfo,
        traffic::{cold_limiter::ColdLimiter, request::TargetLoad},
    },
    hemlockspool_model::names::{RegionName, TargetName},
    std::time::Duration,
};

/// The half-life of what others were seen to have at a target.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// The weight of a new observation of others' requests.
const OTHERS_WEIGHT: f64 = 0.7;
/// Failures in a row after which a target is left alone.
const FAILS_MAX: u32 = 3;
/// For how long a target is left alone at first; it doubles with each failed probe.
const OUT_FIRST: Duration = Duration::from_millis(500);
/// For how long a target is left alone at first that others couldn't reach: the list mostly drops it
/// before it need be probed.
const OUT_TOLD: Duration = Duration::from_millis(2_000);
/// For how long a target is left alone at most.
const OUT_MAX: Duration = Duration::from_secs(4);
/// After how long without an answer a probe counts as failed.
const PROBE_PATIENCE: Duration = Duration::from_millis(1_000);
/// The weight of a failure in the share of failed requests.
const FAILURE_WEIGHT: f64 = 0.1;
/// The half-life of the share of failed requests.
const FAILING_HALF_LIFE: Duration = Duration::from_millis(2_000);
/// For how long a target that says that it is full is passed over.
const FULL_FOR: Duration = Duration::from_millis(60);

/// Whether a target gets requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TargetHealth {
    /// It does.
    Healthy,
    /// Not until a time, and then only after a probe.
    Ejected { until: Moment, pause: Duration },
    /// A probe is under way.
    Probing { since: Moment, pause: Duration },
    /// Another instance has its address.
    Replaced,
}

/// One target.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub fact: TargetInfo,
    pub region: RegionName,
    pub health: TargetHealth,
    pub own: u32,
    others: f64,
    others_at: Moment,
    /// The load that the target last told this entry, and when.
    pub heard: Option<(u16, Moment)>,
    pub full_until: Option<Moment>,
    pub fails: u32,
    /// The recent share of requests that it failed, as of a moment.
    failing: f64,
    failing_at: Moment,
    pub cold_until: Option<Moment>,
    pub cold_permits: ColdLimiter,
    /// When this entry last found that the target can't be reached, or that another one has its address.
    pub lost_at: Option<Moment>,
    /// When it last answered this entry.
    well_at: Option<Moment>,
}

impl TargetState {
    pub fn new(fact: TargetInfo, region: RegionName, now: Moment) -> Self {
        let cold = (fact.cold_ms > 0).then(|| now.after(Duration::from_millis(fact.cold_ms)));
        Self {
            fact,
            region,
            health: TargetHealth::Healthy,
            own: 0,
            others: 0.0,
            others_at: now,
            heard: None,
            full_until: None,
            fails: 0,
            failing: 0.0,
            failing_at: now,
            cold_until: cold,
            cold_permits: ColdLimiter::default(),
            lost_at: None,
            well_at: None,
        }
    }

    /// Takes in what the list says now.
    pub fn relist(&mut self, fact: TargetInfo, now: Moment) {
        if fact.cold_ms > 0 && fact.cold_ms != self.fact.cold_ms {
            self.cool(Duration::from_millis(fact.cold_ms), now);
        }
        if fact.address != self.fact.address {
            self.health = TargetHealth::Healthy;
            self.fails = 0;
        }
        // A target that drains never takes new work again under the same name.
        let draining = self.fact.draining || fact.draining;
        self.fact = TargetInfo { draining, ..fact };
    }

    /// Notes that the target is cold for a time.
    pub fn cool(&mut self, span: Duration, now: Moment) {
        self.cold_until = self.cold_until.max(Some(now.after(span)));
    }

    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the requests that it is taken to hold, from all entries.
    pub fn load(&self, now: Moment) -> f64 {
        let age = now.since(self.others_at).as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
        f64::from(self.own) + self.others * 0.5_f64.powf(age)
    }

    pub fn hear_load(&mut self, load: TargetLoad, now: Moment) {
        // The answered request itself is counted neither here nor there.
        let requests = load.running + load.waiting;
        self.heard = Some((requests as u16, now));
        let seen = f64::from(requests.saturating_sub(self.own));
        let old = self.load(now) - f64::from(self.own);
        self.others = old + OTHERS_WEIGHT * (seen - old);
        self.others_at = now;
        if load.slots > 0 {
            self.fact.slots = load.slots;
        }
    }

    /// Takes in a load that the target told another entry.
    pub fn hear_shared(&mut self, requests: u16, at: Moment) {
        let newer = self.heard.is_none_or(|(_, heard)| heard < at) && self.others_at < at;
        if newer {
            self.others = f64::from(u32::from(requests).saturating_sub(self.own));
            self.others_at = at;
        }
    }

    /// Notes that the target refused a request: for want of room, or in spite of room, which is a
    /// fault.
    pub fn hear_refusal(&mut self, load: Option<TargetLoad>, now: Moment) {
        if load.is_some_and(|load| load.running >= load.slots) {
            self.full_until = Some(now.after(FULL_FOR));
        } else {
            self.note_failing(1.0, now);
        }
    }

    pub fn is_full(&self, now: Moment) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Notes that the target answered, whatever it said.
    pub fn reached(&mut self, now: Moment) {
        self.well_at = Some(now);
    }

    pub fn succeeded(&mut self, now: Moment) {
        self.fails = 0;
        self.note_failing(0.0, now);
    }

    /// Returns the recent share of requests that it failed. It runs down by itself, since a target
    /// that comes last gets few requests to show that it is well again.
    pub fn failing(&self, now: Moment) -> f64 {
        let age = now.since(self.failing_at).as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64();
        self.failing * 0.5_f64.powf(age)
    }

    fn note_failing(&mut self, failed: f64, now: Moment) {
        let old = self.failing(now);
        self.failing = old + FAILURE_WEIGHT * (failed - old);
        self.failing_at = now;
    }

    /// Notes a failure; returns for how long the target is left alone from now on, if it is.
    pub fn failed(&mut self, hard: bool, now: Moment) -> Option<Duration> {
        self.fails += 1;
        self.note_failing(1.0, now);
        let out = self.health == TargetHealth::Healthy && (hard || self.fails >= FAILS_MAX);
        if !out {
            return None;
        }
        self.health = TargetHealth::Ejected { until: now.after(OUT_FIRST), pause: OUT_FIRST };
        Some(OUT_FIRST)
    }

    /// Takes in that entries of several failure domains couldn't reach it at a moment; returns for how
    /// long it is left alone from now on, if it is.
    pub fn hear_outage(&mut self, at: Moment, now: Moment) -> Option<Duration> {
        let well_since = self.well_at.is_some_and(|well| well >= at);
        if self.health != TargetHealth::Healthy || well_since {
            return None;
        }
        self.health = TargetHealth::Ejected { until: now.after(OUT_TOLD), pause: OUT_FIRST };
        Some(OUT_TOLD)
    }

    /// Begins a probe when one is due; tells whether it does.
    pub fn begin_probe(&mut self, now: Moment) -> bool {
        match self.health {
            TargetHealth::Ejected { until, pause } if now >= until => {
                self.health = TargetHealth::Probing { since: now, pause };
                true
            }
            TargetHealth::Probing { since, pause } if now.since(since) > PROBE_PATIENCE => {
                self.probe_failed(pause, now);
                false
            }
            _ => false,
        }
    }

    /// Takes in the end of a probe: for how long the target says that it is cold, if it answered.
    pub fn probed(&mut self, cold: Option<Duration>, now: Moment) -> bool {
        let TargetHealth::Probing { pause, .. } = self.health else {
            return false;
        };
        let Some(cold) = cold else {
            self.probe_failed(pause, now);
            return false;
        };
        self.health = TargetHealth::Healthy;
        self.fails = 0;
        self.well_at = Some(now);
        if !cold.is_zero() {
            self.cool(cold, now);
        }
        true
    }

    fn probe_failed(&mut self, pause: Duration, now: Moment) {
        let pause = (2 * pause).min(OUT_MAX);
        self.health = TargetHealth::Ejected { until: now.after(pause), pause };
    }

    /// Tells whether the target may get new work at all.
    pub fn is_eligible(&self) -> bool {
        !self.fact.draining && self.health == TargetHealth::Healthy && self.fact.slots > 0
    }
}

/// Names a probe to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ProbeRequest {
    pub target: TargetName,
}
