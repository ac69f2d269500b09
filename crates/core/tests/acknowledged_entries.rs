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
    std::net::SocketAddr,
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
    let mut effects = group.receive(from, peer(from), message, at(millis));
    let mut sent = Vec::new();
    while !effects.is_empty() {
        for effect in std::mem::take(&mut effects) {
            match effect {
                ConsensusEffect::Send { message, .. } => sent.push(message),
                ConsensusEffect::Persist { ticket, .. } => {
                    effects.extend(group.persisted(ticket, at(millis)));
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
        receive(&mut group, successor, part(0, total), 30);
        let image = group.take_installed_snapshot().expect("the snapshot is complete");
        assert_eq!(image.bytes, vec![1; total as usize]);
    }
}
