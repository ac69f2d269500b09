/*!
Rate limits that targets stated, collected from all entries.

An entry that sends a target nothing doesn't hear when its limit changes or ends. Entries therefore
report what targets stated to them, and a replica keeps the latest statement of each target and
sends all entries the limits that hold.
*/

use {
    crate::{
        clock::Moment,
        fleet::messages::{RateLimitReport, RateLimitView},
        util::stable_hash,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The time for which a statement holds if no entry hears another one: longer than the interval at
/// which senders ask a target that takes next to nothing.
const STATEMENT_TTL: Duration = Duration::from_secs(30);
/// The time after the first heartbeat from which a replica knows all limits: entries repeat a
/// statement for 4 s.
const COLLECTION_TIME: Duration = Duration::from_secs(5);

/// The latest statement of each target about its rate limit, by the hash of its name.
#[derive(Clone, Debug, Default)]
pub struct RateLimitTracker {
    statements: BTreeMap<u32, (Option<f32>, Moment)>,
    first_heartbeat: Option<Moment>,
}

impl RateLimitTracker {
    /// Records the reports of an entry's heartbeat.
    pub fn record(&mut self, reports: &[RateLimitReport], now: Moment) {
        self.first_heartbeat.get_or_insert(now);
        for report in reports {
            let at = Moment(now.0.saturating_sub(u64::from(report.age_ms) * 1_000));
            if self.statements.get(&report.target).is_none_or(|(_, old)| *old < at) {
                self.statements.insert(report.target, (report.per_s, at));
            }
        }
    }

    /// Removes expired statements.
    pub fn tick(&mut self, now: Moment) {
        self.statements.retain(|_, (_, at)| now.since(*at) < STATEMENT_TTL);
    }

    /// Returns the limits that hold; none while this replica may not know all of them.
    pub fn limits(&self, now: Moment) -> Option<RateLimitView> {
        self.first_heartbeat.filter(|at| now.since(*at) >= COLLECTION_TIME)?;
        let limits: BTreeMap<u32, f32> = (self.statements.iter())
            .filter_map(|(target, (per_s, _))| Some((*target, (*per_s)?)))
            .collect();
        let mark = stable_hash(format!("{limits:?}").as_bytes());
        Some(RateLimitView { mark, limits: Some(limits) })
    }
}
