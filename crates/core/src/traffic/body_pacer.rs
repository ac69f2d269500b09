/*!
The order and pace in which an entry writes callers' bodies to targets.

A link carries bytes in the order in which they were written to it. Behind a body that is written at
once, the heads, responses and new connections of all other requests wait until the link has carried
it. Bodies are therefore written in small pieces, and a piece only when the link has carried nearly
all that was written before. Of several bodies, smaller ones are next: most are then complete sooner,
and the large ones hardly later. A body waits only for those that begin within a multiple of its own
time on the link, so that a large one is never passed without end.
*/

use {
    crate::clock::Moment,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The largest piece of a body, in bytes. A link of 7 Mbit/s carries it in less than 5 ms.
pub const PIECE_BYTES_MAX: usize = 4 << 10;
/// The bytes on the link up to which another piece is written: about a piece, so that the link
/// isn't idle until a task wakes up.
const BACKLOG_BYTES_MAX: f64 = 4_000.0;
/// The fraction of the link that the entry counts on, because messages between instances aren't
/// counted.
const USED_FRACTION: f64 = 0.98;
/// The bytes on the link for each byte of a body, with packet headers.
const PACKET_OVERHEAD: f64 = 1.04;
/// The multiple of a body's time on the link after which no later body passes it.
const PASSED_RATIO: f64 = 10.0;
/// The shortest wait, since timers have a resolution of 1 ms.
const WAIT_MIN: Duration = Duration::from_micros(500);

/// A body that is being written to a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

/// The answer to a body that has a piece to write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceTurn {
    /// The piece may be written now.
    Write,
    /// The body is next, once the link has carried enough.
    Wait(Duration),
    /// Another body is next.
    Queue,
}

/// The bodies that an entry is writing, and what its link still has to carry.
#[derive(Debug)]
pub struct BodyPacer {
    bytes_per_s: f64,
    /// The bytes that were written to the link and not carried yet, at `updated_at`.
    backlog_bytes: f64,
    updated_at: Moment,
    /// The time at which each body began.
    bodies: BTreeMap<BodyId, Moment>,
    /// The bodies with a piece to write, each with its rank.
    waiting: BTreeSet<(Moment, BodyId)>,
    last_id: u64,
}

impl BodyPacer {
    /// Returns the pacer of a link that carries a number of bytes per second in each direction.
    pub fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s * USED_FRACTION).max(1.0),
            backlog_bytes: 0.0,
            updated_at: Moment::default(),
            bodies: BTreeMap::new(),
            waiting: BTreeSet::new(),
            last_id: 0,
        }
    }

    /// Adds a body.
    pub fn begin(&mut self, now: Moment) -> BodyId {
        self.last_id += 1;
        let body = BodyId(self.last_id);
        self.bodies.insert(body, now);
        body
    }

    /// Removes a body that was written or given up.
    pub fn end(&mut self, body: BodyId) {
        self.bodies.remove(&body);
        self.waiting.retain(|(_, waiting)| *waiting != body);
    }

    /// Records bytes that were written to the link without waiting: heads and responses.
    pub fn record_written(&mut self, bytes: u64, now: Moment) {
        self.drain(now);
        self.backlog_bytes += bytes as f64;
    }

    /// Returns whether a body may write its next piece, of `piece_bytes`, now. `bytes_left` is what
    /// is left of the body, with the piece; none if its length isn't known.
    pub fn request_turn(
        &mut self,
        body: BodyId,
        piece_bytes: usize,
        bytes_left: Option<u64>,
        now: Moment,
    ) -> PieceTurn {
        let Some(began_at) = self.bodies.get(&body).copied() else { return PieceTurn::Write };
        self.waiting.retain(|(_, waiting)| *waiting != body);
        let bytes_left = bytes_left.unwrap_or(piece_bytes as u64);
        let passed_for =
            Duration::from_secs_f64(PASSED_RATIO * bytes_left as f64 / self.bytes_per_s);
        self.waiting.insert((began_at.after(passed_for), body));
        self.drain(now);
        if self.next() != Some(body) {
            return PieceTurn::Queue;
        }
        if self.backlog_bytes > BACKLOG_BYTES_MAX {
            let excess = self.backlog_bytes - BACKLOG_BYTES_MAX;
            // A duration is rounded down.
            let wait =
                Duration::from_secs_f64(excess / self.bytes_per_s) + Duration::from_micros(1);
            return PieceTurn::Wait(wait.max(WAIT_MIN));
        }
        self.waiting.pop_first();
        self.backlog_bytes += piece_bytes as f64 * PACKET_OVERHEAD;
        PieceTurn::Write
    }

    /// Returns the body that is next, of those with a piece to write.
    pub fn next(&self) -> Option<BodyId> {
        self.waiting.first().map(|(_, body)| *body)
    }

    fn drain(&mut self, now: Moment) {
        let carried = now.since(self.updated_at).as_secs_f64() * self.bytes_per_s;
        self.backlog_bytes = (self.backlog_bytes - carried).max(0.0);
        self.updated_at = now;
    }
}
