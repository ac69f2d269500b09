/*!
What the node tells its operator, as numbered events.

Each note has a number that never changes its meaning; docs/EVENTS.md lists them, and a test keeps
that page and [`NodeNote::CATALOGUE`] equal.
*/

use {
    hemlockspool_model::names::{ConfigVersion, InstanceName, TargetName},
    std::fmt,
};

/// How much a note matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoteLevel {
    /// Something an operator should look at.
    Warn,
    /// Something worth a line.
    Info,
}

/// One event worth a line in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeNote {
    /// The process serves.
    Started {
        /// Its name.
        name: InstanceName,
    },
    /// A planned stop began.
    Stopping,
    /// The process ends after a planned stop.
    Stopped,
    /// A version came into force here.
    InForce {
        /// The version.
        version: ConfigVersion,
    },
    /// The wait for a confirmed version ended with what was there.
    SettledUnconfirmed {
        /// The version.
        version: ConfigVersion,
    },
    /// No quorum has confirmed the version for a while.
    ConfirmationLost {
        /// The version.
        version: ConfigVersion,
    },
    /// A quorum confirms the version again.
    ConfirmationBack {
        /// The version.
        version: ConfigVersion,
    },
    /// This replica leads.
    LeadWon {
        /// The term.
        term: u64,
    },
    /// This replica no longer leads, for want of a quorum.
    LeadLost {
        /// The term.
        term: u64,
    },
    /// A snapshot was taken.
    SnapshotTaken {
        /// The last entry included.
        index: u64,
        /// Its size.
        bytes: usize,
    },
    /// A snapshot from the leader replaced the ledger.
    SnapshotInstalled {
        /// The last entry included.
        index: u64,
    },
    /// A learner got a vote.
    ReplicaPromoted {
        /// The instance.
        name: InstanceName,
    },
    /// A replica lost its vote to one that answers.
    ReplicaDemoted {
        /// The instance.
        name: InstanceName,
    },
    /// A data folder made anew replaces an older one of the same instance.
    ReplicaReplaced {
        /// The instance.
        name: InstanceName,
    },
    /// A message from another deployment, or in a format not known here, was dropped.
    ForeignPeer {
        /// Who sent it.
        sender: InstanceName,
    },
    /// A target is shut out after failures.
    TargetEjected {
        /// The target.
        target: TargetName,
    },
    /// A target gets work again.
    TargetReturned {
        /// The target.
        target: TargetName,
    },
    /// A target leaves and gets no new work.
    TargetLeaving {
        /// The target.
        target: TargetName,
    },
    /// This process stood still and starts over with its shares.
    Thawed {
        /// For how long, in milliseconds.
        millis: u64,
    },
    /// Another entry of the domain went silent.
    PeerSilent {
        /// The entry.
        name: InstanceName,
    },
    /// The disk refused a write.
    DiskFailed,
    /// The list of instances can't be read.
    InstanceListLost,
}

impl NodeNote {
    /// Every number with its level and what it means.
    pub const CATALOGUE: &[(u16, NoteLevel, &str)] = &[
        (100, NoteLevel::Info, "the process serves"),
        (101, NoteLevel::Info, "a planned stop began"),
        (102, NoteLevel::Info, "the process ends after a planned stop"),
        (110, NoteLevel::Info, "a version came into force"),
        (111, NoteLevel::Warn, "the wait for a confirmed version ended with what was there"),
        (112, NoteLevel::Warn, "no quorum has confirmed the version for a while"),
        (113, NoteLevel::Info, "a quorum confirms the version again"),
        (120, NoteLevel::Info, "this replica leads"),
        (121, NoteLevel::Warn, "this replica no longer leads, for want of a quorum"),
        (122, NoteLevel::Info, "a snapshot was taken"),
        (123, NoteLevel::Info, "a snapshot from the leader replaced the ledger"),
        (124, NoteLevel::Info, "a learner got a vote"),
        (125, NoteLevel::Warn, "a new data folder replaces an older one of the same instance"),
        (126, NoteLevel::Warn, "a replica that does not answer lost its vote"),
        (130, NoteLevel::Warn, "a message from another deployment or format was dropped"),
        (140, NoteLevel::Warn, "a target is shut out after failures"),
        (141, NoteLevel::Info, "a target gets work again"),
        (142, NoteLevel::Info, "a target leaves and gets no new work"),
        (150, NoteLevel::Warn, "this process stood still and starts over with its shares"),
        (151, NoteLevel::Warn, "another entry of the failure domain went silent"),
        (161, NoteLevel::Warn, "the disk refused a write"),
        (162, NoteLevel::Warn, "the list of instances can't be read"),
    ];

    /// Returns the number of the event.
    pub fn code(&self) -> u16 {
        match self {
            Self::Started { .. } => 100,
            Self::Stopping => 101,
            Self::Stopped => 102,
            Self::InForce { .. } => 110,
            Self::SettledUnconfirmed { .. } => 111,
            Self::ConfirmationLost { .. } => 112,
            Self::ConfirmationBack { .. } => 113,
            Self::LeadWon { .. } => 120,
            Self::LeadLost { .. } => 121,
            Self::SnapshotTaken { .. } => 122,
            Self::SnapshotInstalled { .. } => 123,
            Self::ReplicaPromoted { .. } => 124,
            Self::ReplicaReplaced { .. } => 125,
            Self::ReplicaDemoted { .. } => 126,
            Self::ForeignPeer { .. } => 130,
            Self::TargetEjected { .. } => 140,
            Self::TargetReturned { .. } => 141,
            Self::TargetLeaving { .. } => 142,
            Self::Thawed { .. } => 150,
            Self::PeerSilent { .. } => 151,
            Self::DiskFailed => 161,
            Self::InstanceListLost => 162,
        }
    }

    /// Returns how much the event matters.
    pub fn level(&self) -> NoteLevel {
        let code = self.code();
        let line = Self::CATALOGUE.iter().find(|(number, _, _)| *number == code);
        line.map_or(NoteLevel::Warn, |(_, level, _)| *level)
    }

    fn text(&self) -> &'static str {
        let code = self.code();
        let line = Self::CATALOGUE.iter().find(|(number, _, _)| *number == code);
        line.map_or("", |(_, _, text)| text)
    }
}

impl fmt::Display for NodeNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.code(), self.text())?;
        match self {
            Self::Started { name } | Self::ReplicaPromoted { name } => write!(f, " name={name}"),
            Self::ReplicaReplaced { name }
            | Self::ReplicaDemoted { name }
            | Self::PeerSilent { name } => write!(f, " name={name}"),
            Self::ForeignPeer { sender } => write!(f, " sender={sender}"),
            Self::InForce { version }
            | Self::SettledUnconfirmed { version }
            | Self::ConfirmationLost { version }
            | Self::ConfirmationBack { version } => write!(f, " version={version}"),
            Self::LeadWon { term } | Self::LeadLost { term } => write!(f, " term={term}"),
            Self::SnapshotTaken { index, bytes } => write!(f, " index={index} bytes={bytes}"),
            Self::SnapshotInstalled { index } => write!(f, " index={index}"),
            Self::TargetEjected { target }
            | Self::TargetReturned { target }
            | Self::TargetLeaving { target } => write!(f, " target={target}"),
            Self::Thawed { millis } => write!(f, " millis={millis}"),
            Self::Stopping | Self::Stopped | Self::DiskFailed | Self::InstanceListLost => Ok(()),
        }
    }
}
