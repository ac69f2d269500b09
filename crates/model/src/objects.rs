/*!
Objects that operators declare.

Each object is written in JSON under the name of its type, for example
`{"region": {"name": "gauteng"}}`. Unknown fields are refused. Types with a `Default` implementation
take omitted fields from it.
*/

use {
    crate::names::{
        CallerName, DomainName, DrainName, InstanceName, KindName, LimitName, LinkName, RegionName,
        ServiceName, TargetName,
    },
    ipnet::IpNet,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// One declared object of any type.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeclaredObject {
    /// A region, which contains failure domains.
    Region(RegionObject),
    /// A failure domain within a region.
    FailureDomain(DomainObject),
    /// A one-way link between two regions.
    Link(LinkObject),
    /// A service with its kinds of request.
    Service(ServiceObject),
    /// A target that runs requests of one service.
    Target(TargetObject),
    /// An entry instance.
    Entry(EntryObject),
    /// A ceiling on a resource.
    Limit(LimitObject),
    /// A planned drain.
    Drain(DrainObject),
    /// A block of callers' addresses with its home failure domain.
    CallerBlock(BlockObject),
}

/// The key of a declared object: its type with its name or prefix.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKey {
    /// A region by its name.
    Region(RegionName),
    /// A failure domain by its name.
    FailureDomain(DomainName),
    /// A link by its name.
    Link(LinkName),
    /// A service by its name.
    Service(ServiceName),
    /// A target by its name.
    Target(TargetName),
    /// An entry instance by its name.
    Entry(InstanceName),
    /// A limit by its name.
    Limit(LimitName),
    /// A drain by its name.
    Drain(DrainName),
    /// A caller block by its prefix.
    CallerBlock(IpNet),
}

/// A region: a group of failure domains.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionObject {
    /// The name of the region.
    pub name: RegionName,
}

/// A failure domain: a part of a region that can fail as a whole.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DomainObject {
    /// The name of the failure domain.
    pub name: DomainName,
    /// The region that contains the failure domain.
    pub region: RegionName,
}

/// A one-way link between two regions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkObject {
    /// The name of the link.
    pub name: LinkName,
    /// The region whose entries send over the link.
    pub from: RegionName,
    /// The region that receives.
    pub to: RegionName,
    /// The capacity, in bytes per second.
    pub bytes_per_second: u64,
}

/// A service and its kinds of request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceObject {
    /// The name of the service.
    pub name: ServiceName,
    /// The kinds of request by name.
    pub kinds: BTreeMap<KindName, KindPolicy>,
    /// The TTL of lookup responses, in milliseconds. A lookup names no service, so its response has
    /// the shortest TTL of all services.
    pub lookup_ttl_ms: u64,
}

/// The settings for requests of one kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KindPolicy {
    /// The weight of one request in tallies and queues.
    pub weight: u32,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// The deadline of requests for which the caller sets none, in milliseconds after arrival.
    pub deadline_ms: u64,
    /// The largest request body, in bytes.
    pub request_bytes: u64,
    /// The largest response body, in bytes.
    pub answer_bytes: u64,
    /// The time for which the outcome of a request that runs at most once is retained, in
    /// milliseconds. The deadline of such a request is limited to half of it.
    pub retention_ms: u64,
}

impl Default for KindPolicy {
    fn default() -> Self {
        Self {
            weight: 1,
            repeat: RepeatPolicy::Safe,
            deadline_ms: 5_000,
            request_bytes: 64 << 20,
            answer_bytes: 64 << 20,
            retention_ms: 86_400_000,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// The request is idempotent and may be retried.
    #[default]
    Safe,
    /// The request runs at most once. Kinds of a declared service require an idempotency key, by
    /// which a request that the caller repeats is recognised. On routes of a table, the entry just
    /// never repeats a request that may have run.
    Never,
}

/// A target: a process that runs requests of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetObject {
    /// The name of the target.
    pub name: TargetName,
    /// The service whose requests the target runs.
    pub service: ServiceName,
    /// The failure domain that contains the target.
    pub domain: DomainName,
    /// The address on which the target listens for HTTP.
    pub address: SocketAddr,
    /// The number of requests that the target runs at a time.
    pub slots: u32,
    /// The number of connections that the target accepts. Entries don't enforce it.
    pub connections: u32,
    /// The time over which a target that is new, was ejected or no longer reports that it is
    /// draining is brought to its full share, in milliseconds; its full share at once if zero or
    /// omitted. Targets that are new to an entry without any others also get it at once, because
    /// they may have been running before the entry started.
    pub ramp_ms: Option<u64>,
}

/// An entry instance: accepts callers' requests and sends them to targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryObject {
    /// The name of the instance, the same as in its settings.
    pub name: InstanceName,
    /// The failure domain that contains the instance.
    pub domain: DomainName,
    /// The HTTP address for callers, operators and requests forwarded by other entries.
    pub http: SocketAddr,
    /// The address for messages from other instances.
    pub peer: SocketAddr,
}

/// A ceiling on a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitObject {
    /// The name of the limit.
    pub name: LimitName,
    /// The limited resource.
    pub resource: LimitResource,
    /// The ceiling, in the unit of the resource.
    pub ceiling: u64,
}

/// A resource that can be limited.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitResource {
    /// Requests in flight on the targets of a region.
    Region(RegionName),
    /// Attempts that a region's entries start at its targets for callers with their home in another
    /// region, within the longest lookup TTL of all services.
    Shift(RegionName),
    /// Requests in flight or waiting in a queue for one caller, in each failure domain.
    Caller(CallerName),
}

/// A planned drain: its subject gets no new work while the drain is declared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainObject {
    /// The name of the drain.
    pub name: DrainName,
    /// The object to drain.
    pub subject: DrainSubject,
}

/// The subject of a drain.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainSubject {
    /// One target.
    Target(TargetName),
    /// One entry instance.
    Entry(InstanceName),
    /// All targets and entries of a failure domain.
    FailureDomain(DomainName),
    /// All targets and entries of a region.
    Region(RegionName),
}

/// A block of callers' addresses and the failure domain that is preferred for their requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BlockObject {
    /// The addresses, as a network prefix.
    pub prefix: IpNet,
    /// The home failure domain of the block.
    pub domain: DomainName,
    /// The caller that owns the block.
    pub caller: CallerName,
}

impl DeclaredObject {
    /// Returns the key of the object.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Region(object) => ObjectKey::Region(object.name.clone()),
            Self::FailureDomain(object) => ObjectKey::FailureDomain(object.name.clone()),
            Self::Link(object) => ObjectKey::Link(object.name.clone()),
            Self::Service(object) => ObjectKey::Service(object.name.clone()),
            Self::Target(object) => ObjectKey::Target(object.name.clone()),
            Self::Entry(object) => ObjectKey::Entry(object.name.clone()),
            Self::Limit(object) => ObjectKey::Limit(object.name.clone()),
            Self::Drain(object) => ObjectKey::Drain(object.name.clone()),
            Self::CallerBlock(object) => ObjectKey::CallerBlock(object.prefix),
        }
    }
}

impl std::fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Region(name) => write!(f, "region {name}"),
            Self::FailureDomain(name) => write!(f, "failure-domain {name}"),
            Self::Link(name) => write!(f, "link {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Target(name) => write!(f, "target {name}"),
            Self::Entry(name) => write!(f, "entry {name}"),
            Self::Limit(name) => write!(f, "limit {name}"),
            Self::Drain(name) => write!(f, "drain {name}"),
            Self::CallerBlock(prefix) => write!(f, "caller-block {prefix}"),
        }
    }
}
