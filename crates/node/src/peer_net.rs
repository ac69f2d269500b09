/*!
Messages between instances over nng.

An instance listens on one pull socket and dials one push socket for each peer that it has something
for. Sending never waits: a peer that is away gets a few messages late and the rest not at all,
which every receiver stands.
*/

use {
    hemlockspool_core::wire::PeerEnvelope,
    miette::Diagnostic,
    nng::{
        Aio, AioResult, Protocol, Socket,
        options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::sync::mpsc::UnboundedSender,
};

/// Messages that wait for a peer that is away.
const SEND_BUFFER: i32 = 32;
/// The largest message, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// The first pause before dialing again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// The longest pause before dialing again.
const RECONNECT_MAX: Duration = Duration::from_millis(500);
/// Sockets kept open to peers.
const PEERS_MAX: usize = 512;

/// Why this instance can't listen.
#[derive(Debug, Diagnostic, Error)]
#[error("{address}: can't listen for peers")]
#[diagnostic(code(hemlockspool::peer::listen))]
pub(crate) struct PeerListenError {
    address: SocketAddr,
    #[source]
    source: nng::Error,
}

/// Sockets to and from other instances.
#[derive(Debug)]
pub(crate) struct PeerNet {
    pushes: Mutex<BTreeMap<SocketAddr, Socket>>,
    _pull: Socket,
    _receive: Aio,
}

impl PeerNet {
    /// Listens, and hands every message that can be read to a channel.
    ///
    /// # Errors
    ///
    /// [`PeerListenError`] when the address can't be listened on.
    pub(crate) fn listen(
        address: SocketAddr,
        inbox: UnboundedSender<PeerEnvelope>,
    ) -> Result<Self, PeerListenError> {
        let failed = |source| PeerListenError { address, source };
        let pull = Socket::new(Protocol::Pull0).map_err(failed)?;
        pull.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX).map_err(failed)?;
        let again = pull.clone();
        let receive = Aio::new(move |aio, result| {
            if let AioResult::Recv(Ok(message)) = &result
                && let Ok(envelope) = PeerEnvelope::decode(message.as_slice())
            {
                let _ = inbox.send(envelope);
            }
            if !matches!(result, AioResult::Recv(Err(nng::Error::Closed))) {
                let _ = again.recv_async(&aio);
            }
        });
        let receive = receive.map_err(failed)?;
        pull.listen(&url(address)).map_err(failed)?;
        pull.recv_async(&receive).map_err(failed)?;
        Ok(Self { pushes: Mutex::default(), _pull: pull, _receive: receive })
    }

    /// Sends a message, or drops it when its receiver is too far behind.
    pub(crate) fn send(&self, to: SocketAddr, envelope: &PeerEnvelope) {
        let bytes = envelope.encode();
        let mut pushes = self.pushes.lock().unwrap_or_else(PoisonError::into_inner);
        if !pushes.contains_key(&to) {
            let Ok(socket) = dial(to) else { return };
            if pushes.len() >= PEERS_MAX {
                pushes.pop_first();
            }
            pushes.insert(to, socket);
        }
        if let Some(socket) = pushes.get(&to) {
            let _ = socket.try_send(bytes.as_slice());
        }
    }
}

fn dial(to: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&url(to))?;
    Ok(socket)
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
