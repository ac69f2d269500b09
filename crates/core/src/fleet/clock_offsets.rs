/*!
Offsets of clocks that a replica keeps for entries, which forget them when they restart.
*/

use {
    crate::{clock::Moment, machine_clock::ClockOffset, traffic::send_times::OFFSET_TTL},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The number of entries for which an offset is kept.
const ENTRIES_MAX: usize = 4_096;

/// The last offset that an entry stated.
#[derive(Clone, Copy, Debug)]
struct StatedOffset {
    offset: ClockOffset,
    stated_at: Moment,
}

/// The offsets between a replica's clock and those of entries, by the entries' peer addresses.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    stated: BTreeMap<SocketAddr, StatedOffset>,
}

impl ClockOffsets {
    /// Records the offset that an entry states, if it is to the clock `replica_clock`. Returns the
    /// offset that it stated before, if it states none now.
    pub fn exchange(
        &mut self,
        entry: SocketAddr,
        offset: Option<ClockOffset>,
        replica_clock: u64,
        now: Moment,
    ) -> Option<ClockOffset> {
        let Some(offset) = offset else {
            return self.stated.get(&entry).map(|stated| stated.offset);
        };
        if offset.replica_clock == replica_clock {
            self.stated.insert(entry, StatedOffset { offset, stated_at: now });
        }
        if self.stated.len() > ENTRIES_MAX {
            let oldest = self.stated.iter().min_by_key(|(_, stated)| stated.stated_at);
            let oldest_entry = oldest.map(|(entry, _)| *entry);
            oldest_entry.and_then(|entry| self.stated.remove(&entry));
        }
        None
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Moment) {
        self.stated.retain(|_, stated| now.since(stated.stated_at) < OFFSET_TTL);
    }
}
