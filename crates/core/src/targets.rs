/*!
Health, load and slots of the targets of this instance's failure domain.

Observed behaviour of a target outweighs its own load reports, which lag and may be misleading. The
expected completion time counts the requests that this entry has in flight there; the reported load
from other entries decays with the report's age. Failures without a response in between eject a
target for a time that doubles with each ejection; a refusal by the target excludes it briefly. A
target gets no new requests as soon as it reports that it is draining, or the platform's list or a
drain object says so, whichever comes first.
*/

use {
    crate::{
        clock::Moment, domain::DomainShare, effect::NodeEffect, log_events::LogEvent,
        util::stable_hash,
    },
    hemlockspool_model::{
        api::TargetStatus,
        names::{DomainName, ServiceName, TargetName},
        objects::TargetObject,
        set::ObjectSet,
    },
    rand::Rng,
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The time between probes of a target.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of failed attempts and probes since the last response to a request that ejects a
/// target. Successful probes don't reset it. On probation, one failure is enough.
const FAILURES_MAX: u32 = 3;
/// The duration of a target's first ejection; each further one without a response in between
/// doubles it.
const EJECTION_MIN: Duration = Duration::from_secs(1);
/// The longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(20);
/// The time for which a target that refused a request gets no more.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);
/// The age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// The service time assumed before the first response.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(20);
/// The weight of the latest sample in the moving average of service times.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// The response of a target's load endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of requests that the target runs or has queued, from all entries.
    pub load: u32,
    /// Whether the target is draining.
    pub draining: bool,
}

/// The state of one target as seen by this entry.
#[derive(Clone, Debug)]
struct TrackedTarget {
    object: TargetObject,
    in_flight: u32,
    service_time_us: f64,
    /// The latest reported load from other entries, and the time of the report.
    others_load: Option<(u32, Moment)>,
    failures: u32,
    ejections: u32,
    /// The end of the latest ejection. Kept after that end, while the target is on probation, until
    /// a response arrives.
    ejected_until: Option<Moment>,
    refusing_until: Moment,
    ramp_started: Option<Moment>,
    drained: bool,
    reported_draining: bool,
    listed_leaving: bool,
    probe_due: Moment,
}

impl TrackedTarget {
    fn new(object: TargetObject, now: Moment) -> Self {
        Self {
            object,
            in_flight: 0,
            service_time_us: SERVICE_TIME_DEFAULT.as_micros() as f64,
            others_load: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            refusing_until: Moment(0),
            ramp_started: Some(now),
            drained: false,
            reported_draining: false,
            listed_leaving: false,
            probe_due: now,
        }
    }

    fn leaving(&self) -> bool {
        self.drained || self.reported_draining || self.listed_leaving
    }

    fn ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn usable(&self, now: Moment) -> bool {
        !self.leaving() && !self.ejected(now) && now >= self.refusing_until
    }

    fn slot_share(&self, share: DomainShare) -> u32 {
        let salt = stable_hash(self.object.name.as_str().as_bytes());
        share.portion_of(self.object.slots.into(), salt) as u32
    }

    /// Returns the number of slots that this entry may use: its share, or less while the target
    /// ramps up or is on probation after an ejection.
    fn usable_share(&self, share: DomainShare, now: Moment) -> u32 {
        let slots = self.slot_share(share);
        if self.ejected_until.is_some() {
            return slots.min(1);
        }
        let ramp = Duration::from_millis(self.object.ramp_ms.unwrap_or(0));
        let Some(from) = self.ramp_started.filter(|_| !ramp.is_zero()) else {
            return slots;
        };
        let progress = now.since(from).as_secs_f64() / ramp.as_secs_f64();
        if progress >= 1.0 {
            slots
        } else {
            ((f64::from(slots) * progress).ceil() as u32).clamp(slots.min(1), slots)
        }
    }

