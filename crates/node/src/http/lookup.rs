/*!
Look-ups, and whether this instance can serve them.
*/

use {
    crate::shell::NodeShell,
    hemlockspool_model::api::{RefusalReason, RefusalResponse, RunOutcome},
    poem::{
        IntoResponse, Request, Response, handler,
        http::{StatusCode, header},
        web::{Data, Json},
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
    },
};

/// When to come back while no configuration is in force, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Answers which entries to use, for the asking address or the one in `?caller=`.
#[handler]
pub(super) fn lookup(shell: Data<&Arc<NodeShell>>, request: &Request) -> Response {
    let asked = request.uri().query().and_then(caller_of);
    let remote = request.remote_addr().as_socket_addr().map(|address| address.ip());
    let caller = asked.or(remote).unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    match shell.read(|state, now| state.lookup(caller, now)) {
        Some(answer) => Json(answer).into_response(),
        None => unavailable(),
    }
}

fn caller_of(query: &str) -> Option<IpAddr> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut callers = pairs.filter(|(name, _)| *name == "caller");
    callers.next().and_then(|(_, value)| value.parse().ok())
}

fn unavailable() -> Response {
    let body = RefusalResponse {
        reason: RefusalReason::NoConfiguration,
        outcome: RunOutcome::NotRun,
        retry_after_ms: RETRY_AFTER_MS,
    };
    let response = Json(body).with_status(StatusCode::SERVICE_UNAVAILABLE);
    response.with_header(header::RETRY_AFTER, "1").into_response()
}

/// Says that the process is alive.
#[handler]
pub(super) fn healthz() -> StatusCode {
    StatusCode::OK
}

/// Says whether the instance should get callers.
#[handler]
pub(super) fn readyz(shell: Data<&Arc<NodeShell>>) -> StatusCode {
    let ready = shell.read(|state, now| {
        let has_part = state.peers().share(now).agreed_rank.is_some();
        state.config().version().is_some() && has_part && !state.peers().leaving()
    });
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
