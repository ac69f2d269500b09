/*!
One connection of a caller, with separate timeouts for an idle connection and for a request head.

hyper has one timeout for both, which runs from the moment at which the connection becomes idle. A
caller that begins its next request late in the announced idle time would have little of that time
left to send the head.
*/

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    poem::Body as PoemBody,
    socket2::SockRef,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        select,
        sync::{Notify, watch},
        time::{Instant, sleep_until},
    },
};

/// A body as poem and hyper exchange it.
type BoxBody = http_body_util::combinators::BoxBody<Bytes, io::Error>;

/// The longest time without progress in sending a response that has no deadline. It is longer where
/// connections may be idle for longer.
const SEND_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The limits on the head of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// The time from the first byte of a head to its last.
    pub timeout: Duration,
    /// The largest size of a head, in bytes. A larger one gets the status 431. At least 8 KiB.
    pub bytes_max: usize,
}

impl Default for HeadLimits {
    /// Returns limits that no sound caller reaches.
    fn default() -> Self {
        Self { timeout: Duration::from_secs(60), bytes_max: 64 << 10 }
    }
}

/// What a connection does.
#[derive(Clone, Debug)]
enum ConnectionPhase {
    /// It waits for the first byte of a request.
    Idle,
    /// It receives the head of a request.
    Head,
    /// It handles a request, whose body may still arrive, or sends the response, until the deadline
    /// if the response has one.
    Busy { deadline: Option<watch::Receiver<Instant>> },
    /// It sends what hyper keeps of a response whose body was handed over whole, until the deadline
    /// if the response has one.
    Sending { deadline: Option<watch::Receiver<Instant>> },
}

/// What a connection does and since when, or since when it has sent nothing.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    /// The phase of the connection and the time at which it began, or at which bytes were last sent
    /// in it.
    phase: Mutex<(ConnectionPhase, Instant)>,
    /// Signals that the current response has a deadline.
    deadline_set: Notify,
    /// Whether the end of the connection is that of the current response.
    ends_response: AtomicBool,
}

impl ConnectionActivity {
    /// Returns the activity of a connection that has just opened.
    pub(crate) fn new() -> Arc<Self> {
        let phase = Mutex::new((ConnectionPhase::Idle, Instant::now()));
        let ends_response = AtomicBool::new(false);
        Arc::new(Self { phase, deadline_set: Notify::new(), ends_response })
    }

    /// Records that the current response has neither a length nor chunks, so that it ends with the
    /// connection.
    pub(crate) fn end_with_response(&self) {
        self.ends_response.store(true, Ordering::Relaxed);
    }

    /// Records that the head of a request is complete. The connection is busy until the returned
    /// guard is dropped and all bytes have been written.
    pub(crate) fn begin_request(self: &Arc<Self>) -> BusyGuard {
        self.set_phase(ConnectionPhase::Busy { deadline: None });
        BusyGuard { activity: Arc::clone(self) }
    }

    /// Sets the deadline of the current response.
    pub(crate) fn set_deadline(&self, deadline: watch::Receiver<Instant>) {
        self.set_phase(ConnectionPhase::Busy { deadline: Some(deadline) });
        self.deadline_set.notify_one();
    }

    /// Completes when the connection has been idle, or has been receiving a head, for too long, or
    /// when the deadline of a response is over.
    pub(crate) async fn expired(&self, idle_timeout: Duration, head_timeout: Duration) {
        // No other phase that begins during a wait of this length can expire before its end, so a
        // change of the phase needs no signal.
        let check_interval = idle_timeout.min(head_timeout);
        loop {
            let (phase, since) = self.lock().clone();
            let now = Instant::now();
            let mut changes = None;
            let deadline = match phase {
                ConnectionPhase::Idle => since + idle_timeout,
                ConnectionPhase::Head => since + head_timeout,
                ConnectionPhase::Busy { deadline: None } => now + check_interval,
                ConnectionPhase::Sending { deadline: None } => {
                    since + idle_timeout.max(SEND_STALL_TIMEOUT)
                }
                ConnectionPhase::Busy { deadline: Some(mut receiver) }
                | ConnectionPhase::Sending { deadline: Some(mut receiver) } => {
                    let deadline = *receiver.borrow_and_update();
                    changes = Some(receiver);
                    deadline
                }
            };
            if now >= deadline {
                return;
            }
            select! {
                () = sleep_until(deadline.min(now + check_interval)) => {}
                () = self.deadline_set.notified() => {}
                () = changed(changes) => {}
            }
        }
    }

    fn record_read(&self) {
        let mut phase = self.lock();
        if matches!(phase.0, ConnectionPhase::Idle) {
            *phase = (ConnectionPhase::Head, Instant::now());
        }
    }

    fn record_write(&self) {
        let mut phase = self.lock();
        if let ConnectionPhase::Sending { .. } = phase.0 {
            phase.1 = Instant::now();
        }
    }

    /// Records that all bytes have been written.
    fn record_flush(&self) {
        let mut phase = self.lock();
        if let ConnectionPhase::Sending { .. } = phase.0 {
            *phase = (ConnectionPhase::Idle, Instant::now());
        }
    }

    /// Records that the body of the response was handed over whole. A caller that reads late has
    /// not got all of it yet.
    fn end_body(&self) {
        let mut phase = self.lock();
        if let ConnectionPhase::Busy { deadline } = phase.0.clone() {
            *phase = (ConnectionPhase::Sending { deadline }, Instant::now());
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        *self.lock() = (phase, Instant::now());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (ConnectionPhase, Instant)> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Completes when a deadline changes, if it still may.
async fn changed(deadline: Option<watch::Receiver<Instant>>) {
    if let Some(mut receiver) = deadline
        && receiver.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Marks a connection as busy until it is dropped, when the response's body was handed over whole.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    activity: Arc<ConnectionActivity>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.end_body();
    }
}

/// A response body that keeps its connection busy until it was handed over whole.
pub(crate) struct GuardedBody {
    inner: BoxBody,
    _guard: BusyGuard,
}

impl GuardedBody {
    /// Returns a body with the guard of its connection.
    pub(crate) fn new(body: PoemBody, guard: BusyGuard) -> Self {
        Self { inner: body.into(), _guard: guard }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A socket that records when bytes arrive and leave, and resets a connection whose end would otherwise make
/// an interrupted response look complete.
pub(crate) struct MonitoredSocket {
    inner: TcpStream,
    activity: Arc<ConnectionActivity>,
    /// Whether closing the socket resets the connection, also when the process is killed.
    resets: bool,
}

impl MonitoredSocket {
    /// Returns a socket with the activity of its connection.
    pub(crate) fn new(inner: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self { inner, activity, resets: false }
    }

    /// Makes closing the socket reset the connection if its end is that of the response.
    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.resets && self.activity.ends_response.load(Ordering::Relaxed) {
            SockRef::from(&self.inner).set_linger(Some(Duration::ZERO))?;
            self.resets = true;
        }
        Ok(())
    }
}

impl AsyncRead for MonitoredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.activity.record_read();
        }
        result
    }
}

impl AsyncWrite for MonitoredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if result.is_ready() {
            self.activity.record_write();
        }
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, pieces);
        if result.is_ready() {
            self.activity.record_write();
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once it has written all that it kept.
        let result = Pin::new(&mut self.inner).poll_flush(cx);
        if result.is_ready() {
            self.activity.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The response is complete.
        if std::mem::take(&mut self.resets) {
            SockRef::from(&self.inner).set_linger(None)?;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
