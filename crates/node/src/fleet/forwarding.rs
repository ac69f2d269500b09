/*!
Forwarding of callers' requests to targets at an entry.

The router makes the decisions and this module carries them out: it reads a request, makes the
attempts that the router chooses, and responds. If the caller goes away, the handler is dropped, and
with it the connection to the target, which cancels the request there.
*/

use {
    super::{
        caller_request::CallerRequest,
        connection_pool::{SendResult, TargetConnection},
        entry_shell::EntryShell,
        peer_forwarding,
        request_body::{BodyLimits, RequestBody},
        response_body::{ResponseBody, read_body, stream_body},
        time_limits,
    },
    bytes::Bytes,
    hemlockspool_core::{
        clock::Moment,
        traffic::{
            body_budget::KEPT_BODY_BYTES_MAX,
            fingerprint::RequestFingerprint,
            request::{
                AdmittedRequest, AttemptResult, DispatchDecision, RefusalReason, RequestHead,
                RequestRefusal, TargetAttempt, TransferredBytes,
            },
            request_time::TimeLimit,
        },
    },
    hemlockspool_model::names::TargetName,
    hemlockspool_platform::headers::{self, ResponseClass},
    http_body_util::combinators::BoxBody,
    hyper::body::{Body as _, Incoming},
    poem::{
        Body, Request, Response,
        http::{HeaderMap, HeaderValue, StatusCode, header, response::Parts},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        select,
        time::{Instant, timeout},
    },
};

/// The largest request body, in bytes, after which a connection is reused. A target that responds
/// before it has read a larger body may leave the rest of it unread on the connection.
const REUSE_REQUEST_BYTES_MAX: u64 = 16 << 10;

/// The time within which the body of a target's refusal must be complete for its connection to be
/// reused: it usually comes with the head, and the request waits for another target meanwhile.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(30);

/// The approximate number of bytes that the heads of a request and of its response take on a link,
/// together with the packet headers.
const HEADER_OVERHEAD_BYTES: u64 = 2 * HEAD_BYTES;
/// The same for one head.
const HEAD_BYTES: u64 = 450;

/// The memory reserved for the body of a request; released when dropped.
struct BodyMemory<'a> {
    shell: &'a EntryShell,
    bytes: u64,
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        self.shell.with_state(|state, _| state.router.release_body_memory(self.bytes));
    }
}

/// The instance to which an attempt sends a request.
#[derive(Clone, Copy)]
pub(super) enum AttemptPlace<'a> {
    /// A target.
    Target(&'a TargetName),
    /// Another entry, by the address at which it listens for callers.
    Peer(SocketAddr),
}

/// An attempt in progress. If dropped before its end, it is reported as cancelled.
pub(super) struct AttemptGuard<'a> {
    shell: &'a EntryShell,
    admitted: &'a mut AdmittedRequest,
    place: AttemptPlace<'a>,
    started: Moment,
    in_progress: bool,
}

impl<'a> AttemptGuard<'a> {
    /// Begins an attempt.
    pub(super) fn begin(
        shell: &'a EntryShell,
        admitted: &'a mut AdmittedRequest,
        place: AttemptPlace<'a>,
    ) -> Self {
        Self { shell, admitted, place, started: shell.now(), in_progress: true }
    }

    /// Sets what identifies the request across repeats.
    fn identify(&mut self, fingerprint: Option<RequestFingerprint>) {
        self.admitted.fingerprint = fingerprint;
    }

    /// Sets the end of the request's time, as far as it is known.
    pub(super) fn set_limit(&mut self, limit: TimeLimit) {
        self.admitted.limit = limit;
    }

    /// Reports the end of the attempt. `processing` is the time that the target took, if it
    /// answered.
    pub(super) fn finish(mut self, result: AttemptResult, processing: Option<Duration>) {
        self.report(result, processing);
    }

