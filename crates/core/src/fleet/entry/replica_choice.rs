/*!
The choice of the replica that an entry follows.

Only the followed replica sends updates, so an entry that follows one which is cut off from the leader
keeps an old state. Trying the other replicas one after the other takes a timeout for each that is cut
off, too: half of them may be. An entry without a current replica therefore asks all of them at once,
and follows one of those that answer first. Replicas of older builds don't answer; for their sake, the
entry also moves on to the next candidate after a timeout.
*/

use {
    crate::{clock::Moment, util::stable_hash},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time without a reply of the followed replica as current after which the others are asked:
/// two heartbeat intervals.
const SEARCH_DELAY: Duration = Duration::from_millis(500);
/// The time after which the entry follows another replica if the followed one hasn't replied as
/// current and no other has answered. On a saturated link all replies are late, and following
/// another replica brings yet more messages. It is also the longest round trip of a reply that counts
/// as current: with the time for which a replica that is cut off says that it is current, the state
/// is then up to 2.5 s old, which is the time in which a version must be in force.
pub(super) const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time from the answer of another replica until the entry follows it. After a stall of the
/// entry's link, the followed replica's reply is read within it.
const ANSWER_PAUSE: Duration = Duration::from_millis(50);

/// The replica that an entry follows, and the answers of others while it isn't current.
#[derive(Clone, Debug)]
pub(super) struct ReplicaChoice {
    followed: Option<FollowedReplica>,
    /// The index of the next candidate in the sorted list of candidates, modulo its length.
    candidate_index: u64,
    /// The hash of the entry's name, which determines its preference among replicas.
    preference: u64,
    /// The replicas that answered as current, and when.
    answered: BTreeMap<SocketAddr, Moment>,
}

/// The replica that an entry follows.
#[derive(Clone, Copy, Debug)]
struct FollowedReplica {
    peer: SocketAddr,
    since: Moment,
    /// The time of its last reply as a current replica.
    last_current_reply: Option<Moment>,
    /// The time of the latest heartbeat to which it has replied; zero if it hasn't.
    last_reply: Moment,
    /// Whether its last reply said that it isn't current.
    is_outdated: bool,
}

impl FollowedReplica {
    /// Returns the time since its last reply as a current replica, or since the entry followed it.
    fn silence(&self, now: Moment) -> Duration {
        now.since(self.last_current_reply.unwrap_or(self.since))
    }
}

impl ReplicaChoice {
    /// Returns the choice of an entry that follows no replica yet.
    pub(super) fn new(entry_name: &str) -> Self {
        let preference = stable_hash(entry_name.as_bytes());
        let answered = BTreeMap::new();
        Self { followed: None, candidate_index: preference, preference, answered }
    }

    /// Returns the replica that the entry follows.
    pub(super) fn followed(&self) -> Option<SocketAddr> {
        self.followed.map(|followed| followed.peer)
    }

    /// Returns whether the entry should ask all replicas whether they are current.
    pub(super) fn is_searching(&self, now: Moment) -> bool {
        self.followed
            .is_some_and(|followed| followed.is_outdated || followed.silence(now) >= SEARCH_DELAY)
    }

    /// Returns the time of the latest heartbeat to which the followed replica has replied; zero if it
    /// hasn't.
    pub(super) fn last_reply(&self) -> Moment {
        self.followed.map_or(Moment(0), |followed| followed.last_reply)
    }

    /// Records a reply of the followed replica to the heartbeat sent at `echo`.
    pub(super) fn record_reply(&mut self, is_current: bool, echo: Moment, now: Moment) {
        let Some(followed) = &mut self.followed else { return };
        followed.last_reply = followed.last_reply.max(echo);
        followed.is_outdated = !is_current;
        if is_current && now.since(echo) < REPLICA_TIMEOUT {
            followed.last_current_reply = Some(now);
        }
    }

    /// Records the answer of a replica that was asked whether it is current.
    pub(super) fn record_answer(
        &mut self,
        peer: SocketAddr,
        is_current: bool,
        trip: Duration,
        now: Moment,
    ) {
        if is_current && trip < REPLICA_TIMEOUT {
            self.answered.entry(peer).or_insert(now);
        }
    }

    /// Chooses the replica to follow. Returns it if the entry begins to follow it now.
    pub(super) fn choose(
        &mut self,
        candidates: &BTreeSet<SocketAddr>,
        now: Moment,
    ) -> Option<SocketAddr> {
        if self.followed.is_some() && !self.is_searching(now) {
            self.answered.clear();
            return None;
        }
        // Entries that search at the same time spread over the replicas that have answered.
        let rank =
            |peer: &SocketAddr| stable_hash(format!("{} {peer}", self.preference).as_bytes());
        let is_ready = |at: &Moment| now.since(*at) >= ANSWER_PAUSE;
        let ready = self.answered.iter().filter(|(_, at)| is_ready(at)).map(|(peer, _)| *peer);
        if let Some(peer) = ready.min_by_key(rank) {
            return self.follow(peer, now);
        }
        if let Some(followed) = self.followed {
            if followed.silence(now) < REPLICA_TIMEOUT {
                return None;
            }
            self.candidate_index = self.candidate_index.wrapping_add(1);
        }
        let index = self.candidate_index as usize % candidates.len().max(1);
        self.follow(candidates.iter().nth(index).copied()?, now)
    }

    fn follow(&mut self, peer: SocketAddr, now: Moment) -> Option<SocketAddr> {
        self.answered.clear();
        let is_new = self.followed() != Some(peer);
        self.followed = Some(FollowedReplica {
            peer,
            since: now,
            last_current_reply: None,
            last_reply: Moment(0),
            is_outdated: false,
        });
        is_new.then_some(peer)
    }
}
