/*!
Connections to targets through a replica, for an entry that can't connect to targets itself.

They arrive on the replica's address for peers. The first four bytes, where a message has its
length, mark such a connection; the address of the target follows. The replica answers with one byte
once it is connected, and then passes bytes on in both directions until either side ends. An older
replica takes the mark for a message that is too large and closes the connection.
*/

use {
    crate::peer_link::set_unacked_timeout,
    socket2::SockRef,
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy, sink},
        net::TcpStream,
        select,
        time::timeout,
    },
};

/// The value that stands where a message has its length. No message is as long.
pub(crate) const BRIDGE_MARK: u32 = u32::MAX;
/// The byte that a replica sends when it is connected to the target.
const CONNECTED: u8 = 1;
/// The longest text of an address, in bytes.
const ADDRESS_BYTES_MAX: usize = 64;
/// The timeout of the replica's connection to the target, and of reading the address.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest time that sent bytes may stay unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The time for which bytes of an entry are still read after the target has closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The addresses of targets that an instance connects others to. Empty at first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BridgeTargets(Arc<Mutex<BTreeSet<SocketAddr>>>);

impl BridgeTargets {
    /// Replaces the addresses.
    pub(crate) fn set(&self, addresses: BTreeSet<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    fn contains(&self, address: SocketAddr) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(&address)
    }
}

/// Serves a connection after its mark has been read: connects it to the target that it names, if
/// that is a known one.
pub(crate) async fn serve(mut stream: TcpStream, targets: BridgeTargets) {
    // Either side may end the connection at any time, which is no failure of this instance.
    let _ = pass_through(&mut stream, &targets).await;
}

async fn pass_through(stream: &mut TcpStream, targets: &BridgeTargets) -> io::Result<()> {
    let address = timeout(CONNECT_TIMEOUT, read_address(stream)).await??;
    if !targets.contains(address) {
        return Err(io::ErrorKind::PermissionDenied.into());
    }
    let mut target = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_unacked_timeout(stream, UNACKED_TIMEOUT);
    set_unacked_timeout(&target, UNACKED_TIMEOUT);
    stream.write_u8(CONNECTED).await?;
    let result = copy_both(stream, &mut target).await;
    if result.is_err() {
        // A response without a length would look complete if its connection ended in order.
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
    }
    result
}

/// Passes bytes on until either side ends. An entry that closes has given the request up; a target
/// that does may have responded early, which must reach the entry while that still sends.
async fn copy_both(stream: &mut TcpStream, target: &mut TcpStream) -> io::Result<()> {
    let (mut from_entry, mut to_entry) = stream.split();
    let (mut from_target, mut to_target) = target.split();
    select! {
        result = copy(&mut from_entry, &mut to_target) => result?,
        result = copy(&mut from_target, &mut to_entry) => {
            result?;
            to_entry.shutdown().await?;
            let rest = timeout(DISCARD_TIMEOUT, copy(&mut from_entry, &mut sink())).await;
            rest.unwrap_or(Ok(0))?
        }
    };
    Ok(())
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

/// Connects to a target through the replica at a peer address.
///
/// # Errors
///
/// An I/O error if the replica can't be connected to, or ends the connection because it doesn't
/// know the target or can't connect to it.
pub(crate) async fn connect_through(
    replica: SocketAddr,
    target: SocketAddr,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(replica).await?;
    let text = target.to_string();
    let mut request = BRIDGE_MARK.to_le_bytes().to_vec();
    request.push(text.len() as u8);
    request.extend_from_slice(text.as_bytes());
    stream.write_all(&request).await?;
    match stream.read_u8().await? {
        CONNECTED => Ok(stream),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
