/*!
The one reducer over all events of a node.

[`NodeState::reduce`] takes an event with a reading of the clocks and returns what is to be done. It
does no I/O, reads no clock and draws randomness only from a generator that it was given.
*/

use {
    crate::{
        caps::DomainCaps,
        clock::{ClockReading, Moment},
        consensus::{GroupId, MemberRefusal, ReplicaMember},
        domain::{DomainPeers, PULSE_LEASE},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        identity::NodeIdentity,
        ledger::{LedgerCommand, LedgerOutcome, PublishCommand},
        notes::NodeNote,
        replica::ReplicaNode,
        requests::{RequestBook, RequestEvent, book::RequestContext},
        spread::{ConfigCopy, UpstreamChoice},
        steering::SteeringIndex,
        submit::{EndedCommand, SubmitBook, SubmitPurpose},
        targets::{LoadReport, TargetBoard},
        wire::{PeerEnvelope, PeerMessage},
    },
    hemlockspool_model::{
        api::{LookupAnswer, PublishAnswer, ReplicaAnswer, ReplicaBody},
        delta::SetDelta,
        names::{ConfigVersion, OperatorName, RegionName, RequestTag, TargetName},
        set::ObjectSet,
    },
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// How long a publication may take before its sender is told that its fate is unknown.
const PUBLISH_PATIENCE: Duration = Duration::from_secs(6);
/// How long a node tries to have something recorded for the audit trail.
const RECORD_PATIENCE: Duration = Duration::from_secs(300);
/// The time between reports of tallies.
const TALLY_EVERY: Duration = Duration::from_secs(5);
/// How long a report of tallies is tried for.
const TALLY_PATIENCE: Duration = Duration::from_secs(4);
/// The time to live of look-up answers when no service is declared.
const LOOKUP_TTL_DEFAULT_MS: u64 = 1_000;

/// A call by an operator.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Publishes a set.
    Publish {
        /// Chosen by the sender.
        request: RequestTag,
        /// Who asks; none when the token isn't known.
        operator: Option<OperatorName>,
        /// The version that the change was made from.
        base: ConfigVersion,
        /// The change.
        change: SetChange,
    },
    /// Changes the replicas.
    Replicas {
        /// Who asks; none when the token isn't known.
        operator: Option<OperatorName>,
        /// What is asked for.
        body: ReplicaBody,
    },
}

/// A change of the set in force.
#[derive(Clone, Debug)]
pub enum SetChange {
    /// This whole set in its place.
    Whole(Box<ObjectSet>),
    /// Some objects put in and taken out.
    Delta(SetDelta),
}

/// Something that happens to a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time passes.
    Tick,
    /// A message arrives.
    Peer(Box<PeerEnvelope>),
    /// A write is synced.
    Persisted {
        /// The group.
        group: GroupId,
        /// The write.
        ticket: u64,
    },
    /// An operator calls.
    Operator {
        /// Where the answer goes.
        ticket: ReplyTicket,
        /// The call.
        call: OperatorCall,
    },
    /// Something happens to a request.
    Request(RequestEvent),
    /// A target answered a probe, or didn't.
    Probed {
        /// The target.
        target: TargetName,
        /// What it said.
        report: Option<LoadReport>,
    },
    /// The platform's list of instances was read.
    Leaving(BTreeSet<TargetName>),
    /// A planned stop begins.
    Stop,
}

/// The state of a node.
#[derive(Clone, Debug)]
pub struct NodeState {
    identity: NodeIdentity,
    seeds: Vec<SocketAddr>,
    replicas: BTreeMap<GroupId, ReplicaNode>,
    config: ConfigCopy,
    caps: DomainCaps,
    index: SteeringIndex,
    peers: DomainPeers,
    targets: TargetBoard,
    requests: RequestBook,
    submits: SubmitBook,
    tally_due: Moment,
    tally_under_way: bool,
    random: Pcg32,
}

