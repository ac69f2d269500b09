/*!
Log replication: appends, acknowledgements and the commit index.
*/

use crate::{
    clock::Moment,
    consensus::{
        group::ConsensusGroup,
        types::{
            APPEND_ENTRIES_MAX, ConsensusMessage, LogEntry, LogPosition, PersistBatch, ReplicaId,
        },
    },
    log_events::LogEvent,
};

impl ConsensusGroup {
    /// Sends an append to every other replica that hasn't been sent the whole log, and advances the
    /// commit index.
    pub(crate) fn replicate(&mut self, now: Moment) {
        for to in self.others() {
            let next = self.progress_or_insert(to).next_index;
            if next <= self.log.last_position().index {
                self.send_append(to, now);
            }
        }
        self.advance_commit(now);
    }

    /// Sends an append to every other replica, even if there are no entries to send. A replica that
    /// is being sent a snapshot gets its next chunk instead, unless a reply is awaited.
    pub(crate) fn heartbeat(&mut self, now: Moment) {
        for to in self.others() {
            self.send_append(to, now);
        }
    }

    pub(crate) fn others(&self) -> Vec<ReplicaId> {
        self.members().keys().copied().filter(|id| *id != self.me).collect()
    }

    /// Sends the next entries for a replica, or the next chunk of the snapshot if the log no longer
    /// contains them.
    pub(crate) fn send_append(&mut self, to: ReplicaId, now: Moment) {
        let next = self.progress_or_insert(to).next_index;
        let Some(term) = self.log.term_at(next.saturating_sub(1)) else {
            self.send_snapshot(to, now);
            return;
        };
        let previous = LogPosition { term, index: next - 1 };
        let entries = self.log.slice(next, APPEND_ENTRIES_MAX);
        self.progress_or_insert(to).next_index = next + entries.len() as u64;
        let (term, commit) = (self.hard.term, self.commit_index);
        let message = ConsensusMessage::Append { term, previous, entries, commit, sent_at: now };
        self.send_immediately(to, message);
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        term: u64,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit: u64,
        sent_at: Moment,
        now: Moment,
    ) {
        // The hint must lie before a refused position, or the leader would retry the same one.
        let hint = self.log.last_position().index.min(previous.index.saturating_sub(1));
        if !self.accept_leader(from, term, now) {
            self.reply_append(from, None, hint, sent_at);
            return;
        }
        let matches = previous.index < self.log.base().index
            || self.log.term_at(previous.index) == Some(previous.term);
        if !matches {
            self.reply_append(from, None, hint, sent_at);
            return;
        }
        let matched = previous.index + entries.len() as u64;
        self.append_missing(entries);
        self.commit_index = self.commit_index.max(commit.min(matched));
        // Until a leader has committed an entry of its own term, it may not know all that is committed.
        let is_established = self.log.term_at(self.commit_index) == Some(term);
        if self.commit_index >= commit && is_established {
            self.caught_up_at = Some(now);
        }
        self.reply_append(from, Some(matched), matched, sent_at);
    }

    fn append_missing(&mut self, entries: Vec<LogEntry>) {
        let base = self.log.base().index;
        let is_present = |entry: &LogEntry| {
            let position = entry.position;
            position.index <= base || self.log.term_at(position.index) == Some(position.term)
        };
        let missing: Vec<LogEntry> = entries.into_iter().skip_while(is_present).collect();
        let Some(first) = missing.first() else { return };
        let keep = first.position.index - 1;
        let truncate_after = (keep < self.log.last_position().index).then_some(keep);
        if truncate_after.is_some() {
            debug_assert!(keep >= self.commit_index, "a committed entry must not be truncated");
            self.truncate_local(keep);
        }
        self.append_local(missing.clone());
        self.persist(PersistBatch { truncate_after, entries: missing, ..PersistBatch::default() });
    }

    fn reply_append(&mut self, to: ReplicaId, matched: Option<u64>, hint: u64, echo: Moment) {
        let term = self.hard.term;
        let message = ConsensusMessage::AppendReply { term, matched, hint, echo };
        self.reply_to_leader(to, message);
    }

    /// Replies to a leader once every write requested so far is on disk, even if the leader isn't
    /// in the latest member set of this replica.
    pub(crate) fn reply_to_leader(&mut self, to: ReplicaId, message: ConsensusMessage) {
        self.send_when_durable(to, message);
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        matched: Option<u64>,
        hint: u64,
        echo: Moment,
        now: Moment,
    ) {
        if !self.accept_reply(from, term, echo, now) {
            return;
        }
        let last = self.log.last_position().index;
        let progress = self.progress_or_insert(from);
        match matched {
            Some(index) => progress.acknowledge(index, echo),
            None => {
                let lacks_acknowledged = progress.revoke_after(hint, echo);
                let next = (hint + 1).max(progress.match_index + 1);
                // Of several refusals in flight, only one that moves further back has an effect.
                let moves_back = next < progress.next_index;
                if moves_back {
                    progress.next_index = next;
                }
                if lacks_acknowledged {
                    self.log_missing_entries(from, hint);
                }
                if moves_back {
                    self.send_append(from, now);
                }
            }
        }
        if matched.is_some() && self.progress_or_insert(from).next_index <= last {
            self.send_append(from, now);
        }
        self.advance_commit(now);
        self.promote_learners(now);
    }

    fn log_missing_entries(&mut self, id: ReplicaId, index: u64) {
        if let Some(name) = self.members().get(&id).map(|member| member.name.clone()) {
            self.log_event(LogEvent::EntriesMissing { name, index });
        }
    }

    /// Returns whether a reply is from a member and belongs to the term in which this replica
    /// leads, and records its echo if so. Adopts a higher term and becomes a follower.
    pub(crate) fn accept_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        echo: Moment,
        now: Moment,
    ) -> bool {
        if term > self.hard.term {
            self.raise_term(term, now);
            return false;
        }
        if !self.is_leader() || term < self.hard.term || !self.members().contains_key(&from) {
            return false;
        }
        let progress = self.progress_or_insert(from);
        progress.echo = progress.echo.max(Some(echo));
        true
    }

    pub(crate) fn advance_commit(&mut self, now: Moment) {
        let mut matched: Vec<u64> =
            self.voters().map(|id| self.match_index(id).unwrap_or(0)).collect();
        matched.sort_unstable();
        let Some(rank) = matched.len().checked_sub(self.quorum()) else {
            return;
        };
        let index = matched[rank];
        let in_current_term = self.log.term_at(index) == Some(self.hard.term);
        if index > self.commit_index && in_current_term {
            self.commit_index = index;
            if index == self.log.last_position().index {
                // No further append would carry the new commit index, so the next tick sends it.
                self.heartbeat_due = now;
            }
            self.step_down_if_removed(now);
        }
    }
}
