/*!
Messages between entries and replicas of a fleet.

All of them are one-way and may be lost, late, doubled or out of order. What they carry is a state
with a mark of its age, never a step that must be counted.
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

/// A message between instances of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetMessage {
    /// An entry tells a replica that it lives.
    EntryPulse(EntryHeartbeat),
    /// A replica answers the pulse of an entry that follows it.
    PulseReply(HeartbeatReply),
    /// What operators published.
    Published(PublishedState),
    /// Changes of the list of targets.
    Roster(RosterUpdate),
    /// A replica tells another which targets it knows.
    ReplicaPulse(ReplicaHeartbeat),
    /// A replica that belongs to no group asks to be taken in; passed on to the leader.
    Join {
        /// The life of its data folder.
        id: ReplicaId,
        /// Where it listens.
        peer: SocketAddr,
        /// Where it is.
        place: InstancePlace,
    },
}

/// Where an instance is.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstancePlace {
    /// The region.
    pub region: RegionName,
    /// The failure domain.
    pub domain: DomainName,
}

/// What an entry tells replicas of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHeartbeat {
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where it is.
    pub place: InstancePlace,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it wants an answer, and updates as they come.
    pub follows: bool,
    /// The published state that it has.
    pub change: u64,
    /// The list of targets that it has.
    pub roster: RosterVersion,
    /// The age of that list's last reading, in milliseconds; none without a list.
    pub roster_age_ms: Option<u64>,
    /// The census that it has.
    pub census: u64,
    /// The work that its own callers ask for, in busy slots of each service.
    pub demand: BTreeMap<ServiceName, f32>,
    /// The part of its link that is in use, in percent.
    pub link_percent: u8,
    /// What targets told of their load since the last pulse to this replica.
    pub loads: Vec<LoadSample>,
    /// Targets that it couldn't reach of late.
    pub outages: Vec<OutageReport>,
    /// Its clock, handed back in the reply.
    pub sent_at: Moment,
}

/// What a target told of its load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSample {
    /// A hash of the target's name.
    pub target: u32,
    /// Requests that ran or waited there.
    pub requests: u16,
    /// How long ago, in milliseconds.
    pub age_ms: u16,
}

/// A target that couldn't be reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutageReport {
    /// A hash of the target's name.
    pub target: u32,
    /// How long ago, in milliseconds.
    pub age_ms: u16,
}

/// Returns the hash by which lines about targets name them.
pub fn target_hash(target: &TargetName) -> u32 {
    stable_hash(target.as_str().as_bytes()) as u32
}

/// What a replica answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// The entry's clock as it was sent.
    pub echo: Moment,
    /// Whether the replica hears from a leader that a quorum stands by.
    pub current: bool,
    /// The list of targets that the replica has.
    pub roster: RosterVersion,
    /// The age of that list's last reading, in milliseconds.
    pub roster_age_ms: u64,
    /// Where the replicas listen.
    pub replicas: Vec<SocketAddr>,
    /// The entries that live, when they changed.
    pub census: Option<LiveEntries>,
    /// The demand of each region.
    pub demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    /// The targets of the entry's region that have much to do.
    pub busy: Vec<LoadSample>,
    /// Targets that several failure domains of the entry's region couldn't reach of late.
    pub outages: Vec<OutageReport>,
}

/// The entries that live, as a replica sees them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveEntries {
    /// A hash of the rest.
    pub mark: u64,
    /// Where each entry listens for peers, and where it is.
    pub entries: BTreeMap<SocketAddr, InstancePlace>,
}

/// What operators published, up to a change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedState {
    /// The count of changes.
    pub change: u64,
    /// The version of the table.
    pub version: u64,
    /// The table; none when the receiver has this version.
    pub table: Option<CompressedTable>,
    /// The failure domains whose targets are out of use.
    pub evacuated: BTreeSet<DomainName>,
}

/// What a replica tells another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaHeartbeat {
    /// Where it is.
    pub place: InstancePlace,
    /// The list of targets that it has.
    pub roster: RosterVersion,
    /// The age of the last reading of the platform's list, in milliseconds.
    pub roster_age_ms: u64,
}
