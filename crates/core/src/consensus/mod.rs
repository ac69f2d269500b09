/*!
The replicated log: terms, votes, a quorum, and changes of the replicas.

A [`ConsensusGroup`] takes messages and ticks and returns effects as data. Writing is asynchronous:
a [`ConsensusEffect::Persist`] carries a ticket, and whatever promises something on the strength of
that write (a vote, an acknowledgement, the leader counting itself) waits until the ticket comes
back through [`ConsensusGroup::persisted`]. The shell writes tickets in order and syncs before it
hands them back; a crash in between loses only what nobody was promised.

* [`types`] has what is stored and sent.
* [`log_buffer`] is the part of the log held in memory.
* [`group`] is the state; `durability` makes promises wait for the disk.
* `election`, `replication`, `snapshot` and `members` hold one job each.
*/

mod durability;
mod election;
pub mod group;
pub mod log_buffer;
mod members;
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
