/*!
Responses to callers.
*/

use {
    super::attempt::ResponseHead,
    crate::shell::NodeShell,
    bytes::Bytes,
    futures_util::{Stream, StreamExt},
    hemlockspool_core::{
        ledger::StoredResponse,
        reducer::NodeEvent,
        requests::{AttemptResult, RequestEvent, RequestId},
    },
    hemlockspool_model::api::{
        ENTRY_HEADER, OUTCOME_HEADER, RefusalReason, RefusalResponse, RunOutcome, TARGET_HEADER,
        VERSION_HEADER,
    },
    poem::{
        Body, Response,
        http::{StatusCode, header},
    },
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Closes a request at the reducer when dropped, for example because the caller has gone away.
pub(crate) struct RequestGuard {
    pub shell: Arc<NodeShell>,
    pub id: RequestId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shell.close_request(self.id);
    }
}

/// A response body that is streamed to the caller and reports its end to the reducer.
pub(crate) struct MonitoredStream<S> {
    pub inner: Pin<Box<S>>,
    pub guard: RequestGuard,
    pub attempt: u32,
    /// The number of bytes that are still to come, if the response announced its length. The server
    /// doesn't poll the stream again after the last of them.
    pub bytes_left: Option<u64>,
    /// The result to report when the body is complete; taken once a result has been reported.
    pub result_at_end: Option<AttemptResult>,
}

impl<S> Stream for MonitoredStream<S>
where
    S: Stream<Item = io::Result<Bytes>>,
{
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.inner.poll_next_unpin(cx);
        if let (Poll::Ready(Some(Ok(piece))), Some(left)) = (&next, &mut self.bytes_left) {
            *left = left.saturating_sub(piece.len() as u64);
        }
        let result = match &next {
            Poll::Ready(None) => self.result_at_end.take(),
            Poll::Ready(Some(Err(_))) => {
                self.result_at_end.take().map(|_| AttemptResult::Truncated)
            }
            Poll::Ready(Some(Ok(_))) if self.bytes_left == Some(0) => self.result_at_end.take(),
            _ => None,
        };
        if let Some(result) = result {
            let (id, attempt) = (self.guard.id, self.attempt);
            let event = RequestEvent::AttemptEnded { id, attempt, result };
            self.guard.shell.apply(NodeEvent::Request(event));
        }
        next
    }
}

/// Returns the response to a request that ran.
pub(crate) fn completed_response(shell: &NodeShell, head: ResponseHead, body: Body) -> Response {
    let mut response = Response::builder().status(head.status).body(body);
    response.headers_mut().extend(head.headers);
    if let Some(size) = head.size {
        response.headers_mut().insert(header::CONTENT_LENGTH, size.into());
    }
    if let Some(target) = head.target.and_then(|name| name.parse().ok()) {
        response.headers_mut().insert(TARGET_HEADER, target);
    }
    set_outcome_headers(shell, &mut response, RunOutcome::Ran);
    response
}

/// Returns the response that was stored when the request ran, with an empty body if the body was
/// streamed or too large to be stored.
pub(crate) fn replayed_response(shell: &NodeShell, stored: StoredResponse) -> Response {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut response = Response::builder().status(status);
    if let Some(content_type) = stored.content_type {
        response = response.header(header::CONTENT_TYPE, content_type);
    }
    let mut response = response.body(stored.body.unwrap_or_default());
    set_outcome_headers(shell, &mut response, RunOutcome::Ran);
    response
}

/// Returns the response to a refused request.
pub(crate) fn refusal_response(shell: &NodeShell, refusal: &RefusalResponse) -> Response {
    let seconds = refusal.retry_after_ms.div_ceil(1_000).max(1);
    let body = serde_json::to_vec(refusal).unwrap_or_default();
    let mut response = Response::builder()
        .status(refusal_status(refusal))
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::RETRY_AFTER, seconds.to_string())
        .body(body);
    set_outcome_headers(shell, &mut response, refusal.outcome);
    response
}

fn set_outcome_headers(shell: &NodeShell, response: &mut Response, outcome: RunOutcome) {
    let version = shell.read(|state, _| state.config().held_version());
    let name = shell.settings.name.as_str();
    let headers = response.headers_mut();
    if let Ok(value) = outcome.as_str().parse() {
        headers.insert(OUTCOME_HEADER, value);
    }
    if let Ok(value) = version.to_string().parse() {
        headers.insert(VERSION_HEADER, value);
    }
    if let Ok(value) = name.parse() {
        headers.insert(ENTRY_HEADER, value);
    }
}

fn refusal_status(refusal: &RefusalResponse) -> StatusCode {
    use RefusalReason as R;
    match refusal.reason {
        R::NoSuchKind => StatusCode::NOT_FOUND,
        R::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        R::KeyMissing | R::KeyTooLong => StatusCode::BAD_REQUEST,
        R::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        R::ClaimOpen => StatusCode::CONFLICT,
        R::CallerOverShare => StatusCode::TOO_MANY_REQUESTS,
        R::DeadlineTooShort => StatusCode::GATEWAY_TIMEOUT,
        R::AttemptFailed | R::AnswerTooLarge => StatusCode::BAD_GATEWAY,
        R::NoConfiguration
        | R::Overloaded
        | R::NoTarget
        | R::ShiftCap
        | R::NoQuorum
        | R::ClaimsFull => StatusCode::SERVICE_UNAVAILABLE,
    }
}
