/*!
Messages between the entries and replicas of a fleet.

Messages are one-way and may be lost, delayed, duplicated or reordered. They carry state with a
version or an age, so none of them depends on all earlier ones having arrived.
*/

use {
    crate::{
        clock::Moment,
        consensus::ReplicaId,
        fleet::{
            compressed_table::CompressedTable,
            roster::{RosterUpdate, RosterVersion},
        },
        machine_clock::{ClockOffset, MachineClock},
        traffic::fingerprint::RequestFingerprint,
        util::stable_hash,
    },
    hemlockspool_model::names::{DomainName, RegionName, ServiceName, TargetName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// A message between instances of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetMessage {
    /// A heartbeat of an entry to a replica.
    EntryPulse(EntryHeartbeat),
    /// A reply of a replica to the heartbeat of an entry that follows it.
    PulseReply(HeartbeatReply),
    /// The published state: the route table and the evacuations.
    Published(PublishedState),
    /// An update of the roster.
    Roster(RosterUpdate),
    /// A heartbeat of a replica to another replica.
    ReplicaPulse(ReplicaHeartbeat),
    /// A replica's request to be added to the group; forwarded to the leader.
    Join {
        /// The incarnation of its data folder.
        id: ReplicaId,
        /// The peer address of the replica.
        peer: SocketAddr,
        /// The location of the replica.
        place: InstancePlace,
    },
    /// A reply of a replica to an entry that searches for a current one.
    SearchReply(SearchReply),
}

/// The location of an instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstancePlace {
    /// The region of the instance.
    pub region: RegionName,
    /// The failure domain within the region.
    pub domain: DomainName,
}

/// A periodic report of an entry to a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHeartbeat {
    /// The address on which callers connect.
    pub front: SocketAddr,
    /// The location of the entry.
    pub place: InstancePlace,
    /// Whether callers should send it requests.
    pub ready: bool,
    /// Whether it follows the receiver, which then replies and sends updates.
    pub follows: bool,
    /// The change number of its published state.
    pub change: u64,
    /// The version of its roster.
    pub roster: RosterVersion,
    /// The time since its list of targets was last read, in milliseconds; none without a list.
    pub roster_age_ms: Option<u64>,
    /// The hash of the live entries that it knows ([`LiveEntries::mark`]).
    pub census: u64,
    /// The demand of its own callers for each service, in busy slots.
    pub demand: BTreeMap<ServiceName, f32>,
    /// The utilization of its network link, in percent.
    pub link_percent: u8,
    /// The loads that targets reported within the last interval between heartbeats to this replica.
    pub loads: Vec<LoadSample>,
    /// The targets that the entry recently failed to reach.
    pub outages: Vec<OutageReport>,
    /// The sender's clock at the time of sending; returned in the reply.
    pub sent_at: Moment,
    /// What targets lately stated to the entry about their rate limits. Older instances send neither
    /// this field nor those after it; see [`PeerEnvelope`](crate::wire::PeerEnvelope).
    pub rate_limits: Vec<RateLimitReport>,
    /// The mark of the limits that it knows ([`RateLimitView::mark`]).
    pub rate_limits_mark: u64,
    /// Whether it can't connect to any target, not even through replicas, and forwards requests to
    /// other entries.
    pub cut_off: bool,
    /// The requests under which targets ended, and their answers.
    pub crashes: Vec<CrashReport>,
    /// The mark of those that it knows ([`CrashView::mark`]).
    pub crash_mark: u64,
    /// The value of [`CrashReport::run_ms`] for each of `crashes`, in the same order.
    pub crash_runs_ms: Vec<Option<u32>>,
    /// Whether it asks the receiver for a [`SearchReply`].
    pub searches: bool,
    /// The time of the latest heartbeat to which the receiver's reply has arrived, by the sender's
    /// clock, zero if none has; none if the sender doesn't follow the receiver.
    pub last_reply: Option<Moment>,
    /// The offset between the clocks of the sender's and the receiver's machine; none in heartbeats
    /// without a reply.
    pub clock_offset: Option<ClockOffset>,
    /// The time of the latest heartbeat to which a reply or answer of the receiver has arrived, by the
    /// sender's clock, zero if none has; older instances don't send it.
    pub last_answered: Option<Moment>,
}

/// A replica's answer to an entry that searches for a current replica, or measures how long messages
/// are delayed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SearchReply {
    /// The value of [`EntryHeartbeat::sent_at`].
    pub echo: Moment,
    /// Whether the replica is in contact with a leader that has a quorum.
    pub current: bool,
    /// The replica's clock at the time of sending; older instances don't send it.
    pub sent_at: Option<Moment>,
    /// The clock of the replica's machine, if known; older instances don't send it.
    pub machine_clock: Option<MachineClock>,
    /// The last value of [`EntryHeartbeat::clock_offset`] from the entry, if this heartbeat has none.
    pub stated_offset: Option<ClockOffset>,
}

/// The end of a target while it ran a request, or an answer to a request under which targets ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "CrashFields", into = "CrashFields")]
pub struct CrashReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The hash of the name of the target that ended ([`target_hash`]); none for an answer.
    pub target: Option<u32>,
    /// The time since then, in milliseconds.
    pub age_ms: u32,
    /// The time from sending the request to the end of the target, in milliseconds; none if unknown,
    /// or for an answer. Messages have it in a field of their own ([`CrashReport::runs_ms`]).
    pub run_ms: Option<u32>,
}

/// The fields of a report in a list of them, behind which older builds expect the next report.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct CrashFields {
    request: RequestFingerprint,
    target: Option<u32>,
    age_ms: u32,
}

