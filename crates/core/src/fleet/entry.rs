/*!
The state of an entry in a fleet: the replica that it follows, and the desk for requests.

An entry tells every replica that it lives, and follows one of them for what is published and for the
list of targets. What it holds never goes back: a published state counts only when its change is
higher. An entry that no current replica answers goes on with what it has and reads the platform's
list by itself, rarely.
*/

use {
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            list_schedule::ListSchedule,
            messages::{
                EntryHeartbeat, FleetMessage, HeartbeatReply, InstancePlace, PublishedState,
            },
            replica::send_message,
            roster::{RosterUpdate, TargetList, TargetRoster},
        },
        identity::NodeIdentity,
        traffic::router::{RequestRouter, RouterSettings},
        util::stable_hash,
        wire::{PeerEnvelope, PeerMessage},
    },
    hemlockspool_model::names::{ServiceName, TargetName},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time between pulses to the replica that is followed.
const FOLLOW_EVERY: Duration = Duration::from_millis(250);
/// The time between pulses to the others: they also carry the loads of targets, which change within
/// the time that a request takes.
const PULSE_EVERY: Duration = Duration::from_millis(500);
/// For how long a followed replica may stay silent, or not current, before another is tried.
const REPLICA_PATIENCE: Duration = Duration::from_millis(700);
/// From which age of the list on an entry reads it by itself: later than a replica that stands in for
/// the leader has read it, and so that a target that leaves gets nothing after 3 s.
const LIST_STALE: Duration = Duration::from_millis(2_000);
/// The time between an entry's own readings, if the platform allows it.
const LIST_EVERY: Duration = Duration::from_millis(1_500);
/// The share of the platform's call rate that all entries use together, so that replicas can read.
const LIST_RATE_SHARE: f64 = 0.5;
/// When a reading is tried again after one that failed, if the platform allows it.
const LIST_AGAIN: Duration = Duration::from_millis(500);
/// For how long no current replica answers before it is logged.
const LOST_AFTER: Duration = Duration::from_millis(2_000);
/// The time between the desk's plans.
const PLAN_EVERY: Duration = Duration::from_millis(250);

/// Something that happens to an entry, apart from requests.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time passes.
    Tick,
    /// A message arrives.
    Peer(Box<PeerEnvelope>),
    /// The platform's list was read, in a number of calls; none when it couldn't be.
    ListRead {
        /// The list.
        list: Option<TargetList>,
        /// The calls that it took.
        calls: u32,
    },
    /// A target answered a probe, with how long it stays cold, or didn't.
    Probed {
        /// The target.
        target: TargetName,
        /// For how much longer it is cold.
        cold: Option<Duration>,
    },
    /// The settings name other first replicas.
    Seeds(Vec<SocketAddr>),
    /// A planned stop begins.
    Stop,
}

/// What an entry is made of.
#[derive(Clone, Debug)]
pub struct EntryParts {
    /// Who it is.
    pub identity: NodeIdentity,
    /// Where it is.
    pub place: InstancePlace,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where the first replicas listen for peers.
    pub seeds: Vec<SocketAddr>,
    /// The settings of its desk.
    pub router: RouterSettings,
    /// Calls a second that the platform's list takes from all instances.
    pub list_calls_per_s: f64,
}

/// The replica that is followed.
#[derive(Clone, Debug)]
struct FollowedReplica {
    peer: SocketAddr,
    since: Moment,
    /// When it last answered as current.
    current_at: Option<Moment>,
}

/// The state of an entry.
#[derive(Debug)]
pub struct EntryState {
    identity: NodeIdentity,
    place: InstancePlace,
    front: SocketAddr,
    seeds: Vec<SocketAddr>,
    replicas: BTreeSet<SocketAddr>,
    followed: Option<FollowedReplica>,
    turn: u64,
    change: u64,
    table_version: u64,
    table_text: String,
    census: u64,
    /// How many entries serve.
    fleet_entries: usize,
    roster: TargetRoster,
    list: ListSchedule,
    /// Whether a current replica has confirmed what is held since this process started.
    confirmed: bool,
    current_at: Option<Moment>,
    started: Moment,
    lost_noted: bool,
    follow_due: Moment,
    pulse_due: Moment,
    plan_due: Moment,
    stopping: bool,
    spill_noted: BTreeMap<ServiceName, u32>,
    /// The desk for requests.
    pub router: RequestRouter,
}

impl EntryState {
    /// Makes the state of an entry that starts.
    pub fn new(parts: EntryParts, now: Moment) -> Self {
        let EntryParts { identity, place, front, seeds, router, list_calls_per_s } = parts;
        let turn = stable_hash(identity.name.as_str().as_bytes());
        Self {
            place,
            front,
            replicas: seeds.iter().copied().collect(),
            seeds,
            followed: None,
            turn,
            change: 0,
            table_version: 0,
            table_text: String::new(),
            census: 0,
            fleet_entries: 1,
            roster: TargetRoster::default(),
            list: ListSchedule::new(list_calls_per_s, now.after(LIST_STALE)),
            confirmed: false,
            current_at: None,
            started: now,
            lost_noted: false,
            follow_due: now,
            pulse_due: now,
            plan_due: now,
            stopping: false,
            spill_noted: BTreeMap::new(),
            router: RequestRouter::new(router, now),
            identity,
        }
    }

