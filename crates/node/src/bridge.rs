/*!
Connections to targets through a replica, for an entry that can't connect to targets itself.

They arrive on the replica's address for peers. The first four bytes, where a message has its
length, mark such a connection; the address of the target follows. The replica answers with one byte
that says whether it is connected, and then passes bytes on in both directions until either side
ends. An instance of another build takes the mark for a message that is too large and closes the
connection.

The target's bytes are sent to the entry in frames, and an empty frame follows when the target has
ended its connection in order. A response without a length ends with its connection, and the kernel
closes the connections of a replica that stops or is killed as if the target had done so. Only the
empty frame tells the entry that nothing is missing.
*/

use {
    crate::watched_stream::{TcpCarried, WatchedStream},
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{
            AsyncBufRead, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader, ReadBuf,
            ReadHalf, WriteHalf, copy, sink, split,
        },
        net::TcpStream,
        select,
        sync::watch,
        time::timeout,
    },
};

/// The value that stands where a message has its length. No message is as long. Builds that don't
/// send frames use the value above it.
pub(crate) const BRIDGE_MARK: u32 = u32::MAX - 1;
/// The byte that a replica sends when it is connected to the target.
const CONNECTED: u8 = 1;
/// The byte that a replica sends when the target refuses the connection.
const REFUSED: u8 = 2;
/// The size of a frame's length, in bytes.
const FRAME_HEADER_BYTES: usize = 2;
/// The maximum size of a frame without its length, in bytes.
const FRAME_BYTES_MAX: usize = 8 << 10;
/// The longest text of an address, in bytes.
const ADDRESS_BYTES_MAX: usize = 64;
/// The timeout of the replica's connection to the target, and of reading the address.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval at which an entry that still sends after the target has closed is checked.
const DISCARD_INTERVAL: Duration = Duration::from_millis(500);

/// The addresses of targets that an instance connects others to. Empty at first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BridgeTargets {
    state: Arc<Mutex<BridgeState>>,
    /// The number of connections that it serves.
    served: Arc<watch::Sender<usize>>,
}

impl BridgeTargets {
    /// Replaces the addresses.
    pub(crate) fn set(&self, addresses: BTreeSet<SocketAddr>) {
        self.lock().addresses = addresses;
    }

    /// Takes no more connections to targets, and waits until those that are there have ended.
    pub(crate) async fn finish(&self) {
        self.lock().is_finishing = true;
        // The sender lives as long as this.
        let _ = self.served.subscribe().wait_for(|served| *served == 0).await;
    }

    fn contains(&self, address: SocketAddr) -> bool {
        let state = self.lock();
        !state.is_finishing && state.addresses.contains(&address)
    }

    fn lock(&self) -> MutexGuard<'_, BridgeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct BridgeState {
    addresses: BTreeSet<SocketAddr>,
    /// Whether the instance takes no more connections to targets.
    is_finishing: bool,
}

/// Counts a connection as served until it is dropped.
struct ServedGuard<'a>(&'a BridgeTargets);

impl<'a> ServedGuard<'a> {
    fn new(targets: &'a BridgeTargets) -> Self {
        targets.served.send_modify(|served| *served += 1);
        Self(targets)
    }
}

impl Drop for ServedGuard<'_> {
    fn drop(&mut self) {
        self.0.served.send_modify(|served| *served -= 1);
    }
}

/// Serves a connection after its mark has been read: connects it to the target that it names, if
/// that is a known one.
pub(crate) async fn serve(stream: TcpStream, targets: BridgeTargets) {
    let _guard = ServedGuard::new(&targets);
    // Either side may end the connection at any time, which is no failure of this instance.
    let _ = pass_through(stream, &targets).await;
}

async fn pass_through(mut stream: TcpStream, targets: &BridgeTargets) -> io::Result<()> {
    let address = timeout(CONNECT_TIMEOUT, read_address(&mut stream)).await??;
    if !targets.contains(address) {
        return Err(io::ErrorKind::PermissionDenied.into());
    }
    let target = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await? {
        Ok(target) => target,
        Err(error) => {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                stream.write_u8(REFUSED).await?;
            }
            return Err(error);
        }
    };
    let (mut stream, target) = (WatchedStream::new(stream), WatchedStream::new(target));
    stream.write_u8(CONNECTED).await?;
    copy_both(stream, target).await
}

/// Passes bytes on until either side ends. An entry that closes has given the request up; a target
/// that does may have responded early, which must reach the entry while that still sends.
async fn copy_both(
    stream: WatchedStream<TcpStream>,
    target: WatchedStream<TcpStream>,
) -> io::Result<()> {
    let (mut from_entry, mut to_entry) = split(stream);
    let (mut from_target, mut to_target) = split(target);
    select! {
        result = copy(&mut from_entry, &mut to_target) => result?,
        result = send_frames(&mut from_target, &mut to_entry) => {
            result?;
            return discard_rest(from_entry.unsplit(to_entry)).await;
        }
    };
    Ok(())
}

