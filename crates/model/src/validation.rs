/*!
The check of a whole set.

Every fault is found, not just the first, so that an operator mends a set in one go. A set that
passes can be put in force as it stands: nothing in it refers to what isn't there, ceilings hold
what they must, and drains laid over one another leave something to serve with.
*/

use {
    crate::{
        names::{DomainName, KindName, LinkName, RegionName, ServiceName},
        objects::{DrainSubject, LimitResource, ObjectKey, RepeatPolicy},
        set::ObjectSet,
    },
    ipnet::IpNet,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    thiserror::Error,
};

/// The largest request body of a kind that runs at most once, in bytes: its digest is taken before
/// the request may reach a target, so the whole of it is held in memory.
pub const AT_MOST_ONCE_BYTES_MAX: u64 = 1 << 20;

/// For how many times its deadline the outcome of a kind that runs at most once is kept at least.
pub const RETENTION_DEADLINES_MIN: u64 = 10;

/// The least share of a service's slots that drains must leave, in percent.
pub const UNDRAINED_PERCENT_MIN: u64 = 50;

/// One reason why a set is refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum SetError {
    /// An object refers to one that isn't declared.
    #[error("{object} refers to {missing}, which is not declared")]
    Dangling {
        /// The object at fault.
        object: ObjectKey,
        /// What it refers to.
        missing: ObjectKey,
    },
    /// A name is empty or has characters outside of letters, digits, `-`, `_` and `.`.
    #[error("{object} has a name that can't stand in an address")]
    BadName {
        /// The object at fault.
        object: ObjectKey,
    },
    /// A number must not be zero.
    #[error("{object}: {field} must be above zero")]
    Zero {
        /// The object at fault.
        object: ObjectKey,
        /// The field.
        field: FieldName,
    },
    /// A kind that runs at most once takes bodies that are too large to be held.
    #[error(
        "service {service}, kind {kind}: request_bytes may be {AT_MOST_ONCE_BYTES_MAX} at most when repeat is never"
    )]
    NeverTooLarge {
        /// The service.
        service: ServiceName,
        /// The kind.
        kind: KindName,
    },
    /// The outcome of a kind that runs at most once is forgotten while a request may still run.
    #[error(
        "service {service}, kind {kind}: retention_ms must be {RETENTION_DEADLINES_MIN} times deadline_ms at least"
    )]
    RetentionTooShort {
        /// The service.
        service: ServiceName,
        /// The kind.
        kind: KindName,
    },
    /// Two blocks share addresses.
    #[error("caller blocks {first} and {second} overlap")]
    Overlap {
        /// The wider block.
        first: IpNet,
        /// The block within it.
        second: IpNet,
    },
    /// Two objects claim one address.
    #[error("{first} and {second} both have the address {address}")]
    SharedAddress {
        /// The first object.
        first: ObjectKey,
        /// The second object.
        second: ObjectKey,
        /// The address.
        address: SocketAddr,
    },
    /// A link leads back to where it starts.
    #[error("link {link} leads from {region} to itself")]
    LoopLink {
        /// The link.
        link: LinkName,
        /// The region.
        region: RegionName,
    },
    /// A region's ceiling is above what its targets run at a time.
    #[error(
        "region {region} may not be given {ceiling} requests in flight: its targets have {slots} slots"
    )]
    CeilingAboveSlots {
        /// The region.
        region: RegionName,
        /// What is declared.
        ceiling: u64,
        /// What the targets have.
        slots: u64,
    },
    /// Drains leave a service too little.
    #[error(
        "the drains together leave service {service} {left} of {slots} slots; {UNDRAINED_PERCENT_MIN}% must stay"
    )]
    DrainedTooFar {
        /// The service.
        service: ServiceName,
        /// The slots that stay.
        left: u64,
        /// The slots in all.
        slots: u64,
    },
    /// Drains leave no entry to ask.
    #[error("the drains together leave no entry")]
    NoEntryLeft,
    /// A failure domain has targets and no entry to reach them through.
    #[error("failure-domain {domain} has targets but no entry")]
    TargetsWithoutEntry {
        /// The failure domain.
        domain: DomainName,
    },
}

/// The name of a field in a fault.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FieldName {
    /// Bytes a second of a link.
    BytesPerSecond,
    /// Slots of a target.
    Slots,
    /// Connections of a target.
    Connections,
    /// Deadline of a kind.
    DeadlineMs,
    /// Time to live of look-up answers.
    LookupTtlMs,
}

