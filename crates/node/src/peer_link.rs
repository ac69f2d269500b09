/*!
Messages between instances over TCP.

Each peer has one outgoing connection, which is opened when there is a message for it. Sending never
blocks: messages for a slow or unreachable peer are dropped, and every receiver tolerates lost
messages. The kernel's timeout for unacknowledged bytes detects a connection whose other side no
longer responds; a new one is then opened. Whether the peer reads what is acknowledged only the
reducer can tell ([`hemlockspool_core::fleet::link_watch`]); it then asks for another connection. The
old one is used until that is open, since connecting over a slow link fails. docs/design/platform.md
explains why nng isn't used.
*/

use {
    crate::{
        bridge::{self, BRIDGE_MARK, BridgeTargets},
        inbound_sockets::{InboundSocket, InboundSockets},
        watched_stream::{self, record_if_acked},
    },
    bytes::{BufMut, Bytes, BytesMut},
    futures_util::future::select_ok,
    hemlockspool_core::wire::{PeerEnvelope, PeerSender},
    miette::Diagnostic,
    prometheus::IntCounter,
    socket2::SockRef,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::mpsc::{Receiver, Sender, channel},
        time::{Instant, sleep, timeout},
    },
};

/// The maximum number of messages queued for a peer.
const QUEUED_MESSAGES_MAX: usize = 256;
/// The maximum size of a received message, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// The timeout of connecting to a peer. Messages that have been queued for longer are out of date.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The interval at which more connection attempts start in parallel while none has succeeded: twice
/// the round-trip time to a distant region. The kernel retransmits an unanswered connection request
/// only after a second, which would delay the connection to a machine that gets its power back
/// before then.
const CONNECT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);
/// The size of the chunks in which a message is written, in bytes. Each chunk has a timeout of its
/// own, so that the timeout doesn't limit the size of a message. The slowest link carries a chunk
/// in a quarter of a second.
const CHUNK_BYTES: usize = 64 << 10;
/// The time that written bytes may stay unacknowledged, which allows for more than two
/// retransmissions to the most distant region; also the timeout of writing a chunk.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The size of a message's length, in bytes.
const LENGTH_BYTES: usize = 4;
/// The time after a message at which it is checked whether the peer has acknowledged it, if no other
/// follows before.
const ACK_CHECK_DELAY: Duration = Duration::from_millis(250);
/// The pause after a connection could not be opened or accepted.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// The time without a message after which the sender closes a connection. The receiver waits twice
/// as long for the next message, and this long for more bytes of a message that has begun.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The error of listening for other instances.
#[derive(Debug, Diagnostic, Error)]
#[error("{address}: can't listen for peers")]
#[diagnostic(code(hemlockspool::peer_link::listen))]
pub(crate) struct LinkListenError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// The queues of encoded messages to other instances.
#[derive(Debug, Default)]
struct PeerQueues {
    /// The queue of each open connection, by the peer's address.
    senders: BTreeMap<SocketAddr, Sender<Bytes>>,
    /// The connection that each peer uses to send.
    inbound: BTreeMap<SocketAddr, InboundLink>,
}

/// The connection on which a peer sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct InboundLink {
    /// The incarnation of the peer's process.
    incarnation: u64,
    /// The number of the connection, which increases with each one that is accepted.
    number: u64,
}

impl PeerQueues {
    /// Records the sender of a message that arrived on a connection. If the peer has restarted, the
    /// connection to it is replaced: what is written to the old one is lost. Returns whether the
    /// peer still uses the connection: what comes late on one that it has replaced is out of order.
    fn record_sender(&mut self, sender: &PeerSender, number: u64) -> bool {
        let PeerSender { incarnation, peer, .. } = *sender;
        match self.inbound.get(&peer) {
            Some(link) if link.incarnation != incarnation => {
                self.senders.remove(&peer);
            }
            Some(link) if link.number > number => return false,
            _ => {}
        }
        self.inbound.insert(peer, InboundLink { incarnation, number });
        true
    }
}

/// The connections to and from other instances.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    queues: Arc<Mutex<PeerQueues>>,
    /// Addresses to connect to in place of the peers' own.
    tunnels: BTreeMap<SocketAddr, SocketAddr>,
    /// The targets that peers may connect to through this instance.
    pub bridge_targets: BridgeTargets,
    /// The sockets on which messages arrive.
    pub sockets: InboundSockets,
    /// The number of connections to peers that were opened.
    pub opened: IntCounter,
}

