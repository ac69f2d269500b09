/*!
Numbered events that a node writes to its log.

The number of an event never changes its meaning. docs/EVENTS.md lists the events, and a test keeps
that page and [`LogEvent::CATALOGUE`] equal.
*/

use {
    hemlockspool_model::names::{ConfigVersion, InstanceName, TargetName},
    std::fmt,
};

/// The level of a log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// An event that an operator should look at.
    Warn,
    /// An event of regular operation.
    Info,
}

/// An event in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// The process started to serve.
    Started {
        /// The instance's name.
        name: InstanceName,
    },
    /// A planned stop began.
    Stopping,
    /// The process ended after a planned stop.
    Stopped,
    /// A version came into force at this instance.
    InForce {
        /// The version.
        version: ConfigVersion,
    },
    /// No version was confirmed in time after the start; an unconfirmed one came into force.
    UnconfirmedInForce {
        /// The version.
        version: ConfigVersion,
    },
    /// No quorum has confirmed the version recently.
    ConfirmationLost {
        /// The version.
        version: ConfigVersion,
    },
    /// A quorum has confirmed the version recently, after [`ConfirmationLost`] was logged.
    ///
    /// [`ConfirmationLost`]: Self::ConfirmationLost
    ConfirmationRestored {
        /// The version.
        version: ConfigVersion,
    },
    /// This replica became the leader.
    LeadershipGained {
        /// The term.
        term: u64,
    },
    /// This replica lost its leadership because it could not reach a quorum.
    LeadershipLost {
        /// The term.
        term: u64,
    },
    /// A snapshot was taken.
    SnapshotTaken {
        /// The index of the last log entry included.
        index: u64,
        /// The size of the snapshot in bytes.
        bytes: usize,
    },
    /// A snapshot from the leader can't be decoded. This replica keeps its state and acknowledges
    /// nothing.
    SnapshotUnreadable {
        /// The index of the last log entry included.
        index: u64,
    },
    /// A snapshot from the leader was installed. It replaces the ledger.
    SnapshotInstalled {
        /// The index of the last log entry included.
        index: u64,
    },
    /// This replica, the leader, proposed that a learner become a voter.
    ReplicaPromoted {
        /// The instance.
        name: InstanceName,
    },
    /// As the leader, this replica proposed to make an unresponsive voter a learner, so that
    /// another replica can become a voter in its place. Occurs only in fleets.
    ReplicaDemoted {
        /// The instance.
        name: InstanceName,
    },
    /// This replica, the leader, proposed that a new data folder replace an older one of the same
    /// instance.
    ReplicaReplaced {
        /// The instance.
        name: InstanceName,
    },
    /// A replica refused an append although it had acknowledged the entries before it. This replica,
    /// the leader, sends them again.
    EntriesMissing {
        /// The instance.
        name: InstanceName,
        /// The index of the last log entry that the replica may have.
        index: u64,
    },
    /// A write that a loss of power had torn was cut off the end of the log. It wasn't acknowledged.
    TornWriteCut {
        /// Its length, in bytes.
        bytes: u64,
    },
    /// A message of another deployment was dropped.
    ForeignMessage {
        /// The sender's name.
        sender: InstanceName,
    },
    /// A target was ejected after failures.
    TargetEjected {
        /// The target.
        target: TargetName,
    },
    /// A target that was ejected responded to a request, which ends its ejection and probation.
    TargetRestored {
        /// The target.
        target: TargetName,
    },
    /// A target gets no new requests, because it reports that it is draining or the platform's list
    /// says that it is leaving. Not logged for drain objects.
    TargetLeaving {
        /// The target.
        target: TargetName,
    },
    /// The process was paused, and has no share until the entries of its failure domain agree
    /// again.
    ProcessPaused {
        /// The duration of the pause in milliseconds.
        millis: u64,
    },
    /// The heartbeat lease of another entry of the failure domain expired.
    PeerTimedOut {
        /// The entry.
        name: InstanceName,
    },
    /// A write to the data folder or its sync failed.
    DiskFailed,
    /// The platform's list of instances can't be read.
    InstanceListUnreadable,
}

impl LogEvent {
    /// The number, level and text of every event.
    pub const CATALOGUE: &[(u16, LogLevel, &str)] = &[
        (100, LogLevel::Info, "the process began to serve"),
        (101, LogLevel::Info, "a planned stop began"),
        (102, LogLevel::Info, "the process exits after a planned stop"),
        (110, LogLevel::Info, "a version came into force"),
        (
            111,
            LogLevel::Warn,
            "no version was confirmed in time; the available one is in force unconfirmed",
        ),
        (112, LogLevel::Warn, "no quorum has confirmed the version recently"),
        (113, LogLevel::Info, "a quorum confirms the version again"),
        (120, LogLevel::Info, "this replica became the leader"),
        (121, LogLevel::Warn, "this replica lost the leadership because no quorum replied"),
        (122, LogLevel::Info, "a snapshot was taken"),
        (123, LogLevel::Info, "a snapshot from the leader replaced the ledger"),
        (124, LogLevel::Info, "a learner got a vote"),
        (125, LogLevel::Warn, "a new data folder replaced an older one of the same instance"),
        (126, LogLevel::Warn, "a replica that does not reply lost its vote"),
        (127, LogLevel::Warn, "a replica lacks log entries that it had acknowledged"),
        (128, LogLevel::Warn, "a snapshot from the leader can't be read"),
        (129, LogLevel::Warn, "a torn write at the end of the log was cut off"),
        (130, LogLevel::Warn, "a message from another deployment was dropped"),
        (140, LogLevel::Warn, "a target was ejected after failures"),
        (141, LogLevel::Info, "the ejection of a target ended"),
        (142, LogLevel::Info, "a target is leaving and gets no new requests"),
        (
            150,
            LogLevel::Warn,
            "this process was paused and has no share until its failure domain's entries agree",
        ),
        (151, LogLevel::Warn, "the heartbeat lease of another entry of the failure domain expired"),
        (161, LogLevel::Warn, "a write to the data folder failed"),
        (162, LogLevel::Warn, "the platform's list of instances can't be read"),
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
            Self::EntriesMissing { .. } => 127,
            Self::SnapshotUnreadable { .. } => 128,
            Self::TornWriteCut { .. } => 129,
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

    /// Returns the level of the event.
    pub fn level(&self) -> LogLevel {
        let code = self.code();
        let row = Self::CATALOGUE.iter().find(|(number, _, _)| *number == code);
        row.map_or(LogLevel::Warn, |(_, level, _)| *level)
    }

    fn text(&self) -> &'static str {
        let code = self.code();
        let row = Self::CATALOGUE.iter().find(|(number, _, _)| *number == code);
        row.map_or("", |(_, _, text)| text)
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
            Self::EntriesMissing { name, index } => write!(f, " name={name} index={index}"),
            Self::TornWriteCut { bytes } => write!(f, " bytes={bytes}"),
            Self::ForeignMessage { sender } => write!(f, " sender={sender}"),
            Self::InForce { version }
            | Self::UnconfirmedInForce { version }
            | Self::ConfirmationLost { version }
            | Self::ConfirmationRestored { version } => write!(f, " version={version}"),
            Self::LeadershipGained { term } | Self::LeadershipLost { term } => {
                write!(f, " term={term}")
            }
            Self::SnapshotTaken { index, bytes } => write!(f, " index={index} bytes={bytes}"),
            Self::SnapshotInstalled { index } | Self::SnapshotUnreadable { index } => {
                write!(f, " index={index}")
            }
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
