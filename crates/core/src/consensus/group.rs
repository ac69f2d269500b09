/*!
The state of one group on one replica.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            durability::DeferredAction,
            log_buffer::LogBuffer,
            progress::PeerProgress,
            snapshot::{IncomingSnapshot, ReceivedSnapshot},
            types::{
                ConsensusMessage, ELECTION_TIMEOUT_JITTER, ELECTION_TIMEOUT_MIN,
                HEARTBEAT_INTERVAL, HardState, LEADER_LEASE, LogEntry, LogPayload, LogPosition,
                MemberSet, PersistBatch, ReplicaId, SnapshotImage, SnapshotMeta,
            },
        },
        log_events::LogEvent,
    },
    hemlockspool_model::names::InstanceName,
    rand::Rng,
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// The shortest delay before the first pre-vote of an early election. It can be short because
/// replicas that are in contact with a leader refuse.
const FIRST_PRE_VOTE_DELAY_MIN: Duration = Duration::from_millis(20);
/// The largest random delay added to [`FIRST_PRE_VOTE_DELAY_MIN`]. It covers several round trips
/// between distant replicas, so that of replicas that start together usually one is ahead.
const FIRST_PRE_VOTE_DELAY_JITTER: Duration = Duration::from_millis(400);
/// The shortest delay between pre-votes until the replica has contact with a leader: the duration
/// of an election among distant replicas. Requests to replicas that were still down are lost and
/// must be retried.
const RETRY_PRE_VOTE_DELAY_MIN: Duration = Duration::from_millis(150);
/// The largest random delay added to [`RETRY_PRE_VOTE_DELAY_MIN`].
const RETRY_PRE_VOTE_DELAY_JITTER: Duration = Duration::from_millis(200);
/// The maximum number of senders whose addresses are kept for replies.
const SENDER_ADDRESSES_MAX: usize = 32;

/// An effect that a group requests from the shell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConsensusEffect {
    /// Sends a message to another replica.
    Send {
        /// The address on which its instance listens.
        peer: SocketAddr,
        /// The incarnation of the data folder that the message is for.
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Writes and syncs a batch, then confirms its ticket or a later one. Batches are written in
    /// the order of their tickets.
    Persist {
        /// Identifies this write.
        ticket: u64,
        /// The data to write.
        batch: PersistBatch,
    },
    /// Writes an event to the log.
    Log(LogEvent),
}

/// The state of a replica that was read from disk at the start of the process.
#[derive(Clone, Debug, Default)]
pub struct RestoredLog {
    /// The term, vote and commit index.
    pub hard: HardState,
    /// The snapshot; empty before the first one.
    pub image: SnapshotImage,
    /// The position before the first entry.
    pub base: LogPosition,
    /// The entries in log order.
    pub entries: Vec<LogEntry>,
}

/// The role of a replica in its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReplicaRole {
    Follower,
    /// Runs a pre-vote.
    PreCandidate {
        votes: BTreeSet<ReplicaId>,
    },
    Candidate {
        votes: BTreeSet<ReplicaId>,
    },
    Leader,
}

/// One group on one replica.
#[derive(Clone, Debug)]
pub struct ConsensusGroup {
    pub(crate) me: ReplicaId,
    pub(crate) hard: HardState,
    pub(crate) log: LogBuffer,
    pub(crate) image: SnapshotImage,
    /// The member set at the last entry of the snapshot and those of later entries, each with its
    /// index and in this order. After a restart, sets of retained entries that the snapshot
    /// includes come first.
    pub(crate) member_log: Vec<(u64, MemberSet)>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(super) persisted_commit: u64,
    pub(crate) durable_index: u64,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) progress: BTreeMap<ReplicaId, PeerProgress>,
    pub(crate) last_leader_contact: Moment,
    /// The time of the last append after which this replica had everything that its leader had
    /// committed.
    pub(crate) caught_up_at: Option<Moment>,
    /// Whether the replica was allowed an early election and has neither led nor had contact with a
    /// leader since.
    pub(crate) awaiting_first_leader: bool,
    pub(crate) election_due: Moment,
    pub(crate) heartbeat_due: Moment,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) received_snapshot: Option<ReceivedSnapshot>,
    pub(crate) effects: Vec<ConsensusEffect>,
    pub(crate) random: Pcg32,
    /// Whether learners that have caught up are promoted to voters automatically.
    pub(crate) auto_promote: bool,
    /// Addresses of senders, for replies to replicas that aren't in the latest member set.
    sender_addresses: BTreeMap<ReplicaId, SocketAddr>,
    pub(super) deferred: VecDeque<(u64, DeferredAction)>,
    pub(super) last_ticket: u64,
    pub(super) persisted_ticket: u64,
}

impl ConsensusGroup {
    /// Restores a group from the state read from disk.
    ///
    /// The restart counts as contact with a leader: a replica that may have confirmed a leader's
    /// lease just before it stopped must not vote until that lease has expired.
    pub fn restore(me: ReplicaId, restored: RestoredLog, now: Moment, random: Pcg32) -> Self {
        let mut member_log =
            vec![(restored.image.meta.last.index, restored.image.meta.members.clone())];
        for entry in &restored.entries {
            if let LogPayload::Members(members) = &entry.payload {
                member_log.push((entry.position.index, members.clone()));
            }
        }
        member_log.sort_by_key(|(index, _)| *index);
        let applied_index = restored.image.meta.last.index;
        let log = LogBuffer::new(restored.base, restored.entries);
        let commit_index =
            restored.hard.commit.clamp(applied_index, log.last_position().index.max(applied_index));
        let durable_index = log.last_position().index;
        let mut group = Self {
            me,
            hard: restored.hard,
            log,
            image: restored.image,
            member_log,
            commit_index,
            applied_index,
            persisted_commit: commit_index,
            durable_index,
            role: ReplicaRole::Follower,
            leader: None,
            progress: BTreeMap::new(),
            last_leader_contact: now,
            caught_up_at: None,
            awaiting_first_leader: false,
            election_due: now,
            heartbeat_due: now,
            incoming_snapshot: None,
            received_snapshot: None,
            effects: Vec::new(),
            random,
            auto_promote: true,
            sender_addresses: BTreeMap::new(),
            deferred: VecDeque::new(),
            last_ticket: 0,
            persisted_ticket: 0,
        };
        group.reset_election_timer(now);
        group
    }

    /// Returns whether this replica belongs to no deployment yet.
    pub fn is_blank(&self) -> bool {
        self.log.last_position().index == 0 && self.members().is_empty()
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == ReplicaRole::Leader
    }

    /// Returns the latest member set, committed or not.
    pub fn members(&self) -> &MemberSet {
        &self.member_log.last().expect("the member log is never empty").1
    }

    /// Returns this replica's id.
    pub fn me(&self) -> ReplicaId {
        self.me
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the last entry on this replica's disk.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Returns the last position of the log.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the name of the leader's instance, if known.
    pub fn leader_name(&self) -> Option<&InstanceName> {
        let member = self.members().get(&self.leader?)?;
        Some(&member.name)
    }

    /// Returns the address on which the leader listens for peers, if known.
    pub fn leader_peer(&self) -> Option<SocketAddr> {
        Some(self.members().get(&self.leader?)?.peer)
    }

    /// Returns the name of this replica's role, for status reports.
    pub fn role_name(&self) -> &'static str {
        if self.is_blank() {
            return "blank";
        }
        match self.role {
            ReplicaRole::Leader => "leader",
            ReplicaRole::Candidate { .. } | ReplicaRole::PreCandidate { .. } => "candidate",
            ReplicaRole::Follower if self.is_voter(self.me) => "follower",
            ReplicaRole::Follower => "learner",
        }
    }

    /// Returns the last index that a replica is known to have on disk; only the leader knows it of
    /// other replicas.
    pub fn match_index(&self, id: ReplicaId) -> Option<u64> {
        if id == self.me {
            return Some(self.durable_index);
        }
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Returns the latest time at which a quorum is known to have followed this leader, `Moment(0)`
    /// before a quorum has replied, or `None` if this replica isn't the leader.
    pub fn quorum_contact(&self, now: Moment) -> Option<Moment> {
        if !self.is_leader() {
            return None;
        }
        let last_echo = |id: &ReplicaId| {
            if *id == self.me {
                return now;
            }
            self.progress.get(id).and_then(|progress| progress.echo).unwrap_or_default()
        };
        let mut echoes: Vec<Moment> = self.voters().map(|id| last_echo(&id)).collect();
        echoes.sort_unstable();
        let rank = echoes.len().checked_sub(self.quorum())?;
        Some(echoes[rank])
    }

    /// Returns the time at which a quorum last confirmed the state of this replica, or `None`
    /// unless it leads with a valid lease and has committed an entry of its term.
    pub fn confirmed_at(&self, now: Moment) -> Option<Moment> {
        let contact = self.quorum_contact(now)?;
        let current_term_committed = self.log.term_at(self.commit_index) == Some(self.hard.term);
        let lease_valid = now.since(contact) < LEADER_LEASE;
        (current_term_committed && lease_valid && contact > Moment(0)).then_some(contact)
    }

    /// Returns whether this replica had contact within the given duration: with its leader, or, as
    /// a leader that has committed an entry of its term, with a quorum.
    pub fn has_leader_contact(&self, within: Duration, now: Moment) -> bool {
        if self.is_leader() {
            return self.is_current(within, now);
        }
        self.leader.is_some() && now.since(self.last_leader_contact) < within
    }

    /// Returns whether this replica had all committed entries within the given duration: by its
    /// leader's word, or, as a leader that has committed an entry of its term, by a quorum's.
    pub fn is_current(&self, within: Duration, now: Moment) -> bool {
        if self.is_leader() {
            let in_current_term = self.log.term_at(self.commit_index) == Some(self.hard.term);
            let contact = self.quorum_contact(now).unwrap_or_default();
            return in_current_term && contact > Moment(0) && now.since(contact) < within;
        }
        self.leader.is_some() && self.caught_up_at.is_some_and(|at| now.since(at) < within)
    }

    /// Allows a replica that has just started to take part in an election soon. Only safe for
    /// groups in which no read relies on a leader's lease: otherwise a lease may rest on the
    /// contact that this replica had with a leader before its restart.
    pub fn allow_early_election(&mut self, now: Moment) {
        self.last_leader_contact = Moment(0);
        self.awaiting_first_leader = true;
        let jitter = self.random.random_range(0..FIRST_PRE_VOTE_DELAY_JITTER.as_micros() as u64);
        self.election_due = now.after(FIRST_PRE_VOTE_DELAY_MIN + Duration::from_micros(jitter));
    }

    /// Handles the passage of time: starts elections, sends heartbeats, and steps down without a
    /// quorum.
    pub fn tick(&mut self, now: Moment) -> Vec<ConsensusEffect> {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_due {
            self.start_pre_vote(now, false);
        }
        self.take_effects()
    }

    /// Handles a message from another replica whose instance listens on `peer`.
    pub fn receive(
        &mut self,
        from: ReplicaId,
        peer: SocketAddr,
        message: ConsensusMessage,
        now: Moment,
    ) -> Vec<ConsensusEffect> {
        self.sender_addresses.insert(from, peer);
        while self.sender_addresses.len() > SENDER_ADDRESSES_MAX {
            self.sender_addresses.pop_first();
        }
        match message {
            ConsensusMessage::VoteRequest { term, last, trial: pre_vote, handover: transfer } => {
                self.on_vote_request(from, term, last, pre_vote, transfer, now);
            }
            ConsensusMessage::VoteReply { term, granted, trial: pre_vote } => {
                self.on_vote_reply(from, term, granted, pre_vote, now);
            }
            ConsensusMessage::Append { term, previous, entries, commit, sent_at } => {
                self.on_append(from, term, previous, entries, commit, sent_at, now);
            }
            ConsensusMessage::AppendReply { term, matched, hint, echo } => {
                self.on_append_reply(from, term, matched, hint, echo, now);
            }
            ConsensusMessage::SnapshotChunk { term, meta, offset, total, data, sent_at } => {
                if self.accept_leader(from, term, now) {
                    self.on_snapshot_chunk(from, meta, offset, total, data, sent_at);
                }
            }
            ConsensusMessage::SnapshotReply { term, last_index, received, echo } => {
                self.on_snapshot_reply(from, term, last_index, received, echo, now);
            }
            ConsensusMessage::Handover { term } => {
                if term == self.hard.term && self.is_voter(self.me) {
                    self.start_pre_vote(now, true);
                }
            }
        }
        self.take_effects()
    }

    /// Appends an entry and returns its position, or `None` if this replica isn't the leader.
    pub fn propose(&mut self, payload: LogPayload, now: Moment) -> Option<LogPosition> {
        if !self.is_leader() {
            return None;
        }
        let position =
            LogPosition { term: self.hard.term, index: self.log.last_position().index + 1 };
        let entry = LogEntry { position, payload };
        self.append_local(vec![entry.clone()]);
        self.persist(PersistBatch { entries: vec![entry], ..PersistBatch::default() });
        self.replicate(now);
        Some(position)
    }

    /// Returns the committed entries that aren't applied yet, in log order, and counts them as
    /// applied.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let count = self.commit_index.saturating_sub(self.applied_index) as usize;
        let entries = self.log.slice(self.applied_index + 1, count);
        self.applied_index += entries.len() as u64;
        entries
    }

    /// Returns the entries in the log that aren't applied yet, committed or not.
    pub(crate) fn unapplied_entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.after(self.applied_index)
    }

    /// Takes the pending effects.
    pub fn take_effects(&mut self) -> Vec<ConsensusEffect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members().iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    pub(crate) fn is_voter(&self, id: ReplicaId) -> bool {
        self.members().get(&id).is_some_and(|member| member.voter)
    }

    pub(crate) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    pub(crate) fn is_quorum(&self, ids: &BTreeSet<ReplicaId>) -> bool {
        let count = self.voters().filter(|id| ids.contains(id)).count();
        count > 0 && count >= self.quorum()
    }

    pub(crate) fn reset_election_timer(&mut self, now: Moment) {
        let (min, jitter_max) = if self.awaiting_first_leader {
            (RETRY_PRE_VOTE_DELAY_MIN, RETRY_PRE_VOTE_DELAY_JITTER)
        } else {
            (ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_JITTER)
        };
        let jitter =
            Duration::from_micros(self.random.random_range(0..jitter_max.as_micros() as u64));
        self.election_due = now.after(min + jitter);
    }

    pub(crate) fn log_event(&mut self, event: LogEvent) {
        self.effects.push(ConsensusEffect::Log(event));
    }

    /// Appends entries to the log in memory and records the member sets in them.
    pub(crate) fn append_local(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            if let LogPayload::Members(members) = &entry.payload {
                // What a replica had says nothing about the same one when it is added again.
                self.progress.retain(|id, _| members.contains_key(id));
                self.member_log.push((entry.position.index, members.clone()));
            }
            self.log.push(entry);
        }
    }

    /// Removes the entries after an index from the log in memory, with their member sets. Writes
    /// that are still pending make the log durable up to that index at most.
    pub(crate) fn truncate_local(&mut self, index: u64) {
        self.log.truncate_after(index);
        self.member_log.retain(|(at, _)| *at <= index);
        self.durable_index = self.durable_index.min(index);
        for (_, action) in &mut self.deferred {
            if let DeferredAction::Durable { index: durable_to } = action {
                *durable_to = (*durable_to).min(index);
            }
        }
    }

    /// Sends a message without waiting for the disk; only for messages that don't depend on writes.
    pub(crate) fn send_immediately(&mut self, to: ReplicaId, message: ConsensusMessage) {
        let Some(peer) = self.peer_address(to) else { return };
        self.effects.push(ConsensusEffect::Send { peer, to, message });
    }

    pub(super) fn peer_address(&self, id: ReplicaId) -> Option<SocketAddr> {
        let member = self.members().get(&id).map(|member| member.peer);
        member.or_else(|| self.sender_addresses.get(&id).copied())
    }

    fn tick_leader(&mut self, now: Moment) {
        let contact = self.quorum_contact(now).unwrap_or_default();
        if now.since(contact) > ELECTION_TIMEOUT_MIN
            && now.since(self.last_leader_contact) > ELECTION_TIMEOUT_MIN
        {
            self.log_event(LogEvent::LeadershipLost { term: self.hard.term });
            self.become_follower(None, now);
            return;
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now.after(HEARTBEAT_INTERVAL);
            self.heartbeat(now);
        }
    }
}

impl SnapshotMeta {
    /// Returns whether the snapshot includes no entries.
    pub fn is_empty(&self) -> bool {
        self.last.index == 0
    }
}
