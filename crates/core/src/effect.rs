/*!
Effects: what the reducer asks the shell to do.

Effects are data; the shell carries them out. The reducer never waits for an effect: a result comes
back as an event.
*/

use {
    crate::{
        consensus::{GroupId, PersistBatch},
        fleet::{
            decision_events::DecisionEvent, link_watch::SilentLink, stored_crashes::StoredCrashes,
        },
        ledger::TableOutcome,
        log_events::LogEvent,
        requests::{RequestAction, RequestId},
        traffic::{link_check::LinkCheck, quarantine::TargetCheck},
        wire::PeerMessage,
    },
    hemlockspool_model::{
        api::{PublishOutcome, ReplicaResponse},
        names::TargetName,
    },
    std::net::SocketAddr,
};

/// Identifies an operator's call that waits for its reply.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReplyTicket(pub u64);

/// The reply to an operator's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorReply {
    /// The outcome of a publication.
    Publish(PublishOutcome),
    /// The outcome of a change of the replicas.
    Replica(ReplicaResponse),
    /// The outcome of a command about the route table or the evacuations.
    Table(TableOutcome),
    /// The text of the route table, confirmed by a quorum after the call arrived; empty before the
    /// first table.
    TableText(String),
    /// No quorum replied in time, in which case a command may still come into force; or a read was
    /// confirmed, but the replica didn't apply the confirmed change in time.
    OutcomeUnknown,
}

/// A write to the log of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DiskWrite {
    /// The group.
    pub group: GroupId,
    /// The ticket of the write. Once the write is synced, the shell reports this ticket or that of
    /// a later write in an event.
    pub ticket: u64,
    /// The data to write.
    pub batch: PersistBatch,
}

/// An action for the shell to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEffect {
    /// Sends a message, which may get lost.
    Send {
        /// The receiver's peer address.
        to: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Writes to disk, in the order of the effects.
    Disk(DiskWrite),
    /// Replies to an operator.
    Reply {
        /// The call to reply to.
        ticket: ReplyTicket,
        /// The reply.
        reply: OperatorReply,
    },
    /// Continues a caller's request.
    Request {
        /// The request.
        id: RequestId,
        /// The next step.
        action: RequestAction,
    },
    /// Probes the load endpoint of a target.
    Probe {
        /// The target.
        target: TargetName,
        /// The target's address.
        address: SocketAddr,
    },
    /// Probes a target at the health path of its service.
    ProbePath {
        /// The target.
        target: TargetName,
        /// The target's address.
        address: SocketAddr,
        /// The health path.
        path: String,
    },
    /// Replaces the stored crashes of a fleet's replica.
    StoreCrashes(StoredCrashes),
    /// Checks whether a target of a fleet still listens.
    CheckTarget(TargetCheck),
    /// Makes an exchange that shows whether the link of a fleet's entry delays packets.
    CheckLink(LinkCheck),
    /// Reads the platform's list of instances. Used only in fleets; elsewhere the shell polls the
    /// list by itself.
    ReadInstanceList,
    /// Logs an event.
    Log(LogEvent),
    /// Writes an event to a fleet's decision log.
    LogDecision(DecisionEvent),
    /// Opens another connection to an instance in place of one that carries nothing.
    ReplaceLink(SilentLink),
    /// Marks a change of the version in force, after which derived state must be rebuilt. The
    /// reducer handles this effect itself.
    ConfigChanged,
}

impl NodeEffect {
    pub(crate) fn send(to: SocketAddr, message: PeerMessage) -> Self {
        Self::Send { to, message: Box::new(message) }
    }
}
