/*!
What the replicated log stores and sends.
*/

use {
    crate::{clock::Moment, ledger::LedgerCommand},
    hemlockspool_model::names::InstanceName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration},
};

/// The time between heartbeats of a leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// For how long a replica that hears from a leader helps nobody to depose it.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(800);
/// The random part added to [`ELECTION_TIMEOUT_MIN`] before a replica stands for election.
pub const ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(800);
/// For how long after a quorum answered a leader is sure to be the only one. It is shorter than
/// [`ELECTION_TIMEOUT_MIN`] by a quarter for clocks that run apart.
pub const LEADER_LEASE: Duration = Duration::from_millis(600);
/// Entries sent in one message at most.
pub const APPEND_ENTRIES_MAX: usize = 256;
/// Entries applied between snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 1_024;
/// Entries kept in memory behind a snapshot, for replicas that are a little late.
pub const TRAILING_ENTRIES: u64 = 256;
/// Bytes of a snapshot sent in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 128 << 10;

/// One life of a data folder; a folder made anew gets another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One log among several in a node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GroupId(pub u16);

/// The place of an entry in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LogPosition {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its number, from 1.
    pub index: u64,
}

/// One replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaMember {
    /// The instance that it runs on.
    pub name: InstanceName,
    /// Where the instance listens for peers.
    pub peer: SocketAddr,
    /// Whether its vote counts; a learner only receives.
    pub voter: bool,
}

/// All replicas of a group.
pub type MemberSet = BTreeMap<ReplicaId, ReplicaMember>;

/// What an entry of the log carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// Nothing: a new leader commits what came before with it.
    Noop,
    /// The replicas from here on.
    Members(MemberSet),
    /// A command for the ledger, with the leader's calendar in milliseconds since 1970.
    Command {
        /// When the leader took it in.
        at_ms: u64,
        /// The command.
        command: LedgerCommand,
    },
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Its place.
    pub position: LogPosition,
    /// What it carries.
    pub payload: LogPayload,
}

/// What a replica must never forget besides the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<ReplicaId>,
    /// An index known to be committed; the true one may be higher.
    pub commit: u64,
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that it includes.
    pub last: LogPosition,
    /// The replicas at that entry.
    pub members: MemberSet,
}

/// A snapshot with the ledger's bytes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotImage {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The encoded ledger.
    pub bytes: Vec<u8>,
}

/// One write, in the order of its fields.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PersistBatch {
    /// Replaces all that was stored: the snapshot, and the position before the first entry kept.
    pub reset: Option<(SnapshotImage, LogPosition)>,
    /// The term and vote to store.
    pub hard: Option<HardState>,
    /// Drop all entries after this index.
    pub truncate_after: Option<u64>,
    /// Entries to add.
    pub entries: Vec<LogEntry>,
}

/// A message between replicas of one group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConsensusMessage {
    /// Asks for a vote, or whether one would be given.
    VoteRequest {
        /// The term of the election.
        term: u64,
        /// The end of the asker's log.
        last: LogPosition,
        /// Only asks, and changes nothing at either side.
        trial: bool,
        /// The leader itself wants this election.
        handover: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// The term of the election, or the higher one known.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// Whether this answers a trial.
        trial: bool,
    },
    /// Carries entries, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The position before the first entry.
        previous: LogPosition,
        /// Entries in order.
        entries: Vec<LogEntry>,
        /// The last committed index.
        commit: u64,
        /// The leader's clock, handed back in the reply.
        sent_at: Moment,
    },
    /// Answers an append.
    AppendReply {
        /// The term of the answering replica.
        term: u64,
        /// The last index known to equal the leader's and to be on disk; none when the previous
        /// position isn't in the log.
        matched: Option<u64>,
        /// Where the leader should go on from when nothing matched.
        hint: u64,
        /// The leader's clock as it was sent.
        echo: Moment,
    },
    /// Carries a part of a snapshot.
    SnapshotChunk {
        /// The leader's term.
        term: u64,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// Where the part starts.
        offset: u64,
        /// The size of the whole.
        total: u64,
        /// The part.
        data: Vec<u8>,
        /// The leader's clock, handed back in the reply.
        sent_at: Moment,
    },
    /// Answers a part of a snapshot.
    SnapshotReply {
        /// The term of the answering replica.
        term: u64,
        /// The last index of the snapshot in question.
        last_index: u64,
        /// Bytes received without a gap.
        received: u64,
        /// The leader's clock as it was sent.
        echo: Moment,
    },
    /// Tells a voter to stand for election at once.
    Handover {
        /// The leader's term.
        term: u64,
    },
}
