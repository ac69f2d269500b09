/*!
One group at a node: the replicated log with the ledger that it feeds.
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

/// How often a blank replica asks to be taken in.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// For how long a request to join counts as standing.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(3);

/// Where the answer to a command in the log goes.
#[derive(Clone, Copy, Debug)]
struct SubmitOrigin {
    peer: SocketAddr,
    id: CommandId,
}

/// A replica that asks to be taken in.
#[derive(Clone, Debug)]
struct JoinRequest {
    id: ReplicaId,
    peer: SocketAddr,
    heard: Moment,
}

/// One group at a node.
#[derive(Clone, Debug)]
pub struct ReplicaNode {
    id: GroupId,
    group: ConsensusGroup,
    ledger: LedgerState,
    /// By the place of the entry: another leader may put another command at the same index.
    origins: BTreeMap<LogPosition, SubmitOrigin>,
    join_requests: BTreeMap<InstanceName, JoinRequest>,
    /// The index of the last publication applied.
    published_at: u64,
    /// Whether a command was applied that is worth a snapshot by itself.
    large_applied: bool,
    join_due: Moment,
}

impl ReplicaNode {
    /// Makes a replica from what was found on disk.
    ///
    /// # Errors
    ///
    /// [`LedgerError`] when the snapshot isn't a ledger.
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
            published_at: 0,
            large_applied: false,
            join_due: now,
        };
        for entry in replica.group.take_committed() {
            replica.apply(entry);
        }
        Ok(replica)
    }

    /// Returns the replicated log.
    pub fn group(&self) -> &ConsensusGroup {
        &self.group
    }

    /// Returns the ledger as far as applied.
    pub fn ledger(&self) -> &LedgerState {
        &self.ledger
    }

    /// Returns the version and set that a restart couldn't fall behind; none while the mark of
    /// their commit is under way to disk.
    pub fn durable_config(&self) -> Option<(ConfigVersion, &Arc<ObjectSet>)> {
        let marked = self.published_at <= self.group.persisted_commit();
        let known = !self.group.is_blank();
        (marked && known).then(|| (self.ledger.version(), self.ledger.set()))
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

    /// Hears a replica that asks to be taken in. One that replaces an older life of a known
    /// instance is taken in at once: the older life's disk is gone.
    pub(crate) fn handle_join(
        &mut self,
        id: ReplicaId,
        sender: &PeerSender,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let request = JoinRequest { id, peer: sender.peer, heard: now };
        self.join_requests.insert(sender.name.clone(), request);
        let replaces = self.group.members().values().any(|member| member.name == sender.name);
        if !replaces || self.group.members().contains_key(&id) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        if self.add(&sender.name, now).is_ok() {
            let note = LogEvent::ReplicaReplaced { name: sender.name.clone() };
            effects.push(NodeEffect::Log(note));
        }
        let raised = self.group.take_effects();
        effects.extend(self.process_effects(raised));
        effects
    }

    /// Leaves it to the caller which learners get votes, and reads nothing by a leader's lease.
    pub(crate) fn enter_fleet_mode(&mut self, now: Moment) {
        self.group.auto_promote = false;
        self.group.allow_early_election(now);
    }

    /// Starts a deployment whose first voters are known beforehand.
    pub(crate) fn bootstrap(&mut self, members: MemberSet, now: Moment) -> Vec<NodeEffect> {
        // A replica that belongs to a deployment already goes on with it.
        let _ = self.group.bootstrap(members, now);
        self.drain_effects()
    }

    /// Lets a steward change the replicas.
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

    pub(crate) fn add(&mut self, name: &InstanceName, now: Moment) -> Result<(), MembershipError> {
        if !self.group.is_leader() {
            return Err(MembershipError::NotLeader);
        }
        let request = self
            .join_requests
            .get(name)
            .filter(|request| now.since(request.heard) < JOIN_REQUEST_TTL);
        let Some(request) = request.cloned() else {
            let known = self.group.members().values().any(|member| member.name == *name);
            return if known { Ok(()) } else { Err(MembershipError::NotKnown) };
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

    /// Returns what the last call left to be done.
    pub(crate) fn drain_effects(&mut self) -> Vec<NodeEffect> {
        let effects = self.group.take_effects();
        self.process_effects(effects)
    }

    /// Puts a command into the log, or says who leads.
    pub(crate) fn submit(
        &mut self,
        sender: &PeerSender,
        id: CommandId,
        command: LedgerCommand,
        clock: ClockReading,
    ) -> Vec<NodeEffect> {
        let command = self.checked(command);
        let payload = LogPayload::Command { at_ms: clock.wall_ms, command };
        let Some(position) = self.group.propose(payload, clock.now) else {
            let leader = self.group.leader_peer();
            let answer = SubmitReply::NotLeader { leader };
            let message = PeerMessage::Submitted { id, answer };
            return vec![NodeEffect::send(sender.peer, message)];
        };
        self.origins.insert(position, SubmitOrigin { peer: sender.peer, id });
        self.drain_effects()
    }

    /// Checks the set that a publication would lead to, if its base is what stands.
    fn checked(&self, command: LedgerCommand) -> LedgerCommand {
        let LedgerCommand::Publish(mut publish) = command else {
            return command;
        };
        let current = publish.base == self.ledger.version();
        if let (true, Some(delta)) = (current, &publish.delta) {
            let mut set = ObjectSet::clone(self.ledger.set());
            delta.apply(&mut set);
            publish.faults = first_faults(validation::validate(&set));
        }
        LedgerCommand::Publish(publish)
    }

    fn process_effects(&mut self, effects: Vec<ConsensusEffect>) -> Vec<NodeEffect> {
        let mut out: Vec<NodeEffect> = Vec::new();
        self.translate(effects, &mut out);
        if let Some(image) = self.group.take_installed() {
            // A snapshot that can't be read stops this replica at its old state; it is sent again.
            if let Ok(ledger) = LedgerState::decode(&image.bytes) {
                self.ledger = ledger;
                self.published_at = image.meta.last.index;
            }
        }
        let before = self.published_at;
        for entry in self.group.take_committed() {
            out.extend(self.apply(entry));
        }
        let applied = self.group.commit_index();
        self.origins.retain(|position, _| position.index > applied);
        if self.published_at > before {
            let marks = self.group.persist_commit();
            self.translate(marks, &mut out);
        }
        let large = std::mem::take(&mut self.large_applied);
        if large || self.group.wants_snapshot() {
            // Entries as large as a whole set must not stay in memory.
            let trailing = if large { 0 } else { TRAILING_ENTRIES };
            let snapshot = self.group.take_snapshot(self.ledger.encode(), trailing);
            self.translate(snapshot, &mut out);
        }
        out
    }

    fn translate(&self, effects: Vec<ConsensusEffect>, out: &mut Vec<NodeEffect>) {
        let group = self.id;
        let from = self.group.me();
        out.extend(effects.into_iter().map(|effect| match effect {
            ConsensusEffect::Send { peer, to, message } => {
                NodeEffect::send(peer, PeerMessage::Consensus { group, from, to, message })
            }
            ConsensusEffect::Persist { ticket, batch } => {
                NodeEffect::Disk(DiskWrite { group, ticket, batch })
            }
            ConsensusEffect::Note(note) => NodeEffect::Log(note),
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
                let before = self.ledger.version();
                self.large_applied |= is_large(&command);
                let outcome = self.ledger.apply(at_ms, command);
                if self.ledger.version() > before {
                    self.published_at = index;
                }
                let origin = self.origins.remove(&entry.position)?;
                let answer = SubmitReply::Done(outcome);
                let message = PeerMessage::Submitted { id: origin.id, answer };
                Some(NodeEffect::send(origin.peer, message))
            }
        }
    }
}

/// Objects in a publication from which on it is worth a snapshot by itself.
const LARGE_OBJECTS: usize = 10_000;

/// Bytes of a route table from which on it is worth a snapshot by itself: entries of this size
/// must not pile up in memory.
const LARGE_TABLE_BYTES: usize = 32 << 10;

fn is_large(command: &LedgerCommand) -> bool {
    match command {
        LedgerCommand::Publish(publish) => {
            publish.delta.as_ref().is_some_and(|delta| delta.len() >= LARGE_OBJECTS)
        }
        LedgerCommand::Table(TableCommand::Replace { text, .. }) => text.len() >= LARGE_TABLE_BYTES,
        _ => false,
    }
}

/// Faults carried in one answer.
const FAULTS_MAX: usize = 200;

fn first_faults(mut faults: Vec<SetError>) -> Vec<SetError> {
    faults.truncate(FAULTS_MAX);
    faults
}
