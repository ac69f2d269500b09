/*!
Callers' requests at an entry.

The desk decides; this module carries out: it reads the request, makes the attempts that the desk
orders, and answers. When the caller goes, the handler is dropped, and with it the connection to the
target, which ends the work there.
*/

use {
    super::{
        answer_body::{ReadBody, read_body, stream_body},
        entry_shell::EntryShell,
        target_pool::{SendEnd, TargetConnection},
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

/// The largest request body that is held.
const REQUEST_BYTES_MAX: usize = 64 << 20;
/// The largest request body after which a connection to a target is kept: a target that answers
/// before it has read a longer one may leave the rest of it on the connection.
const KEEP_AFTER_BYTES: usize = 16 << 10;

/// About what the heads of a request and its answer, and the packets around them, take on a link.
const HEAD_BYTES: u64 = 900;

/// A request as targets get it.
struct CarriedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// An attempt that is under way; dropped before its end, it counts as cancelled.
struct AttemptGuard<'a> {
    shell: &'a EntryShell,
    admitted: &'a mut AdmittedRequest,
    target: &'a TargetName,
    began: Moment,
    open: bool,
}

impl AttemptGuard<'_> {
    fn end(mut self, end: AttemptResult) {
        self.account(end);
    }

    fn account(&mut self, end: AttemptResult) {
        self.open = false;
        let (admitted, target, began) = (&mut *self.admitted, self.target, self.began);
        self.shell.decide(|state, now| {
            state.router.finish_attempt(admitted, target, end, now.since(began), now)
        });
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            self.account(AttemptResult::Cancelled);
        }
    }
}

/// An answer that can be passed on.
struct TargetAnswer {
    parts: Parts,
    body: Body,
    /// The bytes of the body that were read so far.
    held_bytes: u64,
}

/// Serves a caller's request.
pub(crate) async fn serve(shell: Arc<EntryShell>, request: Request) -> Response {
    let began = shell.now();
    let mut response = carry(&shell, request).await;
    let took = shell.now().since(began);
    shell.metrics.request_seconds.observe(took.as_secs_f64());
    if shell.decide(|state, _| state.is_stopping()) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn carry(shell: &EntryShell, mut request: Request) -> Response {
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
        shell.decide(|state, now| state.router.admit(&head, now))
    };
    let mut admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(refusal),
    };
    let left = admitted.deadline.since(shell.now());
    let body = match timeout(left, body.into_bytes_limit(REQUEST_BYTES_MAX)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return StatusCode::PAYLOAD_TOO_LARGE.into(),
        Err(_) => return StatusCode::REQUEST_TIMEOUT.into(),
    };
    let uri = request.uri().path_and_query().map(|path| Uri::from(path.clone()));
    let carried = CarriedRequest {
        method: request.method().clone(),
        uri: uri.unwrap_or_default(),
        headers: request.headers().clone(),
        body,
    };
    loop {
        let attempt = match shell.decide(|state, now| state.router.dispatch(&mut admitted, now)) {
            DispatchDecision::Send(attempt) => attempt,
            DispatchDecision::Refuse(refusal) => return refused(refusal),
        };
        if let Some(answer) = make_attempt(shell, &mut admitted, &attempt, &carried).await {
            let status = answer.parts.status.as_u16();
            let bytes = answer.held_bytes + carried.body.len() as u64 + HEAD_BYTES;
            shell.decide(|state, now| {
                state.router.finish_request(&admitted, &attempt.target, status, bytes, now);
            });
            return passed_on(answer);
        }
    }
}

/// Makes an attempt; returns the answer if it is the one for the caller.
async fn make_attempt(
    shell: &EntryShell,
    admitted: &mut AdmittedRequest,
    attempt: &TargetAttempt,
    carried: &CarriedRequest,
) -> Option<TargetAnswer> {
    let id = admitted.id.clone();
    let last = !admitted.may_retry();
    let began = shell.now();
    let guard = AttemptGuard { shell, admitted, target: &attempt.target, began, open: true };
    let exchange = exchange(shell, attempt, carried, &id);
    let (end, answer) = match timeout(attempt.time_left, exchange).await {
        Ok((end, answer)) => (end, answer),
        Err(_) => (AttemptResult::TimedOut, None),
    };
    guard.end(end);
    let AttemptResult::Answered { status, .. } = end else { return None };
    // A failure of the target's own goes to the caller unless the request can be tried elsewhere.
    let final_answer = status < 500 || last;
    answer.filter(|_| final_answer)
}

