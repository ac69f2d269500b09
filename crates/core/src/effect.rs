/*!
What the reducer wants done.

Effects are data; the shell turns them into deeds. None of them waits: what takes time comes back
as an event.
*/

use {
    crate::{
        consensus::{GroupId, PersistBatch},
        fleet::decision_events::DecisionEvent,
        ledger::TableOutcome,
        log_events::LogEvent,
        requests::{RequestAction, RequestId},
        wire::PeerMessage,
    },
    hemlockspool_model::{
        api::{PublishOutcome, ReplicaResponse},
        names::TargetName,
    },
    std::net::SocketAddr,
};

/// Names an operator's call that waits for its answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReplyTicket(pub u64);

/// The answer to an operator's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorReply {
    /// To a publication.
    Publish(PublishOutcome),
    /// To a change of the replicas.
    Replica(ReplicaResponse),
    /// To an order about the route table or the evacuations.
    Table(TableOutcome),
    /// To a question for the route table: its text, confirmed by a quorum since it was asked.
    TableText(String),
    /// No quorum answered in time; an order may still come into force.
    OutcomeUnknown,
}

/// A write to the log of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DiskWrite {
    /// The group.
    pub group: GroupId,
    /// Comes back once the write is synced.
    pub ticket: u64,
    /// What to write.
    pub batch: PersistBatch,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEffect {
    /// Send a message; it may get lost.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Write to disk, in order.
    Disk(DiskWrite),
    /// Answer an operator.
    Reply {
        /// Whom.
        ticket: ReplyTicket,
        /// What.
        reply: OperatorReply,
    },
    /// Go on with a caller's request.
    Request {
        /// Which.
        id: RequestId,
        /// How.
        action: RequestAction,
    },
    /// Ask a target how it is.
    Probe {
        /// Which.
        target: TargetName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask a target how it is, at a path of its own.
    ProbePath {
        /// Which.
        target: TargetName,
        /// Where it listens.
        address: SocketAddr,
        /// The path.
        path: String,
    },
    /// Read the platform's list of targets.
    ReadInstanceList,
    /// Write a line to the log.
    Log(LogEvent),
    /// Write a line of a fleet's log.
    LogDecision(DecisionEvent),
    /// Another version is in force; what is derived from it must be made anew. The reducer handles
    /// this one itself.
    ConfigChanged,
}

impl NodeEffect {
    pub(crate) fn send(to: SocketAddr, message: PeerMessage) -> Self {
        Self::Send { to, message: Box::new(message) }
    }
}
