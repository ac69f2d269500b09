/*!
A target that sends bytes without end.
*/

use {
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// What a target sends for each request, and then again and again until its connection closes.
#[derive(Clone, Copy, Debug)]
pub struct EndlessResponse {
    /// Beginning of the request lines that get this response. Load and health requests have sound
    /// responses otherwise.
    pub request: &'static str,
    /// Written once; `ID` stands for the request's id.
    pub beginning: &'static str,
    pub repeated: &'static [u8],
    pub pause: Duration,
}

/// A running target.
#[derive(Debug)]
pub struct EndlessTarget {
    pub address: SocketAddr,
    /// Number of requests that got the endless response.
    pub received: Arc<AtomicUsize>,
    /// Number of those whose connection has closed.
    pub closed: Arc<AtomicUsize>,
}

impl EndlessTarget {
    /// Starts a target, which runs until the test's runtime ends.
    pub async fn start(response: EndlessResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self { address, received: Arc::default(), closed: Arc::default() };
        let (received, closed) = (Arc::clone(&target.received), Arc::clone(&target.closed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (received, closed) = (Arc::clone(&received), Arc::clone(&closed));
                tokio::spawn(async move {
                    let mut is_endless = false;
                    // The error is that the connection has closed.
                    let _ = respond(stream, response, &received, &mut is_endless).await;
                    closed.fetch_add(usize::from(is_endless), Ordering::SeqCst);
                });
            }
        });
        target
    }
}

async fn respond(
    mut stream: TcpStream,
    response: EndlessResponse,
    received: &AtomicUsize,
    is_endless: &mut bool,
) -> io::Result<()> {
    let mut bytes = vec![0; 4_096];
    loop {
        let read = stream.read(&mut bytes).await?;
        if read == 0 {
            return Ok(());
        }
        let head = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
        if head.starts_with(response.request) {
            received.fetch_add(1, Ordering::SeqCst);
            *is_endless = true;
            let id = head.lines().find_map(|line| line.strip_prefix("x-hemlockspool-attempt-id: "));
            let beginning = response.beginning.replace("ID", id.unwrap_or_default());
            stream.write_all(beginning.as_bytes()).await?;
            loop {
                stream.write_all(response.repeated).await?;
                sleep(response.pause).await;
            }
        }
        let sound: &[u8] = if head.starts_with("get /load") {
            b"HTTP/1.1 200 OK\r\ncontent-length: 27\r\n\r\n{\"load\":0,\"draining\":false}"
        } else {
            b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n"
        };
        stream.write_all(sound).await?;
    }
}
