/*!
The replicas, besides the followed one, whose answers show how long messages are delayed.

A late reply of one replica may be that replica's fault. Those of several have only the entry's own
link in common.
*/

use {
    crate::{clock::Moment, util::stable_hash},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// The number of replicas that are asked.
const WITNESSES: usize = 2;
/// The interval of questions to one replica. Those to different ones are spread over it, so that the
/// last answer of any is recent.
const INTERVAL: Duration = Duration::from_millis(200);
/// The interval of questions to all of them while messages are delayed: a request's time is then known
/// to about as much.
const DELAYED_INTERVAL: Duration = Duration::from_millis(100);
/// The time without a first answer of a replica after which it counts as late: more than the round trip
/// to the farthest region.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(150);
/// The time by which an answer takes longer than the replica's fastest one from which on it may be due
/// to the link: more than answers on an idle link differ by.
const LATE_TIME_MIN: Duration = Duration::from_millis(20);
/// The time by which ticks may be early or late.
const TICK_JITTER: Duration = Duration::from_millis(5);
/// The time without an answer after which another replica is asked: longer than the link delays
/// answers.
const SILENCE_MAX: Duration = Duration::from_secs(5);
/// The time for which a replica that didn't answer, or not with its clock, isn't asked again.
const UNFIT_TIME: Duration = Duration::from_secs(30);

/// A replica that is asked.
#[derive(Clone, Debug)]
struct AskedReplica {
    /// The time of its last answer, or that of the choice.
    answered_at: Moment,
    /// The times of the questions without an answer.
    questions: VecDeque<Moment>,
    /// The time of the last question.
    asked_at: Moment,
    /// The shortest time to an answer; none before the first.
    fastest: Option<Duration>,
    /// Whether its last answer took notably longer than that.
    was_late: bool,
}

impl AskedReplica {
    fn new(now: Moment) -> Self {
        let questions = VecDeque::new();
        let (asked_at, fastest) = (Moment(0), None);
        Self { answered_at: now, questions, asked_at, fastest, was_late: false }
    }

    /// Returns the time after which an answer is late.
    fn usual_time(&self) -> Duration {
        self.fastest.map_or(ANSWER_TIME_MAX, |fastest| fastest + LATE_TIME_MIN)
    }

    /// Returns whether an answer is missing for longer than the replica needs.
    fn is_late(&self, now: Moment) -> bool {
        self.questions.front().is_some_and(|at| now.since(*at) >= self.usual_time())
    }
}

/// The choice of the replicas that are asked.
#[derive(Clone, Debug)]
pub(super) struct WitnessChoice {
    /// The hash of the entry's name, which determines its preference among replicas.
    preference: u64,
    chosen: BTreeMap<SocketAddr, AskedReplica>,
    /// The replicas that are of no use, and since when.
    unfit: BTreeMap<SocketAddr, Moment>,
    /// The time of the last questions.
    asked_at: Moment,
}

impl WitnessChoice {
    /// Returns the choice of an entry that has asked no replica yet.
    pub(super) fn new(entry_name: &str) -> Self {
        let preference = stable_hash(entry_name.as_bytes());
        Self { preference, chosen: BTreeMap::new(), unfit: BTreeMap::new(), asked_at: Moment(0) }
    }

    /// Returns the replicas to ask now.
    pub(super) fn next(
        &mut self,
        candidates: &BTreeSet<SocketAddr>,
        is_delayed: bool,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let is_due = |at: Moment, interval| now.after(TICK_JITTER) >= at.after(interval);
        let interval = if is_delayed { DELAYED_INTERVAL } else { INTERVAL / WITNESSES as u32 };
        if !is_due(self.asked_at, interval) {
            return Vec::new();
        }
        self.asked_at = now;
        self.unfit.retain(|_, since| now.since(*since) < UNFIT_TIME);
        let unfit = &mut self.unfit;
        self.chosen.retain(|peer, asked| {
            let is_silent = now.since(asked.answered_at) >= SILENCE_MAX;
            if is_silent {
                unfit.insert(*peer, now);
            }
            candidates.contains(peer) && !is_silent
        });
        let rank =
            |peer: &SocketAddr| stable_hash(format!("{} {peer}", self.preference).as_bytes());
        while self.chosen.len() < WITNESSES {
            let others = candidates
                .iter()
                .filter(|peer| !self.chosen.contains_key(*peer) && !self.unfit.contains_key(*peer));
            let Some(peer) = others.min_by_key(|peer| rank(peer)) else { break };
            self.chosen.insert(*peer, AskedReplica::new(now));
        }
        let due_peer = match is_delayed {
            true => None,
            false => self.chosen.iter().min_by_key(|(_, asked)| asked.asked_at),
        };
        let due_peer = due_peer.map(|(peer, _)| *peer);
        let is_asked = |peer: &SocketAddr, asked: &AskedReplica| {
            is_delayed || due_peer == Some(*peer) && is_due(asked.asked_at, INTERVAL)
        };
        let mut peers = Vec::new();
        for (peer, asked) in &mut self.chosen {
            if is_asked(peer, asked) {
                asked.asked_at = now;
                asked.questions.push_back(now);
                peers.push(*peer);
            }
        }
        peers
    }

    /// Returns whether the answer of any is late, or the last one was.
    pub(super) fn is_any_late(&self, now: Moment) -> bool {
        self.chosen.values().any(|asked| asked.was_late || asked.is_late(now))
    }

    /// Returns whether all answers are missing, and one of them is late.
    pub(super) fn are_overdue(&self, now: Moment) -> bool {
        self.chosen.values().any(|asked| asked.is_late(now))
            && self.chosen.values().all(|asked| !asked.questions.is_empty())
    }

    /// Records the answer of a replica to a question that was sent at `echo`, and whether it came with
    /// the replica's clock.
    pub(super) fn record_answer(
        &mut self,
        peer: SocketAddr,
        echo: Moment,
        has_clock: bool,
        now: Moment,
    ) {
        if has_clock {
            self.unfit.remove(&peer);
        }
        let Some(asked) = self.chosen.get_mut(&peer) else { return };
        asked.answered_at = now;
        asked.questions.retain(|asked_at| *asked_at > echo);
        let elapsed = now.since(echo);
        asked.was_late = elapsed >= asked.usual_time();
        asked.fastest = Some(asked.fastest.map_or(elapsed, |fastest| fastest.min(elapsed)));
        if !has_clock {
            self.chosen.remove(&peer);
            self.unfit.insert(peer, now);
        }
    }
}
