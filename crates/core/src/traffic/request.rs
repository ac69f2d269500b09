/*!
The state of a request and of its attempts.
*/

use {
    crate::{
        clock::Moment,
        fleet::routes::ResolvedRoute,
        traffic::{
            connect_meter::ConnectTimeout,
            fingerprint::RequestFingerprint,
            late_cause::AttemptTimes,
            request_time::{RequestTime, TimeLimit},
        },
    },
    hemlockspool_model::{
        names::{RegionName, ServiceName, TargetName},
        table::RouteRepeat,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The properties of a request that the entry reads from its head.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// The request's identifier, chosen by the caller. A request without one, for which this is
    /// empty, is refused.
    pub id: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The key of the object that the request is about.
    pub key: Option<&'a str>,
    /// The longest time the caller waits, if it states one.
    pub timeout: Option<Duration>,
    /// The length of the body in bytes; none if the caller doesn't state it.
    pub body_bytes: Option<u64>,
    /// Whether another entry forwarded the request.
    pub is_forwarded: bool,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The request's identifier.
    pub id: String,
    /// The route that it matched.
    pub route: Arc<ResolvedRoute>,
    /// The service that runs it.
    pub service: ServiceName,
    /// The hash of its object's key, or of a counter if it has no key or its route isn't sticky.
    pub(crate) key_hash: u64,
    /// The region in which it should run, if not the entry's own.
    pub(crate) preferred_region: Option<RegionName>,
    /// The time that it may take.
    pub time: RequestTime,
    /// The end of that time, as far as it is known.
    pub limit: TimeLimit,
    /// The time from which on it is refused if it hasn't been sent to a target: its time will
    /// probably be over before a response reaches its caller.
    pub(crate) refused_at: Moment,
    /// The time until which a response meets the route's goal.
    pub(crate) goal_deadline: Moment,
    /// The targets of all attempts, except those that may be tried again.
    pub(crate) tried_targets: Vec<TargetName>,
    /// The number of attempts that may have reached a target.
    pub(crate) delivered_attempts: u32,
    /// The number of attempts in which nothing was sent.
    pub(crate) failed_connects: u32,
    /// The bytes reserved on the entry's link for its body and its response.
    pub(crate) reserved_bytes: f64,
    /// The memory reserved for its body, in bytes. Must be released when the request ends.
    pub body_memory: u64,
    /// Whether a part of its body has been sent that isn't kept, so that no other target can get
    /// it.
    pub body_consumed: bool,
    /// The times of the last attempt.
    pub(crate) last_attempt: AttemptTimes,
    /// The connect timeout of the last attempt.
    pub(crate) connect_timeout: ConnectTimeout,
    /// Whether the last target that refused it reported free capacity.
    pub(crate) refused_with_capacity: bool,
    /// The target that refused it and may get it again.
    pub(crate) retried_target: Option<TargetName>,
    /// The number of attempts in which a target may have run it.
    pub(crate) possible_runs: u32,
    /// Whether a target may have run it.
    pub may_have_run: bool,
    /// Whether its last attempt was made through a replica.
    pub(crate) is_bridged: bool,
    /// Whether another entry forwarded it to this one.
    pub is_forwarded: bool,
    /// Identifies the request across repeats; none while that isn't known.
    pub fingerprint: Option<RequestFingerprint>,
    /// Whether it is sent for a single attempt, to find out whether it still ends its targets.
    pub(crate) is_trial: bool,
    /// The peer addresses of the entries to which this one forwarded it.
    pub(crate) tried_peers: Vec<SocketAddr>,
}

impl AdmittedRequest {
    /// Records the time that it took to connect for the last attempt; zero on a connection that was
    /// there before.
    pub fn record_connect_time(&mut self, elapsed: Duration) {
        self.last_attempt.connect_time = elapsed;
    }

    /// Returns whether the request may be retried even if the attempt under way runs it.
    pub fn may_retry(&self) -> bool {
        self.route.repeat == RouteRepeat::Safe
            && self.possible_runs + 1 < self.route.attempts
            && !self.body_consumed
            && !self.is_trial
    }
}

/// Which connection an attempt may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// A kept one that has carried a request, or a new one.
    Any,
    /// One that has carried nothing: a kept one or a new one.
    Unused,
    /// A new one, for attempts that are too rare for unused ones to be kept ready for them.
    New,
}

/// An attempt to be made at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetAttempt {
    /// The target.
    pub target: TargetName,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The connect timeout.
    pub connect_timeout: Duration,
    /// The time left before the deadline; it is sent to the target and is the timeout of the
    /// attempt.
    pub time_left: Duration,
    /// Which connection the attempt may use.
    pub connection: ConnectionChoice,
    /// The peer address of the replica through which to connect, if this entry is cut off.
    pub bridge: Option<SocketAddr>,
}

