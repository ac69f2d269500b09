/*!
Validation of a whole set of declared objects.

All errors are reported, not just the first, so that an operator can correct a set in one pass. A
set without errors can be put in force unchanged: every reference resolves, region ceilings do not
exceed the slots of the region's targets, and the drains together leave enough slots and at least
one entry.
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

/// The largest request body of a kind that runs at most once, in bytes.
///
/// The body is held in memory as a whole, because its digest is computed before the request is
/// sent to a target.
pub const AT_MOST_ONCE_BYTES_MAX: u64 = 1 << 20;

/// The shortest retention of outcomes of a kind that runs at most once, in multiples of the kind's
/// deadline.
pub const RETENTION_DEADLINES_MIN: u64 = 10;

/// The smallest percentage of a service's slots that must remain undrained.
pub const UNDRAINED_PERCENT_MIN: u64 = 50;

/// A reason to refuse a set.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum SetError {
    /// An object refers to one that isn't declared.
    #[error("{object} refers to {missing}, which is not declared")]
    Dangling {
        /// The object that contains the reference.
        object: ObjectKey,
        /// The undeclared object.
        missing: ObjectKey,
    },
    /// The name of a region, failure domain, service, target or entry is empty or has characters
    /// other than ASCII letters, digits, `-`, `_` and `.`. Other names aren't checked.
    #[error("{object}: a name must consist of one or more ASCII letters, digits, `-`, `_` and `.`")]
    BadName {
        /// The object with the invalid name.
        object: ObjectKey,
    },
    /// A field that must be positive is zero.
    #[error("{object}: {field} must be above zero")]
    Zero {
        /// The object that contains the field.
        object: ObjectKey,
        /// The field.
        field: FieldName,
    },
    /// A kind that runs at most once allows request bodies that are too large to hold in memory.
    #[error(
        "service {service}, kind {kind}: request_bytes must be at most {AT_MOST_ONCE_BYTES_MAX} when repeat is never"
    )]
    NeverTooLarge {
        /// The service.
        service: ServiceName,
        /// The kind.
        kind: KindName,
    },
    /// A kind that runs at most once has a retention below [`RETENTION_DEADLINES_MIN`] deadlines.
    /// An outcome must not be discarded while its request may still run.
    #[error(
        "service {service}, kind {kind}: retention_ms must be at least {RETENTION_DEADLINES_MIN} times deadline_ms"
    )]
    RetentionTooShort {
        /// The service.
        service: ServiceName,
        /// The kind.
        kind: KindName,
    },
    /// Two caller blocks share addresses.
    #[error("caller blocks {first} and {second} overlap")]
    Overlap {
        /// The wider block.
        first: IpNet,
        /// The block within it.
        second: IpNet,
    },
    /// Two targets or entries have the same address, or an entry has the same address for HTTP and
    /// for peers.
    #[error("the address {address} is declared twice: by {first} and by {second}")]
    SharedAddress {
        /// The first object.
        first: ObjectKey,
        /// The second object; the same entry if its HTTP and peer addresses are equal.
        second: ObjectKey,
        /// The address.
        address: SocketAddr,
    },
    /// A link starts and ends in the same region.
    #[error("link {link} leads from region {region} to itself")]
    LoopLink {
        /// The link.
        link: LinkName,
        /// The region.
        region: RegionName,
    },
    /// The ceiling of a region exceeds the slots of its targets.
    #[error("region {region}: the ceiling of {ceiling} exceeds the {slots} slots of its targets")]
    CeilingAboveSlots {
        /// The region.
        region: RegionName,
        /// The declared ceiling, in requests in flight.
        ceiling: u64,
        /// The slots of all targets in the region.
        slots: u64,
    },
    /// The drains leave too few slots of a service.
    #[error(
        "service {service}: the drains leave {left} of {slots} slots; at least {UNDRAINED_PERCENT_MIN}% must remain"
    )]
    DrainedTooFar {
        /// The service.
        service: ServiceName,
        /// The slots that are not drained.
        left: u64,
        /// The slots of all targets of the service.
        slots: u64,
    },
    /// Every entry is drained.
    #[error("all entries are drained")]
    NoEntryLeft,
    /// A failure domain has targets but no entry through which to reach them.
    #[error("failure-domain {domain} has targets but no entry")]
    TargetsWithoutEntry {
        /// The failure domain.
        domain: DomainName,
    },
}

/// A field that a [`SetError`] refers to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FieldName {
    /// The bytes per second of a link.
    BytesPerSecond,
    /// The slots of a target.
    Slots,
    /// The connections of a target.
    Connections,
    /// The deadline of a kind.
    DeadlineMs,
    /// The TTL of a service's lookup responses.
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

/// Returns all errors of a set, or an empty list if the set may be published.
pub fn validate(set: &ObjectSet) -> Vec<SetError> {
    let mut errors = Vec::new();
    check_names(set, &mut errors);
    check_topology(set, &mut errors);
    check_services(set, &mut errors);
    check_targets(set, &mut errors);
    check_limits(set, &mut errors);
    check_blocks(set, &mut errors);
    check_addresses(set, &mut errors);
    check_drains(set, &mut errors);
    errors
}

fn require_declared(
    found: bool,
    object: ObjectKey,
    missing: ObjectKey,
    errors: &mut Vec<SetError>,
) {
    if !found {
        errors.push(SetError::Dangling { object, missing });
    }
}

fn require_above_zero(value: u64, object: ObjectKey, field: FieldName, errors: &mut Vec<SetError>) {
    if value == 0 {
        errors.push(SetError::Zero { object, field });
    }
}

fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(is_allowed)
}

fn check_names(set: &ObjectSet, errors: &mut Vec<SetError>) {
    let keys = (set.regions.keys().cloned().map(ObjectKey::Region))
        .chain(set.domains.keys().cloned().map(ObjectKey::FailureDomain))
        .chain(set.services.keys().cloned().map(ObjectKey::Service))
        .chain(set.targets.keys().cloned().map(ObjectKey::Target))
        .chain(set.entries.keys().cloned().map(ObjectKey::Entry));
    for key in keys {
        let valid = match &key {
            ObjectKey::Region(name) => is_valid_name(name.as_str()),
            ObjectKey::FailureDomain(name) => is_valid_name(name.as_str()),
            ObjectKey::Service(name) => is_valid_name(name.as_str()),
            ObjectKey::Target(name) => is_valid_name(name.as_str()),
            ObjectKey::Entry(name) => is_valid_name(name.as_str()),
            _ => true,
        };
        if !valid {
            errors.push(SetError::BadName { object: key });
        }
    }
}

fn check_topology(set: &ObjectSet, errors: &mut Vec<SetError>) {
    for domain in set.domains.values() {
        let found = set.regions.contains_key(&domain.region);
        let object = ObjectKey::FailureDomain(domain.name.clone());
        require_declared(found, object, ObjectKey::Region(domain.region.clone()), errors);
    }
    for link in set.links.values() {
        let object = ObjectKey::Link(link.name.clone());
        for region in [&link.from, &link.to] {
            let found = set.regions.contains_key(region);
            require_declared(found, object.clone(), ObjectKey::Region(region.clone()), errors);
        }
        if link.from == link.to {
            let region = link.from.clone();
            errors.push(SetError::LoopLink { link: link.name.clone(), region });
        }
        require_above_zero(link.bytes_per_second, object, FieldName::BytesPerSecond, errors);
    }
    for entry in set.entries.values() {
        let found = set.domains.contains_key(&entry.domain);
        let object = ObjectKey::Entry(entry.name.clone());
        require_declared(found, object, ObjectKey::FailureDomain(entry.domain.clone()), errors);
    }
}

fn check_services(set: &ObjectSet, errors: &mut Vec<SetError>) {
    for service in set.services.values() {
        let object = ObjectKey::Service(service.name.clone());
        let ttl = service.lookup_ttl_ms;
        require_above_zero(ttl, object.clone(), FieldName::LookupTtlMs, errors);
        for (kind, policy) in &service.kinds {
            let deadline = policy.deadline_ms;
            require_above_zero(deadline, object.clone(), FieldName::DeadlineMs, errors);
            if policy.repeat == RepeatPolicy::Safe {
                continue;
            }
            let names = || (service.name.clone(), kind.clone());
            if policy.request_bytes > AT_MOST_ONCE_BYTES_MAX {
                let (service, kind) = names();
                errors.push(SetError::NeverTooLarge { service, kind });
            }
            if policy.retention_ms < policy.deadline_ms.saturating_mul(RETENTION_DEADLINES_MIN) {
                let (service, kind) = names();
                errors.push(SetError::RetentionTooShort { service, kind });
            }
        }
    }
}

fn check_targets(set: &ObjectSet, errors: &mut Vec<SetError>) {
    let domains_with_entries: BTreeSet<&DomainName> =
        set.entries.values().map(|e| &e.domain).collect();
    let mut unreachable = BTreeSet::new();
    for target in set.targets.values() {
        let object = ObjectKey::Target(target.name.clone());
        let service = ObjectKey::Service(target.service.clone());
        require_declared(
            set.services.contains_key(&target.service),
            object.clone(),
            service,
            errors,
        );
        let domain = ObjectKey::FailureDomain(target.domain.clone());
        require_declared(set.domains.contains_key(&target.domain), object.clone(), domain, errors);
        require_above_zero(target.slots.into(), object.clone(), FieldName::Slots, errors);
        require_above_zero(target.connections.into(), object, FieldName::Connections, errors);
        if !domains_with_entries.contains(&target.domain) {
            unreachable.insert(target.domain.clone());
        }
    }
    let unreachable = unreachable.into_iter();
    errors.extend(unreachable.map(|domain| SetError::TargetsWithoutEntry { domain }));
}

fn check_limits(set: &ObjectSet, errors: &mut Vec<SetError>) {
    for limit in set.limits.values() {
        let (LimitResource::Region(region) | LimitResource::Shift(region)) = &limit.resource else {
            continue;
        };
        let found = set.regions.contains_key(region);
        let object = ObjectKey::Limit(limit.name.clone());
        require_declared(found, object, ObjectKey::Region(region.clone()), errors);
        let slots = set.region_slots(region);
        if matches!(limit.resource, LimitResource::Region(_)) && limit.ceiling > slots {
            let (region, ceiling) = (region.clone(), limit.ceiling);
            errors.push(SetError::CeilingAboveSlots { region, ceiling, slots });
        }
    }
}

fn check_blocks(set: &ObjectSet, errors: &mut Vec<SetError>) {
    let mut outermost: Option<&IpNet> = None;
    for (prefix, block) in &set.blocks {
        if !set.domains.contains_key(&block.domain) {
            let object = ObjectKey::CallerBlock(*prefix);
            let missing = ObjectKey::FailureDomain(block.domain.clone());
            errors.push(SetError::Dangling { object, missing });
        }
        match outermost {
            Some(outer) if outer.contains(prefix) => {
                errors.push(SetError::Overlap { first: *outer, second: *prefix });
            }
            _ => outermost = Some(prefix),
        }
    }
}

fn check_addresses(set: &ObjectSet, errors: &mut Vec<SetError>) {
    let targets = set.targets.values().map(|t| (t.address, ObjectKey::Target(t.name.clone())));
    let http_addresses = set.entries.values().map(|e| (e.http, ObjectKey::Entry(e.name.clone())));
    let peer_addresses = set.entries.values().map(|e| (e.peer, ObjectKey::Entry(e.name.clone())));
    let mut owners: BTreeMap<SocketAddr, ObjectKey> = BTreeMap::new();
    for (address, second) in targets.chain(http_addresses).chain(peer_addresses) {
        if let Some(first) = owners.insert(address, second.clone()) {
            errors.push(SetError::SharedAddress { first, second, address });
        }
    }
}

fn check_drains(set: &ObjectSet, errors: &mut Vec<SetError>) {
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
        require_declared(found, ObjectKey::Drain(drain.name.clone()), missing, errors);
    }
    if set.drains.is_empty() {
        return;
    }
    check_drained_slots(set, errors);
    let any_left = set.entries.values().any(|entry| !set.is_entry_drained(entry));
    if !any_left && !set.entries.is_empty() {
        errors.push(SetError::NoEntryLeft);
    }
}

fn check_drained_slots(set: &ObjectSet, errors: &mut Vec<SetError>) {
    for service in set.services.keys() {
        let targets = || set.targets.values().filter(|target| target.service == *service);
        let slots: u64 = targets().map(|target| u64::from(target.slots)).sum();
        let undrained = targets().filter(|target| !set.is_target_drained(target));
        let left: u64 = undrained.map(|target| u64::from(target.slots)).sum();
        if left * 100 < slots * UNDRAINED_PERCENT_MIN {
            let service = service.clone();
            errors.push(SetError::DrainedTooFar { service, left, slots });
        }
    }
}
