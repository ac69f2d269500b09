/*!
What a leader knows of the log of another replica.

Replies may overtake each other, and a replica may turn out to lack entries that it has acknowledged.
Every reply echoes when the message that it answers was sent, so the leader can tell which one is about
the later state: it counts no entry that a later reply contradicts.
*/

use crate::clock::Moment;

/// The replication progress of another replica, as known to the leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerProgress {
    pub next_index: u64,
    pub match_index: u64,
    /// The latest `sent_at` of a message with which the replica acknowledged entries.
    acknowledged_at: Moment,
    /// The `sent_at` of the message that showed that acknowledged entries are missing.
    missing_at: Option<Moment>,
    /// The latest `sent_at` that the replica echoed.
    pub echo: Option<Moment>,
    /// The number of bytes of the snapshot that the replica has received, while one is being sent.
    pub snapshot_received: Option<u64>,
    pub snapshot_sent_at: Option<Moment>,
}

impl PeerProgress {
    /// Returns the progress of a replica that is to be sent the entries from an index on.
    pub(crate) fn starting_at(next_index: u64) -> Self {
        Self { next_index, ..Self::default() }
    }

    /// Records that the replica has stored all entries up to an index, in reply to a message sent at
    /// a time. Does nothing if a reply to a later message has shown that some are missing.
    pub(crate) fn acknowledge(&mut self, index: u64, sent_at: Moment) {
        if self.missing_at.is_some_and(|missing_at| sent_at <= missing_at) {
            return;
        }
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index + 1);
        self.acknowledged_at = self.acknowledged_at.max(sent_at);
    }

    /// Records that the replica may lack the entries after an index, by its reply to a message sent
    /// at a time, and returns whether it had acknowledged some of them. Does nothing if it has
    /// acknowledged entries in reply to a later message.
    pub(crate) fn revoke_after(&mut self, index: u64, sent_at: Moment) -> bool {
        if index >= self.match_index || sent_at <= self.acknowledged_at {
            return false;
        }
        self.match_index = index;
        self.missing_at = Some(sent_at);
        true
    }
}