impl NodeState {
    /// Makes the state of an instance that starts.
    ///
    /// `seeds` are the peer addresses of the instances with disks.
    pub fn new(
        identity: NodeIdentity,
        seeds: Vec<SocketAddr>,
        replica: Option<ReplicaNode>,
        now: Moment,
        random: Pcg32,
    ) -> Self {
        let name = identity.name.clone();
        let replicas: BTreeMap<GroupId, ReplicaNode> =
            replica.map(|replica| (GroupId::default(), replica)).into_iter().collect();
        Self {
            peers: DomainPeers::new(name.clone(), identity.incarnation, !replicas.is_empty(), now),
            config: ConfigCopy::new(name, now),
            seeds,
            replicas,
            caps: DomainCaps::default(),
            index: SteeringIndex::default(),
            targets: TargetBoard::default(),
            requests: RequestBook::new(now),
            submits: SubmitBook::new(identity.incarnation),
            tally_due: now,
            tally_under_way: false,
            random,
            identity,
        }
    }

    /// Returns who this instance is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the configuration here.
    pub fn config(&self) -> &ConfigCopy {
        &self.config
    }

    /// Returns the replica of the group that holds the configuration.
    pub fn replica(&self) -> Option<&ReplicaNode> {
        self.replicas.get(&GroupId::default())
    }

    /// Returns the entries of the failure domain.
    pub fn peers(&self) -> &DomainPeers {
        &self.peers
    }

    /// Returns the targets.
    pub fn targets(&self) -> &TargetBoard {
        &self.targets
    }

    /// Returns the requests.
    pub fn requests(&self) -> &RequestBook {
        &self.requests
    }

    /// Returns the number of commands on their way to the leader.
    pub fn submits_pending(&self) -> usize {
        self.submits.len()
    }

    /// Answers a look-up; none while no configuration is in force.
    pub fn lookup(&self, caller: IpAddr, now: Moment) -> Option<LookupAnswer> {
        let version = self.config.version()?;
        let set = self.config.set();
        let block = set.block_of(caller);
        let home = block.map_or(&self.identity.domain, |block| &block.domain);
        let entries = self.index.answer(home, caller, |line| {
            let near = line.domain == self.identity.domain;
            if near {
                self.peers.serves(&line.name, now)
            } else {
                !self.config.is_absent(&line.name)
            }
        });
        let shortest = set.services.values().map(|service| service.lookup_ttl_ms).min();
        let ttl_ms = shortest.unwrap_or(LOOKUP_TTL_DEFAULT_MS);
        let age = self.config.confirmed_age(now);
        let confirmed_age_ms = age.map(|age| age.as_millis() as u64);
        Some(LookupAnswer { entries, ttl_ms, version, confirmed_age_ms })
    }

    /// Books bytes on the link to a region, and returns how long to wait before sending them; none
    /// while this entry has no part of the link.
    pub fn book_link(&mut self, to: &RegionName, bytes: u64, now: Moment) -> Option<Duration> {
        let share = self.peers.share(now);
        self.requests.book_link(to, bytes, &self.caps, share, now)
    }

    /// Takes in an event and returns what is to be done.
    pub fn reduce(&mut self, event: NodeEvent, clock: ClockReading) -> Vec<NodeEffect> {
        let mut effects = match event {
            NodeEvent::Tick => self.tick(clock),
            NodeEvent::Peer(envelope) => self.receive(*envelope, clock),
            NodeEvent::Persisted { group, ticket } => match self.replicas.get_mut(&group) {
                Some(replica) => replica.persisted(ticket, clock.now),
                None => Vec::new(),
            },
            NodeEvent::Operator { ticket, call } => self.operate(ticket, call, clock),
            NodeEvent::Request(event) => {
                self.with_requests(clock, |requests, ctx| requests.handle(event, ctx))
            }
            NodeEvent::Probed { target, report } => self.targets.probed(&target, report, clock.now),
            NodeEvent::Leaving(names) => self.targets.list_leaving(&names),
            NodeEvent::Stop => self.stop(clock),
        };
        effects.extend(self.adopt_config(clock));
        self.settle_config(&mut effects, clock);
        effects
    }

