/*!
What a replica tells every entry that follows it.

It takes a look at all entries and targets, and followers ask for it several times a second each, so it
is worked out once for all pulses of a short time.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment,
        fleet::messages::{LiveEntries, LoadSample, OutageReport},
    },
    hemlockspool_model::names::{RegionName, ServiceName},
    std::{collections::BTreeMap, time::Duration},
};

/// For how long a view is told: a part of the time between two pulses of an entry.
const VIEW_LASTS: Duration = Duration::from_millis(100);

/// The entries, demand and targets, as of a moment.
#[derive(Clone, Debug)]
pub(super) struct FollowerView {
    at: Moment,
    pub census: LiveEntries,
    pub demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    regions: BTreeMap<RegionName, RegionView>,
}

/// What only entries of one region are told, as of a moment.
#[derive(Clone, Debug)]
struct RegionView {
    at: Moment,
    busy: Vec<LoadSample>,
    outages: Vec<OutageReport>,
}

impl FollowerView {
    /// Returns the targets of a region that have much to do, and those that can't be reached there,
    /// with their ages now.
    pub(super) fn lines(
        &self,
        region: &RegionName,
        now: Moment,
    ) -> (Vec<LoadSample>, Vec<OutageReport>) {
        let Some(view) = self.regions.get(region) else {
            return (Vec::new(), Vec::new());
        };
        let held_ms = now.since(view.at).as_millis() as u16;
        let aged = |age_ms: u16| age_ms.saturating_add(held_ms);
        let load = |line: &LoadSample| LoadSample { age_ms: aged(line.age_ms), ..*line };
        let outage = |line: &OutageReport| OutageReport { age_ms: aged(line.age_ms), ..*line };
        (view.busy.iter().map(load).collect(), view.outages.iter().map(outage).collect())
    }
}

impl ReplicaState {
    /// Returns what followers of a region are told, worked out anew when it is out of date.
    pub(super) fn refresh_view(&mut self, region: &RegionName, now: Moment) -> &FollowerView {
        let view = self.view.take().filter(|view| now.since(view.at) < VIEW_LASTS);
        let mut view = view.unwrap_or_else(|| FollowerView {
            at: now,
            census: self.entries.census(),
            demand: self.entries.demand(),
            regions: BTreeMap::new(),
        });
        view.regions.entry(region.clone()).or_insert_with(|| RegionView {
            at: now,
            busy: self.loads.busy(self.roster.targets(), &self.domains, region, now),
            outages: self.outages.corroborated(region, now),
        });
        self.view.insert(view)
    }
}
