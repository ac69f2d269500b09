/*!
How a version comes into force at every instance.

The leader is the root. Replicas poll the leader, one relay of each failure domain polls a replica,
and the domain's other entries poll the relay. A poll says what the sender has; the answer brings
the steps that it lacks and how long ago a quorum confirmed them. A new version is also pushed at
once to everybody who polled lately, so polls only mend what was lost.

A version never goes down. An instance that starts waits a bounded time for a confirmed version
before it settles for what it has, and says so. A replica takes versions from its own log only,
since a restart would fall back to that.
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

/// The time between polls.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// After how long without an answer another instance is polled.
const UPSTREAM_PATIENCE: Duration = Duration::from_millis(1_500);
/// For how long a poll counts as a subscription.
const POLLER_STANDS: Duration = Duration::from_secs(5);
/// How old a confirmation may be to count.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(5);
/// How long an instance that starts waits for a confirmed version.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(6);
/// For how long a report counts.
const REPORT_STANDS: Duration = Duration::from_millis(1_500);
/// After how long without a report that counts an entry is absent. One that was declared just now,
/// or a leader that was elected just now, has that long to be heard or to hear.
const ABSENT_AFTER: Duration = Duration::from_millis(1_500);
/// Starting places among the replicas; any number well above theirs will do.
const TURNS: usize = 1 << 16;
/// Steps kept for pollers that are a little behind.
const STEPS_KEPT: usize = 64;
/// Objects within kept steps, at most.
const STEP_OBJECTS_KEPT: usize = 2_000;

#[derive(Clone, Debug)]
struct PollerView {
    have: ConfigVersion,
    heard: Moment,
}

#[derive(Clone, Debug)]
struct ReportView {
    version: ConfigVersion,
    at: Moment,
    leaving: bool,
}

/// The configuration at one instance, and whom it gets it from and passes it to.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    me: InstanceName,
    version: ConfigVersion,
    set: Arc<ObjectSet>,
    steps: VecDeque<VersionStep>,
    in_force: bool,
    confirmed: Option<Moment>,
    confirmation_lost: bool,
    absent: BTreeSet<InstanceName>,
    /// Since when the leader misses reports of declared entries.
    missed: BTreeMap<InstanceName, Moment>,
    pollers: BTreeMap<SocketAddr, PollerView>,
    reports: BTreeMap<InstanceName, ReportView>,
    started: Moment,
    poll_due: Moment,
    answered: Moment,
    asked_relay: bool,
    turn: usize,
}

/// Whom an instance may poll.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidates<'a> {
    /// The leader, at a replica that doesn't lead.
    pub leader: Option<SocketAddr>,
    /// Whether this instance has a replica.
    pub is_replica: bool,
    /// Whether it leads.
    pub is_leader: bool,
    /// The relay of the failure domain, unless that is this instance.
    pub relay: Option<SocketAddr>,
    /// The replicas.
    pub seeds: &'a [SocketAddr],
}

impl ConfigSync {
    /// Makes the copy of an instance that just started: nothing, and not in force.
    pub fn new(me: InstanceName, now: Moment) -> Self {
        // Relays start with different replicas, so that none of these gets all polls.
        let turn = stable_hash(me.as_str().as_bytes()) as usize % TURNS;
        Self {
            me,
            version: ConfigVersion::default(),
            set: Arc::default(),
            steps: VecDeque::new(),
            in_force: false,
            confirmed: None,
            confirmation_lost: false,
            absent: BTreeSet::new(),
            missed: BTreeMap::new(),
            pollers: BTreeMap::new(),
            reports: BTreeMap::new(),
            started: now,
            poll_due: now,
            answered: now,
            asked_relay: false,
            turn,
        }
    }

    /// Returns the version in force; none while a confirmed one is waited for.
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

    /// Returns how long ago a quorum confirmed the version held.
    pub fn confirmed_age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Tells whether the leader doesn't hear of an entry, or knows that it is stopping.
    pub fn is_absent(&self, name: &InstanceName) -> bool {
        self.absent.contains(name)
    }

    /// Returns the versions reported to this instance, with its own.
    pub fn reported_versions(&self, now: Moment) -> Vec<(InstanceName, ConfigVersion)> {
        let fresh = self.reports.iter().filter(|(_, view)| now.since(view.at) < REPORT_STANDS);
        let mut all: BTreeMap<InstanceName, ConfigVersion> =
            fresh.map(|(name, view)| (name.clone(), view.version)).collect();
        if let Some(version) = self.version() {
            all.insert(self.me.clone(), version);
        }
        all.into_iter().collect()
    }

    /// Takes a version from this instance's own log, confirmed now if this instance leads.
    pub fn adopt_from_log(
        &mut self,
        version: ConfigVersion,
        set: &Arc<ObjectSet>,
        steps: Vec<VersionStep>,
        confirmed: Option<Moment>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if version <= self.version {
            return Vec::new();
        }
        self.set = Arc::clone(set);
        self.advance(version, steps, confirmed, now)
    }

    /// Takes a confirmation from this instance's own log, when it leads.
    pub fn confirm_from_log(&mut self, at: Moment, leaving: bool, now: Moment) -> Vec<NodeEffect> {
        self.judge_absent(leaving, now);
        self.confirm(at, now)
    }

    /// Works out, as the leader, which declared entries callers shouldn't be sent to.
    fn judge_absent(&mut self, leaving: bool, now: Moment) {
        let set = Arc::clone(&self.set);
        self.absent.clear();
        self.missed.retain(|name, _| set.entries.contains_key(name));
        for name in set.entries.keys() {
            let own = *name == self.me;
            let report = self.reports.get(name).filter(|r| now.since(r.at) < REPORT_STANDS);
            let stops = if own { leaving } else { report.is_some_and(|report| report.leaving) };
            let heard = own || report.is_some();
            if heard {
                self.missed.remove(name);
            }
            let missed = (!heard).then(|| *self.missed.entry(name.clone()).or_insert(now));
            if stops || missed.is_some_and(|since| now.since(since) >= ABSENT_AFTER) {
                self.absent.insert(name.clone());
            }
        }
    }

    /// Takes in an answer of steps.
    pub fn apply_steps(
        &mut self,
        from: ConfigVersion,
        steps: Vec<VersionStep>,
        notice: ConfirmationStatus,
        is_replica: bool,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.answered = now;
        let reached = steps.last().map_or(from, |step| step.version);
        let mut effects = Vec::new();
        if reached > self.version && !is_replica {
            if from > self.version {
                return effects;
            }
            let have = self.version;
            let fresh: Vec<VersionStep> =
                steps.into_iter().filter(|step| step.version > have).collect();
            let set = Arc::make_mut(&mut self.set);
            for step in &fresh {
                step.delta.apply(set);
            }
            effects = self.advance(reached, fresh, None, now);
        }
        effects.extend(self.take_notice(reached, notice, now));
        effects
    }

    /// Takes in a whole set.
    pub fn apply_whole_set(
        &mut self,
        version: ConfigVersion,
        set: ObjectSet,
        notice: ConfirmationStatus,
        is_replica: bool,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.answered = now;
        let mut effects = Vec::new();
        if version > self.version && !is_replica {
            self.set = Arc::new(set);
            self.steps.clear();
            effects = self.advance(version, Vec::new(), None, now);
        }
        effects.extend(self.take_notice(version, notice, now));
        effects
    }

    /// Answers a poll.
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
            self.reports.insert(report.name, ReportView { version, at, leaving });
        }
        self.pollers.insert(sender.peer, PollerView { have, heard: now });
        vec![NodeEffect::send(sender.peer, self.answer(have, now))]
    }

    /// Polls when due, and settles when the wait for a confirmed version has been long enough.
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
        let waited = now.since(self.started) >= CONFIRMATION_TIMEOUT;
        if !self.in_force && waited && self.version > ConfigVersion::default() {
            self.in_force = true;
            let version = self.version;
            effects.push(NodeEffect::Log(LogEvent::UnconfirmedInForce { version }));
            effects.push(NodeEffect::ConfigChanged);
        }
        let recent = |at: Moment| now.since(at) < CONFIRMATION_TTL;
        let lost = self.in_force && !self.confirmed.is_some_and(recent);
        if lost != self.confirmation_lost {
            self.confirmation_lost = lost;
            let version = self.version;
            effects.push(NodeEffect::Log(match lost {
                true => LogEvent::ConfirmationLost { version },
                false => LogEvent::ConfirmationRestored { version },
            }));
        }
        self.pollers.retain(|_, poller| now.since(poller.heard) < POLLER_STANDS);
        self.reports.retain(|_, report| now.since(report.at) < POLLER_STANDS);
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
        let patient = now.since(self.answered) < UPSTREAM_PATIENCE;
        if !patient {
            self.turn += 1;
            self.answered = now;
            self.asked_relay = !self.asked_relay;
        }
        let seed = upstream.seeds.get(self.turn % upstream.seeds.len().max(1)).copied();
        let relay = upstream.relay.filter(|_| !self.asked_relay);
        let to = if upstream.is_replica { upstream.leader } else { relay.or(seed) };
        let reports = self.own_reports(leaving, now);
        let message = PeerMessage::ConfigPoll { have: self.version, reports };
        to.map(|to| NodeEffect::send(to, message))
    }

    fn own_reports(&self, leaving: bool, now: Moment) -> Vec<VersionReport> {
        let below = self.reports.iter().map(|(name, view)| VersionReport {
            name: name.clone(),
            version: view.version,
            age: now.since(view.at),
            leaving: view.leaving,
        });
        let own = self.version().map(|version| VersionReport {
            name: self.me.clone(),
            version,
            age: Duration::ZERO,
            leaving,
        });
        below.filter(|report| report.name != self.me).chain(own).collect()
    }

    fn advance(
        &mut self,
        version: ConfigVersion,
        steps: Vec<VersionStep>,
        confirmed: Option<Moment>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        debug_assert!(version > self.version, "a version never goes down");
        self.version = version;
        self.confirmed = confirmed;
        self.steps.extend(steps);
        trim_steps(&mut self.steps, STEPS_KEPT, STEP_OBJECTS_KEPT);
        let mut effects = self.push(now);
        if self.in_force {
            effects.push(NodeEffect::Log(LogEvent::InForce { version }));
            effects.push(NodeEffect::ConfigChanged);
        }
        effects
    }

    fn push(&mut self, now: Moment) -> Vec<NodeEffect> {
        let behind = self.pollers.iter().filter(|(_, poller)| poller.have < self.version);
        behind.map(|(to, poller)| NodeEffect::send(*to, self.answer(poller.have, now))).collect()
    }

    fn answer(&self, have: ConfigVersion, now: Moment) -> PeerMessage {
        let absent = self.absent.iter().cloned().collect();
        let notice = ConfirmationStatus { age: self.confirmed_age(now), absent };
        let version = self.version;
        if have >= version {
            return PeerMessage::ConfigSteps { from: version, steps: Vec::new(), notice };
        }
        let first = self.steps.iter().position(|step| step.version == have.next());
        match first {
            Some(first) => {
                let steps = self.steps.iter().skip(first).cloned().collect();
                PeerMessage::ConfigSteps { from: have, steps, notice }
            }
            None => {
                let set = ObjectSet::clone(&self.set);
                PeerMessage::ConfigWhole { version, set, notice }
            }
        }
    }

    fn take_notice(
        &mut self,
        version: ConfigVersion,
        notice: ConfirmationStatus,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if version != self.version {
            return Vec::new();
        }
        self.absent = notice.absent.into_iter().collect();
        let Some(age) = notice.age else {
            return Vec::new();
        };
        self.confirm(Moment(now.0.saturating_sub(age.as_micros() as u64)), now)
    }

    fn confirm(&mut self, at: Moment, now: Moment) -> Vec<NodeEffect> {
        self.confirmed = self.confirmed.max(Some(at));
        if self.in_force || now.since(at) >= CONFIRMATION_TTL {
            return Vec::new();
        }
        self.in_force = true;
        let version = self.version;
        vec![NodeEffect::Log(LogEvent::InForce { version }), NodeEffect::ConfigChanged]
    }
}
