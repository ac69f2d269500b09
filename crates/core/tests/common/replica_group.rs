//! Simulated group of replicas that keep a list of numbers: links that are reset, cut and reordered,
//! disks that are slow and lose unsynced writes, crashes, pauses and membership changes.

use {
    super::{
        disk::TestDisk,
        replica_log::{command, decode_ledger, encode_ledger, holds, member, peer, position_at},
    },
    hemlockspool_core::{
        clock::Moment,
        consensus::{
            ConsensusEffect, ConsensusGroup, ConsensusMessage, HardState, LogPayload, LogPosition,
            MemberSet, ReplicaId, RestoredLog, SnapshotImage, SnapshotMeta, TRAILING_ENTRIES,
        },
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Duration of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 5;
/// Number of replicas that vote from the start; one more joins as a learner.
const VOTERS: u64 = 5;
/// Sizes of an encoded ledger in bytes: a snapshot takes one message or several.
const LEDGER_BYTES: [usize; 2] = [1_000, 200_000];
/// Bandwidth of a link.
const BYTES_PER_MS: u64 = 8_000;
/// Every so many commands, one requires a snapshot that leaves no entries in the log.
const LARGE_COMMAND_INTERVAL: u64 = 24;
/// Position of the entry that all replicas have at the start.
const ORIGIN: LogPosition = LogPosition { term: 1, index: 1 };
/// Time after which what was committed must be known to a replica that says it is current: the
/// platform's limit for a configuration in force.
const APPLY_TIME_MAX_MS: u64 = 2_500;
/// Time for which a replica says that it is current.
const CURRENT_TTL: Duration = Duration::from_millis(1_000);

/// Rates of injected faults per step, in thousandths.
#[derive(Clone, Copy, Debug)]
pub struct GroupFaults {
    /// Resets of some of a replica's connections.
    pub resets: u32,
    /// Crashes of a replica; it restarts after up to a second.
    pub crashes: u32,
    /// Pauses of a replica, of up to two seconds.
    pub pauses: u32,
    /// Links that lose everything in one direction for up to two seconds.
    pub cuts: u32,
    /// Disks that stall for up to a second.
    pub stalls: u32,
    /// Removals of a replica from the group; it is added again.
    pub removals: u32,
    /// Probability of a message to arrive out of order, in thousandths.
    pub reordered: u32,
}

impl GroupFaults {
    pub const NONE: Self =
        Self { resets: 0, crashes: 0, pauses: 0, cuts: 0, stalls: 0, removals: 0, reordered: 0 };
}

/// Replica with its disk and ledger.
struct GroupReplica {
    /// None while the process is down.
    group: Option<ConsensusGroup>,
    disk: TestDisk,
    /// All writes, synced or not: the log as the process has it.
    memory: RestoredLog,
    ledger: Vec<u64>,
    /// Commit index and voters after the last event.
    checked: (u64, BTreeSet<ReplicaId>),
    down_until_ms: u64,
    paused_until_ms: u64,
    stalled_until_ms: u64,
}

/// Simulated group; its checks run after each event.
pub struct TestGroup {
    replicas: BTreeMap<ReplicaId, GroupReplica>,
    /// Messages on their way between two replicas, with their times of delivery.
    links: BTreeMap<(ReplicaId, ReplicaId), VecDeque<(u64, ConsensusMessage)>>,
    cut_until_ms: BTreeMap<(ReplicaId, ReplicaId), u64>,
    /// One-way delay of all links, in milliseconds.
    delay_ms: u64,
    /// Size of an encoded ledger without its numbers, in bytes.
    ledger_bytes: usize,
    pub faults: GroupFaults,
    random: Pcg32,
    pub now_ms: u64,
    last_number: u64,
    /// Committed positions by index, as first seen on any replica.
    committed: BTreeMap<u64, LogPosition>,
    /// Highest committed index on any replica by time.
    history: VecDeque<(u64, u64)>,
    /// Number of snapshots that were installed.
    pub installed: u64,
}

impl TestGroup {
    pub fn new(seed: u64, faults: GroupFaults) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let voters = (1..=VOTERS).map(ReplicaId);
        let members: MemberSet = voters.map(|id| (id, member(id, true))).collect();
        let delay_ms = [1, 12, 35][random.random_range(0..3)];
        let ledger_bytes = LEDGER_BYTES[random.random_range(0..2)];
        let mut group = Self {
            replicas: BTreeMap::new(),
            links: BTreeMap::new(),
            cut_until_ms: BTreeMap::new(),
            delay_ms,
            ledger_bytes,
            faults,
            random,
            now_ms: 60_000,
            last_number: 0,
            committed: BTreeMap::new(),
            history: VecDeque::new(),
            installed: 0,
        };
        for id in (1..=VOTERS + 1).map(ReplicaId) {
            let mut log = RestoredLog::default();
            if id.0 <= VOTERS {
                let meta = SnapshotMeta { last: ORIGIN, members: members.clone() };
                log.image =
                    SnapshotImage { meta, bytes: encode_ledger(ReplicaId(1), &[], ledger_bytes) };
                log.base = ORIGIN;
                log.hard = HardState { term: 1, voted_for: None, commit: 1 };
            }
            let disk = TestDisk { synced: log, ..TestDisk::default() };
            let replica = GroupReplica {
                group: None,
                memory: disk.synced.clone(),
                disk,
                ledger: Vec::new(),
                checked: (0, BTreeSet::new()),
                down_until_ms: 0,
                paused_until_ms: 0,
                stalled_until_ms: 0,
            };
            group.replicas.insert(id, replica);
            group.start(id);
        }
        group
    }

    fn now(&self) -> Moment {
        Moment(self.now_ms * 1_000)
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }

    fn random_replica(&mut self) -> ReplicaId {
        ReplicaId(self.random.random_range(1..=VOTERS + 1))
    }

    fn start(&mut self, id: ReplicaId) {
        let (now, seed) = (self.now(), self.random.random());
        let replica = self.replicas.get_mut(&id).unwrap();
        let log = replica.disk.synced.clone();
        replica.memory = log.clone();
        replica.ledger = match log.image.bytes.is_empty() {
            true => Vec::new(),
            false => decode_ledger(&log.image.bytes),
        };
        replica.group = Some(ConsensusGroup::restore(id, log, now, Pcg32::seed_from_u64(seed)));
        self.process(id, Vec::new());
    }

    /// Crashes a replica; some of its unsynced writes, the oldest ones, are on the disk.
    fn crash(&mut self, id: ReplicaId) {
        let down_ms = self.random.random_range(0..1_000);
        let pending = self.replicas[&id].disk.unsynced.len();
        let survivors = self.random.random_range(0..=pending);
        let replica = self.replicas.get_mut(&id).unwrap();
        replica.group = None;
        replica.disk.sync(survivors);
        replica.disk.unsynced.clear();
        replica.down_until_ms = self.now_ms + down_ms;
        self.links.retain(|(from, to), _| *from != id && *to != id);
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let groups = self.replicas.iter().filter_map(|(id, replica)| {
            replica
                .group
                .as_ref()
                .filter(|group| group.is_leader())
                .map(|group| (group.term(), *id))
        });
        groups.max().map(|(_, id)| id)
    }

    /// Proposes the next number at the leader, if there is one.
    pub fn propose(&mut self) {
        let Some(id) = self.leader() else { return };
        self.last_number += 1;
        let (number, now) = (self.last_number, self.now());
        self.call(id, |group| {
            group.propose(command(number), now);
            group.take_effects()
        });
    }

    fn call<F>(&mut self, id: ReplicaId, function: F)
    where
        F: FnOnce(&mut ConsensusGroup) -> Vec<ConsensusEffect>,
    {
        let Some(group) = &mut self.replicas.get_mut(&id).unwrap().group else { return };
        let effects = function(group);
        self.process(id, effects);
    }

    /// Carries out effects, applies what is committed, and checks the invariants.
    fn process(&mut self, id: ReplicaId, effects: Vec<ConsensusEffect>) {
        self.perform(id, effects);
        let replica = self.replicas.get_mut(&id).unwrap();
        let group = replica.group.as_mut().unwrap();
        if let Some(received) = group.take_received_snapshot() {
            replica.ledger = decode_ledger(&received.image.bytes);
            let effects = group.install_snapshot(received);
            self.installed += 1;
            self.perform(id, effects);
        }
        let replica = self.replicas.get_mut(&id).unwrap();
        let group = replica.group.as_mut().unwrap();
        let mut is_large = false;
        for entry in group.take_committed() {
            let first_seen = self.committed.entry(entry.position.index).or_insert(entry.position);
            assert_eq!(*first_seen, entry.position, "{id} applies another entry");
            if let LogPayload::Command { at_ms: number, .. } = entry.payload {
                replica.ledger.push(number);
                is_large |= number % LARGE_COMMAND_INTERVAL == 0;
            }
        }
        if is_large || group.wants_snapshot() {
            let trailing = if is_large { 0 } else { TRAILING_ENTRIES };
            let bytes = encode_ledger(id, &replica.ledger, self.ledger_bytes);
            let effects = group.take_snapshot(bytes, trailing);
            self.perform(id, effects);
        }
        self.check(id);
    }

    fn perform(&mut self, id: ReplicaId, effects: Vec<ConsensusEffect>) {
        for effect in effects {
            match effect {
                ConsensusEffect::Send { to, message, .. } => self.send(id, to, message),
                ConsensusEffect::Persist { ticket, batch } => {
                    let replica = self.replicas.get_mut(&id).unwrap();
                    TestDisk::apply_batch(&mut replica.memory, &batch);
                    replica.disk.unsynced.push_back((ticket, batch));
                }
                ConsensusEffect::Log(_) => {}
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: ConsensusMessage) {
        if self.cut_until_ms.get(&(from, to)).is_some_and(|until_ms| self.now_ms < *until_ms) {
            return;
        }
        let bytes = match &message {
            ConsensusMessage::SnapshotChunk { data, .. } => data.len() as u64,
            _ => 0,
        };
        let mut due_ms = self.now_ms + self.delay_ms + bytes / BYTES_PER_MS;
        let is_reordered = self.chance(self.faults.reordered);
        if is_reordered {
            due_ms += self.random.random_range(0..300);
        }
        let link = self.links.entry((from, to)).or_default();
        if !is_reordered && let Some((last_ms, _)) = link.back() {
            due_ms = due_ms.max(*last_ms);
        }
        link.push_back((due_ms, message));
        link.make_contiguous().sort_by_key(|(due_ms, _)| *due_ms);
    }

    /// Advances the clock by one step: injects faults, syncs disks, delivers messages and passes
    /// ticks.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_faults();
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for id in &ids {
            self.run(*id);
        }
        let highest = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        self.history.push_back((self.now_ms, highest));
        self.check_current();
    }

    /// Runs one replica for a step, unless it is down or paused.
    fn run(&mut self, id: ReplicaId) {
        let (now_ms, now) = (self.now_ms, self.now());
        let replica = &self.replicas[&id];
        if replica.group.is_none() {
            if replica.down_until_ms > now_ms {
                return;
            }
            self.start(id);
        }
        if self.replicas[&id].paused_until_ms > now_ms {
            return;
        }
        let pending = self.replicas[&id].disk.unsynced.len();
        let is_stalled = self.replicas[&id].stalled_until_ms > now_ms;
        let count = if is_stalled { 0 } else { self.random.random_range(0..=pending) };
        if let Some(ticket) = self.replicas.get_mut(&id).unwrap().disk.sync(count) {
            self.call(id, |group| group.persisted(ticket, now));
        }
        let senders: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for from in senders {
            while let Some(message) = self.take_due(from, id) {
                self.call(id, |group| group.receive(from, peer(from), message, now));
            }
        }
        self.call(id, |group| group.tick(now));
    }

    fn take_due(&mut self, from: ReplicaId, to: ReplicaId) -> Option<ConsensusMessage> {
        let link = self.links.get_mut(&(from, to))?;
        let is_due = link.front().is_some_and(|(due_ms, _)| *due_ms <= self.now_ms);
        if is_due { link.pop_front().map(|(_, message)| message) } else { None }
    }

    fn inject_faults(&mut self) {
        let (now_ms, faults) = (self.now_ms, self.faults);
        let id = self.random_replica();
        if self.chance(faults.resets) {
            // The connections by which a replica is reached, those by which it reaches others, or
            // one of them.
            let other = self.random_replica();
            let kind = self.random.random_range(0..3);
            self.links.retain(|(from, to), _| match kind {
                0 => *to != id,
                1 => *from != id,
                _ => (*from, *to) != (id, other),
            });
        }
        if self.chance(faults.crashes) && self.replicas[&id].group.is_some() {
            self.crash(id);
        }
        if self.chance(faults.pauses) {
            let pause_ms = self.random.random_range(0..2_000);
            self.replicas.get_mut(&id).unwrap().paused_until_ms = now_ms + pause_ms;
        }
        if self.chance(faults.stalls) {
            let stall_ms = self.random.random_range(0..1_000);
            self.replicas.get_mut(&id).unwrap().stalled_until_ms = now_ms + stall_ms;
        }
        if self.chance(faults.cuts) {
            let (other, cut_ms) = (self.random_replica(), self.random.random_range(0..2_000));
            self.cut_until_ms.insert((id, other), now_ms + cut_ms);
        }
        self.change_members(id);
    }

    /// Adds the replicas that aren't members, or removes one.
    fn change_members(&mut self, id: ReplicaId) {
        let (now, removes) = (self.now(), self.faults.removals);
        let removes = self.chance(removes);
        let adds = self.chance(100);
        let Some(leader) = self.leader() else { return };
        self.call(leader, |group| {
            // A refusal is one of the group's rules for changes.
            if removes && group.members().len() as u64 > VOTERS {
                let _ = group.remove(&member(id, true).name, now);
            } else if adds && !group.members().contains_key(&id) {
                let _ = group.add_learner(id, member(id, false), now);
            }
            group.take_effects()
        });
    }

    /// Returns one line for each running replica, for the messages of failed checks.
    pub fn describe(&self) -> String {
        let groups = self.replicas.values().filter_map(|replica| replica.group.as_ref());
        let describe = |group: &ConsensusGroup| {
            let members = group.members().iter();
            let members = members.map(|(id, member)| (id.0, member.voter, group.match_index(*id)));
            format!(
                "n{} {} term {} commit {} last {:?} members {:?}\n",
                group.me().0,
                group.role_name(),
                group.term(),
                group.commit_index(),
                group.last_position(),
                members.collect::<Vec<_>>(),
            )
        };
        groups.map(describe).collect()
    }

    /// Ends all faults and runs until all replicas are members, have committed a new number and have
    /// the same ledger; returns whether that happens within a time.
    pub fn converges(&mut self, within_ms: u64) -> bool {
        self.faults = GroupFaults::NONE;
        self.cut_until_ms.clear();
        let end_ms = self.now_ms + within_ms;
        let mut proposed = None;
        while self.now_ms < end_ms {
            self.step();
            if self.leader().is_none() {
                continue;
            }
            if proposed.is_none_or(|at_ms| self.now_ms - at_ms > 500) {
                self.propose();
                proposed = Some(self.now_ms);
            }
            let last = self.last_number;
            let is_done = |replica: &GroupReplica| replica.ledger.last() == Some(&last);
            if self.replicas.values().all(is_done) {
                return true;
            }
        }
        false
    }

    /// Checks what a replica claims of itself and, as a leader, of others: entries that it counts as
    /// stored on another replica are on that disk, and a quorum has what it has committed.
    fn check(&mut self, id: ReplicaId) {
        let replica = &self.replicas[&id];
        let group = replica.group.as_ref().unwrap();
        let commit = group.commit_index();
        let voters: BTreeSet<ReplicaId> =
            group.members().iter().filter(|(_, member)| member.voter).map(|(id, _)| *id).collect();
        let (checked_commit, checked_voters) = replica.checked.clone();
        let on_disk = |other: &ReplicaId, index: u64| {
            let position = position_at(&replica.memory, index);
            position.is_none_or(|position| holds(&self.replicas[other].disk.synced, position))
        };
        let counted = group.members().keys().filter(|_| group.is_leader());
        for other in counted {
            let matched = group.match_index(*other).unwrap_or(0);
            let is_newer = (self.replicas[other].disk.synced.hard.term > group.term())
                || self.replicas[other]
                    .group
                    .as_ref()
                    .is_some_and(|other| other.term() > group.term());
            assert!(
                matched == 0 || is_newer || on_disk(other, matched),
                "at {} ms, leader {id} counts the entries up to {matched} as stored on {other}",
                self.now_ms
            );
        }
        // An event may advance the commit index and then propose other voters.
        let is_stored_by = |voters: &BTreeSet<ReplicaId>| {
            voters.iter().filter(|other| on_disk(other, commit)).count() > voters.len() / 2
        };
        assert!(
            !group.is_leader()
                || commit <= checked_commit
                || is_stored_by(&voters)
                || is_stored_by(&checked_voters),
            "at {} ms, no majority of {voters:?} has the committed entry {commit}",
            self.now_ms
        );
        self.replicas.get_mut(&id).unwrap().checked = (commit, voters);
    }

    /// Checks that replicas that say they are current know what was committed some time ago.
    fn check_current(&mut self) {
        let before_ms = self.now_ms.saturating_sub(APPLY_TIME_MAX_MS);
        while self.history.get(1).is_some_and(|(at_ms, _)| *at_ms <= before_ms) {
            self.history.pop_front();
        }
        let Some((at_ms, known)) = self.history.front().filter(|(at_ms, _)| *at_ms <= before_ms)
        else {
            return;
        };
        for (id, replica) in &self.replicas {
            let Some(group) = &replica.group else { continue };
            let is_running = replica.paused_until_ms <= self.now_ms;
            if is_running && group.is_current(CURRENT_TTL, self.now()) {
                assert!(
                    group.commit_index() >= *known,
                    "{id} says it is current and has {} of {known} entries, committed at {at_ms} ms, at {} ms",
                    group.commit_index(),
                    self.now_ms
                );
            }
        }
    }
}
