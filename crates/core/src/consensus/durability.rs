/*!
Waiting for the disk: what may be said or counted only once a write is synced.
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

/// Something that waits for a write.
#[derive(Clone, Debug)]
pub(super) enum DeferredAction {
    Send { peer: SocketAddr, to: ReplicaId, message: ConsensusMessage },
    OwnVote { term: u64 },
    Durable { index: u64 },
    CommitPersisted { index: u64 },
}

impl ConsensusGroup {
    /// Takes back a ticket: its batch and all before it are synced.
    pub fn persisted(&mut self, ticket: u64, now: Moment) -> Vec<ConsensusEffect> {
        self.ticket_done = self.ticket_done.max(ticket);
        while self.deferred.front().is_some_and(|(wanted, _)| *wanted <= self.ticket_done) {
            let Some((_, action)) = self.deferred.pop_front() else {
                break;
            };
            self.perform(action, now);
        }
        self.take_effects()
    }

    /// Writes the commit index down, so that a restart starts no earlier than it.
    pub fn persist_commit(&mut self) -> Vec<ConsensusEffect> {
        self.hard.commit = self.commit_index;
        self.persist_hard();
        self.deferred
            .push_back((self.ticket, DeferredAction::CommitPersisted { index: self.commit_index }));
        self.take_effects()
    }

    /// Returns the commit index that a restart would start from.
    pub fn persisted_commit(&self) -> u64 {
        self.persisted_commit
    }

    /// Asks for a write, after which the end of the log as it is now counts as durable.
    pub(crate) fn persist(&mut self, batch: PersistBatch) {
        self.ticket += 1;
        let index = self.log.last_position().index;
        self.deferred.push_back((self.ticket, DeferredAction::Durable { index }));
        self.effects.push(ConsensusEffect::Persist { ticket: self.ticket, batch });
    }

    pub(crate) fn persist_hard(&mut self) {
        let hard = Some(self.hard);
        self.persist(PersistBatch { hard, ..PersistBatch::default() });
    }

    /// Counts this replica's own vote once its term is on disk.
    pub(crate) fn vote_when_durable(&mut self) {
        let action = DeferredAction::OwnVote { term: self.hard.term };
        self.deferred.push_back((self.ticket, action));
    }

    /// Sends once every write asked for so far is on disk.
    pub(crate) fn send_durable(&mut self, to: ReplicaId, message: ConsensusMessage) {
        let Some(peer) = self.peer_of(to) else { return };
        if self.ticket == self.ticket_done {
            self.effects.push(ConsensusEffect::Send { peer, to, message });
            return;
        }
        self.deferred.push_back((self.ticket, DeferredAction::Send { peer, to, message }));
    }

    fn perform(&mut self, action: DeferredAction, now: Moment) {
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
