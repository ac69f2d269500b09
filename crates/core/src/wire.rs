/*!
Messages between instances.

Each message is one-way, may be lost, late, doubled or out of order, and travels in an envelope that
names the deployment, the sender's life and the format. An instance drops what is of another
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

/// The format of every message; instances of different formats don't talk to each other.
pub const WIRE_FORMAT: u16 = 3;

/// A message with what its receiver must know of the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerEnvelope {
    /// The format.
    pub format: u16,
    /// The deployment.
    pub deployment: String,
    /// Who sends.
    pub sender: PeerSender,
    /// What it says.
    pub message: PeerMessage,
}

/// The sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSender {
    /// Its name.
    pub name: InstanceName,
    /// The life of its process.
    pub incarnation: u64,
    /// Where it listens for answers.
    pub peer: SocketAddr,
}

/// One command that an instance wants in the log, told apart from its others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CommandId {
    /// The life of the sender's process: an answer to an earlier life's command is not for this one.
    pub incarnation: u64,
    /// The command within that life.
    pub number: u64,
}

/// What a replica answers to a submitted command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitReply {
    /// It is committed, and came to this.
    Done(LedgerOutcome),
    /// This replica doesn't lead.
    NotLeader {
        /// Where the leader listens, if known.
        leader: Option<SocketAddr>,
    },
}

/// The version in force at one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionReport {
    /// The entry.
    pub name: InstanceName,
    /// Its version.
    pub version: ConfigVersion,
    /// How old the report is.
    pub age: Duration,
    /// Whether the entry is stopping.
    pub leaving: bool,
}

/// Names one pulse of one life of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatId {
    /// The life.
    pub incarnation: u64,
    /// The sender's clock.
    pub sent_at: Moment,
}

/// What entries of one failure domain tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHeartbeat {
    /// The digest of the entries that the sender counts, itself included; none while it has more in
    /// flight than its part among them.
    pub counts: Option<u64>,
    /// Names this pulse.
    pub mark: HeartbeatId,
    /// The mark of the latest pulse that the sender heard from the receiver.
    pub echo: Option<HeartbeatId>,
    /// Whether the sender has a data folder.
    pub replica: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// What goes with every answer to a poll.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmationStatus {
    /// How long ago a quorum confirmed the version that the answer leads to.
    pub age: Option<Duration>,
    /// Entries that the leader doesn't hear of, or that are stopping.
    pub absent: Vec<InstanceName>,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Between replicas of a group.
    Consensus {
        /// The group.
        group: GroupId,
        /// The sender's life of its data folder.
        from: ReplicaId,
        /// The life of the data folder that is meant.
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// A blank replica asks to be taken in.
    Join {
        /// The group.
        group: GroupId,
        /// The life of its data folder.
        id: ReplicaId,
    },
    /// Asks for a command to be put into the log.
    Submit {
        /// The group.
        group: GroupId,
        /// The sender's number for it.
        id: CommandId,
        /// The command.
        command: LedgerCommand,
    },
    /// Answers a submit.
    Submitted {
        /// The number.
        id: CommandId,
        /// The answer.
        answer: SubmitReply,
    },
    /// Asks for whatever is newer than a version.
    ConfigPoll {
        /// What the sender has.
        have: ConfigVersion,
        /// The versions at the sender and below it.
        reports: Vec<VersionReport>,
    },
    /// Steps that lead from a version to the sender's.
    ConfigSteps {
        /// Where they start.
        from: ConfigVersion,
        /// The steps; none when the receiver has the sender's version.
        steps: Vec<VersionStep>,
        /// Confirmation of the last of them.
        notice: ConfirmationStatus,
    },
    /// A whole set.
    ConfigWhole {
        /// Its version.
        version: ConfigVersion,
        /// The set.
        set: ObjectSet,
        /// Confirmation of the version.
        notice: ConfirmationStatus,
    },
    /// Tells an entry of the failure domain that the sender serves.
    Pulse(PeerHeartbeat),
    /// Between instances whose targets are found at run time.
    Fleet(Box<FleetMessage>),
}

/// Why bytes aren't a message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// They don't decode.
    #[error("not a message of this system: {0}")]
    Malformed(#[from] postcard::Error),
    /// They are of another format.
    #[error("format {0} is not known here")]
    Format(u16),
}

impl PeerEnvelope {
    /// Returns the bytes of the envelope.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a message has no types that postcard can't encode")
    }

    /// Reads an envelope.
    ///
    /// # Errors
    ///
    /// See [`WireError`].
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let (format, _) = postcard::take_from_bytes::<u16>(bytes)?;
        if format != WIRE_FORMAT {
            return Err(WireError::Format(format));
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}