    fn report(&mut self, result: AttemptResult, processing: Option<Duration>) {
        self.in_progress = false;
        let (admitted, place, started) = (&mut *self.admitted, self.place, self.started);
        self.shell.with_state(|state, now| match place {
            AttemptPlace::Target(target) => {
                let elapsed = processing.unwrap_or_else(|| now.since(started));
                state.router.finish_attempt(admitted, target, result, elapsed, now);
            }
            AttemptPlace::Peer(peer) => state.router.finish_forwarding(admitted, peer, result),
        });
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.in_progress {
            self.report(AttemptResult::Cancelled, None);
        }
    }
}

/// A response of a target that can be forwarded to the caller.
pub(super) struct TargetResponse {
    pub parts: Parts,
    pub body: Body,
    /// The length of the buffered part of the body, in bytes.
    pub buffered_bytes: u64,
    /// Whether the rest of the body is still to come.
    pub is_streamed: bool,
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

async fn forward(shell: &Arc<EntryShell>, mut request: Request) -> Response {
    let incoming: BoxBody<Bytes, io::Error> = request.take_body().into();
    let expects_continue = request.headers().contains_key(header::EXPECT);
    let (limits, admitted) = {
        let id = headers::request_id(request.headers());
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let head = RequestHead {
            id,
            host: host.unwrap_or_default(),
            path: request.uri().path(),
            key: headers::affinity_key(request.headers()),
            timeout: headers::caller_timeout(request.headers()),
            body_bytes: incoming.size_hint().exact(),
            is_forwarded: headers::is_forwarded(request.headers()),
        };
        shell.with_state(|state, now| {
            let limits = BodyLimits {
                bytes_max: state.router.body_bytes_max(),
                kept_bytes_max: KEPT_BODY_BYTES_MAX,
                silence_max: state.router.body_silence_max(),
            };
            (limits, state.router.admit(&head, now))
        })
    };
    if shell.with_state(|state, _| state.router.has_link_delay()) {
        // The replies that come later show when it was sent.
        shell.links.sockets.look();
    }
    let link_turns = shell.link_turns.clone();
    let body = RequestBody::new(incoming, limits, expects_continue, link_turns);
    let result = match admitted {
        Ok(admitted) => {
            let caller = CallerRequest::new(&request, body.clone());
            let time = admitted.time;
            let result = forward_admitted(shell, admitted, &caller).await;
            result.map(|(response, limit)| (response, time, limit))
        }
        Err(refusal) => Err(refusal),
    };
    let buffered_bytes = result.as_ref().map_or(0, |(response, ..)| response.buffered_bytes);
    shell.link_turns.record_written(HEAD_BYTES + buffered_bytes);
    match result {
        // The target may read the body until the end of its response.
        Ok((response, time, limit)) if response.is_streamed => {
            let mut response = caller_response(response);
            let deadline = time_limits::response_deadline(shell, time, limit);
            response.extensions_mut().insert(deadline);
            response
        }
        Ok((response, ..)) => {
            body.discard_rest();
            caller_response(response)
        }
        Err(refusal) => {
            body.discard_rest();
            refusal_response(refusal)
        }
    }
}

/// Makes attempts until one has a response for the caller, and returns that with the end of the
/// request's time.
///
/// # Errors
///
/// The refusal, if the request ends without a response from a target.
async fn forward_admitted(
    shell: &EntryShell,
    mut admitted: AdmittedRequest,
    caller: &CallerRequest,
) -> Result<(TargetResponse, TimeLimit), RequestRefusal> {
    let _memory = BodyMemory { shell, bytes: admitted.body_memory };
    loop {
        admitted.body_consumed = caller.body.is_consumed();
        caller.identify_suspect(shell, &mut admitted).await;
        let decision = shell.with_state(|state, now| state.router.dispatch(&mut admitted, now));
        let response = match &decision {
            DispatchDecision::Send(attempt) => {
                make_attempt(shell, &mut admitted, attempt, caller).await
            }
            DispatchDecision::Forward(attempt) => {
                peer_forwarding::make_attempt(shell, &mut admitted, attempt, caller).await
            }
            DispatchDecision::Refuse(refusal) => return Err(*refusal),
        };
        if let Some(response) = response {
            let status = response.parts.status.as_u16();
            let bytes = TransferredBytes {
                body: caller.body.received_bytes(),
                response: response.buffered_bytes + HEADER_OVERHEAD_BYTES,
            };
            shell.with_state(|state, now| {
                let router = &mut state.router;
                match &decision {
                    DispatchDecision::Forward(attempt) => {
                        let peer = attempt.address;
                        router.finish_forwarded_request(&admitted, peer, status, bytes, now);
                    }
                    DispatchDecision::Send(attempt) => {
                        router.finish_request(&admitted, &attempt.target, status, bytes, now);
                    }
                    DispatchDecision::Refuse(_) => {}
                }
            });
            return Ok((response, admitted.limit));
        }
        if let Some(reason) = caller.body.failure() {
            return Err(
                shell.with_state(|state, now| state.router.refuse_body(&admitted, reason, now))
            );
        }
    }
}

/// Makes an attempt and returns its response if that goes to the caller.
async fn make_attempt(
    shell: &EntryShell,
    admitted: &mut AdmittedRequest,
    attempt: &TargetAttempt,
    caller: &CallerRequest,
) -> Option<TargetResponse> {
    let (id, time, mut limit) = (admitted.id.clone(), admitted.time, admitted.limit);
    let is_last = !admitted.may_retry();
    let mut guard = AttemptGuard::begin(shell, admitted, AttemptPlace::Target(&attempt.target));
    let exchange = exchange(shell, attempt, caller, &id);
    let outcome = select! {
        // A response that is there goes to the caller.
        biased;
        outcome = exchange => outcome,
        () = time_limits::time_over(shell, time, &mut limit) => AttemptResult::TimedOut.into(),
    };
    guard.set_limit(limit);
    let AttemptOutcome { result, response, processing, connect_time } =
        outcome.blame_body(&caller.body);
    guard.admitted.record_connect_time(connect_time);
    if result.is_broken() {
        guard.identify(caller.fingerprint());
    }
    guard.finish(result, processing);
    let AttemptResult::Answered { status, .. } = result else { return None };
    // A server error of the target goes to the caller only if the request can't be retried.
    let is_final = status < 500 || is_last || caller.body.is_consumed();
    response.filter(|_| is_final)
}

/// The outcome of an attempt.
pub(super) struct AttemptOutcome {
    pub result: AttemptResult,
    /// The response that can be forwarded, if any.
    pub response: Option<TargetResponse>,
    /// The time from when the target had the whole request to the head of its response.
    pub processing: Option<Duration>,
    /// The time that it took to connect; zero on a connection that was there before.
    pub connect_time: Duration,
}

impl AttemptOutcome {
    /// Returns this outcome, or that of a failed body if the connection broke because of the
    /// caller's body.
    pub(super) fn blame_body(mut self, body: &RequestBody) -> Self {
        let is_broken =
            matches!(self.result, AttemptResult::Interrupted | AttemptResult::ConnectionClosed);
        if is_broken && body.failure().is_some() {
            self.result = AttemptResult::BodyFailed;
        }
        self
    }
}

impl From<AttemptResult> for AttemptOutcome {
    fn from(result: AttemptResult) -> Self {
        Self { result, response: None, processing: None, connect_time: Duration::ZERO }
    }
}

/// Sends the request of an attempt to its target and reads the response.
async fn exchange(
    shell: &EntryShell,
    attempt: &TargetAttempt,
    caller: &CallerRequest,
    id: &str,
) -> AttemptOutcome {
    let headers = headers::for_target(&caller.headers, &attempt.target, attempt.time_left);
    let request = caller.for_attempt(headers);
    shell.link_turns.record_written(HEAD_BYTES);
    let mut sent_at = Instant::now();
    let (head, mut connection) = match shell.pool.send(attempt, request).await {
        SendResult::Head(head, connection) => (head, connection),
        SendResult::NotSent => return AttemptResult::NotSent.into(),
        SendResult::Interrupted { reused: true } => return AttemptResult::ConnectionClosed.into(),
        SendResult::Interrupted { reused: false } => return AttemptResult::Interrupted.into(),
    };
    let new_connect_time = connection.take_connect_time();
    let connect_time = new_connect_time.unwrap_or_default();
    if let Some(connect_time) = new_connect_time {
        sent_at += connect_time;
        if attempt.bridge.is_none() {
            shell.with_state(|state, now| {
                state.router.record_connect_time(&attempt.target, connect_time, now);
            });
        }
    }
    let whole_request_at = caller.body.sent_at().map_or(sent_at, |at| at.max(sent_at));
    let processing = whole_request_at.elapsed();
    shell.record_exchange(sent_at);
    let (parts, body) = head.into_parts();
    let class = match headers::classify_response(parts.status, &parts.headers, id) {
        // It may be the repeated response to an earlier request.
        ResponseClass::NotRun { .. }
            if connection.is_reused() && !headers::names_request(&parts.headers) =>
        {
            ResponseClass::Untrusted
        }
        class => class,
    };
    if class.is_from_target() {
        let notice = headers::target_notice(parts.status, &parts.headers);
        shell.with_state(|state, now| state.router.record_notice(&attempt.target, notice, now));
    }
    match class {
        ResponseClass::Untrusted => AttemptResult::Interrupted.into(),
        ResponseClass::NotRun { load, replaced } => {
            // The head is enough to know that the request did not run; the body only decides
            // whether the connection can be reused.
            let reading =
                timeout(REFUSAL_BODY_TIMEOUT, read_body(body, &shell.response_memory)).await;
            if let Ok(Ok(ResponseBody::Complete(_))) = reading {
                let reusable = !replaced && allows_reuse(&caller.body);
                return_connection(shell, attempt, connection, &parts, reusable);
            }
            AttemptResult::NotRun { load, replaced }.into()
        }
        ResponseClass::FromTarget { load, .. } => {
            let result = AttemptResult::Answered { status: parts.status.as_u16(), load };
            match read_response(shell, attempt, parts, body, connection, &caller.body).await {
                Some(response) => AttemptOutcome {
                    result,
                    response: Some(response),
                    processing: Some(processing),
                    connect_time,
                },
                None => AttemptResult::Interrupted.into(),
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
    request_body: &RequestBody,
) -> Option<TargetResponse> {
    match read_body(body, &shell.response_memory).await.ok()? {
        ResponseBody::Complete(bytes) => {
            return_connection(shell, attempt, connection, &parts, allows_reuse(request_body));
            let buffered_bytes = bytes.len() as u64;
            let body = Body::from(bytes);
            Some(TargetResponse { parts, body, buffered_bytes, is_streamed: false })
        }
        ResponseBody::Partial(beginning, rest) => {
            let buffered_bytes = beginning.len() as u64;
            let body = stream_body(beginning, rest, connection, request_body);
            Some(TargetResponse { parts, body, buffered_bytes, is_streamed: true })
        }
    }
}

/// Returns whether a connection may carry another request after this body.
fn allows_reuse(body: &RequestBody) -> bool {
    body.is_complete() && body.received_bytes() <= REUSE_REQUEST_BYTES_MAX
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
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        // 408 would promise that the request did not run, but a target may run it before it has
        // received the whole body.
        RefusalReason::BodyStalled | RefusalReason::BodyIncomplete => StatusCode::BAD_REQUEST,
        RefusalReason::NoTable
        | RefusalReason::BodyMemory
        | RefusalReason::NoCapacity
        | RefusalReason::LinkSaturated
        | RefusalReason::NoTarget
        | RefusalReason::Quarantined
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