    fn tick(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        let now = clock.now;
        let fits = self.fits_share(now);
        let mut effects = self.peers.tick(fits, now);
        for replica in self.replicas.values_mut() {
            effects.extend(replica.tick(&self.seeds, clock));
        }
        effects.extend(self.tick_config(now));
        effects.extend(self.targets.tick(now));
        let (ended, sent) = self.submits.tick(&self.seeds, now);
        effects.extend(sent);
        for command in ended {
            effects.extend(self.command_ended(command, clock));
        }
        effects.extend(self.report_tallies(now));
        effects.extend(self.with_requests(clock, |requests, ctx| {
            let mut effects = requests.expire_queues(ctx);
            effects.extend(requests.serve_queues(ctx));
            effects
        }));
        effects
    }

    fn tick_config(&mut self, now: Moment) -> Vec<NodeEffect> {
        let group = self.replicas.get(&GroupId::default()).map(|replica| replica.group());
        let is_leader = group.is_some_and(|group| group.is_leader());
        let upstream = UpstreamChoice {
            leader: group.and_then(|group| group.leader_peer()),
            is_replica: group.is_some(),
            is_leader,
            relay: self.peers.relay(now),
            seeds: &self.seeds,
        };
        let leaving = self.peers.leaving();
        let mut effects = self.config.tick(upstream, leaving, now);
        let confirmed = group.and_then(|group| group.confirmed_at(now));
        let own = self.replica().is_some_and(|replica| {
            replica.settled_config().is_some_and(|(version, _)| version == self.config.held())
        });
        if let (Some(at), true) = (confirmed, own) {
            effects.extend(self.config.confirm_own(at, leaving, now));
        }
        effects
    }

    /// Takes a new version from this instance's own log.
    fn adopt_config(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        let Some(replica) = self.replicas.get(&GroupId::default()) else {
            return Vec::new();
        };
        let Some((version, set)) = replica.settled_config() else {
            return Vec::new();
        };
        let held = self.config.held();
        if version <= held {
            return Vec::new();
        }
        let steps = replica.ledger().publications().steps_since(held).unwrap_or_default();
        let confirmed = replica.group().confirmed_at(clock.now);
        self.config.adopt_own(version, set, steps, confirmed, clock.now)
    }

    /// Makes anew what is derived from the configuration, when it changed.
    fn settle_config(&mut self, effects: &mut Vec<NodeEffect>, clock: ClockReading) {
        let before = effects.len();
        effects.retain(|effect| *effect != NodeEffect::ConfigChanged);
        if effects.len() == before {
            return;
        }
        let set = self.config.set();
        self.caps = DomainCaps::new(set, &self.identity.domain, &self.identity.name);
        self.index = SteeringIndex::new(set);
        self.peers.declare(set, &self.identity.domain, clock.now);
        self.targets.declare(set, &self.identity.domain, clock.now);
    }

    fn receive(&mut self, envelope: PeerEnvelope, clock: ClockReading) -> Vec<NodeEffect> {
        let PeerEnvelope { deployment, sender, message, .. } = envelope;
        if deployment != self.identity.deployment {
            return vec![NodeEffect::Note(NodeNote::ForeignPeer { sender: sender.name })];
        }
        let now = clock.now;
        let is_replica = !self.replicas.is_empty();
        match message {
            PeerMessage::Consensus { group, from, to, message } => {
                let Some(replica) = self.replicas.get_mut(&group) else {
                    return Vec::new();
                };
                replica.receive(from, &sender, to, message, now)
            }
            PeerMessage::Join { group, id } => {
                let Some(replica) = self.replicas.get_mut(&group) else {
                    return Vec::new();
                };
                replica.hear_join(id, &sender, now)
            }
            PeerMessage::Submit { group, id, command } => {
                let Some(replica) = self.replicas.get_mut(&group) else {
                    return Vec::new();
                };
                replica.submit(&sender, id, command, clock)
            }
            PeerMessage::Submitted { id, answer } => {
                let (ended, mut effects) =
                    self.submits.answered(id, answer, sender.peer, &self.seeds);
                if let Some(command) = ended {
                    effects.extend(self.command_ended(command, clock));
                }
                effects
            }
            PeerMessage::ConfigPoll { have, reports } => {
                self.config.hear_poll(&sender, have, reports, now)
            }
            PeerMessage::ConfigSteps { from, steps, notice } => {
                self.config.take_steps(from, steps, notice, is_replica, now)
            }
            PeerMessage::ConfigWhole { version, set, notice } => {
                self.config.take_whole(version, set, notice, is_replica, now)
            }
            PeerMessage::Pulse(pulse) => {
                self.peers.hear(&sender, &pulse, now);
                Vec::new()
            }
        }
    }

