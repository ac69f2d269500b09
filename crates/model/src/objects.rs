/*!
The objects that operators declare.

Each object is written in JSON under the name of its type, such as
`{"region": {"name": "gauteng"}}`. Unknown fields are refused, and fields that may be left out have
defaults given at the type.
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
    /// A region, which holds failure domains.
    Region(RegionObject),
    /// A failure domain within a region.
    FailureDomain(DomainObject),
    /// A link in one direction between two regions.
    Link(LinkObject),
    /// A service with its kinds of request.
    Service(ServiceObject),
    /// A target that runs requests of one service.
    Target(TargetObject),
    /// An entry instance of this system.
    Entry(EntryObject),
    /// A ceiling on a resource.
    Limit(LimitObject),
    /// A planned drain.
    Drain(DrainObject),
    /// A block of callers' addresses with its home.
    CallerBlock(BlockObject),
}

/// The identity of a declared object: its type and its name.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKey {
    /// Identifies a region.
    Region(RegionName),
    /// Identifies a failure domain.
    FailureDomain(DomainName),
    /// Identifies a link.
    Link(LinkName),
    /// Identifies a service.
    Service(ServiceName),
    /// Identifies a target.
    Target(TargetName),
    /// Identifies an entry instance.
    Entry(InstanceName),
    /// Identifies a limit.
    Limit(LimitName),
    /// Identifies a drain.
    Drain(DrainName),
    /// Identifies a caller block by its prefix.
    CallerBlock(IpNet),
}

/// A region.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionObject {
    /// Its name.
    pub name: RegionName,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DomainObject {
    /// Its name.
    pub name: DomainName,
    /// The region that it belongs to.
    pub region: RegionName,
}

/// A link in one direction between two regions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkObject {
    /// Its name.
    pub name: LinkName,
    /// The region whose entries send on it.
    pub from: RegionName,
    /// The region that receives.
    pub to: RegionName,
    /// What it carries, in bytes a second.
    pub bytes_per_second: u64,
}

/// A service and the kinds of request that it answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceObject {
    /// Its name.
    pub name: ServiceName,
    /// Its kinds of request by name.
    pub kinds: BTreeMap<KindName, KindPolicy>,
    /// For how long callers may keep a look-up answer, in milliseconds.
    pub lookup_ttl_ms: u64,
}

/// How requests of one kind are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KindPolicy {
    /// The weight of one request in tallies and in queues.
    pub weight: u32,
    /// Whether it may run more than once.
    pub repeat: RepeatPolicy,
    /// The time to answer when the caller names none, in milliseconds.
    pub deadline_ms: u64,
    /// The largest request body, in bytes.
    pub request_bytes: u64,
    /// The largest answer body, in bytes.
    pub answer_bytes: u64,
    /// How long the outcome of a request that runs at most once is kept, in milliseconds.
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
    /// It is idempotent: it may be tried again.
    #[default]
    Safe,
    /// It runs at most once, by its idempotency key.
    Never,
}

/// A target: a process that runs requests of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetObject {
    /// Its name.
    pub name: TargetName,
    /// The service that it runs.
    pub service: ServiceName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Where it listens for HTTP.
    pub address: SocketAddr,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Over how long a cold target is brought to its full share, in milliseconds; zero for at once.
    pub ramp_ms: Option<u64>,
}

/// An entry instance of this system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryObject {
    /// Its name, as in its own settings.
    pub name: InstanceName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Where callers and operators reach it over HTTP.
    pub http: SocketAddr,
    /// Where other instances reach it.
    pub peer: SocketAddr,
}

/// A ceiling on a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitObject {
    /// Its name.
    pub name: LimitName,
    /// What it limits.
    pub resource: LimitResource,
    /// The ceiling, in the unit of its resource.
    pub ceiling: u64,
}

/// A resource that can be limited.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitResource {
    /// Requests in flight on the targets of a region.
    Region(RegionName),
    /// Requests that a region takes from callers at home elsewhere, per look-up time to live.
    Shift(RegionName),
    /// Requests in flight for one caller, at each failure domain.
    Caller(CallerName),
}

/// A planned drain: its subject gets no new work while the object stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainObject {
    /// Its name.
    pub name: DrainName,
    /// What is drained.
    pub subject: DrainSubject,
}

/// What a drain empties.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainSubject {
    /// One target.
    Target(TargetName),
    /// One entry instance.
    Entry(InstanceName),
    /// All of a failure domain.
    FailureDomain(DomainName),
    /// All of a region.
    Region(RegionName),
}

/// A block of callers' addresses and where its requests are best answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BlockObject {
    /// The addresses.
    pub prefix: IpNet,
    /// The failure domain that is its home.
    pub domain: DomainName,
    /// The caller that it belongs to.
    pub caller: CallerName,
}

impl DeclaredObject {
    /// Returns the identity of the object.
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
