/*!
Forwarding of a request: carries out the reducer's actions until the request has its one response.
*/

use {
    super::{
        attempt::{AttemptOutcome, ResponseHead, limit_body, make_attempt, response_stream},
        request::ProxiedRequest,
        response::{
            MonitoredStream, RequestGuard, completed_response, refusal_response, replayed_response,
        },
    },
    crate::{link_stream::rate_limited, shell::NodeShell},
    bytes::Bytes,
    hemlockspool_core::{
        ledger::{StoredResponse, claims::STORED_RESPONSE_BYTES_MAX},
        reducer::NodeEvent,
        requests::{AttemptResult, DispatchAttempt, RequestAction, RequestEvent, RequestId},
    },
    hemlockspool_model::api::{RefusalReason, RefusalResponse, RunOutcome},
    hemlockspool_serve::ResponseDeadline,
    poem::{Body, Request, Response, http::header},
    reqwest::Response as ClientResponse,
    std::sync::Arc,
    tokio::{sync::mpsc::UnboundedReceiver, time::Instant},
};

/// The retry delay in refusals that the reducer didn't decide, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Forwards a request and returns its response.
pub(crate) async fn forward(shell: Arc<NodeShell>, request: Request) -> Response {
    let started = Instant::now();
    let proxied = match ProxiedRequest::read(&shell, request, started).await {
        Ok(proxied) => proxied,
        Err(reason) => return refusal_response(&shell, &not_run_refusal(reason)),
    };
    let response = if proxied.at_most_once {
        // Runs in its own task, so that its outcome is recorded even if the caller goes away. Only
        // the body of a streamed response is sent outside of the task and ends with the caller.
        let processing = tokio::spawn(process_request(Arc::clone(&shell), proxied));
        processing.await.unwrap_or_else(|_| {
            refusal_response(&shell, &unknown_refusal(RefusalReason::AttemptFailed))
        })
    } else {
        process_request(Arc::clone(&shell), proxied).await
    };
    shell.metrics.request_seconds.observe(started.elapsed().as_secs_f64());
    response
}

async fn process_request(shell: Arc<NodeShell>, mut proxied: ProxiedRequest) -> Response {
    let (id, mut actions) = shell.open_request();
    let guard = RequestGuard { shell: Arc::clone(&shell), id };
    let incoming = Box::new(proxied.to_incoming(id));
    shell.apply(NodeEvent::Request(RequestEvent::Arrived(incoming)));
    match execute_actions(&shell, &mut proxied, id, &mut actions).await {
        ForwardResult::Final(response) => response,
        ForwardResult::Complete { head, body } => {
            completed_response(&shell, head, Body::from(body))
        }
        ForwardResult::Streaming { head, response, attempt, deadline } => {
            let mut response = stream_response(&shell, &proxied, guard, head, response, attempt);
            response.extensions_mut().insert(ResponseDeadline::at(deadline));
            response
        }
    }
}

/// The response to a request, as far as it has been read.
enum ForwardResult {
    /// A refusal, or the stored response of an earlier run.
    Final(Response),
    /// The complete response to a request that ran.
    Complete { head: ResponseHead, body: Bytes },
    /// A response whose body is still to be streamed.
    Streaming { head: ResponseHead, response: ClientResponse, attempt: u32, deadline: Instant },
}

