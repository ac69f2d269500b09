/*!
Bodies of callers' requests.

A body is passed on to the target while it arrives, at the target's pace. Its beginning is kept, so
that another target can get the request if the first one doesn't run it. Once more than that has
been sent, no other target can get it. Pieces wait for their turn on the entry's link. A body that
ends early, stalls or is too large ends with an error, which closes the connection to the target: a
truncated body never looks complete.
*/

use {
    super::body_turns::{BodyTurns, LinkTurns},
    bytes::Bytes,
    hemlockspool_core::traffic::{
        body_pacer::PIECE_BYTES_MAX, fingerprint::BodyHasher, request::RefusalReason,
    },
    http_body_util::combinators::BoxBody,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        future::{Future, poll_fn},
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep, timeout},
};

/// The time for which the rest of a body is read and discarded after the response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The room left for one more piece when a body is received to be kept, in bytes: the size of the
/// largest buffer from which a caller's connection is read.
const PIECE_ROOM_BYTES: u64 = 64 << 10;

/// The limits on a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The largest body, in bytes.
    pub bytes_max: u64,
    /// The number of bytes that are kept for another target.
    pub kept_bytes_max: u64,
    /// The time for which the caller may be silent.
    pub silence_max: Duration,
}

/// The body of a request, which the attempts of the request read one after the other.
#[derive(Clone)]
pub(crate) struct RequestBody {
    source: Arc<Mutex<BodySource>>,
    link: LinkTurns,
}

impl RequestBody {
    /// Returns the body of a request. `expects_continue` states whether the caller sends the body
    /// only once it is asked to.
    pub(crate) fn new(
        incoming: BoxBody<Bytes, io::Error>,
        limits: BodyLimits,
        expects_continue: bool,
        link: LinkTurns,
    ) -> Self {
        let source = BodySource {
            announced_bytes: incoming.size_hint().exact(),
            is_complete: incoming.is_end_stream(),
            sent_at: None,
            incoming,
            limits,
            expects_continue,
            received_bytes: 0,
            kept: Some(Vec::new()),
            hasher: BodyHasher::default(),
            failure: None,
            reader: 0,
            silence: None,
        };
        Self { source: Arc::new(Mutex::new(source)), link }
    }

    /// Returns the body for the next attempt. Those of earlier attempts end with an error, and so does
    /// this one if an earlier attempt has taken more than is kept.
    pub(crate) fn for_attempt(&self) -> AttemptBody {
        let mut source = self.lock();
        source.reader += 1;
        AttemptBody {
            body: self.clone(),
            reader: source.reader,
            is_whole: source.kept.is_some(),
            position: 0,
            pending: Bytes::new(),
            sent_bytes: 0,
            turns: None,
        }
    }

    /// Returns whether the whole body has been received.
    pub(crate) fn is_complete(&self) -> bool {
        self.lock().is_complete
    }

    /// Returns whether more of the body has been sent than is kept.
    pub(crate) fn is_consumed(&self) -> bool {
        self.lock().kept.is_none()
    }

    /// Returns when an attempt last passed on the last byte; none before that and for an empty body.
    pub(crate) fn sent_at(&self) -> Option<Instant> {
        self.lock().sent_at
    }

