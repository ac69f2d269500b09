//! What a replica answers to appends and snapshots that arrive late, twice or in another order, and
//! what the leader makes of the answers.

use {
    hemlockspool_core::{
        clock::Moment,
        consensus::{
            ConsensusEffect, ConsensusGroup, ConsensusMessage, HardState, LogEntry, LogPayload,
            LogPosition, MemberSet, ReplicaId, ReplicaMember, RestoredLog, SnapshotImage,
            SnapshotMeta,
        },
    },
    rand::SeedableRng,
    rand_pcg::Pcg32,
    std::{net::SocketAddr, time::Duration},
};

const LEADER: ReplicaId = ReplicaId(1);
const FOLLOWER: ReplicaId = ReplicaId(2);
/// Position of the last entry of the snapshot that all replicas start with.
const ORIGIN: LogPosition = LogPosition { term: 1, index: 1 };

fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn peer(id: ReplicaId) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, id.0 as u8], 1))
}

fn members() -> MemberSet {
    let member = |id: ReplicaId| {
        let name = format!("n{}", id.0).as_str().into();
        (id, ReplicaMember { name, peer: peer(id), voter: true })
    };
    (1..=3).map(ReplicaId).map(member).collect()
}

fn entries(term: u64, indexes: std::ops::RangeInclusive<u64>) -> Vec<LogEntry> {
    let entry =
        |index| LogEntry { position: LogPosition { term, index }, payload: LogPayload::Noop };
    indexes.map(entry).collect()
}

/// Returns a replica whose log, after the first snapshot, has the given entries.
fn replica(id: ReplicaId, term: u64, entries: Vec<LogEntry>) -> ConsensusGroup {
    let meta = SnapshotMeta { last: ORIGIN, members: members() };
    let log = RestoredLog {
        hard: HardState { term, voted_for: None, commit: ORIGIN.index },
        image: SnapshotImage { meta, bytes: Vec::new() },
        base: ORIGIN,
        entries,
    };
    ConsensusGroup::restore(id, log, at(0), Pcg32::seed_from_u64(id.0))
}

/// Passes a message to a replica whose disk is immediate, and returns the messages that it sends.
fn receive(
    group: &mut ConsensusGroup,
    from: ReplicaId,
    message: ConsensusMessage,
    millis: u64,
) -> Vec<ConsensusMessage> {
    perform(group, |group| group.receive(from, peer(from), message, at(millis)))
}

/// Calls a replica whose disk is immediate, and returns the messages that it sends.
fn perform<F>(group: &mut ConsensusGroup, function: F) -> Vec<ConsensusMessage>
where
    F: FnOnce(&mut ConsensusGroup) -> Vec<ConsensusEffect>,
{
    let mut effects = function(group);
    if let Some(received) = group.take_received_snapshot() {
        effects.extend(group.install_snapshot(received));
    }
    let mut sent = Vec::new();
    while !effects.is_empty() {
        for effect in std::mem::take(&mut effects) {
            match effect {
                ConsensusEffect::Send { message, .. } => sent.push(message),
                ConsensusEffect::Persist { ticket, .. } => {
                    effects.extend(group.persisted(ticket, at(10_000)));
                }
                ConsensusEffect::Log(_) => {}
            }
        }
    }
    sent
}

fn append(
    term: u64,
    previous: LogPosition,
    entries: Vec<LogEntry>,
    millis: u64,
) -> ConsensusMessage {
    let commit = ORIGIN.index;
    ConsensusMessage::Append { term, previous, entries, commit, sent_at: at(millis) }
}

/// Returns a leader of the second term that has proposed the entries up to the 21st.
fn leader() -> ConsensusGroup {
    let mut group = replica(LEADER, 1, entries(1, 2..=10));
    perform(&mut group, |group| group.tick(at(5_000)));
    for (trial, term) in [(true, 2), (false, 2)] {
        let vote = ConsensusMessage::VoteReply { term, granted: true, trial };
        receive(&mut group, FOLLOWER, vote, 5_010);
    }
    assert!(group.is_leader());
    for _ in 12..=21 {
        perform(&mut group, |group| {
            group.propose(LogPayload::Noop, at(5_020));
            group.take_effects()
        });
    }
    group
}

/// Returns a follower's reply to an append of the leader's second term.
fn reply(matched: Option<u64>, hint: u64, sent_ms: u64) -> ConsensusMessage {
    ConsensusMessage::AppendReply { term: 2, matched, hint, echo: at(sent_ms) }
}

/// Returns the index before the first entry of the last append among messages.
fn last_previous(messages: &[ConsensusMessage]) -> Option<u64> {
    let previous = |message: &ConsensusMessage| match message {
        ConsensusMessage::Append { previous, .. } => Some(previous.index),
        _ => None,
    };
    messages.iter().rev().find_map(previous)
}

/// Returns a part of a snapshot of 10 bytes that the leader of a term sends.
fn chunk(
    term: u64,
    last: LogPosition,
    bytes: std::ops::Range<u64>,
    millis: u64,
) -> ConsensusMessage {
    let meta = SnapshotMeta { last, members: members() };
    let (offset, data) = (bytes.start, vec![0; (bytes.end - bytes.start) as usize]);
    ConsensusMessage::SnapshotChunk { term, meta, offset, total: 10, data, sent_at: at(millis) }
}

