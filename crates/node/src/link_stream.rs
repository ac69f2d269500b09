/*!
Bodies that cross a link between regions, held to the rate that the entry may use of it.

Pieces are cut small, so that the link's ceiling holds also over short times.
*/

use {
    crate::shell::NodeShell,
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    hemlockspool_model::names::RegionName,
    std::{io, sync::Arc},
};

/// The largest piece sent at a time, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Returns a stream that waits before each piece until the link has room for it.
pub(crate) fn paced<S>(
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
                let wait = shell.book_link(&to, piece.len() as u64);
                tokio::time::sleep(wait).await;
            }
            piece
        }
    })
}

/// Returns a stream of a body that is held.
pub(crate) fn held(body: Bytes) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::iter(split(body).into_iter().map(Ok))
}

fn split(mut chunk: Bytes) -> Vec<Bytes> {
    let mut pieces = Vec::new();
    while chunk.len() > PIECE_BYTES {
        pieces.push(chunk.split_to(PIECE_BYTES));
    }
    pieces.push(chunk);
    pieces
}
