/*!
What targets told of their load, gathered from all entries.

In a large fleet an entry speaks to each target rarely, so it knows little of how busy the target is.
Entries pass on what targets tell them; a replica keeps the latest and tells each entry which targets
of its region have much to do.
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

/// From which part of its slots on a target has much to do.
const BUSY_SHARE: f64 = 0.6;
/// For how long a load counts: about as long as the work of a request.
const LOAD_LASTS: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct HeardLoad {
    requests: u16,
    at: Moment,
}

/// The latest load of each target.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTracker {
    loads: BTreeMap<u32, HeardLoad>,
}

impl LoadTracker {
    pub(crate) fn record(&mut self, lines: &[LoadSample], now: Moment) {
        for line in lines {
            let at = Moment(now.0.saturating_sub(u64::from(line.age_ms) * 1_000));
            let newer = self.loads.get(&line.target).is_none_or(|old| old.at < at);
            if newer {
                self.loads.insert(line.target, HeardLoad { requests: line.requests, at });
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        self.loads.retain(|_, load| now.since(load.at) < LOAD_LASTS);
    }

    /// Returns the busy targets of a region.
    pub(crate) fn busy(
        &self,
        targets: &TargetList,
        domains: &BTreeMap<DomainName, RegionName>,
        region: &RegionName,
        now: Moment,
    ) -> Vec<LoadSample> {
        let mut lines = Vec::new();
        for (name, fact) in targets {
            let id = target_hash(name);
            let Some(load) = self.loads.get(&id) else { continue };
            let near = domains.get(&fact.domain) == Some(region);
            if near && f64::from(load.requests) >= BUSY_SHARE * f64::from(fact.slots) {
                let age_ms = now.since(load.at).as_millis() as u16;
                lines.push(LoadSample { target: id, requests: load.requests, age_ms });
            }
        }
        lines
    }
}