async fn execute_actions(
    shell: &Arc<NodeShell>,
    proxied: &mut ProxiedRequest,
    id: RequestId,
    actions: &mut UnboundedReceiver<RequestAction>,
) -> ForwardResult {
    loop {
        let dispatch = match actions.recv().await {
            None => {
                return ForwardResult::Final(refusal_response(
                    shell,
                    &unknown_refusal(RefusalReason::AttemptFailed),
                ));
            }
            Some(RequestAction::Refuse(refusal)) => {
                return ForwardResult::Final(refusal_response(shell, &refusal));
            }
            Some(RequestAction::Replay(stored)) => {
                return ForwardResult::Final(replayed_response(shell, stored));
            }
            Some(RequestAction::Dispatch(dispatch)) => dispatch,
        };
        let attempt_number = dispatch.attempt;
        let deadline = Instant::now() + dispatch.time_left;
        match make_attempt(shell, proxied, &dispatch).await {
            AttemptOutcome::Ended(result) => {
                if let Some(reason) = proxied.body_progress.caller_fault(&result) {
                    // The destination isn't to blame, so no result is reported: the request is
                    // closed as if its caller had gone away.
                    let refusal = unknown_refusal(reason);
                    return ForwardResult::Final(refusal_response(shell, &refusal));
                }
                report_result(shell, id, &dispatch, result);
            }
            AttemptOutcome::Complete { head, body } => {
                let stored = proxied.at_most_once.then(|| stored_response(&head, Some(&body)));
                let result = AttemptResult::Answered { response: stored, latency: head.latency };
                report_result(shell, id, &dispatch, result);
                return ForwardResult::Complete { head, body };
            }
            AttemptOutcome::TooLarge { head } => {
                let stored = proxied.at_most_once.then(|| stored_response(&head, None));
                let result = AttemptResult::Answered { response: stored, latency: head.latency };
                report_result(shell, id, &dispatch, result);
                return ForwardResult::Final(refusal_response(shell, &too_large_refusal()));
            }
            AttemptOutcome::Streaming { head, response } => {
                let attempt = attempt_number;
                return ForwardResult::Streaming { head, response, attempt, deadline };
            }
        }
    }
}

fn report_result(
    shell: &Arc<NodeShell>,
    id: RequestId,
    dispatch: &DispatchAttempt,
    result: AttemptResult,
) {
    let attempt = dispatch.attempt;
    let event = RequestEvent::AttemptEnded { id, attempt, result };
    shell.apply(NodeEvent::Request(event));
}

fn stream_response(
    shell: &Arc<NodeShell>,
    proxied: &ProxiedRequest,
    guard: RequestGuard,
    head: ResponseHead,
    response: ClientResponse,
    attempt: u32,
) -> Response {
    let stored = proxied.at_most_once.then(|| stored_response(&head, None));
    let result_at_end = Some(AttemptResult::Answered { response: stored, latency: head.latency });
    let monitor = |guard| MonitoredStream {
        inner: Box::pin(response_stream(response)),
        guard,
        attempt,
        bytes_left: head.size,
        result_at_end,
    };
    let own_region =
        shell.read(|state, _| state.config().set().region_of(&state.identity().domain).cloned());
    let remote_region =
        proxied.forwarded_from.clone().filter(|region| Some(region) != own_region.as_ref());
    let body = match remote_region {
        Some(region) => {
            let stream = limit_body(monitor(guard), proxied.response_bytes_max);
            Body::from_bytes_stream(rate_limited(stream, Arc::clone(shell), region))
        }
        None => Body::from_bytes_stream(limit_body(monitor(guard), proxied.response_bytes_max)),
    };
    completed_response(shell, head, body)
}

fn stored_response(head: &ResponseHead, body: Option<&Bytes>) -> StoredResponse {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let small = body.filter(|body| body.len() <= STORED_RESPONSE_BYTES_MAX);
    StoredResponse {
        status: head.status.as_u16(),
        content_type,
        body: small.map(|body| body.to_vec()),
    }
}

fn not_run_refusal(reason: RefusalReason) -> RefusalResponse {
    RefusalResponse { reason, outcome: RunOutcome::NotRun, retry_after_ms: RETRY_AFTER_MS }
}

fn too_large_refusal() -> RefusalResponse {
    let (reason, outcome) = (RefusalReason::AnswerTooLarge, RunOutcome::Ran);
    RefusalResponse { reason, outcome, retry_after_ms: RETRY_AFTER_MS }
}

fn unknown_refusal(reason: RefusalReason) -> RefusalResponse {
    RefusalResponse { reason, outcome: RunOutcome::Unknown, retry_after_ms: RETRY_AFTER_MS }
}
