/*!
The types that the replicated log stores and sends, its timeouts, and the limits of its messages and
snapshots.
*/

use {
    crate::{clock::Moment, ledger::LedgerCommand},
    hemlockspool_model::names::InstanceName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration},
};

/// The interval between a leader's heartbeats. When the last entry of the log is committed, the
/// next heartbeat is due immediately, because no append would carry the new commit index.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum election timeout outside an early election.
///
/// Until this time has passed since its last contact with a leader, a replica grants no votes,
/// except for a leadership transfer. A leader counts a replica as responsive for this long after it
/// sent the message that the replica last replied to, and steps down if no quorum has replied for
/// longer.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(800);
/// The largest random delay added to [`ELECTION_TIMEOUT_MIN`] before a replica starts a pre-vote.
pub const ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(800);
/// The duration of a leader's lease, counted from the time at which the leader sent messages that a
/// quorum replied to. No other replica can become leader during the lease, except by a leadership
/// transfer or an early election. A quarter shorter than [`ELECTION_TIMEOUT_MIN`] to allow for
/// clocks that run at different rates.
pub const LEADER_LEASE: Duration = Duration::from_millis(600);
/// The maximum number of entries in one append message.
pub const APPEND_ENTRIES_MAX: usize = 256;
/// The number of entries applied since the last snapshot after which the next one is due; more for
/// a large ledger. A large command makes it due at once.
pub const SNAPSHOT_INTERVAL: u64 = 1_024;
/// The number of entries included in a snapshot that are kept in the log, so that replicas that lag
/// slightly need no snapshot. A snapshot after a large command keeps none.
pub const TRAILING_ENTRIES: u64 = 256;
/// The maximum number of snapshot bytes in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 128 << 10;

/// Identifies one incarnation of a data folder. A folder that is created again gets a new id,
/// except in a replica that bootstraps a fleet: its id is derived from its peer address only.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one of the replicated logs of a node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GroupId(pub u16);

/// The position of an entry in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LogPosition {
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The index of the entry, starting at 1.
    pub index: u64,
}

/// A member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaMember {
    /// The name of the instance that the replica runs on; in a fleet, its peer address.
    pub name: InstanceName,
    /// The address on which the instance listens for peers.
    pub peer: SocketAddr,
    /// Whether the replica votes; a learner only receives entries.
    pub voter: bool,
}

/// The members of a group by replica id.
pub type MemberSet = BTreeMap<ReplicaId, ReplicaMember>;

/// The content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// No content; a new leader commits the entries of earlier terms with it.
    Noop,
    /// The members of the group from this entry on.
    Members(MemberSet),
    /// A command for the ledger, with the wall-clock time of the leader.
    Command {
        /// The time at which the leader accepted the command, in milliseconds since 1970.
        at_ms: u64,
        /// The command.
        command: LedgerCommand,
    },
}

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// The position of the entry.
    pub position: LogPosition,
    /// The content of the entry.
    pub payload: LogPayload,
}

/// The state besides the log that a replica must keep across restarts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The current term. A vote request that is refused because of a live leader doesn't raise it.
    pub term: u64,
    /// The replica that got this replica's vote in that term, if any.
    pub voted_for: Option<ReplicaId>,
    /// An index known to be committed; the actual commit index may be higher.
    pub commit: u64,
}

/// The metadata of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The position of the last entry that the snapshot includes.
    pub last: LogPosition,
    /// The members of the group at that entry.
    pub members: MemberSet,
}

/// A snapshot of the ledger with its position in the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotImage {
    /// The metadata of the snapshot.
    pub meta: SnapshotMeta,
    /// The encoded ledger.
    pub bytes: Vec<u8>,
}

/// One write to disk, carried out in the order of the fields.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PersistBatch {
    /// The snapshot that replaces everything stored, and the position before the first retained
    /// entry.
    pub reset: Option<(SnapshotImage, LogPosition)>,
    /// The hard state to store.
    pub hard: Option<HardState>,
    /// The index after which all entries are removed.
    pub truncate_after: Option<u64>,
    /// The entries to append.
    pub entries: Vec<LogEntry>,
}

/// A message between replicas of one group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConsensusMessage {
    /// Requests a vote, or asks in a pre-vote whether it would be granted.
    VoteRequest {
        /// The term of the election; in a pre-vote, the term that it would have.
        term: u64,
        /// The last position in the log of the candidate.
        last: LogPosition,
        /// Whether this is a pre-vote, which changes neither the term nor the vote of the receiver.
        trial: bool,
        /// Whether the current leader requested this election to transfer its leadership.
        handover: bool,
    },
    /// Replies to a vote request.
    VoteReply {
        /// The term of the election if the vote is granted, otherwise the current term of the
        /// voter.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this replies to a pre-vote.
        trial: bool,
    },
    /// Carries entries, if the leader has any to send; also serves as a heartbeat.
    Append {
        /// The term of the leader.
        term: u64,
        /// The position before the first entry.
        previous: LogPosition,
        /// The entries in log order.
        entries: Vec<LogEntry>,
        /// The commit index of the leader.
        commit: u64,
        /// The leader's monotonic clock when it sent the message; the reply echoes it.
        sent_at: Moment,
    },
    /// Replies to an append.
    AppendReply {
        /// The current term of the replying replica.
        term: u64,
        /// The last index that matches the leader's log and is on disk, or `None` if the previous
        /// position isn't in the log or the leader's term is outdated.
        matched: Option<u64>,
        /// The index after which the leader should continue when nothing matched.
        hint: u64,
        /// The `sent_at` of the message that this replies to.
        echo: Moment,
    },
    /// Carries a chunk of a snapshot.
    SnapshotChunk {
        /// The term of the leader.
        term: u64,
        /// The metadata of the snapshot.
        meta: SnapshotMeta,
        /// The offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// The size of the snapshot, in bytes.
        total: u64,
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The leader's monotonic clock when it sent the message; the reply echoes it.
        sent_at: Moment,
    },
    /// Replies to a chunk of a snapshot.
    SnapshotReply {
        /// The current term of the replying replica.
        term: u64,
        /// The last index that the snapshot includes.
        last_index: u64,
        /// The number of bytes received without a gap; the size of the snapshot if the replica
        /// already has all of its entries.
        received: u64,
        /// The `sent_at` of the message that this replies to.
        echo: Moment,
    },
    /// Tells a voter to start an election immediately, to take over leadership.
    Handover {
        /// The term of the leader.
        term: u64,
    },
}
