/*!
Distribution of configuration versions to every instance.

The leader is the root of a distribution tree. Replicas poll the leader, one relay of each failure
domain polls a replica, and the domain's other entries poll the relay, or a replica while the relay
doesn't reply. A poll carries the sender's version; the reply contains the steps that the sender
lacks, or the whole set if some of them are no longer retained, and the time since a quorum
confirmed the version. A new version is also pushed at once to every recent poller; if a push is
lost, the poller gets the version in reply to its next poll.

The version of an instance never decreases while its process runs. An instance that starts waits a
bounded time for a confirmed version; then it puts the latest version that it holds in force without
a confirmation, and logs this. A replica takes versions only from its own log, because a restart
would fall back to that log.
*/

use {
    crate::{
        clock::Moment,
        effect::NodeEffect,
        ledger::{VersionStep, publication::trim_steps},
        log_events::LogEvent,
        util::stable_hash,
        wire::{ConfirmationStatus, PeerMessage, PeerSender, VersionReport},
    },
    hemlockspool_model::{
        names::{ConfigVersion, InstanceName},
        set::ObjectSet,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// The time between polls of the upstream instance.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The time without a reply after which another instance is polled.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time for which a poll subscribes its sender to pushes, and for which reports are kept.
const POLLER_TTL: Duration = Duration::from_secs(5);
/// The age up to which a confirmation is current.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(5);
/// The time for which an instance that starts waits for a confirmed version.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(6);
/// The age up to which a report of an entry is current.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// The time without a current report after which the leader considers an entry absent. It gives
/// new entries time to report, and a new leader time to receive reports.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of start values of `seed_index`; any number well above that of the replicas is
/// enough.
const SEED_INDEX_STARTS: usize = 1 << 16;
/// The maximum number of steps retained for pollers that are slightly behind.
const STEPS_RETAINED: usize = 64;
/// The maximum number of objects in all retained steps.
const STEP_OBJECTS_RETAINED: usize = 2_000;

#[derive(Clone, Debug)]
struct PollerState {
    have: ConfigVersion,
    last_seen: Moment,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    version: ConfigVersion,
    at: Moment,
    leaving: bool,
}

/// The configuration at one instance, with the state of its upstream and of its pollers.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    me: InstanceName,
    version: ConfigVersion,
    set: Arc<ObjectSet>,
    steps: VecDeque<VersionStep>,
    in_force: bool,
    confirmed_at: Option<Moment>,
    confirmation_lost: bool,
    absent: BTreeSet<InstanceName>,
    /// The declared entries without a current report, at the leader, and since when.
    missing_since: BTreeMap<InstanceName, Moment>,
    pollers: BTreeMap<SocketAddr, PollerState>,
    reports: BTreeMap<InstanceName, ReceivedReport>,
    started: Moment,
    poll_due: Moment,
    /// The time of the start, of the latest reply or push, or of the latest change of the polled
    /// instance.
    upstream_timer_start: Moment,
    /// Whether to poll a replica instead of the relay; toggled when a reply doesn't arrive in time.
    skip_relay: bool,
    seed_index: usize,
}

/// The instances that may be polled, and this instance's role.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidates<'a> {
    /// The leader's address, if this instance is a replica and knows it.
    pub leader: Option<SocketAddr>,
    /// Whether this instance is a replica.
    pub is_replica: bool,
    /// Whether this instance is the leader.
    pub is_leader: bool,
    /// The address of the failure domain's relay, unless that is this instance.
    pub relay: Option<SocketAddr>,
    /// The addresses of the replicas.
    pub seeds: &'a [SocketAddr],
}

impl ConfigSync {
    /// Returns the state of an instance that just started: an empty set that is not in force.
    pub fn new(me: InstanceName, now: Moment) -> Self {
        // Relays start at different replicas, so that no replica gets all polls.
        let seed_index = stable_hash(me.as_str().as_bytes()) as usize % SEED_INDEX_STARTS;
        Self {
            me,
            version: ConfigVersion::default(),
            set: Arc::default(),
            steps: VecDeque::new(),
            in_force: false,
            confirmed_at: None,
            confirmation_lost: false,
            absent: BTreeSet::new(),
            missing_since: BTreeMap::new(),
            pollers: BTreeMap::new(),
            reports: BTreeMap::new(),
            started: now,
            poll_due: now,
            upstream_timer_start: now,
            skip_relay: false,
            seed_index,
        }
    }

