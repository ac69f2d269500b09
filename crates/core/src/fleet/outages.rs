/*!
Targets that entries couldn't reach, gathered from all of them.

When many targets are lost at once, each entry would find out about each of them by a request that waits
for a connection in vain. Entries tell replicas what they found out; a replica tells the entries of a
region what several of its failure domains say. What one domain alone says may be the fault of its own
links, and an entry that has had an answer from the target since knows better.
*/

use {
    crate::{
        clock::Moment,
        fleet::messages::{InstancePlace, OutageReport},
    },
    hemlockspool_model::names::RegionName,
    std::{collections::BTreeMap, time::Duration},
};

/// For how long a report counts: a few pulses, and less than a target takes to start again.
const REPORT_LASTS: Duration = Duration::from_millis(2_000);
/// Failure domains of a region that must say the same.
const DOMAINS_MIN: usize = 2;

/// The latest report on each target by each failure domain.
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    reports: BTreeMap<u32, BTreeMap<InstancePlace, Moment>>,
}

impl OutageTracker {
    /// Takes in what an entry found out.
    pub fn record(&mut self, place: &InstancePlace, lines: &[OutageReport], now: Moment) {
        for line in lines {
            let at = Moment(now.0.saturating_sub(u64::from(line.age_ms) * 1_000));
            let report = self.reports.entry(line.target).or_default();
            let latest = report.entry(place.clone()).or_insert(at);
            *latest = at.max(*latest);
        }
    }

    /// Forgets what is out of date.
    pub fn tick(&mut self, now: Moment) {
        self.reports.retain(|_, report| {
            report.retain(|_, at| now.since(*at) < REPORT_LASTS);
            !report.is_empty()
        });
    }

    /// Returns the targets that several failure domains of a region couldn't reach, each with the age of
    /// the report that made it several.
    pub fn corroborated(&self, region: &RegionName, now: Moment) -> Vec<OutageReport> {
        let line = |(target, report): (&u32, &BTreeMap<InstancePlace, Moment>)| {
            let near = report.iter().filter(|(place, _)| place.region == *region);
            let mut times: Vec<Moment> = near.map(|(_, at)| *at).collect();
            times.sort_unstable();
            let at = *times.iter().rev().nth(DOMAINS_MIN - 1)?;
            let age = now.since(at);
            let age_ms = age.as_millis() as u16;
            (age < REPORT_LASTS).then_some(OutageReport { target: *target, age_ms })
        };
        self.reports.iter().filter_map(line).collect()
    }
}
