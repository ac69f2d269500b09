/*!
Elections: trial votes, votes, and stepping down.

A replica first asks whether it could win (a trial), so that one that comes back after a long
isolation doesn't raise everybody's term. A replica that heard from a leader within
[`ELECTION_TIMEOUT_MIN`] helps nobody to depose it; the leader's lease rests on that.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            group::{ConsensusGroup, PeerProgress, ReplicaRole},
            types::{ConsensusMessage, ELECTION_TIMEOUT_MIN, LogPayload, LogPosition, ReplicaId},
        },
        log_events::LogEvent,
    },
    std::collections::BTreeSet,
};

impl ConsensusGroup {
    /// Asks the voters whether an election could be won; a handover skips the asking.
    pub(crate) fn start_pre_vote(&mut self, now: Moment, handover: bool) {
        self.postpone_election(now);
        if !self.is_voter(self.me) || self.is_leader() {
            return;
        }
        let votes = BTreeSet::from([self.me]);
        if handover || self.is_quorum(&votes) {
            self.start_election(handover);
            return;
        }
        self.role = ReplicaRole::PreCandidate { votes };
        self.ask_votes(self.hard.term + 1, true, false);
    }

    fn start_election(&mut self, handover: bool) {
        self.hard.term += 1;
        self.hard.voted_for = Some(self.me);
        self.leader = None;
        self.role = ReplicaRole::Candidate { votes: BTreeSet::new() };
        self.persist_hard();
        self.vote_when_durable();
        self.ask_votes(self.hard.term, false, handover);
    }

    fn ask_votes(&mut self, term: u64, trial: bool, handover: bool) {
        let last = self.log.last_position();
        let others: Vec<ReplicaId> = self.voters().filter(|id| *id != self.me).collect();
        for to in others {
            let message = ConsensusMessage::VoteRequest { term, last, trial, handover };
            self.send_durable(to, message);
        }
    }

    pub(crate) fn count_own_vote(&mut self, term: u64, now: Moment) {
        if term == self.hard.term {
            self.count_vote(self.me, now);
        }
    }

    fn count_vote(&mut self, from: ReplicaId, now: Moment) {
        let ReplicaRole::Candidate { votes } = &mut self.role else {
            return;
        };
        votes.insert(from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.become_leader(now);
        }
    }

    pub(crate) fn on_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LogPosition,
        trial: bool,
        handover: bool,
        now: Moment,
    ) {
        let sheltered = self.is_leader() || now.since(self.leader_heard) < ELECTION_TIMEOUT_MIN;
        let refused = sheltered && !handover;
        let stale = term < self.hard.term || (trial && term == self.hard.term);
        if refused || stale {
            let term = self.hard.term;
            self.send_durable(from, ConsensusMessage::VoteReply { term, granted: false, trial });
            return;
        }
        let current = last >= self.log.last_position();
        if trial {
            // A refusal names the own term: the asker must not raise its term for a trial, or the only
            // replica that can win is behind it for ever.
            let term = if current { term } else { self.hard.term };
            self.send_durable(from, ConsensusMessage::VoteReply { term, granted: current, trial });
            return;
        }
        if term > self.hard.term {
            self.raise_term(term, now);
        }
        let free = self.hard.voted_for.is_none_or(|id| id == from);
        let granted = current && free;
        if granted && self.hard.voted_for.is_none() {
            self.hard.voted_for = Some(from);
            self.postpone_election(now);
            self.persist_hard();
        }
        self.send_durable(from, ConsensusMessage::VoteReply { term, granted, trial });
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        trial: bool,
        now: Moment,
    ) {
        if !granted {
            if term > self.hard.term {
                self.raise_term(term, now);
            }
            return;
        }
        if !trial {
            if term == self.hard.term {
                self.count_vote(from, now);
            }
            return;
        }
        if term != self.hard.term + 1 {
            return;
        }
        let ReplicaRole::PreCandidate { votes } = &mut self.role else {
            return;
        };
        votes.insert(from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.start_election(false);
        }
    }

    fn become_leader(&mut self, now: Moment) {
        self.role = ReplicaRole::Leader;
        self.leader = Some(self.me);
        self.leader_heard = now;
        self.awaiting_first_leader = false;
        self.heartbeat_due = now;
        self.progress.clear();
        for id in self.others() {
            // Before the first entry of the term, which they lack for sure.
            self.progress_of(id);
        }
        self.note(LogEvent::LeadershipGained { term: self.hard.term });
        self.propose(LogPayload::Noop, now);
    }

    /// Goes on as a follower, of a known leader or of none yet.
    pub(crate) fn become_follower(&mut self, leader: Option<ReplicaId>, now: Moment) {
        self.role = ReplicaRole::Follower;
        self.leader = leader;
        self.progress.clear();
        self.postpone_election(now);
    }

    pub(crate) fn raise_term(&mut self, term: u64, now: Moment) {
        self.hard.term = term;
        self.hard.voted_for = None;
        self.become_follower(None, now);
        self.persist_hard();
    }

    /// Takes a sender as leader if its term allows; tells whether it does.
    pub(crate) fn follow(&mut self, from: ReplicaId, term: u64, now: Moment) -> bool {
        if term < self.hard.term {
            return false;
        }
        if term > self.hard.term {
            self.raise_term(term, now);
        }
        self.awaiting_first_leader = false;
        if self.leader != Some(from) || !matches!(self.role, ReplicaRole::Follower) {
            self.become_follower(Some(from), now);
        }
        self.leader_heard = now;
        self.postpone_election(now);
        true
    }

    /// Hands the lead to the voter that is furthest, before a planned stop; tells whether there
    /// is one to hand it to.
    pub fn transfer_leadership(&mut self) -> bool {
        if !self.is_leader() {
            return false;
        }
        let furthest = self.voters().filter(|id| *id != self.me);
        let furthest = furthest.max_by_key(|id| self.progress.get(id).map_or(0, |p| p.match_index));
        let Some(to) = furthest else { return false };
        let term = self.hard.term;
        self.send_durable(to, ConsensusMessage::Handover { term });
        true
    }

    pub(crate) fn progress_of(&mut self, id: ReplicaId) -> &mut PeerProgress {
        let next = self.log.last_position().index + 1;
        let fresh = || PeerProgress { next_index: next, ..PeerProgress::default() };
        self.progress.entry(id).or_insert_with(fresh)
    }
}