    /// Tells whether what is in flight fits into the part that this instance may use.
    fn fits_share(&self, now: Moment) -> bool {
        let share = self.peers.share(now);
        let in_region = self
            .caps
            .in_flight
            .is_none_or(|part| self.targets.total_in_flight() <= share.of(part, 0));
        in_region && self.targets.fits(share)
    }

    fn operate(
        &mut self,
        ticket: ReplyTicket,
        call: OperatorCall,
        clock: ClockReading,
    ) -> Vec<NodeEffect> {
        match call {
            OperatorCall::Publish { request, operator, base, change } => {
                let Some(operator) = operator else {
                    return self.refuse_operator(ticket, request, clock.now);
                };
                let delta = self.delta_of(base, change);
                let operator = Some(operator);
                let publish = PublishCommand { request, operator, base, delta, faults: Vec::new() };
                let command = LedgerCommand::Publish(publish);
                self.submit_for(ticket, command, clock.now)
            }
            OperatorCall::Replicas { operator, body } => {
                let Some(operator) = operator else {
                    return self.refuse_replicas(ticket, clock.now);
                };
                self.operate_replicas(ticket, operator, body, clock.now)
            }
        }
    }

    /// Returns what leads from a base to the set that is wanted; none when that takes the base and
    /// this instance hasn't got it.
    fn delta_of(&self, base: ConfigVersion, change: SetChange) -> Option<SetDelta> {
        match change {
            SetChange::Delta(delta) => Some(delta),
            SetChange::Whole(set) => {
                let current = self.config.version() == Some(base);
                current.then(|| SetDelta::between(self.config.set(), &set))
            }
        }
    }

    fn submit_for(
        &mut self,
        ticket: ReplyTicket,
        command: LedgerCommand,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let purpose = SubmitPurpose::Operator(ticket);
        self.submits.submit(command, purpose, PUBLISH_PATIENCE, &self.seeds, now)
    }

    /// Has a request without a known token recorded; its sender waits for that.
    fn refuse_operator(
        &mut self,
        ticket: ReplyTicket,
        request: RequestTag,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.submit_for(ticket, LedgerCommand::Unauthorised { request }, now)
    }

    fn refuse_replicas(&mut self, ticket: ReplyTicket, now: Moment) -> Vec<NodeEffect> {
        let command = LedgerCommand::Unauthorised { request: RequestTag::new("replicas") };
        let mut effects = self.record(command, now);
        let reply = OperatorReply::Replica(ReplicaAnswer::Unauthorised);
        effects.push(NodeEffect::Reply { ticket, reply });
        effects
    }

    fn record(&mut self, command: LedgerCommand, now: Moment) -> Vec<NodeEffect> {
        let purpose = SubmitPurpose::Record;
        self.submits.submit(command, purpose, RECORD_PATIENCE, &self.seeds, now)
    }

    fn operate_replicas(
        &mut self,
        ticket: ReplyTicket,
        operator: OperatorName,
        body: ReplicaBody,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let (name, peer) = (self.identity.name.clone(), self.identity.peer);
        let asked = body.clone();
        let mut effects = self.change_replicas(ticket, |replica| match asked {
            ReplicaBody::Init => replica.init(ReplicaMember { name, peer, voter: true }, now),
            ReplicaBody::Add(name) => replica.add(&name, now).map(|()| Vec::new()),
            ReplicaBody::Remove(name) => replica.remove(&name, now).map(|()| Vec::new()),
        });
        let reply = OperatorReply::Replica(ReplicaAnswer::Done);
        if effects.contains(&NodeEffect::Reply { ticket, reply }) {
            effects.extend(self.record(LedgerCommand::Replicas { operator, body }, now));
        }
        effects
    }

