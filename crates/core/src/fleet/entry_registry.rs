/*!
Which entries live, as a replica hears them.
*/

use {
    crate::{
        clock::Moment,
        fleet::messages::{EntryHeartbeat, InstancePlace, LiveEntries},
        util::stable_hash,
    },
    hemlockspool_model::names::{DomainName, RegionName, ServiceName},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// For how long an entry that isn't heard of counts as living: three of its pulses.
const ENTRY_LEASE: Duration = Duration::from_millis(3_000);
/// For how long an entry counts as following this replica after it said so.
const FOLLOW_LEASE: Duration = Duration::from_millis(1_500);
/// Entries of the caller's failure domain from which on no others are named: with fewer, callers
/// would have nowhere to go while one of them is down.
const NEAR_ENTRIES_ENOUGH: usize = 2;
/// From which mean use of their links on, in percent, callers of a failure domain go to all entries
/// of the region: a link of 3 Mbit/s holds an answer up noticeably from about there.
const LINK_WIDE: u32 = 45;
/// For how long pulses are heard before callers are told of any entry: each entry sends two a second.
const HEAR_FIRST: Duration = Duration::from_millis(500);
/// The part of the known entries that must serve before callers are told of any: the first ones would
/// get the callers of all, and their links would be full for seconds.
const SERVING_PART: f64 = 0.8;
/// For how long the first entry that serves waits for that part at most.
const SERVING_WAIT: Duration = Duration::from_millis(1_000);
/// Below which mean use of the region's links, in percent, they go to their own domain's again.
const LINK_NARROW: u32 = 30;

/// What was last heard of an entry.
#[derive(Clone, Debug)]
struct EntryRecord {
    pulse: EntryHeartbeat,
    heard: Moment,
    followed: Option<Moment>,
}

/// The entries, by where they listen for peers.
#[derive(Clone, Debug, Default)]
pub struct EntryRegistry {
    entries: BTreeMap<SocketAddr, EntryRecord>,
    /// Failure domains whose callers go to the whole region.
    widened: BTreeSet<DomainName>,
    /// When the first entry was heard.
    heard_first: Option<Moment>,
    /// When the first entry that serves was heard.
    served_first: Option<Moment>,
    /// Whether callers are told of entries.
    open: bool,
}

impl EntryRegistry {
    /// Takes in a pulse.
    pub fn record(&mut self, peer: SocketAddr, pulse: EntryHeartbeat, now: Moment) {
        self.heard_first.get_or_insert(now);
        if pulse.ready {
            self.served_first.get_or_insert(now);
        }
        let old = self.entries.get(&peer);
        let followed = if pulse.follows { Some(now) } else { old.and_then(|old| old.followed) };
        self.entries.insert(peer, EntryRecord { pulse, heard: now, followed });
    }

    /// Moves time on.
    pub fn tick(&mut self, now: Moment) {
        self.entries.retain(|_, record| now.since(record.heard) < ENTRY_LEASE);
        self.open = self.open || self.may_open(now);
        let places: BTreeSet<InstancePlace> =
            self.entries.values().map(|record| record.pulse.place.clone()).collect();
        for InstancePlace { region, domain } in places {
            if self.link_use(|place| place.domain == domain) >= LINK_WIDE {
                self.widened.insert(domain);
            } else if self.link_use(|place| place.region == region) < LINK_NARROW {
                self.widened.remove(&domain);
            }
        }
    }

    /// Tells whether enough entries serve for callers to spread over, once this replica has started.
    fn may_open(&self, now: Moment) -> bool {
        let passed = |since: Option<Moment>, span| since.is_some_and(|at| now.since(at) >= span);
        let serving = self.entries.values().filter(|record| record.pulse.ready).count();
        let most_serve = serving as f64 >= SERVING_PART * self.entries.len() as f64;
        passed(self.heard_first, HEAR_FIRST)
            && (most_serve || passed(self.served_first, SERVING_WAIT))
    }

    /// Returns the mean use of the links of some entries, in percent.
    fn link_use<F>(&self, fits: F) -> u32
    where
        F: Fn(&InstancePlace) -> bool,
    {
        let fitting = self.entries.values().filter(|record| fits(&record.pulse.place));
        let (mut count, mut sum) = (0_u32, 0_u32);
        for record in fitting {
            count += 1;
            sum += u32::from(record.pulse.link_percent);
        }
        sum.checked_div(count).unwrap_or(0)
    }

    /// Returns the entries that follow this replica, with what they have.
    pub(crate) fn followers(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (SocketAddr, &EntryHeartbeat)> {
        let follows = move |record: &&EntryRecord| {
            record.followed.is_some_and(|at| now.since(at) < FOLLOW_LEASE)
        };
        let records = self.entries.iter().filter(move |(_, record)| follows(record));
        records.map(|(peer, record)| (*peer, &record.pulse))
    }

    /// Notes what a follower will have once a message has reached it, so that it isn't sent twice.
    pub(crate) fn sent<F>(&mut self, peer: SocketAddr, note: F)
    where
        F: FnOnce(&mut EntryHeartbeat),
    {
        if let Some(record) = self.entries.get_mut(&peer) {
            note(&mut record.pulse);
        }
    }

    /// Returns the census.
    pub(crate) fn census(&self) -> LiveEntries {
        let serving = self.entries.iter().filter(|(_, record)| record.pulse.ready);
        let entries: BTreeMap<SocketAddr, InstancePlace> =
            serving.map(|(peer, record)| (*peer, record.pulse.place.clone())).collect();
        let text = format!("{entries:?}");
        LiveEntries { mark: stable_hash(text.as_bytes()), entries }
    }

    /// Returns the demand of each region.
    pub(crate) fn demand(&self) -> BTreeMap<RegionName, BTreeMap<ServiceName, f32>> {
        let mut regions: BTreeMap<RegionName, BTreeMap<ServiceName, f32>> = BTreeMap::new();
        for record in self.entries.values() {
            let region = regions.entry(record.pulse.place.region.clone()).or_default();
            for (service, slots) in &record.pulse.demand {
                *region.entry(service.clone()).or_default() += slots;
            }
        }
        regions
    }

    /// Returns where a caller connects: entries of its failure domain, of its region when there
    /// are too few, and anywhere that is allowed when there are none. Empty until most entries serve.
    pub fn front_addresses(
        &self,
        region: &RegionName,
        domain: &DomainName,
        homes: &[RegionName],
    ) -> Vec<SocketAddr> {
        if !self.open {
            return Vec::new();
        }
        let near = self.fronts_where(|place| place.domain == *domain);
        if near.len() >= NEAR_ENTRIES_ENOUGH && !self.widened.contains(domain) {
            return near;
        }
        let regional = self.fronts_where(|place| place.region == *region);
        if !regional.is_empty() {
            return regional;
        }
        self.fronts_where(|place| homes.is_empty() || homes.contains(&place.region))
    }

    fn fronts_where<F>(&self, fits: F) -> Vec<SocketAddr>
    where
        F: Fn(&InstancePlace) -> bool,
    {
        let serving = self.entries.values().filter(|record| record.pulse.ready);
        let fitting = serving.filter(|record| fits(&record.pulse.place));
        fitting.map(|record| record.pulse.front).collect()
    }
}
