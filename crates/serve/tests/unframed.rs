//! Tests of responses that end with their connection, because the caller doesn't know chunks.

use {
    futures_util::{StreamExt, stream},
    hemlockspool_serve::EndpointServer,
    poem::{Body, Response, endpoint},
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

const REQUEST: &[u8] = b"GET / HTTP/1.0\r\nHost: h\r\n\r\n";
const PIECE_BYTES: usize = 64 << 10;
const PIECES: usize = 64;
/// Longer than any response takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How a streamed response ends after its pieces.
#[derive(Clone, Copy)]
enum ResponseEnd {
    Complete,
    Failed,
    Unfinished,
}

/// Sends a request to a server that streams a response, and reads the response to its end. The server
/// is stopped once the caller has read the first bytes.
async fn read_response(end: ResponseEnd, grace: Duration) -> io::Result<usize> {
    let server = EndpointServer::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = server.address();
    let stream_pieces = endpoint::make_sync(move |_| {
        let pieces = stream::repeat_with(|| Ok::<_, io::Error>(vec![b'r'; PIECE_BYTES]));
        let rest = match end {
            ResponseEnd::Complete => stream::empty().boxed(),
            ResponseEnd::Failed => stream::iter([Err(io::ErrorKind::UnexpectedEof.into())]).boxed(),
            ResponseEnd::Unfinished => stream::pending().boxed(),
        };
        let body = Body::from_bytes_stream(pieces.take(PIECES).chain(rest));
        Response::builder().body(body)
    });
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let signal = async move {
        let _ = stopped.await;
    };
    tokio::spawn(server.serve(stream_pieces, signal, grace));
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    let mut response = vec![0; 1];
    stream.read_exact(&mut response).await.unwrap();
    let _ = stop.send(());
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut response)).await.unwrap()?;
    let head_bytes = response.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    Ok(response.len() - head_bytes)
}

/// Guards against complete responses that are cut by the reset that marks an interrupted one.
#[tokio::test]
async fn unframed_response_complete() {
    let bytes = read_response(ResponseEnd::Complete, TEST_TIMEOUT).await.unwrap();
    assert_eq!(bytes, PIECES * PIECE_BYTES);
}

/// Guards against a part of a response that a caller takes for the whole, because its source failed.
#[tokio::test]
async fn unframed_response_failed() {
    let result = read_response(ResponseEnd::Failed, TEST_TIMEOUT).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}

/// Guards against the same when the server stops before the response ends.
#[tokio::test]
async fn unframed_response_server_stops() {
    let result = read_response(ResponseEnd::Unfinished, Duration::from_millis(300)).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}
