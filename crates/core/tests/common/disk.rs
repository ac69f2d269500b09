//! Simulated disk that loses unsynced writes.

use {
    hemlockspool_core::consensus::{PersistBatch, RestoredLog},
    std::collections::VecDeque,
};

/// Simulated disk of a node.
#[derive(Clone, Debug, Default)]
pub struct TestDisk {
    /// Contents that survive a crash.
    pub synced: RestoredLog,
    /// Writes in progress with their tickets, oldest first.
    pub unsynced: VecDeque<(u64, PersistBatch)>,
}

impl TestDisk {
    /// Applies a write to the contents of a disk.
    pub fn apply_batch(log: &mut RestoredLog, batch: &PersistBatch) {
        if let Some((image, base)) = &batch.reset {
            *log = RestoredLog { image: image.clone(), base: *base, ..RestoredLog::default() };
        }
        if let Some(hard) = batch.hard {
            log.hard = hard;
        }
        if let Some(index) = batch.truncate_after {
            log.entries.retain(|entry| entry.position.index <= index);
        }
        log.entries.extend(batch.entries.iter().cloned());
    }

    /// Syncs up to `count` writes and returns the ticket of the last one.
    pub fn sync(&mut self, count: usize) -> Option<u64> {
        let mut last_ticket = None;
        for _ in 0..count {
            let Some((ticket, batch)) = self.unsynced.pop_front() else { break };
            Self::apply_batch(&mut self.synced, &batch);
            last_ticket = Some(ticket);
        }
        last_ticket
    }
}
