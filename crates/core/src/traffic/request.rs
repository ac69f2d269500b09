/*!
A request on its way through an entry.
*/

use {
    crate::{clock::Moment, fleet::routes::ResolvedRoute, traffic::connect_meter::ConnectTimeout},
    hemlockspool_model::{
        names::{RegionName, ServiceName, TargetName},
        objects::RepeatPolicy,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What an entry reads from the head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    /// The request's id, as its caller chose it.
    pub id: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The object that it concerns.
    pub key: Option<&'a str>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
}

/// A request that was let in.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: Arc<ResolvedRoute>,
    /// The service that runs it.
    pub service: ServiceName,
    /// A hash of the object that it concerns.
    pub(crate) key: u64,
    /// Where most of its work should run.
    pub(crate) region: Option<RegionName>,
    /// When its head was read.
    pub arrived: Moment,
    /// When its caller or its route gives up.
    pub deadline: Moment,
    /// Until when its answer is worth its full credit.
    pub(crate) goal_at: Moment,
    /// Targets that were tried.
    pub(crate) tried: Vec<TargetName>,
    /// Attempts that reached a target.
    pub(crate) arrivals: u32,
    /// Connections that could not be made.
    pub(crate) misses: u32,
    /// What is booked on the entry's link for its answer, in bytes.
    pub(crate) booked_bytes: f64,
    /// How long its last connection was allowed to take.
    pub(crate) connect_timeout: ConnectTimeout,
    /// Whether the last target that refused it said that it had room.
    pub(crate) refused_with_room: bool,
    /// Attempts that may have run it.
    pub(crate) runs: u32,
    /// Whether a target may have run it.
    pub may_have_run: bool,
}

impl AdmittedRequest {
    /// Tells whether the request may be sent to one more target after this attempt.
    pub fn may_retry(&self) -> bool {
        self.route.repeat == RepeatPolicy::Safe && self.runs + 1 < self.route.attempts
    }
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetAttempt {
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long a connection to it may take.
    pub connect_timeout: Duration,
    /// What is left of the caller's time; the target is told, and the attempt ends with it.
    pub time_left: Duration,
    /// Whether only a connection that was made for it may carry it.
    pub new_connection: bool,
}

/// Why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoTable,
    /// No route matches.
    NoRoute,
    /// No target has room for it in time.
    NoCapacity,
    /// This entry's link is busy for too long.
    LinkSaturated,
    /// No target can be reached.
    NoTarget,
    /// This entry is stopping.
    Stopping,
    /// Targets failed it, and it may have run.
    OutcomeUnknown,
    /// Its time is up.
    TimedOut,
}

impl RefusalReason {
    /// Returns the word for it in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTable => "no table",
            Self::NoRoute => "no route",
            Self::NoCapacity => "no room in time",
            Self::LinkSaturated => "link full",
            Self::NoTarget => "no target",
            Self::Stopping => "stopping",
            Self::OutcomeUnknown => "unclear",
            Self::TimedOut => "timed out",
        }
    }

    /// Tells whether the request has not run and will not.
    pub fn is_known_not_run(self) -> bool {
        !matches!(self, Self::OutcomeUnknown | Self::TimedOut)
    }
}

/// An end without a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Make an attempt.
    Send(TargetAttempt),
    /// End it.
    Refuse(RequestRefusal),
}

/// What a target tells of itself with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The target says that it did not run the request.
    NotRun {
        /// The target's load, if told.
        load: Option<TargetLoad>,
        /// Whether another instance answered at its address.
        replaced: bool,
    },
    /// The target answered.
    Answered {
        /// The status.
        status: u16,
        /// The target's load, if told.
        load: Option<TargetLoad>,
    },
    /// The connection broke, or what came is not an answer to this request.
    Interrupted,
    /// A kept connection ended before an answer; the target may just have closed it.
    ConnectionClosed,
    /// No answer came in time.
    TimedOut,
    /// The caller has gone.
    Cancelled,
}

impl AttemptResult {
    /// Tells whether the target surely was reached.
    pub(crate) fn reached_target(self) -> bool {
        !matches!(self, Self::NotSent | Self::TimedOut | Self::Cancelled)
    }
}
