/*!
One attempt to run a request, at a target or through another entry.

An attempt ends in one of five ways: nothing was sent, the other side reports that the request did
not run, a response arrived that is complete or too large, the attempt was interrupted, or a
streamed response was truncated. What the caller is told about whether its request ran depends on
which of them it was.
*/

use {
    super::request::{ProxiedRequest, RequestBody},
    crate::{link_stream, shell::NodeShell},
    bytes::Bytes,
    futures_util::{StreamExt, TryStreamExt},
    hemlockspool_core::requests::{AttemptDestination, AttemptResult, DispatchAttempt},
    hemlockspool_model::{
        api::{
            CALLER_HEADER, DEADLINE_HEADER, ENTRY_HEADER, FORWARDED_HEADER, IDEMPOTENCY_KEY_HEADER,
            OUTCOME_HEADER, PEER_TOKEN_HEADER, RefusalResponse, RunOutcome, TARGET_HEADER,
            VERSION_HEADER,
        },
        names::RegionName,
    },
    poem::http::{HeaderMap, HeaderName, Method, StatusCode, header},
    reqwest::{Body, Client, Response},
    std::{io, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout},
};

/// The largest response that is buffered whole before it is forwarded, in bytes.
const BUFFERED_RESPONSE_BYTES_MAX: u64 = 64 << 10;

/// The largest body of a refusal that is read, in bytes.
const REFUSAL_BYTES_MAX: u64 = 1_024;
/// The timeout for reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Headers that apply to one connection only, or that are set anew when a message is forwarded.
const PER_CONNECTION_HEADERS: &[HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
];

/// The outcome of an attempt, or the start of a streamed response.
pub(crate) enum AttemptOutcome {
    /// The attempt ended without a response for the caller.
    Ended(AttemptResult),
    /// The complete response has been read.
    Complete { head: ResponseHead, body: Bytes },
    /// The request ran, and its response announces a body that is too large to be forwarded.
    TooLarge { head: ResponseHead },
    /// The head of the response has been read; its body is still to be streamed.
    Streaming { head: ResponseHead, response: Response },
}

/// The head of a response.
pub(crate) struct ResponseHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The target that ran the request, if known.
    pub target: Option<String>,
    /// The time from sending the request to receiving this head.
    pub latency: Duration,
    /// The length of the body in bytes, if known in advance; zero for responses without a body.
    pub size: Option<u64>,
}

/// Makes an attempt as the reducer decided it.
pub(crate) async fn make_attempt(
    shell: &Arc<NodeShell>,
    proxied: &mut ProxiedRequest,
    dispatch: &DispatchAttempt,
) -> AttemptOutcome {
    let body = take_body(shell, proxied, dispatch);
    let Some(body) = body else {
        return AttemptOutcome::Ended(AttemptResult::NotSent);
    };
    let request = build_request(shell, proxied, dispatch).body(body);
    // If the process was paused until now, the target's slot may belong to another entry.
    if shell.now() > dispatch.valid_until {
        return AttemptOutcome::Ended(AttemptResult::NotSent);
    }
    let sent = Instant::now();
    let response = match timeout(dispatch.time_left, request.send()).await {
        Err(_) => return AttemptOutcome::Ended(AttemptResult::TimedOut),
        Ok(Err(error)) if error.is_connect() => {
            return AttemptOutcome::Ended(AttemptResult::NotSent);
        }
        Ok(Err(_)) => return AttemptOutcome::Ended(AttemptResult::Interrupted),
        Ok(Ok(response)) => response,
    };
    let latency = sent.elapsed();
    match run_outcome(&response) {
        Some(RunOutcome::NotRun) => {
            let retry_after = retry_after(response).await;
            return AttemptOutcome::Ended(AttemptResult::NotRun { retry_after });
        }
        Some(RunOutcome::Unknown) => return AttemptOutcome::Ended(AttemptResult::Interrupted),
        Some(RunOutcome::Ran) | None => {}
    }
    if !detects_truncation(&response, &proxied.method) {
        return AttemptOutcome::Ended(AttemptResult::Interrupted);
    }
    let head = response_head(&response, dispatch, latency);
    if head.size.is_some_and(|size| size > proxied.response_bytes_max) {
        return AttemptOutcome::TooLarge { head };
    }
    if head.size.is_none_or(|size| size > BUFFERED_RESPONSE_BYTES_MAX) {
        return AttemptOutcome::Streaming { head, response };
    }
    let time_left = dispatch.time_left.saturating_sub(sent.elapsed());
    match timeout(time_left, response.bytes()).await {
        Ok(Ok(body)) => AttemptOutcome::Complete { head, body },
        Ok(Err(_)) => AttemptOutcome::Ended(AttemptResult::Interrupted),
        Err(_) => AttemptOutcome::Ended(AttemptResult::TimedOut),
    }
}