    fn change_replicas<F>(&mut self, ticket: ReplyTicket, change: F) -> Vec<NodeEffect>
    where
        F: FnOnce(&mut ReplicaNode) -> Result<Vec<NodeEffect>, MemberRefusal>,
    {
        let reply = |answer| NodeEffect::Reply { ticket, reply: OperatorReply::Replica(answer) };
        let Some(replica) = self.replicas.get_mut(&GroupId::default()) else {
            return vec![reply(ReplicaAnswer::NoFolder)];
        };
        let (answer, mut effects) = match change(replica) {
            Ok(effects) => (ReplicaAnswer::Done, effects),
            Err(MemberRefusal::NotLeader) => {
                let leader = replica.group().leader_name().cloned();
                (ReplicaAnswer::NotLeader { leader }, Vec::new())
            }
            Err(MemberRefusal::Busy) => (ReplicaAnswer::Busy, Vec::new()),
            Err(MemberRefusal::NotKnown) => (ReplicaAnswer::NotKnown, Vec::new()),
            Err(MemberRefusal::WouldBreakQuorum) => (ReplicaAnswer::WouldBreakQuorum, Vec::new()),
            Err(MemberRefusal::NotEmpty) => (ReplicaAnswer::NotEmpty, Vec::new()),
        };
        effects.extend(replica.drain_effects());
        effects.push(reply(answer));
        effects
    }

    fn command_ended(&mut self, command: EndedCommand, clock: ClockReading) -> Vec<NodeEffect> {
        match command.purpose {
            SubmitPurpose::Operator(ticket) => {
                let answer = match command.outcome {
                    Some(LedgerOutcome::Published(answer)) => answer,
                    Some(_) => PublishAnswer::Unauthorised,
                    None => PublishAnswer::Unknown,
                };
                vec![NodeEffect::Reply { ticket, reply: OperatorReply::Publish(answer) }]
            }
            SubmitPurpose::Claim(id) => self.with_requests(clock, |requests, ctx| {
                requests.claim_ended(id, command.outcome, ctx)
            }),
            SubmitPurpose::Record => Vec::new(),
            SubmitPurpose::Tally => {
                self.tally_under_way = false;
                if command.outcome.is_none() {
                    self.requests.tally_lost();
                }
                Vec::new()
            }
        }
    }

    fn report_tallies(&mut self, now: Moment) -> Vec<NodeEffect> {
        if now < self.tally_due || self.tally_under_way {
            return Vec::new();
        }
        self.tally_due = now.after(TALLY_EVERY);
        let Some(report) = self.requests.tally_report(&self.identity) else {
            return Vec::new();
        };
        self.tally_under_way = true;
        let command = LedgerCommand::Tally(report);
        self.submits.submit(command, SubmitPurpose::Tally, TALLY_PATIENCE, &self.seeds, now)
    }

    fn stop(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        self.peers.leave();
        self.tally_due = clock.now;
        let mut effects = vec![NodeEffect::Note(NodeNote::Stopping)];
        for replica in self.replicas.values_mut() {
            effects.extend(replica.hand_over());
        }
        let fits = self.fits_share(clock.now);
        effects.extend(self.peers.tick(fits, clock.now));
        effects
    }

    fn with_requests<F>(&mut self, clock: ClockReading, act: F) -> Vec<NodeEffect>
    where
        F: FnOnce(&mut RequestBook, &mut RequestContext<'_>) -> Vec<NodeEffect>,
    {
        let mut ctx = RequestContext {
            identity: &self.identity,
            config: &self.config,
            caps: &self.caps,
            index: &self.index,
            share: self.peers.share(clock.now),
            share_valid_until: clock.now.after(PULSE_LEASE / 2),
            targets: &mut self.targets,
            submits: &mut self.submits,
            seeds: &self.seeds,
            random: &mut self.random,
            clock,
        };
        act(&mut self.requests, &mut ctx)
    }
}
