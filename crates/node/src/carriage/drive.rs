/*!
Doing what the reducer orders until a request has its one answer.
*/

use {
    super::{
        answer::{RequestGuard, WatchedStream, ran, refused, replayed},
        attempt::{AnswerHead, AttemptOutcome, answer_stream, attempt, capped},
        intake::CarriedRequest,
    },
    crate::{link_stream::rate_limited, shell::NodeShell},
    bytes::Bytes,
    hemlockspool_core::{
        ledger::{StoredResponse, claims::STORED_RESPONSE_BYTES_MAX},
        reducer::NodeEvent,
        requests::{AttemptResult, DispatchAttempt, RequestAction, RequestEvent, RequestId},
    },
    hemlockspool_model::api::{RefusalReason, RefusalResponse, RunOutcome},
    poem::{Body, Request, Response, http::header},
    reqwest::Response as ClientResponse,
    std::sync::Arc,
    tokio::{sync::mpsc::UnboundedReceiver, time::Instant},
};

/// When to come back after a refusal that the reducer had no part in, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Carries one request from its arrival to its answer.
pub(crate) async fn carry(shell: Arc<NodeShell>, request: Request) -> Response {
    let arrived = Instant::now();
    let carried = match CarriedRequest::read(&shell, request).await {
        Ok(carried) => carried,
        Err(reason) => return refused(&shell, &not_run(reason)),
    };
    let response = if carried.never_repeated {
        // It goes on when the caller goes away, so that its outcome is recorded.
        let driving = tokio::spawn(drive(Arc::clone(&shell), carried));
        driving.await.unwrap_or_else(|_| refused(&shell, &unknown()))
    } else {
        drive(Arc::clone(&shell), carried).await
    };
    shell.metrics.request_seconds.observe(arrived.elapsed().as_secs_f64());
    response
}

async fn drive(shell: Arc<NodeShell>, mut carried: CarriedRequest) -> Response {
    let (id, mut actions) = shell.open_request();
    let guard = RequestGuard { shell: Arc::clone(&shell), id };
    let intake = Box::new(carried.intake(id));
    shell.apply(NodeEvent::Request(RequestEvent::Arrived(intake)));
    match follow(&shell, &mut carried, id, &mut actions).await {
        DriveEnd::Final(response) => response,
        DriveEnd::Whole { head, body } => ran(&shell, head, Body::from(body)),
        DriveEnd::Streaming { head, response, attempt } => {
            pass_on(&shell, &carried, guard, head, response, attempt)
        }
    }
}

/// How the orders for a request ended.
enum DriveEnd {
    Final(Response),
    Whole { head: AnswerHead, body: Bytes },
    Streaming { head: AnswerHead, response: ClientResponse, attempt: u32 },
}

async fn follow(
    shell: &Arc<NodeShell>,
    carried: &mut CarriedRequest,
    id: RequestId,
    actions: &mut UnboundedReceiver<RequestAction>,
) -> DriveEnd {
    loop {
        let dispatch = match actions.recv().await {
            None => return DriveEnd::Final(refused(shell, &unknown())),
            Some(RequestAction::Refuse(body)) => return DriveEnd::Final(refused(shell, &body)),
            Some(RequestAction::Replay(answer)) => return DriveEnd::Final(replayed(shell, answer)),
            Some(RequestAction::Dispatch(dispatch)) => dispatch,
        };
        let attempt_number = dispatch.attempt;
        match attempt(shell, carried, &dispatch).await {
            AttemptOutcome::Ended(result) => ended(shell, id, &dispatch, result),
            AttemptOutcome::Whole { head, body } => {
                let answer = carried.never_repeated.then(|| kept_answer(&head, Some(&body)));
                let result = AttemptResult::Answered { answer, latency: head.latency };
                ended(shell, id, &dispatch, result);
                return DriveEnd::Whole { head, body };
            }
            AttemptOutcome::TooLarge { head } => {
                let answer = carried.never_repeated.then(|| kept_answer(&head, None));
                let result = AttemptResult::Answered { answer, latency: head.latency };
                ended(shell, id, &dispatch, result);
                return DriveEnd::Final(refused(shell, &too_large()));
            }
            AttemptOutcome::Streaming { head, response } => {
                return DriveEnd::Streaming { head, response, attempt: attempt_number };
            }
        }
    }
}

fn ended(shell: &Arc<NodeShell>, id: RequestId, dispatch: &DispatchAttempt, result: AttemptResult) {
    let attempt = dispatch.attempt;
    let event = RequestEvent::AttemptEnded { id, attempt, result };
    shell.apply(NodeEvent::Request(event));
}

fn pass_on(
    shell: &Arc<NodeShell>,
    carried: &CarriedRequest,
    guard: RequestGuard,
    head: AnswerHead,
    response: ClientResponse,
    attempt: u32,
) -> Response {
    let answer = carried.never_repeated.then(|| kept_answer(&head, None));
    let whole = Some(AttemptResult::Answered { answer, latency: head.latency });
    let watch =
        |guard| WatchedStream { inner: Box::pin(answer_stream(response)), guard, attempt, whole };
    let own =
        shell.read(|state, _| state.config().set().region_of(&state.identity().domain).cloned());
    let far = carried.forwarded_from.clone().filter(|region| Some(region) != own.as_ref());
    let body = match far {
        Some(region) => {
            let stream = capped(watch(guard), carried.answer_bytes);
            Body::from_bytes_stream(rate_limited(stream, Arc::clone(shell), region))
        }
        None => Body::from_bytes_stream(capped(watch(guard), carried.answer_bytes)),
    };
    ran(shell, head, body)
}

fn kept_answer(head: &AnswerHead, body: Option<&Bytes>) -> StoredResponse {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let small = body.filter(|body| body.len() <= STORED_RESPONSE_BYTES_MAX);
    StoredResponse {
        status: head.status.as_u16(),
        content_type,
        body: small.map(|body| body.to_vec()),
    }
}

fn not_run(reason: RefusalReason) -> RefusalResponse {
    RefusalResponse { reason, outcome: RunOutcome::NotRun, retry_after_ms: RETRY_AFTER_MS }
}

fn too_large() -> RefusalResponse {
    let (reason, outcome) = (RefusalReason::AnswerTooLarge, RunOutcome::Ran);
    RefusalResponse { reason, outcome, retry_after_ms: RETRY_AFTER_MS }
}

fn unknown() -> RefusalResponse {
    let (reason, outcome) = (RefusalReason::AttemptFailed, RunOutcome::Unknown);
    RefusalResponse { reason, outcome, retry_after_ms: RETRY_AFTER_MS }
}
