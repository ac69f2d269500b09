/*!
State of an entry in a fleet: the replica that it follows, and the router for requests.

An entry sends heartbeats to all replicas and follows one of them, which sends it the published
state and the roster. The published state never goes back: another one is applied only if its change
number is higher. If no current replica replies, the entry continues with the state that it has. If
no replica sends or confirms the roster, it reads the platform's list itself, at a low rate.
*/

mod heartbeats;
mod replica_choice;
mod replies;
mod witnesses;

use {
    self::{replica_choice::ReplicaChoice, witnesses::WitnessChoice},
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            link_watch::LinkWatch,
            list_schedule::ListSchedule,
            messages::InstancePlace,
            roster::{TargetList, TargetRoster},
        },
        identity::NodeIdentity,
        machine_clock::MachineClock,
        traffic::{
            probe::ProbeResult,
            router::{RequestRouter, RouterSettings},
        },
        util::stable_hash,
        wire::PeerEnvelope,
    },
    hemlockspool_model::names::{ServiceName, TargetName},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The shortest interval of heartbeats to the other replicas if there is something that all entries
/// should hear of at once.
const NEWS_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// The age of the list above which an entry reads it itself: later than a replica does in place of
/// the leader, and, if the platform's rate limit allows it, early enough that a target gets no
/// requests more than 3 s after its removal.
const LIST_TTL: Duration = Duration::from_millis(2_000);
/// The time between two reads of the list by an entry, longer if the platform's rate limit requires
/// it.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// The fraction of the platform's call rate that all entries use together, which leaves enough for
/// replicas.
const LIST_RATE_FRACTION: f64 = 0.5;
/// The delay before the next attempt after a failed read, longer if the platform's rate limit
/// requires it.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The time without a reply of a current replica after which the loss is logged.
const REPLICAS_LOST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The interval of the router's ticks.
const ROUTER_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// An input event of an entry, other than requests.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A periodic tick of the clock.
    Tick,
    /// A message from another instance.
    Peer {
        /// The message.
        envelope: Box<PeerEnvelope>,
        /// The latest time at which it certainly hadn't arrived; none if that isn't known.
        absent_at: Option<Moment>,
    },
    /// The result of reading the platform's list.
    ListRead {
        /// The list that was read; none if the read failed.
        list: Option<TargetList>,
        /// The number of calls that the read took.
        calls: u32,
    },
    /// The result of a probe.
    Probed {
        /// The target that was probed.
        target: TargetName,
        /// The result.
        result: ProbeResult,
    },
    /// The result of a check whether a target still listens.
    TargetChecked {
        /// The target that was checked.
        target: TargetName,
        /// Whether it refused the connection.
        is_refused: bool,
    },
    /// A change of the seed addresses in the settings.
    Seeds(Vec<SocketAddr>),
    /// The start of a planned stop.
    Stop,
}

/// The constructor arguments of [`EntryState`].
#[derive(Clone, Debug)]
pub struct EntryParts {
    /// The identity of the instance.
    pub identity: NodeIdentity,
    /// The location of the instance.
    pub place: InstancePlace,
    /// The address on which callers connect.
    pub callers_address: SocketAddr,
    /// The peer addresses of the replicas named in the settings.
    pub seeds: Vec<SocketAddr>,
    /// The settings of the router.
    pub router: RouterSettings,
    /// The rate limit of the platform's list for all instances together, in calls per second.
    pub list_calls_per_s: f64,
    /// The clock of the machine, if known.
    pub machine_clock: Option<MachineClock>,
}

