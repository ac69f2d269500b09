/*!
Cached contents of a replica's replies to the entries that follow it.

Computing them takes a pass over all entries and targets, and each follower needs them several times
a second. They are therefore computed once for all heartbeats within a short interval.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment,
        fleet::messages::{
            CrashReport, CrashView, LiveEntries, LoadSample, OutageReport, RateLimitView,
        },
    },
    hemlockspool_model::names::{RegionName, ServiceName},
    std::{collections::BTreeMap, time::Duration},
};

/// The lifetime of a view: a fraction of the interval between two heartbeats of an entry.
const VIEW_TTL: Duration = Duration::from_millis(100);

/// The live entries, the demand and the reports about targets at a point in time.
#[derive(Clone, Debug)]
pub(super) struct FollowerView {
    at: Moment,
    pub live_entries: LiveEntries,
    pub demand: BTreeMap<RegionName, BTreeMap<ServiceName, f32>>,
    /// The rate limits of targets; none while this replica may not know all of them.
    pub rate_limits: Option<RateLimitView>,
    /// The requests under which targets ended.
    pub crashes: CrashView,
    regions: BTreeMap<RegionName, RegionView>,
}

/// The reports that are sent only to the entries of one region, at a point in time.
#[derive(Clone, Debug)]
struct RegionView {
    at: Moment,
    busy: Vec<LoadSample>,
    outages: Vec<OutageReport>,
}

impl FollowerView {
    /// Returns the requests under which targets ended, with their current ages.
    pub(super) fn crash_view(&self, now: Moment) -> CrashView {
        let cached_ms = now.since(self.at).as_millis() as u32;
        let current = |report: &CrashReport| CrashReport {
            age_ms: report.age_ms.saturating_add(cached_ms),
            ..*report
        };
        CrashView {
            mark: self.crashes.mark,
            reports: self.crashes.reports.iter().map(current).collect(),
        }
    }

    /// Returns the load samples of busy targets and the outage reports for a region, with their
    /// current ages.
    pub(super) fn region_reports(
        &self,
        region: &RegionName,
        now: Moment,
    ) -> (Vec<LoadSample>, Vec<OutageReport>) {
        let Some(view) = self.regions.get(region) else {
            return (Vec::new(), Vec::new());
        };
        let cached_ms = now.since(view.at).as_millis() as u16;
        let current_age = |age_ms: u16| age_ms.saturating_add(cached_ms);
        let load =
            |sample: &LoadSample| LoadSample { age_ms: current_age(sample.age_ms), ..*sample };
        let outage =
            |report: &OutageReport| OutageReport { age_ms: current_age(report.age_ms), ..*report };
        (view.busy.iter().map(load).collect(), view.outages.iter().map(outage).collect())
    }
}

impl ReplicaState {
    /// Returns the view for followers, with the reports for a region. Recomputes it if it has
    /// expired.
    pub(super) fn refresh_follower_view(
        &mut self,
        region: &RegionName,
        now: Moment,
    ) -> &FollowerView {
        let view = self.follower_view.take().filter(|view| now.since(view.at) < VIEW_TTL);
        let mut view = view.unwrap_or_else(|| FollowerView {
            at: now,
            live_entries: self.entries.live_entries(),
            demand: self.entries.demand(),
            rate_limits: self.rate_limits.limits(now),
            crashes: self.crashes.view(now),
            regions: BTreeMap::new(),
        });
        view.regions.entry(region.clone()).or_insert_with(|| RegionView {
            at: now,
            busy: self.loads.busy(self.roster.targets(), &self.domains, region, now),
            outages: self.outages.corroborated(region, now),
        });
        self.follower_view.insert(view)
    }
}