    fn expected_completion_us(&self, now: Moment) -> f64 {
        let others_load = self.others_load.map_or(0.0, |(load, at)| {
            let halvings = now.since(at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
            f64::from(load) * 0.5f64.powf(halvings)
        });
        let load_per_slot =
            (f64::from(self.in_flight) + others_load) / f64::from(self.object.slots.max(1));
        self.service_time_us * (1.0 + load_per_slot)
    }
}

/// The targets of this instance's failure domain, by name.
#[derive(Clone, Debug, Default)]
pub struct TargetTracker {
    targets: BTreeMap<TargetName, TrackedTarget>,
}

impl TargetTracker {
    /// Updates the targets from a new version. A target whose address changed starts with a new
    /// state.
    pub fn apply_config(&mut self, set: &ObjectSet, domain: &DomainName, now: Moment) {
        let in_domain: BTreeMap<&TargetName, &TargetObject> =
            set.targets.iter().filter(|(_, target)| target.domain == *domain).collect();
        self.targets.retain(|name, target| {
            in_domain.get(name).is_some_and(|object| object.address == target.object.address)
        });
        let at_start = self.targets.is_empty();
        for (name, object) in in_domain {
            let new_target = || TrackedTarget::new(object.clone(), now);
            let target = self.targets.entry(name.clone()).or_insert_with(new_target);
            target.object = object.clone();
            target.drained = set.is_target_drained(object);
            if at_start {
                // When this process starts, the targets themselves may have been running for long,
                // so they don't ramp up. The same holds for targets that are declared when this
                // entry has no others.
                target.ramp_started = None;
            }
        }
    }

    /// Applies the platform's list of leaving instances.
    pub fn apply_leaving_list(&mut self, leaving: &BTreeSet<TargetName>) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        for (name, tracked) in &mut self.targets {
            let listed = leaving.contains(name);
            if listed && !tracked.leaving() {
                let target = name.clone();
                effects.push(NodeEffect::Log(LogEvent::TargetLeaving { target }));
            }
            tracked.listed_leaving = listed;
        }
        effects
    }

    /// Returns the probes that are due.
    pub fn tick(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        for (name, tracked) in &mut self.targets {
            if now >= tracked.probe_due {
                tracked.probe_due = now.after(PROBE_INTERVAL);
                let (target, address) = (name.clone(), tracked.object.address);
                effects.push(NodeEffect::Probe { target, address });
            }
        }
        effects
    }

    /// Records the result of a probe; `None` means that no valid report arrived in time, which
    /// counts as a failure.
    pub fn record_probe(
        &mut self,
        name: &TargetName,
        report: Option<LoadReport>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let Some(target) = self.targets.get_mut(name) else {
            return Vec::new();
        };
        let Some(report) = report else {
            return self.record_failure(name, now);
        };
        let mut effects = Vec::new();
        if report.draining && !target.leaving() {
            effects.push(NodeEffect::Log(LogEvent::TargetLeaving { target: name.clone() }));
        }
        if target.reported_draining && !report.draining {
            target.ramp_started = Some(now);
        }
        target.reported_draining = report.draining;
        target.others_load = Some((report.load.saturating_sub(target.in_flight), now));
        effects
    }

    /// Picks two random targets, possibly the same, out of the usable ones with a free slot that
    /// weren't tried before. Acquires a slot at the one with the earlier expected completion, and
    /// returns that target, or `None` if there is none to pick.
    pub fn acquire_slot(
        &mut self,
        service: &ServiceName,
        tried_targets: &BTreeSet<TargetName>,
        share: DomainShare,
        random: &mut Pcg32,
        now: Moment,
    ) -> Option<TargetObject> {
        let candidates: Vec<&TargetName> = (self.targets.iter())
            .filter(|(name, target)| {
                target.object.service == *service
                    && !tried_targets.contains(name)
                    && target.usable(now)
                    && target.in_flight < target.usable_share(share, now)
            })
            .map(|(name, _)| name)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[random.random_range(0..candidates.len())];
        let second = candidates[random.random_range(0..candidates.len())];
        let cost = |name: &TargetName| self.targets[name].expected_completion_us(now);
        let best = if cost(second) < cost(first) { second } else { first }.clone();
        let target = self.targets.get_mut(&best)?;
        target.in_flight += 1;
        Some(target.object.clone())
    }

