/*!
The part of the log that is held in memory: everything after a base position.
*/

use {
    crate::consensus::types::{LogEntry, LogPosition},
    std::collections::VecDeque,
};

/// Entries after a base position.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
}

impl LogBuffer {
    /// Makes a buffer from what was stored.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Returns the position before the first entry held.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the last position.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Returns the term at an index; none when it isn't held.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at an index; none when it isn't held.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns copies of entries from an index on, up to a number of them.
    pub fn slice(&self, from: u64, most: usize) -> Vec<LogEntry> {
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        self.entries.iter().skip(skip).take(most).cloned().collect()
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.position.index, self.last_position().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops everything after an index.
    pub fn truncate_after(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index) as usize;
        self.entries.truncate(keep);
    }

    /// Forgets everything up to an index that is held.
    pub fn compact_to(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = index.saturating_sub(self.base.index) as usize;
        self.entries.drain(..count);
        self.base = LogPosition { term, index };
    }

    /// Forgets everything and starts after a position.
    pub fn reset(&mut self, base: LogPosition) {
        self.base = base;
        self.entries.clear();
    }
}
