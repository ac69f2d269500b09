/*!
Registry of the live entries, maintained by each replica from their heartbeats.
*/

use {
    crate::{
        clock::Moment,
        fleet::{
            messages::{EntryHeartbeat, InstancePlace, LiveEntries},
            roster::RosterVersion,
        },
        util::stable_hash,
    },
    hemlockspool_model::names::{DomainName, RegionName, ServiceName},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time without a heartbeat after which an entry is removed: six heartbeat intervals.
const ENTRY_LEASE: Duration = Duration::from_millis(3_000);
/// The time for which an entry counts as a follower of this replica after a heartbeat that said so.
const FOLLOW_LEASE: Duration = Duration::from_millis(1_500);
/// The number of entries in the caller's failure domain at which only these are returned. With
/// fewer, callers would have no alternative while one of them is down.
const DOMAIN_ENTRIES_MIN: usize = 2;
/// The mean link utilization of a failure domain's entries, in percent, at which its callers are
/// sent to all entries of the region. From about this utilization, a link of 3 Mbit/s noticeably
/// delays responses.
const WIDEN_UTILIZATION_PERCENT: u32 = 45;
/// The time for which heartbeats are collected before any entry is returned to callers. Each entry
/// sends two heartbeats per second.
const COLLECTION_TIME: Duration = Duration::from_millis(500);
/// The fraction of the known entries that must be ready before any is returned to callers.
/// Otherwise the first ready entries would get all callers, which would saturate their links for
/// seconds.
const READY_FRACTION: f64 = 0.8;
/// The longest wait for [`READY_FRACTION`] after the first entry is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The mean link utilization of the region's entries, in percent, below which callers are sent to
/// the entries of their own failure domain again.
const NARROW_UTILIZATION_PERCENT: u32 = 30;

/// The time after which an update counts as lost if the follower hasn't confirmed any later message:
/// the link to it is then given up.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The last heartbeat of an entry.
#[derive(Clone, Debug)]
struct EntryRecord {
    /// The incarnation of its process.
    incarnation: u64,
    /// The heartbeat, as if the latest update had arrived while that is on its way.
    heartbeat: EntryHeartbeat,
    update: Option<SentUpdate>,
    last_seen: Moment,
    /// The time of the last heartbeat as a follower of this replica.
    followed_at: Option<Moment>,
}

/// The latest update of a follower.
#[derive(Clone, Copy, Debug)]
struct SentUpdate {
    /// The change number and the roster of the follower with this update and those before it.
    contents: (u64, RosterVersion),
    sent_at: Moment,
    /// The time of the last heartbeat before the update, by the follower's clock.
    heartbeat_at: Moment,
}

impl SentUpdate {
    /// Returns whether the update may be on its way still. Messages arrive in order, so the reply to
    /// any later heartbeat arrives after it.
    fn is_on_its_way(&self, heartbeat: &EntryHeartbeat, now: Moment) -> bool {
        heartbeat.last_reply.is_some_and(|at| at <= self.heartbeat_at)
            && now.since(self.sent_at) < UPDATE_TIMEOUT
    }
}

/// The live entries by their peer addresses.
#[derive(Clone, Debug, Default)]
pub struct EntryRegistry {
    entries: BTreeMap<SocketAddr, EntryRecord>,
    /// The failure domains whose callers are sent to all entries of the region.
    widened: BTreeSet<DomainName>,
    /// The time of the first heartbeat.
    first_heartbeat: Option<Moment>,
    /// The time of the first heartbeat of a ready entry.
    first_ready: Option<Moment>,
    /// Whether entries are returned to callers.
    open: bool,
}

impl EntryRecord {
    fn is_live(&self) -> bool {
        self.heartbeat.ready && !self.heartbeat.cut_off
    }
}

impl EntryRegistry {
    /// Records a heartbeat of an incarnation of an entry.
    pub fn record(
        &mut self,
        peer: SocketAddr,
        incarnation: u64,
        mut heartbeat: EntryHeartbeat,
        now: Moment,
    ) {
        self.first_heartbeat.get_or_insert(now);
        if heartbeat.ready {
            self.first_ready.get_or_insert(now);
        }
        let old = self.entries.get(&peer);
        let followed_at =
            if heartbeat.follows { Some(now) } else { old.and_then(|old| old.followed_at) };
        let update = old.filter(|old| old.incarnation == incarnation).and_then(|old| old.update);
        let update = update.filter(|update| update.is_on_its_way(&heartbeat, now));
        if let Some(SentUpdate { contents: (change, roster), .. }) = update {
            heartbeat.change = heartbeat.change.max(change);
            heartbeat.roster = roster;
        }
        let record = EntryRecord { incarnation, heartbeat, update, last_seen: now, followed_at };
        self.entries.insert(peer, record);
    }

    /// Removes expired entries, and updates whether entries are returned and for which failure
    /// domains the selection is widened.
    pub fn tick(&mut self, now: Moment) {
        self.entries.retain(|_, record| now.since(record.last_seen) < ENTRY_LEASE);
        self.open = self.open || self.may_open(now);
        let places: BTreeSet<InstancePlace> =
            self.entries.values().map(|record| record.heartbeat.place.clone()).collect();
        for InstancePlace { region, domain } in places {
            if self.link_utilization(|place| place.domain == domain) >= WIDEN_UTILIZATION_PERCENT {
                self.widened.insert(domain);
            } else if self.link_utilization(|place| place.region == region)
                < NARROW_UTILIZATION_PERCENT
            {
                self.widened.remove(&domain);
            }
        }
    }

    /// Returns whether, after the start of this replica, enough entries are ready to share the
    /// callers or the wait for them is over.
    fn may_open(&self, now: Moment) -> bool {
        let passed =
            |since: Option<Moment>, duration| since.is_some_and(|at| now.since(at) >= duration);
        let ready = self.entries.values().filter(|record| record.heartbeat.ready).count();
        let most_ready = ready as f64 >= READY_FRACTION * self.entries.len() as f64;
        passed(self.first_heartbeat, COLLECTION_TIME)
            && (most_ready || passed(self.first_ready, READY_TIMEOUT))
    }

    /// Returns the mean link utilization of the entries at matching locations, in percent.
    fn link_utilization<F>(&self, matches: F) -> u32
    where
        F: Fn(&InstancePlace) -> bool,
    {
        let matching = self.entries.values().filter(|record| matches(&record.heartbeat.place));
        let (mut count, mut sum) = (0_u32, 0_u32);
        for record in matching {
            count += 1;
            sum += u32::from(record.heartbeat.link_percent);
        }
        sum.checked_div(count).unwrap_or(0)
    }

    /// Returns the entries that follow this replica, with their last heartbeats.
    pub(crate) fn followers(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (SocketAddr, &EntryHeartbeat)> {
        let follows = move |record: &&EntryRecord| {
            record.followed_at.is_some_and(|at| now.since(at) < FOLLOW_LEASE)
        };
        let records = self.entries.iter().filter(move |(_, record)| follows(record));
        records.map(|(peer, record)| (*peer, &record.heartbeat))
    }

    /// Records an update sent to a follower, with the change number and the roster that it has once
    /// the update arrives. The update isn't sent again while it may be on its way.
    pub(crate) fn record_sent(
        &mut self,
        peer: SocketAddr,
        (change, roster): (u64, RosterVersion),
        now: Moment,
    ) {
        if let Some(record) = self.entries.get_mut(&peer) {
            record.heartbeat.change = change;
            record.heartbeat.roster = roster;
            let (contents, heartbeat_at) = ((change, roster), record.heartbeat.sent_at);
            record.update = Some(SentUpdate { contents, sent_at: now, heartbeat_at });
        }
    }

    /// Returns the ready entries that reach targets.
    pub(crate) fn live_entries(&self) -> LiveEntries {
        let ready = self.entries.iter().filter(|(_, record)| record.is_live());
        let entries: BTreeMap<SocketAddr, InstancePlace> =
            ready.map(|(peer, record)| (*peer, record.heartbeat.place.clone())).collect();
        // The hash depends on the `Debug` output of the location type: its name and fields must
        // stay.
        let text = format!("{entries:?}");
        LiveEntries { mark: stable_hash(text.as_bytes()), entries }
    }

    /// Returns the demand of each region for each service, in busy slots.
    pub(crate) fn demand(&self) -> BTreeMap<RegionName, BTreeMap<ServiceName, f32>> {
        let mut regions: BTreeMap<RegionName, BTreeMap<ServiceName, f32>> = BTreeMap::new();
        for record in self.entries.values() {
            let region = regions.entry(record.heartbeat.place.region.clone()).or_default();
            for (service, slots) in &record.heartbeat.demand {
                *region.entry(service.clone()).or_default() += slots;
            }
        }
        regions
    }

    /// Returns the addresses of entries for a caller: of the ready entries in its failure domain;
    /// of those in its region if there are too few or their links are busy; and, if the region has
    /// none, of those in the home regions, or in all regions if `homes` is empty. Empty until
    /// enough entries are ready.
    ///
    /// Entries that are cut off from targets are left out unless all others that the caller may use
    /// are too.
    pub fn entry_addresses(
        &self,
        region: &RegionName,
        domain: &DomainName,
        homes: &[RegionName],
    ) -> Vec<SocketAddr> {
        if !self.open {
            return Vec::new();
        }
        let live = self.addresses_among(region, domain, homes, EntryRecord::is_live);
        if !live.is_empty() {
            return live;
        }
        self.addresses_among(region, domain, homes, |record| record.heartbeat.ready)
    }

    fn addresses_among<F>(
        &self,
        region: &RegionName,
        domain: &DomainName,
        homes: &[RegionName],
        is_usable: F,
    ) -> Vec<SocketAddr>
    where
        F: Fn(&EntryRecord) -> bool,
    {
        let usable: Vec<&EntryHeartbeat> = (self.entries.values())
            .filter(|record| is_usable(record))
            .map(|record| &record.heartbeat)
            .collect();
        let in_domain = addresses_where(&usable, |place| place.domain == *domain);
        if in_domain.len() >= DOMAIN_ENTRIES_MIN && !self.widened.contains(domain) {
            return in_domain;
        }
        let regional = addresses_where(&usable, |place| place.region == *region);
        if !regional.is_empty() {
            return regional;
        }
        addresses_where(&usable, |place| homes.is_empty() || homes.contains(&place.region))
    }
}

fn addresses_where<F>(entries: &[&EntryHeartbeat], matches: F) -> Vec<SocketAddr>
where
    F: Fn(&InstancePlace) -> bool,
{
    let matching = entries.iter().filter(|heartbeat| matches(&heartbeat.place));
    matching.map(|heartbeat| heartbeat.front).collect()
}
