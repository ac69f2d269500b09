/*!
State of each target as this entry sees it.

The platform's target list describes a target, and its responses show its condition. Observed
behavior takes precedence: a target that can't be connected to or fails several requests in a row is
ejected for a while and probed before it gets requests again.
*/

use {
    crate::{
        clock::Moment,
        fleet::roster::TargetInfo,
        traffic::{
            cold_limiter::ColdLimiter, probe::ProbeResult, rate_share::RateShare,
            request::TargetLoad, target_departure::TargetDeparture, target_notice::StatedLimit,
        },
    },
    hemlockspool_model::names::RegionName,
    std::time::Duration,
};

/// The half-life of the estimate of other entries' requests at a target.
const REMOTE_LOAD_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// The weight of a new load report in the estimate of other entries' requests.
const REMOTE_LOAD_SMOOTHING: f64 = 0.7;
/// The number of consecutive failures after which a target is ejected; a failed connection ejects
/// it at once.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// The duration of the first ejection; it doubles with each failed probe.
const EJECTION_INITIAL: Duration = Duration::from_millis(500);
/// The duration of the first ejection after other failure domains reported an outage: in most cases
/// the target leaves the list before a probe is due.
const EJECTION_REPORTED: Duration = Duration::from_millis(2_000);
/// The longest ejection between two probes.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// The time without a response after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The weight of one request in a target's failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.1;
/// The half-life of a target's failure rate.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_millis(2_000);
/// The time for which a warm target gets no requests after it refused one because it was full.
const FULL_TTL: Duration = Duration::from_millis(60);

/// The health of a target: whether it may get requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TargetHealth {
    /// Gets requests.
    Healthy,
    /// Gets no requests until a point in time, and then only after a successful probe.
    Ejected { until: Moment, backoff: Duration },
    /// Waits for the result of a probe.
    Probing { since: Moment, backoff: Duration },
    /// Gets no requests, since another instance has its address, until a point in time, and then only
    /// after a successful probe.
    Replaced { until: Moment },
}

/// The state of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub info: TargetInfo,
    /// What is known of the target's departure, if it drains.
    pub departure: Option<TargetDeparture>,
    pub region: RegionName,
    pub health: TargetHealth,
    /// The number of this entry's requests at the target.
    pub own_in_flight: u32,
    /// The estimated number of other entries' requests at the target, at `remote_updated_at`; it
    /// decays with time.
    remote_in_flight: f64,
    remote_updated_at: Moment,
    /// The load that the target last reported to this entry, and the time of the report.
    pub reported_load: Option<(u16, Moment)>,
    /// The time until which the target gets no requests if it is warm, since it refused one because
    /// it was full.
    pub full_until: Option<Moment>,
    pub consecutive_failures: u32,
    /// The failure rate at `failure_rate_at`; it decays with time.
    failure_rate: f64,
    failure_rate_at: Moment,
    pub cold_until: Option<Moment>,
    pub cold_limiter: ColdLimiter,
    /// What the target last stated to this entry about its rate limit.
    pub stated_limit: Option<StatedLimit>,
    /// This entry's share in the target's rate limit, if that has one.
    pub rate_share: Option<RateShare>,
    /// The time until which the target wants no request from this entry.
    pub paused_until: Option<Moment>,
    /// Whether the target's malformed statements have been logged.
    pub malformed_logged: bool,
    /// The last time a connection to the target timed out while this entry's link was uncongested,
    /// or another instance was found at the target's address.
    pub unreachable_at: Option<Moment>,
    /// The last time the target answered this entry.
    last_reached_at: Option<Moment>,
}

impl TargetState {
    pub fn new(info: TargetInfo, region: RegionName, now: Moment) -> Self {
        let cold = (info.cold_ms > 0).then(|| now.after(Duration::from_millis(info.cold_ms)));
        let departure = info.draining.then(TargetDeparture::listed);
        Self {
            info,
            departure,
            region,
            health: TargetHealth::Healthy,
            own_in_flight: 0,
            remote_in_flight: 0.0,
            remote_updated_at: now,
            reported_load: None,
            full_until: None,
            consecutive_failures: 0,
            failure_rate: 0.0,
            failure_rate_at: now,
            cold_until: cold,
            cold_limiter: ColdLimiter::default(),
            stated_limit: None,
            rate_share: None,
            paused_until: None,
            malformed_logged: false,
            unreachable_at: None,
            last_reached_at: None,
        }
    }