    /// Returns the number of bytes received so far.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.lock().received_bytes
    }

    /// Returns the length that the caller announced, in bytes; none for a chunked body.
    pub(crate) fn announced_bytes(&self) -> Option<u64> {
        self.lock().announced_bytes
    }

    /// Waits until the whole body is there, and returns its length in bytes; none if it is longer than
    /// what is kept for the attempts, or has failed.
    pub(crate) async fn receive_kept(&self) -> Option<u64> {
        poll_fn(|cx| {
            let mut source = self.lock();
            // A piece may exceed what is kept, so as many bytes are left for it.
            let reads_on = |source: &BodySource| {
                !source.is_complete
                    && source.failure.is_none()
                    && source.received_bytes + PIECE_ROOM_BYTES <= source.limits.kept_bytes_max
            };
            while reads_on(&source) {
                // A failure is also in the source.
                let _ = ready!(source.poll_piece(cx));
            }
            let is_whole = source.is_complete && source.failure.is_none() && source.kept.is_some();
            Poll::Ready(is_whole.then_some(source.received_bytes))
        })
        .await
    }

    /// Returns the hash of the body's beginning; none before enough of it was received.
    pub(crate) fn hash(&self) -> Option<u64> {
        let source = self.lock();
        (source.is_complete || source.hasher.is_full()).then(|| source.hasher.hash())
    }

    /// Waits until the hash of the body's beginning is known or the body has failed. What is received
    /// is kept for the attempts.
    pub(crate) async fn receive_beginning(&self) {
        poll_fn(|cx| {
            let mut source = self.lock();
            while !source.is_complete && !source.hasher.is_full() && source.failure.is_none() {
                // A failure is also in the source.
                let _ = ready!(source.poll_piece(cx));
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Returns why the body can't be passed on whole, if it can't.
    pub(crate) fn failure(&self) -> Option<RefusalReason> {
        self.lock().failure
    }

    /// Reads and discards the rest of the body for a while, in its own task. If the connection were
    /// closed while the caller still sends, the caller could lose the response.
    pub(crate) fn discard_rest(self) {
        let mut source = self.lock();
        source.reader += 1;
        source.kept = None;
        // Reading would ask a caller that waits for the response to send the body.
        let is_unasked = source.expects_continue && source.received_bytes == 0;
        let is_done = source.is_complete || is_unasked;
        drop(source);
        if !is_done {
            tokio::spawn(async move {
                let discarding = poll_fn(|cx| self.lock().poll_discard(cx));
                // After this time the connection is closed, although the caller still sends.
                let _ = timeout(DISCARD_TIMEOUT, discarding).await;
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BodySource> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Discards the rest of a body when it is dropped.
pub(crate) struct DiscardGuard {
    body: RequestBody,
}

impl DiscardGuard {
    /// Returns the guard of a body.
    pub(crate) fn new(body: RequestBody) -> Self {
        Self { body }
    }
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        self.body.clone().discard_rest();
    }
}

/// A body as it arrives from the caller.
struct BodySource {
    incoming: BoxBody<Bytes, io::Error>,
    limits: BodyLimits,
    expects_continue: bool,
    /// The length that the caller announced, in bytes.
    announced_bytes: Option<u64>,
    received_bytes: u64,
    /// All pieces received so far; none once they exceed the limit of kept bytes.
    kept: Option<Vec<Bytes>>,
    hasher: BodyHasher,
    is_complete: bool,
    sent_at: Option<Instant>,
    failure: Option<RefusalReason>,
    /// The number of the attempt that reads the body.
    reader: u32,
    /// Runs while the caller is silent.
    silence: Option<Pin<Box<Sleep>>>,
}

impl BodySource {
    /// Returns the next piece, or `None` at the end of the body.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        if self.failure.is_some() {
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
            let silence_max = self.limits.silence_max;
            let silence = self.silence.get_or_insert_with(|| Box::pin(sleep(silence_max)));
            ready!(silence.as_mut().poll(cx));
            return self.fail(RefusalReason::BodyStalled);
        };
        self.silence = None;
        match frame {
            None => {
                self.is_complete = true;
                Poll::Ready(None)
            }
            Some(Err(_)) => self.fail(RefusalReason::BodyIncomplete),
            Some(Ok(frame)) => {
                // Trailers aren't passed on.
                let piece = frame.into_data().unwrap_or_default();
                self.received_bytes += piece.len() as u64;
                if self.received_bytes > self.limits.bytes_max {
                    return self.fail(RefusalReason::BodyTooLarge);
                }
                // The connection to the target doesn't ask for more than the announced bytes.
                if self.incoming.is_end_stream()
                    || self.announced_bytes == Some(self.received_bytes)
                {
                    self.is_complete = true;
                }
                self.hasher.update(&piece);
                self.keep(&piece);
                Poll::Ready(Some(Ok(piece)))
            }
        }
    }

    fn keep(&mut self, piece: &Bytes) {
        if self.received_bytes > self.limits.kept_bytes_max {
            self.kept = None;
        }
        if let Some(kept) = &mut self.kept {
            kept.push(piece.clone());
        }
    }

    fn fail(&mut self, reason: RefusalReason) -> Poll<Option<io::Result<Bytes>>> {
        self.failure = Some(reason);
        self.silence = None;
        Poll::Ready(Some(Err(io::ErrorKind::InvalidData.into())))
    }

    /// Reads and discards the body until it ends.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                Some(Ok(_)) => {}
                None | Some(Err(_)) => return Poll::Ready(()),
            }
        }
    }
}

/// The body of a request as one attempt sends it.
pub(crate) struct AttemptBody {
    body: RequestBody,
    reader: u32,
    /// Whether the beginning of the body was kept when the attempt began. The task of an earlier
    /// attempt may read on for a moment after the attempt has ended.
    is_whole: bool,
    /// The number of kept pieces that this attempt has taken.
    position: usize,
    /// The part of the last one that wasn't sent yet.
    pending: Bytes,
    sent_bytes: u64,
    /// The turns on the link, once there is something to send.
    turns: Option<BodyTurns>,
}

impl AttemptBody {
    /// Takes the next piece; returns whether there is one.
    fn poll_pending(
        &mut self,
        source: &mut BodySource,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<bool>> {
        while self.pending.is_empty() {
            let kept = source.kept.as_ref().and_then(|kept| kept.get(self.position)).cloned();
            let piece = match kept {
                Some(piece) => Some(Ok(piece)),
                None => ready!(source.poll_piece(cx)),
            };
            let Some(piece) = piece else { return Poll::Ready(Ok(false)) };
            self.position += 1;
            self.pending = piece?;
        }
        Poll::Ready(Ok(true))
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let request_body = self.body.clone();
        let mut source = request_body.lock();
        if source.reader != self.reader || !self.is_whole {
            return Poll::Ready(Some(Err(io::ErrorKind::Interrupted.into())));
        }
        match ready!(self.poll_pending(&mut source, cx)) {
            Ok(true) => {}
            Ok(false) => return Poll::Ready(None),
            Err(error) => return Poll::Ready(Some(Err(error))),
        }
        let bytes = self.pending.len().min(PIECE_BYTES_MAX);
        let bytes_left = source.announced_bytes.map(|bytes| bytes.saturating_sub(self.sent_bytes));
        let turns = self.turns.get_or_insert_with(|| request_body.link.begin());
        ready!(turns.poll_turn(bytes, bytes_left, cx));
        self.sent_bytes += bytes as u64;
        let piece = self.pending.split_to(bytes);
        if self.pending.is_empty() && source.is_complete {
            source.sent_at = Some(Instant::now());
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        let source = self.body.lock();
        let is_taken = source.kept.as_ref().is_none_or(|kept| self.position >= kept.len());
        self.is_whole && self.pending.is_empty() && source.is_complete && is_taken
    }

    fn size_hint(&self) -> SizeHint {
        self.body.lock().announced_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
