/*!
Messages between instances.

Messages are one-way, and may be lost, delayed, duplicated or reordered. Each is sent in an envelope
that contains the format, the deployment and the sender. An instance drops messages of another
deployment or format.
*/

use {
    crate::{
        clock::Moment,
        consensus::{ConsensusMessage, GroupId, ReplicaId},
        fleet::messages::FleetMessage,
        ledger::{LedgerCommand, LedgerOutcome, VersionStep},
    },
    hemlockspool_model::{
        names::{ConfigVersion, InstanceName},
        set::ObjectSet,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// The format version of every message; instances of different formats don't communicate.
pub const WIRE_FORMAT: u16 = 3;

/// The number of zero bytes that are assumed after a message that ends early.
const PADDING_BYTES: usize = 16;

/// A message with its format, deployment and sender.
///
/// Fields may be added to the end of a message without another format: instances without the field
/// ignore it, and it is read from a message without it as zero, empty or none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerEnvelope {
    /// The format version; see [`WIRE_FORMAT`].
    pub format: u16,
    /// The sender's deployment.
    pub deployment: String,
    /// The sender.
    pub sender: PeerSender,
    /// The message.
    pub message: PeerMessage,
}

/// The sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSender {
    /// The instance's name.
    pub name: InstanceName,
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The address on which the instance listens for peers.
    pub peer: SocketAddr,
}

/// Identifies a command among those that one instance submits.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CommandId {
    /// The incarnation of the sender's process. A reply to a command of an earlier incarnation is
    /// ignored.
    pub incarnation: u64,
    /// The number of the command within that incarnation.
    pub number: u64,
}

/// The reply of a replica to a submitted command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitReply {
    /// The command was committed, with this outcome.
    Done(LedgerOutcome),
    /// The replica isn't the leader.
    NotLeader {
        /// The leader's peer address, if known.
        leader: Option<SocketAddr>,
    },
}

/// The version in force at one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionReport {
    /// The entry's name.
    pub name: InstanceName,
    /// The version in force.
    pub version: ConfigVersion,
    /// The age of the report.
    pub age: Duration,
    /// Whether the entry is stopping.
    pub leaving: bool,
}

/// Identifies a heartbeat of one incarnation of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatId {
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The sender's monotonic clock when it sent the heartbeat.
    pub sent_at: Moment,
}

/// A heartbeat between the entries of one failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHeartbeat {
    /// The digest of the members that the sender counts, itself included, or `None` while its
    /// requests in flight exceed its share among them.
    pub counts: Option<u64>,
    /// The identifier of this heartbeat.
    pub mark: HeartbeatId,
    /// The identifier of the latest heartbeat that the sender received from the receiver.
    pub echo: Option<HeartbeatId>,
    /// Whether the sender has a data folder.
    pub replica: bool,
    /// Whether the sender is stopping.
    pub leaving: bool,
}

/// The confirmation state that goes with every reply to a poll and every pushed version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmationStatus {
    /// The time since a quorum confirmed the version that the reply leads to, if one did.
    pub age: Option<Duration>,
    /// The entries that the leader gets no reports of, or that are stopping.
    pub absent: Vec<InstanceName>,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// A message of the consensus protocol between replicas of a group.
    Consensus {
        /// The group.
        group: GroupId,
        /// The incarnation of the sender's data folder.
        from: ReplicaId,
        /// The incarnation of the receiver's data folder.
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// A blank replica's request to join a group.
    Join {
        /// The group.
        group: GroupId,
        /// The incarnation of the replica's data folder.
        id: ReplicaId,
    },
    /// A request to append a command to the log.
    Submit {
        /// The group.
        group: GroupId,
        /// The sender's identifier of the command.
        id: CommandId,
        /// The command.
        command: LedgerCommand,
    },
    /// The reply to a submitted command.
    Submitted {
        /// The identifier of the command.
        id: CommandId,
        /// The reply.
        answer: SubmitReply,
    },
    /// A poll for versions newer than the sender's.
    ConfigPoll {
        /// The sender's version.
        have: ConfigVersion,
        /// The versions in force at the sender and at the instances that poll it, directly or
        /// through others.
        reports: Vec<VersionReport>,
    },
    /// The steps from a version to the sender's version.
    ConfigSteps {
        /// The version before the first step.
        from: ConfigVersion,
        /// The steps; empty if the receiver has the sender's version or a later one.
        steps: Vec<VersionStep>,
        /// The confirmation state of the last step's version.
        notice: ConfirmationStatus,
    },
    /// A whole set, for a poller from whose version the sender doesn't have all steps.
    ConfigWhole {
        /// The version of the set.
        version: ConfigVersion,
        /// The set.
        set: ObjectSet,
        /// The confirmation state of the version.
        notice: ConfirmationStatus,
    },
    /// A heartbeat to another entry of the failure domain.
    Pulse(PeerHeartbeat),
    /// A message between instances that discover targets at run time.
    Fleet(Box<FleetMessage>),
}

/// An error in decoding a message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
    /// The message has another format version.
    #[error("unknown message format {0}; expected {WIRE_FORMAT}")]
    Format(u16),
}

impl PeerEnvelope {
    /// Returns the encoded envelope.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("postcard can encode every type of a message")
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the bytes are malformed or have another format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let (format, _) = postcard::take_from_bytes::<u16>(bytes)?;
        if format != WIRE_FORMAT {
            return Err(WireError::Format(format));
        }
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                let padded = [bytes, &[0; PADDING_BYTES]].concat();
                Ok(postcard::from_bytes(&padded)?)
            }
            result => Ok(result?),
        }
    }
}
