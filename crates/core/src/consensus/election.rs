/*!
Elections: pre-votes, votes, stepping down and leadership transfer.

A replica first asks in a pre-vote whether it could win, so that a replica that returns after a
long isolation doesn't raise the term of the others. A replica that received a message from a leader
within [`ELECTION_TIMEOUT_MIN`] grants no votes, except for a leadership transfer; the leader's
lease relies on this.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            group::{ConsensusGroup, ReplicaRole},
            progress::PeerProgress,
            types::{ConsensusMessage, ELECTION_TIMEOUT_MIN, LogPayload, LogPosition, ReplicaId},
        },
        log_events::LogEvent,
    },
    std::collections::BTreeSet,
};

impl ConsensusGroup {
    /// Starts a pre-vote, or the election itself for a leadership transfer or if this replica alone
    /// is a quorum. A leader or a replica without a vote only restarts its election timer.
    pub(crate) fn start_pre_vote(&mut self, now: Moment, transfer: bool) {
        self.reset_election_timer(now);
        if !self.is_voter(self.me) || self.is_leader() {
            return;
        }
        let votes = BTreeSet::from([self.me]);
        if transfer || self.is_quorum(&votes) {
            self.start_election(transfer);
            return;
        }
        self.role = ReplicaRole::PreCandidate { votes };
        self.request_votes(self.hard.term + 1, true, false);
    }

    fn start_election(&mut self, transfer: bool) {
        self.hard.term += 1;
        self.hard.voted_for = Some(self.me);
        self.leader = None;
        self.role = ReplicaRole::Candidate { votes: BTreeSet::new() };
        self.persist_hard();
        self.vote_for_self_when_durable();
        self.request_votes(self.hard.term, false, transfer);
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool, transfer: bool) {
        let last = self.log.last_position();
        let others: Vec<ReplicaId> = self.voters().filter(|id| *id != self.me).collect();
        for to in others {
            let message =
                ConsensusMessage::VoteRequest { term, last, trial: pre_vote, handover: transfer };
            self.send_when_durable(to, message);
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
        pre_vote: bool,
        transfer: bool,
        now: Moment,
    ) {
        let follows_live_leader =
            self.is_leader() || now.since(self.last_leader_contact) < ELECTION_TIMEOUT_MIN;
        let refused = follows_live_leader && !transfer;
        let stale = term < self.hard.term || (pre_vote && term == self.hard.term);
        if refused || stale {
            let term = self.hard.term;
            self.send_when_durable(
                from,
                ConsensusMessage::VoteReply { term, granted: false, trial: pre_vote },
            );
            return;
        }
        let up_to_date = last >= self.log.last_position();
        if pre_vote {
            // A refusal carries this replica's own term, because the requester adopts a higher term
            // from a refusal. With the proposed term, each refused pre-vote would raise the
            // requester's term, and the only replica that can win could never catch up.
            let term = if up_to_date { term } else { self.hard.term };
            self.send_when_durable(
                from,
                ConsensusMessage::VoteReply { term, granted: up_to_date, trial: pre_vote },
            );
            return;
        }
        if term > self.hard.term {
            self.raise_term(term, now);
        }
        let vote_available = self.hard.voted_for.is_none_or(|id| id == from);
        let granted = up_to_date && vote_available;
        if granted && self.hard.voted_for.is_none() {
            self.hard.voted_for = Some(from);
            self.reset_election_timer(now);
            self.persist_hard();
        }
        self.send_when_durable(
            from,
            ConsensusMessage::VoteReply { term, granted, trial: pre_vote },
        );
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        pre_vote: bool,
        now: Moment,
    ) {
        if !granted {
            if term > self.hard.term {
                self.raise_term(term, now);
            }
            return;
        }
        if !pre_vote {
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
        self.last_leader_contact = now;
        self.awaiting_first_leader = false;
        self.heartbeat_due = now;
        self.progress.clear();
        for id in self.others() {
            // Must precede the append of the term's first entry, so that `next_index` points at
            // that entry, which the others can't have yet.
            self.progress_or_insert(id);
        }
        self.log_event(LogEvent::LeadershipGained { term: self.hard.term });
        self.propose(LogPayload::Noop, now);
    }

    /// Becomes a follower, of `leader` if it is known.
    pub(crate) fn become_follower(&mut self, leader: Option<ReplicaId>, now: Moment) {
        self.role = ReplicaRole::Follower;
        self.leader = leader;
        self.progress.clear();
        self.reset_election_timer(now);
    }

    pub(crate) fn raise_term(&mut self, term: u64, now: Moment) {
        self.hard.term = term;
        self.hard.voted_for = None;
        self.become_follower(None, now);
        self.persist_hard();
    }

    /// Accepts the sender as leader unless its term is outdated, and returns whether it was
    /// accepted.
    pub(crate) fn accept_leader(&mut self, from: ReplicaId, term: u64, now: Moment) -> bool {
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
        self.last_leader_contact = now;
        self.reset_election_timer(now);
        true
    }

    /// Asks the voter with the highest match index to take over leadership, before a planned stop.
    /// This replica leads until it receives a higher term.
    ///
    /// Returns whether this replica leads and there is another voter.
    pub fn transfer_leadership(&mut self) -> bool {
        if !self.is_leader() {
            return false;
        }
        let candidates = self.voters().filter(|id| *id != self.me);
        let successor = candidates
            .max_by_key(|id| self.progress.get(id).map_or(0, |progress| progress.match_index));
        let Some(to) = successor else { return false };
        let term = self.hard.term;
        self.send_when_durable(to, ConsensusMessage::Handover { term });
        true
    }

    /// Returns the progress of another replica. Creates it if there is none; the next entry to send
    /// is then the one after the log's end.
    pub(crate) fn progress_or_insert(&mut self, id: ReplicaId) -> &mut PeerProgress {
        let next = self.log.last_position().index + 1;
        self.progress.entry(id).or_insert_with(|| PeerProgress::starting_at(next))
    }
}