impl std::fmt::Display for FieldName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::BytesPerSecond => "bytes_per_second",
            Self::Slots => "slots",
            Self::Connections => "connections",
            Self::DeadlineMs => "deadline_ms",
            Self::LookupTtlMs => "lookup_ttl_ms",
        })
    }
}

/// Returns every fault of a set; none when it may be published.
pub fn validate(set: &ObjectSet) -> Vec<SetError> {
    let mut faults = Vec::new();
    check_names(set, &mut faults);
    check_places(set, &mut faults);
    check_services(set, &mut faults);
    check_targets(set, &mut faults);
    check_limits(set, &mut faults);
    check_blocks(set, &mut faults);
    check_addresses(set, &mut faults);
    check_drains(set, &mut faults);
    faults
}

fn require(found: bool, object: ObjectKey, missing: ObjectKey, faults: &mut Vec<SetError>) {
    if !found {
        faults.push(SetError::Dangling { object, missing });
    }
}

fn require_above_zero(value: u64, object: ObjectKey, field: FieldName, faults: &mut Vec<SetError>) {
    if value == 0 {
        faults.push(SetError::Zero { object, field });
    }
}

fn is_good_name(text: &str) -> bool {
    let good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(good)
}

fn check_names(set: &ObjectSet, faults: &mut Vec<SetError>) {
    let keys = (set.regions.keys().cloned().map(ObjectKey::Region))
        .chain(set.domains.keys().cloned().map(ObjectKey::FailureDomain))
        .chain(set.services.keys().cloned().map(ObjectKey::Service))
        .chain(set.targets.keys().cloned().map(ObjectKey::Target))
        .chain(set.entries.keys().cloned().map(ObjectKey::Entry));
    for key in keys {
        let good = match &key {
            ObjectKey::Region(name) => is_good_name(name.as_str()),
            ObjectKey::FailureDomain(name) => is_good_name(name.as_str()),
            ObjectKey::Service(name) => is_good_name(name.as_str()),
            ObjectKey::Target(name) => is_good_name(name.as_str()),
            ObjectKey::Entry(name) => is_good_name(name.as_str()),
            _ => true,
        };
        if !good {
            faults.push(SetError::BadName { object: key });
        }
    }
}

fn check_places(set: &ObjectSet, faults: &mut Vec<SetError>) {
    for domain in set.domains.values() {
        let found = set.regions.contains_key(&domain.region);
        let object = ObjectKey::FailureDomain(domain.name.clone());
        require(found, object, ObjectKey::Region(domain.region.clone()), faults);
    }
    for link in set.links.values() {
        let object = ObjectKey::Link(link.name.clone());
        for end in [&link.from, &link.to] {
            let found = set.regions.contains_key(end);
            require(found, object.clone(), ObjectKey::Region(end.clone()), faults);
        }
        if link.from == link.to {
            let region = link.from.clone();
            faults.push(SetError::LoopLink { link: link.name.clone(), region });
        }
        require_above_zero(link.bytes_per_second, object, FieldName::BytesPerSecond, faults);
    }
    for entry in set.entries.values() {
        let found = set.domains.contains_key(&entry.domain);
        let object = ObjectKey::Entry(entry.name.clone());
        require(found, object, ObjectKey::FailureDomain(entry.domain.clone()), faults);
    }
}

fn check_services(set: &ObjectSet, faults: &mut Vec<SetError>) {
    for service in set.services.values() {
        let object = ObjectKey::Service(service.name.clone());
        let ttl = service.lookup_ttl_ms;
        require_above_zero(ttl, object.clone(), FieldName::LookupTtlMs, faults);
        for (kind, policy) in &service.kinds {
            let deadline = policy.deadline_ms;
            require_above_zero(deadline, object.clone(), FieldName::DeadlineMs, faults);
            if policy.repeat == RepeatPolicy::Safe {
                continue;
            }
            let named = || (service.name.clone(), kind.clone());
            if policy.request_bytes > AT_MOST_ONCE_BYTES_MAX {
                let (service, kind) = named();
                faults.push(SetError::NeverTooLarge { service, kind });
            }
            if policy.retention_ms < policy.deadline_ms.saturating_mul(RETENTION_DEADLINES_MIN) {
                let (service, kind) = named();
                faults.push(SetError::RetentionTooShort { service, kind });
            }
        }
    }
}

