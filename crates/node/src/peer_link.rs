/*!
Messages between instances over TCP.

One connection for each peer that this instance has something for, made when it is needed. Sending
never waits: messages for a peer that is away are dropped, which every receiver stands. A connection
whose other side says nothing more is found out by the kernel's bound on unacknowledged bytes and made
anew. docs/design/platform.md says why this isn't nng.
*/

use {
    bytes::{BufMut, Bytes, BytesMut},
    futures_util::future::select_ok,
    hemlockspool_core::wire::PeerEnvelope,
    miette::Diagnostic,
    socket2::SockRef,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc::{Receiver, Sender, UnboundedSender, channel},
        time::{sleep, timeout},
    },
};

/// Messages that wait for a peer at most.
const WAITING_MAX: usize = 256;
/// The largest message, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// How long connections to a peer are tried for before what waits for it is out of date.
const CONNECT_PATIENCE: Duration = Duration::from_millis(600);
/// After how long without an answer another connection is begun beside the first: twice a far round trip.
/// A machine without power answers nothing, and the kernel asks again only after a second, when it may
/// have been back for long.
const DIAL_EVERY: Duration = Duration::from_millis(150);
/// The bytes that are written or read within one time limit: a quarter of a second of the slowest link,
/// so that a large message needs no more time than its link gives it.
const PIECE_BYTES: usize = 64 << 10;
/// How long written bytes may stay unacknowledged: over two resends in the farthest region.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);
/// The pause after a connection could not be made.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// After how long without a message a connection is closed.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// Why this instance can't listen.
#[derive(Debug, Diagnostic, Error)]
#[error("{address}: can't listen for peers")]
#[diagnostic(code(hemlockspool::peer_link::listen))]
pub(crate) struct LinkListenError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// Connections to and from other instances.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    queues: Mutex<BTreeMap<SocketAddr, Sender<Bytes>>>,
    tunnels: BTreeMap<SocketAddr, SocketAddr>,
}

impl PeerLinks {
    /// Listens, and hands every message that can be read to a channel. Peers with a tunnel are dialed
    /// at its near end.
    ///
    /// # Errors
    ///
    /// [`LinkListenError`] when the address can't be listened on.
    pub(crate) async fn listen(
        address: SocketAddr,
        tunnels: BTreeMap<SocketAddr, SocketAddr>,
        inbox: UnboundedSender<PeerEnvelope>,
    ) -> Result<Self, LinkListenError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| LinkListenError { address, source })?;
        tokio::spawn(accept(listener, inbox));
        Ok(Self { queues: Mutex::default(), tunnels })
    }

    /// Sends a message, or drops it when its receiver is too far behind.
    pub(crate) fn send(&self, to: SocketAddr, envelope: &PeerEnvelope) {
        let message = envelope.encode();
        let mut frame = BytesMut::with_capacity(4 + message.len());
        frame.put_u32_le(message.len() as u32);
        frame.extend_from_slice(&message);
        let frame = frame.freeze();
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let open = queues.get(&to).filter(|queue| !queue.is_closed());
        let queue = match open {
            Some(queue) => queue.clone(),
            None => {
                queues.retain(|_, queue| !queue.is_closed());
                let (sender, receiver) = channel(WAITING_MAX);
                tokio::spawn(carry(self.tunnels.get(&to).copied().unwrap_or(to), receiver));
                queues.insert(to, sender.clone());
                sender
            }
        };
        let _ = queue.try_send(frame);
    }
}

async fn accept(listener: TcpListener, inbox: UnboundedSender<PeerEnvelope>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_messages(stream, inbox.clone()));
            }
            Err(_) => sleep(RECONNECT_PAUSE).await,
        }
    }
}

/// Reads messages until the sender closes, stays silent for long, or sends something else.
async fn read_messages(mut stream: TcpStream, inbox: UnboundedSender<PeerEnvelope>) {
    while let Ok(Ok(length)) = timeout(2 * IDLE_MAX, stream.read_u32_le()).await {
        if length as usize > MESSAGE_BYTES_MAX {
            return;
        }
        let Some(message) = read_message(&mut stream, length as usize).await else {
            return;
        };
        let Ok(envelope) = PeerEnvelope::decode(&message) else {
            return;
        };
        if inbox.send(envelope).is_err() {
            return;
        }
    }
}

/// Reads one message; none when the sender closes or stays silent within it.
async fn read_message(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    // Memory is taken as bytes come: a length alone is no reason for it.
    let mut message = Vec::with_capacity(length.min(PIECE_BYTES));
    let mut rest = stream.take(length as u64);
    while message.len() < length {
        let read = timeout(IDLE_MAX, rest.read_buf(&mut message)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return None;
        }
    }
    Some(message)
}

/// Writes one message, and tells whether all of it was taken.
async fn write_message(stream: &mut TcpStream, frame: &[u8]) -> bool {
    for piece in frame.chunks(PIECE_BYTES) {
        let written = timeout(SILENCE_MAX, stream.write_all(piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            return false;
        }
    }
    true
}

/// Writes a peer's messages, over one connection after another, until there are none for a while.
async fn carry(to: SocketAddr, mut queue: Receiver<Bytes>) {
    while let Ok(Some(first)) = timeout(IDLE_MAX, queue.recv()).await {
        let Some(mut stream) = connect(to).await else {
            // What waited meanwhile is out of date.
            while queue.try_recv().is_ok() {}
            sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let mut next = Some(first);
        while let Some(frame) = next {
            if !write_message(&mut stream, &frame).await {
                break;
            }
            next = timeout(IDLE_MAX, queue.recv()).await.unwrap_or_default();
        }
    }
}

async fn connect(to: SocketAddr) -> Option<TcpStream> {
    let dials = (0..CONNECT_PATIENCE.div_duration_f64(DIAL_EVERY) as u32).map(|number| {
        Box::pin(async move {
            sleep(number * DIAL_EVERY).await;
            TcpStream::connect(to).await
        })
    });
    // The first one goes on beside the others: through a full link, an answer takes its time.
    let (stream, _) = timeout(CONNECT_PATIENCE, select_ok(dials)).await.ok()?.ok()?;
    set_unacked_timeout(&stream, SILENCE_MAX);
    Some(stream)
}

/// Has the kernel end a connection whose bytes stay unacknowledged.
pub(crate) fn set_unacked_timeout(stream: &TcpStream, span: Duration) {
    // A socket that refuses these options works without them, only slower to fail.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(span));
}
