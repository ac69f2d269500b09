/*!
The body of a target's answer.

A small body is held until it is whole, so that a request that may be repeated can go elsewhere when
it breaks off. A larger one is passed on as it comes; when it breaks off, so does the caller's, and it
never looks complete.
*/

use {
    super::target_pool::TargetConnection,
    bytes::{Bytes, BytesMut},
    futures_util::{StreamExt, stream},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    poem::Body,
    std::io,
};

/// The most of a body that is held.
const HELD_BYTES_MAX: usize = 1 << 20;

/// A body, as far as it was read.
#[derive(Debug)]
pub(crate) enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// The beginning of a large one, and where the rest comes from.
    Begun(Bytes, Incoming),
}

/// Reads a body to its end, or as much of it as is held.
///
/// # Errors
///
/// The connection's error when it ends before the body does.
pub(crate) async fn read_body(mut body: Incoming) -> Result<ReadBody, hyper::Error> {
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() > HELD_BYTES_MAX {
            return Ok(ReadBody::Begun(held.freeze(), body));
        }
    }
    Ok(ReadBody::Whole(held.freeze()))
}

/// Returns a body that goes on with the rest of a target's, and holds its connection until the end.
pub(crate) fn stream_body(begun: Bytes, rest: Incoming, connection: TargetConnection) -> Body {
    let first = stream::once(async move { Ok::<Bytes, io::Error>(begun) });
    let rest = stream::unfold((rest, connection), |(mut body, connection)| async move {
        loop {
            match body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some((Ok(data), (body, connection)));
                    }
                }
                Err(error) => return Some((Err(io::Error::other(error)), (body, connection))),
            }
        }
    });
    Body::from_bytes_stream(first.chain(rest))
}