    /// Applies the target's item in the current target list. Returns whether the target takes requests
    /// again after it drained.
    pub fn update_info(&mut self, info: TargetInfo, now: Moment) -> bool {
        let has_moved = info.address != self.info.address;
        let turns_cold = info.cold_ms > self.info.cold_ms;
        if info.cold_ms > 0 && info.cold_ms != self.info.cold_ms {
            self.mark_cold(Duration::from_millis(info.cold_ms), now);
        }
        if has_moved {
            self.health = TargetHealth::Healthy;
            self.consecutive_failures = 0;
            self.stated_limit = None;
            self.rate_share = None;
            self.paused_until = None;
        }
        let has_returned = self.departure.as_mut().is_some_and(|departure| {
            departure.record_listed(info.draining, now);
            !info.draining && (has_moved || turns_cold)
        });
        if info.draining && self.departure.is_none() {
            self.departure = Some(TargetDeparture::listed());
        }
        self.info = info;
        if has_returned {
            self.reset();
        }
        has_returned
    }

    /// Forgets what was observed of the target before it started again.
    pub fn reset(&mut self) {
        self.departure = None;
        self.health = TargetHealth::Healthy;
        self.remote_in_flight = 0.0;
        self.reported_load = None;
        self.full_until = None;
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
        self.cold_limiter = ColdLimiter::default();
        self.stated_limit = None;
        self.rate_share = None;
        self.paused_until = None;
        self.unreachable_at = None;
    }

    /// Returns whether the target drains, according to the list or itself.
    pub fn is_draining(&self) -> bool {
        self.departure.is_some()
    }

    /// Marks the target as cold for a duration.
    pub fn mark_cold(&mut self, duration: Duration, now: Moment) {
        self.cold_until = self.cold_until.max(Some(now.after(duration)));
    }

    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the estimated number of requests at the target, from all entries.
    pub fn load(&self, now: Moment) -> f64 {
        let age =
            now.since(self.remote_updated_at).as_secs_f64() / REMOTE_LOAD_HALF_LIFE.as_secs_f64();
        f64::from(self.own_in_flight) + self.remote_in_flight * 0.5_f64.powf(age)
    }

    /// Records the load that the target reported with a response.
    pub fn record_load(&mut self, load: TargetLoad, now: Moment) {
        // Neither the reported load nor `own_in_flight` includes the request that was just
        // answered.
        let requests = load.running + load.waiting;
        self.reported_load = Some((requests as u16, now));
        let sample = f64::from(requests.saturating_sub(self.own_in_flight));
        let old = self.load(now) - f64::from(self.own_in_flight);
        self.remote_in_flight = old + REMOTE_LOAD_SMOOTHING * (sample - old);
        self.remote_updated_at = now;
        if load.slots > 0 {
            self.info.slots = load.slots;
        }
    }

    /// Applies a load that the target reported to any entry, if it is newer than the last known.
    pub fn record_shared_load(&mut self, requests: u16, at: Moment) {
        let is_newer = self.reported_load.is_none_or(|(_, reported_at)| reported_at < at)
            && self.remote_updated_at < at;
        if is_newer {
            self.remote_in_flight =
                f64::from(u32::from(requests).saturating_sub(self.own_in_flight));
            self.remote_updated_at = at;
        }
    }

    /// Records that the target refused a request. A refusal raises the failure rate unless the
    /// target reported itself full.
    pub fn record_refusal(&mut self, load: Option<TargetLoad>, now: Moment) {
        if load.is_some_and(|load| load.running >= load.slots) {
            self.full_until = Some(now.after(FULL_TTL));
        } else {
            self.update_failure_rate(1.0, now);
        }
    }

    pub fn is_full(&self, now: Moment) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Records that the target answered, with whatever status.
    pub fn record_reached(&mut self, now: Moment) {
        self.last_reached_at = Some(now);
    }

    pub fn record_success(&mut self, now: Moment) {
        self.consecutive_failures = 0;
        self.update_failure_rate(0.0, now);
    }

