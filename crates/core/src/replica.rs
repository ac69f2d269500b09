/*!
One replica of a group: the replicated log and the ledger to which its entries are applied.
*/

use {
    crate::{
        clock::{ClockReading, Moment},
        consensus::{
            ConsensusEffect, ConsensusGroup, ConsensusMessage, GroupId, LogEntry, LogPayload,
            LogPosition, MemberSet, MembershipError, ReplicaId, ReplicaMember, RestoredLog,
            TRAILING_ENTRIES,
        },
        effect::{DiskWrite, NodeEffect},
        fleet::membership::MembershipController,
        ledger::{LedgerCommand, LedgerError, LedgerState, TableCommand},
        log_events::LogEvent,
        wire::{CommandId, PeerMessage, PeerSender, SubmitReply},
    },
    hemlockspool_model::{
        names::{ConfigVersion, InstanceName},
        set::ObjectSet,
        validation::{self, SetError},
    },
    rand_pcg::Pcg32,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// The interval at which a blank replica requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which a join request remains valid.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(3);

/// The recipient of the reply to a command in the log.
#[derive(Clone, Copy, Debug)]
struct CommandOrigin {
    peer: SocketAddr,
    id: CommandId,
}

/// A received request of a replica to join the group.
#[derive(Clone, Debug)]
struct JoinRequest {
    id: ReplicaId,
    peer: SocketAddr,
    received_at: Moment,
}

/// A replica of one group on a node.
#[derive(Clone, Debug)]
pub struct ReplicaNode {
    id: GroupId,
    group: ConsensusGroup,
    ledger: LedgerState,
    /// Keyed by position, because another leader may place another command at the same index.
    origins: BTreeMap<LogPosition, CommandOrigin>,
    join_requests: BTreeMap<InstanceName, JoinRequest>,
    /// The index of the last applied publication, or of a snapshot that was installed later; 0 if
    /// there has been neither since the start of the process.
    published_index: u64,
    /// Whether a command has been applied that is large enough to require a snapshot, which wasn't
    /// taken yet.
    applied_large_entry: bool,
    join_due: Moment,
}

impl ReplicaNode {
    /// Restores a replica from the state read from disk.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] if the snapshot isn't an encoded ledger.
    pub fn restore(
        id: GroupId,
        me: ReplicaId,
        restored: RestoredLog,
        now: Moment,
        random: Pcg32,
    ) -> Result<Self, LedgerError> {
        let ledger = LedgerState::decode(&restored.image.bytes)?;
        let group = ConsensusGroup::restore(me, restored, now, random);
        let mut replica = Self {
            id,
            group,
            ledger,
            origins: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            published_index: 0,
            applied_large_entry: false,
            join_due: now,
        };
        for entry in replica.group.take_committed() {
            replica.apply(entry);
        }
        Ok(replica)
    }

    /// Returns the consensus group with the replicated log.
    pub fn group(&self) -> &ConsensusGroup {
        &self.group
    }

    /// Returns the ledger with all applied entries.
    pub fn ledger(&self) -> &LedgerState {
        &self.ledger
    }

    /// Returns the version and set that are still known after a restart, or `None` until the commit
    /// index of their publication is on disk, and while the replica is blank.
    pub fn durable_config(&self) -> Option<(ConfigVersion, &Arc<ObjectSet>)> {
        let is_durable = self.published_index <= self.group.persisted_commit();
        let has_members = !self.group.is_blank();
        (is_durable && has_members).then(|| (self.ledger.version(), self.ledger.set()))
    }

    pub(crate) fn tick(&mut self, seeds: &[SocketAddr], clock: ClockReading) -> Vec<NodeEffect> {
        let effects = self.group.tick(clock.now);
        let mut effects = self.process_effects(effects);
        if self.group.is_blank() && clock.now >= self.join_due {
            self.join_due = clock.now.after(JOIN_INTERVAL);
            let message = PeerMessage::Join { group: self.id, id: self.group.me() };
            let sends = seeds.iter().map(|to| NodeEffect::send(*to, message.clone()));
            effects.extend(sends);
        }
        effects
    }

    pub(crate) fn receive(
        &mut self,
        from: ReplicaId,
        sender: &PeerSender,
        to: ReplicaId,
        message: ConsensusMessage,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if to != self.group.me() {
            return Vec::new();
        }
        let effects = self.group.receive(from, sender.peer, message, now);
        self.process_effects(effects)
    }

    pub(crate) fn persisted(&mut self, ticket: u64, now: Moment) -> Vec<NodeEffect> {
        let effects = self.group.persisted(ticket, now);
        self.process_effects(effects)
    }

    /// Handles the request of a replica to join. A replica that replaces an earlier incarnation of
    /// a member is added without an operator's call, because the disk of the earlier incarnation is
    /// lost. If this replica can't add it now, a later request tries again.
    pub(crate) fn handle_join(
        &mut self,
        id: ReplicaId,
        sender: &PeerSender,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let request = JoinRequest { id, peer: sender.peer, received_at: now };
        self.join_requests.insert(sender.name.clone(), request);
        let replaces = self.group.members().values().any(|member| member.name == sender.name);
        if !replaces || self.group.members().contains_key(&id) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        if self.add(&sender.name, now).is_ok() {
            let event = LogEvent::ReplicaReplaced { name: sender.name.clone() };
            effects.push(NodeEffect::Log(event));
        }
        let group_effects = self.group.take_effects();
        effects.extend(self.process_effects(group_effects));
        effects
    }

    /// Prepares the replica for a deployment that discovers targets at run time. There, a
    /// [`MembershipController`] promotes learners, and an early election is safe because no read
    /// relies on a leader's lease.
    pub(crate) fn enter_fleet_mode(&mut self, now: Moment) {
        self.group.auto_promote = false;
        self.group.allow_early_election(now);
    }

    /// Starts a deployment whose initial voters are known in advance.
    pub(crate) fn bootstrap(&mut self, members: MemberSet, now: Moment) -> Vec<NodeEffect> {
        // A replica that already belongs to a deployment keeps its state.
        let _ = self.group.bootstrap(members, now);
        self.drain_effects()
    }

    /// Makes the next membership change, if one is due.
    pub(crate) fn reconcile_members(&mut self, controller: &mut MembershipController, now: Moment) {
        controller.reconcile(&mut self.group, now);
    }

    pub(crate) fn init(
        &mut self,
        member: ReplicaMember,
        now: Moment,
    ) -> Result<Vec<NodeEffect>, MembershipError> {
        self.group.init(member, now)?;
        let effects = self.group.take_effects();
        Ok(self.process_effects(effects))
    }

    /// Adds the replica of an instance that requested to join, as a learner. Does nothing if there
    /// is no valid request, but a replica of the instance is a member already.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotKnown`] if there is neither a valid request nor such a member;
    /// [`MembershipError::NotLeader`], [`MembershipError::Busy`] or
    /// [`MembershipError::WouldBreakQuorum`].
    pub(crate) fn add(&mut self, name: &InstanceName, now: Moment) -> Result<(), MembershipError> {
        if !self.group.is_leader() {
            return Err(MembershipError::NotLeader);
        }
        let request = self
            .join_requests
            .get(name)
            .filter(|request| now.since(request.received_at) < JOIN_REQUEST_TTL);
        let Some(request) = request.cloned() else {
            let is_member = self.group.members().values().any(|member| member.name == *name);
            return if is_member { Ok(()) } else { Err(MembershipError::NotKnown) };
        };
        let member = ReplicaMember { name: name.clone(), peer: request.peer, voter: false };
        self.group.add_learner(request.id, member, now)
    }

    pub(crate) fn remove(
        &mut self,
        name: &InstanceName,
        now: Moment,
    ) -> Result<(), MembershipError> {
        self.group.remove(name, now)
    }

    pub(crate) fn transfer_leadership(&mut self) -> Vec<NodeEffect> {
        self.group.transfer_leadership();
        self.drain_effects()
    }

    /// Takes and processes the pending effects of the group.
    pub(crate) fn drain_effects(&mut self) -> Vec<NodeEffect> {
        let effects = self.group.take_effects();
        self.process_effects(effects)
    }

    /// Proposes a command or, if this replica isn't the leader, replies with the leader's address
    /// if it is known. A publication whose base may be in the log but isn't applied yet can't be
    /// checked; it gets the reply of a replica that doesn't lead, so that its sender retries.
    pub(crate) fn submit(
        &mut self,
        sender: &PeerSender,
        id: CommandId,
        command: LedgerCommand,
        clock: ClockReading,
    ) -> Vec<NodeEffect> {
        let proposed = if self.awaits_base(&command) {
            None
        } else {
            let command = self.validate_publication(command);
            self.group.propose(LogPayload::Command { at_ms: clock.wall_ms, command }, clock.now)
        };
        let Some(position) = proposed else {
            let leader = self.group.leader_peer();
            let reply = SubmitReply::NotLeader { leader };
            let message = PeerMessage::Submitted { id, answer: reply };
            return vec![NodeEffect::send(sender.peer, message)];
        };
        self.origins.insert(position, CommandOrigin { peer: sender.peer, id });
        self.drain_effects()
    }

    /// Returns whether a command is a publication on a version that a publication in the log, which
    /// isn't applied yet, may produce.
    fn awaits_base(&self, command: &LedgerCommand) -> bool {
        let LedgerCommand::Publish(publish) = command else {
            return false;
        };
        let is_publication = |entry: &LogEntry| {
            matches!(entry.payload, LogPayload::Command { command: LedgerCommand::Publish(_), .. })
        };
        publish.base > self.ledger.version() && self.group.unapplied_entries().any(is_publication)
    }

    /// Checks the set that a publication would produce, and adds the errors to the command. Checks
    /// nothing if its base isn't the version of the last applied publication; the publication then
    /// ends in a conflict when it is applied.
    fn validate_publication(&self, command: LedgerCommand) -> LedgerCommand {
        let LedgerCommand::Publish(mut publish) = command else {
            return command;
        };
        let base_is_current = publish.base == self.ledger.version();
        if let (true, Some(delta)) = (base_is_current, &publish.delta) {
            let mut set = ObjectSet::clone(self.ledger.set());
            delta.apply(&mut set);
            publish.faults = truncate_errors(validation::validate(&set));
        }
        LedgerCommand::Publish(publish)
    }

    fn process_effects(&mut self, effects: Vec<ConsensusEffect>) -> Vec<NodeEffect> {
        let mut out: Vec<NodeEffect> = Vec::new();
        self.convert_effects(effects, &mut out);
        if let Some(received) = self.group.take_received_snapshot() {
            let index = received.image.meta.last.index;
            match LedgerState::decode(&received.image.bytes) {
                Ok(ledger) => {
                    self.ledger = ledger;
                    self.published_index = index;
                    let install_effects = self.group.install_snapshot(received);
                    self.convert_effects(install_effects, &mut out);
                }
                Err(_) => out.push(NodeEffect::Log(LogEvent::SnapshotUnreadable { index })),
            }
        }
        let previous_published_index = self.published_index;
        for entry in self.group.take_committed() {
            out.extend(self.apply(entry));
        }
        let commit_index = self.group.commit_index();
        self.origins.retain(|position, _| position.index > commit_index);
        if self.published_index > previous_published_index {
            let persist_effects = self.group.persist_commit();
            self.convert_effects(persist_effects, &mut out);
        }
        let force_snapshot = std::mem::take(&mut self.applied_large_entry);
        if force_snapshot || self.group.wants_snapshot() {
            // Large entries, such as a complete set, must not stay in memory.
            let trailing = if force_snapshot { 0 } else { TRAILING_ENTRIES };
            let snapshot_effects = self.group.take_snapshot(self.ledger.encode(), trailing);
            self.convert_effects(snapshot_effects, &mut out);
        }
        out
    }

    fn convert_effects(&self, effects: Vec<ConsensusEffect>, out: &mut Vec<NodeEffect>) {
        let group = self.id;
        let from = self.group.me();
        out.extend(effects.into_iter().map(|effect| match effect {
            ConsensusEffect::Send { peer, to, message } => {
                NodeEffect::send(peer, PeerMessage::Consensus { group, from, to, message })
            }
            ConsensusEffect::Persist { ticket, batch } => {
                NodeEffect::Disk(DiskWrite { group, ticket, batch })
            }
            ConsensusEffect::Log(event) => NodeEffect::Log(event),
        }));
    }

    fn apply(&mut self, entry: LogEntry) -> Option<NodeEffect> {
        let index = entry.position.index;
        match entry.payload {
            LogPayload::Noop => None,
            LogPayload::Members(members) => {
                self.ledger.record_members(&members);
                None
            }
            LogPayload::Command { at_ms, command } => {
                let previous_version = self.ledger.version();
                self.applied_large_entry |= is_large(&command);
                let outcome = self.ledger.apply(at_ms, command);
                if self.ledger.version() > previous_version {
                    self.published_index = index;
                }
                let origin = self.origins.remove(&entry.position)?;
                let reply = SubmitReply::Done(outcome);
                let message = PeerMessage::Submitted { id: origin.id, answer: reply };
                Some(NodeEffect::send(origin.peer, message))
            }
        }
    }
}

/// The number of objects from which a publication requires a snapshot.
const LARGE_PUBLICATION_OBJECTS: usize = 10_000;

/// The size in bytes from which a route table requires a snapshot: entries of this size must not
/// accumulate in memory.
const LARGE_TABLE_BYTES: usize = 32 << 10;

fn is_large(command: &LedgerCommand) -> bool {
    match command {
        LedgerCommand::Publish(publish) => {
            publish.delta.as_ref().is_some_and(|delta| delta.len() >= LARGE_PUBLICATION_OBJECTS)
        }
        LedgerCommand::Table(TableCommand::Replace { text, .. }) => text.len() >= LARGE_TABLE_BYTES,
        _ => false,
    }
}

/// The maximum number of errors in the outcome of one publication.
const REPORTED_ERRORS_MAX: usize = 200;

fn truncate_errors(mut errors: Vec<SetError>) -> Vec<SetError> {
    errors.truncate(REPORTED_ERRORS_MAX);
    errors
}