async fn exchange(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    carried: &CarriedRequest,
    id: &str,
) -> (AttemptResult, Option<TargetAnswer>) {
    let request = target_request(attempt, carried);
    let (head, mut connection) = match shell.pool.send(attempt, request).await {
        SendEnd::Head(head, connection) => (head, connection),
        SendEnd::NotSent => return (AttemptResult::NotSent, None),
        SendEnd::Broken { kept: true } => return (AttemptResult::ConnectionClosed, None),
        SendEnd::Broken { kept: false } => return (AttemptResult::Interrupted, None),
    };
    if let Some(made_in) = connection.take_made_in() {
        shell.decide(|state, _| state.router.record_connect_time(&attempt.target, made_in));
    }
    let (parts, body) = head.into_parts();
    let keeps = carried.body.len() <= KEEP_AFTER_BYTES;
    match headers::classify_response(parts.status, &parts.headers, id) {
        ResponseClass::Untrusted => (AttemptResult::Interrupted, None),
        ResponseClass::NotRun { load, replaced } => {
            // The promise stands in the head; the body only decides whether the connection is kept.
            if let Ok(ReadBody::Whole(_)) = read_body(body).await {
                keep(shell, attempt, connection, &parts, keeps && !replaced);
            }
            (AttemptResult::NotRun { load, replaced }, None)
        }
        ResponseClass::FromTarget { load, .. } => {
            let end = AttemptResult::Answered { status: parts.status.as_u16(), load };
            match read_answer(shell, attempt, parts, body, connection, keeps).await {
                Some(answer) => (end, Some(answer)),
                None => (AttemptResult::Interrupted, None),
            }
        }
    }
}

async fn read_answer(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    parts: Parts,
    body: Incoming,
    connection: TargetConnection,
    keeps: bool,
) -> Option<TargetAnswer> {
    match read_body(body).await.ok()? {
        ReadBody::Whole(bytes) => {
            keep(shell, attempt, connection, &parts, keeps);
            let held_bytes = bytes.len() as u64;
            Some(TargetAnswer { parts, body: Body::from(bytes), held_bytes })
        }
        ReadBody::Begun(begun, rest) => {
            let held_bytes = begun.len() as u64;
            let body = stream_body(begun, rest, connection);
            Some(TargetAnswer { parts, body, held_bytes })
        }
    }
}

fn keep(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    connection: TargetConnection,
    parts: &Parts,
    keeps: bool,
) {
    let closes = parts.headers.get_all(header::CONNECTION).iter();
    let closes = closes.filter_map(|value| value.to_str().ok());
    let closes = closes.flat_map(|value| value.split(','));
    if !keeps || closes.into_iter().any(|word| word.trim().eq_ignore_ascii_case("close")) {
        return;
    }
    shell.pool.keep(&attempt.target, connection, idle_timeout(&parts.headers));
}

/// Reads the idle timeout of a `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

fn target_request(
    attempt: &TargetAttempt,
    carried: &CarriedRequest,
) -> hyper::Request<Full<Bytes>> {
    let mut request = hyper::Request::new(Full::new(carried.body.clone()));
    *request.method_mut() = carried.method.clone();
    *request.uri_mut() = carried.uri.clone();
    *request.headers_mut() =
        headers::for_target(&carried.headers, &attempt.target, attempt.time_left);
    request
}

fn passed_on(answer: TargetAnswer) -> Response {
    let TargetAnswer { parts, body, .. } = answer;
    // Only a target that says so hasn't run a request; these statuses would promise that it hasn't.
    let promises = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    if promises {
        return StatusCode::BAD_GATEWAY.into();
    }
    let mut response = Response::default();
    response.set_status(parts.status);
    *response.headers_mut() = headers::for_caller(&parts.headers);
    response.set_body(body);
    response
}

fn refused(refusal: RequestRefusal) -> Response {
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
    if let Some(span) = refusal.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64()))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
