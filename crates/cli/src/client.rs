/*!
Asking entries, one after another, until one answers.
*/

use {
    crate::{error::CommandError, options::CallOptions},
    reqwest::{Client, RequestBuilder},
    serde::de::DeserializeOwned,
    std::time::Duration,
    tokio::time::sleep,
};

/// How long one entry is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// How often all entries are asked: one that has just started may have nothing in force yet.
const GET_ROUNDS: usize = 4;
/// The pause between two rounds.
const GET_PAUSE: Duration = Duration::from_millis(400);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks entries.
pub(crate) struct EntryClient<'a> {
    options: &'a CallOptions,
    http: Client,
}

impl<'a> EntryClient<'a> {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// [`CommandError::NoServers`] when there is nobody to ask.
    pub(crate) fn new(options: &'a CallOptions) -> Result<Self, CommandError> {
        if options.servers.is_empty() {
            return Err(CommandError::NoServers);
        }
        let http = Client::builder().no_proxy().connect_timeout(CONNECT_TIMEOUT);
        let http = http.timeout(ANSWER_TIMEOUT).build();
        let http = http.map_err(|error| CommandError::Unanswered { last: Some(error) })?;
        Ok(Self { options, http })
    }

    /// Gets a page from the first entry that has it.
    ///
    /// # Errors
    ///
    /// [`CommandError::Unanswered`] when none has.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let mut last = None;
        for round in 0..GET_ROUNDS {
            if round > 0 {
                sleep(GET_PAUSE).await;
            }
            for server in &self.options.servers {
                match self.get_from(server, path).await {
                    Ok(body) => return Ok(body),
                    Err(error) => last = Some(error),
                }
            }
        }
        Err(CommandError::Unanswered { last })
    }

    /// Gets a page from one entry.
    ///
    /// # Errors
    ///
    /// As the entry's answer has it.
    pub(crate) async fn get_from<T>(&self, server: &str, path: &str) -> Result<T, reqwest::Error>
    where
        T: DeserializeOwned,
    {
        let answer = self.http.get(format!("http://{server}{path}")).send().await?;
        answer.error_for_status()?.json().await
    }

    /// Posts a body to one entry, with the operator's token.
    ///
    /// # Errors
    ///
    /// As the entry's answer has it.
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

    /// Sends an order, to one replica after another until one answers it for certain; returns its
    /// text.
    ///
    /// # Errors
    ///
    /// [`CommandError::Order`] when it is refused, [`CommandError::Unanswered`] when nobody answers.
    pub(crate) async fn order<F>(&self, make: F) -> Result<String, CommandError>
    where
        F: Fn(&Client, &str) -> RequestBuilder,
    {
        let mut last = None;
        for round in 0..GET_ROUNDS {
            if round > 0 {
                sleep(GET_PAUSE).await;
            }
            for server in &self.options.servers {
                let answer = match make(&self.http, server).send().await {
                    Ok(answer) => answer,
                    Err(error) => {
                        last = Some(error);
                        continue;
                    }
                };
                let status = answer.status();
                let text = answer.text().await.unwrap_or_default();
                if status.is_success() {
                    return Ok(text);
                }
                if status.is_client_error() {
                    return Err(CommandError::Order { status: status.as_u16(), reason: text });
                }
            }
        }
        Err(CommandError::Unanswered { last })
    }

    fn with_token(&self, request: RequestBuilder) -> RequestBuilder {
        match &self.options.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }
}
