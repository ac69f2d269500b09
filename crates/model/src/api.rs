/*!
HTTP bodies and header names used by instances, operators, callers, targets and the platform.

All bodies are JSON. docs/API.md documents each of them with its statuses and examples.
*/

use {
    crate::{
        delta::SetDelta,
        names::{
            ConfigVersion, DomainName, InstanceName, KindName, OperatorName, RequestTag,
            ServiceName,
        },
        objects::DeclaredObject,
        validation::SetError,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The header for the outcome of a request: `not-run`, `ran` or `unknown`.
pub const OUTCOME_HEADER: &str = "hemlockspool-outcome";
/// The header for the configuration version that the entry held when it responded. On a refusal,
/// that version may not be in force yet.
pub const VERSION_HEADER: &str = "hemlockspool-version";
/// The header for the entry that responded to the caller.
pub const ENTRY_HEADER: &str = "hemlockspool-entry";
/// The header for the target that ran the request.
pub const TARGET_HEADER: &str = "hemlockspool-target";
/// The header for the time left to respond, in milliseconds.
pub const DEADLINE_HEADER: &str = "hemlockspool-deadline-ms";
/// The header for the entry that forwarded a request, absent on requests from callers.
pub const FORWARDED_HEADER: &str = "hemlockspool-forwarded-by";
/// The header for the caller's address as seen by the first entry, on a forwarded request.
pub const CALLER_HEADER: &str = "hemlockspool-caller";
/// The header for the token that proves that a request comes from an entry of the deployment.
pub const PEER_TOKEN_HEADER: &str = "hemlockspool-peer-token";
/// The header for the key of a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The outcome of a request: whether a target ran it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request did not run and will not.
    NotRun,
    /// The request ran. The response is the target's, unless its body is a [`RefusalResponse`].
    Ran,
    /// The request may have run.
    Unknown,
}

impl RunOutcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// The reason for which a request was refused or given up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The service or kind is not declared, or the path names none.
    NoSuchKind,
    /// The entry has no configuration in force yet.
    NoConfiguration,
    /// No slot is free in time, or no further attempt is allowed after attempts that were all
    /// refused or not sent.
    Overloaded,
    /// The caller's running and waiting requests use up its share, or the request lost its place in
    /// the queue to that of another caller.
    CallerOverShare,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// The entry has no share of slots at any usable target of the service.
    NoTarget,
    /// The entry has used up its share of the region's limit on callers with their home in another
    /// region, or was started too recently to know how much of it is left.
    ShiftCap,
    /// The request body is larger than its kind allows.
    BodyTooLarge,
    /// A request that runs at most once has no key.
    KeyMissing,
    /// The key is longer than the ledger allows.
    KeyTooLong,
    /// The key was already used for a different request.
    KeyReused,
    /// No quorum recorded the claim in time, or too many commands of the entry are pending.
    NoQuorum,
    /// The ledger holds the maximum number of claims.
    ClaimsFull,
    /// An earlier request with this key is not settled yet.
    ClaimOpen,
    /// The request ran, but its response is larger than its kind allows.
    AnswerTooLarge,
    /// An attempt ended without a complete response, or the request body could not be read.
    AttemptFailed,
}

/// The body of a refusal, whatever its HTTP status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalResponse {
    /// The reason.
    pub reason: RefusalReason,
    /// The outcome of the request.
    pub outcome: RunOutcome,
    /// The delay after which to retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The response to a lookup of the entries that a caller should use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupResponse {
    /// The entries in order of preference.
    pub entries: Vec<LookupEntry>,
    /// The TTL of the response, in milliseconds.
    pub ttl_ms: u64,
    /// The configuration version on which the response is based.
    pub version: ConfigVersion,
    /// The time since a quorum last confirmed that version, in milliseconds, or `None` if no
    /// confirmation of it is known.
    pub confirmed_age_ms: Option<u64>,
}

/// An entry in a lookup response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupEntry {
    /// The name of the entry.
    pub name: InstanceName,
    /// The failure domain of the entry.
    pub domain: DomainName,
    /// The address for requests.
    pub address: SocketAddr,
}

/// An operator's request to publish a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// A tag chosen by the sender. If the ledger still has an `Accepted`, `Faulty` or `Conflict`
    /// outcome for the tag, a request with the same tag returns that outcome.
    pub request: RequestTag,
    /// The version on which the change is based.
    pub base: ConfigVersion,
    /// The change.
    pub change: PublishChange,
}

/// The content of a publication.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishChange {
    /// All objects of the new set.
    Objects(Vec<DeclaredObject>),
    /// The delta from the base to the new set; its size depends on the change, not on the set.
    Delta(SetDelta),
}

/// The outcome of a publication.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishOutcome {
    /// The publication is committed.
    Accepted {
        /// The new version.
        version: ConfigVersion,
    },
    /// The set failed validation.
    Faulty {
        /// The errors of the set, 200 at most.
        faults: Vec<SetError>,
    },
    /// The base is not the current version, usually because another publication was committed
    /// since.
    Conflict {
        /// The current version.
        current: ConfigVersion,
        /// The changes since the base, one line per object, up to 200 lines. Empty if the ledger
        /// doesn't have all of them.
        changed: Vec<String>,
    },
    /// The base version is the current one, but is not in force at the entry, which therefore could
    /// not compute the delta.
    Behind {
        /// The current version.
        current: ConfigVersion,
    },
    /// The token is missing or unknown.
    Unauthorised,
    /// No quorum replied in time; the publication may still come into force.
    Unknown,
}

/// The set in force at an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigResponse {
    /// The version of the set.
    pub version: ConfigVersion,
    /// All objects of the set.
    pub objects: Vec<DeclaredObject>,
}

