/*!
Serves a poem endpoint over HTTP/1 so that a handler ends when its caller goes.

poem's own server goes on polling a connection after its caller has closed it, so the handler runs to
its end and the work that it asked for elsewhere is never cancelled. Here the connection, and the
handler with it, is dropped. Small answers are sent at once (no waiting to fill a packet), and a
graceful stop lets every request in flight end before connections are closed.

# Example

```no_run
use hemlockspool_serve::EndpointServer;
use poem::{Response, endpoint};
use std::time::Duration;

# async fn example() -> std::io::Result<()> {
let server = EndpointServer::bind("127.0.0.1:8080".parse().unwrap()).await?;
let hello = endpoint::make_sync(|_| Response::builder().body("hello"));
let stop = std::future::pending();
server.serve(hello, stop, Duration::from_secs(10)).await;
# Ok(())
# }
```
*/

use {
    hyper::{Request as HyperRequest, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    poem::{
        Endpoint, Request,
        http::uri::Scheme,
        web::{LocalAddr, RemoteAddr},
    },
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// For how long a connection may take to send the head of its next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a connection could not be accepted, for want of file descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A listening socket that isn't served yet.
#[derive(Debug)]
pub struct EndpointServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl EndpointServer {
    /// Listens.
    ///
    /// # Errors
    ///
    /// The system's error when the address can't be listened on.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the signal comes, and then until the requests in flight have ended or the
    /// grace is over.
    pub async fn serve<E, F>(self, endpoint: E, signal: F, grace: Duration)
    where
        E: Endpoint + 'static,
        F: Future<Output = ()>,
    {
        let endpoint = Arc::new(endpoint);
        let (stop, stopped) = watch::channel(false);
        let mut connections = JoinSet::new();
        tokio::pin!(signal);
        loop {
            tokio::select! {
                () = &mut signal => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, remote)) => {
                        let serving = serve_connection(
                            stream,
                            (self.address, remote),
                            Arc::clone(&endpoint),
                            stopped.clone(),
                        );
                        connections.spawn(serving);
                    }
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
        drop(self.listener);
        let _ = stop.send(true);
        let all = async { while connections.join_next().await.is_some() {} };
        let _ = timeout(grace, all).await;
    }
}

async fn serve_connection<E>(
    stream: TcpStream,
    (local, remote): (SocketAddr, SocketAddr),
    endpoint: Arc<E>,
    mut stopped: watch::Receiver<bool>,
) where
    E: Endpoint + 'static,
{
    // A socket that refuses this is about to fail anyway.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: HyperRequest<Incoming>| {
        let endpoint = Arc::clone(&endpoint);
        let addresses = (LocalAddr(local.into()), RemoteAddr(remote.into()));
        async move {
            let request = Request::from((request, addresses.0, addresses.1, Scheme::HTTP));
            Ok::<_, Infallible>(endpoint.get_response(request).await.into())
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
