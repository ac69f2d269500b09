/*!
A pool of connections to targets.

A connection carries one request at a time. It is returned to the pool only after a complete
response that belongs to its request, and it stays there only for as long as the target is expected
to keep it open. A request that must not run twice gets a connection that has carried no other: on a
reused one, bytes that the target never read can't be told from a request that it ran. Such
connections are kept ready for targets that are far away.
*/

use {
    super::{pool_state::PoolState, request_body::AttemptBody},
    crate::{
        bridge,
        shell::moment_since,
        watched_stream::{TcpCarried, WatchedStream},
    },
    hemlockspool_core::{
        clock::Moment,
        traffic::request::{ConnectionChoice, TargetAttempt},
    },
    hemlockspool_model::names::TargetName,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        io::ErrorKind,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// The longest time for which an idle connection is kept. Targets close idle connections after some
/// seconds, and some drop them sooner.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The fraction of a target's announced idle timeout for which a connection is kept at most.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// The size of a connection's read buffer, which must hold the head of a response. Without a fixed
/// size, the buffer grows up to 400 KB for large responses and stays that large while the
/// connection is kept.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The timeout of a connection that no request waits for.
const SPARE_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection to a target. Dropping it closes it, which also cancels the request at the target.
pub(crate) struct TargetConnection {
    sender: SendRequest<AttemptBody>,
    task: AbortHandle,
    /// The time that it took to connect; taken when the first response arrives.
    connect_time: Option<Duration>,
    /// Whether it has carried a response.
    is_reused: bool,
}

impl TargetConnection {
    /// Returns whether a request can be sent on the connection.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether it carried a response before the present one.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the time that it took to connect, or `None` if the connection has carried a response
    /// before.
    pub(crate) fn take_connect_time(&mut self) -> Option<Duration> {
        self.connect_time.take()
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The result of sending a request.
pub(crate) enum SendResult {
    /// The head of a response and the connection that carries its body.
    Head(Response<Incoming>, TargetConnection),
    /// Nothing was sent, since no connection could be made or the new one closed before use.
    NotSent,
    /// The connection ended after bytes may have been sent.
    Interrupted {
        /// Whether the connection had carried a request before.
        reused: bool,
    },
}

/// The connections to targets that are kept for later requests.
pub(crate) struct ConnectionPool {
    /// Addresses to connect to in place of targets' own.
    tunnels: BTreeMap<SocketAddr, SocketAddr>,
    state: Mutex<PoolState>,
    /// The times at which connections were begun and made, until they are taken.
    connects: Mutex<Vec<(Instant, Instant)>>,
    /// The zero of the state's clock.
    started: Instant,
}

impl ConnectionPool {
    /// Creates a pool without connections. A target whose address is a key of `tunnels` is connected
    /// to at the address that the key maps to.
    pub(crate) fn new(tunnels: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        let state = Mutex::new(PoolState::new());
        Self { tunnels, state, connects: Mutex::default(), started: Instant::now() }
    }

    /// Returns the address to connect to for a target's address.
    pub(crate) fn route_to(&self, address: SocketAddr) -> SocketAddr {
        self.tunnels.get(&address).copied().unwrap_or(address)
    }

    /// Returns whether a target is connected to at another address than its own.
    pub(crate) fn has_tunnel(&self, address: SocketAddr) -> bool {
        self.tunnels.contains_key(&address)
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        self: &Arc<Self>,
        attempt: &TargetAttempt,
        request: Request<AttemptBody>,
    ) -> SendResult {
        let mut request = request;
        if let Some(mut connection) = self.take_unused(attempt) {
            match connection.sender.try_send_request(request).await {
                Ok(head) => return SendResult::Head(head, connection),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => {
                        self.lock_state().record_loss(&attempt.target, self.now());
                        return SendResult::Interrupted { reused: true };
                    }
                },
            }
        }
        while let Some(mut connection) = self.take_reused(attempt) {
            match connection.sender.try_send_request(request).await {
                Ok(head) => return SendResult::Head(head, connection),
                Err(mut error) => match error.take_message() {
                    // The connection closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return SendResult::Interrupted { reused: true },
                },
            }
        }
        let limit = attempt.connect_timeout;
        let connection = match attempt.bridge {
            // A tunnel of this entry means nothing to the replica.
            Some(bridge) => connect(attempt.address, limit, Some(self.route_to(bridge))).await,
            None => self.connect_directly(&attempt.target, attempt.address, limit).await,
        };
        send_on(connection, request).await
    }

    /// Sends a request on a new connection and waits for the head of its response.
    pub(crate) async fn send_new(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
        request: Request<AttemptBody>,
    ) -> SendResult {
        send_on(connect(address, connect_timeout, None).await, request).await
    }

    /// Returns whether a target refuses a new connection. One that can't be reached doesn't.
    pub(crate) async fn is_refused(
        &self,
        address: SocketAddr,
        bridge: Option<SocketAddr>,
        limit: Duration,
    ) -> bool {
        let connecting = async {
            match bridge {
                Some(replica) => {
                    bridge::connect_through(self.route_to(replica), address).await.map(drop)
                }
                None => TcpStream::connect(self.route_to(address)).await.map(drop),
            }
        };
        let result = timeout(limit, connecting).await;
        result.is_ok_and(|result| {
            result.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
        })
    }

    /// Takes an unused connection for a request that needs one, and has others made in the background
    /// for those that follow.
    fn take_unused(self: &Arc<Self>, attempt: &TargetAttempt) -> Option<TargetConnection> {
        if attempt.connection != ConnectionChoice::Unused {
            return None;
        }
        let (taken, missing) = self.lock_state().take_unused(&attempt.target, self.now());
        for _ in 0..missing {
            let (pool, target) = (Arc::clone(self), attempt.target.clone());
            let address = attempt.address;
            tokio::spawn(async move {
                let connecting = pool.connect_directly(&target, address, SPARE_CONNECT_TIMEOUT);
                let mut connection = connecting.await;
                // No request waits for it.
                if let Some(connection) = &mut connection {
                    connection.take_connect_time();
                }
                pool.lock_state().finish_connecting(&target, connection, pool.now());
            });
        }
        taken
    }

    /// Connects to a target, not through a replica.
    async fn connect_directly(
        &self,
        target: &TargetName,
        address: SocketAddr,
        limit: Duration,
    ) -> Option<TargetConnection> {
        let began_at = Instant::now();
        let connection = connect(self.route_to(address), limit, None).await?;
        // A connection to a tunnel's near end shows nothing of the way behind it.
        if let Some(elapsed) = connection.connect_time.filter(|_| !self.has_tunnel(address)) {
            self.lock_connects().push((began_at, began_at + elapsed));
        }
        if let Some(elapsed) = connection.connect_time {
            self.lock_state().record_connected(target, elapsed);
        }
        Some(connection)
    }

    fn take_reused(&self, attempt: &TargetAttempt) -> Option<TargetConnection> {
        if attempt.connection != ConnectionChoice::Any {
            return None;
        }
        self.lock_state().take_reused(&attempt.target, self.now())
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// `idle_timeout` is the idle timeout that the target announced.
    pub(crate) fn put_back(
        &self,
        target: &TargetName,
        mut connection: TargetConnection,
        idle_timeout: Option<Duration>,
    ) {
        let idle_time = idle_timeout.map_or(IDLE_TIMEOUT, |announced| {
            IDLE_TIMEOUT.min(announced.mul_f64(IDLE_TIMEOUT_FRACTION))
        });
        if connection.sender.is_closed() || idle_time.is_zero() {
            return;
        }
        connection.is_reused = true;
        self.lock_state().put_back(target, connection, idle_time, self.now());
    }

    /// Closes expired connections and returns the number of those that are left.
    pub(crate) fn close_expired(&self) -> usize {
        self.lock_state().close_expired(self.now())
    }

    /// Takes the times at which connections were begun and made.
    pub(crate) fn take_connects(&self) -> Vec<(Instant, Instant)> {
        std::mem::take(&mut self.lock_connects())
    }

    fn lock_connects(&self) -> MutexGuard<'_, Vec<(Instant, Instant)>> {
        self.connects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Moment {
        moment_since(self.started)
    }
}

/// Sends a request on a new connection, if there is one, and waits for the head of its response.
async fn send_on(
    connection: Option<TargetConnection>,
    request: Request<AttemptBody>,
) -> SendResult {
    let Some(mut connection) = connection else {
        return SendResult::NotSent;
    };
    match connection.sender.try_send_request(request).await {
        Ok(head) => SendResult::Head(head, connection),
        Err(mut error) => match error.take_message() {
            Some(_) => SendResult::NotSent,
            None => SendResult::Interrupted { reused: false },
        },
    }
}

/// Connects to an address, through the replica at the peer address `bridge` if there is one.
async fn connect(
    address: SocketAddr,
    limit: Duration,
    bridge: Option<SocketAddr>,
) -> Option<TargetConnection> {
    let started = Instant::now();
    match bridge {
        Some(replica) => {
            let connecting = bridge::connect_through(replica, address);
            let stream = timeout(limit, connecting).await.ok()?.ok()?;
            let connect_time = started.elapsed();
            open_http(stream, connect_time).await
        }
        None => {
            let stream = timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
            let connect_time = started.elapsed();
            open_http(stream, connect_time).await
        }
    }
}

/// Prepares a new connection for requests.
async fn open_http<S>(stream: S, connect_time: Duration) -> Option<TargetConnection>
where
    S: AsyncRead + AsyncWrite + Send + TcpCarried + Unpin + 'static,
{
    let stream = WatchedStream::new(stream);
    let handshake = Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.ok()?;
    let task = tokio::spawn(async move {
        // A failure is also returned to the request that the connection carries.
        let _ = connection.await;
    });
    let (task, connect_time) = (task.abort_handle(), Some(connect_time));
    Some(TargetConnection { sender, task, connect_time, is_reused: false })
}
