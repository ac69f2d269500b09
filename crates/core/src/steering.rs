/*!
Steering of callers: the entries that a caller should use, in order of preference.

The entries of a caller's home failure domain come first, then those of its region, then the rest.
Within each group, entries are ranked by rendezvous hashing on the caller's address, so that adding
or removing an entry moves only callers to or from that entry, and every instance ranks the same
entries in the same order for the same home.
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

/// The maximum number of entries in one lookup response.
pub const LOOKUP_ENTRIES_MAX: usize = 8;

#[derive(Clone, Debug)]
struct IndexedEntry {
    entry: LookupEntry,
    region: RegionName,
    hash: u64,
}

/// An index of a version's entries for lookups.
#[derive(Clone, Debug, Default)]
pub struct SteeringIndex {
    by_domain: BTreeMap<DomainName, Vec<IndexedEntry>>,
    regions: BTreeMap<DomainName, RegionName>,
}

impl SteeringIndex {
    /// Builds the index of a set, without drained entries.
    pub fn new(set: &ObjectSet) -> Self {
        let mut index = Self::default();
        for entry in set.entries.values().filter(|entry| !set.is_entry_drained(entry)) {
            let Some(region) = set.region_of(&entry.domain) else {
                continue;
            };
            let hash = stable_hash(entry.name.as_str().as_bytes());
            let (name, domain, address) = (entry.name.clone(), entry.domain.clone(), entry.http);
            let lookup_entry = LookupEntry { name, domain, address };
            let indexed = IndexedEntry { entry: lookup_entry, region: region.clone(), hash };
            index.by_domain.entry(entry.domain.clone()).or_default().push(indexed);
        }
        let regions = set.domains.values();
        index.regions =
            regions.map(|domain| (domain.name.clone(), domain.region.clone())).collect();
        index
    }

    /// Returns the entries for a caller whose home is the given failure domain, best first.
    ///
    /// Entries for which `serves` returns false are left out, unless there are no others. At most
    /// [`LOOKUP_ENTRIES_MAX`] entries are returned.
    pub fn ranked_entries<F>(
        &self,
        home: &DomainName,
        caller: IpAddr,
        serves: F,
    ) -> Vec<LookupEntry>
    where
        F: Fn(&LookupEntry) -> bool,
    {
        let serving = self.ranked(home, caller, &serves);
        if serving.is_empty() {
            self.ranked(home, caller, &|_: &LookupEntry| true)
        } else {
            serving
        }
    }

    fn ranked<F>(&self, home: &DomainName, caller: IpAddr, serves: &F) -> Vec<LookupEntry>
    where
        F: Fn(&LookupEntry) -> bool,
    {
        let salt = caller_hash(caller);
        let region = self.regions.get(home);
        let mut out = Vec::with_capacity(LOOKUP_ENTRIES_MAX);
        let in_domain = self.by_domain.get(home).into_iter().flatten();
        push_ranked(&mut out, in_domain, salt, serves);
        if out.len() >= LOOKUP_ENTRIES_MAX {
            return out;
        }
        let same_region = |indexed: &&IndexedEntry| Some(&indexed.region) == region;
        let others = || self.by_domain.iter().filter(|(name, _)| *name != home);
        push_ranked(&mut out, others().flat_map(|(_, all)| all).filter(same_region), salt, serves);
        if out.len() >= LOOKUP_ENTRIES_MAX {
            return out;
        }
        let other_region = |indexed: &&IndexedEntry| Some(&indexed.region) != region;
        push_ranked(&mut out, others().flat_map(|(_, all)| all).filter(other_region), salt, serves);
        out
    }
}

/// Returns the hash of a caller's address that distributes callers over entries.
pub(crate) fn caller_hash(caller: IpAddr) -> u64 {
    match caller {
        IpAddr::V4(address) => stable_hash(&address.octets()),
        IpAddr::V6(address) => stable_hash(&address.octets()),
    }
}

fn push_ranked<'a, I, F>(out: &mut Vec<LookupEntry>, entries: I, salt: u64, serves: &F)
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
    let remaining = LOOKUP_ENTRIES_MAX - out.len();
    out.extend(ranked.into_iter().take(remaining).map(|(_, indexed)| indexed.entry.clone()));
}
