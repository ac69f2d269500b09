/*!
Attempts through another entry, made while this one is cut off from targets.

The other entry serves the request like one of its own callers'. A new connection is used for each
attempt, since another entry's idle connections say nothing about whether it still takes requests.
*/

use {
    super::{
        caller_request::CallerRequest,
        connection_pool::{SendResult, TargetConnection},
        entry_shell::EntryShell,
        forwarding::{AttemptGuard, AttemptOutcome, AttemptPlace, TargetResponse},
        request_body::RequestBody,
        response_body::{ResponseBody, read_body, stream_body},
        time_limits,
    },
    hemlockspool_core::traffic::request::{AdmittedRequest, AttemptResult, PeerAttempt},
    hemlockspool_platform::headers::{self, ResponseClass},
    hyper::{body::Incoming, http::response::Parts},
    poem::Body,
    tokio::select,
};

/// Forwards a request to another entry and returns the response if that goes to the caller.
pub(super) async fn make_attempt(
    shell: &EntryShell,
    admitted: &mut AdmittedRequest,
    attempt: &PeerAttempt,
    caller: &CallerRequest,
) -> Option<TargetResponse> {
    let (id, time, mut limit) = (admitted.id.clone(), admitted.time, admitted.limit);
    let mut guard = AttemptGuard::begin(shell, admitted, AttemptPlace::Peer(attempt.address));
    let exchange = exchange(shell, attempt, caller, &id);
    let outcome = select! {
        // A response that is there goes to the caller.
        biased;
        outcome = exchange => outcome,
        () = time_limits::time_over(shell, time, &mut limit) => AttemptResult::TimedOut.into(),
    };
    guard.set_limit(limit);
    let AttemptOutcome { result, response, .. } = outcome.blame_body(&caller.body);
    guard.finish(result, None);
    response
}

async fn exchange(
    shell: &EntryShell,
    attempt: &PeerAttempt,
    caller: &CallerRequest,
    id: &str,
) -> AttemptOutcome {
    let headers = headers::for_peer(&caller.headers, attempt.time_left);
    let request = caller.for_peer_attempt(headers).await;
    let sent = shell.pool.send_new(attempt.address, attempt.connect_timeout, request).await;
    let (head, connection) = match sent {
        SendResult::Head(head, connection) => (head, connection),
        SendResult::NotSent => return AttemptResult::NotSent.into(),
        SendResult::Interrupted { .. } => return AttemptResult::Interrupted.into(),
    };
    let (parts, body) = head.into_parts();
    match headers::classify_peer_response(parts.status, &parts.headers, id) {
        ResponseClass::Untrusted => AttemptResult::Interrupted.into(),
        ResponseClass::NotRun { load, replaced } => AttemptResult::NotRun { load, replaced }.into(),
        ResponseClass::FromTarget { .. } => {
            let status = parts.status.as_u16();
            match read_response(shell, parts, body, connection, &caller.body).await {
                Some(response) => AttemptOutcome {
                    response: Some(response),
                    ..AttemptResult::Answered { status, load: None }.into()
                },
                None => AttemptResult::Interrupted.into(),
            }
        }
    }
}

async fn read_response(
    shell: &EntryShell,
    parts: Parts,
    body: Incoming,
    connection: TargetConnection,
    request_body: &RequestBody,
) -> Option<TargetResponse> {
    Some(match read_body(body, &shell.response_memory).await.ok()? {
        ResponseBody::Complete(bytes) => TargetResponse {
            parts,
            buffered_bytes: bytes.len() as u64,
            body: Body::from(bytes),
            is_streamed: false,
        },
        ResponseBody::Partial(beginning, rest) => TargetResponse {
            parts,
            buffered_bytes: beginning.len() as u64,
            body: stream_body(beginning, rest, connection, request_body),
            is_streamed: true,
        },
    })
}
