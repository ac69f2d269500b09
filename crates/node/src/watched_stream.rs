/*!
Connections that end when their peer acknowledges nothing any more.

The kernel's own timeout for unacknowledged bytes (`TCP_USER_TIMEOUT`) also ends a connection whose
peer keeps its receive window closed, and one on a full link: see docs/design/forwarding.md. Here
the kernel is only asked what it knows (`TCP_INFO`), while there are bytes that may be
unacknowledged. If it can't tell, nothing is ended.
*/

use {
    crate::shell::moment_since,
    hemlockspool_core::{
        ack_watch::{AckState, AckWatch, SentBytes},
        clock::Moment,
    },
    socket2::SockRef,
    std::{
        fmt, io,
        os::fd::{AsRawFd, RawFd},
        pin::Pin,
        sync::{
            LazyLock,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, Sleep, sleep},
    },
};

/// The interval at which a connection with unacknowledged bytes is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time for which the kernel may still send what is left on a connection that was closed. The
/// request has ended, so that a peer that reads late no longer matters.
const CLOSED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The size of the part of `struct tcp_info` that is used, in words of 32 bits. The fields below
/// are the indexes of words in it; the layout only ever grows at its end.
const INFO_WORDS: usize = 37;
/// The number of segments that are sent and not acknowledged.
const INFO_UNACKED: usize = 6;
/// The time since the last transmission of bytes, in milliseconds.
const INFO_LAST_DATA_SENT: usize = 11;
/// The time since the last acknowledgement, in milliseconds.
const INFO_LAST_ACK_RECV: usize = 14;
/// The smoothed round-trip time, in microseconds.
const INFO_RTT: usize = 17;
/// The number of retransmissions so far.
const INFO_TOTAL_RETRANS: usize = 25;
/// The number of segments received so far.
const INFO_SEGS_IN: usize = 35;
/// The number of bytes that aren't sent yet.
const INFO_NOTSENT_BYTES: usize = 36;

/// The zero of the clock of all connections.
static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
/// The latest time until which everything that was written to some connection is known to be
/// acknowledged, as a [`Moment`]. All connections of a process share its machine's link.
static LINK_ACKED_AT: AtomicU64 = AtomicU64::new(0);

/// A stream over a TCP connection.
pub(crate) trait TcpCarried {
    /// Returns the connection.
    fn tcp_stream(&self) -> &TcpStream;
}

impl TcpCarried for TcpStream {
    fn tcp_stream(&self) -> &TcpStream {
        self
    }
}

/// Returns the present time.
pub(crate) fn now() -> Moment {
    moment_since(*STARTED)
}

/// Records a connection to which everything until `written_at` was written, if that is
/// acknowledged.
pub(crate) fn record_if_acked(stream: &TcpStream, written_at: Moment) {
    if is_acked(stream) {
        record_acked(written_at);
    }
}

fn is_acked(stream: &TcpStream) -> bool {
    read_sent_bytes(stream).is_some_and(|sent| !sent.is_in_flight && !sent.is_waiting)
}

fn record_acked(written_at: Moment) {
    LINK_ACKED_AT.fetch_max(written_at.0, Ordering::Relaxed);
}

/// Returns what the kernel knows of a connection's bytes, or `None` if it doesn't tell all of it.
fn read_sent_bytes(stream: &TcpStream) -> Option<SentBytes> {
    let info = read_tcp_info(stream.as_raw_fd())?;
    Some(SentBytes {
        is_in_flight: info[INFO_UNACKED] > 0,
        is_waiting: info[INFO_NOTSENT_BYTES] > 0,
        since_ack: Duration::from_millis(info[INFO_LAST_ACK_RECV].into()),
        since_sent: Duration::from_millis(info[INFO_LAST_DATA_SENT].into()),
        received: info[INFO_SEGS_IN],
        retransmissions: info[INFO_TOTAL_RETRANS],
        round_trip: Duration::from_micros(info[INFO_RTT].into()),
    })
}

fn read_tcp_info(socket: RawFd) -> Option<[u32; INFO_WORDS]> {
    let mut info = [0_u32; INFO_WORDS];
    let size = size_of_val(&info);
    let mut length = size as libc::socklen_t;
    let buffer = info.as_mut_ptr().cast();
    // SAFETY: the kernel writes at most `length` bytes to the buffer, which is that long and may
    // hold any bytes.
    #[allow(unsafe_code)]
    let status = unsafe {
        libc::getsockopt(socket, libc::IPPROTO_TCP, libc::TCP_INFO, buffer, &raw mut length)
    };
    (status == 0 && length as usize == size).then_some(info)
}

/// A connection that fails with [`io::ErrorKind::TimedOut`] once it is dead.
pub(crate) struct WatchedStream<S>
where
    S: TcpCarried,
{
    inner: S,
    watch: AckWatch,
    next_check: Pin<Box<Sleep>>,
    /// Whether there may be unacknowledged bytes.
    is_pending: bool,
}

impl<S> WatchedStream<S>
where
    S: TcpCarried,
{
    /// Returns a stream that is watched, and disables Nagle's algorithm.
    pub(crate) fn new(inner: S) -> Self {
        // Without this option the connection is only slower.
        let _ = inner.tcp_stream().set_nodelay(true);
        let next_check = Box::pin(sleep(CHECK_INTERVAL));
        Self { inner, watch: AckWatch::default(), next_check, is_pending: false }
    }

    /// Returns whether the peer's machine has acknowledged everything that was written; not if the
    /// kernel doesn't tell.
    pub(crate) fn is_acked(&self) -> bool {
        is_acked(self.inner.tcp_stream())
    }

    fn record_write(&mut self) {
        let sent = match self.watch.wants_counts() {
            true => read_sent_bytes(self.inner.tcp_stream()),
            false => None,
        };
        self.watch.record_write(sent.as_ref(), now());
        if !self.is_pending {
            self.is_pending = true;
            self.next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
    }

    /// Checks the connection if it is time to, and has the task woken for the next check.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while self.is_pending && self.next_check.as_mut().poll(cx).is_ready() {
            let Some(sent) = read_sent_bytes(self.inner.tcp_stream()) else {
                self.is_pending = false;
                return Ok(());
            };
            let link_acked_at = Moment(LINK_ACKED_AT.load(Ordering::Relaxed));
            match self.watch.check(&sent, link_acked_at, now()) {
                AckState::Complete(written_at) => {
                    record_acked(written_at);
                    self.is_pending = false;
                }
                AckState::Pending => {
                    self.next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
                }
                AckState::Dead => {
                    self.is_pending = false;
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }
}

impl<S> Drop for WatchedStream<S>
where
    S: TcpCarried,
{
    fn drop(&mut self) {
        // If this fails, the kernel takes longer to give up what is left.
        let socket = SockRef::from(self.inner.tcp_stream());
        let _ = socket.set_tcp_user_timeout(Some(CLOSED_TIMEOUT));
    }
}

impl<S> fmt::Debug for WatchedStream<S>
where
    S: TcpCarried,
{
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WatchedStream").field("watch", &self.watch).finish_non_exhaustive()
    }
}

impl<S> AsyncRead for WatchedStream<S>
where
    S: AsyncRead + TcpCarried + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_check(cx)?;
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S> AsyncWrite for WatchedStream<S>
where
    S: AsyncWrite + TcpCarried + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(1..)) = written {
            self.record_write();
        }
        self.poll_check(cx)?;
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, pieces);
        if let Poll::Ready(Ok(1..)) = written {
            self.record_write();
        }
        self.poll_check(cx)?;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