/// An attempt to be made through another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerAttempt {
    /// The address at which the other entry listens for callers.
    pub address: SocketAddr,
    /// The connect timeout.
    pub connect_timeout: Duration,
    /// The time left before the deadline; it is sent to the other entry and is the timeout of the
    /// attempt.
    pub time_left: Duration,
}

/// The reason why a request ends without a response from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No route table or no target is known.
    NoTable,
    /// No route matches, or the request has no identifier.
    NoRoute,
    /// No target ran it: none had capacity in time, or its attempts, its time or the retry budget
    /// ran out.
    NoCapacity,
    /// The backlog of this entry's link is too long.
    LinkSaturated,
    /// Targets end when they run it.
    Quarantined,
    /// No target that it hasn't tried yet is available, or too many of its connections failed.
    NoTarget,
    /// This entry is stopping.
    Stopping,
    /// Its body is larger than the table allows.
    BodyTooLarge,
    /// This entry has no memory left for its body.
    BodyMemory,
    /// Its caller was silent for too long within the body.
    BodyStalled,
    /// Its body ended before its announced length.
    BodyIncomplete,
    /// Its attempts failed, and a target may have run it.
    OutcomeUnknown,
    /// Its deadline has passed, and a target may have run it.
    TimedOut,
}

impl RefusalReason {
    /// Returns the text of the reason in log events and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTable => "no table",
            Self::NoRoute => "no route",
            Self::NoCapacity => "no room in time",
            Self::LinkSaturated => "link full",
            Self::Quarantined => "ends its targets",
            Self::NoTarget => "no target",
            Self::Stopping => "stopping",
            Self::BodyTooLarge => "body too large",
            Self::BodyMemory => "no memory for the body",
            Self::BodyStalled => "body stalled",
            Self::BodyIncomplete => "body incomplete",
            Self::OutcomeUnknown => "unclear",
            Self::TimedOut => "timed out",
        }
    }

    /// Returns whether the request certainly has not run and will not. It is unknown for a request
    /// that ends because of its body: a target may run it before it has received the whole body.
    pub fn is_known_not_run(self) -> bool {
        !matches!(
            self,
            Self::OutcomeUnknown
                | Self::TimedOut
                | Self::BodyTooLarge
                | Self::BodyStalled
                | Self::BodyIncomplete
        )
    }
}

/// The end of a request without a response from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time after which the caller may retry; none if no route matched or a target may have run
    /// the request.
    pub retry_after: Option<Duration>,
}

/// The next step of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Make an attempt.
    Send(TargetAttempt),
    /// Make an attempt through another entry, since this one is cut off from targets.
    Forward(PeerAttempt),
    /// Refuse the request.
    Refuse(RequestRefusal),
}

/// The load that a target reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait.
    pub waiting: u32,
    /// The number of requests that the target runs at the same time.
    pub slots: u32,
}

/// The bytes that a request took on the entry's link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TransferredBytes {
    /// The bytes of the request's body.
    pub body: u64,
    /// The bytes of the response's body, without the streamed part of a large one, and of both
    /// heads.
    pub response: u64,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Nothing was sent: no connection could be made, or a new one closed before the request was
    /// written.
    NotSent,
    /// The target reported that it did not run the request.
    NotRun {
        /// The target's load, if reported.
        load: Option<TargetLoad>,
        /// Whether another instance answered at the target's address.
        replaced: bool,
    },
    /// The target answered.
    Answered {
        /// The status code.
        status: u16,
        /// The target's load, if reported.
        load: Option<TargetLoad>,
    },
    /// The connection broke, or the data received is not a response to this request.
    Interrupted,
    /// A reused connection closed before a response; the target may have closed it while it was
    /// idle.
    ConnectionClosed,
    /// No response came in time.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
    /// The caller's body was too large, stalled or ended early while it was passed on.
    BodyFailed,
}

impl AttemptResult {
    /// Returns the text of the result in log events and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "no connection",
            Self::NotRun { replaced: true, .. } => "another instance at its address",
            Self::NotRun { .. } => "not run",
            Self::Answered { .. } => "answered",
            Self::Interrupted => "broken answer",
            Self::ConnectionClosed => "kept connection ended",
            Self::TimedOut => "no answer in time",
            Self::Cancelled => "caller gone",
            Self::BodyFailed => "broken body",
        }
    }

    /// Returns whether the connection to the target ended before a response. The target may have
    /// ended, too.
    pub fn is_broken(self) -> bool {
        matches!(self, Self::Interrupted | Self::ConnectionClosed)
    }

    /// Returns whether the attempt certainly had a connection, new or reused, to the target's
    /// address.
    pub(crate) fn reached_target(self) -> bool {
        !matches!(self, Self::NotSent | Self::TimedOut | Self::Cancelled | Self::BodyFailed)
    }
}
