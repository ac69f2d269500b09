/*!
Bodies of targets' responses.

A small body is buffered until it is complete, so that a request that may be retried can go to
another target if the body is truncated. A larger one is streamed to the caller, and so is one that
doesn't fit into the memory for all buffered bodies; if it is truncated, the caller's response ends
with an error and never looks complete.
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
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
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

/// The memory for the buffered bodies of all responses at an entry.
#[derive(Clone, Debug)]
pub(crate) struct ResponseMemory {
    capacity_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

impl ResponseMemory {
    /// Returns unused memory.
    pub(crate) fn new(capacity_bytes: u64) -> Self {
        let capacity_bytes = usize::try_from(capacity_bytes).unwrap_or(usize::MAX);
        Self { capacity_bytes, used_bytes: Arc::default() }
    }
}

/// A body, or its beginning, and the memory that it takes until it is dropped.
struct BufferedBody {
    bytes: BytesMut,
    memory: ResponseMemory,
    reserved_bytes: usize,
}

impl BufferedBody {
    fn new(memory: &ResponseMemory) -> Self {
        Self { bytes: BytesMut::new(), memory: memory.clone(), reserved_bytes: 0 }
    }

    /// Adds a piece, and returns whether there is room for another.
    fn push(&mut self, piece: &[u8]) -> bool {
        self.bytes.extend_from_slice(piece);
        let added = self.bytes.capacity().saturating_sub(self.reserved_bytes);
        self.reserved_bytes += added;
        let used = self.memory.used_bytes.fetch_add(added, Ordering::Relaxed) + added;
        self.bytes.len() <= BUFFERED_BYTES_MAX && used <= self.memory.capacity_bytes
    }

    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.reserved_bytes, Ordering::Relaxed);
    }
}

/// Reads a body to its end or until there is no room to buffer more of it.
///
/// # Errors
///
/// Returns the connection's error if the connection ends before the body does.
pub(crate) async fn read_body(
    mut body: Incoming,
    memory: &ResponseMemory,
) -> Result<ResponseBody, hyper::Error> {
    let mut buffered = BufferedBody::new(memory);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data()
            && !buffered.push(&data)
        {
            return Ok(ResponseBody::Partial(buffered.into_bytes(), body));
        }
    }
    Ok(ResponseBody::Complete(buffered.into_bytes()))
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
