/*!
Bodies of targets' responses.

A small body is buffered until it is complete, so that a request that may be retried can go to
another target if the body is truncated. A larger one is streamed to the caller; if it is truncated,
the caller's response ends with an error and never looks complete.
*/

use {
    super::{
        connection_pool::TargetConnection,
        request_body::{DiscardGuard, RequestBody},
    },
    bytes::{Bytes, BytesMut},
    futures_util::{StreamExt, stream},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    poem::Body,
    std::io,
};

/// The largest body that is buffered, in bytes.
const BUFFERED_BYTES_MAX: usize = 1 << 20;

/// A body as far as it has been read.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a large body and the source of the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body to its end or until it is too large to be buffered.
///
/// # Errors
///
/// Returns the connection's error if the connection ends before the body does.
pub(crate) async fn read_body(mut body: Incoming) -> Result<ResponseBody, hyper::Error> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > BUFFERED_BYTES_MAX {
            return Ok(ResponseBody::Partial(buffered.freeze(), body));
        }
    }
    Ok(ResponseBody::Complete(buffered.freeze()))
}

/// What must live until a streamed body ends: the connection to the target, which may still read the
/// request's body.
struct StreamResources {
    _connection: TargetConnection,
    _request_body: DiscardGuard,
}

/// Returns a body that streams the beginning and the rest of a target's body, and keeps the
/// connection open until the end.
pub(crate) fn stream_body(
    beginning: Bytes,
    rest: Incoming,
    connection: TargetConnection,
    request_body: &RequestBody,
) -> Body {
    let first = stream::once(async move { Ok::<Bytes, io::Error>(beginning) });
    let resources = StreamResources {
        _connection: connection,
        _request_body: DiscardGuard::new(request_body.clone()),
    };
    let rest = stream::unfold((rest, resources), |(mut body, resources)| async move {
        loop {
            match body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some((Ok(data), (body, resources)));
                    }
                }
                Err(error) => return Some((Err(io::Error::other(error)), (body, resources))),
            }
        }
    });
    Body::from_bytes_stream(first.chain(rest))
}