impl From<CrashFields> for CrashReport {
    fn from(fields: CrashFields) -> Self {
        let CrashFields { request, target, age_ms } = fields;
        Self { request, target, age_ms, run_ms: None }
    }
}

impl From<CrashReport> for CrashFields {
    fn from(report: CrashReport) -> Self {
        let CrashReport { request, target, age_ms, .. } = report;
        Self { request, target, age_ms }
    }
}

impl CrashReport {
    /// Returns the times of runs of reports, in the same order, for a field of their own.
    pub fn runs_ms(reports: &[Self]) -> Vec<Option<u32>> {
        reports.iter().map(|report| report.run_ms).collect()
    }

    /// Returns decoded reports with the times of runs from the field of their own, which is shorter
    /// if an older build wrote it.
    pub fn with_runs<'a>(
        reports: &'a [Self],
        runs_ms: &'a [Option<u32>],
    ) -> impl Iterator<Item = Self> + use<'a> {
        let runs_ms = runs_ms.iter().copied().chain(std::iter::repeat(None));
        reports.iter().zip(runs_ms).map(|(report, run_ms)| Self { run_ms, ..*report })
    }
}

/// The requests under which targets ended, as known to an instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashView {
    /// Identifies the reports, without their ages.
    pub mark: u64,
    /// The crashes and answers.
    pub reports: Vec<CrashReport>,
}

/// What a target stated to an entry about its rate limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimitReport {
    /// The hash of the target's name; see [`target_hash`].
    pub target: u32,
    /// The number of requests per second that it takes from all entries together; none if it stated
    /// no limit any more.
    pub per_s: Option<f32>,
    /// The age of the statement, in milliseconds.
    pub age_ms: u16,
}

/// The rate limits that a replica knows of.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RateLimitView {
    /// Identifies the limits.
    pub mark: u64,
    /// The limit of each target that has one, in requests per second of all entries together; none
    /// if the receiver knows them.
    pub limits: Option<BTreeMap<u32, f32>>,
}

/// A load that a target reported.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSample {
    /// The hash of the target's name; see [`target_hash`].
    pub target: u32,
    /// The number of requests running or queued at the target.
    pub requests: u16,
    /// The age of the sample, in milliseconds.
    pub age_ms: u16,
}

/// A report of a target that an entry couldn't reach: a connection timed out although the entry's
/// link was uncongested, or another instance was found at the target's address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutageReport {
    /// The hash of the target's name; see [`target_hash`].
    pub target: u32,
    /// The age of the report, in milliseconds.
    pub age_ms: u16,
}

/// Returns the hash that identifies a target in load samples and outage reports.
pub fn target_hash(target: &TargetName) -> u32 {
    stable_hash(target.as_str().as_bytes()) as u32
}

/// A reply of a replica to a heartbeat of an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// The value of [`EntryHeartbeat::sent_at`] in the heartbeat.
    pub echo: Moment,
    /// Whether the replica is in contact with a leader that has a quorum, and isn't stopping.
    pub current: bool,
    /// The version of the replica's roster.
    pub roster: RosterVersion,
    /// The time since the replica's list of targets was last read, in milliseconds; a very large
    /// value if it never was.
    pub roster_age_ms: u64,
    /// The peer addresses of the group's members and of the replica's seeds.
    pub replicas: Vec<SocketAddr>,
    /// The live entries, if they differ from those that the entry knows.
    pub census: Option<LiveEntries>,
    /// The demand of each region for each service, in busy slots.
    pub demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    /// The latest loads of the busy targets of the entry's region.
    pub busy: Vec<LoadSample>,
    /// The targets that several failure domains of the entry's region recently failed to reach.
    pub outages: Vec<OutageReport>,
    /// The rate limits of targets; none while the replica may not know all of them.
    pub rate_limits: Option<RateLimitView>,
    /// The peer addresses of the replicas through which the entry may connect to targets if it can't
    /// itself: those of its region, or this one.
    pub bridges: Vec<SocketAddr>,
    /// The requests under which targets ended; none if the entry knows the same.
    pub crashes: Option<CrashView>,
    /// The value of [`CrashReport::run_ms`] for each report of `crashes`, in the same order.
    pub crash_runs_ms: Vec<Option<u32>>,
    /// The replica's clock at the time of sending; older instances don't send it.
    pub sent_at: Option<Moment>,
    /// The clock of the replica's machine, if known; older instances don't send it.
    pub machine_clock: Option<MachineClock>,
    /// The last value of [`EntryHeartbeat::clock_offset`] from the entry, if this heartbeat has none.
    pub stated_offset: Option<ClockOffset>,
}

/// The ready entries that reach targets, as known to a replica.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveEntries {
    /// The hash of `entries`.
    pub mark: u64,
    /// The location of each entry by its peer address.
    pub entries: BTreeMap<SocketAddr, InstancePlace>,
}

/// The state published by operators as of a change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedState {
    /// The change number: how many changes the state includes.
    pub change: u64,
    /// The version of the route table.
    pub version: u64,
    /// The route table; none when the receiver has this version or no table was published yet.
    pub table: Option<CompressedTable>,
    /// The failure domains whose targets get no requests.
    pub evacuated: BTreeSet<DomainName>,
}

/// A periodic report of a replica to another replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaHeartbeat {
    /// The location of the replica.
    pub place: InstancePlace,
    /// The version of its roster.
    pub roster: RosterVersion,
    /// The time since its list of targets was last read, in milliseconds; a very large value if it
    /// never was.
    pub roster_age_ms: u64,
    /// The sender's clock at the time of sending. Older instances send neither this field nor the
    /// next one.
    pub sent_at: Option<Moment>,
    /// The value of `sent_at` in the latest heartbeat of the receiver that has arrived, zero if none
    /// has.
    pub last_heard: Option<Moment>,
}