/// A record of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The sequence number, starting at 1.
    pub sequence: u64,
    /// The time at which the leader accepted the request, as Unix time in milliseconds. It never
    /// goes back from one record to the next. The record of a new member set has the time of the
    /// latest command before it.
    pub at_ms: u64,
    /// The operator who made the request, or `None` if the token was unknown or the record is about
    /// a new member set, the route table or an evacuation.
    pub operator: Option<OperatorName>,
    /// The tag of the operator's publication, `replicas` for a change of the replicas without a
    /// valid token, and empty otherwise.
    pub request: RequestTag,
    /// The action and its result.
    pub action: AuditAction,
    /// The version before the request: of the route table if the record is about the route table or
    /// an evacuation, of the configuration otherwise.
    pub from: ConfigVersion,
    /// The version after the request, of the same kind as `from`.
    pub to: ConfigVersion,
    /// The changes, one line per object of a publication or per replica of a new member set, up to
    /// 200 lines.
    pub changed: Vec<String>,
    /// The hexadecimal SHA-256 of this record and the previous record's chain value.
    pub chain: String,
}

/// The action of an audit record, with its result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// A publication, a route table or an evacuation was accepted.
    Accepted,
    /// A publication was refused because its set failed validation.
    Faulty,
    /// A publication or a route table was refused because another one was committed since its base,
    /// or because the version of the route table did not increase.
    Conflict,
    /// A request had no valid token.
    Unauthorised,
    /// A requested change of the replicas was accepted, or a new member set was committed.
    Members,
}

/// A page of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditResponse {
    /// The records in order of their sequence numbers.
    pub records: Vec<AuditRecord>,
    /// The sequence number at which the next page starts, or `None` on the last page.
    pub next: Option<u64>,
}

/// The number of requests of one kind that ran in one month. Requests whose response was lost or
/// cut short are not counted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MonthlyTally {
    /// The month, as year times 100 plus month.
    pub month: u32,
    /// The service.
    pub service: ServiceName,
    /// The kind.
    pub kind: KindName,
    /// The number of requests that ran.
    pub requests: u64,
    /// The sum of the weights of these requests.
    pub weighted: u64,
}

/// An operator's request to change the set of replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaRequest {
    /// Makes this instance the first voter of a new deployment.
    Init,
    /// Adds an instance that has requested to join.
    Add(InstanceName),
    /// Removes an instance.
    Remove(InstanceName),
}

/// The response to a change of the replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaResponse {
    /// The change was accepted and takes effect once it is committed, or had already been made.
    Done,
    /// An earlier change is still in progress, or the leader has committed no entry of its term.
    Busy,
    /// The instance has no replica in the group and, for an addition, has not requested to join in
    /// the last few seconds.
    NotKnown,
    /// The change would leave the group without a quorum of responsive voters.
    WouldBreakQuorum,
    /// The data folder already belongs to a deployment.
    NotEmpty,
    /// This instance has no data folder.
    NoFolder,
    /// This instance is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceName>,
    },
    /// The token is missing or unknown.
    Unauthorised,
}

/// The state of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusResponse {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The version in force at this instance, or `None` until a first one is in force.
    pub version: Option<ConfigVersion>,
    /// The time since a quorum last confirmed the version that the instance holds, in milliseconds,
    /// or `None` if no confirmation of it is known.
    pub confirmed_age_ms: Option<u64>,
    /// Whether the instance is stopping.
    pub stopping: bool,
    /// The members of the failure domain: this instance, and those from which it receives
    /// heartbeats.
    pub domain_members: Vec<InstanceName>,
    /// The number of requests in flight from this instance to targets of its failure domain.
    pub in_flight: u64,
    /// The number of requests that wait in queues of this instance.
    pub queued: u64,
    /// The state of each target of the failure domain.
    pub targets: Vec<TargetStatus>,
    /// The state of the replicated log, or `None` if the instance holds no replica.
    pub replica: Option<ReplicaStatus>,
    /// The versions in force at this instance and at the entries whose reports to it are current.
    pub in_force: Vec<EntryVersion>,
}

/// The state of a target as seen by an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub name: String,
    /// The number of requests in flight from this entry.
    pub in_flight: u32,
    /// The number of slots that this entry may currently use.
    pub share: u32,
    /// Whether the target gets no new work because it is drained, reports that it is draining, or
    /// is about to stop according to the platform's list.
    pub leaving: bool,
    /// Whether the target is ejected after failures.
    pub ejected: bool,
}

/// The response of a target at `/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetLoad {
    /// The number of requests that the target runs or has queued.
    pub load: u32,
    /// Whether the target is about to stop.
    pub draining: bool,
}

/// An instance in the platform's list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The name under which the instance is declared.
    pub name: String,
    /// Whether the instance is about to stop.
    pub leaving: bool,
}

/// The state of an instance's replica of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The role: `leader`, `follower`, `candidate`, `learner`, or `blank`, which means that the
    /// replica belongs to no deployment yet.
    pub role: String,
    /// The current term.
    pub term: u64,
    /// The last committed index.
    pub commit: u64,
    /// The last index on disk.
    pub durable: u64,
    /// The leader, if known.
    pub leader: Option<InstanceName>,
    /// All replicas.
    pub members: Vec<MemberStatus>,
}

/// A replica in the membership recorded in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The name of the replica's instance.
    pub name: InstanceName,
    /// Whether the replica is a voter.
    pub voter: bool,
    /// The last index that the replica is known to have on disk; only the leader knows it.
    pub matched: Option<u64>,
}

/// The version in force at one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryVersion {
    /// The name of the entry.
    pub name: InstanceName,
    /// The version in force at the entry.
    pub version: ConfigVersion,
}