    /// Returns the version in force, or `None` until a first one is in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.in_force.then_some(self.version)
    }

    /// Returns the version held, in force or not.
    pub fn held_version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the set of the version held.
    pub fn set(&self) -> &Arc<ObjectSet> {
        &self.set
    }

    /// Returns how long ago a quorum last confirmed the version held, or `None` if no confirmation
    /// of it is known.
    pub fn confirmed_age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether an entry is absent, which means that the leader gets no reports of it or
    /// that it is stopping.
    pub fn is_absent(&self, name: &InstanceName) -> bool {
        self.absent.contains(name)
    }

    /// Returns the versions in force at this instance and at the entries with a current report
    /// here.
    pub fn reported_versions(&self, now: Moment) -> Vec<(InstanceName, ConfigVersion)> {
        let current = self.reports.iter().filter(|(_, report)| now.since(report.at) < REPORT_TTL);
        let mut all: BTreeMap<InstanceName, ConfigVersion> =
            current.map(|(name, report)| (name.clone(), report.version)).collect();
        if let Some(version) = self.version() {
            all.insert(self.me.clone(), version);
        }
        all.into_iter().collect()
    }

    /// Adopts a version from this instance's own log, with the time of its confirmation if known.
    pub fn adopt_from_log(
        &mut self,
        version: ConfigVersion,
        set: &Arc<ObjectSet>,
        steps: Vec<VersionStep>,
        confirmed_at: Option<Moment>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if version <= self.version {
            return Vec::new();
        }
        self.set = Arc::clone(set);
        self.advance(version, steps, confirmed_at, now)
    }

    /// Records, at the leader, that a quorum confirmed the version held, and updates the absent
    /// entries. `leaving` is whether this instance is stopping.
    pub fn confirm_from_log(
        &mut self,
        confirmed_at: Moment,
        leaving: bool,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.update_absent(leaving, now);
        self.confirm(confirmed_at, now)
    }

    /// Determines which declared entries callers shouldn't be sent to, at the leader.
    fn update_absent(&mut self, leaving: bool, now: Moment) {
        let set = Arc::clone(&self.set);
        self.absent.clear();
        self.missing_since.retain(|name, _| set.entries.contains_key(name));
        for name in set.entries.keys() {
            let is_me = *name == self.me;
            let report = self.reports.get(name).filter(|report| now.since(report.at) < REPORT_TTL);
            let stopping =
                if is_me { leaving } else { report.is_some_and(|report| report.leaving) };
            let reported = is_me || report.is_some();
            if reported {
                self.missing_since.remove(name);
            }
            let missing_since =
                (!reported).then(|| *self.missing_since.entry(name.clone()).or_insert(now));
            if stopping || missing_since.is_some_and(|since| now.since(since) >= ABSENCE_TIMEOUT) {
                self.absent.insert(name.clone());
            }
        }
    }

    /// Applies a reply or push that contains steps. A replica takes only the confirmation from it.
    pub fn apply_steps(
        &mut self,
        from: ConfigVersion,
        steps: Vec<VersionStep>,
        confirmation: ConfirmationStatus,
        is_replica: bool,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.upstream_timer_start = now;
        let reached_version = steps.last().map_or(from, |step| step.version);
        let mut effects = Vec::new();
        if reached_version > self.version && !is_replica {
            if from > self.version {
                return effects;
            }
            let have = self.version;
            let new_steps: Vec<VersionStep> =
                steps.into_iter().filter(|step| step.version > have).collect();
            let set = Arc::make_mut(&mut self.set);
            for step in &new_steps {
                step.delta.apply(set);
            }
            effects = self.advance(reached_version, new_steps, None, now);
        }
        effects.extend(self.apply_confirmation(reached_version, confirmation, now));
        effects
    }

    /// Applies a reply or push that contains a whole set. A replica takes only the confirmation
    /// from it.
    pub fn apply_whole_set(
        &mut self,
        version: ConfigVersion,
        set: ObjectSet,
        confirmation: ConfirmationStatus,
        is_replica: bool,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.upstream_timer_start = now;
        let mut effects = Vec::new();
        if version > self.version && !is_replica {
            self.set = Arc::new(set);
            self.steps.clear();
            effects = self.advance(version, Vec::new(), None, now);
        }
        effects.extend(self.apply_confirmation(version, confirmation, now));
        effects
    }

    /// Records the sender of a poll and its reports, and replies.
    pub fn handle_poll(
        &mut self,
        sender: &PeerSender,
        have: ConfigVersion,
        reports: Vec<VersionReport>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        for report in reports {
            let at = Moment(now.0.saturating_sub(report.age.as_micros() as u64));
            let (version, leaving) = (report.version, report.leaving);
            self.reports.insert(report.name, ReceivedReport { version, at, leaving });
        }
        self.pollers.insert(sender.peer, PollerState { have, last_seen: now });
        vec![NodeEffect::send(sender.peer, self.reply_to_poll(have, now))]
    }

    /// Polls when due, puts an unconfirmed version in force when the wait for a confirmed one is
    /// over, and logs when the confirmation of the version in force is lost or restored.
    pub fn tick(
        &mut self,
        upstream: UpstreamCandidates<'_>,
        leaving: bool,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        if now >= self.poll_due {
            self.poll_due = now.after(POLL_INTERVAL);
            effects.extend(self.poll(upstream, leaving, now));
        }
        let wait_over = now.since(self.started) >= CONFIRMATION_TIMEOUT;
        if !self.in_force && wait_over && self.version > ConfigVersion::default() {
            self.in_force = true;
            let version = self.version;
            effects.push(NodeEffect::Log(LogEvent::UnconfirmedInForce { version }));
            effects.push(NodeEffect::ConfigChanged);
        }
        let recent = |at: Moment| now.since(at) < CONFIRMATION_TTL;
        let confirmation_lost = self.in_force && !self.confirmed_at.is_some_and(recent);
        if confirmation_lost != self.confirmation_lost {
            self.confirmation_lost = confirmation_lost;
            let version = self.version;
            effects.push(NodeEffect::Log(match confirmation_lost {
                true => LogEvent::ConfirmationLost { version },
                false => LogEvent::ConfirmationRestored { version },
            }));
        }
        self.pollers.retain(|_, poller| now.since(poller.last_seen) < POLLER_TTL);
        self.reports.retain(|_, report| now.since(report.at) < POLLER_TTL);
        effects
    }

    fn poll(
        &mut self,
        upstream: UpstreamCandidates<'_>,
        leaving: bool,
        now: Moment,
    ) -> Option<NodeEffect> {
        if upstream.is_leader {
            return None;
        }
        let upstream_alive = now.since(self.upstream_timer_start) < UPSTREAM_TIMEOUT;
        if !upstream_alive {
            self.seed_index += 1;
            self.upstream_timer_start = now;
            self.skip_relay = !self.skip_relay;
        }
        let seed = upstream.seeds.get(self.seed_index % upstream.seeds.len().max(1)).copied();
        let relay = upstream.relay.filter(|_| !self.skip_relay);
        let to = if upstream.is_replica { upstream.leader } else { relay.or(seed) };
        let reports = self.outgoing_reports(leaving, now);
        let message = PeerMessage::ConfigPoll { have: self.version, reports };
        to.map(|to| NodeEffect::send(to, message))
    }

    /// Returns the reports of this instance and of the instances that poll it, directly or through
    /// others.
    fn outgoing_reports(&self, leaving: bool, now: Moment) -> Vec<VersionReport> {
        let downstream = self.reports.iter().map(|(name, report)| VersionReport {
            name: name.clone(),
            version: report.version,
            age: now.since(report.at),
            leaving: report.leaving,
        });
        let own_report = self.version().map(|version| VersionReport {
            name: self.me.clone(),
            version,
            age: Duration::ZERO,
            leaving,
        });
        downstream.filter(|report| report.name != self.me).chain(own_report).collect()
    }

    fn advance(
        &mut self,
        version: ConfigVersion,
        steps: Vec<VersionStep>,
        confirmed_at: Option<Moment>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        debug_assert!(version > self.version, "the version never decreases");
        self.version = version;
        self.confirmed_at = confirmed_at;
        self.steps.extend(steps);
        trim_steps(&mut self.steps, STEPS_RETAINED, STEP_OBJECTS_RETAINED);
        let mut effects = self.push(now);
        if self.in_force {
            effects.push(NodeEffect::Log(LogEvent::InForce { version }));
            effects.push(NodeEffect::ConfigChanged);
        }
        effects
    }

    fn push(&mut self, now: Moment) -> Vec<NodeEffect> {
        let outdated = self.pollers.iter().filter(|(_, poller)| poller.have < self.version);
        outdated
            .map(|(to, poller)| NodeEffect::send(*to, self.reply_to_poll(poller.have, now)))
            .collect()
    }

    fn reply_to_poll(&self, have: ConfigVersion, now: Moment) -> PeerMessage {
        let absent = self.absent.iter().cloned().collect();
        let confirmation = ConfirmationStatus { age: self.confirmed_age(now), absent };
        let version = self.version;
        if have >= version {
            return PeerMessage::ConfigSteps {
                from: version,
                steps: Vec::new(),
                notice: confirmation,
            };
        }
        let first = self.steps.iter().position(|step| step.version == have.next());
        match first {
            Some(first) => {
                let steps = self.steps.iter().skip(first).cloned().collect();
                PeerMessage::ConfigSteps { from: have, steps, notice: confirmation }
            }
            None => {
                let set = ObjectSet::clone(&self.set);
                PeerMessage::ConfigWhole { version, set, notice: confirmation }
            }
        }
    }

    fn apply_confirmation(
        &mut self,
        version: ConfigVersion,
        confirmation: ConfirmationStatus,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if version != self.version {
            return Vec::new();
        }
        self.absent = confirmation.absent.into_iter().collect();
        let Some(age) = confirmation.age else {
            return Vec::new();
        };
        self.confirm(Moment(now.0.saturating_sub(age.as_micros() as u64)), now)
    }

    fn confirm(&mut self, confirmed_at: Moment, now: Moment) -> Vec<NodeEffect> {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        if self.in_force || now.since(confirmed_at) >= CONFIRMATION_TTL {
            return Vec::new();
        }
        self.in_force = true;
        let version = self.version;
        vec![NodeEffect::Log(LogEvent::InForce { version }), NodeEffect::ConfigChanged]
    }
}