    /// Returns who this instance is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Tells whether this entry takes requests.
    pub fn is_ready(&self) -> bool {
        let table = self.router.version().is_some();
        !self.stopping && self.confirmed && table && self.router.has_targets()
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns the count of changes of the published state that is held.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Takes in an event and returns what is to be done.
    pub fn reduce(&mut self, event: EntryEvent, now: Moment) -> Vec<NodeEffect> {
        let mut effects = match event {
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Peer(envelope) => self.receive(*envelope, now),
            EntryEvent::ListRead { list, calls } => self.list_read(list, calls, now),
            EntryEvent::Probed { target, cold } => {
                self.router.finish_probe(&target, cold, now);
                Vec::new()
            }
            EntryEvent::Seeds(seeds) => {
                self.seeds = seeds;
                Vec::new()
            }
            EntryEvent::Stop => {
                self.stopping = true;
                self.pulse_due = now;
                self.follow_due = now;
                self.tick(now)
            }
        };
        effects.extend(self.router.take_log_events().into_iter().map(NodeEffect::LogDecision));
        effects
    }

    /// Lets no more requests in.
    pub fn stop_admission(&mut self) {
        self.router.stop();
    }

    fn tick(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = self.choose_replica(now);
        effects.extend(self.pulse(now));
        effects.extend(self.read_list(now));
        if now >= self.plan_due {
            self.plan_due = now.after(PLAN_EVERY);
            let probes = self.router.tick(now);
            effects.extend(probes.into_iter().filter_map(|probe| {
                let (address, path) = self.router.probe_endpoint(&probe.target)?;
                Some(NodeEffect::ProbePath { target: probe.target, address, path })
            }));
            self.note_spill(&mut effects);
        }
        effects
    }

    fn note_spill(&mut self, effects: &mut Vec<NodeEffect>) {
        let shares = self.router.spillover_percents();
        for (service, percent) in &shares {
            let before = self.spill_noted.get(service).copied().unwrap_or(0);
            if percent.abs_diff(before) >= 5 {
                self.spill_noted.insert(service.clone(), *percent);
                let (service, percent) = (service.clone(), *percent);
                let region = self.place.region.clone();
                effects.push(NodeEffect::LogDecision(DecisionEvent::SpillChanged {
                    service,
                    percent,
                    region,
                }));
            }
        }
    }

    /// Follows another replica when the one that is followed doesn't answer as current.
    fn choose_replica(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let last = self.current_at.unwrap_or(self.started);
        if !self.lost_noted && now.since(last) > LOST_AFTER {
            self.lost_noted = true;
            let millis = now.since(last).as_millis() as u64;
            effects.push(NodeEffect::LogDecision(DecisionEvent::ReplicasLost { millis }));
        }
        if let Some(followed) = &self.followed {
            let heard = followed.current_at.unwrap_or(followed.since);
            if now.since(heard) < REPLICA_PATIENCE {
                return effects;
            }
            self.turn = self.turn.wrapping_add(1);
        }
        let candidates: Vec<SocketAddr> = self
            .replicas
            .iter()
            .chain(&self.seeds)
            .copied()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        let place = self.turn as usize % candidates.len().max(1);
        let Some(peer) = candidates.get(place).copied() else { return effects };
        let changed = self.followed.as_ref().is_none_or(|followed| followed.peer != peer);
        self.followed = Some(FollowedReplica { peer, since: now, current_at: None });
        self.follow_due = now;
        if changed {
            effects.push(NodeEffect::LogDecision(DecisionEvent::Follows { replica: peer }));
        }
        effects
    }

    fn pulse(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let followed = self.followed.as_ref().map(|followed| followed.peer);
        if let Some(peer) = followed.filter(|_| now >= self.follow_due) {
            self.follow_due = now.after(FOLLOW_EVERY);
            effects.push(self.pulse_to(peer, true, now));
        }
        if now >= self.pulse_due {
            self.pulse_due = now.after(PULSE_EVERY);
            let others = self.replicas.iter().chain(&self.seeds).collect::<BTreeSet<_>>();
            let others = others.into_iter().filter(|peer| Some(**peer) != followed);
            effects.extend(others.map(|peer| self.pulse_to(*peer, false, now)));
        }
        effects
    }

    fn pulse_to(&self, peer: SocketAddr, follows: bool, now: Moment) -> NodeEffect {
        let span = if follows { FOLLOW_EVERY } else { PULSE_EVERY };
        let pulse = EntryHeartbeat {
            front: self.front,
            place: self.place.clone(),
            ready: self.is_ready(),
            follows,
            change: self.change,
            roster: self.roster.version(),
            roster_age_ms: self.roster.age(now).map(|age| age.as_millis() as u64),
            census: self.census,
            demand: self.router.local_demand(),
            link_percent: self.router.link_percent(),
            loads: self.router.recent_loads(span, now),
            outages: self.router.recent_outages(now),
            sent_at: now,
        };
        send_message(peer, FleetMessage::EntryPulse(pulse))
    }

    /// Asks for a reading when the list is old and no replica has a newer one.
    ///
    /// Entries take turns by their names over the time in which the platform takes a reading of each.
    fn read_list(&mut self, now: Moment) -> Vec<NodeEffect> {
        if !self.list.is_due(now) {
            return Vec::new();
        }
        let pace = self.list.pace(self.fleet_entries, LIST_RATE_SHARE);
        let place = stable_hash(self.identity.name.as_str().as_bytes()) % 1_000;
        let turn = pace * place as u32 / 1_000;
        let age = self.roster.age(now).unwrap_or(now.since(self.started));
        if age <= LIST_STALE + turn {
            return Vec::new();
        }
        self.list.begin(now, LIST_EVERY.max(pace));
        vec![NodeEffect::ReadInstanceList]
    }

    fn list_read(&mut self, list: Option<TargetList>, calls: u32, now: Moment) -> Vec<NodeEffect> {
        let Some(list) = list else {
            let pace = self.list.pace(self.fleet_entries, LIST_RATE_SHARE);
            self.list.fail(calls, now.after(LIST_AGAIN.max(pace)));
            let age = self.roster.age(now).unwrap_or_default();
            let age_ms = age.as_millis() as u64;
            return vec![NodeEffect::LogDecision(DecisionEvent::ListUnread { age_ms })];
        };
        self.list.end(calls);
        if self.roster.record_read(self.identity.incarnation, list, now) {
            return self.targets_changed(now);
        }
        Vec::new()
    }

    fn targets_changed(&mut self, now: Moment) -> Vec<NodeEffect> {
        self.router.set_targets(self.roster.targets(), now);
        let (targets, number) = (self.roster.targets().len(), self.roster.version().number);
        vec![NodeEffect::LogDecision(DecisionEvent::ListChanged { targets, number })]
    }

    fn receive(&mut self, envelope: PeerEnvelope, now: Moment) -> Vec<NodeEffect> {
        let PeerEnvelope { deployment, sender, message, .. } = envelope;
        if deployment != self.identity.deployment {
            return Vec::new();
        }
        let PeerMessage::Fleet(message) = message else {
            return Vec::new();
        };
        match *message {
            FleetMessage::PulseReply(reply) => self.hear_reply(sender.peer, reply, now),
            FleetMessage::Published(state) => self.take_published(state, now),
            FleetMessage::Roster(update) => self.take_roster(update, now),
            _ => Vec::new(),
        }
    }

    fn hear_reply(
        &mut self,
        peer: SocketAddr,
        reply: HeartbeatReply,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if !reply.replicas.is_empty() {
            self.replicas = reply.replicas.into_iter().collect();
        }
        let Some(followed) = self.followed.as_mut().filter(|followed| followed.peer == peer) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if reply.current && now.since(reply.echo) < REPLICA_PATIENCE {
            followed.current_at = Some(now);
            self.current_at = Some(now);
            self.confirmed |= self.change > 0;
            if self.lost_noted {
                self.lost_noted = false;
                effects
                    .push(NodeEffect::LogDecision(DecisionEvent::ReplicasBack { replica: peer }));
            }
        }
        // As old as it was when the pulse left: a reply may have waited on a full link for long.
        self.roster.refresh(reply.roster, reply.roster_age_ms, reply.echo);
        if let Some(census) = reply.census {
            self.census = census.mark;
            self.fleet_entries = census.entries.len().max(1);
            self.router.set_entries(&census);
        }
        self.router.set_demand(reply.demand);
        self.router.apply_load_samples(&reply.busy, now);
        self.router.apply_outages(&reply.outages, now);
        effects
    }

    fn take_published(&mut self, state: PublishedState, now: Moment) -> Vec<NodeEffect> {
        if state.change <= self.change {
            return Vec::new();
        }
        let packed = state.table.filter(|_| state.version > self.table_version);
        if let Some(packed) = packed {
            // A table against one that this entry hasn't comes again against the right one.
            if packed.base != 0 && packed.base != self.change {
                return Vec::new();
            }
            let base = if packed.base == 0 { "" } else { self.table_text.as_str() };
            match packed.decompress_table(base) {
                Ok((text, table)) => {
                    self.router.set_table(&table);
                    self.table_text = text;
                    self.table_version = state.version;
                }
                Err(error) => {
                    let (version, reason) = (state.version, error.to_string());
                    let note = DecisionEvent::TableUnreadable { version, reason };
                    return vec![NodeEffect::LogDecision(note)];
                }
            }
        } else if state.version > self.table_version {
            return Vec::new();
        }
        self.change = state.change;
        self.router.set_evacuated(&state.evacuated, now);
        let (change, version) = (state.change, state.version);
        let evacuated = state.evacuated.len();
        vec![NodeEffect::LogDecision(DecisionEvent::InForce { change, version, evacuated })]
    }

    fn take_roster(&mut self, update: RosterUpdate, now: Moment) -> Vec<NodeEffect> {
        if self.roster.apply(update, now) {
            return self.targets_changed(now);
        }
        Vec::new()
    }
}
