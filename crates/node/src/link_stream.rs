/*!
Bodies that cross a link between regions, limited to the rate of the entry's share of the link.

Bodies are split into small pieces, so that the link's ceiling also holds over short intervals.
Responses that are buffered whole don't pass through here.
*/

use {
    crate::shell::NodeShell,
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    hemlockspool_model::names::RegionName,
    std::{io, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The maximum size of a piece of a body, in bytes.
const PIECE_BYTES_MAX: usize = 16 << 10;
/// The interval at which an entry without a share of the link checks whether it has got one.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a stream of a body that delays each piece until the link to a region has capacity for
/// it.
pub(crate) fn rate_limited<S>(
    body: S,
    shell: Arc<NodeShell>,
    to: RegionName,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let pieces = body.flat_map(|chunk| match chunk {
        Ok(chunk) => stream::iter(split_chunk(chunk).into_iter().map(Ok).collect::<Vec<_>>()),
        Err(error) => stream::iter(vec![Err(error)]),
    });
    pieces.then(move |piece| {
        let (shell, to) = (Arc::clone(&shell), to.clone());
        async move {
            if let Ok(piece) = &piece {
                wait_for_capacity(&shell, &to, piece.len() as u64).await;
            }
            piece
        }
    })
}

/// Returns a stream of a body that is in memory, without delays.
pub(crate) fn buffered(body: Bytes) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::iter(split_chunk(body).into_iter().map(Ok))
}

/// Waits until this entry has a share of the link, and until the rate of the share allows the bytes
/// to be sent.
async fn wait_for_capacity(shell: &NodeShell, to: &RegionName, bytes: u64) {
    let reserved = loop {
        if let Some(wait) = shell.reserve_link(to, bytes) {
            break wait;
        }
        sleep(SHARE_CHECK_INTERVAL).await;
    };
    sleep(reserved).await;
    loop {
        let wait = shell.begin_on_link(to, bytes).unwrap_or(SHARE_CHECK_INTERVAL);
        if wait.is_zero() {
            return;
        }
        sleep(wait).await;
    }
}

/// Splits a chunk into pieces of at most [`PIECE_BYTES_MAX`].
fn split_chunk(mut chunk: Bytes) -> Vec<Bytes> {
    let mut pieces = Vec::new();
    while chunk.len() > PIECE_BYTES_MAX {
        pieces.push(chunk.split_to(PIECE_BYTES_MAX));
    }
    pieces.push(chunk);
    pieces
}