fn build_request(
    shell: &NodeShell,
    proxied: &ProxiedRequest,
    dispatch: &DispatchAttempt,
) -> reqwest::RequestBuilder {
    let (kind, tail) = (&proxied.kind, &proxied.tail);
    let address = shell.settings.connect_address(dispatch.address);
    let url = match &dispatch.destination {
        AttemptDestination::Local { .. } => format!("http://{address}/{kind}/{tail}"),
        AttemptDestination::Remote { .. } => {
            format!("http://{address}/s/{}/{kind}/{tail}", proxied.service)
        }
    };
    let client: &Client = if proxied.at_most_once { &shell.unpooled_client } else { &shell.client };
    let mut request = client.request(proxied.method.clone(), url);
    request = request.headers(end_to_end_headers(&proxied.headers));
    request = request.header(DEADLINE_HEADER, dispatch.time_left.as_millis().to_string());
    if let Some(key) = &proxied.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    // Without a header that announces it, the HTTP client sends no body of unknown length with a GET
    // or a HEAD.
    request = match proxied.body_bytes {
        None => request.header(header::TRANSFER_ENCODING, "chunked"),
        Some(0) => request,
        Some(size) => request.header(header::CONTENT_LENGTH, size),
    };
    if matches!(dispatch.destination, AttemptDestination::Remote { .. }) {
        request = request
            .header(FORWARDED_HEADER, shell.settings.name.as_str())
            .header(PEER_TOKEN_HEADER, &shell.settings.peer_token)
            .header(CALLER_HEADER, proxied.caller.to_string());
    }
    request
}

/// Returns the body to send, or `None` if it was streamed by an earlier attempt and isn't buffered.
fn take_body(
    shell: &Arc<NodeShell>,
    proxied: &mut ProxiedRequest,
    dispatch: &DispatchAttempt,
) -> Option<Body> {
    let region = link_region(shell, &dispatch.destination);
    match (&mut proxied.body, region) {
        (RequestBody::Buffered(bytes), Some(region)) if !bytes.is_empty() => {
            let stream = link_stream::buffered(bytes.clone());
            Some(Body::wrap_stream(link_stream::rate_limited(stream, Arc::clone(shell), region)))
        }
        (RequestBody::Buffered(bytes), _) => Some(Body::from(bytes.clone())),
        (RequestBody::Streamed(body), region) => {
            let stream = body.take()?.into_stream();
            Some(match region {
                Some(region) => {
                    Body::wrap_stream(link_stream::rate_limited(stream, Arc::clone(shell), region))
                }
                None => Body::wrap_stream(stream),
            })
        }
    }
}

/// Returns the region at the other end of the link that an attempt uses. Returns `None` if it uses
/// none, or if the link has been removed from the set.
fn link_region(shell: &NodeShell, destination: &AttemptDestination) -> Option<RegionName> {
    let AttemptDestination::Remote { link: Some(link), .. } = destination else {
        return None;
    };
    shell.read(|state, _| state.config().set().links.get(link).map(|link| link.to.clone()))
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let is_excluded = |name: &HeaderName| {
        PER_CONNECTION_HEADERS.contains(name)
            || name.as_str().starts_with("hemlockspool-")
            || name.as_str() == IDEMPOTENCY_KEY_HEADER
            || name.as_str() == "keep-alive"
    };
    let included = headers.iter().filter(|(name, _)| !is_excluded(name));
    included.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn run_outcome(response: &Response) -> Option<RunOutcome> {
    let text = response.headers().get(OUTCOME_HEADER)?.to_str().ok()?;
    let all = [RunOutcome::NotRun, RunOutcome::Ran, RunOutcome::Unknown];
    all.into_iter().find(|outcome| outcome.as_str() == text)
}

/// Returns the delay before a retry, if stated: in milliseconds from the body of an entry's
/// refusal, or else in seconds from the `Retry-After` header.
async fn retry_after(response: Response) -> Option<Duration> {
    let header = response.headers().get(header::RETRY_AFTER);
    let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let small = response.content_length().is_some_and(|size| size <= REFUSAL_BYTES_MAX);
    if small
        && let Ok(Ok(body)) = timeout(REFUSAL_TIMEOUT, response.json::<RefusalResponse>()).await
    {
        return Some(Duration::from_millis(body.retry_after_ms));
    }
    seconds.map(Duration::from_secs)
}

/// Returns whether a truncated response can be told from a complete one: it announces its length,
/// is chunked, or has no body. A body that ends when its connection closes can't be checked.
fn detects_truncation(response: &Response, method: &Method) -> bool {
    let headers = response.headers();
    let no_body = *method == Method::HEAD
        || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn response_head(
    response: &Response,
    dispatch: &DispatchAttempt,
    latency: Duration,
) -> ResponseHead {
    let target = match &dispatch.destination {
        AttemptDestination::Local { target } => Some(target.to_string()),
        AttemptDestination::Remote { .. } => {
            let value = response.headers().get(TARGET_HEADER);
            value.and_then(|value| value.to_str().ok()).map(str::to_owned)
        }
    };
    let mut headers = end_to_end_headers(response.headers());
    for name in [OUTCOME_HEADER, VERSION_HEADER, ENTRY_HEADER, TARGET_HEADER] {
        headers.remove(name);
    }
    ResponseHead {
        status: response.status(),
        headers,
        target,
        latency,
        size: response.content_length(),
    }
}

/// Returns a stream of a body that ends with an error once the body exceeds `bytes_max`.
pub(crate) fn limit_body<S>(
    body: S,
    bytes_max: u64,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let mut received = 0;
    body.map(move |piece| {
        let piece = piece?;
        received += piece.len() as u64;
        if received > bytes_max { Err(io::ErrorKind::FileTooLarge.into()) } else { Ok(piece) }
    })
}

/// Returns the body of a response as a stream.
pub(crate) fn response_stream(
    response: Response,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static {
    response.bytes_stream().map_err(io::Error::other)
}
