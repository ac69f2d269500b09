/*!
State of a replica in a fleet: the replicated log, the roster, and the entries that follow it.

A replica serves operators and callers' lookups, reads the platform's list while it is the leader or
if the leader's reads have stopped, and sends changes to the entries that follow it. Every replica
accepts operators' commands and forwards them to the leader. A read of the route table goes through
the log as a command without effect, so a quorum confirms it after it was received, independently of
all clocks.
*/

mod commands;
mod crash_storage;
mod follower_view;
mod followers;
mod list;

use {
    self::{crash_storage::CrashStorage, follower_view::FollowerView},
    crate::{
        clock::{ClockReading, Moment},
        consensus::{GroupId, ReplicaId, ReplicaMember},
        effect::{NodeEffect, ReplyTicket},
        fleet::{
            clock_offsets::ClockOffsets,
            compressed_table::TableHistory,
            crash_tracker::CrashTracker,
            entry_registry::EntryRegistry,
            link_watch::LinkWatch,
            list_schedule::ListSchedule,
            loads::LoadTracker,
            membership::MembershipController,
            messages::{FleetMessage, InstancePlace},
            outages::OutageTracker,
            rate_limits::RateLimitTracker,
            roster::{TargetList, TargetRoster},
            routes::RouteIndex,
        },
        identity::NodeIdentity,
        ledger::TableCommand,
        machine_clock::MachineClock,
        replica::ReplicaNode,
        submit::CommandSubmitter,
        util::stable_hash,
        wire::{PeerEnvelope, PeerMessage, PeerSender},
    },
    hemlockspool_model::{
        names::{DomainName, RegionName},
        table::RouteTable,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time for which a replica is current after an append with which it had everything that is
/// committed: several heartbeats.
const CURRENT_TTL: Duration = Duration::from_millis(1_000);
/// The interval at which a replica that isn't in the group, or has lost contact with it, asks to
/// join.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// The time without contact with a leader after which a replica asks to join, even if it believes
/// that it is a member.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// An input event of a replica.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// A periodic tick of the clock.
    Tick,
    /// A message from another instance.
    Peer(Box<PeerEnvelope>),
    /// A completed write to the log.
    Persisted {
        /// The ticket of the write.
        ticket: u64,
    },
    /// An operator's read of the table.
    ReadTable {
        /// The ticket for the reply.
        ticket: ReplyTicket,
    },
    /// A command of an operator.
    Command {
        /// The ticket for the reply.
        ticket: ReplyTicket,
        /// The command to carry out.
        command: TableCommand,
    },
    /// The result of reading the platform's list.
    ListRead {
        /// The list that was read; none if the read failed.
        list: Option<TargetList>,
        /// The number of calls that the read took.
        calls: u32,
    },
    /// A change of the seed addresses in the settings.
    Seeds(Vec<SocketAddr>),
    /// The start of a planned stop.
    Stop,
}

/// The constructor arguments of [`ReplicaState`].
#[derive(Debug)]
pub struct ReplicaParts {
    /// The identity of the instance.
    pub identity: NodeIdentity,
    /// The location of the instance.
    pub place: InstancePlace,
    /// The peer addresses of the replicas named in the settings.
    pub seeds: Vec<SocketAddr>,
    /// The member of the consensus group, with its applied state.
    pub replica: ReplicaNode,
    /// The rate limit of the platform's list for all instances together, in calls per second.
    pub list_calls_per_s: f64,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// The clock of the machine, if known.
    pub machine_clock: Option<MachineClock>,
}

/// The state of a replica.
#[derive(Debug)]
pub struct ReplicaState {
    identity: NodeIdentity,
    place: InstancePlace,
    seeds: Vec<SocketAddr>,
    replica: ReplicaNode,
    membership: MembershipController,
    submitter: CommandSubmitter,
    entries: EntryRegistry,
    links: LinkWatch,
    loads: LoadTracker,
    outages: OutageTracker,
    rate_limits: RateLimitTracker,
    crashes: CrashTracker,
    crash_storage: CrashStorage,
    machine_clock: Option<MachineClock>,
    clock_offsets: ClockOffsets,
    /// The cached data for followers.
    follower_view: Option<FollowerView>,
    domains: BTreeMap<DomainName, RegionName>,
    roster: TargetRoster,
    list: ListSchedule,
    /// The confirmed reads of the table, each with the number of the change that this replica must
    /// have applied before it replies.
    confirmed_reads: BTreeMap<ReplyTicket, u64>,
    /// The reads of the table that a quorum hasn't confirmed yet.
    unconfirmed_reads: BTreeSet<ReplyTicket>,
    /// The times at which the confirmed reads time out.
    read_deadlines: BTreeMap<ReplyTicket, Moment>,
    route_index: RouteIndex,
    route_index_version: u64,
    table_history: TableHistory,
    heartbeat_due: Moment,
    join_due: Moment,
    stopping: bool,
}

/// Returns the replica identifier of a founder of the deployment. It depends only on the founder's
/// peer address, so that all founders know each other's identifiers in advance.
pub fn founder_id(peer: SocketAddr) -> ReplicaId {
    ReplicaId(stable_hash(format!("founder {peer}").as_bytes()))
}

impl ReplicaState {
    /// Creates the state of a replica that starts.
    pub fn new(parts: ReplicaParts, now: Moment) -> Self {
        let ReplicaParts {
            identity,
            place,
            seeds,
            mut replica,
            list_calls_per_s,
            domains,
            machine_clock,
        } = parts;
        replica.enter_fleet_mode(now);
        Self {
            submitter: CommandSubmitter::new(identity.incarnation),
            identity,
            place,
            seeds,
            replica,
            membership: MembershipController::default(),
            entries: EntryRegistry::default(),
            links: LinkWatch::default(),
            loads: LoadTracker::default(),
            outages: OutageTracker::default(),
            rate_limits: RateLimitTracker::default(),
            crashes: CrashTracker::default(),
            crash_storage: CrashStorage::default(),
            machine_clock,
            clock_offsets: ClockOffsets::default(),
            follower_view: None,
            domains,
            roster: TargetRoster::default(),
            list: ListSchedule::new(list_calls_per_s, now),
            confirmed_reads: BTreeMap::new(),
            unconfirmed_reads: BTreeSet::new(),
            read_deadlines: BTreeMap::new(),
            route_index: RouteIndex::default(),
            route_index_version: 0,
            table_history: TableHistory::default(),
            heartbeat_due: now,
            join_due: now,
            stopping: false,
        }
    }

    /// Bootstraps the deployment with the seeds as its first voters. This replica must be one of
    /// them.
    pub fn bootstrap(&mut self, now: Moment) -> Vec<NodeEffect> {
        let member = |peer: &SocketAddr| {
            let name = MembershipController::member_name(*peer);
            (founder_id(*peer), ReplicaMember { name, peer: *peer, voter: true })
        };
        let members = self.seeds.iter().map(member).collect();
        self.replica.bootstrap(members, now)
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the member of the consensus group.
    pub fn replica(&self) -> &ReplicaNode {
        &self.replica
    }

    /// Returns the roster.
    pub fn roster(&self) -> &TargetRoster {
        &self.roster
    }

    /// Returns whether the replica is in contact with a leader that has a quorum, and has what is
    /// committed.
    pub fn is_current(&self, now: Moment) -> bool {
        self.replica.group().is_current(CURRENT_TTL, now)
    }

    /// Returns the addresses of the entries to which callers of a host should connect. Empty until
    /// enough entries are ready.
    pub fn entry_addresses(
        &self,
        host: &str,
        region: &RegionName,
        domain: &DomainName,
    ) -> Vec<SocketAddr> {
        self.entries.entry_addresses(region, domain, self.route_index.homes_of(host))
    }

    /// Processes an event and returns the effects to carry out.
    pub fn reduce(&mut self, event: ReplicaEvent, clock: ClockReading) -> Vec<NodeEffect> {
        let now = clock.now;
        let mut effects = match event {
            ReplicaEvent::Tick => self.tick(clock),
            ReplicaEvent::Peer(envelope) => self.receive(*envelope, clock),
            ReplicaEvent::Persisted { ticket } => self.replica.persisted(ticket, now),
            ReplicaEvent::ReadTable { ticket } => self.read_table(ticket, now),
            ReplicaEvent::Command { ticket, command } => self.submit_command(ticket, command, now),
            ReplicaEvent::ListRead { list, calls } => self.handle_list_read(list, calls, now),
            ReplicaEvent::Seeds(seeds) => {
                self.seeds = seeds;
                Vec::new()
            }
            ReplicaEvent::Stop => {
                self.stopping = true;
                self.replica.transfer_leadership()
            }
        };
        self.reply_to_reads(&mut effects, now);
        self.update_route_index();
        self.update_followers(&mut effects, now);
        effects
    }

    fn tick(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        let now = clock.now;
        let mut effects = self.replica.tick(&[], clock);
        if self.replica.group().is_leader() {
            self.replica.reconcile_members(&mut self.membership, now);
            effects.extend(self.replica.drain_effects());
        } else {
            self.membership.step_down();
        }
        self.entries.tick(now);
        self.loads.tick(now);
        self.outages.tick(now);
        self.rate_limits.tick(now);
        self.crashes.tick(now);
        self.clock_offsets.tick(now);
        effects.extend(self.store_crashes(now));
        let peers = self.command_peers();
        let (completed, sent) = self.submitter.tick(&peers, now);
        effects.extend(sent);
        for command in completed {
            effects.extend(self.handle_completed_command(command));
        }
        effects.extend(self.request_join(now));
        effects.extend(self.send_heartbeats(now));
        effects.extend(self.links.take_silent(now).into_iter().map(NodeEffect::ReplaceLink));
        effects.extend(self.read_list(now));
        effects
    }

    /// Returns the addresses of the replicas that may accept a command, the leader's first.
    fn command_peers(&self) -> Vec<SocketAddr> {
        let group = self.replica.group();
        let mut peers: Vec<SocketAddr> = group.leader_peer().into_iter().collect();
        let members = group.members().values().filter(|member| member.voter);
        let others = members.map(|member| member.peer).chain(self.seeds.iter().copied());
        for peer in others {
            if !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        peers
    }

    /// Returns the peer addresses of all members and seeds.
    fn replica_peers(&self) -> BTreeSet<SocketAddr> {
        let members = self.replica.group().members().values().map(|member| member.peer);
        members.chain(self.seeds.iter().copied()).collect()
    }

    /// Returns the peer addresses of the replicas of a region, or of this one if there is none.
    fn bridges_for(&self, region: &RegionName) -> Vec<SocketAddr> {
        let members = self.replica.group().members().values().map(|member| member.peer);
        let is_regional = |peer: &SocketAddr| self.membership.is_in_region(*peer, region);
        let peers: Vec<SocketAddr> = members.filter(is_regional).collect();
        if peers.is_empty() { vec![self.identity.peer] } else { peers }
    }

    /// Returns the addresses of the targets on the list.
    pub fn target_addresses(&self) -> BTreeSet<SocketAddr> {
        self.roster.targets().values().map(|info| info.address).collect()
    }

    /// Asks the other replicas to be added to the group if this replica isn't a member or has lost
    /// contact with the leader.
    fn request_join(&mut self, now: Moment) -> Vec<NodeEffect> {
        let group = self.replica.group();
        let is_member = group.members().contains_key(&group.me());
        let outside = group.is_blank() || !is_member;
        let no_contact = !group.has_leader_contact(LEADER_CONTACT_TIMEOUT, now);
        if now < self.join_due || !(outside || no_contact) {
            return Vec::new();
        }
        self.join_due = now.after(JOIN_INTERVAL);
        let (id, peer, place) = (group.me(), self.identity.peer, self.place.clone());
        let message = FleetMessage::Join { id, peer, place };
        self.send_to_replicas(&message)
    }

    fn send_to_replicas(&self, message: &FleetMessage) -> Vec<NodeEffect> {
        let peers = self.replica_peers().into_iter().filter(|peer| *peer != self.identity.peer);
        peers.map(|peer| send_message(peer, message.clone())).collect()
    }

    fn receive(&mut self, envelope: PeerEnvelope, clock: ClockReading) -> Vec<NodeEffect> {
        let PeerEnvelope { deployment, sender, message, .. } = envelope;
        if deployment != self.identity.deployment {
            return Vec::new();
        }
        let now = clock.now;
        match message {
            PeerMessage::Consensus { from, to, message, .. } => {
                self.replica.receive(from, &sender, to, message, now)
            }
            PeerMessage::Submit { id, command, .. } => {
                self.replica.submit(&sender, id, command, clock)
            }
            PeerMessage::Submitted { id, answer } => {
                let peers = self.command_peers();
                let (completed, effects) =
                    self.submitter.handle_reply(id, answer, sender.peer, &peers);
                let completed = completed.map(|command| self.handle_completed_command(command));
                completed.into_iter().flatten().chain(effects).collect()
            }
            PeerMessage::Fleet(message) => self.receive_fleet(&sender, *message, now),
            _ => Vec::new(),
        }
    }

    fn receive_fleet(
        &mut self,
        sender: &PeerSender,
        message: FleetMessage,
        now: Moment,
    ) -> Vec<NodeEffect> {
        match message {
            FleetMessage::EntryPulse(heartbeat) => {
                self.handle_entry_heartbeat(sender, heartbeat, now)
            }
            FleetMessage::ReplicaPulse(heartbeat) => {
                self.handle_replica_heartbeat(sender, &heartbeat, now)
            }
            FleetMessage::Roster(update) => {
                self.roster.apply(update, now);
                Vec::new()
            }
            FleetMessage::Join { id, peer, place } => self.handle_join(id, peer, place, now),
            FleetMessage::PulseReply(_)
            | FleetMessage::Published(_)
            | FleetMessage::SearchReply(_) => Vec::new(),
        }
    }

    /// Records a join request if this replica is the leader; otherwise forwards it to the leader if
    /// it is in contact with one.
    fn handle_join(
        &mut self,
        id: ReplicaId,
        peer: SocketAddr,
        place: InstancePlace,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let group = self.replica.group();
        if group.is_leader() {
            self.membership.handle_join(id, peer, place, now);
            return Vec::new();
        }
        let leader = group.leader_peer().filter(|leader| *leader != peer);
        let leader_known = group.has_leader_contact(CURRENT_TTL, now);
        let message = FleetMessage::Join { id, peer, place };
        leader
            .filter(|_| leader_known)
            .map(|leader| send_message(leader, message))
            .into_iter()
            .collect()
    }

    /// Rebuilds the route index if the table has changed.
    fn update_route_index(&mut self) {
        let tables = self.replica.ledger().tables();
        if tables.version() == self.route_index_version {
            return;
        }
        self.route_index_version = tables.version();
        // Tables are parsed before they enter the log, so this succeeds.
        if let Ok(table) = RouteTable::parse(tables.text()) {
            self.route_index = RouteIndex::new(&table);
        }
    }
}

/// Returns the effect that sends a fleet message to an instance.
pub(crate) fn send_message(to: SocketAddr, message: FleetMessage) -> NodeEffect {
    NodeEffect::send(to, PeerMessage::Fleet(Box::new(message)))
}

/// The consensus group that replicates the published state of a fleet.
pub const FLEET_GROUP: GroupId = GroupId(0);