fn check_targets(set: &ObjectSet, faults: &mut Vec<SetError>) {
    let staffed: BTreeSet<&DomainName> = set.entries.values().map(|e| &e.domain).collect();
    let mut unreachable = BTreeSet::new();
    for target in set.targets.values() {
        let object = ObjectKey::Target(target.name.clone());
        let service = ObjectKey::Service(target.service.clone());
        require(set.services.contains_key(&target.service), object.clone(), service, faults);
        let domain = ObjectKey::FailureDomain(target.domain.clone());
        require(set.domains.contains_key(&target.domain), object.clone(), domain, faults);
        require_above_zero(target.slots.into(), object.clone(), FieldName::Slots, faults);
        require_above_zero(target.connections.into(), object, FieldName::Connections, faults);
        if !staffed.contains(&target.domain) {
            unreachable.insert(target.domain.clone());
        }
    }
    let reasons = unreachable.into_iter();
    faults.extend(reasons.map(|domain| SetError::TargetsWithoutEntry { domain }));
}

fn check_limits(set: &ObjectSet, faults: &mut Vec<SetError>) {
    for limit in set.limits.values() {
        let (LimitResource::Region(region) | LimitResource::Shift(region)) = &limit.resource else {
            continue;
        };
        let found = set.regions.contains_key(region);
        let object = ObjectKey::Limit(limit.name.clone());
        require(found, object, ObjectKey::Region(region.clone()), faults);
        let slots = set.region_slots(region);
        if matches!(limit.resource, LimitResource::Region(_)) && limit.ceiling > slots {
            let (region, ceiling) = (region.clone(), limit.ceiling);
            faults.push(SetError::CeilingAboveSlots { region, ceiling, slots });
        }
    }
}

fn check_blocks(set: &ObjectSet, faults: &mut Vec<SetError>) {
    let mut widest: Option<&IpNet> = None;
    for (prefix, block) in &set.blocks {
        if !set.domains.contains_key(&block.domain) {
            let object = ObjectKey::CallerBlock(*prefix);
            let missing = ObjectKey::FailureDomain(block.domain.clone());
            faults.push(SetError::Dangling { object, missing });
        }
        match widest {
            Some(first) if first.contains(prefix) => {
                faults.push(SetError::Overlap { first: *first, second: *prefix });
            }
            _ => widest = Some(prefix),
        }
    }
}

fn check_addresses(set: &ObjectSet, faults: &mut Vec<SetError>) {
    let targets = set.targets.values().map(|t| (t.address, ObjectKey::Target(t.name.clone())));
    let https = set.entries.values().map(|e| (e.http, ObjectKey::Entry(e.name.clone())));
    let peers = set.entries.values().map(|e| (e.peer, ObjectKey::Entry(e.name.clone())));
    let mut owners: BTreeMap<SocketAddr, ObjectKey> = BTreeMap::new();
    for (address, second) in targets.chain(https).chain(peers) {
        if let Some(first) = owners.insert(address, second.clone()) {
            faults.push(SetError::SharedAddress { first, second, address });
        }
    }
}

fn check_drains(set: &ObjectSet, faults: &mut Vec<SetError>) {
    for drain in set.drains.values() {
        let (found, missing) = match &drain.subject {
            DrainSubject::Target(name) => {
                (set.targets.contains_key(name), ObjectKey::Target(name.clone()))
            }
            DrainSubject::Entry(name) => {
                (set.entries.contains_key(name), ObjectKey::Entry(name.clone()))
            }
            DrainSubject::FailureDomain(name) => {
                (set.domains.contains_key(name), ObjectKey::FailureDomain(name.clone()))
            }
            DrainSubject::Region(name) => {
                (set.regions.contains_key(name), ObjectKey::Region(name.clone()))
            }
        };
        require(found, ObjectKey::Drain(drain.name.clone()), missing, faults);
    }
    if set.drains.is_empty() {
        return;
    }
    check_drained_slots(set, faults);
    let left = set.entries.values().any(|entry| !set.is_entry_drained(entry));
    if !left && !set.entries.is_empty() {
        faults.push(SetError::NoEntryLeft);
    }
}

fn check_drained_slots(set: &ObjectSet, faults: &mut Vec<SetError>) {
    for service in set.services.keys() {
        let own = || set.targets.values().filter(|target| target.service == *service);
        let slots: u64 = own().map(|target| u64::from(target.slots)).sum();
        let staying = own().filter(|target| !set.is_target_drained(target));
        let left: u64 = staying.map(|target| u64::from(target.slots)).sum();
        if left * 100 < slots * UNDRAINED_PERCENT_MIN {
            let service = service.clone();
            faults.push(SetError::DrainedTooFar { service, left, slots });
        }
    }
}
