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
        util::stable_hash,
    },
    hemlockspool_model::names::{DomainName, RegionName, ServiceName, TargetName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Message between instances of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Heartbeat of an entry to a replica.
    EntryPulse(EntryHeartbeat),
    /// Reply of a replica to the heartbeat of an entry that follows it.
    PulseReply(HeartbeatReply),
    /// Published state: route table and evacuations.
    Published(PublishedState),
    /// Update of the roster.
    Roster(RosterUpdate),
    /// Heartbeat of a replica to another replica.
    ReplicaPulse(ReplicaHeartbeat),
    /// Request of a replica to be added to the group; forwarded to the leader.
    Join {
        /// Incarnation of its data folder.
        id: ReplicaId,
        /// Peer address of the replica.
        peer: SocketAddr,
        /// Location of the replica.
        place: InstancePlace,
    },
}

/// Location of an instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstancePlace {
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain within the region.
    pub domain: DomainName,
}

/// Periodic report of an entry to a replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHeartbeat {
    /// Address on which callers connect.
    pub front: SocketAddr,
    /// Location of the entry.
    pub place: InstancePlace,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it follows the receiver, which then replies and sends updates.
    pub follows: bool,
    /// Change number of its published state.
    pub change: u64,
    /// Version of its roster.
    pub roster: RosterVersion,
    /// Time since its list of targets was last read, in milliseconds; none without a list.
    pub roster_age_ms: Option<u64>,
    /// Hash of the live entries that it knows ([`LiveEntries::mark`]).
    pub census: u64,
    /// Demand of its own callers, in busy slots of each service.
    pub demand: BTreeMap<ServiceName, f32>,
    /// Utilization of its network link, in percent.
    pub link_percent: u8,
    /// Loads that targets reported since the last heartbeat to this replica.
    pub loads: Vec<LoadSample>,
    /// Targets to which connections failed recently.
    pub outages: Vec<OutageReport>,
    /// Sender's clock at the time of sending; returned in the reply.
    pub sent_at: Moment,
}

/// Load that a target reported.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSample {
    /// Hash of the target's name; see [`target_hash`].
    pub target: u32,
    /// Number of requests running or queued at the target.
    pub requests: u16,
    /// Age of the sample, in milliseconds.
    pub age_ms: u16,
}

/// Report of a target that an entry couldn't reach.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutageReport {
    /// Hash of the target's name; see [`target_hash`].
    pub target: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u16,
}

/// Returns the hash that identifies a target in load samples and outage reports.
pub fn target_hash(target: &TargetName) -> u32 {
    stable_hash(target.as_str().as_bytes()) as u32
}

/// Reply of a replica to a heartbeat of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Value of [`EntryHeartbeat::sent_at`] in the heartbeat.
    pub echo: Moment,
    /// Whether the replica is in contact with a leader that has a quorum.
    pub current: bool,
    /// Version of the replica's roster.
    pub roster: RosterVersion,
    /// Time since the replica's list of targets was last read, in milliseconds.
    pub roster_age_ms: u64,
    /// Peer addresses of all replicas.
    pub replicas: Vec<SocketAddr>,
    /// Live entries, if they differ from those that the entry knows.
    pub census: Option<LiveEntries>,
    /// Demand of each region, in busy slots of each service.
    pub demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    /// Heavily loaded targets of the entry's region.
    pub busy: Vec<LoadSample>,
    /// Targets that several failure domains of the entry's region failed to reach recently.
    pub outages: Vec<OutageReport>,
}

/// Entries that accept requests, as known to a replica.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveEntries {
    /// Hash of `entries`.
    pub mark: u64,
    /// Location of each entry by its peer address.
    pub entries: BTreeMap<SocketAddr, InstancePlace>,
}

/// State published by operators as of a change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedState {
    /// Change number: how many changes the state includes.
    pub change: u64,
    /// Version of the route table.
    pub version: u64,
    /// Route table; none when the receiver has this version.
    pub table: Option<CompressedTable>,
    /// Failure domains whose targets get no requests.
    pub evacuated: BTreeSet<DomainName>,
}

/// Periodic report of a replica to another replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaHeartbeat {
    /// Location of the replica.
    pub place: InstancePlace,
    /// Version of its roster.
    pub roster: RosterVersion,
    /// Time since its list of targets was last read, in milliseconds.
    pub roster_age_ms: u64,
}
