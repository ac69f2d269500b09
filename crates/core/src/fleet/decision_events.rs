/*!
Structured log events of fleet instances, one for each decision.

Each event has a code whose meaning never changes. docs/EVENTS.md lists the codes, and a test checks
that the page equals [`DecisionEvent::CATALOGUE`]. The fields of an event are the inputs of the
decision, with their ages or versions, and its outcome.
*/

use {
    crate::{log_events::LogLevel, traffic::fingerprint::RequestFingerprint},
    hemlockspool_model::names::{InstanceName, RegionName, RouteName, ServiceName, TargetName},
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A log event of a fleet instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum DecisionEvent {
    /// The process has started and is about to serve; an entry isn't ready yet.
    Started {
        /// The name of the instance.
        name: InstanceName,
        /// The incarnation of the process.
        incarnation: u64,
    },
    /// A planned stop began.
    Stopping,
    /// The process exits after a planned stop.
    Stopped,
    /// The settings file was reread. Logged for the first successful reread after the start, and
    /// for each later one that finds changed seed addresses.
    Reloaded,
    /// A published state came into force at this entry.
    InForce {
        /// The change number of the state.
        change: u64,
        /// The version of the route table.
        version: u64,
        /// The number of evacuated failure domains.
        evacuated: usize,
    },
    /// A published table couldn't be decompressed or parsed at this entry, or compressed for an
    /// entry at this replica.
    TableUnreadable {
        /// The version of the table.
        version: u64,
        /// A description of the error.
        reason: String,
    },
    /// The entry began to follow a replica.
    Follows {
        /// The peer address of the replica that it follows now.
        replica: SocketAddr,
    },
    /// No current replica has replied for a while.
    ReplicasLost {
        /// The time since the last reply of a current replica, or since the start of the process
        /// if there was none, in milliseconds.
        millis: u64,
    },
    /// A current replica has replied again after [`ReplicasLost`](Self::ReplicasLost).
    ReplicasBack {
        /// The peer address of the replica.
        replica: SocketAddr,
    },
    /// The time that packets wait on the entry's link has changed.
    LinkDelayed {
        /// The sum of the waits in both directions, in milliseconds.
        millis: u64,
        /// The wait of messages to this entry alone, in milliseconds, as at least two replicas' replies
        /// show it.
        inbound_ms: u64,
    },
    /// Replicas answer late, and the entry checks its link by connections to targets.
    LinkChecked {
        /// The target of the first connection.
        target: TargetName,
    },
    /// A connection to another instance was replaced, as nothing came back for what it carried.
    LinkReplaced {
        /// The peer address of the instance.
        peer: SocketAddr,
        /// The time without an answer, in milliseconds.
        millis: u64,
    },
    /// The roster changed. A replica logs only the changes that it read from the platform itself.
    ListChanged {
        /// The number of targets in the roster.
        targets: usize,
        /// The version number of the roster.
        number: u64,
    },
    /// The platform's list couldn't be read.
    ListUnread {
        /// The time since the list was last read, in milliseconds. If it was never read, 0 at an
        /// entry and a very large value at a replica.
        age_ms: u64,
    },
    /// An item of the platform's list is invalid.
    ListEntryBad {
        /// The name of the item.
        target: String,
        /// A description of the error.
        reason: String,
    },
    /// An operator's command completed, or its outcome is unknown.
    OrderEnded {
        /// A description of the command.
        order: String,
        /// The outcome of the command.
        outcome: String,
    },
    /// A target was ejected, after failures seen by this entry or reported by several failure
    /// domains, and gets no requests.
    TargetOut {
        /// The name of the target.
        target: TargetName,
        /// The cause of the ejection.
        reason: &'static str,
        /// The time until the target is probed, in milliseconds.
        millis: u64,
    },
    /// The ejection of a target ended after a successful probe.
    TargetBack {
        /// The name of the target.
        target: TargetName,
        /// The remaining warm-up time, in milliseconds; 0 when warm.
        cold_ms: u64,
    },
    /// A target stated a limit on its requests, or another one than before.
    LimitStated {
        /// The name of the target.
        target: TargetName,
        /// The number of requests per second that it takes from all entries together.
        per_s: f64,
        /// Who told this entry: the target's own `response`, or a `replica`.
        source: &'static str,
    },
    /// A target that had stated a limit on its requests states none any more.
    LimitEnded {
        /// The name of the target.
        target: TargetName,
    },
    /// A target stated something about itself that can't be used; logged once for each target.
    NoticeMalformed {
        /// The name of the target.
        target: TargetName,
    },
    /// A target said that it leaves, before the list did; it gets no more requests.
    TargetLeaving {
        /// The name of the target.
        target: TargetName,
    },
    /// A target that drained, or said that it leaves, has started again and gets requests again.
    TargetReturned {
        /// The name of the target.
        target: TargetName,
    },
    /// A target turned a request away and wants none from this entry for a time.
    TargetPaused {
        /// The name of the target.
        target: TargetName,
        /// The time, in milliseconds.
        millis: u64,
    },
    /// The entry has lost its connections to all targets; requests go through replicas or other
    /// entries.
    TargetsUnreachable {
        /// The number of targets that couldn't be connected to, without one in between that could.
        failed: usize,
    },
    /// The entry can connect to targets again.
    TargetsReached {
        /// The time for which none could be connected to, in milliseconds.
        millis: u64,
    },
    /// A request is about to be forwarded to another entry.
    RequestForwarded {
        /// The identifier of the request.
        request: String,
        /// The address at which the other entry listens for callers.
        peer: SocketAddr,
        /// The time left before the request's deadline, in milliseconds.
        left_ms: u64,
    },
    /// Another entry answered a forwarded request with a target's response.
    ForwardingAnswered {
        /// The identifier of the request.
        request: String,
        /// The address at which the other entry listens for callers.
        peer: SocketAddr,
        /// The HTTP status of the response.
        status: u16,
        /// The time since the request arrived, in milliseconds.
        took_ms: u64,
    },
    /// Forwarding a request to another entry ended without a target's response.
    ForwardingFailed {
        /// The identifier of the request.
        request: String,
        /// The address at which the other entry listens for callers.
        peer: SocketAddr,
        /// The cause of the failure.
        reason: &'static str,
    },
    /// A target was chosen for an attempt, which is about to be sent.
    RequestSent {
        /// The identifier of the request.
        request: String,
        /// The route of the request.
        route: RouteName,
        /// The service that was chosen.
        service: ServiceName,
        /// The low 32 bits of the hash by which the request was placed: that of its object's key,
        /// or of a counter if it has no key or its route isn't sticky.
        object: u32,
        /// The target that was chosen.
        target: TargetName,
        /// The number of the attempt, starting at 1. It doesn't count an attempt that its target
        /// refused if the same target may be tried again.
        attempt: u32,
        /// The estimated number of other requests at the target.
        load: f64,
        /// The peer address of the replica through which it goes, if the entry is cut off.
        bridge: Option<SocketAddr>,
        /// The time left before the request's deadline, in milliseconds.
        left_ms: u64,
        /// The version of the route table.
        version: u64,
    },
    /// A request was refused without having run.
    RequestRefused {
        /// The identifier of the request.
        request: String,
        /// The cause of the refusal.
        reason: &'static str,
        /// The time after which the caller may retry, in milliseconds; 0 if the reply states none.
        retry_after_ms: u64,
        /// The number of attempts before the refusal, counted as in
        /// [`RequestSent`](Self::RequestSent).
        attempts: u32,
        /// The version of the route table; 0 without one.
        version: u64,
    },
    /// A request ended without a response from a target, but a target may have run it.
    RequestFailed {
        /// The identifier of the request.
        request: String,
        /// The cause of the failure.
        reason: &'static str,
        /// The target of the last counted attempt.
        target: Option<TargetName>,
        /// The number of attempts, counted as in [`RequestSent`](Self::RequestSent).
        attempts: u32,
        /// The time since the request arrived, in milliseconds.
        took_ms: u64,
        /// The time that the request waited on this entry's link before it arrived, in milliseconds, at
        /// least. Its timeout counts from when it was sent.
        waited_ms: u64,
    },
    /// A request was answered.
    RequestAnswered {
        /// The identifier of the request.
        request: String,
        /// The target that answered.
        target: TargetName,
        /// The HTTP status of the response.
        status: u16,
        /// The time since the request arrived, in milliseconds.
        took_ms: u64,
    },
    /// A response missed the goal of its route.
    RequestLate {
        /// The identifier of the request.
        request: String,
        /// The route of the request.
        route: RouteName,
        /// The target that answered.
        target: TargetName,
        /// Whether the target is in the entry's own region.
        local: bool,
        /// The part that took the most time beyond the usual.
        cause: &'static str,
        /// The time since the request arrived, in milliseconds.
        took_ms: u64,
        /// The goal of the route, in milliseconds.
        goal_ms: u64,
    },
    /// An attempt ended without a successful response.
    AttemptFailed {
        /// Identifies the request across repeats, if its connection broke.
        fingerprint: Option<RequestFingerprint>,
        /// The identifier of the request.
        request: String,
        /// The target of the attempt.
        target: TargetName,
        /// The cause of the failure.
        reason: &'static str,
    },
    /// A target ended while it ran a request, which may have nothing to do with it.
    TargetCrashed {
        /// The name of the target.
        target: TargetName,
        /// Identifies the request across repeats.
        fingerprint: RequestFingerprint,
    },
    /// A request is refused since several targets ended when they ran it; logged again after each
    /// further end.
    RequestQuarantined {
        /// Identifies the request across repeats.
        fingerprint: RequestFingerprint,
        /// The number of targets that ended.
        crashes: usize,
        /// The time until a single attempt may be made, in milliseconds.
        millis: u64,
    },
    /// A request that was refused because targets ended is sent again: a target answered it, or the
    /// ends are too long ago.
    QuarantineEnded {
        /// Identifies the request across repeats.
        fingerprint: RequestFingerprint,
    },
    /// The quarantined requests couldn't be read from this replica's disk, or written to it.
    CrashesUnstored {
        /// A description of the error.
        reason: String,
    },
    /// The planned percentage of requests sent to other regions (spillover) differs by at least 5
    /// percentage points from the last one logged.
    SpillChanged {
        /// The service of the requests.
        service: ServiceName,
        /// The planned percentage of requests sent to other regions.
        percent: u32,
        /// The region of the entry.
        region: RegionName,
    },
    /// Where the requests of a service ran since the last such event, about 2 s before.
    RunsCounted {
        /// The service of the requests.
        service: ServiceName,
        /// The region of the entry.
        region: RegionName,
        /// The planned percentage of requests by region, without the entry's own.
        planned: BTreeMap<RegionName, u32>,
        /// The requests that ran, or may have, by region.
        ran: BTreeMap<RegionName, u32>,
        /// Those that ran in other regions although the plan kept them here.
        unplanned_away: u32,
        /// Those that ran here although the plan sent them to other regions.
        unplanned_here: u32,
        /// The requests that weren't run, by the region where the plan wanted them to run.
        refused: BTreeMap<RegionName, u32>,
        /// The requests by which the spillover has fallen short of the plan; negative for a surplus.
        deficit: f64,
    },
    /// Log lines were dropped because the reader of the log is slow or the rate limit was exceeded.
    LinesDropped {
        /// The number of dropped lines.
        lines: u64,
    },
}

impl DecisionEvent {
    /// All codes with their levels and descriptions.
    pub const CATALOGUE: &[(u16, LogLevel, &str)] = &[
        (200, LogLevel::Info, "an instance of a fleet began to serve"),
        (201, LogLevel::Info, "a planned stop began"),
        (202, LogLevel::Info, "the process exits after a planned stop"),
        (203, LogLevel::Info, "the settings were reloaded"),
        (210, LogLevel::Info, "a published state came into force"),
        (211, LogLevel::Warn, "a published table can't be decompressed or parsed"),
        (220, LogLevel::Info, "the entry began to follow a replica"),
        (221, LogLevel::Warn, "no current replica replies"),
        (222, LogLevel::Info, "a current replica replies again"),
        (223, LogLevel::Info, "the time that packets wait on the entry's link changed"),
        (224, LogLevel::Info, "replicas answer late, and the entry checks its link"),
        (225, LogLevel::Warn, "a connection to another instance that carried nothing was replaced"),
        (230, LogLevel::Info, "the list of targets changed"),
        (231, LogLevel::Warn, "the platform's list of targets can't be read"),
        (232, LogLevel::Warn, "an item of the platform's list of targets is invalid"),
        (240, LogLevel::Info, "an operator's command completed"),
        (250, LogLevel::Warn, "a target was ejected after failures"),
        (251, LogLevel::Info, "the ejection of a target ended"),
        (252, LogLevel::Warn, "a target stated a limit on its requests"),
        (253, LogLevel::Info, "a target's limit on its requests ended"),
        (254, LogLevel::Warn, "a target stated something about itself that can't be used"),
        (
            255,
            LogLevel::Warn,
            "no target can be connected to; requests go through replicas or other entries",
        ),
        (256, LogLevel::Info, "targets can be connected to again"),
        (257, LogLevel::Info, "a target said that it leaves"),
        (258, LogLevel::Info, "a target wants no request for a time"),
        (259, LogLevel::Info, "a target that drained takes requests again"),
        (260, LogLevel::Info, "a request was sent to a target"),
        (261, LogLevel::Info, "a request was refused without having run"),
        (262, LogLevel::Warn, "a request failed, or its outcome is unknown"),
        (263, LogLevel::Info, "a request was answered"),
        (264, LogLevel::Warn, "an attempt ended without a successful response"),
        (265, LogLevel::Info, "a request was forwarded to another entry"),
        (266, LogLevel::Info, "another entry answered a forwarded request"),
        (267, LogLevel::Warn, "forwarding a request to another entry failed"),
        (268, LogLevel::Warn, "a target ended while it ran a request"),
        (269, LogLevel::Warn, "a request is refused because targets end when they run it"),
        (270, LogLevel::Info, "the percentage of requests sent to other regions changed"),
        (271, LogLevel::Info, "a request that ended targets is sent again"),
        (272, LogLevel::Warn, "quarantined requests can't be read from the disk or written to it"),
        (273, LogLevel::Info, "a response missed the goal of its route"),
        (274, LogLevel::Info, "where the requests of a service ran, beside the plan"),
        (280, LogLevel::Warn, "log lines were dropped"),
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
            Self::LinkDelayed { .. } => 223,
            Self::LinkChecked { .. } => 224,
            Self::LinkReplaced { .. } => 225,
            Self::ListChanged { .. } => 230,
            Self::ListUnread { .. } => 231,
            Self::ListEntryBad { .. } => 232,
            Self::OrderEnded { .. } => 240,
            Self::TargetOut { .. } => 250,
            Self::TargetBack { .. } => 251,
            Self::LimitStated { .. } => 252,
            Self::LimitEnded { .. } => 253,
            Self::NoticeMalformed { .. } => 254,
            Self::TargetsUnreachable { .. } => 255,
            Self::TargetsReached { .. } => 256,
            Self::RequestForwarded { .. } => 265,
            Self::ForwardingAnswered { .. } => 266,
            Self::ForwardingFailed { .. } => 267,
            Self::TargetLeaving { .. } => 257,
            Self::TargetPaused { .. } => 258,
            Self::TargetReturned { .. } => 259,
            Self::RequestSent { .. } => 260,
            Self::RequestRefused { .. } => 261,
            Self::RequestFailed { .. } => 262,
            Self::RequestAnswered { .. } => 263,
            Self::AttemptFailed { .. } => 264,
            Self::TargetCrashed { .. } => 268,
            Self::RequestQuarantined { .. } => 269,
            Self::QuarantineEnded { .. } => 271,
            Self::CrashesUnstored { .. } => 272,
            Self::SpillChanged { .. } => 270,
            Self::RequestLate { .. } => 273,
            Self::RunsCounted { .. } => 274,
            Self::LinesDropped { .. } => 280,
        }
    }

    /// Returns whether the event is frequent and reports the normal course of a request.
    pub fn is_routine(&self) -> bool {
        matches!(
            self,
            Self::RequestSent { .. }
                | Self::RequestAnswered { .. }
                | Self::RequestForwarded { .. }
                | Self::ForwardingAnswered { .. }
        )
    }
}
