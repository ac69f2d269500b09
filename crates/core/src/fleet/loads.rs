/*!
Loads that targets reported, collected from all entries.

In a large fleet an entry contacts each target rarely, so it knows little about the target's current
load. Entries forward the loads that targets report to them. A replica keeps the latest load of each
target and sends each entry the busy targets of its region.
*/

use {
    crate::{
        clock::Moment,
        fleet::{
            messages::{LoadSample, target_hash},
            roster::TargetList,
        },
    },
    hemlockspool_model::names::{DomainName, RegionName},
    std::{collections::BTreeMap, time::Duration},
};

/// Fraction of its slots from which on a target is busy.
const BUSY_FRACTION: f64 = 0.6;
/// Time for which a reported load is valid: about the processing time of a request.
const LOAD_TTL: Duration = Duration::from_millis(1_500);

/// Load that a target reported at a point in time.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    requests: u16,
    at: Moment,
}

/// Latest reported load of each target, by the hash of its name.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTracker {
    loads: BTreeMap<u32, ReportedLoad>,
}

impl LoadTracker {
    /// Records load samples, keeping the newest one of each target.
    pub(crate) fn record(&mut self, samples: &[LoadSample], now: Moment) {
        for sample in samples {
            let at = Moment(now.0.saturating_sub(u64::from(sample.age_ms) * 1_000));
            let newer = self.loads.get(&sample.target).is_none_or(|old| old.at < at);
            if newer {
                self.loads.insert(sample.target, ReportedLoad { requests: sample.requests, at });
            }
        }
    }

    /// Removes expired loads.
    pub(crate) fn tick(&mut self, now: Moment) {
        self.loads.retain(|_, load| now.since(load.at) < LOAD_TTL);
    }

    /// Returns the latest loads of the busy targets in a region.
    pub(crate) fn busy(
        &self,
        targets: &TargetList,
        domains: &BTreeMap<DomainName, RegionName>,
        region: &RegionName,
        now: Moment,
    ) -> Vec<LoadSample> {
        let mut samples = Vec::new();
        for (name, info) in targets {
            let id = target_hash(name);
            let Some(load) = self.loads.get(&id) else { continue };
            let in_region = domains.get(&info.domain) == Some(region);
            if in_region && f64::from(load.requests) >= BUSY_FRACTION * f64::from(info.slots) {
                let age_ms = now.since(load.at).as_millis() as u16;
                samples.push(LoadSample { target: id, requests: load.requests, age_ms });
            }
        }
        samples
    }
}