    /// Returns the recent fraction of requests that the target failed. It decays with time, since a
    /// target with a high rate gets few requests that could show its recovery.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let age =
            now.since(self.failure_rate_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    fn update_failure_rate(&mut self, sample: f64, now: Moment) {
        let old = self.failure_rate(now);
        self.failure_rate = old + FAILURE_RATE_SMOOTHING * (sample - old);
        self.failure_rate_at = now;
    }

    /// Records a failure; returns the duration of the ejection if the target is ejected now. If
    /// `immediate`, the failure ejects the target without any earlier ones.
    pub fn record_failure(&mut self, immediate: bool, now: Moment) -> Option<Duration> {
        self.consecutive_failures += 1;
        self.update_failure_rate(1.0, now);
        let ejects = self.health == TargetHealth::Healthy
            && (immediate || self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX);
        if !ejects {
            return None;
        }
        self.health =
            TargetHealth::Ejected { until: now.after(EJECTION_INITIAL), backoff: EJECTION_INITIAL };
        Some(EJECTION_INITIAL)
    }

    /// Applies a report that entries of several failure domains couldn't reach the target at a
    /// point in time; returns the duration of the ejection if the target is ejected now.
    pub fn record_outage(&mut self, at: Moment, now: Moment) -> Option<Duration> {
        let reached_since = self.last_reached_at.is_some_and(|reached_at| reached_at >= at);
        if self.health != TargetHealth::Healthy || reached_since {
            return None;
        }
        self.health = TargetHealth::Ejected {
            until: now.after(EJECTION_REPORTED),
            backoff: EJECTION_INITIAL,
        };
        Some(EJECTION_REPORTED)
    }

    /// Starts a probe if one is due, and returns whether it did. Also ends a probe that timed out.
    pub fn start_probe(&mut self, now: Moment) -> bool {
        match self.health {
            TargetHealth::Ejected { until, backoff } if now >= until => {
                self.health = TargetHealth::Probing { since: now, backoff };
                true
            }
            TargetHealth::Replaced { until } if now >= until => {
                self.health = TargetHealth::Probing { since: now, backoff: EJECTION_MAX };
                true
            }
            TargetHealth::Probing { since, backoff } if now.since(since) > PROBE_TIMEOUT => {
                self.fail_probe(backoff, now);
                false
            }
            _ => false,
        }
    }

    /// Applies the result of a probe. Returns whether the probe ended the target's ejection.
    pub fn finish_probe(&mut self, result: ProbeResult, now: Moment) -> bool {
        let TargetHealth::Probing { backoff, .. } = self.health else {
            return false;
        };
        let ProbeResult::Healthy { cold } = result else {
            self.fail_probe(backoff, now);
            return false;
        };
        self.health = TargetHealth::Healthy;
        self.consecutive_failures = 0;
        self.last_reached_at = Some(now);
        if !cold.is_zero() {
            self.mark_cold(cold, now);
        }
        true
    }

    /// Records that another instance responded at the target's address.
    pub fn record_replaced(&mut self, now: Moment) {
        self.health = TargetHealth::Replaced { until: now.after(EJECTION_MAX) };
        self.unreachable_at = Some(now);
    }

    fn fail_probe(&mut self, backoff: Duration, now: Moment) {
        let backoff = (2 * backoff).min(EJECTION_MAX);
        self.health = TargetHealth::Ejected { until: now.after(backoff), backoff };
    }

    /// Returns the time until which the target takes nothing from this entry, because it pauses or
    /// because of its rate limit; none if a limit leaves this entry nothing at all.
    pub fn closed_until(&self, now: Moment) -> Option<Moment> {
        let permit_at = match self.rate_share {
            Some(share) => share.next_permit()?,
            None => now,
        };
        Some(self.paused_until.unwrap_or(now).max(permit_at))
    }

    /// Returns whether the target takes a request from this entry now, as far as it has said.
    pub fn is_open(&self, now: Moment) -> bool {
        self.closed_until(now).is_some_and(|until| now >= until)
    }

    /// Returns whether the target wants no request for a time.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target has a rate limit.
    pub fn has_limit(&self) -> bool {
        self.rate_share.is_some()
    }

    /// Records that the target wants no request for a duration; returns whether it wanted some
    /// before.
    pub fn pause(&mut self, duration: Duration, now: Moment) -> bool {
        let was_paused = self.is_paused(now);
        self.paused_until = self.paused_until.max(Some(now.after(duration)));
        !was_paused && !duration.is_zero()
    }

    /// Takes the permit for a request or a probe, if the target has a rate limit.
    pub fn take_permit(&mut self, now: Moment) {
        if let Some(share) = &mut self.rate_share {
            share.take_permit(now);
        }
    }

    /// Returns whether the target may get new requests, unless its failure domain is evacuated.
    pub fn is_eligible(&self) -> bool {
        !self.is_draining() && self.health == TargetHealth::Healthy && self.info.slots > 0
    }
}
