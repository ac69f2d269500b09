/*!
The state of a replica in a fleet: the log, the list of targets, and the entries that follow it.

A replica serves operators and callers' look-ups, reads the platform's list when it leads, and sends
what changed to the entries that follow it. Any replica takes an operator's order and passes it to
the leader. A read of the table goes through the log as an order that changes nothing, so it is
confirmed by a quorum after it was asked, whatever any clock says.
*/

mod followers;
mod list;
mod orders;
mod view;

use {
    self::view::FollowerView,
    crate::{
        clock::{ClockReading, Moment},
        consensus::{GroupId, ReplicaId, ReplicaMember},
        effect::{NodeEffect, ReplyTicket},
        fleet::{
            compressed_table::TableHistory,
            entry_registry::EntryRegistry,
            list_schedule::ListSchedule,
            loads::LoadTracker,
            membership::MembershipController,
            messages::{FleetMessage, InstancePlace},
            outages::OutageTracker,
            roster::{TargetList, TargetRoster},
            routes::RouteIndex,
        },
        identity::NodeIdentity,
        ledger::TableCommand,
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

/// For how long a replica that heard from the leader counts as current: several heartbeats.
const CURRENT_FOR: Duration = Duration::from_millis(1_000);
/// How often a replica that belongs to no group asks to be taken in.
const JOIN_EVERY: Duration = Duration::from_millis(300);
/// For how long a replica outside of the group hears nothing before it asks again.
const OUTSIDE_SILENT: Duration = Duration::from_secs(3);

/// Something that happens to a replica.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// Time passes.
    Tick,
    /// A message arrives.
    Peer(Box<PeerEnvelope>),
    /// A write is synced.
    Persisted {
        /// The write.
        ticket: u64,
    },
    /// An operator gives an order.
    Order {
        /// Where the answer goes.
        ticket: ReplyTicket,
        /// The order.
        order: TableCommand,
    },
    /// The platform's list was read, in a number of calls; none when it couldn't be.
    ListRead {
        /// The list.
        list: Option<TargetList>,
        /// The calls that it took.
        calls: u32,
    },
    /// The settings name other first replicas.
    Seeds(Vec<SocketAddr>),
    /// A planned stop begins.
    Stop,
}

/// What a replica is made of.
#[derive(Debug)]
pub struct ReplicaParts {
    /// Who it is.
    pub identity: NodeIdentity,
    /// Where it is.
    pub place: InstancePlace,
    /// Where the first replicas listen for peers.
    pub seeds: Vec<SocketAddr>,
    /// Its part of the log.
    pub replica: ReplicaNode,
    /// Calls a second that the platform's list takes.
    pub list_calls_per_s: f64,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
}

/// The state of a replica.
#[derive(Debug)]
pub struct ReplicaState {
    identity: NodeIdentity,
    place: InstancePlace,
    seeds: Vec<SocketAddr>,
    replica: ReplicaNode,
    membership: MembershipController,
    submits: CommandSubmitter,
    entries: EntryRegistry,
    loads: LoadTracker,
    outages: OutageTracker,
    /// What followers are told, while it holds.
    view: Option<FollowerView>,
    domains: BTreeMap<DomainName, RegionName>,
    roster: TargetRoster,
    list: ListSchedule,
    /// Reads that wait until this replica has applied a change.
    reads: BTreeMap<ReplyTicket, u64>,
    asked_reads: BTreeSet<ReplyTicket>,
    read_give_up: BTreeMap<ReplyTicket, Moment>,
    index: RouteIndex,
    index_version: u64,
    texts: TableHistory,
    pulse_due: Moment,
    join_due: Moment,
    stopping: bool,
}

/// Returns the life of a data folder that founds a deployment: known to all founders beforehand.
pub fn founder_id(peer: SocketAddr) -> ReplicaId {
    ReplicaId(stable_hash(format!("founder {peer}").as_bytes()))
}

impl ReplicaState {
    /// Makes the state of a replica that starts.
    pub fn new(parts: ReplicaParts, now: Moment) -> Self {
        let ReplicaParts { identity, place, seeds, mut replica, list_calls_per_s, domains } = parts;
        replica.enter_fleet_mode(now);
        Self {
            submits: CommandSubmitter::new(identity.incarnation),
            identity,
            place,
            seeds,
            replica,
            membership: MembershipController::default(),
            entries: EntryRegistry::default(),
            loads: LoadTracker::default(),
            outages: OutageTracker::default(),
            view: None,
            domains,
            roster: TargetRoster::default(),
            list: ListSchedule::new(list_calls_per_s, now),
            reads: BTreeMap::new(),
            asked_reads: BTreeSet::new(),
            read_give_up: BTreeMap::new(),
            index: RouteIndex::default(),
            index_version: 0,
            texts: TableHistory::default(),
            pulse_due: now,
            join_due: now,
            stopping: false,
        }
    }

    /// Founds the deployment with the seeds as its first voters, of which this replica is one.
    pub fn bootstrap(&mut self, now: Moment) -> Vec<NodeEffect> {
        let member = |peer: &SocketAddr| {
            let name = MembershipController::member_name(*peer);
            (founder_id(*peer), ReplicaMember { name, peer: *peer, voter: true })
        };
        let members = self.seeds.iter().map(member).collect();
        self.replica.bootstrap(members, now)
    }

    /// Returns who this instance is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the replica.
    pub fn replica(&self) -> &ReplicaNode {
        &self.replica
    }

    /// Returns the list of targets.
    pub fn roster(&self) -> &TargetRoster {
        &self.roster
    }

    /// Tells whether the replica hears from a leader that a quorum stands by.
    pub fn is_current(&self, now: Moment) -> bool {
        self.replica.group().is_current(CURRENT_FOR, now)
    }

    /// Returns where callers of a host connect; none while no entry is known.
    pub fn front_addresses(
        &self,
        host: &str,
        region: &RegionName,
        domain: &DomainName,
    ) -> Vec<SocketAddr> {
        self.entries.front_addresses(region, domain, self.index.homes_of(host))
    }

    /// Takes in an event and returns what is to be done.
    pub fn reduce(&mut self, event: ReplicaEvent, clock: ClockReading) -> Vec<NodeEffect> {
        let now = clock.now;
        let mut effects = match event {
            ReplicaEvent::Tick => self.tick(clock),
            ReplicaEvent::Peer(envelope) => self.receive(*envelope, clock),
            ReplicaEvent::Persisted { ticket } => self.replica.persisted(ticket, now),
            ReplicaEvent::Order { ticket, order } => self.order(ticket, order, now),
            ReplicaEvent::ListRead { list, calls } => self.list_read(list, calls, now),
            ReplicaEvent::Seeds(seeds) => {
                self.seeds = seeds;
                Vec::new()
            }
            ReplicaEvent::Stop => {
                self.stopping = true;
                self.replica.transfer_leadership()
            }
        };
        self.answer_reads(&mut effects, now);
        self.update_index();
        self.feed_followers(&mut effects, now);
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
        let peers = self.order_peers();
        let (ended, sent) = self.submits.tick(&peers, now);
        effects.extend(sent);
        for command in ended {
            effects.extend(self.command_ended(command));
        }
        effects.extend(self.ask_join(now));
        effects.extend(self.pulse(now));
        effects.extend(self.read_list(now));
        effects
    }

    /// Returns the replicas to send an order to, the leader first.
    fn order_peers(&self) -> Vec<SocketAddr> {
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

    fn replica_peers(&self) -> BTreeSet<SocketAddr> {
        let members = self.replica.group().members().values().map(|member| member.peer);
        members.chain(self.seeds.iter().copied()).collect()
    }

    fn ask_join(&mut self, now: Moment) -> Vec<NodeEffect> {
        let group = self.replica.group();
        let member = group.members().contains_key(&group.me());
        let outside = group.is_blank() || !member;
        let silent = !group.is_current(OUTSIDE_SILENT, now);
        if now < self.join_due || !(outside || silent) {
            return Vec::new();
        }
        self.join_due = now.after(JOIN_EVERY);
        let (id, peer, place) = (group.me(), self.identity.peer, self.place.clone());
        let message = FleetMessage::Join { id, peer, place };
        self.tell_replicas(&message)
    }

    fn tell_replicas(&self, message: &FleetMessage) -> Vec<NodeEffect> {
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
                let peers = self.order_peers();
                let (ended, effects) = self.submits.handle_reply(id, answer, sender.peer, &peers);
                let ended = ended.map(|command| self.command_ended(command));
                ended.into_iter().flatten().chain(effects).collect()
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
            FleetMessage::EntryPulse(pulse) => self.hear_entry(sender.peer, pulse, now),
            FleetMessage::ReplicaPulse(pulse) => self.hear_replica(sender.peer, &pulse, now),
            FleetMessage::Roster(update) => {
                self.roster.apply(update, now);
                Vec::new()
            }
            FleetMessage::Join { id, peer, place } => self.hear_join(id, peer, place, now),
            FleetMessage::PulseReply(_) | FleetMessage::Published(_) => Vec::new(),
        }
    }

    fn hear_join(
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
        let known = group.is_current(CURRENT_FOR, now);
        let message = FleetMessage::Join { id, peer, place };
        leader.filter(|_| known).map(|leader| send_message(leader, message)).into_iter().collect()
    }

    fn update_index(&mut self) {
        let tables = self.replica.ledger().tables();
        if tables.version() == self.index_version {
            return;
        }
        self.index_version = tables.version();
        // Only a table that was read in full before gets into the log.
        if let Ok(table) = RouteTable::parse(tables.text()) {
            self.index = RouteIndex::new(&table);
        }
    }
}

pub(crate) fn send_message(to: SocketAddr, message: FleetMessage) -> NodeEffect {
    NodeEffect::send(to, PeerMessage::Fleet(Box::new(message)))
}

/// The group that holds what a fleet's operators publish.
pub const FLEET_GROUP: GroupId = GroupId(0);
