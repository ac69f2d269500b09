/*!
Forwarding of callers' requests to targets at an entry.

The router makes the decisions and this module carries them out: it reads a request, makes the
attempts that the router chooses, and responds. If the caller goes away, the handler is dropped, and
with it the connection to the target, which cancels the request there.
*/

use {
    super::{
        connection_pool::{SendResult, TargetConnection},
        entry_shell::EntryShell,
        response_body::{ResponseBody, read_body, stream_body},
    },
    bytes::Bytes,
    hemlockspool_core::{
        clock::Moment,
        traffic::request::{
            AdmittedRequest, AttemptResult, DispatchDecision, RefusalReason, RequestHead,
            RequestRefusal, TargetAttempt,
        },
    },
    hemlockspool_model::names::TargetName,
    hemlockspool_platform::headers::{self, ResponseClass},
    http_body_util::Full,
    hyper::body::Incoming,
    poem::{
        Body, Request, Response,
        http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header, response::Parts},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The largest request body that is accepted, in bytes.
const REQUEST_BYTES_MAX: usize = 64 << 20;
/// The largest request body, in bytes, after which a connection is reused. A target that responds
/// before it has read a larger body may leave the rest of it unread on the connection.
const REUSE_REQUEST_BYTES_MAX: usize = 16 << 10;

/// The approximate number of bytes that the heads of a request and of its response take on a link,
/// together with the packet headers.
const HEADER_OVERHEAD_BYTES: u64 = 900;

/// A request with its whole body, to be sent to one or more targets.
struct BufferedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// An attempt in progress. If dropped before its end, it is reported as cancelled.
struct AttemptGuard<'a> {
    shell: &'a EntryShell,
    admitted: &'a mut AdmittedRequest,
    target: &'a TargetName,
    started: Moment,
    in_progress: bool,
}

impl AttemptGuard<'_> {
    fn finish(mut self, result: AttemptResult) {
        self.report(result);
    }

    fn report(&mut self, result: AttemptResult) {
        self.in_progress = false;
        let (admitted, target, started) = (&mut *self.admitted, self.target, self.started);
        self.shell.with_state(|state, now| {
            state.router.finish_attempt(admitted, target, result, now.since(started), now)
        });
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.in_progress {
            self.report(AttemptResult::Cancelled);
        }
    }
}

/// A response of a target that can be forwarded to the caller.
struct TargetResponse {
    parts: Parts,
    body: Body,
    /// The length of the buffered part of the body, in bytes.
    buffered_bytes: u64,
}

/// Serves a caller's request.
pub(crate) async fn serve(shell: Arc<EntryShell>, request: Request) -> Response {
    let started = shell.now();
    let mut response = forward(&shell, request).await;
    let elapsed = shell.now().since(started);
    shell.metrics.request_seconds.observe(elapsed.as_secs_f64());
    if shell.with_state(|state, _| state.is_stopping()) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn forward(shell: &EntryShell, mut request: Request) -> Response {
    let body = request.take_body();
    let admitted = {
        let id = headers::request_id(request.headers());
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let head = RequestHead {
            id,
            host: host.unwrap_or_default(),
            path: request.uri().path(),
            key: headers::affinity_key(request.headers()),
            timeout: headers::caller_timeout(request.headers()),
        };
        shell.with_state(|state, now| state.router.admit(&head, now))
    };
    let mut admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal_response(refusal),
    };
    let time_left = admitted.deadline.since(shell.now());
    let body = match timeout(time_left, body.into_bytes_limit(REQUEST_BYTES_MAX)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return StatusCode::PAYLOAD_TOO_LARGE.into(),
        Err(_) => return StatusCode::REQUEST_TIMEOUT.into(),
    };
    let uri = request.uri().path_and_query().map(|path| Uri::from(path.clone()));
    let buffered = BufferedRequest {
        method: request.method().clone(),
        uri: uri.unwrap_or_default(),
        headers: request.headers().clone(),
        body,
    };
    loop {
        let attempt = match shell.with_state(|state, now| state.router.dispatch(&mut admitted, now))
        {
            DispatchDecision::Send(attempt) => attempt,
            DispatchDecision::Refuse(refusal) => return refusal_response(refusal),
        };
        if let Some(response) = make_attempt(shell, &mut admitted, &attempt, &buffered).await {
            let status = response.parts.status.as_u16();
            let bytes =
                response.buffered_bytes + buffered.body.len() as u64 + HEADER_OVERHEAD_BYTES;
            shell.with_state(|state, now| {
                state.router.finish_request(&admitted, &attempt.target, status, bytes, now);
            });
            return caller_response(response);
        }
    }
}

