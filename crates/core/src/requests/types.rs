/*!
Events that the shell reports about a request, and the actions that it gets back.
*/

use {
    crate::{clock::Moment, ledger::StoredResponse},
    hemlockspool_model::{
        api::RefusalResponse,
        names::{InstanceName, KindName, LinkName, ServiceName, TargetName},
    },
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Identifies a request within one incarnation of an entry's process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// A request as it arrived at the entry.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The request's identifier.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// The caller's address.
    pub caller: IpAddr,
    /// Whether another entry forwarded it. That entry has then already acquired the claim, if the
    /// request needs one, and counts the request in its tallies.
    pub forwarded: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The SHA-256 digest of the method, the kind, the path, the query and, if it is held in
    /// memory, the body.
    pub digest: [u8; 32],
    /// The time left to respond, if the caller or the forwarding entry states it.
    pub deadline: Option<Duration>,
    /// The size of the body in bytes, as announced or as read; zero if it isn't known yet.
    pub body_bytes: u64,
    /// Whether the body is held in memory, so that it can be sent again.
    pub replayable: bool,
}

/// An event in the course of a request.
#[derive(Clone, Debug)]
pub enum RequestEvent {
    /// The request arrived.
    Arrived(Box<IncomingRequest>),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
        /// The result of the attempt.
        result: AttemptResult,
    },
    /// The shell is done with the request: the caller went away, or the response or refusal is
    /// complete.
    Closed {
        /// The request.
        id: RequestId,
    },
}

/// The result of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Nothing was sent to the destination.
    NotSent,
    /// The destination stated that it did not run the request.
    NotRun {
        /// The time after which to retry, if stated.
        retry_after: Option<Duration>,
    },
    /// A complete response arrived, or the head of one that is too large to be forwarded.
    Answered {
        /// The response to store for retries, if the request runs at most once.
        response: Option<StoredResponse>,
        /// The time from sending the request to the start of the response.
        latency: Duration,
    },
    /// The request may have run, and there is no response for the caller: the connection failed
    /// after something may have been sent, the destination stated that the request may have run, or
    /// its response can't be checked for truncation.
    Interrupted,
    /// The request may have run, and no complete response arrived in the time that it had.
    TimedOut,
    /// The response ended early after a part of it had been passed on to the caller.
    Truncated,
}

/// The destination of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptDestination {
    /// A target in this failure domain.
    Local {
        /// The target.
        target: TargetName,
    },
    /// An entry in another failure domain.
    Remote {
        /// The entry.
        entry: InstanceName,
        /// The link that carries the request's bytes, if the entry is in another region and a link
        /// to that region is declared.
        link: Option<LinkName>,
    },
}

/// An attempt for the shell to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchAttempt {
    /// The number of the attempt within the request.
    pub attempt: u32,
    /// The destination of the attempt.
    pub destination: AttemptDestination,
    /// The destination's address.
    pub address: SocketAddr,
    /// The time left to respond.
    pub time_left: Duration,
    /// The last moment at which the first byte may be sent. After it, the entry's share of the
    /// slots may have passed to another entry, or the shift window may no longer count the attempt
    /// when it starts at its target.
    pub valid_until: Moment,
}

/// The next step of a request, for the shell to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Makes an attempt.
    Dispatch(DispatchAttempt),
    /// Ends the request with a refusal.
    Refuse(RefusalResponse),
    /// Responds with the response stored for an earlier run.
    Replay(StoredResponse),
}
