/*!
Monthly tallies, counted from what each life of each process counted in all.

A report carries totals and not increments, so that one that comes twice or late changes nothing.
*/

use {
    hemlockspool_model::{
        api::MonthlyTally,
        names::{InstanceName, KindName, ServiceName},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Months whose tallies are kept.
const MONTHS_RETAINED: usize = 24;
/// Lives of processes whose totals are held apart; older ones are folded into the sum.
const SOURCES_RETAINED: usize = 4_096;

/// What is counted apart.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TallyKey {
    /// Year times 100 plus month.
    pub month: u32,
    /// The service.
    pub service: ServiceName,
    /// The kind.
    pub kind: KindName,
}

/// One life of one process.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TallySource {
    /// The life, which rises from one to the next.
    pub incarnation: u64,
    /// The entry.
    pub entry: InstanceName,
}

/// A count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyCount {
    /// Requests run.
    pub requests: u64,
    /// Requests run times their weight.
    pub weighted: u64,
}

/// The totals of one source.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyReport {
    /// Whose they are.
    pub source: TallySource,
    /// The totals since its start.
    pub totals: Vec<(TallyKey, TallyCount)>,
}

/// All totals.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyStore {
    sums: BTreeMap<TallyKey, TallyCount>,
    sources: BTreeMap<TallySource, BTreeMap<TallyKey, TallyCount>>,
}

impl TallyStore {
    /// Returns the tallies of one month, or of all.
    pub fn monthly_totals(&self, month: Option<u32>) -> Vec<MonthlyTally> {
        let wanted = self.sums.iter().filter(|(key, _)| month.is_none_or(|m| m == key.month));
        wanted
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
        let known = self.sources.entry(report.source).or_default();
        for (key, total) in report.totals {
            let before = known.entry(key.clone()).or_default();
            let sum = self.sums.entry(key).or_default();
            sum.requests += total.requests.saturating_sub(before.requests);
            sum.weighted += total.weighted.saturating_sub(before.weighted);
            before.requests = before.requests.max(total.requests);
            before.weighted = before.weighted.max(total.weighted);
        }
        if self.sources.len() > SOURCES_RETAINED {
            self.sources.pop_first();
        }
        self.forget_old_months();
    }

    fn forget_old_months(&mut self) {
        let mut months: Vec<u32> = self.sums.keys().map(|key| key.month).collect();
        months.dedup();
        if months.len() <= MONTHS_RETAINED {
            return;
        }
        let first = months[months.len() - MONTHS_RETAINED];
        self.sums.retain(|key, _| key.month >= first);
    }
}