/// The state of an entry.
#[derive(Debug)]
pub struct EntryState {
    identity: NodeIdentity,
    place: InstancePlace,
    callers_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    replicas: BTreeSet<SocketAddr>,
    choice: ReplicaChoice,
    witnesses: WitnessChoice,
    links: LinkWatch,
    /// The heartbeats that asked replicas only to see whether their links are alive, by their times.
    link_questions: BTreeSet<(Moment, SocketAddr)>,
    /// The change number of the published state in force.
    change: u64,
    table_version: u64,
    table_text: String,
    live_entries_hash: u64,
    /// The number of live entries in the fleet; at least 1.
    entry_count: usize,
    roster: TargetRoster,
    list: ListSchedule,
    /// Whether a current replica has replied since this process received a published state.
    state_confirmed: bool,
    /// The time of the last reply of a followed replica as current.
    last_current_reply: Option<Moment>,
    started_at: Moment,
    loss_logged: bool,
    followed_heartbeat_due: Moment,
    heartbeat_due: Moment,
    /// The time of the last heartbeats to the other replicas than the followed one.
    heartbeat_sent_at: Moment,
    router_tick_due: Moment,
    stopping: bool,
    /// Whether the last heartbeats said that this entry can't connect to any target.
    cut_off_sent: bool,
    /// Whether heartbeats ask the replicas whether they are current.
    is_searching: bool,
    /// The time at which they last began to.
    searching_since: Moment,
    /// The percentage of spillover that was last logged for each service.
    logged_spillover: BTreeMap<ServiceName, u32>,
    /// The router for callers' requests.
    pub router: RequestRouter,
}

