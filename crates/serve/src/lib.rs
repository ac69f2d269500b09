/*!
Serves a poem endpoint over HTTP/1 and cancels a handler when its caller disconnects.

poem's own server continues to poll a connection after its caller has closed it, so the handler runs
to completion and the work that it requested elsewhere is never cancelled. Here the connection is
dropped, and its handler with it. Small responses are sent without delay (`TCP_NODELAY`), and a
graceful shutdown gives the requests in flight a limited time to end before their connections are
closed. A response that ends with its connection, as one without a length does for a caller that
doesn't know chunks, is interrupted by a reset, so that it doesn't look complete.

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

mod connection;
mod framing;

pub use connection::HeadLimits;

use {
    connection::{ConnectionActivity, GuardedBody, MonitoredSocket},
    hyper::{
        Request as HyperRequest, Version,
        body::{Body as _, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    poem::{
        Endpoint, Request, Response,
        http::{HeaderValue, StatusCode, header, uri::Scheme},
        web::{LocalAddr, RemoteAddr},
    },
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

/// The time for which a connection may be idle before its first request or between two requests,
/// unless [`EndpointServer::keep_alive`] sets another.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The smallest limit of a head's size that hyper accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8 << 10;
/// The time that an idle connection is kept beyond the announced one, since the caller's next
/// request may already be on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// The pause after accepting a connection failed, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The time at which the connection of a response closes if the response hasn't been handed over
/// whole, set as an extension of the response. This also ends a response that the caller has stopped
/// reading.
#[derive(Clone, Debug)]
pub struct ResponseDeadline(watch::Receiver<Instant>);

impl ResponseDeadline {
    /// Returns a deadline that is known.
    pub fn at(deadline: Instant) -> Self {
        // The sender isn't needed: the receiver keeps the initial value.
        Self(watch::channel(deadline).1)
    }

    /// Returns a deadline that may change while the response is sent.
    pub fn following(deadline: watch::Receiver<Instant>) -> Self {
        Self(deadline)
    }
}

/// A server that listens but doesn't accept connections yet.
#[derive(Debug)]
pub struct EndpointServer {
    listener: TcpListener,
    address: SocketAddr,
    settings: ConnectionSettings,
}

/// How the connections of a server are handled.
#[derive(Clone, Debug)]
struct ConnectionSettings {
    keep_alive_timeout: Option<Duration>,
    head_limits: watch::Receiver<HeadLimits>,
}

impl ConnectionSettings {
    fn idle_timeout(&self) -> Duration {
        self.keep_alive_timeout.map_or(IDLE_TIMEOUT, |timeout| timeout + KEEP_ALIVE_MARGIN)
    }
}

impl EndpointServer {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if listening on the address fails.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        // The sender isn't needed: the receiver keeps the initial value.
        let (_, head_limits) = watch::channel(HeadLimits::default());
        let settings = ConnectionSettings { keep_alive_timeout: None, head_limits };
        Ok(Self { listener, address, settings })
    }

    /// Sets the number of seconds that callers may keep a connection idle, which responses announce
    /// in their `Keep-Alive` header. An idle connection uses about 20 KB of memory.
    pub fn keep_alive(mut self, seconds: u64) -> Self {
        self.settings.keep_alive_timeout = Some(Duration::from_secs(seconds));
        self
    }

    /// Sets the source of the limits on request heads. A connection uses the limits that are
    /// current when it opens.
    pub fn head_limits(mut self, limits: watch::Receiver<HeadLimits>) -> Self {
        self.settings.head_limits = limits;
        self
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `signal` completes, and then until the requests in flight have ended or `grace`
    /// is over.
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
                        let connection = serve_connection(
                            stream,
                            (self.address, remote),
                            Arc::clone(&endpoint),
                            self.settings.clone(),
                            stopped.clone(),
                        );
                        connections.spawn(connection);
                    }
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
        drop(self.listener);
        let _ = stop.send(true);
        let all_closed = async { while connections.join_next().await.is_some() {} };
        let _ = timeout(grace, all_closed).await;
    }
}

/// Serves one connection until it closes or has been idle for too long. After a stop, it ends with
/// the request in flight.
async fn serve_connection<E>(
    stream: TcpStream,
    (local, remote): (SocketAddr, SocketAddr),
    endpoint: Arc<E>,
    settings: ConnectionSettings,
    mut stopped: watch::Receiver<bool>,
) where
    E: Endpoint + 'static,
{
    // If this fails, the connection is about to fail anyway.
    let _ = stream.set_nodelay(true);
    let activity = ConnectionActivity::new();
    let keep_alive_timeout = settings.keep_alive_timeout;
    let service_activity = Arc::clone(&activity);
    let service = service_fn(move |request: HyperRequest<Incoming>| {
        let endpoint = Arc::clone(&endpoint);
        let addresses = (LocalAddr(local.into()), RemoteAddr(remote.into()));
        let guard = service_activity.begin_request();
        let activity = Arc::clone(&service_activity);
        let is_chunkable = request.version() > Version::HTTP_10;
        async move {
            let mut response = if framing::is_readable(&request) {
                let request = Request::from((request, addresses.0, addresses.1, Scheme::HTTP));
                endpoint.get_response(request).await
            } else {
                // What follows on the connection can't be told from the body.
                let response = Response::builder().status(StatusCode::NOT_IMPLEMENTED);
                response.header(header::CONNECTION, "close").finish()
            };
            if let Some(keep_alive_timeout) = keep_alive_timeout {
                set_keep_alive_header(&mut response, keep_alive_timeout);
            }
            let deadline = response.extensions_mut().remove::<ResponseDeadline>();
            let body = GuardedBody::new(response.take_body(), guard);
            if let Some(ResponseDeadline(deadline)) = deadline {
                activity.set_deadline(deadline);
            }
            if !is_chunkable && body.size_hint().exact().is_none() {
                activity.end_with_response();
            }
            let response: hyper::Response<_> = response.into();
            Ok::<_, Infallible>(response.map(|_| body))
        }
    });
    let limits = *settings.head_limits.borrow();
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.bytes_max.max(HEAD_BYTES_MIN));
    let socket = MonitoredSocket::new(stream, Arc::clone(&activity));
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let expired = activity.expired(settings.idle_timeout(), limits.timeout);
    tokio::pin!(connection, expired);
    tokio::select! {
        _ = &mut connection => return,
        () = &mut expired => return,
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = &mut connection => {}
        () = &mut expired => {}
    }
}

/// Announces the time that an idle connection is kept, unless the response closes the connection.
fn set_keep_alive_header(response: &mut Response, keep_alive_timeout: Duration) {
    let headers = response.headers_mut();
    let closes = headers.get(header::CONNECTION).is_some_and(|value| value == "close");
    if !closes
        && let Ok(value) =
            HeaderValue::from_str(&format!("timeout={}", keep_alive_timeout.as_secs()))
    {
        headers.insert("keep-alive", value);
    }
}
