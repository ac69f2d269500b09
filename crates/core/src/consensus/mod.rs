/*!
The replicated log: elections, replication, snapshots and membership changes, after Raft.

A [`ConsensusGroup`] processes messages and ticks and returns effects as data. Writes are
asynchronous: a [`ConsensusEffect::Persist`] carries a ticket, and everything that relies on the
write (a vote, an acknowledgement, the leader counting its own log) waits until
[`ConsensusGroup::persisted`] confirms the ticket. The shell writes tickets in order and syncs
before it confirms them, so a crash in between loses nothing that was acknowledged.

* [`types`] defines the stored data and the messages.
* [`log_buffer`] holds the part of the log that is in memory.
* [`group`] holds the state; `durability` defers effects until writes are on disk.
* `election`, `replication`, `snapshot` and `members` each implement one part of the protocol.
*/

mod durability;
mod election;
pub mod group;
pub mod log_buffer;
mod members;
mod progress;
mod replication;
mod snapshot;
pub mod types;

pub use {
    group::{ConsensusEffect, ConsensusGroup, RestoredLog},
    members::MembershipError,
    types::{
        ConsensusMessage, GroupId, HardState, LogEntry, LogPayload, LogPosition, MemberSet,
        PersistBatch, ReplicaId, ReplicaMember, SnapshotImage, SnapshotMeta, TRAILING_ENTRIES,
    },
};
