/*!
The HTTP client, which sends a request to one server after another until one responds.
*/

use {
    crate::{error::CommandError, options::ClientOptions},
    reqwest::{Client, RequestBuilder},
    serde::de::DeserializeOwned,
    std::time::Duration,
    tokio::time::sleep,
};

/// The timeout of one request, including its connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// The number of rounds over all servers. A server that has just started may have no configuration
/// in force yet, so one round is not enough.
const ROUNDS_MAX: usize = 4;
/// The delay between two rounds.
const ROUND_BACKOFF: Duration = Duration::from_millis(400);
/// The timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to entries and replicas.
pub(crate) struct ServerClient<'a> {
    options: &'a ClientOptions,
    http: Client,
}

impl<'a> ServerClient<'a> {
    /// Creates a client for the servers in the options.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NoServers`] if the options contain no server.
    pub(crate) fn new(options: &'a ClientOptions) -> Result<Self, CommandError> {
        if options.servers.is_empty() {
            return Err(CommandError::NoServers);
        }
        let http = Client::builder().no_proxy().connect_timeout(CONNECT_TIMEOUT);
        let http = http.timeout(RESPONSE_TIMEOUT).build();
        let http = http.map_err(|error| CommandError::NoResponse { last: Some(error) })?;
        Ok(Self { options, http })
    }

    /// Gets a resource from the first server that returns it.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NoResponse`] if no server returns it.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let mut last = None;
        for round in 0..ROUNDS_MAX {
            if round > 0 {
                sleep(ROUND_BACKOFF).await;
            }
            for server in &self.options.servers {
                match self.get_from(server, path).await {
                    Ok(body) => return Ok(body),
                    Err(error) => last = Some(error),
                }
            }
        }
        Err(CommandError::NoResponse { last })
    }

    /// Gets a resource from one server.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails, if the status is an error, or if the body cannot be
    /// decoded.
    pub(crate) async fn get_from<T>(&self, server: &str, path: &str) -> Result<T, reqwest::Error>
    where
        T: DeserializeOwned,
    {
        let response = self.http.get(format!("http://{server}{path}")).send().await?;
        response.error_for_status()?.json().await
    }

    /// Posts a body to one server, with the operator's token.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or if the body of the response cannot be decoded,
    /// whatever its status.
    pub(crate) async fn post_to<B, T>(
        &self,
        server: &str,
        path: &str,
        body: &B,
    ) -> Result<T, reqwest::Error>
    where
        B: serde::Serialize,
        T: DeserializeOwned,
    {
        let request = self.http.post(format!("http://{server}{path}")).json(body);
        self.with_token(request).send().await?.json().await
    }

    /// Sends a request to one replica after another until one accepts or refuses it, and returns
    /// the body of the response.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Refused`] if a replica refuses the request with a client error
    /// status, or [`CommandError::NoResponse`] if no replica accepts or refuses it.
    pub(crate) async fn send<F>(&self, build_request: F) -> Result<String, CommandError>
    where
        F: Fn(&Client, &str) -> RequestBuilder,
    {
        let mut last = None;
        for round in 0..ROUNDS_MAX {
            if round > 0 {
                sleep(ROUND_BACKOFF).await;
            }
            for server in &self.options.servers {
                let response = match build_request(&self.http, server).send().await {
                    Ok(response) => response,
                    Err(error) => {
                        last = Some(error);
                        continue;
                    }
                };
                let status = response.status();
                let text = response.text().await.unwrap_or_default();
                if status.is_success() {
                    return Ok(text);
                }
                if status.is_client_error() {
                    return Err(CommandError::Refused { status: status.as_u16(), reason: text });
                }
            }
        }
        Err(CommandError::NoResponse { last })
    }

    fn with_token(&self, request: RequestBuilder) -> RequestBuilder {
        match &self.options.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }
}
