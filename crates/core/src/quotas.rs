/*!
The parts of every ceiling that belong to one failure domain, worked out once for each version.
*/

use {
    crate::domain::DomainShare,
    hemlockspool_model::{
        names::{DomainName, InstanceName, LinkName, RegionName, ServiceName},
        objects::LimitResource,
        set::ObjectSet,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The part of a link that request and answer bodies may fill, in percent; the rest is for their
/// headers and for messages between instances.
const LINK_BODY_PERCENT: u64 = 95;

/// A link as one failure domain may use it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkQuota {
    /// The link.
    pub link: LinkName,
    /// The domain's part, in bytes a second.
    pub bytes_per_second: u64,
}

/// What one failure domain may use of everything.
#[derive(Clone, Debug, Default)]
pub struct DomainQuotas {
    /// The region of the domain.
    pub region: RegionName,
    /// Requests in flight, of the region's ceiling.
    pub in_flight: Option<u64>,
    /// Admissions of callers from elsewhere at one entry per window.
    pub entry_shift: Option<u64>,
    /// The window of shifts: the longest time to live of look-up answers.
    pub window: Duration,
    /// Links out of the region, by the region that they lead to.
    pub links: BTreeMap<RegionName, LinkQuota>,
    /// The failure domains with targets of each service that aren't drained.
    pub service_domains: BTreeMap<ServiceName, BTreeSet<DomainName>>,
}

impl DomainQuotas {
    /// Works out the parts of an entry's failure domain.
    pub fn new(set: &ObjectSet, domain: &DomainName, entry: &InstanceName) -> Self {
        let Some(region) = set.region_of(domain).cloned() else {
            return Self::default();
        };
        let in_flight = set.ceiling(&LimitResource::Region(region.clone()));
        let shift = set.ceiling(&LimitResource::Shift(region.clone()));
        let by_slots = |whole| slot_part(set, &region, domain, whole);
        let longest = set.services.values().map(|service| service.lookup_ttl_ms).max();
        Self {
            in_flight: in_flight.map(by_slots),
            entry_shift: shift.map(by_slots).map(|part| entry_part(set, domain, entry, part)),
            window: Duration::from_millis(longest.unwrap_or(1)),
            links: link_parts(set, &region, domain),
            service_domains: service_domains(set),
            region,
        }
    }

    /// Returns the link to another region with the rate that an entry may use of it.
    pub fn link_rate(&self, to: &RegionName, share: DomainShare) -> Option<(&LinkName, u64)> {
        let part = self.links.get(to)?;
        Some((&part.link, share.portion_of(part.bytes_per_second, 0)))
    }
}

/// Returns the part of a whole for the units from `before` to `after` out of `total`, so that the
/// parts of consecutive ranges add up to the whole.
fn range_part(whole: u64, before: u64, after: u64, total: u64) -> u64 {
    if total == 0 {
        return 0;
    }
    let upto = |units: u64| (u128::from(whole) * u128::from(units) / u128::from(total)) as u64;
    upto(after) - upto(before)
}

fn slot_part(set: &ObjectSet, region: &RegionName, domain: &DomainName, whole: u64) -> u64 {
    let total = set.region_slots(region);
    let own = set.domains.values().filter(|object| object.region == *region);
    let before = own.take_while(|object| object.name != *domain);
    let before: u64 = before.map(|object| set.domain_slots(&object.name)).sum();
    range_part(whole, before, before + set.domain_slots(domain), total)
}

/// The parts of entries in a window that looks back must not grow when another entry goes silent,
/// so they rest on who is declared and not on who serves.
fn entry_part(set: &ObjectSet, domain: &DomainName, entry: &InstanceName, whole: u64) -> u64 {
    let own = || set.entries.values().filter(|object| object.domain == *domain);
    let total = own().count() as u64;
    let Some(place) = own().position(|object| object.name == *entry) else {
        return 0;
    };
    range_part(whole, place as u64, place as u64 + 1, total)
}

fn link_parts(
    set: &ObjectSet,
    region: &RegionName,
    domain: &DomainName,
) -> BTreeMap<RegionName, LinkQuota> {
    let own: Vec<&DomainName> = (set.domains.values())
        .filter(|object| object.region == *region)
        .map(|object| &object.name)
        .collect();
    let Some(place) = own.iter().position(|name| *name == domain) else {
        return BTreeMap::new();
    };
    let (place, total) = (place as u64, own.len() as u64);
    let links = set.links.values().filter(|link| link.from == *region);
    links
        .map(|link| {
            let for_bodies = link.bytes_per_second / 100 * LINK_BODY_PERCENT;
            let bytes_per_second = range_part(for_bodies, place, place + 1, total);
            (link.to.clone(), LinkQuota { link: link.name.clone(), bytes_per_second })
        })
        .collect()
}

fn service_domains(set: &ObjectSet) -> BTreeMap<ServiceName, BTreeSet<DomainName>> {
    let mut all: BTreeMap<ServiceName, BTreeSet<DomainName>> = BTreeMap::new();
    for target in set.targets.values().filter(|target| !set.is_target_drained(target)) {
        all.entry(target.service.clone()).or_default().insert(target.domain.clone());
    }
    all
}
