/*!
Answers to look-ups: which entries a caller should use, in order.

A caller's own failure domain comes first, then its region, then the rest. Within each, callers are
spread by rendezvous hash on their address, so that a change of the entries moves only the callers
of the one that came or went, and every instance gives the same answer at the same version.
*/

use {
    crate::util::stable_hash,
    hemlockspool_model::{
        api::LookupEntry,
        names::{DomainName, RegionName},
        set::ObjectSet,
    },
    std::{collections::BTreeMap, net::IpAddr},
};

/// Entries in one answer at most.
pub const ANSWER_ENTRIES_MAX: usize = 8;

#[derive(Clone, Debug)]
struct IndexedEntry {
    entry: LookupEntry,
    region: RegionName,
    hash: u64,
}

/// The entries of a version, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct SteeringIndex {
    by_domain: BTreeMap<DomainName, Vec<IndexedEntry>>,
    regions: BTreeMap<DomainName, RegionName>,
}

impl SteeringIndex {
    /// Makes the index of a set. Drained entries aren't in it.
    pub fn new(set: &ObjectSet) -> Self {
        let mut index = Self::default();
        for entry in set.entries.values().filter(|entry| !set.is_entry_drained(entry)) {
            let Some(region) = set.region_of(&entry.domain) else {
                continue;
            };
            let hash = stable_hash(entry.name.as_str().as_bytes());
            let (name, domain, address) = (entry.name.clone(), entry.domain.clone(), entry.http);
            let line = LookupEntry { name, domain, address };
            let indexed = IndexedEntry { entry: line, region: region.clone(), hash };
            index.by_domain.entry(entry.domain.clone()).or_default().push(indexed);
        }
        let regions = set.domains.values();
        index.regions = regions.map(|d| (d.name.clone(), d.region.clone())).collect();
        index
    }

    /// Returns the entries for a caller at home in a failure domain, best first.
    ///
    /// Entries for which `serves` says no are left out, unless there are no others.
    pub fn ranked_entries<F>(
        &self,
        home: &DomainName,
        caller: IpAddr,
        serves: F,
    ) -> Vec<LookupEntry>
    where
        F: Fn(&LookupEntry) -> bool,
    {
        let found = self.ranked(home, caller, &serves);
        if found.is_empty() { self.ranked(home, caller, &|_: &LookupEntry| true) } else { found }
    }

    fn ranked<F>(&self, home: &DomainName, caller: IpAddr, serves: &F) -> Vec<LookupEntry>
    where
        F: Fn(&LookupEntry) -> bool,
    {
        let salt = caller_hash(caller);
        let region = self.regions.get(home);
        let mut out = Vec::with_capacity(ANSWER_ENTRIES_MAX);
        let own = self.by_domain.get(home).into_iter().flatten();
        push_spread(&mut out, own, salt, serves);
        if out.len() >= ANSWER_ENTRIES_MAX {
            return out;
        }
        let near = |indexed: &&IndexedEntry| Some(&indexed.region) == region;
        let others = || self.by_domain.iter().filter(|(name, _)| *name != home);
        push_spread(&mut out, others().flat_map(|(_, all)| all).filter(near), salt, serves);
        if out.len() >= ANSWER_ENTRIES_MAX {
            return out;
        }
        let far = |indexed: &&IndexedEntry| Some(&indexed.region) != region;
        push_spread(&mut out, others().flat_map(|(_, all)| all).filter(far), salt, serves);
        out
    }
}

/// Returns the hash that spreads callers.
pub(crate) fn caller_hash(caller: IpAddr) -> u64 {
    match caller {
        IpAddr::V4(address) => stable_hash(&address.octets()),
        IpAddr::V6(address) => stable_hash(&address.octets()),
    }
}

fn push_spread<'a, I, F>(out: &mut Vec<LookupEntry>, entries: I, salt: u64, serves: &F)
where
    I: Iterator<Item = &'a IndexedEntry>,
    F: Fn(&LookupEntry) -> bool,
{
    let weight = |indexed: &IndexedEntry| stable_hash(&(indexed.hash ^ salt).to_le_bytes());
    let mut ranked: Vec<(u64, &IndexedEntry)> = entries
        .filter(|indexed| serves(&indexed.entry))
        .map(|indexed| (weight(indexed), indexed))
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let room = ANSWER_ENTRIES_MAX - out.len();
    out.extend(ranked.into_iter().take(room).map(|(_, indexed)| indexed.entry.clone()));
}
