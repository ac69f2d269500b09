/*!
The set of all declared objects at one version.

Caller blocks are ordered by prefix and must not overlap, so the block that contains an address is
the last one that starts at or before it. Finding it takes one ordered lookup, whatever the number
of blocks.
*/

use {
    crate::{
        interned_blocks::{InternedBlocks, NameInterner},
        names::{
            DomainName, DrainName, InstanceName, LimitName, LinkName, RegionName, ServiceName,
            TargetName,
        },
        objects::{
            BlockObject, DeclaredObject, DomainObject, DrainObject, DrainSubject, EntryObject,
            LimitObject, LimitResource, LinkObject, ObjectKey, RegionObject, ServiceObject,
            TargetObject,
        },
    },
    ipnet::IpNet,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::IpAddr},
};

/// All declared objects, by type and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "StoredSet")]
pub struct ObjectSet {
    /// Regions by name.
    pub regions: BTreeMap<RegionName, RegionObject>,
    /// Failure domains by name.
    pub domains: BTreeMap<DomainName, DomainObject>,
    /// Links by name.
    pub links: BTreeMap<LinkName, LinkObject>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceObject>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, TargetObject>,
    /// Entry instances by name.
    pub entries: BTreeMap<InstanceName, EntryObject>,
    /// Limits by name.
    pub limits: BTreeMap<LimitName, LimitObject>,
    /// Drains by name.
    pub drains: BTreeMap<DrainName, DrainObject>,
    /// Caller blocks by prefix.
    pub blocks: BTreeMap<IpNet, BlockObject>,
}

/// The serialized form of an [`ObjectSet`], in which each occurrence of a name is written out.
#[derive(Deserialize)]
struct StoredSet {
    regions: BTreeMap<RegionName, RegionObject>,
    domains: BTreeMap<DomainName, DomainObject>,
    links: BTreeMap<LinkName, LinkObject>,
    services: BTreeMap<ServiceName, ServiceObject>,
    targets: BTreeMap<TargetName, TargetObject>,
    entries: BTreeMap<InstanceName, EntryObject>,
    limits: BTreeMap<LimitName, LimitObject>,
    drains: BTreeMap<DrainName, DrainObject>,
    blocks: InternedBlocks,
}

impl From<StoredSet> for ObjectSet {
    fn from(stored: StoredSet) -> Self {
        let StoredSet { regions, domains, links, services, targets, .. } = stored;
        let StoredSet { entries, limits, drains, blocks: InternedBlocks(blocks), .. } = stored;
        Self { regions, domains, links, services, targets, entries, limits, drains, blocks }
    }
}

impl ObjectSet {
    /// Interns the names in the caller blocks, so that equal names share their text.
    pub fn intern_names(&mut self) {
        let mut interner = NameInterner::default();
        for block in self.blocks.values_mut() {
            interner.intern(block);
        }
    }

    /// Inserts an object and returns the object with the same key that it replaces, if any.
    ///
    /// The prefix of a caller block is truncated to its network address.
    pub fn upsert(&mut self, object: DeclaredObject) -> Option<DeclaredObject> {
        use DeclaredObject as D;
        match object {
            D::Region(o) => self.regions.insert(o.name.clone(), o).map(D::Region),
            D::FailureDomain(o) => self.domains.insert(o.name.clone(), o).map(D::FailureDomain),
            D::Link(o) => self.links.insert(o.name.clone(), o).map(D::Link),
            D::Service(o) => self.services.insert(o.name.clone(), o).map(D::Service),
            D::Target(o) => self.targets.insert(o.name.clone(), o).map(D::Target),
            D::Entry(o) => self.entries.insert(o.name.clone(), o).map(D::Entry),
            D::Limit(o) => self.limits.insert(o.name.clone(), o).map(D::Limit),
            D::Drain(o) => self.drains.insert(o.name.clone(), o).map(D::Drain),
            D::CallerBlock(mut o) => {
                o.prefix = o.prefix.trunc();
                self.blocks.insert(o.prefix, o).map(D::CallerBlock)
            }
        }
    }

