/*!
The reducer of a node whose targets are declared: a single function from state, event and clock
reading to effects.

[`NodeState::reduce`] does no I/O, reads no clock and draws random numbers only from the generators
that the node and its replica were given.
*/

use {
    crate::{
        clock::{ClockReading, Moment},
        config_sync::{ConfigSync, UpstreamCandidates},
        consensus::GroupId,
        domain::{DomainPeers, HEARTBEAT_LEASE},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        identity::NodeIdentity,
        ledger::{LedgerCommand, LedgerOutcome},
        log_events::LogEvent,
        operators::OperatorCall,
        quotas::DomainQuotas,
        replica::ReplicaNode,
        requests::{RequestEvent, RequestScheduler, scheduler::RequestContext},
        steering::SteeringIndex,
        submit::{CommandPurpose, CommandSubmitter, CompletedCommand},
        targets::{LoadReport, TargetTracker},
        wire::{PeerEnvelope, PeerMessage},
    },
    hemlockspool_model::{
        api::{LookupResponse, PublishOutcome},
        names::{RegionName, TargetName},
    },
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// The time between tally reports.
const TALLY_INTERVAL: Duration = Duration::from_secs(5);
/// The time for which a tally report that isn't committed yet is resent.
const TALLY_TIMEOUT: Duration = Duration::from_secs(4);
/// The time to live of lookup responses if no service is declared, in milliseconds.
const LOOKUP_TTL_DEFAULT_MS: u64 = 1_000;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A timer tick.
    Tick,
    /// A message arrived from another instance.
    Peer(Box<PeerEnvelope>),
    /// A write was synced to disk.
    Persisted {
        /// The group.
        group: GroupId,
        /// The ticket of the write; all earlier writes are synced too.
        ticket: u64,
    },
    /// An operator made a call.
    Operator {
        /// The ticket to reply to.
        ticket: ReplyTicket,
        /// The call.
        call: OperatorCall,
    },
    /// An event of a request.
    Request(RequestEvent),
    /// A probe of a target ended.
    Probed {
        /// The target.
        target: TargetName,
        /// The target's report, or `None` if no valid one arrived in time.
        report: Option<LoadReport>,
    },
    /// The platform's list of instances was read; these instances are leaving. Only the targets
    /// among them matter.
    LeavingTargets(BTreeSet<TargetName>),
    /// A planned stop begins.
    Stop,
}

/// The state of a node.
#[derive(Clone, Debug)]
pub struct NodeState {
    pub(crate) identity: NodeIdentity,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) replicas: BTreeMap<GroupId, ReplicaNode>,
    pub(crate) config: ConfigSync,
    quotas: DomainQuotas,
    steering_index: SteeringIndex,
    peers: DomainPeers,
    targets: TargetTracker,
    requests: RequestScheduler,
    pub(crate) submitter: CommandSubmitter,
    tally_due: Moment,
    tally_pending: bool,
    random: Pcg32,
}

