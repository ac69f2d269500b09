/*!
An entry's share of the request rate that a target takes from all entries together.

No entry knows what the others send, so the rate is divided in advance: a few entries of the
target's region, the senders, have an equal share each, and all others send nothing. All entries
determine the senders by the same hash. docs/design/platform.md derives the bound that this keeps.
*/

use {
    crate::{clock::Moment, fleet::messages::InstancePlace, util::stable_hash},
    hemlockspool_model::names::{RegionName, TargetName},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The number of senders of a target that states a limit of less than one request per second. Each
/// further request per second allows one more: a sender saves up one permit, and the sum of the
/// saved permits must stay small beside the limit.
const SENDERS_MIN: usize = 2;
/// The fraction of the limit that is used: entries may disagree about the senders for a while.
const LIMIT_USED_FRACTION: f64 = 0.9;
/// The longest time between two requests of a sender. A target that states a limit of 0 still has
/// to be asked from time to time whether that holds.
const PERMIT_INTERVAL_MAX: Duration = Duration::from_secs(10);

/// The share of one entry in the limit of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateShare {
    /// The limit, in requests per second of all entries together.
    pub per_s: f64,
    /// The time from one of this entry's requests to the next; none if it isn't a sender.
    interval: Option<Duration>,
    next_permit_at: Moment,
}

impl RateShare {
    /// Creates a share in a limit among a number of senders. The first permit comes after one
    /// interval, so that entries that start or take over add nothing to what others just sent.
    pub(crate) fn new(per_s: f64, senders: Option<usize>, now: Moment) -> Self {
        let interval = senders.map(|senders| permit_interval(per_s, senders));
        let next_permit_at = now.after(interval.unwrap_or_default());
        Self { per_s, interval, next_permit_at }
    }

    /// Returns this share after a change of the limit or of the senders.
    pub(crate) fn updated(self, per_s: f64, senders: Option<usize>, now: Moment) -> Self {
        let new = Self::new(per_s, senders, now);
        if self.interval.is_none() {
            return new;
        }
        Self { next_permit_at: self.next_permit_at.min(new.next_permit_at), ..new }
    }

    /// Returns the time from which this entry may send the target a request; none if it isn't a
    /// sender.
    pub(crate) fn next_permit(&self) -> Option<Moment> {
        self.interval.map(|_| self.next_permit_at)
    }

    /// Takes the permit for a request.
    pub(crate) fn take_permit(&mut self, now: Moment) {
        self.next_permit_at = now.after(self.interval.unwrap_or(PERMIT_INTERVAL_MAX));
    }
}

fn permit_interval(per_s: f64, senders: usize) -> Duration {
    let sender_per_s = per_s * LIMIT_USED_FRACTION / senders.max(1) as f64;
    let longest = PERMIT_INTERVAL_MAX.as_secs_f64();
    Duration::from_secs_f64((1.0 / sender_per_s).min(longest))
}

/// Returns the number of senders of a target if the entry `me` is one of them.
///
/// The senders are entries of the target's region, or of all regions if it has none. Without any
/// known entry, nobody is one.
pub(crate) fn sender_count(
    target: &TargetName,
    region: &RegionName,
    per_s: f64,
    me: SocketAddr,
    entries: &BTreeMap<SocketAddr, InstancePlace>,
) -> Option<usize> {
    let has_regional = entries.values().any(|place| place.region == *region);
    let candidates = || {
        let all = entries.iter();
        all.filter(|(_, place)| !has_regional || place.region == *region).map(|(peer, _)| peer)
    };
    if !candidates().any(|peer| *peer == me) {
        return None;
    }
    let score = |peer: &SocketAddr| stable_hash(format!("{target} {peer}").as_bytes());
    let own_score = score(&me);
    let higher_ranked = candidates().filter(|peer| score(peer) > own_score).count();
    let senders = candidates().count().min(SENDERS_MIN.saturating_add(per_s as usize));
    (higher_ranked < senders).then_some(senders)
}
