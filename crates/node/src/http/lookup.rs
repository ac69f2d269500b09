/*!
Lookups, health and readiness.
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

/// The delay after which callers may retry while no configuration is in force, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Returns the entries that a caller should use. The caller's address is the one in `?caller=` if
/// it is valid, or else that of the sender.
#[handler]
pub(super) fn lookup(shell: Data<&Arc<NodeShell>>, request: &Request) -> Response {
    let requested = request.uri().query().and_then(caller_parameter);
    let remote = request.remote_addr().as_socket_addr().map(|address| address.ip());
    let caller = requested.or(remote).unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    match shell.read(|state, now| state.lookup(caller, now)) {
        Some(response) => Json(response).into_response(),
        None => no_configuration(),
    }
}

/// Returns the address in the query parameter `caller`.
fn caller_parameter(query: &str) -> Option<IpAddr> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut callers = pairs.filter(|(name, _)| *name == "caller");
    callers.next().and_then(|(_, value)| value.parse().ok())
}

/// Refuses a lookup while no configuration is in force.
fn no_configuration() -> Response {
    let body = RefusalResponse {
        reason: RefusalReason::NoConfiguration,
        outcome: RunOutcome::NotRun,
        retry_after_ms: RETRY_AFTER_MS,
    };
    let response = Json(body).with_status(StatusCode::SERVICE_UNAVAILABLE);
    response.with_header(header::RETRY_AFTER, "1").into_response()
}

/// Reports that the process is running.
#[handler]
pub(super) fn healthz() -> StatusCode {
    StatusCode::OK
}

/// Reports whether the instance is ready for callers: it has a configuration in force and a share
/// of its failure domain's quotas, and isn't stopping.
#[handler]
pub(super) fn readyz(shell: Data<&Arc<NodeShell>>) -> StatusCode {
    let ready = shell.read(|state, now| {
        let has_share = state.peers().share(now).agreed_rank.is_some();
        state.config().version().is_some() && has_share && !state.peers().leaving()
    });
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
