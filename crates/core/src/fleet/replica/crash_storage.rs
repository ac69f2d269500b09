/*!
Storage of the requests that are quarantined.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment, effect::NodeEffect, fleet::stored_crashes::StoredCrashes,
        traffic::fingerprint::RequestFingerprint,
    },
    std::time::Duration,
};

/// The shortest time between two writes.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// What this replica has stored.
#[derive(Debug, Default)]
pub(super) struct CrashStorage {
    /// The stored crashes: each request with a target that ended.
    stored: Vec<(RequestFingerprint, Option<u32>)>,
    due: Moment,
}

impl ReplicaState {
    /// Takes over the crashes that an earlier process of this replica stored.
    pub fn restore_crashes(&mut self, crashes: &StoredCrashes, now: Moment) {
        self.crashes.merge(crashes.reports.iter().copied(), now);
    }

    /// Stores the crashes of quarantined requests if they have changed.
    pub(super) fn store_crashes(&mut self, now: Moment) -> Option<NodeEffect> {
        let storage = &self.crash_storage;
        let is_empty = self.crashes.is_empty() && storage.stored.is_empty();
        if is_empty || now < storage.due {
            return None;
        }
        let reports = self.crashes.quarantined(now);
        let stored = reports.iter().map(|report| (report.request, report.target)).collect();
        let is_changed = stored != storage.stored;
        self.crash_storage = CrashStorage { stored, due: now.after(STORE_INTERVAL) };
        is_changed.then(|| NodeEffect::StoreCrashes(StoredCrashes::new(reports)))
    }
}