/// Reads and discards what an entry sends after the target has ended its connection, until the entry
/// closes its own, or has the target's bytes and still sends.
async fn discard_rest(mut stream: WatchedStream<TcpStream>) -> io::Result<()> {
    loop {
        match timeout(DISCARD_INTERVAL, copy(&mut stream, &mut sink())).await {
            Ok(result) => return result.map(drop),
            Err(_) if stream.is_acked() => return Ok(()),
            // The entry's caller reads late, and so does the entry.
            Err(_) => {}
        }
    }
}

/// Sends a target's bytes in frames until the target ends its connection in order, and then the
/// empty frame.
///
/// # Errors
///
/// The I/O error of either connection. The entry then gets no empty frame.
async fn send_frames(
    from_target: &mut ReadHalf<WatchedStream<TcpStream>>,
    to_entry: &mut WriteHalf<WatchedStream<TcpStream>>,
) -> io::Result<()> {
    let mut frame = [0; FRAME_HEADER_BYTES + FRAME_BYTES_MAX];
    loop {
        let length = from_target.read(&mut frame[FRAME_HEADER_BYTES..]).await?;
        frame[..FRAME_HEADER_BYTES].copy_from_slice(&(length as u16).to_le_bytes());
        to_entry.write_all(&frame[..FRAME_HEADER_BYTES + length]).await?;
        if length == 0 {
            return to_entry.shutdown().await;
        }
    }
}

async fn read_address(stream: &mut TcpStream) -> io::Result<SocketAddr> {
    let length = usize::from(stream.read_u8().await?);
    if length > ADDRESS_BYTES_MAX {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut text = vec![0; length];
    stream.read_exact(&mut text).await?;
    let text = std::str::from_utf8(&text).map_err(|_| io::ErrorKind::InvalidData)?;
    text.parse().map_err(|_| io::ErrorKind::InvalidData.into())
}

/// The progress of reading frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FrameProgress {
    /// The first byte of a length is next.
    Length,
    /// The second byte of a length is next; the first has this value.
    LengthRest(u8),
    /// This many bytes of a frame are left.
    Data(usize),
    /// The empty frame has been read.
    Ended,
}

/// An entry's connection to a target through a replica. Reading from it fails with
/// [`io::ErrorKind::UnexpectedEof`] if the connection ends without the word of the replica that the
/// target has ended its own.
#[derive(Debug)]
pub(crate) struct BridgedStream {
    inner: BufReader<TcpStream>,
    progress: FrameProgress,
}

impl BridgedStream {
    fn new(stream: TcpStream) -> Self {
        let inner = BufReader::with_capacity(FRAME_HEADER_BYTES + FRAME_BYTES_MAX, stream);
        Self { inner, progress: FrameProgress::Length }
    }
}

impl TcpCarried for BridgedStream {
    fn tcp_stream(&self) -> &TcpStream {
        self.inner.get_ref()
    }
}

impl AsyncRead for BridgedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.progress == FrameProgress::Ended || buffer.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            let bytes = ready!(Pin::new(&mut this.inner).poll_fill_buf(cx))?;
            let Some(&first) = bytes.first() else {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            };
            let (used, progress) = match this.progress {
                FrameProgress::Length => (1, FrameProgress::LengthRest(first)),
                FrameProgress::LengthRest(low) => match u16::from_le_bytes([low, first]) {
                    0 => (1, FrameProgress::Ended),
                    length => (1, FrameProgress::Data(usize::from(length))),
                },
                FrameProgress::Data(left) => {
                    let taken = left.min(bytes.len()).min(buffer.remaining());
                    buffer.put_slice(&bytes[..taken]);
                    match left - taken {
                        0 => (taken, FrameProgress::Length),
                        left => (taken, FrameProgress::Data(left)),
                    }
                }
                FrameProgress::Ended => return Poll::Ready(Ok(())),
            };
            let filled = matches!(this.progress, FrameProgress::Data(_));
            this.progress = progress;
            Pin::new(&mut this.inner).consume(used);
            if filled {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for BridgedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, pieces)
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

/// Connects to a target through the replica at a peer address.
///
/// # Errors
///
/// [`io::ErrorKind::ConnectionRefused`] if the target refuses the connection; another I/O error if
/// the replica can't be connected to, doesn't know the target or can't connect to it.
pub(crate) async fn connect_through(
    replica: SocketAddr,
    target: SocketAddr,
) -> io::Result<BridgedStream> {
    let connecting = TcpStream::connect(replica).await;
    // A replica that doesn't listen says nothing about the target.
    let mut stream = connecting.map_err(|_| io::ErrorKind::NotConnected)?;
    let text = target.to_string();
    let mut request = BRIDGE_MARK.to_le_bytes().to_vec();
    request.push(text.len() as u8);
    request.extend_from_slice(text.as_bytes());
    stream.write_all(&request).await?;
    match stream.read_u8().await? {
        CONNECTED => Ok(BridgedStream::new(stream)),
        REFUSED => Err(io::ErrorKind::ConnectionRefused.into()),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
