/*!
Bodies that cross a link between regions, held to the rate that the entry may use of it.

Pieces are cut small, so that the link's ceiling holds also over short times.
*/

use {
    crate::shell::NodeShell,
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    hemlockspool_model::names::RegionName,
    std::{io, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The largest piece sent at a time, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// How often an entry without a part of the link looks whether it has one.
const PART_CHECK: Duration = Duration::from_millis(50);

/// Returns a stream that waits before each piece until the link has room for it.
pub(crate) fn rate_limited<S>(
    body: S,
    shell: Arc<NodeShell>,
    to: RegionName,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let pieces = body.flat_map(|chunk| match chunk {
        Ok(chunk) => stream::iter(split(chunk).into_iter().map(Ok).collect::<Vec<_>>()),
        Err(error) => stream::iter(vec![Err(error)]),
    });
    pieces.then(move |piece| {
        let (shell, to) = (Arc::clone(&shell), to.clone());
        async move {
            if let Ok(piece) = &piece {
                sleep(wait_for_room(&shell, &to, piece.len() as u64).await).await;
            }
            piece
        }
    })
}

/// Returns a stream of a body that is held.
pub(crate) fn buffered(body: Bytes) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::iter(split(body).into_iter().map(Ok))
}

/// Waits until this entry has a part of the link, and returns how long its pace asks for more.
async fn wait_for_room(shell: &NodeShell, to: &RegionName, bytes: u64) -> Duration {
    loop {
        if let Some(wait) = shell.reserve_link(to, bytes) {
            return wait;
        }
        sleep(PART_CHECK).await;
    }
}

fn split(mut chunk: Bytes) -> Vec<Bytes> {
    let mut pieces = Vec::new();
    while chunk.len() > PIECE_BYTES {
        pieces.push(chunk.split_to(PIECE_BYTES));
    }
    pieces.push(chunk);
    pieces
}
