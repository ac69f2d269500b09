/*!
One attempt at a target or at an entry elsewhere.

An attempt ends in one of few ways, and the difference between them is what the caller is promised:
nothing was sent, the other side says that it did not run, a complete answer came, or it broke off.
*/

use {
    super::intake::{CarriedBody, CarriedRequest},
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

/// The largest answer that is held whole before it is passed on, in bytes.
const HELD_ANSWER_BYTES_MAX: u64 = 64 << 10;

/// The largest refusal that is read, in bytes.
const REFUSAL_BYTES_MAX: u64 = 1_024;
/// How long the body of a refusal is waited for.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Headers that belong to one connection, or that each side sets for itself.
const OWN_HEADERS: &[HeaderName] = &[
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

/// How an attempt ended, or goes on.
pub(crate) enum AttemptOutcome {
    /// It ended without an answer for the caller.
    Ended(AttemptResult),
    /// The whole answer is here.
    Whole { head: AnswerHead, body: Bytes },
    /// The whole request ran, and its answer is too large to be passed on.
    TooLarge { head: AnswerHead },
    /// The answer is on its way.
    Streaming { head: AnswerHead, response: Response },
}

/// The head of an answer.
pub(crate) struct AnswerHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub target: Option<String>,
    pub latency: Duration,
    pub size: Option<u64>,
}

/// Makes an attempt.
pub(crate) async fn attempt(
    shell: &Arc<NodeShell>,
    carried: &mut CarriedRequest,
    dispatch: &DispatchAttempt,
) -> AttemptOutcome {
    let body = take_body(shell, carried, dispatch);
    let Some(body) = body else {
        return AttemptOutcome::Ended(AttemptResult::NotSent);
    };
    let request = prepare(shell, carried, dispatch).body(body);
    // A process that stood still may wake up here: by now the slot may be another entry's.
    if shell.now() > dispatch.valid_until {
        return AttemptOutcome::Ended(AttemptResult::NotSent);
    }
    let sent = Instant::now();
    let response = match timeout(dispatch.time_left, request.send()).await {
        Err(_) => return AttemptOutcome::Ended(AttemptResult::Interrupted),
        Ok(Err(error)) if error.is_connect() => {
            return AttemptOutcome::Ended(AttemptResult::NotSent);
        }
        Ok(Err(_)) => return AttemptOutcome::Ended(AttemptResult::Interrupted),
        Ok(Ok(response)) => response,
    };
    let latency = sent.elapsed();
    match outcome_of(&response) {
        Some(RunOutcome::NotRun) => {
            let retry_after = retry_after(response).await;
            return AttemptOutcome::Ended(AttemptResult::NotRun { retry_after });
        }
        Some(RunOutcome::Unknown) => return AttemptOutcome::Ended(AttemptResult::Interrupted),
        Some(RunOutcome::Ran) | None => {}
    }
    if !shows_its_end(&response, &carried.method) {
        return AttemptOutcome::Ended(AttemptResult::Interrupted);
    }
    let head = answer_head(&response, dispatch, latency);
    if head.size.is_some_and(|size| size > carried.answer_bytes) {
        return AttemptOutcome::TooLarge { head };
    }
    if head.size.is_none_or(|size| size > HELD_ANSWER_BYTES_MAX) {
        return AttemptOutcome::Streaming { head, response };
    }
    let left = dispatch.time_left.saturating_sub(sent.elapsed());
    match timeout(left, response.bytes()).await {
        Ok(Ok(body)) => AttemptOutcome::Whole { head, body },
        _ => AttemptOutcome::Ended(AttemptResult::Interrupted),
    }
}

fn prepare(
    shell: &NodeShell,
    carried: &CarriedRequest,
    dispatch: &DispatchAttempt,
) -> reqwest::RequestBuilder {
    let (kind, tail) = (&carried.kind, &carried.tail);
    let address = shell.settings.connect_address(dispatch.address);
    let url = match &dispatch.destination {
        AttemptDestination::Local { .. } => format!("http://{address}/{kind}/{tail}"),
        AttemptDestination::Remote { .. } => {
            format!("http://{address}/s/{}/{kind}/{tail}", carried.service)
        }
    };
    let client: &Client =
        if carried.never_repeated { &shell.unpooled_client } else { &shell.client };
    let mut request = client.request(carried.method.clone(), url);
    request = request.headers(passed_on(&carried.headers));
    request = request.header(DEADLINE_HEADER, dispatch.time_left.as_millis().to_string());
    if let Some(key) = &carried.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    if let Some(size) = carried.body_bytes.filter(|size| *size > 0) {
        request = request.header(header::CONTENT_LENGTH, size);
    }
    if matches!(dispatch.destination, AttemptDestination::Remote { .. }) {
        request = request
            .header(FORWARDED_HEADER, shell.settings.name.as_str())
            .header(PEER_TOKEN_HEADER, &shell.settings.peer_token)
            .header(CALLER_HEADER, carried.caller.to_string());
    }
    request
}

/// Returns the body to send; none when it has been sent before and isn't held.
fn take_body(
    shell: &Arc<NodeShell>,
    carried: &mut CarriedRequest,
    dispatch: &DispatchAttempt,
) -> Option<Body> {
    let far = far_region(shell, &dispatch.destination);
    match (&mut carried.body, far) {
        (CarriedBody::Held(bytes), Some(region)) if !bytes.is_empty() => {
            let stream = link_stream::buffered(bytes.clone());
            Some(Body::wrap_stream(link_stream::rate_limited(stream, Arc::clone(shell), region)))
        }
        (CarriedBody::Held(bytes), _) => Some(Body::from(bytes.clone())),
        (CarriedBody::Streamed(body), far) => {
            let stream = body.take()?.into_bytes_stream();
            Some(match far {
                Some(region) => {
                    Body::wrap_stream(link_stream::rate_limited(stream, Arc::clone(shell), region))
                }
                None => Body::wrap_stream(stream),
            })
        }
    }
}

/// Returns the region that an attempt's bytes go to, when a link leads there.
fn far_region(shell: &NodeShell, place: &AttemptDestination) -> Option<RegionName> {
    let AttemptDestination::Remote { link: Some(link), .. } = place else {
        return None;
    };
    shell.read(|state, _| state.config().set().links.get(link).map(|link| link.to.clone()))
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let own = |name: &HeaderName| {
        OWN_HEADERS.contains(name)
            || name.as_str().starts_with("hemlockspool-")
            || name.as_str() == IDEMPOTENCY_KEY_HEADER
            || name.as_str() == "keep-alive"
    };
    let kept = headers.iter().filter(|(name, _)| !own(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn outcome_of(response: &Response) -> Option<RunOutcome> {
    let text = response.headers().get(OUTCOME_HEADER)?.to_str().ok()?;
    let all = [RunOutcome::NotRun, RunOutcome::Ran, RunOutcome::Unknown];
    all.into_iter().find(|outcome| outcome.as_str() == text)
}

/// Returns when to come back: to the millisecond from the body of an entry's refusal, or in seconds
/// from the header.
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

/// Tells whether an answer cut short could be told from a whole one: it announces its size, or
/// comes in chunks, or has no body. An answer that just ends with its connection doesn't.
fn shows_its_end(response: &Response, method: &Method) -> bool {
    let headers = response.headers();
    let bodiless = *method == Method::HEAD
        || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn answer_head(response: &Response, dispatch: &DispatchAttempt, latency: Duration) -> AnswerHead {
    let target = match &dispatch.destination {
        AttemptDestination::Local { target } => Some(target.to_string()),
        AttemptDestination::Remote { .. } => {
            let value = response.headers().get(TARGET_HEADER);
            value.and_then(|value| value.to_str().ok()).map(str::to_owned)
        }
    };
    let mut headers = passed_on(response.headers());
    for name in [OUTCOME_HEADER, VERSION_HEADER, ENTRY_HEADER, TARGET_HEADER] {
        headers.remove(name);
    }
    AnswerHead {
        status: response.status(),
        headers,
        target,
        latency,
        size: response.content_length(),
    }
}

/// Ends a body with an error once it is larger than declared.
pub(crate) fn capped<S>(
    body: S,
    most: u64,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let mut seen = 0;
    body.map(move |piece| {
        let piece = piece?;
        seen += piece.len() as u64;
        if seen > most { Err(io::ErrorKind::FileTooLarge.into()) } else { Ok(piece) }
    })
}

/// Returns the body of an answer as a stream.
pub(crate) fn answer_stream(
    response: Response,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static {
    response.bytes_stream().map_err(io::Error::other)
}
