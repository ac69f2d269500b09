/*!
Targets that entries failed to reach, collected from all entries.

If many targets become unreachable at once, each entry would have to detect each of them by a
request that runs into a connect timeout. Instead, entries report unreachable targets to the
replicas, and a replica forwards to the entries of a region those outages that several failure
domains of the region report. A report from a single failure domain may be caused by that domain's
own links. An entry ignores a forwarded outage if the target has answered it since.
*/

use {
    crate::{
        clock::Moment,
        fleet::messages::{InstancePlace, OutageReport},
    },
    hemlockspool_model::names::RegionName,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a report is valid: a few heartbeats, and less than a target takes to restart.
const REPORT_TTL: Duration = Duration::from_millis(2_000);
/// Number of failure domains of a region that must report a target as unreachable.
const REPORTING_DOMAINS_MIN: usize = 2;

/// Time of the latest outage report for each target from each failure domain.
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    reports: BTreeMap<u32, BTreeMap<InstancePlace, Moment>>,
}

impl OutageTracker {
    /// Records the reports of an entry at a location.
    pub fn record(&mut self, place: &InstancePlace, reports: &[OutageReport], now: Moment) {
        for report in reports {
            let at = Moment(now.0.saturating_sub(u64::from(report.age_ms) * 1_000));
            let by_domain = self.reports.entry(report.target).or_default();
            let latest = by_domain.entry(place.clone()).or_insert(at);
            *latest = at.max(*latest);
        }
    }

    /// Removes expired reports.
    pub fn tick(&mut self, now: Moment) {
        self.reports.retain(|_, by_domain| {
            by_domain.retain(|_, at| now.since(*at) < REPORT_TTL);
            !by_domain.is_empty()
        });
    }

    /// Returns the targets that at least `REPORTING_DOMAINS_MIN` failure domains of a region report
    /// as unreachable. The age is that of the oldest report needed to reach this number.
    pub fn corroborated(&self, region: &RegionName, now: Moment) -> Vec<OutageReport> {
        let corroborate = |(target, by_domain): (&u32, &BTreeMap<InstancePlace, Moment>)| {
            let in_region = by_domain.iter().filter(|(place, _)| place.region == *region);
            let mut times: Vec<Moment> = in_region.map(|(_, at)| *at).collect();
            times.sort_unstable();
            let at = *times.iter().rev().nth(REPORTING_DOMAINS_MIN - 1)?;
            let age = now.since(at);
            let age_ms = age.as_millis() as u16;
            (age < REPORT_TTL).then_some(OutageReport { target: *target, age_ms })
        };
        self.reports.iter().filter_map(corroborate).collect()
    }
}
