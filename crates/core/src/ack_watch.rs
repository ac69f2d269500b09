/*!
What the peer of a connection acknowledges, and when the connection counts as dead.

A peer that works may read late: its machine then acknowledges what it has and offers no more room,
for as long as it takes. A link may be full: then acknowledgements wait, on all connections alike.
Neither is a reason to end a request before its time. A connection is dead if its peer answers none of
several transmissions, not even with an acknowledgement of nothing new, although the peers of other
connections have acknowledged bytes that were sent later.
*/

use {crate::clock::Moment, std::time::Duration};

/// The shortest time without an acknowledgement after which a connection is dead. It allows for a few
/// retransmissions, and detects a dead reused connection early enough for a retry of the request.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest time after which the last transmission counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// The round trips of the connection that are added to both, since the peer may be behind a full link of
/// its own.
const ADDED_ROUND_TRIPS: u32 = 2;

/// The retransmissions that must stay unanswered: any packet may be lost, and they come rarely while the
/// peer drops what it has no room for.
const UNANSWERED_MIN: u32 = 2;

/// What the kernel tells of the bytes that were written to a connection. Its times are in ticks of several
/// milliseconds, so that they don't tell the order of what happens within one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentBytes {
    /// Whether some are sent and not acknowledged.
    pub is_in_flight: bool,
    /// Whether some aren't sent yet, for example because the peer offers no room for them.
    pub is_waiting: bool,
    /// The time since the last acknowledgement of the peer, also one of nothing new.
    pub since_ack: Duration,
    /// The time since the last transmission of some of them.
    pub since_sent: Duration,
    /// The number of segments from the peer so far, also those that acknowledge nothing new.
    pub received: u32,
    /// The number of retransmissions on the connection so far.
    pub retransmissions: u32,
    /// The time that acknowledgements took of late.
    pub round_trip: Duration,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AckState {
    /// The peer has acknowledged everything that was written until this time.
    Complete(Moment),
    /// There are bytes left that the peer may still acknowledge.
    Pending,
    /// The peer doesn't acknowledge what it is sent.
    Dead,
}

/// Follows the acknowledgements on a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct AckWatch {
    /// The time of the last write.
    written_at: Moment,
    /// The silence of the peer, if there may be something to answer.
    silence: Option<PeerSilence>,
}

/// A time since which nothing has come from the peer, and the counts until then.
#[derive(Clone, Copy, Debug)]
struct PeerSilence {
    began_at: Moment,
    received: u32,
    retransmissions: u32,
}

impl AckWatch {
    /// Returns whether [`AckWatch::record_write`] needs to know what the kernel tells.
    #[must_use]
    pub fn wants_counts(&self) -> bool {
        self.silence.is_none()
    }

    /// Records that bytes were written. `sent` is what the kernel tells after that, and may be left out
    /// unless [`AckWatch::wants_counts`].
    pub fn record_write(&mut self, sent: Option<&SentBytes>, now: Moment) {
        self.written_at = now;
        if let (None, Some(sent)) = (self.silence, sent) {
            self.begin_silence(sent, now);
        }
    }

    /// Returns the state of the connection. `link_acked_at` is the latest time until which everything
    /// that was written to another connection is known to be acknowledged.
    pub fn check(&mut self, sent: &SentBytes, link_acked_at: Moment, now: Moment) -> AckState {
        if !sent.is_in_flight {
            self.silence = None;
            return match sent.is_waiting {
                true => AckState::Pending,
                false => AckState::Complete(self.written_at),
            };
        }
        let is_answered = sent.since_ack < sent.since_sent;
        let silence = self.silence.filter(|silence| silence.received == sent.received);
        let (Some(silence), false) = (silence, is_answered) else {
            self.begin_silence(sent, now);
            return AckState::Pending;
        };
        let allowance = ADDED_ROUND_TRIPS * sent.round_trip;
        let may_be_answered = sent.since_sent < ANSWER_TIMEOUT + allowance;
        let retransmissions = sent.retransmissions.wrapping_sub(silence.retransmissions);
        let unanswered = retransmissions.saturating_sub(u32::from(may_be_answered));
        let is_dead = now.since(silence.began_at) >= UNACKED_TIMEOUT + allowance
            && unanswered >= UNANSWERED_MIN
            && link_acked_at >= silence.began_at;
        if is_dead { AckState::Dead } else { AckState::Pending }
    }

    fn begin_silence(&mut self, sent: &SentBytes, now: Moment) {
        let SentBytes { received, retransmissions, .. } = *sent;
        self.silence = Some(PeerSilence { began_at: now, received, retransmissions });
    }
}