/// Returns the index up to which a replica says that its log matches an append without entries.
fn matched_at(
    group: &mut ConsensusGroup,
    term: u64,
    previous: LogPosition,
    millis: u64,
) -> Option<u64> {
    let sent = receive(group, LEADER, append(term, previous, Vec::new(), millis), millis);
    sent.iter().find_map(|message| match message {
        ConsensusMessage::AppendReply { matched, .. } => *matched,
        _ => None,
    })
}

/// Guards against a replica that drops acknowledged entries when a snapshot arrives that includes
/// the ones before them, as after resets of its connections, and then refuses all appends.
#[test]
fn snapshot_keeps_acknowledged_entries() {
    let position = |index| LogPosition { term: 1, index };
    for chunks in [vec![(0, 10)], vec![(0, 4), (4, 10)], vec![(0, 4), (0, 4), (4, 10), (4, 10)]] {
        let mut group = replica(FOLLOWER, 1, Vec::new());
        // The entries up to the 5th are there before the snapshot, the rest comes beside its chunks.
        receive(&mut group, LEADER, append(1, ORIGIN, entries(1, 2..=5), 10), 10);
        let (last, before) = (chunks.len() - 1, position(5));
        for (number, (start, end)) in chunks.into_iter().enumerate() {
            if number == last {
                let rest = append(1, before, entries(1, 6..=20), 30);
                receive(&mut group, LEADER, rest, 30);
            }
            receive(&mut group, LEADER, chunk(1, position(10), start..end, 20), 40);
        }
        assert_eq!(group.commit_index(), 10, "the snapshot's entries are committed");
        assert_eq!(matched_at(&mut group, 1, position(20), 50), Some(20));
    }
}

/// Guards against a snapshot whose entries a replica has, but that is never acknowledged.
#[test]
fn snapshot_of_present_entries_acknowledged() {
    let last = LogPosition { term: 1, index: 10 };
    let mut group = replica(FOLLOWER, 1, entries(1, 2..=20));
    let sent = receive(&mut group, LEADER, chunk(1, last, 0..4, 10), 10);
    let is_whole = |message: &ConsensusMessage| {
        matches!(message, ConsensusMessage::SnapshotReply { last_index: 10, received: 10, .. })
    };
    assert!(sent.iter().any(is_whole), "{sent:?}");
}

/// Guards against entries of an earlier leader that stay after a snapshot that contradicts them, and
/// against a snapshot that a replica with a shorter log doesn't install.
#[test]
fn snapshot_replaces_other_entries() {
    let last = LogPosition { term: 2, index: 10 };
    for stored in [entries(1, 2..=20), entries(1, 2..=10), entries(1, 2..=5)] {
        let mut group = replica(FOLLOWER, 1, stored);
        receive(&mut group, LEADER, chunk(2, last, 0..10, 10), 10);
        assert_eq!(group.last_position(), last);
        assert_eq!(group.commit_index(), 10);
        assert_eq!(matched_at(&mut group, 2, last, 20), Some(10));
        let earlier = LogPosition { term: 1, index: 12 };
        assert_eq!(matched_at(&mut group, 2, earlier, 30), None);
    }
}

/// Guards against a snapshot that is put together from the parts of two leaders, which may encode it
/// differently.
#[test]
fn snapshot_of_one_leader() {
    let last = LogPosition { term: 1, index: 10 };
    for (successor, total) in [(ReplicaId(3), 10), (ReplicaId(3), 8), (LEADER, 10)] {
        let mut group = replica(FOLLOWER, 1, Vec::new());
        receive(&mut group, LEADER, chunk(2, last, 0..6, 10), 10);
        let meta = SnapshotMeta { last, members: members() };
        let part = |offset: u64, end: u64| ConsensusMessage::SnapshotChunk {
            term: 3,
            meta: meta.clone(),
            offset,
            total,
            data: vec![1; (end - offset) as usize],
            sent_at: at(20),
        };
        let sent = receive(&mut group, successor, part(6, total), 20);
        let restarts = |message: &ConsensusMessage| {
            matches!(message, ConsensusMessage::SnapshotReply { received: 0, .. })
        };
        assert!(sent.iter().any(restarts), "{sent:?}");
        assert_eq!(group.commit_index(), ORIGIN.index, "an incomplete snapshot is installed");
        group.receive(successor, peer(successor), part(0, total), at(30));
        let received = group.take_received_snapshot().expect("the snapshot is complete");
        assert_eq!(received.image.bytes, vec![1; total as usize]);
    }
}

