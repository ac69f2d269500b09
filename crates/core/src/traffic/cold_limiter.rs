/*!
What a target that has just started gets.

A cold target stands a few requests a second from all entries together. A few owners among the
entries, drawn by a hash that all of them compute alike, share that rate; the others send it nothing.
*/

use {
    crate::{clock::Moment, util::stable_hash},
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeMap, net::SocketAddr},
};

use crate::fleet::messages::InstancePlace;

/// Entries that send to one cold target.
const OWNERS: usize = 2;
/// The part of the rate that is used: entries may disagree about the owners for a while.
const RATE_USED: f64 = 0.7;

/// Permits for one cold target at one entry; at most one is saved up.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdLimiter {
    next: Moment,
}

impl ColdLimiter {
    /// Tells whether a request may go now.
    pub fn ready(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// Takes a permit.
    pub fn take(&mut self, rate_per_s: f64, now: Moment) {
        let share = rate_per_s * RATE_USED / OWNERS as f64;
        let pause_us = if share > 0.0 { 1_000_000.0 / share } else { f64::MAX };
        self.next = Moment(now.0.saturating_add(pause_us as u64));
    }
}

/// Tells whether an entry is one of a target's owners.
pub fn is_cold_sender(
    target: &TargetName,
    me: SocketAddr,
    entries: &BTreeMap<SocketAddr, InstancePlace>,
) -> bool {
    let rank = |peer: &SocketAddr| stable_hash(format!("{target} {peer}").as_bytes());
    let own = rank(&me);
    let before = entries.keys().filter(|peer| **peer != me && rank(peer) > own).count();
    before < OWNERS
}