impl EntryState {
    /// Creates the state of an entry that starts.
    pub fn new(parts: EntryParts, now: Moment) -> Self {
        let EntryParts {
            identity,
            place,
            callers_address,
            seeds,
            router,
            list_calls_per_s,
            machine_clock,
        } = parts;
        let mut router = RequestRouter::new(router, now);
        if let Some(clock) = machine_clock {
            router.set_machine_clock(clock, now);
        }
        Self {
            place,
            callers_address,
            replicas: seeds.iter().copied().collect(),
            seeds,
            choice: ReplicaChoice::new(identity.name.as_str()),
            witnesses: WitnessChoice::new(identity.name.as_str()),
            links: LinkWatch::default(),
            link_questions: BTreeSet::new(),
            change: 0,
            table_version: 0,
            table_text: String::new(),
            live_entries_hash: 0,
            entry_count: 1,
            roster: TargetRoster::default(),
            list: ListSchedule::new(list_calls_per_s, now.after(LIST_TTL)),
            state_confirmed: false,
            last_current_reply: None,
            started_at: now,
            loss_logged: false,
            followed_heartbeat_due: now,
            heartbeat_due: now,
            heartbeat_sent_at: now,
            router_tick_due: now,
            stopping: false,
            cut_off_sent: false,
            is_searching: false,
            searching_since: now,
            logged_spillover: BTreeMap::new(),
            router,
            identity,
        }
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns whether callers should send requests to this entry. It may accept requests at other
    /// times too, such as at the beginning of a planned stop.
    pub fn is_ready(&self) -> bool {
        let has_table = self.router.version().is_some();
        !self.stopping && self.state_confirmed && has_table && self.router.has_targets()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns the change number of the published state in force.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Processes an event and returns the effects to carry out.
    pub fn reduce(&mut self, event: EntryEvent, now: Moment) -> Vec<NodeEffect> {
        let mut effects = match event {
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Peer { envelope, absent_at } => self.receive(*envelope, absent_at, now),
            EntryEvent::ListRead { list, calls } => self.handle_list_read(list, calls, now),
            EntryEvent::Probed { target, result } => {
                self.router.finish_probe(&target, result, now);
                Vec::new()
            }
            EntryEvent::TargetChecked { target, is_refused } => {
                self.router.finish_target_check(&target, is_refused, now);
                Vec::new()
            }
            EntryEvent::Seeds(seeds) => {
                self.seeds = seeds;
                Vec::new()
            }
            EntryEvent::Stop => {
                self.stopping = true;
                self.heartbeat_due = now;
                self.followed_heartbeat_due = now;
                self.tick(now)
            }
        };
        effects.extend(self.router.take_log_events().into_iter().map(NodeEffect::LogDecision));
        effects
    }

    /// Stops the admission of requests.
    pub fn stop_admission(&mut self) {
        self.router.stop();
    }

    fn tick(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = self.choose_replica(now);
        effects
            .extend(self.router.take_target_checks(now).into_iter().map(NodeEffect::CheckTarget));
        if self.router.take_crash_news() {
            self.followed_heartbeat_due = now;
            let earliest = self.heartbeat_sent_at.after(NEWS_HEARTBEAT_INTERVAL);
            self.heartbeat_due = self.heartbeat_due.min(earliest);
        }
        if self.router.is_forwarding() != self.cut_off_sent {
            self.cut_off_sent = self.router.is_forwarding();
            self.heartbeat_due = now;
            self.followed_heartbeat_due = now;
        }
        effects.extend(self.send_heartbeats(now));
        effects.extend(self.read_list(now));
        if now >= self.router_tick_due {
            self.router_tick_due = now.after(ROUTER_TICK_INTERVAL);
            let probes = self.router.tick(now);
            effects.extend(probes.into_iter().filter_map(|probe| {
                let (address, path) = self.router.probe_endpoint(&probe.target)?;
                Some(NodeEffect::ProbePath { target: probe.target, address, path })
            }));
            self.log_spillover(&mut effects);
        }
        effects
    }

    /// Logs changes of the spillover by at least 5 percentage points.
    fn log_spillover(&mut self, effects: &mut Vec<NodeEffect>) {
        let percentages = self.router.spillover_percents();
        for (service, percent) in &percentages {
            let logged = self.logged_spillover.get(service).copied().unwrap_or(0);
            if percent.abs_diff(logged) >= 5 {
                self.logged_spillover.insert(service.clone(), *percent);
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

    /// Follows another replica if the followed one doesn't reply as current. Logs once if no
    /// current replica has replied for [`REPLICAS_LOST_TIMEOUT`].
    fn choose_replica(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let last = self.last_current_reply.unwrap_or(self.started_at);
        if !self.loss_logged && now.since(last) > REPLICAS_LOST_TIMEOUT {
            self.loss_logged = true;
            let millis = now.since(last).as_millis() as u64;
            effects.push(NodeEffect::LogDecision(DecisionEvent::ReplicasLost { millis }));
        }
        let candidates = self.replica_peers();
        if let Some(replica) = self.choice.choose(&candidates, now) {
            self.followed_heartbeat_due = now;
            effects.push(NodeEffect::LogDecision(DecisionEvent::Follows { replica }));
        }
        let is_searching = self.choice.is_searching(now);
        if is_searching && !self.is_searching {
            let earliest = self.heartbeat_sent_at.after(NEWS_HEARTBEAT_INTERVAL);
            self.heartbeat_due = self.heartbeat_due.min(earliest);
        }
        if is_searching && !self.is_searching {
            self.searching_since = now;
        }
        self.is_searching = is_searching;
        effects
    }

    /// Returns the peer addresses of all known replicas and seeds.
    fn replica_peers(&self) -> BTreeSet<SocketAddr> {
        self.replicas.iter().chain(&self.seeds).copied().collect()
    }

    /// Requests a read of the platform's list if one is due and the list is stale, that is, no
    /// replica has sent or confirmed one recently.
    ///
    /// The entries are distributed, by a hash of their names, over the time in which the platform's
    /// rate limit allows one read by each of them.
    fn read_list(&mut self, now: Moment) -> Vec<NodeEffect> {
        if !self.list.is_due(now) {
            return Vec::new();
        }
        let min_interval = self.list.min_interval(self.entry_count, LIST_RATE_FRACTION);
        let slot = stable_hash(self.identity.name.as_str().as_bytes()) % 1_000;
        let slot_delay = min_interval * slot as u32 / 1_000;
        let age = self.roster.age(now).unwrap_or(now.since(self.started_at));
        if age <= LIST_TTL + slot_delay {
            return Vec::new();
        }
        self.list.start(now, LIST_INTERVAL.max(min_interval));
        vec![NodeEffect::ReadInstanceList]
    }

    fn handle_list_read(
        &mut self,
        list: Option<TargetList>,
        calls: u32,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let Some(list) = list else {
            let min_interval = self.list.min_interval(self.entry_count, LIST_RATE_FRACTION);
            self.list.fail(calls, now.after(LIST_RETRY_DELAY.max(min_interval)));
            let age = self.roster.age(now).unwrap_or_default();
            let age_ms = age.as_millis() as u64;
            return vec![NodeEffect::LogDecision(DecisionEvent::ListUnread { age_ms })];
        };
        self.list.complete(calls);
        if self.roster.record_read(self.identity.incarnation, list, now) {
            return self.update_targets(now);
        }
        Vec::new()
    }

    fn update_targets(&mut self, now: Moment) -> Vec<NodeEffect> {
        self.router.set_targets(self.roster.targets(), now);
        let (targets, number) = (self.roster.targets().len(), self.roster.version().number);
        vec![NodeEffect::LogDecision(DecisionEvent::ListChanged { targets, number })]
    }
}
