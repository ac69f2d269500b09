/*!
Turns of callers' bodies on the entry's link: the tasks that write bodies wait here for the decisions
of [`BodyPacer`].
*/

use {
    crate::shell::moment_since,
    hemlockspool_core::traffic::body_pacer::{BodyId, BodyPacer, PieceTurn},
    std::{
        collections::BTreeMap,
        future::Future,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, Waker},
    },
    tokio::time::{Instant, Sleep, sleep},
};

/// The turns on one link, shared by all bodies.
#[derive(Clone)]
pub(crate) struct LinkTurns {
    state: Arc<Mutex<TurnState>>,
    started: Instant,
}

struct TurnState {
    pacer: BodyPacer,
    /// The tasks of the bodies that wait.
    wakers: BTreeMap<BodyId, Waker>,
}

impl TurnState {
    /// Wakes the task of the body that is next.
    fn wake_next(&mut self) {
        let waker = self.pacer.next().and_then(|next| self.wakers.get(&next));
        waker.inspect(|waker| waker.wake_by_ref());
    }
}

impl LinkTurns {
    /// Returns the turns on a link that carries a number of bytes per second in each direction.
    /// `started` is the zero of the clock.
    pub(crate) fn new(link_bytes_per_s: f64, started: Instant) -> Self {
        let state = TurnState { pacer: BodyPacer::new(link_bytes_per_s), wakers: BTreeMap::new() };
        Self { state: Arc::new(Mutex::new(state)), started }
    }

    /// Records bytes that are written without waiting.
    pub(crate) fn record_written(&self, bytes: u64) {
        self.lock().pacer.record_written(bytes, moment_since(self.started));
    }

    /// Returns the turns of one body.
    pub(crate) fn begin(&self) -> BodyTurns {
        let body = self.lock().pacer.begin(moment_since(self.started));
        BodyTurns { link: self.clone(), body, pause: None }
    }

    fn lock(&self) -> MutexGuard<'_, TurnState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The turns of one body on the link.
pub(crate) struct BodyTurns {
    link: LinkTurns,
    body: BodyId,
    /// Runs until the link has carried enough, if this body is next.
    pause: Option<Pin<Box<Sleep>>>,
}

impl BodyTurns {
    /// Completes when the next piece, of `piece_bytes`, may be written. `bytes_left` is what is left
    /// of the body, with the piece; none if its length isn't known.
    pub(crate) fn poll_turn(
        &mut self,
        piece_bytes: usize,
        bytes_left: Option<u64>,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        loop {
            let now = moment_since(self.link.started);
            let mut state = self.link.lock();
            let turn = state.pacer.request_turn(self.body, piece_bytes, bytes_left, now);
            if turn == PieceTurn::Write {
                state.wakers.remove(&self.body);
                state.wake_next();
                drop(state);
                self.pause = None;
                return Poll::Ready(());
            }
            state.wakers.insert(self.body, cx.waker().clone());
            drop(state);
            let PieceTurn::Wait(duration) = turn else {
                self.pause = None;
                return Poll::Pending;
            };
            let mut pause = Box::pin(sleep(duration));
            let is_over = pause.as_mut().poll(cx).is_ready();
            self.pause = Some(pause);
            if !is_over {
                return Poll::Pending;
            }
        }
    }
}

impl Drop for BodyTurns {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        state.pacer.end(self.body);
        state.wakers.remove(&self.body);
        state.wake_next();
    }
}