/// Guards against a leader that counts entries which a replica has dropped, and never sends them again.
#[test]
fn append_reply_lost_entries() {
    let mut group = leader();
    receive(&mut group, FOLLOWER, reply(Some(21), 21, 5_020), 5_100);
    assert_eq!(group.match_index(FOLLOWER), Some(21));
    let sent = receive(&mut group, FOLLOWER, reply(None, 5, 5_120), 5_200);
    assert_eq!(group.match_index(FOLLOWER), Some(5));
    assert_eq!(last_previous(&sent), Some(5), "{sent:?}");
    // An acknowledgement from before that was late, and one from after that.
    receive(&mut group, FOLLOWER, reply(Some(21), 21, 5_110), 5_210);
    assert_eq!(group.match_index(FOLLOWER), Some(5));
    receive(&mut group, FOLLOWER, reply(Some(21), 21, 5_200), 5_300);
    assert_eq!(group.match_index(FOLLOWER), Some(21));
    assert_eq!(group.commit_index(), 21, "a commit is never taken back");
}

/// Guards against acknowledged entries that are sent again because of a late refusal.
#[test]
fn append_reply_late_refusal() {
    let mut group = leader();
    receive(&mut group, FOLLOWER, reply(Some(21), 21, 5_120), 5_200);
    let sent = receive(&mut group, FOLLOWER, reply(None, 5, 5_110), 5_210);
    assert_eq!((group.match_index(FOLLOWER), sent.len()), (Some(21), 0), "{sent:?}");
}

/// Guards against a leader that counts the entries after a snapshot, which a replica of an earlier
/// build drops when it installs the snapshot.
#[test]
fn snapshot_reply_earlier_build() {
    let mut group = leader();
    receive(&mut group, FOLLOWER, reply(Some(20), 20, 5_020), 5_100);
    group.take_committed();
    let image = vec![0; 10];
    perform(&mut group, |group| group.take_snapshot(image, 0));
    receive(&mut group, FOLLOWER, reply(Some(21), 21, 5_030), 5_110);
    let done =
        ConsensusMessage::SnapshotReply { term: 2, last_index: 20, received: 10, echo: at(5_105) };
    let sent = receive(&mut group, FOLLOWER, done, 5_200);
    assert_eq!(group.match_index(FOLLOWER), Some(20));
    assert_eq!(last_previous(&sent), Some(20), "{sent:?}");
    receive(&mut group, FOLLOWER, reply(Some(21), 21, 5_200), 5_300);
    assert_eq!(group.match_index(FOLLOWER), Some(21));
}

/// Guards against a replica that says it is current, because appends reach it, although it can't
/// follow them: entries of the fleet keep an old configuration with it.
#[test]
fn current_with_committed_entries_only() {
    const TTL: Duration = Duration::from_millis(1_000);
    let position = |index| LogPosition { term: 1, index };
    let append_of = |previous, entries, commit, millis| ConsensusMessage::Append {
        term: 1,
        previous: position(previous),
        entries,
        commit,
        sent_at: at(millis),
    };
    let mut group = replica(FOLLOWER, 1, entries(1, 2..=5));
    for (message, is_current) in [
        // Entries are missing before the append, or after it.
        (append_of(9, entries(1, 10..=10), 9, 10), false),
        (append_of(5, entries(1, 6..=7), 9, 20), false),
        (append_of(7, entries(1, 8..=9), 9, 30), true),
    ] {
        receive(&mut group, LEADER, message, 40);
        assert_eq!(group.is_current(TTL, at(40)), is_current);
        assert!(group.has_leader_contact(TTL, at(40)));
    }
    // Later appends that it can't follow don't make it current again.
    receive(&mut group, LEADER, append_of(20, entries(1, 21..=21), 20, 900), 900);
    assert!(group.is_current(TTL, at(1_000)));
    assert!(!group.is_current(TTL, at(1_100)));
    assert!(group.has_leader_contact(TTL, at(1_100)));
}

/// Guards against a replica that says it is current by a new leader's word, although that leader hasn't
/// learnt yet what its predecessor had committed.
#[test]
fn current_after_leaders_first_commit() {
    const TTL: Duration = Duration::from_millis(1_000);
    let mut group = replica(FOLLOWER, 1, entries(1, 2..=9));
    let append_of = |previous, entries, commit| ConsensusMessage::Append {
        term: 2,
        previous,
        entries,
        commit,
        sent_at: at(10),
    };
    let (last, first) = (LogPosition { term: 1, index: 9 }, LogPosition { term: 2, index: 10 });
    receive(&mut group, LEADER, append_of(last, entries(2, 10..=10), 5), 10);
    assert!(!group.is_current(TTL, at(10)));
    receive(&mut group, LEADER, append_of(first, Vec::new(), 10), 20);
    assert!(group.is_current(TTL, at(20)));
}

/// Guards against a replica that gets a vote again by what it had before it was removed.
#[test]
fn progress_of_removed_replica() {
    let mut group = leader();
    for id in [FOLLOWER, ReplicaId(3)] {
        receive(&mut group, id, reply(Some(21), 21, 5_020), 5_100);
    }
    let member = group.members()[&FOLLOWER].clone();
    group.remove(&member.name, at(5_110)).unwrap();
    receive(&mut group, ReplicaId(3), reply(Some(22), 22, 5_110), 5_200);
    group.add_learner(FOLLOWER, member, at(5_210)).unwrap();
    assert_eq!(group.match_index(FOLLOWER).unwrap_or(0), 0);
}