/// The way to a peer.
#[derive(Clone, Debug)]
struct PeerRoute {
    address: SocketAddr,
    opened: IntCounter,
}

/// What the readers of received messages share.
#[derive(Clone, Debug)]
struct ReaderParts {
    queues: Arc<Mutex<PeerQueues>>,
    bridge_targets: BridgeTargets,
    sockets: InboundSockets,
}

impl PeerLinks {
    /// Listens on an address and passes each received message to `deliver`, with the latest time at
    /// which it certainly hadn't arrived, if there is one; that returns whether more are wanted. A peer whose address is a key of
    /// `tunnels` is connected to at the address that the key maps to.
    ///
    /// # Errors
    ///
    /// Returns [`LinkListenError`] if listening on the address fails.
    pub(crate) async fn listen<F>(
        address: SocketAddr,
        tunnels: BTreeMap<SocketAddr, SocketAddr>,
        deliver: F,
    ) -> Result<Self, LinkListenError>
    where
        F: Fn(PeerEnvelope, Option<Instant>) -> bool + Clone + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| LinkListenError { address, source })?;
        let bridge_targets = BridgeTargets::default();
        let (queues, sockets) = (Arc::default(), InboundSockets::default());
        let parts = ReaderParts {
            queues,
            bridge_targets: bridge_targets.clone(),
            sockets: sockets.clone(),
        };
        let queues = Arc::clone(&parts.queues);
        tokio::spawn(accept(listener, deliver, parts));
        let opened = IntCounter::new(
            "hemlockspool_peer_connections_total",
            "Connections to other instances that were opened",
        );
        let opened = opened.expect("the metric's name is valid");
        Ok(Self { queues, tunnels, bridge_targets, sockets, opened })
    }

    /// Queues a message for a peer, or drops it if the queue is full.
    pub(crate) fn send(&self, to: SocketAddr, envelope: &PeerEnvelope) {
        let message = envelope.encode();
        let mut frame = BytesMut::with_capacity(4 + message.len());
        frame.put_u32_le(message.len() as u32);
        frame.extend_from_slice(&message);
        let frame = frame.freeze();
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let open = queues.senders.get(&to).filter(|queue| !queue.is_closed());
        let queue = match open {
            Some(queue) => queue.clone(),
            None => {
                queues.senders.retain(|_, queue| !queue.is_closed());
                let (sender, receiver) = channel(QUEUED_MESSAGES_MAX);
                tokio::spawn(send_queued(self.route_to(to), receiver, None));
                queues.senders.insert(to, sender.clone());
                sender
            }
        };
        let _ = queue.try_send(frame);
    }

    /// Opens another connection to a peer and uses it in place of the present one. Returns whether it
    /// did; it doesn't if there is none, or the peer can't be connected to.
    pub(crate) async fn replace(&self, to: SocketAddr) -> bool {
        let Some(old) = self.open_queue(to) else { return false };
        let route = self.route_to(to);
        let Some(stream) = connect(&route).await else { return false };
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let is_present = queues.senders.get(&to).is_some_and(|queue| queue.same_channel(&old));
        if !is_present {
            return false;
        }
        let (sender, receiver) = channel(QUEUED_MESSAGES_MAX);
        tokio::spawn(send_queued(route, receiver, Some(stream)));
        queues.senders.insert(to, sender);
        true
    }

    fn open_queue(&self, to: SocketAddr) -> Option<Sender<Bytes>> {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.senders.get(&to).filter(|queue| !queue.is_closed()).cloned()
    }

    fn route_to(&self, to: SocketAddr) -> PeerRoute {
        let address = self.tunnels.get(&to).copied().unwrap_or(to);
        PeerRoute { address, opened: self.opened.clone() }
    }
}

/// Accepts connections and starts a reader for each.
async fn accept<F>(listener: TcpListener, deliver: F, parts: ReaderParts)
where
    F: Fn(PeerEnvelope, Option<Instant>) -> bool + Clone + Send + Sync + 'static,
{
    for number in 0.. {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_messages((stream, number), deliver.clone(), parts.clone()));
            }
            Err(_) => sleep(RECONNECT_BACKOFF).await,
        }
    }
}

