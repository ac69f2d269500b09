/*!
Structured log events of fleet instances, one for each decision.

Each event has a code whose meaning never changes. docs/EVENTS.md lists the codes, and a test checks
that the page equals [`DecisionEvent::CATALOGUE`]. The fields of an event are the inputs of the
decision, with their ages or versions, and its outcome.
*/

use {
    crate::log_events::LogLevel,
    hemlockspool_model::names::{InstanceName, RegionName, RouteName, ServiceName, TargetName},
    serde::Serialize,
    std::net::SocketAddr,
};

/// Log event of a fleet instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum DecisionEvent {
    /// The process has started to serve.
    Started {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation of the process.
        incarnation: u64,
    },
    /// A planned stop began.
    Stopping,
    /// The process exits after a planned stop.
    Stopped,
    /// The settings were reloaded.
    Reloaded,
    /// A published state came into force at this instance.
    InForce {
        /// Change number of the state.
        change: u64,
        /// Version of the route table.
        version: u64,
        /// Number of evacuated failure domains.
        evacuated: usize,
    },
    /// A published table couldn't be decompressed or parsed at this instance.
    TableUnreadable {
        /// Version of the table.
        version: u64,
        /// Description of the error.
        reason: String,
    },
    /// The entry has switched to another replica.
    Follows {
        /// Peer address of the replica that it follows now.
        replica: SocketAddr,
    },
    /// No current replica has replied for a while.
    ReplicasLost {
        /// Time since the last reply of a current replica, in milliseconds.
        millis: u64,
    },
    /// A current replica has replied again after [`ReplicasLost`](Self::ReplicasLost).
    ReplicasBack {
        /// Peer address of the replica.
        replica: SocketAddr,
    },
    /// The roster changed.
    ListChanged {
        /// Number of targets in the roster.
        targets: usize,
        /// Version number of the roster.
        number: u64,
    },
    /// The platform's list couldn't be read.
    ListUnread {
        /// Time since the list was last read, in milliseconds.
        age_ms: u64,
    },
    /// An item of the platform's list is invalid.
    ListEntryBad {
        /// Name of the item.
        target: String,
        /// Description of the error.
        reason: String,
    },
    /// An operator's command completed.
    OrderEnded {
        /// Description of the command.
        order: String,
        /// Outcome of the command.
        outcome: String,
    },
    /// A target was ejected after failures and gets no requests.
    TargetOut {
        /// Name of the target.
        target: TargetName,
        /// Cause of the ejection.
        reason: &'static str,
        /// Duration of the ejection, in milliseconds.
        millis: u64,
    },
    /// The ejection of a target ended.
    TargetBack {
        /// Name of the target.
        target: TargetName,
        /// Remaining warm-up time, in milliseconds; 0 when warm.
        cold_ms: u64,
    },
    /// A request was sent to a target.
    RequestSent {
        /// Identifier of the request.
        request: String,
        /// Route of the request.
        route: RouteName,
        /// Service that was chosen.
        service: ServiceName,
        /// Hash of the key of the object that the request concerns.
        object: u32,
        /// Target that was chosen.
        target: TargetName,
        /// Number of the attempt, starting at 1.
        attempt: u32,
        /// Estimated number of requests at the target.
        load: f64,
        /// Remaining time until the caller's timeout, in milliseconds.
        left_ms: u64,
        /// Version of the route table.
        version: u64,
    },
    /// A request was refused without having run.
    RequestRefused {
        /// Identifier of the request.
        request: String,
        /// Cause of the refusal.
        reason: &'static str,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Number of attempts made before the refusal.
        attempts: u32,
        /// Version of the route table.
        version: u64,
    },
    /// A request failed, or its outcome is unknown.
    RequestFailed {
        /// Identifier of the request.
        request: String,
        /// Cause of the failure.
        reason: &'static str,
        /// Target of the last attempt.
        target: Option<TargetName>,
        /// Number of attempts.
        attempts: u32,
        /// Elapsed time, in milliseconds.
        took_ms: u64,
    },
    /// A request was answered.
    RequestAnswered {
        /// Identifier of the request.
        request: String,
        /// Target that answered.
        target: TargetName,
        /// HTTP status of the response.
        status: u16,
        /// Elapsed time, in milliseconds.
        took_ms: u64,
    },
    /// An attempt ended without a response that can be returned to the caller.
    AttemptFailed {
        /// Identifier of the request.
        request: String,
        /// Target of the attempt.
        target: TargetName,
        /// Cause of the failure.
        reason: &'static str,
    },
    /// The percentage of requests sent to other regions (spillover) changed.
    SpillChanged {
        /// Service of the requests.
        service: ServiceName,
        /// Percentage of requests sent to other regions.
        percent: u32,
        /// Region of the entry.
        region: RegionName,
    },
    /// Log lines were dropped because the reader of the log is slow or the rate limit was exceeded.
    LinesDropped {
        /// Number of dropped lines.
        lines: u64,
    },
}

