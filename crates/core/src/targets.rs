/*!
The targets of this instance's failure domain: what they are believed to be able to do.

A target is judged by what it does before what it says. Its own reports lag and may mislead, so the
expected time to finish counts the requests that this entry has there, and what the report tells of
others fades with the report's age. Failures in a row shut a target out for a while that grows; a
refusal shuts it out for a moment; its word that it is draining, the platform's list or a drain
object end new work at once, whichever comes first.
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

/// The time between probes of one target.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Failures in a row that shut a target out.
const FAILURES_MAX: u32 = 3;
/// For how long a target is shut out the first time.
const EJECTION_MIN: Duration = Duration::from_secs(1);
/// For how long a target is shut out at most.
const EJECTION_MAX: Duration = Duration::from_secs(20);
/// For how long a target that refused gets nothing.
const SHED_PAUSE: Duration = Duration::from_millis(100);
/// The age at which half of what a report tells has faded.
const REPORT_FADES: Duration = Duration::from_secs(2);
/// The service time that is assumed before the first answer.
const SERVICE_GUESS: Duration = Duration::from_millis(20);
/// The weight of the latest answer in the mean service time.
const SERVICE_GAIN: f64 = 0.1;

/// What a target's load endpoint said.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs or has queued, from everybody.
    pub load: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// What this entry believes of one target.
#[derive(Clone, Debug)]
struct TargetView {
    object: TargetObject,
    in_flight: u32,
    service_us: f64,
    /// Load of others as reported, and when.
    others: Option<(u32, Moment)>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
    shed_until: Moment,
    ramp_from: Option<Moment>,
    drained: bool,
    says_draining: bool,
    listed_leaving: bool,
    probe_due: Moment,
}

impl TargetView {
    fn new(object: TargetObject, now: Moment) -> Self {
        Self {
            object,
            in_flight: 0,
            service_us: SERVICE_GUESS.as_micros() as f64,
            others: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            shed_until: Moment(0),
            ramp_from: Some(now),
            drained: false,
            says_draining: false,
            listed_leaving: false,
            probe_due: now,
        }
    }

    fn leaving(&self) -> bool {
        self.drained || self.says_draining || self.listed_leaving
    }

    fn ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn usable(&self, now: Moment) -> bool {
        !self.leaving() && !self.ejected(now) && now >= self.shed_until
    }

    fn part(&self, share: DomainShare) -> u32 {
        let salt = stable_hash(self.object.name.as_str().as_bytes());
        share.portion_of(self.object.slots.into(), salt) as u32
    }

    /// The slots that this entry may fill: its part, less while the target is cold or on trial
    /// after it was shut out.
    fn share(&self, share: DomainShare, now: Moment) -> u32 {
        let part = self.part(share);
        if self.ejected_until.is_some() {
            return part.min(1);
        }
        let ramp = Duration::from_millis(self.object.ramp_ms.unwrap_or(0));
        let Some(from) = self.ramp_from.filter(|_| !ramp.is_zero()) else {
            return part;
        };
        let done = now.since(from).as_secs_f64() / ramp.as_secs_f64();
        if done >= 1.0 {
            part
        } else {
            ((f64::from(part) * done).ceil() as u32).clamp(part.min(1), part)
        }
    }

    fn expected_finish(&self, now: Moment) -> f64 {
        let others = self.others.map_or(0.0, |(load, at)| {
            let halvings = now.since(at).as_secs_f64() / REPORT_FADES.as_secs_f64();
            f64::from(load) * 0.5f64.powf(halvings)
        });
        let ahead = (f64::from(self.in_flight) + others) / f64::from(self.object.slots.max(1));
        self.service_us * (1.0 + ahead)
    }
}

/// The targets of this instance's failure domain.
#[derive(Clone, Debug, Default)]
pub struct TargetTracker {
    views: BTreeMap<TargetName, TargetView>,
}

impl TargetTracker {
    /// Takes in another version. A target whose address changed starts anew.
    pub fn apply_config(&mut self, set: &ObjectSet, domain: &DomainName, now: Moment) {
        let own: BTreeMap<&TargetName, &TargetObject> =
            set.targets.iter().filter(|(_, target)| target.domain == *domain).collect();
        self.views.retain(|name, view| {
            own.get(name).is_some_and(|target| target.address == view.object.address)
        });
        let first = self.views.is_empty();
        for (name, target) in own {
            let fresh = || TargetView::new(target.clone(), now);
            let view = self.views.entry(name.clone()).or_insert_with(fresh);
            view.object = target.clone();
            view.drained = set.is_target_drained(target);
            if first {
                // At the start of this process nothing says that the targets themselves are cold.
                view.ramp_from = None;
            }
        }
    }

    /// Takes in the platform's list of instances that are leaving.
    pub fn apply_leaving_list(&mut self, leaving: &BTreeSet<TargetName>) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        for (name, view) in &mut self.views {
            let listed = leaving.contains(name);
            if listed && !view.leaving() {
                let target = name.clone();
                effects.push(NodeEffect::Log(LogEvent::TargetLeaving { target }));
            }
            view.listed_leaving = listed;
        }
        effects
    }

    /// Returns what must be probed now.
    pub fn tick(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        for (name, view) in &mut self.views {
            if now >= view.probe_due {
                view.probe_due = now.after(PROBE_INTERVAL);
                let (target, address) = (name.clone(), view.object.address);
                effects.push(NodeEffect::Probe { target, address });
            }
        }
        effects
    }

    /// Takes in the answer to a probe; none when there was none in time.
    pub fn record_probe(
        &mut self,
        name: &TargetName,
        report: Option<LoadReport>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let Some(view) = self.views.get_mut(name) else {
            return Vec::new();
        };
        let Some(report) = report else {
            return self.record_failure(name, now);
        };
        let mut effects = Vec::new();
        if report.draining && !view.leaving() {
            effects.push(NodeEffect::Log(LogEvent::TargetLeaving { target: name.clone() }));
        }
        if view.says_draining && !report.draining {
            view.ramp_from = Some(now);
        }
        view.says_draining = report.draining;
        view.others = Some((report.load.saturating_sub(view.in_flight), now));
        effects
    }

    /// Chooses for a request the better of two targets with room, and counts the request there.
    pub fn acquire_slot(
        &mut self,
        service: &ServiceName,
        tried: &BTreeSet<TargetName>,
        share: DomainShare,
        random: &mut Pcg32,
        now: Moment,
    ) -> Option<TargetObject> {
        let open: Vec<&TargetName> = (self.views.iter())
            .filter(|(name, view)| {
                view.object.service == *service
                    && !tried.contains(name)
                    && view.usable(now)
                    && view.in_flight < view.share(share, now)
            })
            .map(|(name, _)| name)
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = open[random.random_range(0..open.len())];
        let second = open[random.random_range(0..open.len())];
        let cost = |name: &TargetName| self.views[name].expected_finish(now);
        let best = if cost(second) < cost(first) { second } else { first }.clone();
        let view = self.views.get_mut(&best)?;
        view.in_flight += 1;
        Some(view.object.clone())
    }

    /// Counts a request's end. The service time is that of a request that was answered.
    pub fn release_slot(&mut self, name: &TargetName) {
        if let Some(view) = self.views.get_mut(name) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Learns from an answer.
    pub fn record_response(&mut self, name: &TargetName, took: Duration) -> Vec<NodeEffect> {
        let Some(view) = self.views.get_mut(name) else {
            return Vec::new();
        };
        view.service_us += SERVICE_GAIN * (took.as_micros() as f64 - view.service_us);
        view.failures = 0;
        if view.ejected_until.take().is_none() {
            return Vec::new();
        }
        view.ejections = 0;
        vec![NodeEffect::Log(LogEvent::TargetRestored { target: name.clone() })]
    }

    /// Learns from a refusal by the target.
    pub fn record_refusal(&mut self, name: &TargetName, now: Moment) {
        if let Some(view) = self.views.get_mut(name) {
            view.shed_until = now.after(SHED_PAUSE);
        }
    }

    /// Learns from a failure: an attempt that broke off, or a probe without an answer.
    pub fn record_failure(&mut self, name: &TargetName, now: Moment) -> Vec<NodeEffect> {
        let Some(view) = self.views.get_mut(name) else {
            return Vec::new();
        };
        view.failures += 1;
        let on_trial = view.ejected_until.is_some_and(|until| now >= until);
        if view.ejected(now) || (view.failures < FAILURES_MAX && !on_trial) {
            return Vec::new();
        }
        let span = EJECTION_MIN * 2u32.saturating_pow(view.ejections.min(8));
        view.ejections += 1;
        view.ejected_until = Some(now.after(span.min(EJECTION_MAX)));
        view.ramp_from = Some(now);
        vec![NodeEffect::Log(LogEvent::TargetEjected { target: name.clone() })]
    }

    /// Tells whether no target has more in flight from here than this entry's part of its slots.
    pub fn within_share(&self, share: DomainShare) -> bool {
        self.views.values().all(|view| view.in_flight <= view.part(share))
    }

    /// Returns the slots of a service that this entry may fill now, on targets that take work.
    pub fn usable_slots(&self, service: &ServiceName, share: DomainShare, now: Moment) -> u32 {
        let usable =
            self.views.values().filter(|view| view.object.service == *service && view.usable(now));
        usable.map(|view| view.share(share, now)).sum()
    }

    /// Returns the requests of a service in flight from this entry.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        let own = self.views.values().filter(|view| view.object.service == *service);
        own.map(|view| view.in_flight).sum()
    }

    /// Returns the requests of all services in flight from this entry.
    pub fn total_in_flight(&self) -> u64 {
        self.views.values().map(|view| u64::from(view.in_flight)).sum()
    }

    /// Returns the mean service time over the targets of a service that take work.
    pub fn service_time(&self, service: &ServiceName) -> Duration {
        let own = self.views.values().filter(|view| view.object.service == *service);
        let (count, sum) = own.fold((0u32, 0.0), |(n, sum), view| (n + 1, sum + view.service_us));
        if count == 0 {
            return SERVICE_GUESS;
        }
        Duration::from_micros((sum / f64::from(count)) as u64)
    }

    /// Returns a line for each target.
    pub fn status(&self, share: DomainShare, now: Moment) -> Vec<TargetStatus> {
        let line = |(name, view): (&TargetName, &TargetView)| TargetStatus {
            name: name.to_string(),
            in_flight: view.in_flight,
            share: if view.usable(now) { view.share(share, now) } else { 0 },
            leaving: view.leaving(),
            ejected: view.ejected(now),
        };
        self.views.iter().map(line).collect()
    }
}
