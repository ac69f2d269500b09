/*!
The state of one group at one replica.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            durability::DeferredAction,
            log_buffer::LogBuffer,
            snapshot::IncomingSnapshot,
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

/// When a replica that starts early first asks whether it could win: almost at once, since whoever
/// hears a leader refuses.
const FIRST_PRE_VOTE_DELAY_MIN: Duration = Duration::from_millis(20);
/// The random part added to [`FIRST_PRE_VOTE_DELAY_MIN`]: several far round trips, so that of replicas that start
/// together mostly one is ahead.
const FIRST_PRE_VOTE_DELAY_JITTER: Duration = Duration::from_millis(400);
/// How long it waits after a trial until it has heard a leader: an election at far replicas. What it
/// asked of those that were still down is lost.
const RETRY_PRE_VOTE_DELAY_MIN: Duration = Duration::from_millis(150);
/// The random part added to [`RETRY_PRE_VOTE_DELAY_MIN`].
const RETRY_PRE_VOTE_DELAY_JITTER: Duration = Duration::from_millis(200);
/// Replicas outside of the known sets that are remembered.
const CONTACTS_MAX: usize = 32;

/// What a group wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConsensusEffect {
    /// Send a message to a replica.
    Send {
        /// Where its instance listens.
        peer: SocketAddr,
        /// The life of the data folder that is meant.
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Write and sync, then hand the ticket back; tickets are written in order.
    Persist {
        /// Names this write.
        ticket: u64,
        /// What to write.
        batch: PersistBatch,
    },
    /// Tell the operator.
    Note(LogEvent),
}

/// What was found on disk.
#[derive(Clone, Debug, Default)]
pub struct RestoredLog {
    /// The term and vote.
    pub hard: HardState,
    /// The snapshot; empty before the first.
    pub image: SnapshotImage,
    /// The position before the first entry.
    pub base: LogPosition,
    /// Entries in order.
    pub entries: Vec<LogEntry>,
}

/// What a replica does in its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReplicaRole {
    Follower,
    /// Asks whether an election could be won.
    PreCandidate {
        votes: BTreeSet<ReplicaId>,
    },
    Candidate {
        votes: BTreeSet<ReplicaId>,
    },
    Leader,
}

/// What a leader knows of another replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerProgress {
    pub next_index: u64,
    pub match_index: u64,
    /// The latest clock value that came back.
    pub echo: Option<Moment>,
    /// Bytes of the snapshot that arrived, while one is being sent.
    pub snapshot_received: Option<u64>,
    pub snapshot_sent_at: Option<Moment>,
}

/// One group at one replica.
#[derive(Clone, Debug)]
pub struct ConsensusGroup {
    pub(crate) me: ReplicaId,
    pub(crate) hard: HardState,
    pub(crate) log: LogBuffer,
    pub(crate) image: SnapshotImage,
    /// Every set of replicas in the part of the log held, with its index.
    pub(crate) member_log: Vec<(u64, MemberSet)>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(super) persisted_commit: u64,
    pub(crate) durable_index: u64,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) progress: BTreeMap<ReplicaId, PeerProgress>,
    pub(crate) leader_heard: Moment,
    /// Whether it started early and has heard no leader since.
    pub(crate) awaiting_first_leader: bool,
    pub(crate) election_due: Moment,
    pub(crate) heartbeat_due: Moment,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) installed: Option<SnapshotImage>,
    pub(crate) effects: Vec<ConsensusEffect>,
    pub(crate) random: Pcg32,
    /// Whether learners that have caught up get a vote without being told to.
    pub(crate) auto_promote: bool,
    /// Where messages came from, for replicas that no known set has.
    contacts: BTreeMap<ReplicaId, SocketAddr>,
    pub(super) deferred: VecDeque<(u64, DeferredAction)>,
    pub(super) ticket: u64,
    pub(super) ticket_done: u64,
}

impl ConsensusGroup {
    /// Makes a group from what was found on disk.
    ///
    /// The restart counts as hearing from a leader: a replica that may have helped a leader's
    /// lease just before it stopped must not vote until that lease has run out.
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
        let commit =
            restored.hard.commit.clamp(applied_index, log.last_position().index.max(applied_index));
        let durable = log.last_position().index;
        let mut group = Self {
            me,
            hard: restored.hard,
            log,
            image: restored.image,
            member_log,
            commit_index: commit,
            applied_index,
            persisted_commit: commit,
            durable_index: durable,
            role: ReplicaRole::Follower,
            leader: None,
            progress: BTreeMap::new(),
            leader_heard: now,
            awaiting_first_leader: false,
            election_due: now,
            heartbeat_due: now,
            incoming: None,
            installed: None,
            effects: Vec::new(),
            random,
            auto_promote: true,
            contacts: BTreeMap::new(),
            deferred: VecDeque::new(),
            ticket: 0,
            ticket_done: 0,
        };
        group.postpone_election(now);
        group
    }

    /// Tells whether this replica belongs to no deployment yet.
    pub fn is_blank(&self) -> bool {
        self.log.last_position().index == 0 && self.members().is_empty()
    }

    /// Tells whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.role == ReplicaRole::Leader
    }

    /// Returns the latest set of replicas, committed or not.
    pub fn members(&self) -> &MemberSet {
        &self.member_log.last().expect("the snapshot's set is always there").1
    }

    /// Returns this replica's id.
    pub fn me(&self) -> ReplicaId {
        self.me
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the last committed index.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the last index on this replica's disk.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Returns the last position of the log.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// Returns the leader as far as known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the instance that leads, as far as known.
    pub fn leader_name(&self) -> Option<&InstanceName> {
        let member = self.members().get(&self.leader?)?;
        Some(&member.name)
    }

    /// Returns where the leader listens, as far as known.
    pub fn leader_peer(&self) -> Option<SocketAddr> {
        Some(self.members().get(&self.leader?)?.peer)
    }

    /// Returns the word for this replica's part, for status pages.
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

    /// Returns the last index that a replica has on disk, as the leader knows.
    pub fn match_index(&self, id: ReplicaId) -> Option<u64> {
        if id == self.me {
            return Some(self.durable_index);
        }
        self.progress.get(&id).map(|progress| progress.match_index)
    }

    /// Returns the moment at which a quorum last stood by this leader; none when it doesn't lead.
    pub fn quorum_contact(&self, now: Moment) -> Option<Moment> {
        if !self.is_leader() {
            return None;
        }
        let echo_of = |id: &ReplicaId| {
            if *id == self.me {
                return now;
            }
            self.progress.get(id).and_then(|progress| progress.echo).unwrap_or_default()
        };
        let mut echoes: Vec<Moment> = self.voters().map(|id| echo_of(&id)).collect();
        echoes.sort_unstable();
        let place = echoes.len().checked_sub(self.quorum())?;
        Some(echoes[place])
    }

    /// Returns when a quorum confirmed what this replica holds: for a leader with its lease, the
    /// quorum's latest answer.
    pub fn confirmed_at(&self, now: Moment) -> Option<Moment> {
        let contact = self.quorum_contact(now)?;
        let own_term_committed = self.log.term_at(self.commit_index) == Some(self.hard.term);
        let leased = now.since(contact) < LEADER_LEASE;
        (own_term_committed && leased && contact > Moment(0)).then_some(contact)
    }

    /// Tells whether this replica leads with a quorum, or has heard from its leader, within a time.
    pub fn is_current(&self, within: Duration, now: Moment) -> bool {
        if self.is_leader() {
            let own_term = self.log.term_at(self.commit_index) == Some(self.hard.term);
            let contact = self.quorum_contact(now).unwrap_or_default();
            return own_term && contact > Moment(0) && now.since(contact) < within;
        }
        self.leader.is_some() && now.since(self.leader_heard) < within
    }

    /// Lets a replica that has just started take part in an election soon. Only for groups in which
    /// nothing is read by a leader's lease: there, nobody relies on its having heard from a leader.
    pub fn allow_early_election(&mut self, now: Moment) {
        self.leader_heard = Moment(0);
        self.awaiting_first_leader = true;
        let extra = self.random.random_range(0..FIRST_PRE_VOTE_DELAY_JITTER.as_micros() as u64);
        self.election_due = now.after(FIRST_PRE_VOTE_DELAY_MIN + Duration::from_micros(extra));
    }

    /// Moves time on: elections, heartbeats, and stepping down without a quorum.
    pub fn tick(&mut self, now: Moment) -> Vec<ConsensusEffect> {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_due {
            self.start_pre_vote(now, false);
        }
        self.take_effects()
    }

    /// Takes in a message from another replica, and where its instance listens.
    pub fn receive(
        &mut self,
        from: ReplicaId,
        peer: SocketAddr,
        message: ConsensusMessage,
        now: Moment,
    ) -> Vec<ConsensusEffect> {
        use ConsensusMessage as M;
        self.contacts.insert(from, peer);
        while self.contacts.len() > CONTACTS_MAX {
            self.contacts.pop_first();
        }
        match message {
            M::VoteRequest { term, last, trial, handover } => {
                self.on_vote_request(from, term, last, trial, handover, now);
            }
            M::VoteReply { term, granted, trial } => {
                self.on_vote_reply(from, term, granted, trial, now);
            }
            M::Append { term, previous, entries, commit, sent_at } => {
                self.on_append(from, term, previous, entries, commit, sent_at, now);
            }
            M::AppendReply { term, matched, hint, echo } => {
                self.on_append_reply(from, term, matched, hint, echo, now);
            }
            M::SnapshotChunk { term, meta, offset, total, data, sent_at } => {
                if self.follow(from, term, now) {
                    self.on_snapshot_chunk(from, meta, offset, total, data, sent_at);
                }
            }
            M::SnapshotReply { term, last_index, received, echo } => {
                self.on_snapshot_reply(from, term, last_index, received, echo, now);
            }
            M::Handover { term } => {
                if term == self.hard.term && self.is_voter(self.me) {
                    self.start_pre_vote(now, true);
                }
            }
        }
        self.take_effects()
    }

    /// Adds an entry as leader, and returns its place; none when this replica doesn't lead.
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

    /// Returns the committed entries that weren't taken before, in order.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let most = self.commit_index.saturating_sub(self.applied_index) as usize;
        let entries = self.log.slice(self.applied_index + 1, most);
        self.applied_index += entries.len() as u64;
        entries
    }

    /// Returns a snapshot that a leader sent and that replaces the ledger.
    pub fn take_installed(&mut self) -> Option<SnapshotImage> {
        self.installed.take()
    }

    /// Returns the effects that have come up.
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

    pub(crate) fn postpone_election(&mut self, now: Moment) {
        let (least, spread) = if self.awaiting_first_leader {
            (RETRY_PRE_VOTE_DELAY_MIN, RETRY_PRE_VOTE_DELAY_JITTER)
        } else {
            (ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_JITTER)
        };
        let extra = Duration::from_micros(self.random.random_range(0..spread.as_micros() as u64));
        self.election_due = now.after(least + extra);
    }

    pub(crate) fn note(&mut self, note: LogEvent) {
        self.effects.push(ConsensusEffect::Note(note));
    }

    /// Adds entries to the log in memory and keeps track of the replicas.
    pub(crate) fn append_local(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            if let LogPayload::Members(members) = &entry.payload {
                self.member_log.push((entry.position.index, members.clone()));
            }
            self.log.push(entry);
        }
    }

    pub(crate) fn truncate_local(&mut self, index: u64) {
        self.log.truncate_after(index);
        self.member_log.retain(|(at, _)| *at <= index);
        self.durable_index = self.durable_index.min(index);
        for (_, action) in &mut self.deferred {
            if let DeferredAction::Durable { index: wanted } = action {
                *wanted = (*wanted).min(index);
            }
        }
    }

    /// Sends at once: only for what promises nothing about this replica's disk.
    pub(crate) fn send_now(&mut self, to: ReplicaId, message: ConsensusMessage) {
        let Some(peer) = self.peer_of(to) else { return };
        self.effects.push(ConsensusEffect::Send { peer, to, message });
    }

    pub(super) fn peer_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let member = self.members().get(&id).map(|member| member.peer);
        member.or_else(|| self.contacts.get(&id).copied())
    }

    fn tick_leader(&mut self, now: Moment) {
        let contact = self.quorum_contact(now).unwrap_or_default();
        if now.since(contact) > ELECTION_TIMEOUT_MIN
            && now.since(self.leader_heard) > ELECTION_TIMEOUT_MIN
        {
            self.note(LogEvent::LeadershipLost { term: self.hard.term });
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
    /// Tells whether the snapshot stands for anything.
    pub fn is_empty(&self) -> bool {
        self.last.index == 0
    }
}