    /// Removes an object and returns it, if it is in the set.
    pub fn remove(&mut self, key: &ObjectKey) -> Option<DeclaredObject> {
        use DeclaredObject as D;
        match key {
            ObjectKey::Region(name) => self.regions.remove(name).map(D::Region),
            ObjectKey::FailureDomain(name) => self.domains.remove(name).map(D::FailureDomain),
            ObjectKey::Link(name) => self.links.remove(name).map(D::Link),
            ObjectKey::Service(name) => self.services.remove(name).map(D::Service),
            ObjectKey::Target(name) => self.targets.remove(name).map(D::Target),
            ObjectKey::Entry(name) => self.entries.remove(name).map(D::Entry),
            ObjectKey::Limit(name) => self.limits.remove(name).map(D::Limit),
            ObjectKey::Drain(name) => self.drains.remove(name).map(D::Drain),
            ObjectKey::CallerBlock(prefix) => self.blocks.remove(prefix).map(D::CallerBlock),
        }
    }

    /// Returns a copy of every object, ordered by type and name.
    pub fn objects(&self) -> Vec<DeclaredObject> {
        use DeclaredObject as D;
        let mut all = Vec::with_capacity(self.len());
        all.extend(self.regions.values().cloned().map(D::Region));
        all.extend(self.domains.values().cloned().map(D::FailureDomain));
        all.extend(self.links.values().cloned().map(D::Link));
        all.extend(self.services.values().cloned().map(D::Service));
        all.extend(self.targets.values().cloned().map(D::Target));
        all.extend(self.entries.values().cloned().map(D::Entry));
        all.extend(self.limits.values().cloned().map(D::Limit));
        all.extend(self.drains.values().cloned().map(D::Drain));
        all.extend(self.blocks.values().cloned().map(D::CallerBlock));
        all
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.regions.len()
            + self.domains.len()
            + self.links.len()
            + self.services.len()
            + self.targets.len()
            + self.entries.len()
            + self.limits.len()
            + self.drains.len()
            + self.blocks.len()
    }

    /// Returns whether the set has no objects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the region of a failure domain, if the domain is declared.
    pub fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.domains.get(domain).map(|object| &object.region)
    }

    /// Returns the caller block that contains an address.
    pub fn find_block(&self, address: IpAddr) -> Option<&BlockObject> {
        let upper = IpNet::from(address);
        let (prefix, block) = self.blocks.range(..=upper).next_back()?;
        prefix.contains(&address).then_some(block)
    }

    /// Returns whether a drain names exactly this subject, rather than a failure domain or region
    /// that contains it.
    pub fn has_drain(&self, subject: &DrainSubject) -> bool {
        self.drains.values().any(|drain| drain.subject == *subject)
    }

    /// Returns whether a failure domain is drained, directly or with its region.
    pub fn is_domain_drained(&self, domain: &DomainName) -> bool {
        if self.drains.is_empty() {
            return false;
        }
        let direct = self.has_drain(&DrainSubject::FailureDomain(domain.clone()));
        let region = self.region_of(domain).cloned();
        direct || region.is_some_and(|name| self.has_drain(&DrainSubject::Region(name)))
    }

    /// Returns whether a target is drained, directly or with its failure domain or region.
    pub fn is_target_drained(&self, target: &TargetObject) -> bool {
        self.has_drain(&DrainSubject::Target(target.name.clone()))
            || self.is_domain_drained(&target.domain)
    }

    /// Returns whether an entry is drained, directly or with its failure domain or region.
    pub fn is_entry_drained(&self, entry: &EntryObject) -> bool {
        self.has_drain(&DrainSubject::Entry(entry.name.clone()))
            || self.is_domain_drained(&entry.domain)
    }

    /// Returns the lowest ceiling declared for a resource, in the unit of the resource.
    pub fn ceiling(&self, resource: &LimitResource) -> Option<u64> {
        let matching = self.limits.values().filter(|limit| limit.resource == *resource);
        matching.map(|limit| limit.ceiling).min()
    }

    /// Returns the total slots of the targets in a region, including drained ones.
    pub fn region_slots(&self, region: &RegionName) -> u64 {
        let targets = self.targets.values().filter(|t| self.region_of(&t.domain) == Some(region));
        targets.map(|target| u64::from(target.slots)).sum()
    }

    /// Returns the total slots of the targets in a failure domain, including drained ones.
    pub fn domain_slots(&self, domain: &DomainName) -> u64 {
        let targets = self.targets.values().filter(|target| target.domain == *domain);
        targets.map(|target| u64::from(target.slots)).sum()
    }
}
