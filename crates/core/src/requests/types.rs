/*!
What the shell tells of a request, and what it is told to do with it.
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

/// Names a request at one entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Its number.
    pub id: RequestId,
    /// The service asked for.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// The caller's address.
    pub caller: IpAddr,
    /// Whether another entry passes it on; that entry has done the caller's part then.
    pub forwarded: bool,
    /// The caller's key.
    pub key: Option<String>,
    /// SHA-256 of kind, path and body, where the body is held.
    pub digest: [u8; 32],
    /// The time left to answer, when the caller names it.
    pub deadline: Option<Duration>,
    /// The size of the body, as far as announced, in bytes.
    pub body_bytes: u64,
    /// Whether the body is held, so that it can be sent again.
    pub replayable: bool,
}

/// Something that happens to a request.
#[derive(Clone, Debug)]
pub enum RequestEvent {
    /// It arrives.
    Arrived(Box<IncomingRequest>),
    /// An attempt ends.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// How.
        result: AttemptResult,
    },
    /// Nobody waits for it any more, or its answer is out.
    Closed {
        /// The request.
        id: RequestId,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Nothing of it reached the other side.
    NotSent,
    /// The other side says that it did not run it.
    NotRun {
        /// When to come back, if it says so.
        retry_after: Option<Duration>,
    },
    /// A complete answer came; what to keep of it for resends.
    Answered {
        /// The answer, for a request that runs at most once.
        answer: Option<StoredResponse>,
        /// How long the other side took to begin its answer.
        latency: Duration,
    },
    /// It broke off after something was sent, or ran out of time.
    Interrupted,
    /// Its answer broke off after a part of it had been passed on to the caller.
    Truncated,
}

/// Where an attempt goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptDestination {
    /// A target of this failure domain.
    Local {
        /// The target.
        target: TargetName,
    },
    /// An entry of another failure domain.
    Remote {
        /// The entry.
        entry: InstanceName,
        /// The link that the request's bytes take, when it is in another region.
        link: Option<LinkName>,
    },
}

/// An attempt to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchAttempt {
    /// Its number within the request.
    pub attempt: u32,
    /// Where it goes.
    pub destination: AttemptDestination,
    /// The address there.
    pub address: SocketAddr,
    /// The time left to answer.
    pub time_left: Duration,
    /// The first byte may go out only before this moment: by then the entry's part of the slots
    /// may have passed to another.
    pub valid_until: Moment,
}

/// How to go on with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Make an attempt.
    Dispatch(DispatchAttempt),
    /// Give it up, with the final answer.
    Refuse(RefusalResponse),
    /// Answer with what was recorded.
    Replay(StoredResponse),
}
