/*!
Deferred actions: messages, votes and indexes that are valid only after a write is synced.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            group::{ConsensusEffect, ConsensusGroup},
            types::{ConsensusMessage, PersistBatch, ReplicaId},
        },
    },
    std::net::SocketAddr,
};

/// An action that waits for a write to reach the disk.
#[derive(Clone, Debug)]
pub(super) enum DeferredAction {
    /// Sends a message.
    Send { peer: SocketAddr, to: ReplicaId, message: ConsensusMessage },
    /// Counts this replica's vote for itself.
    OwnVote { term: u64 },
    /// Raises the durable index of the log.
    Durable { index: u64 },
    /// Raises the commit index that is known to be on disk.
    CommitPersisted { index: u64 },
}

impl ConsensusGroup {
    /// Handles the completion of a ticket: its batch and all earlier ones are synced.
    pub fn persisted(&mut self, ticket: u64, now: Moment) -> Vec<ConsensusEffect> {
        self.persisted_ticket = self.persisted_ticket.max(ticket);
        while self.deferred.front().is_some_and(|(required, _)| *required <= self.persisted_ticket)
        {
            let Some((_, action)) = self.deferred.pop_front() else {
                break;
            };
            self.run_deferred(action, now);
        }
        self.take_effects()
    }

    /// Writes the commit index to disk, so that a restart applies at least the entries up to it.
    pub fn persist_commit(&mut self) -> Vec<ConsensusEffect> {
        self.hard.commit = self.commit_index;
        self.persist_hard();
        self.deferred.push_back((
            self.last_ticket,
            DeferredAction::CommitPersisted { index: self.commit_index },
        ));
        self.take_effects()
    }

    /// Returns the commit index that is known to be on disk; a restart applies the entries up to
    /// it.
    pub fn persisted_commit(&self) -> u64 {
        self.persisted_commit
    }

    /// Requests a write; when it completes, the log up to the current end is durable.
    pub(crate) fn persist(&mut self, batch: PersistBatch) {
        self.last_ticket += 1;
        let index = self.log.last_position().index;
        self.deferred.push_back((self.last_ticket, DeferredAction::Durable { index }));
        self.effects.push(ConsensusEffect::Persist { ticket: self.last_ticket, batch });
    }

    pub(crate) fn persist_hard(&mut self) {
        let hard = Some(self.hard);
        self.persist(PersistBatch { hard, ..PersistBatch::default() });
    }

    /// Counts the vote of this replica for itself once its term is on disk.
    pub(crate) fn vote_for_self_when_durable(&mut self) {
        let action = DeferredAction::OwnVote { term: self.hard.term };
        self.deferred.push_back((self.last_ticket, action));
    }

    /// Sends a message once every write requested so far is on disk. Drops it if the address of the
    /// receiver isn't known.
    pub(crate) fn send_when_durable(&mut self, to: ReplicaId, message: ConsensusMessage) {
        let Some(peer) = self.peer_address(to) else { return };
        if self.last_ticket == self.persisted_ticket {
            self.effects.push(ConsensusEffect::Send { peer, to, message });
            return;
        }
        self.deferred.push_back((self.last_ticket, DeferredAction::Send { peer, to, message }));
    }

    fn run_deferred(&mut self, action: DeferredAction, now: Moment) {
        match action {
            DeferredAction::Send { peer, to, message } => {
                self.effects.push(ConsensusEffect::Send { peer, to, message });
            }
            DeferredAction::OwnVote { term } => self.count_own_vote(term, now),
            DeferredAction::Durable { index } => {
                self.durable_index = self.durable_index.max(index);
                if self.is_leader() {
                    self.advance_commit(now);
                }
            }
            DeferredAction::CommitPersisted { index } => {
                self.persisted_commit = self.persisted_commit.max(index);
            }
        }
    }
}