/// Makes an attempt and returns its response if that goes to the caller.
async fn make_attempt(
    shell: &EntryShell,
    admitted: &mut AdmittedRequest,
    attempt: &TargetAttempt,
    buffered: &BufferedRequest,
) -> Option<TargetResponse> {
    let id = admitted.id.clone();
    let is_last = !admitted.may_retry();
    let started = shell.now();
    let guard =
        AttemptGuard { shell, admitted, target: &attempt.target, started, in_progress: true };
    let exchange = exchange(shell, attempt, buffered, &id);
    let (result, response) = match timeout(attempt.time_left, exchange).await {
        Ok((result, response)) => (result, response),
        Err(_) => (AttemptResult::TimedOut, None),
    };
    guard.finish(result);
    let AttemptResult::Answered { status, .. } = result else { return None };
    // A server error of the target goes to the caller only if the request can't be retried.
    let is_final = status < 500 || is_last;
    response.filter(|_| is_final)
}

/// Sends the request of an attempt to its target and reads the response.
async fn exchange(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    buffered: &BufferedRequest,
    id: &str,
) -> (AttemptResult, Option<TargetResponse>) {
    let request = build_request(attempt, buffered);
    let (head, mut connection) = match shell.pool.send(attempt, request).await {
        SendResult::Head(head, connection) => (head, connection),
        SendResult::NotSent => return (AttemptResult::NotSent, None),
        SendResult::Interrupted { reused: true } => return (AttemptResult::ConnectionClosed, None),
        SendResult::Interrupted { reused: false } => return (AttemptResult::Interrupted, None),
    };
    if let Some(connect_time) = connection.take_connect_time() {
        shell
            .with_state(|state, _| state.router.record_connect_time(&attempt.target, connect_time));
    }
    let (parts, body) = head.into_parts();
    let reusable = buffered.body.len() <= REUSE_REQUEST_BYTES_MAX;
    match headers::classify_response(parts.status, &parts.headers, id) {
        ResponseClass::Untrusted => (AttemptResult::Interrupted, None),
        ResponseClass::NotRun { load, replaced } => {
            // The head is enough to know that the request did not run; the body only decides
            // whether the connection can be reused.
            if let Ok(ResponseBody::Complete(_)) = read_body(body).await {
                return_connection(shell, attempt, connection, &parts, reusable && !replaced);
            }
            (AttemptResult::NotRun { load, replaced }, None)
        }
        ResponseClass::FromTarget { load, .. } => {
            let result = AttemptResult::Answered { status: parts.status.as_u16(), load };
            match read_response(shell, attempt, parts, body, connection, reusable).await {
                Some(response) => (result, Some(response)),
                None => (AttemptResult::Interrupted, None),
            }
        }
    }
}

async fn read_response(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    parts: Parts,
    body: Incoming,
    connection: TargetConnection,
    reusable: bool,
) -> Option<TargetResponse> {
    match read_body(body).await.ok()? {
        ResponseBody::Complete(bytes) => {
            return_connection(shell, attempt, connection, &parts, reusable);
            let buffered_bytes = bytes.len() as u64;
            Some(TargetResponse { parts, body: Body::from(bytes), buffered_bytes })
        }
        ResponseBody::Partial(beginning, rest) => {
            let buffered_bytes = beginning.len() as u64;
            let body = stream_body(beginning, rest, connection);
            Some(TargetResponse { parts, body, buffered_bytes })
        }
    }
}

/// Returns a connection to the pool unless it can't be reused or the target closes it.
fn return_connection(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    connection: TargetConnection,
    parts: &Parts,
    reusable: bool,
) {
    let options = parts.headers.get_all(header::CONNECTION).iter();
    let options = options.filter_map(|value| value.to_str().ok());
    let options = options.flat_map(|value| value.split(','));
    if !reusable || options.into_iter().any(|option| option.trim().eq_ignore_ascii_case("close")) {
        return;
    }
    shell.pool.put_back(&attempt.target, connection, idle_timeout(&parts.headers));
}

/// Returns the idle timeout of the `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

fn build_request(
    attempt: &TargetAttempt,
    buffered: &BufferedRequest,
) -> hyper::Request<Full<Bytes>> {
    let mut request = hyper::Request::new(Full::new(buffered.body.clone()));
    *request.method_mut() = buffered.method.clone();
    *request.uri_mut() = buffered.uri.clone();
    *request.headers_mut() =
        headers::for_target(&buffered.headers, &attempt.target, attempt.time_left);
    request
}

fn caller_response(response: TargetResponse) -> Response {
    let TargetResponse { parts, body, .. } = response;
    // Callers take these statuses as a promise that the request did not run. Only a target's
    // explicit header gives that promise, and without it the request may have run.
    let implies_not_run = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    if implies_not_run {
        return StatusCode::BAD_GATEWAY.into();
    }
    let mut response = Response::default();
    response.set_status(parts.status);
    *response.headers_mut() = headers::for_caller(&parts.headers);
    response.set_body(body);
    response
}

fn refusal_response(refusal: RequestRefusal) -> Response {
    let status = match refusal.reason {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        RefusalReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::NoTable
        | RefusalReason::NoCapacity
        | RefusalReason::LinkSaturated
        | RefusalReason::NoTarget
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::from(status);
    if let Some(delay) = refusal.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
