/*!
Monthly tallies, computed from the cumulative counts of each process incarnation.

A report carries totals instead of increments, so that a duplicate or outdated report changes
nothing.
*/

use {
    hemlockspool_model::{
        api::MonthlyTally,
        names::{InstanceName, KindName, ServiceName},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The maximum number of months whose tallies are kept.
const MONTHS_RETAINED: usize = 24;
/// The maximum number of process incarnations whose totals are kept separately. The totals of older
/// ones remain in the sums only, and their further reports are ignored.
const SOURCES_RETAINED: usize = 4_096;

/// The month, service and kind that a count is for.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TallyKey {
    /// The year times 100 plus the month.
    pub month: u32,
    /// The service.
    pub service: ServiceName,
    /// The kind.
    pub kind: KindName,
}

/// One incarnation of an entry's process.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TallySource {
    /// The incarnation, which increases with each start of a process.
    pub incarnation: u64,
    /// The entry.
    pub entry: InstanceName,
}

/// A count of requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyCount {
    /// The number of requests that ran and whose response arrived.
    pub requests: u64,
    /// The sum of the weights of these requests.
    pub weighted: u64,
}

/// The cumulative counts of one source.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyReport {
    /// The process incarnation that counted.
    pub source: TallySource,
    /// The totals since the start of the source.
    pub totals: Vec<(TallyKey, TallyCount)>,
}

/// The monthly sums and the latest totals of each source.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyStore {
    sums: BTreeMap<TallyKey, TallyCount>,
    sources: BTreeMap<TallySource, BTreeMap<TallyKey, TallyCount>>,
}

impl TallyStore {
    /// Returns the tallies of one month, or of all months if `month` is `None`.
    pub fn monthly_totals(&self, month: Option<u32>) -> Vec<MonthlyTally> {
        let selected =
            self.sums.iter().filter(|(key, _)| month.is_none_or(|month| month == key.month));
        selected
            .map(|(key, count)| MonthlyTally {
                month: key.month,
                service: key.service.clone(),
                kind: key.kind.clone(),
                requests: count.requests,
                weighted: count.weighted,
            })
            .collect()
    }

    pub(crate) fn record(&mut self, report: TallyReport) {
        let oldest = self.sources.first_key_value().map(|(source, _)| source.clone());
        let full = self.sources.len() >= SOURCES_RETAINED;
        if full && oldest.is_some_and(|oldest| report.source < oldest) {
            return;
        }
        let source_totals = self.sources.entry(report.source).or_default();
        for (key, total) in report.totals {
            let previous = source_totals.entry(key.clone()).or_default();
            let sum = self.sums.entry(key).or_default();
            sum.requests += total.requests.saturating_sub(previous.requests);
            sum.weighted += total.weighted.saturating_sub(previous.weighted);
            previous.requests = previous.requests.max(total.requests);
            previous.weighted = previous.weighted.max(total.weighted);
        }
        if self.sources.len() > SOURCES_RETAINED {
            self.sources.pop_first();
        }
        self.drop_old_months();
    }

    fn drop_old_months(&mut self) {
        let mut months: Vec<u32> = self.sums.keys().map(|key| key.month).collect();
        months.dedup();
        if months.len() <= MONTHS_RETAINED {
            return;
        }
        let oldest_kept = months[months.len() - MONTHS_RETAINED];
        self.sums.retain(|key, _| key.month >= oldest_kept);
    }
}
