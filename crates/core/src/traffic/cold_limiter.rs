/*!
Rate limit for targets that are cold, that is, still warming up after their start or after an
evacuation.

A cold target takes only a few requests per second from all entries together. A few sender entries,
which all entries determine by the same hash, share that rate; the others send it nothing.
*/

use {
    crate::{clock::Moment, util::stable_hash},
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeMap, net::SocketAddr},
};

use crate::fleet::messages::InstancePlace;

/// The number of entries that send requests to one cold target.
const SENDERS_PER_TARGET: usize = 2;
/// The fraction of the rate that is used: entries may disagree about the senders for a while.
const RATE_USED_FRACTION: f64 = 0.7;

/// A rate limiter for one cold target at one entry; saves up at most one permit.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdLimiter {
    next_permit_at: Moment,
}

impl ColdLimiter {
    /// Returns whether a permit is available.
    pub fn is_ready(&self, now: Moment) -> bool {
        now >= self.next_permit_at
    }

    /// Takes a permit; the next one is available after this sender's interval.
    pub fn take_permit(&mut self, rate_per_s: f64, now: Moment) {
        let sender_rate = rate_per_s * RATE_USED_FRACTION / SENDERS_PER_TARGET as f64;
        let interval_us = if sender_rate > 0.0 { 1_000_000.0 / sender_rate } else { f64::MAX };
        self.next_permit_at = Moment(now.0.saturating_add(interval_us as u64));
    }
}

/// Returns whether an entry is one of a cold target's senders.
pub fn is_cold_sender(
    target: &TargetName,
    me: SocketAddr,
    entries: &BTreeMap<SocketAddr, InstancePlace>,
) -> bool {
    let score = |peer: &SocketAddr| stable_hash(format!("{target} {peer}").as_bytes());
    let own_score = score(&me);
    let higher_ranked =
        entries.keys().filter(|peer| **peer != me && score(peer) > own_score).count();
    higher_ranked < SENDERS_PER_TARGET
}