/// Reads messages until the sender closes the connection, sends nothing for too long, or sends a
/// message that is too large or can't be decoded; or serves the connection as a bridge to a target.
async fn read_messages<F>((stream, number): (TcpStream, u64), deliver: F, parts: ReaderParts)
where
    F: Fn(PeerEnvelope, Option<Instant>) -> bool,
{
    let ReaderParts { queues, bridge_targets, sockets } = parts;
    // Without a descriptor for it, the process can't serve other connections either.
    let Ok(place) = sockets.add(&stream) else { return };
    while let Some(length) = read_bytes(&stream, &place, LENGTH_BYTES, 2 * IDLE_TIMEOUT).await {
        let Ok(length) = length.try_into().map(u32::from_le_bytes) else { return };
        if length == BRIDGE_MARK {
            drop(place);
            return bridge::serve(stream, bridge_targets).await;
        }
        if length as usize > MESSAGE_BYTES_MAX {
            return;
        }
        let message = read_bytes(&stream, &place, length as usize, IDLE_TIMEOUT).await;
        let Some(message) = message else { return };
        let absent_at = place.last_absence();
        let Ok(envelope) = PeerEnvelope::decode(&message) else {
            return;
        };
        let mut queues = queues.lock().unwrap_or_else(PoisonError::into_inner);
        let is_used = queues.record_sender(&envelope.sender, number);
        drop(queues);
        if !is_used || !deliver(envelope, absent_at) {
            return;
        }
    }
}

/// Reads a number of bytes. Returns `None` if the sender closes the connection or pauses for too long.
async fn read_bytes(
    stream: &TcpStream,
    place: &InboundSocket,
    count: usize,
    pause_max: Duration,
) -> Option<Vec<u8>> {
    // The buffer grows as bytes arrive, since the announced length can't be trusted.
    let mut bytes = Vec::with_capacity(count.min(CHUNK_BYTES));
    while bytes.len() < count {
        let bytes_max = count - bytes.len();
        let read = timeout(pause_max, place.read(stream, &mut bytes, bytes_max)).await;
        if !matches!(read, Ok(Ok(true))) {
            return None;
        }
    }
    Some(bytes)
}

/// Writes one message and returns whether all of it was written.
async fn write_message(stream: &mut TcpStream, frame: &[u8]) -> bool {
    for chunk in frame.chunks(CHUNK_BYTES) {
        let written = timeout(UNACKED_TIMEOUT, stream.write_all(chunk)).await;
        if !matches!(written, Ok(Ok(()))) {
            return false;
        }
    }
    true
}

/// Writes the queued messages of a peer to a connection, reconnecting as needed. Closes it once the
/// queue has been empty for [`IDLE_TIMEOUT`], and returns if it then stays empty for as long again.
async fn send_queued(
    route: PeerRoute,
    mut queue: Receiver<Bytes>,
    mut connected: Option<TcpStream>,
) {
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        let stream = match connected.take() {
            Some(stream) => Some(stream),
            None => connect(&route).await,
        };
        let Some(mut stream) = stream else {
            // The messages that were queued meanwhile are out of date.
            while queue.try_recv().is_ok() {}
            sleep(RECONNECT_BACKOFF).await;
            continue;
        };
        let mut next = Some(first);
        while let Some(frame) = next {
            if !write_message(&mut stream, &frame).await {
                break;
            }
            let written_at = watched_stream::now();
            next = match timeout(ACK_CHECK_DELAY, queue.recv()).await {
                Ok(next) => next,
                Err(_) => {
                    record_if_acked(&stream, written_at);
                    timeout(IDLE_TIMEOUT, queue.recv()).await.unwrap_or_default()
                }
            };
            record_if_acked(&stream, written_at);
        }
    }
}

/// Connects to a peer with staggered parallel attempts, of which the first to succeed is used.
async fn connect(route: &PeerRoute) -> Option<TcpStream> {
    let PeerRoute { address, opened } = route;
    let attempts =
        (0..CONNECT_TIMEOUT.div_duration_f64(CONNECT_ATTEMPT_INTERVAL) as u32).map(|index| {
            Box::pin(async move {
                sleep(index * CONNECT_ATTEMPT_INTERVAL).await;
                let stream = TcpStream::connect(address).await?;
                opened.inc();
                Ok::<_, io::Error>(stream)
            })
        });
    // Earlier attempts continue beside later ones, since a reply over a saturated link may be slow.
    let (stream, _) = timeout(CONNECT_TIMEOUT, select_ok(attempts)).await.ok()?.ok()?;
    set_unacked_timeout(&stream, UNACKED_TIMEOUT);
    Some(stream)
}

/// Makes the kernel close a connection whose written bytes stay unacknowledged, or without room at the
/// peer, for a time, and disables Nagle's algorithm. No request waits for a message's connection.
fn set_unacked_timeout(stream: &TcpStream, timeout: Duration) {
    // Without these options a connection still works, but is slower to send and to fail.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
}
