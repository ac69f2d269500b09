/*!
Snapshots: taking, sending in chunks, receiving and installing them.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            group::ConsensusGroup,
            types::{
                ConsensusMessage, PersistBatch, ReplicaId, SNAPSHOT_CHUNK_BYTES, SNAPSHOT_INTERVAL,
                SnapshotImage, SnapshotMeta,
            },
        },
        log_events::LogEvent,
    },
    std::time::Duration,
};

/// The time without a reply after which a chunk of a snapshot is sent again.
const CHUNK_RESEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The size of the last snapshot in bytes, divided by this, is the number of entries after which
/// the next one is due, if that is more than [`SNAPSHOT_INTERVAL`].
const SNAPSHOT_BYTES_PER_ENTRY: u64 = 1_024;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    source: SnapshotSource,
    bytes: Vec<u8>,
    /// Whether it is complete and was taken to be decoded.
    is_taken: bool,
}

/// A complete snapshot of a leader that isn't installed yet, because it may not be readable.
#[derive(Clone, Debug)]
pub struct ReceivedSnapshot {
    /// The snapshot.
    pub image: SnapshotImage,
    leader: ReplicaId,
    sent_at: Moment,
}

/// The origin of a snapshot's chunks. Two leaders may encode the same ledger differently, so only
/// chunks of the same source belong together.
#[derive(Clone, Debug, Eq, PartialEq)]
struct SnapshotSource {
    leader: ReplicaId,
    term: u64,
    meta: SnapshotMeta,
    total: u64,
}

impl ConsensusGroup {
    /// Returns whether enough entries were applied since the last snapshot; a large ledger requires
    /// more of them.
    pub fn wants_snapshot(&self) -> bool {
        let entries_by_size = self.image.bytes.len() as u64 / SNAPSHOT_BYTES_PER_ENTRY;
        self.applied_index >= self.image.meta.last.index + SNAPSHOT_INTERVAL.max(entries_by_size)
    }

    /// Takes a snapshot at the last applied entry from the encoded ledger. Of the entries that it
    /// includes, the last `trailing` ones stay in the log, for replicas that lag slightly.
    pub fn take_snapshot(&mut self, bytes: Vec<u8>, trailing: u64) -> Vec<super::ConsensusEffect> {
        let Some(term) = self.log.term_at(self.applied_index) else {
            return Vec::new();
        };
        let last = super::LogPosition { term, index: self.applied_index };
        let members = self.members_at(self.applied_index);
        self.image = SnapshotImage { meta: SnapshotMeta { last, members }, bytes };
        self.log.compact_to(self.applied_index.saturating_sub(trailing).max(self.log.base().index));
        self.compact_member_log();
        self.persist_reset();
        self.log_event(LogEvent::SnapshotTaken {
            index: last.index,
            bytes: self.image.bytes.len(),
        });
        self.take_effects()
    }

    fn persist_reset(&mut self) {
        let reset = Some((self.image.clone(), self.log.base()));
        let hard = Some(self.hard);
        let entries = self.log.slice(self.log.base().index + 1, usize::MAX);
        self.persist(PersistBatch { reset, hard, truncate_after: None, entries });
    }

    /// Returns the member set that applied at an index.
    pub(crate) fn members_at(&self, index: u64) -> super::MemberSet {
        let sets = self.member_log.iter().rev();
        let latest = sets.filter(|(at, _)| *at <= index).map(|(_, set)| set.clone()).next();
        latest.unwrap_or_default()
    }

    fn compact_member_log(&mut self) {
        let at = self.image.meta.last.index;
        let members = self.image.meta.members.clone();
        self.member_log.retain(|(index, _)| *index > at);
        self.member_log.insert(0, (at, members));
    }

    /// Sends the next chunk of the snapshot, unless the reply to an earlier one may still arrive.
    pub(crate) fn send_snapshot(&mut self, to: ReplicaId, now: Moment) {
        let total = self.image.bytes.len() as u64;
        let progress = self.progress_or_insert(to);
        let pending =
            progress.snapshot_sent_at.is_some_and(|at| now.since(at) < CHUNK_RESEND_TIMEOUT);
        if pending && progress.snapshot_received.is_some() {
            return;
        }
        let offset = progress.snapshot_received.unwrap_or(0).min(total);
        progress.snapshot_received = Some(offset);
        progress.snapshot_sent_at = Some(now);
        let end = (offset as usize + SNAPSHOT_CHUNK_BYTES).min(total as usize);
        let data = self.image.bytes[offset as usize..end].to_vec();
        let (term, meta) = (self.hard.term, self.image.meta.clone());
        let message =
            ConsensusMessage::SnapshotChunk { term, meta, offset, total, data, sent_at: now };
        self.send_immediately(to, message);
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        offset: u64,
        total: u64,
        data: Vec<u8>,
        sent_at: Moment,
    ) {
        let last_index = meta.last.index;
        if self.log.term_at(last_index) == Some(meta.last.term) {
            // The log has all entries that the snapshot includes. The entries after them may be
            // acknowledged already, so the log must stay as it is.
            self.commit_index = self.commit_index.max(last_index);
        }
        if last_index <= self.commit_index {
            self.reply_snapshot(from, last_index, total, sent_at);
            return;
        }
        let source = SnapshotSource { leader: from, term: self.hard.term, meta, total };
        let is_same_source =
            self.incoming_snapshot.as_ref().is_some_and(|incoming| incoming.source == source);
        if !is_same_source {
            let (bytes, is_taken) = (Vec::new(), false);
            self.incoming_snapshot = Some(IncomingSnapshot { source, bytes, is_taken });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&data);
        }
        let received = incoming.bytes.len() as u64;
        if received < total {
            self.reply_snapshot(from, last_index, received, sent_at);
            return;
        }
        // A snapshot that couldn't be read isn't acknowledged, however often its end arrives.
        if !std::mem::replace(&mut incoming.is_taken, true) {
            let image =
                SnapshotImage { meta: incoming.source.meta.clone(), bytes: incoming.bytes.clone() };
            self.received_snapshot = Some(ReceivedSnapshot { image, leader: from, sent_at });
        }
    }

    /// Takes a complete snapshot of a leader, to be decoded and then passed to
    /// [`install_snapshot`](Self::install_snapshot), or dropped if it can't be read.
    pub fn take_received_snapshot(&mut self) -> Option<ReceivedSnapshot> {
        self.received_snapshot.take()
    }

    /// Replaces the log with a snapshot that could be decoded, and acknowledges it.
    pub fn install_snapshot(&mut self, received: ReceivedSnapshot) -> Vec<super::ConsensusEffect> {
        let ReceivedSnapshot { image, leader, sent_at } = received;
        let (last, total) = (image.meta.last, image.bytes.len() as u64);
        self.incoming_snapshot = None;
        self.truncate_local(last.index.min(self.commit_index));
        self.log.reset(last);
        self.member_log = vec![(last.index, image.meta.members.clone())];
        self.commit_index = last.index;
        self.applied_index = last.index;
        self.image = image;
        self.persist_reset();
        self.log_event(LogEvent::SnapshotInstalled { index: last.index });
        self.reply_snapshot(leader, last.index, total, sent_at);
        self.take_effects()
    }

    fn reply_snapshot(&mut self, to: ReplicaId, last_index: u64, received: u64, echo: Moment) {
        let term = self.hard.term;
        let message = ConsensusMessage::SnapshotReply { term, last_index, received, echo };
        self.reply_to_leader(to, message);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        last_index: u64,
        received: u64,
        echo: Moment,
        now: Moment,
    ) {
        if !self.accept_reply(from, term, echo, now) {
            return;
        }
        let total = self.image.bytes.len() as u64;
        let is_latest = last_index == self.image.meta.last.index;
        let progress = self.progress_or_insert(from);
        progress.snapshot_sent_at = None;
        if !is_latest || received < total {
            progress.snapshot_received = is_latest.then_some(received);
            self.send_append(from, now);
            return;
        }
        progress.snapshot_received = None;
        // Replicas of earlier builds drop the entries after a snapshot that they install.
        progress.revoke_after(last_index, echo);
        progress.acknowledge(last_index, echo);
        progress.next_index = progress.match_index + 1;
        self.send_append(from, now);
        self.advance_commit(now);
    }
}
