/*!
The part of the log that is held in memory: the entries after a base position.
*/

use {
    crate::consensus::types::{LogEntry, LogPosition},
    std::collections::VecDeque,
};

/// The log entries after a base position, in memory.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
}

impl LogBuffer {
    /// Creates a buffer from stored entries that follow `base`.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Returns the position before the first entry in the buffer.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the position of the last entry, or the base if there are no entries.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Returns the term at an index, or `None` if it is neither the base nor in the buffer.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at an index, or `None` if it isn't in the buffer.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns copies of up to `limit` entries, starting at index `from`, or at the first entry if
    /// that is later.
    pub fn slice(&self, from: u64, limit: usize) -> Vec<LogEntry> {
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        self.entries.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Returns the entries after an index.
    pub fn after(&self, index: u64) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter().skip(index.saturating_sub(self.base.index) as usize)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.position.index, self.last_position().index + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries after an index.
    pub fn truncate_after(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index) as usize;
        self.entries.truncate(keep);
    }

    /// Removes all entries up to and including an index, which becomes the base; does nothing if
    /// the index isn't in the buffer.
    pub fn compact_to(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = index.saturating_sub(self.base.index) as usize;
        self.entries.drain(..count);
        self.base = LogPosition { term, index };
    }

    /// Removes all entries and continues after the given position.
    pub fn reset(&mut self, base: LogPosition) {
        self.base = base;
        self.entries.clear();
    }
}
