/*!
The quotas of one failure domain, out of the ceilings and links of its region, computed once for
each version.
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

/// The fraction of a link's rate for request and response bodies, in percent. The rest is for their
/// headers and for messages between instances.
const LINK_BODY_PERCENT: u64 = 95;

/// The quota of one failure domain on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkQuota {
    /// The link.
    pub link: LinkName,
    /// The domain's quota, in bytes per second.
    pub bytes_per_second: u64,
}

/// The quotas of one failure domain, and what else placement needs to know of the configuration.
#[derive(Clone, Debug, Default)]
pub struct DomainQuotas {
    /// The region of the domain.
    pub region: RegionName,
    /// The quota of requests in flight, out of the region's ceiling.
    pub in_flight: Option<u64>,
    /// This entry's share of the region's shift ceiling: the maximum number of attempts per window
    /// that it starts at targets of its domain for callers from other regions.
    pub entry_shift: Option<u64>,
    /// The shift window, which is the longest time to live of lookup responses.
    pub window: Duration,
    /// The quotas on links out of the region, by destination region. Of several links to the same
    /// region, only the last by name is used.
    pub links: BTreeMap<RegionName, LinkQuota>,
    /// The failure domains that have undrained targets, by service.
    pub service_domains: BTreeMap<ServiceName, BTreeSet<DomainName>>,
}

impl DomainQuotas {
    /// Computes the quotas of an entry's failure domain.
    pub fn new(set: &ObjectSet, domain: &DomainName, entry: &InstanceName) -> Self {
        let Some(region) = set.region_of(domain).cloned() else {
            return Self::default();
        };
        let in_flight = set.ceiling(&LimitResource::Region(region.clone()));
        let shift = set.ceiling(&LimitResource::Shift(region.clone()));
        let domain_quota = |whole| slot_quota(set, &region, domain, whole);
        let lookup_ttl_max_ms = set.services.values().map(|service| service.lookup_ttl_ms).max();
        Self {
            in_flight: in_flight.map(domain_quota),
            entry_shift: shift
                .map(domain_quota)
                .map(|quota| entry_quota(set, domain, entry, quota)),
            window: Duration::from_millis(lookup_ttl_max_ms.unwrap_or(1)),
            links: link_quotas(set, &region, domain),
            service_domains: service_domains(set),
            region,
        }
    }

    /// Returns the link to another region, with the rate in bytes per second that an entry with the
    /// given share may use, or `None` if no link is declared.
    pub fn link_rate(&self, to: &RegionName, share: DomainShare) -> Option<(&LinkName, u64)> {
        let quota = self.links.get(to)?;
        Some((&quota.link, share.portion_of(quota.bytes_per_second, 0)))
    }
}

/// Splits `whole` in proportion over `total` units, and returns the part of the units from `before`
/// to `after`, without the latter. The parts of consecutive ranges that cover all units add up to
/// `whole`.
fn range_part(whole: u64, before: u64, after: u64, total: u64) -> u64 {
    if total == 0 {
        return 0;
    }
    let up_to = |units: u64| (u128::from(whole) * u128::from(units) / u128::from(total)) as u64;
    up_to(after) - up_to(before)
}

fn slot_quota(set: &ObjectSet, region: &RegionName, domain: &DomainName, whole: u64) -> u64 {
    let total = set.region_slots(region);
    let in_region = set.domains.values().filter(|object| object.region == *region);
    let before = in_region.take_while(|object| object.name != *domain);
    let before: u64 = before.map(|object| set.domain_slots(&object.name)).sum();
    range_part(whole, before, before + set.domain_slots(domain), total)
}

/// Returns an entry's even part of its domain's shift quota.
///
/// The part depends on the declared entries, not on those that serve: it must not grow when another
/// entry fails, because the window still contains that entry's admissions.
fn entry_quota(set: &ObjectSet, domain: &DomainName, entry: &InstanceName, whole: u64) -> u64 {
    let in_domain = || set.entries.values().filter(|object| object.domain == *domain);
    let total = in_domain().count() as u64;
    let Some(position) = in_domain().position(|object| object.name == *entry) else {
        return 0;
    };
    range_part(whole, position as u64, position as u64 + 1, total)
}

fn link_quotas(
    set: &ObjectSet,
    region: &RegionName,
    domain: &DomainName,
) -> BTreeMap<RegionName, LinkQuota> {
    let in_region: Vec<&DomainName> = (set.domains.values())
        .filter(|object| object.region == *region)
        .map(|object| &object.name)
        .collect();
    let Some(position) = in_region.iter().position(|name| *name == domain) else {
        return BTreeMap::new();
    };
    let (position, total) = (position as u64, in_region.len() as u64);
    let links = set.links.values().filter(|link| link.from == *region);
    links
        .map(|link| {
            let body_rate = link.bytes_per_second / 100 * LINK_BODY_PERCENT;
            let bytes_per_second = range_part(body_rate, position, position + 1, total);
            (link.to.clone(), LinkQuota { link: link.name.clone(), bytes_per_second })
        })
        .collect()
}

fn service_domains(set: &ObjectSet) -> BTreeMap<ServiceName, BTreeSet<DomainName>> {
    let mut domains: BTreeMap<ServiceName, BTreeSet<DomainName>> = BTreeMap::new();
    for target in set.targets.values().filter(|target| !set.is_target_drained(target)) {
        domains.entry(target.service.clone()).or_default().insert(target.domain.clone());
    }
    domains
}
