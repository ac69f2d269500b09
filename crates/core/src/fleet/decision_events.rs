/*!
What instances of a fleet log: one structured line for each decision.

Each note has a number that never changes its meaning; docs/EVENTS.md lists them, and a test keeps
that page and [`DecisionEvent::CATALOGUE`] equal. A note's fields are its inputs, with their ages or
versions, and its outcome.
*/

use {
    crate::log_events::LogLevel,
    hemlockspool_model::names::{InstanceName, RegionName, RouteName, ServiceName, TargetName},
    serde::Serialize,
    std::net::SocketAddr,
};

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum DecisionEvent {
    /// The process serves.
    Started {
        /// Its name.
        name: InstanceName,
        /// The life of its process.
        incarnation: u64,
    },
    /// A planned stop began.
    Stopping,
    /// The process ends after a planned stop.
    Stopped,
    /// The settings were read again.
    Reloaded,
    /// A published state came into force here.
    InForce {
        /// The count of changes.
        change: u64,
        /// The version of the route table.
        version: u64,
        /// How many failure domains are evacuated.
        evacuated: usize,
    },
    /// A published table can't be read here.
    TableUnreadable {
        /// The version.
        version: u64,
        /// Why.
        reason: String,
    },
    /// The entry follows another replica.
    Follows {
        /// Which.
        replica: SocketAddr,
    },
    /// No replica that is current answers.
    ReplicasLost {
        /// For how long, in milliseconds.
        millis: u64,
    },
    /// A replica that is current answers again.
    ReplicasBack {
        /// Which.
        replica: SocketAddr,
    },
    /// The list of targets changed.
    ListChanged {
        /// Its targets.
        targets: usize,
        /// The count of readings.
        number: u64,
    },
    /// The platform's list can't be read.
    ListUnread {
        /// The age of what is held, in milliseconds.
        age_ms: u64,
    },
    /// An entry of the platform's list can't be used.
    ListEntryBad {
        /// Its name.
        target: String,
        /// Why.
        reason: String,
    },
    /// An operator's order ended.
    OrderEnded {
        /// What was asked for.
        order: String,
        /// What came of it.
        outcome: String,
    },
    /// A target gets no requests after failures.
    TargetOut {
        /// The target.
        target: TargetName,
        /// Why.
        reason: &'static str,
        /// For how long, in milliseconds.
        millis: u64,
    },
    /// A target gets requests again.
    TargetBack {
        /// The target.
        target: TargetName,
        /// For how much longer it is cold, in milliseconds.
        cold_ms: u64,
    },
    /// A request was sent to a target.
    RequestSent {
        /// The request.
        request: String,
        /// Its route.
        route: RouteName,
        /// The service.
        service: ServiceName,
        /// A hash of the object that it concerns.
        object: u32,
        /// The target.
        target: TargetName,
        /// The attempt, from 1.
        attempt: u32,
        /// The requests that the target was taken to hold.
        load: f64,
        /// What is left of the caller's time, in milliseconds.
        left_ms: u64,
        /// The version of the route table.
        version: u64,
    },
    /// A request was refused without being run.
    RequestRefused {
        /// The request.
        request: String,
        /// Why.
        reason: &'static str,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
        /// The attempts before.
        attempts: u32,
        /// The version of the route table.
        version: u64,
    },
    /// A request failed, or its fate is unclear.
    RequestFailed {
        /// The request.
        request: String,
        /// Why.
        reason: &'static str,
        /// The last target.
        target: Option<TargetName>,
        /// The attempts.
        attempts: u32,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// A request was answered.
    RequestAnswered {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// The status.
        status: u16,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// An attempt ended without an answer that can be passed on.
    AttemptFailed {
        /// The request.
        request: String,
        /// The target.
        target: TargetName,
        /// What happened.
        reason: &'static str,
    },
    /// The share of requests that run in other regions changed.
    SpillChanged {
        /// The service.
        service: ServiceName,
        /// The share, in percent.
        percent: u32,
        /// The region.
        region: RegionName,
    },
    /// Lines were dropped since the log's reader is slow or their rate is bounded.
    LinesDropped {
        /// How many.
        lines: u64,
    },
}

impl DecisionEvent {
    /// Every number with its level and what it means.
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

    /// Returns the number of the event.
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

    /// Tells whether the line is one of many, about a request that went well.
    pub fn is_routine(&self) -> bool {
        matches!(self, Self::RequestSent { .. } | Self::RequestAnswered { .. })
    }
}