impl NodeState {
    /// Returns the state of an instance that starts.
    ///
    /// `seeds` are the peer addresses of the instances that have a data folder.
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
            config: ConfigSync::new(name, now),
            seeds,
            replicas,
            quotas: DomainQuotas::default(),
            steering_index: SteeringIndex::default(),
            targets: TargetTracker::default(),
            requests: RequestScheduler::new(now),
            submitter: CommandSubmitter::new(identity.incarnation),
            tally_due: now,
            tally_pending: false,
            random,
            identity,
        }
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the configuration at this instance.
    pub fn config(&self) -> &ConfigSync {
        &self.config
    }

    /// Returns this instance's replica of the group that stores the configuration, if it has one.
    pub fn replica(&self) -> Option<&ReplicaNode> {
        self.replicas.get(&GroupId::default())
    }

    /// Returns the entries of the failure domain.
    pub fn peers(&self) -> &DomainPeers {
        &self.peers
    }

    /// Returns the targets of the failure domain.
    pub fn targets(&self) -> &TargetTracker {
        &self.targets
    }

    /// Returns the scheduler of requests.
    pub fn requests(&self) -> &RequestScheduler {
        &self.requests
    }

    /// Returns the number of submitted commands that are pending.
    pub fn pending_commands(&self) -> usize {
        self.submitter.len()
    }

    /// Returns the entries for a caller, or `None` while no configuration is in force.
    pub fn lookup(&self, caller: IpAddr, now: Moment) -> Option<LookupResponse> {
        let version = self.config.version()?;
        let set = self.config.set();
        let block = set.find_block(caller);
        let home = block.map_or(&self.identity.domain, |block| &block.domain);
        let entries = self.steering_index.ranked_entries(home, caller, |entry| {
            let in_domain = entry.domain == self.identity.domain;
            if in_domain {
                self.peers.serves(&entry.name, now)
            } else {
                !self.config.is_absent(&entry.name)
            }
        });
        let ttl_min_ms = set.services.values().map(|service| service.lookup_ttl_ms).min();
        let ttl_ms = ttl_min_ms.unwrap_or(LOOKUP_TTL_DEFAULT_MS);
        let age = self.config.confirmed_age(now);
        let confirmed_age_ms = age.map(|age| age.as_millis() as u64);
        Some(LookupResponse { entries, ttl_ms, version, confirmed_age_ms })
    }

    /// Reserves bytes on the link to a region, and returns how long to wait before sending them,
    /// which is zero if no link to the region is declared. Returns `None` while this entry has no
    /// share of the link.
    pub fn reserve_link(&mut self, to: &RegionName, bytes: u64, now: Moment) -> Option<Duration> {
        let share = self.peers.share(now);
        self.requests.reserve_link(to, bytes, &self.quotas, share, now)
    }

    /// Begins to send bytes whose reserved time has come. Returns how long to wait before trying
    /// again, which is zero if the bytes may be sent now, or `None` if the share of the link has
    /// ended.
    pub fn begin_on_link(&mut self, to: &RegionName, bytes: u64, now: Moment) -> Option<Duration> {
        let share = self.peers.share(now);
        self.requests.begin_on_link(to, bytes, &self.quotas, share, now)
    }

    /// Processes an event and returns the effects for the shell to carry out.
    pub fn reduce(&mut self, event: NodeEvent, clock: ClockReading) -> Vec<NodeEffect> {
        let mut effects = match event {
            NodeEvent::Tick => self.tick(clock),
            NodeEvent::Peer(envelope) => self.receive(*envelope, clock),
            NodeEvent::Persisted { group, ticket } => match self.replicas.get_mut(&group) {
                Some(replica) => replica.persisted(ticket, clock.now),
                None => Vec::new(),
            },
            NodeEvent::Operator { ticket, call } => self.handle_operator_call(ticket, call, clock),
            NodeEvent::Request(event) => {
                self.with_requests(clock, |requests, ctx| requests.handle(event, ctx))
            }
            NodeEvent::Probed { target, report } => {
                self.targets.record_probe(&target, report, clock.now)
            }
            NodeEvent::LeavingTargets(names) => self.targets.apply_leaving_list(&names),
            NodeEvent::Stop => self.begin_stop(clock),
        };
        effects.extend(self.adopt_config(clock));
        self.rebuild_derived_state(&mut effects, clock);
        effects
    }

    fn tick(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        let now = clock.now;
        let within_share = self.within_share(now);
        let mut effects = self.peers.tick(within_share, now);
        for replica in self.replicas.values_mut() {
            effects.extend(replica.tick(&self.seeds, clock));
        }
        effects.extend(self.tick_config(now));
        effects.extend(self.targets.tick(now));
        let (timed_out, resends) = self.submitter.tick(&self.seeds, now);
        effects.extend(resends);
        for command in timed_out {
            effects.extend(self.handle_completed_command(command, clock));
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
        let upstream = UpstreamCandidates {
            leader: group.and_then(|group| group.leader_peer()),
            is_replica: group.is_some(),
            is_leader,
            relay: self.peers.relay(now),
            seeds: &self.seeds,
        };
        let leaving = self.peers.leaving();
        let mut effects = self.config.tick(upstream, leaving, now);
        let confirmed_at = group.and_then(|group| group.confirmed_at(now));
        let is_durable = self.replica().is_some_and(|replica| {
            replica
                .durable_config()
                .is_some_and(|(version, _)| version == self.config.held_version())
        });
        if let (Some(at), true) = (confirmed_at, is_durable) {
            effects.extend(self.config.confirm_from_log(at, leaving, now));
        }
        effects
    }

    /// Adopts a new version from this instance's own log.
    fn adopt_config(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        let Some(replica) = self.replicas.get(&GroupId::default()) else {
            return Vec::new();
        };
        let Some((version, set)) = replica.durable_config() else {
            return Vec::new();
        };
        let held_version = self.config.held_version();
        if version <= held_version {
            return Vec::new();
        }
        let steps = replica.ledger().publications().steps_since(held_version).unwrap_or_default();
        let confirmed_at = replica.group().confirmed_at(clock.now);
        self.config.adopt_from_log(version, set, steps, confirmed_at, clock.now)
    }

    /// Rebuilds the state that is derived from the configuration, if the effects say that it
    /// changed.
    fn rebuild_derived_state(&mut self, effects: &mut Vec<NodeEffect>, clock: ClockReading) {
        let previous_len = effects.len();
        effects.retain(|effect| *effect != NodeEffect::ConfigChanged);
        if effects.len() == previous_len {
            return;
        }
        let set = self.config.set();
        self.quotas = DomainQuotas::new(set, &self.identity.domain, &self.identity.name);
        self.steering_index = SteeringIndex::new(set);
        self.peers.apply_config(set, &self.identity.domain, clock.now);
        self.targets.apply_config(set, &self.identity.domain, clock.now);
    }

    fn receive(&mut self, envelope: PeerEnvelope, clock: ClockReading) -> Vec<NodeEffect> {
        let PeerEnvelope { deployment, sender, message, .. } = envelope;
        if deployment != self.identity.deployment {
            return vec![NodeEffect::Log(LogEvent::ForeignMessage { sender: sender.name })];
        }
        let now = clock.now;
        let is_replica = !self.replicas.is_empty();
        match message {
            // Sent only in deployments that discover targets at run time.
            PeerMessage::Fleet(_) => Vec::new(),
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
                replica.handle_join(id, &sender, now)
            }
            PeerMessage::Submit { group, id, command } => {
                let Some(replica) = self.replicas.get_mut(&group) else {
                    return Vec::new();
                };
                replica.submit(&sender, id, command, clock)
            }
            PeerMessage::Submitted { id, answer: reply } => {
                let (completed, mut effects) =
                    self.submitter.handle_reply(id, reply, sender.peer, &self.seeds);
                if let Some(command) = completed {
                    effects.extend(self.handle_completed_command(command, clock));
                }
                effects
            }
            PeerMessage::ConfigPoll { have, reports } => {
                self.config.handle_poll(&sender, have, reports, now)
            }
            PeerMessage::ConfigSteps { from, steps, notice } => {
                self.config.apply_steps(from, steps, notice, is_replica, now)
            }
            PeerMessage::ConfigWhole { version, set, notice } => {
                self.config.apply_whole_set(version, set, notice, is_replica, now)
            }
            PeerMessage::Pulse(heartbeat) => {
                self.peers.record_heartbeat(&sender, &heartbeat, now);
                Vec::new()
            }
        }
    }

    /// Returns whether the requests in flight fit into the share that this instance may use.
    fn within_share(&self, now: Moment) -> bool {
        let share = self.peers.share(now);
        let within_region_quota = self
            .quotas
            .in_flight
            .is_none_or(|quota| self.targets.total_in_flight() <= share.portion_of(quota, 0));
        within_region_quota && self.targets.within_share(share)
    }

    /// Delivers the outcome of a command according to its purpose.
    fn handle_completed_command(
        &mut self,
        command: CompletedCommand,
        clock: ClockReading,
    ) -> Vec<NodeEffect> {
        match command.purpose {
            CommandPurpose::Operator(ticket) => {
                let outcome = match command.outcome {
                    Some(LedgerOutcome::Published(outcome)) => outcome,
                    Some(_) => PublishOutcome::Unauthorised,
                    None => PublishOutcome::Unknown,
                };
                vec![NodeEffect::Reply { ticket, reply: OperatorReply::Publish(outcome) }]
            }
            CommandPurpose::Claim(id) => self.with_requests(clock, |requests, ctx| {
                requests.handle_claim_outcome(id, command.outcome, ctx)
            }),
            CommandPurpose::Record => Vec::new(),
            CommandPurpose::Tally => {
                self.tally_pending = false;
                if command.outcome.is_none() {
                    self.requests.mark_tallies_changed();
                }
                Vec::new()
            }
        }
    }

    fn report_tallies(&mut self, now: Moment) -> Vec<NodeEffect> {
        if now < self.tally_due || self.tally_pending {
            return Vec::new();
        }
        self.tally_due = now.after(TALLY_INTERVAL);
        let Some(report) = self.requests.tally_report(&self.identity) else {
            return Vec::new();
        };
        self.tally_pending = true;
        let command = LedgerCommand::Tally(report);
        self.submitter.submit(command, CommandPurpose::Tally, TALLY_TIMEOUT, &self.seeds, now)
    }

    fn begin_stop(&mut self, clock: ClockReading) -> Vec<NodeEffect> {
        self.peers.leave();
        self.tally_due = clock.now;
        let mut effects = vec![NodeEffect::Log(LogEvent::Stopping)];
        for replica in self.replicas.values_mut() {
            effects.extend(replica.transfer_leadership());
        }
        let within_share = self.within_share(clock.now);
        effects.extend(self.peers.tick(within_share, clock.now));
        effects
    }

    /// Calls the scheduler of requests with the rest of the state that its decisions depend on.
    fn with_requests<F>(&mut self, clock: ClockReading, apply: F) -> Vec<NodeEffect>
    where
        F: FnOnce(&mut RequestScheduler, &mut RequestContext<'_>) -> Vec<NodeEffect>,
    {
        let mut ctx = RequestContext {
            identity: &self.identity,
            config: &self.config,
            quotas: &self.quotas,
            steering_index: &self.steering_index,
            share: self.peers.share(clock.now),
            share_valid_until: clock.now.after(HEARTBEAT_LEASE / 2),
            targets: &mut self.targets,
            submitter: &mut self.submitter,
            seeds: &self.seeds,
            random: &mut self.random,
            clock,
        };
        apply(&mut self.requests, &mut ctx)
    }
}