    /// Releases the slot of an attempt that ended. Only responses count for the service time; see
    /// `record_response`.
    pub fn release_slot(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Records a response to a request, which resets the count of failures and ends an ejection or
    /// the probation after it.
    pub fn record_response(&mut self, name: &TargetName, latency: Duration) -> Vec<NodeEffect> {
        let Some(target) = self.targets.get_mut(name) else {
            return Vec::new();
        };
        target.service_time_us +=
            SERVICE_TIME_SMOOTHING * (latency.as_micros() as f64 - target.service_time_us);
        target.failures = 0;
        if target.ejected_until.take().is_none() {
            return Vec::new();
        }
        target.ejections = 0;
        vec![NodeEffect::Log(LogEvent::TargetRestored { target: name.clone() })]
    }

    /// Records a refusal by the target, which then gets no requests for `REFUSAL_BACKOFF`.
    pub fn record_refusal(&mut self, name: &TargetName, now: Moment) {
        if let Some(target) = self.targets.get_mut(name) {
            target.refusing_until = now.after(REFUSAL_BACKOFF);
        }
    }

    /// Records a failed attempt or a failed probe, which may eject the target.
    pub fn record_failure(&mut self, name: &TargetName, now: Moment) -> Vec<NodeEffect> {
        let Some(target) = self.targets.get_mut(name) else {
            return Vec::new();
        };
        target.failures += 1;
        let on_probation = target.ejected_until.is_some_and(|until| now >= until);
        if target.ejected(now) || (target.failures < FAILURES_MAX && !on_probation) {
            return Vec::new();
        }
        let duration = EJECTION_MIN * 2u32.saturating_pow(target.ejections.min(8));
        target.ejections += 1;
        target.ejected_until = Some(now.after(duration.min(EJECTION_MAX)));
        target.ramp_started = Some(now);
        vec![NodeEffect::Log(LogEvent::TargetEjected { target: name.clone() })]
    }

    /// Returns whether this entry's requests in flight fit into its share of slots at every target.
    pub fn within_share(&self, share: DomainShare) -> bool {
        self.targets.values().all(|target| target.in_flight <= target.slot_share(share))
    }

    /// Returns the number of slots that this entry may use now at the usable targets of a service.
    pub fn usable_slots(&self, service: &ServiceName, share: DomainShare, now: Moment) -> u32 {
        let usable = self
            .targets
            .values()
            .filter(|target| target.object.service == *service && target.usable(now));
        usable.map(|target| target.usable_share(share, now)).sum()
    }

    /// Returns the number of a service's requests in flight from this entry.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        let of_service = self.targets.values().filter(|target| target.object.service == *service);
        of_service.map(|target| target.in_flight).sum()
    }

    /// Returns the number of all requests in flight from this entry.
    pub fn total_in_flight(&self) -> u64 {
        self.targets.values().map(|target| u64::from(target.in_flight)).sum()
    }

    /// Returns the mean service time over the targets of a service, or a default if there are none.
    pub fn service_time(&self, service: &ServiceName) -> Duration {
        let of_service = self.targets.values().filter(|target| target.object.service == *service);
        let (count, sum) = of_service
            .fold((0u32, 0.0), |(count, sum), target| (count + 1, sum + target.service_time_us));
        if count == 0 {
            return SERVICE_TIME_DEFAULT;
        }
        Duration::from_micros((sum / f64::from(count)) as u64)
    }

    /// Returns the status of each target.
    pub fn status(&self, share: DomainShare, now: Moment) -> Vec<TargetStatus> {
        let status = |(name, target): (&TargetName, &TrackedTarget)| TargetStatus {
            name: name.to_string(),
            in_flight: target.in_flight,
            share: if target.usable(now) { target.usable_share(share, now) } else { 0 },
            leaving: target.leaving(),
            ejected: target.ejected(now),
        };
        self.targets.iter().map(status).collect()
    }
}
