/*!
What the node tells its operator, as numbered events.

Each note has a number that never changes its meaning; docs/EVENTS.md lists them, and a test keeps
that page and [`LogEvent::CATALOGUE`] equal.
*/

use {
    hemlockspool_model::names::{ConfigVersion, InstanceName, TargetName},
    std::fmt,
};

/// How much a note matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Something an operator should look at.
    Warn,
    /// Something worth a line.
    Info,
}

/// One event worth a line in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
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
    UnconfirmedInForce {
        /// The version.
        version: ConfigVersion,
    },
    /// No quorum has confirmed the version for a while.
    ConfirmationLost {
        /// The version.
        version: ConfigVersion,
    },
    /// A quorum confirms the version again.
    ConfirmationRestored {
        /// The version.
        version: ConfigVersion,
    },
    /// This replica leads.
    LeadershipGained {
        /// The term.
        term: u64,
    },
    /// This replica no longer leads, for want of a quorum.
    LeadershipLost {
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
    ForeignMessage {
        /// Who sent it.
        sender: InstanceName,
    },
    /// A target is shut out after failures.
    TargetEjected {
        /// The target.
        target: TargetName,
    },
    /// A target gets work again.
    TargetRestored {
        /// The target.
        target: TargetName,
    },
    /// A target leaves and gets no new work.
    TargetLeaving {
        /// The target.
        target: TargetName,
    },
    /// This process stood still and starts over with its shares.
    ProcessPaused {
        /// For how long, in milliseconds.
        millis: u64,
    },
    /// Another entry of the domain went silent.
    PeerTimedOut {
        /// The entry.
        name: InstanceName,
    },
    /// The disk refused a write.
    DiskFailed,
    /// The list of instances can't be read.
    InstanceListUnreadable,
}

impl LogEvent {
    /// Every number with its level and what it means.
    pub const CATALOGUE: &[(u16, LogLevel, &str)] = &[
        (100, LogLevel::Info, "the process serves"),
        (101, LogLevel::Info, "a planned stop began"),
        (102, LogLevel::Info, "the process ends after a planned stop"),
        (110, LogLevel::Info, "a version came into force"),
        (111, LogLevel::Warn, "the wait for a confirmed version ended with what was there"),
        (112, LogLevel::Warn, "no quorum has confirmed the version for a while"),
        (113, LogLevel::Info, "a quorum confirms the version again"),
        (120, LogLevel::Info, "this replica leads"),
        (121, LogLevel::Warn, "this replica no longer leads, for want of a quorum"),
        (122, LogLevel::Info, "a snapshot was taken"),
        (123, LogLevel::Info, "a snapshot from the leader replaced the ledger"),
        (124, LogLevel::Info, "a learner got a vote"),
        (125, LogLevel::Warn, "a new data folder replaces an older one of the same instance"),
        (126, LogLevel::Warn, "a replica that does not answer lost its vote"),
        (130, LogLevel::Warn, "a message from another deployment or format was dropped"),
        (140, LogLevel::Warn, "a target is shut out after failures"),
        (141, LogLevel::Info, "a target gets work again"),
        (142, LogLevel::Info, "a target leaves and gets no new work"),
        (150, LogLevel::Warn, "this process stood still and starts over with its shares"),
        (151, LogLevel::Warn, "another entry of the failure domain went silent"),
        (161, LogLevel::Warn, "the disk refused a write"),
        (162, LogLevel::Warn, "the list of instances can't be read"),
    ];

    /// Returns the number of the event.
    pub fn code(&self) -> u16 {
        match self {
            Self::Started { .. } => 100,
            Self::Stopping => 101,
            Self::Stopped => 102,
            Self::InForce { .. } => 110,
            Self::UnconfirmedInForce { .. } => 111,
            Self::ConfirmationLost { .. } => 112,
            Self::ConfirmationRestored { .. } => 113,
            Self::LeadershipGained { .. } => 120,
            Self::LeadershipLost { .. } => 121,
            Self::SnapshotTaken { .. } => 122,
            Self::SnapshotInstalled { .. } => 123,
            Self::ReplicaPromoted { .. } => 124,
            Self::ReplicaReplaced { .. } => 125,
            Self::ReplicaDemoted { .. } => 126,
            Self::ForeignMessage { .. } => 130,
            Self::TargetEjected { .. } => 140,
            Self::TargetRestored { .. } => 141,
            Self::TargetLeaving { .. } => 142,
            Self::ProcessPaused { .. } => 150,
            Self::PeerTimedOut { .. } => 151,
            Self::DiskFailed => 161,
            Self::InstanceListUnreadable => 162,
        }
    }

    /// Returns how much the event matters.
    pub fn level(&self) -> LogLevel {
        let code = self.code();
        let line = Self::CATALOGUE.iter().find(|(number, _, _)| *number == code);
        line.map_or(LogLevel::Warn, |(_, level, _)| *level)
    }

    fn text(&self) -> &'static str {
        let code = self.code();
        let line = Self::CATALOGUE.iter().find(|(number, _, _)| *number == code);
        line.map_or("", |(_, _, text)| text)
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.code(), self.text())?;
        match self {
            Self::Started { name } | Self::ReplicaPromoted { name } => write!(f, " name={name}"),
            Self::ReplicaReplaced { name }
            | Self::ReplicaDemoted { name }
            | Self::PeerTimedOut { name } => write!(f, " name={name}"),
            Self::ForeignMessage { sender } => write!(f, " sender={sender}"),
            Self::InForce { version }
            | Self::UnconfirmedInForce { version }
            | Self::ConfirmationLost { version }
            | Self::ConfirmationRestored { version } => write!(f, " version={version}"),
            Self::LeadershipGained { term } | Self::LeadershipLost { term } => {
                write!(f, " term={term}")
            }
            Self::SnapshotTaken { index, bytes } => write!(f, " index={index} bytes={bytes}"),
            Self::SnapshotInstalled { index } => write!(f, " index={index}"),
            Self::TargetEjected { target }
            | Self::TargetRestored { target }
            | Self::TargetLeaving { target } => write!(f, " target={target}"),
            Self::ProcessPaused { millis } => write!(f, " millis={millis}"),
            Self::Stopping | Self::Stopped | Self::DiskFailed | Self::InstanceListUnreadable => {
                Ok(())
            }
        }
    }
}
