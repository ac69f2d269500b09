/*!
The HTTP listener and its routes.
*/

use {
    super::{lookup, operators},
    crate::{proxy, shell::NodeShell},
    hemlockspool_serve::EndpointServer,
    miette::Diagnostic,
    poem::{EndpointExt, Route, endpoint, get, post},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// The error of listening for HTTP.
#[derive(Debug, Diagnostic, Error)]
#[error("{address}: can't listen for HTTP")]
#[diagnostic(code(hemlockspool::http::listen))]
pub(crate) struct HttpListenError {
    address: SocketAddr,
    #[source]
    source: io::Error,
}

/// A server that listens but doesn't accept connections yet.
pub(crate) struct HttpServer {
    server: EndpointServer,
}

impl HttpServer {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns [`HttpListenError`] if listening on the address fails.
    pub(crate) async fn listen(address: SocketAddr) -> Result<Self, HttpListenError> {
        let server = EndpointServer::bind(address).await;
        let server = server.map_err(|source| HttpListenError { address, source })?;
        Ok(Self { server })
    }

    /// Serves until `signal` completes, and then until the requests in flight have ended or `grace`
    /// is over.
    pub(crate) async fn serve<F>(self, shell: Arc<NodeShell>, signal: F, grace: Duration)
    where
        F: Future<Output = ()>,
    {
        let forward_shell = Arc::clone(&shell);
        let service = endpoint::make(move |request| {
            let shell = Arc::clone(&forward_shell);
            async move { proxy::forward(shell, request).await }
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
        self.server.serve(routes, signal, grace).await;
    }
}
