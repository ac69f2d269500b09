/*!
Listening for HTTP.
*/

use {
    super::{lookup, operators},
    crate::{carriage, shell::NodeShell},
    miette::Diagnostic,
    poem::{
        EndpointExt, Route, Server, endpoint, get,
        http::uri::Scheme,
        listener::Acceptor,
        post,
        web::{LocalAddr, RemoteAddr},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::net::{TcpListener, TcpStream},
};

/// For how long an idle connection of a caller is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why this instance can't listen.
#[derive(Debug, Diagnostic, Error)]
#[error("{address}: can't listen for HTTP")]
#[diagnostic(code(hemlockspool::http::listen))]
pub(crate) struct HttpListenError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// A listening socket that isn't served yet.
pub(crate) struct HttpServer {
    acceptor: PromptAcceptor,
}

/// Accepts connections that send small answers at once.
struct PromptAcceptor {
    listener: TcpListener,
    address: SocketAddr,
}

impl Acceptor for PromptAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let local = LocalAddr(self.address.into());
        Ok((stream, local, RemoteAddr(remote.into()), Scheme::HTTP))
    }
}

impl HttpServer {
    /// Listens.
    ///
    /// # Errors
    ///
    /// [`HttpListenError`] when the address can't be listened on.
    pub(crate) async fn listen(address: SocketAddr) -> Result<Self, HttpListenError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| HttpListenError { address, source })?;
        Ok(Self { acceptor: PromptAcceptor { listener, address } })
    }

    /// Serves until a signal comes, and then until the requests in flight have ended or the grace
    /// is over.
    pub(crate) async fn serve<F>(self, shell: Arc<NodeShell>, signal: F, grace: Duration)
    where
        F: Future<Output = ()>,
    {
        let carrying = Arc::clone(&shell);
        let service = endpoint::make(move |request| {
            let shell = Arc::clone(&carrying);
            async move { carriage::carry(shell, request).await }
        });
        let routes = Route::new()
            .at("/v1/lookup", get(lookup::lookup))
            .at("/v1/publish", post(operators::publish))
            .at("/v1/config", get(operators::show_config))
            .at("/v1/status", get(operators::show_status))
            .at("/v1/audit", get(operators::show_audit))
            .at("/v1/tally", get(operators::show_tally))
            .at("/v1/replicas", post(operators::change_replicas))
            .at("/healthz", get(lookup::healthz))
            .at("/readyz", get(lookup::readyz))
            .at("/metrics", get(operators::show_metrics))
            .at("/s/*path", service)
            .data(shell);
        let server = Server::new_with_acceptor(self.acceptor).idle_timeout(IDLE_TIMEOUT);
        let served = server.run_with_graceful_shutdown(routes, signal, Some(grace)).await;
        // Accepting goes on after single failures; there is nothing to do about the last one.
        let _ = served;
    }
}