impl DecisionEvent {
    /// All codes with their levels and descriptions.
    pub const CATALOGUE: &[(u16, LogLevel, &str)] = &[
        (200, LogLevel::Info, "an instance of a fleet serves"),
        (201, LogLevel::Info, "a planned stop began"),
        (202, LogLevel::Info, "the process ends after a planned stop"),
        (203, LogLevel::Info, "the settings were read again"),
        (210, LogLevel::Info, "a published state came into force"),
        (211, LogLevel::Warn, "a published table can't be read here"),
        (220, LogLevel::Info, "the entry follows another replica"),
        (221, LogLevel::Warn, "no replica that is current answers"),
        (222, LogLevel::Info, "a replica that is current answers again"),
        (230, LogLevel::Info, "the list of targets changed"),
        (231, LogLevel::Warn, "the platform's list can't be read"),
        (232, LogLevel::Warn, "an entry of the platform's list can't be used"),
        (240, LogLevel::Info, "an operator's order ended"),
        (250, LogLevel::Warn, "a target gets no requests after failures"),
        (251, LogLevel::Info, "a target gets requests again"),
        (260, LogLevel::Info, "a request was sent to a target"),
        (261, LogLevel::Info, "a request was refused without being run"),
        (262, LogLevel::Warn, "a request failed, or its fate is unclear"),
        (263, LogLevel::Info, "a request was answered"),
        (264, LogLevel::Warn, "an attempt ended without an answer"),
        (270, LogLevel::Info, "the share of requests that run in other regions changed"),
        (280, LogLevel::Warn, "lines of the log were dropped"),
    ];

    /// Returns the code of the event.
    pub fn code(&self) -> u16 {
        match self {
            Self::Started { .. } => 200,
            Self::Stopping => 201,
            Self::Stopped => 202,
            Self::Reloaded => 203,
            Self::InForce { .. } => 210,
            Self::TableUnreadable { .. } => 211,
            Self::Follows { .. } => 220,
            Self::ReplicasLost { .. } => 221,
            Self::ReplicasBack { .. } => 222,
            Self::ListChanged { .. } => 230,
            Self::ListUnread { .. } => 231,
            Self::ListEntryBad { .. } => 232,
            Self::OrderEnded { .. } => 240,
            Self::TargetOut { .. } => 250,
            Self::TargetBack { .. } => 251,
            Self::RequestSent { .. } => 260,
            Self::RequestRefused { .. } => 261,
            Self::RequestFailed { .. } => 262,
            Self::RequestAnswered { .. } => 263,
            Self::AttemptFailed { .. } => 264,
            Self::SpillChanged { .. } => 270,
            Self::LinesDropped { .. } => 280,
        }
    }

    /// Returns whether the event is frequent and reports the normal course of a request.
    pub fn is_routine(&self) -> bool {
        matches!(self, Self::RequestSent { .. } | Self::RequestAnswered { .. })
    }
}
