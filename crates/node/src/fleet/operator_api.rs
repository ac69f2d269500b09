/*!
The HTTP API of a replica for operators and for callers' lookups.
*/

use {
    super::replica_shell::ReplicaShell,
    hemlockspool_core::{
        effect::OperatorReply,
        fleet::{compressed_table::TABLE_BYTES_MAX, decision_events::DecisionEvent},
        ledger::{TableCommand, TableOutcome},
    },
    hemlockspool_model::{
        duration::TextDuration,
        names::{DomainName, RegionName},
        table::RouteTable,
    },
    poem::{
        Body, EndpointExt, IntoResponse, Request, Response, Route, get, handler,
        http::{StatusCode, header},
        post, put,
        web::{Data, Json, Path, Query},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The time for which callers may use a lookup response. Some use it for three times as
/// long, and a stopping entry accepts requests for about that time.
const LOOKUP_TTL: TextDuration = TextDuration::from_millis(1_000);
/// The maximum number of entries in one lookup response.
const LOOKUP_ENTRIES_MAX: usize = 64;

/// The maximum size of the body of an order that needs none, in bytes.
const ORDER_BYTES_MAX: usize = 1 << 10;
/// The time after which it is noticed that an operator has given an order up whose bytes were held
/// up on the way: longer than a round trip to the farthest region.
const DISCONNECT_DELAY: Duration = Duration::from_millis(200);
/// The time after which an operator gets the reply that an evacuation's outcome is unknown.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(950);

/// Returns the HTTP routes of a replica.
pub(crate) fn routes(shell: &Arc<ReplicaShell>) -> impl poem::Endpoint + use<> {
    Route::new()
        .at("/v1/table", put(replace_table).get(show_table))
        .at("/v1/evacuations/:domain", post(begin_evacuation).delete(end_evacuation))
        .at("/v1/entries", get(find_entries))
        .data(Arc::clone(shell))
}

/// Replaces the current route table.
#[handler]
async fn replace_table(shell: Data<&Arc<ReplicaShell>>, request: &Request, body: Body) -> Response {
    let Ok(bytes) = body.into_bytes_limit(TABLE_BYTES_MAX).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into();
    };
    let base = request.headers().get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let base = match base.map(|text| text.trim().trim_matches('"').parse()) {
        None => None,
        Some(Ok(base)) => Some(base),
        Some(Err(_)) => return bad_request("If-Match is not a version".to_owned()),
    };
    let Ok(text) = String::from_utf8(bytes.into()) else {
        return bad_request("the table is not UTF-8 text".to_owned());
    };
    let table = match RouteTable::parse(&text) {
        Ok(table) => table,
        Err(error) => return bad_request(error.to_string()),
    };
    if let Some(error) = table.validate().first() {
        return bad_request(error.to_string());
    }
    let version = table.version;
    run_command(&shell, TableCommand::Replace { base, version, text }).await
}

fn bad_request(reason: String) -> Response {
    reason.with_status(StatusCode::BAD_REQUEST).into_response()
}

async fn run_command(shell: &Arc<ReplicaShell>, command: TableCommand) -> Response {
    let description = match &command {
        TableCommand::Replace { version, .. } => format!("table {version}"),
        TableCommand::Evacuate { domain, begins }
        | TableCommand::EvacuateFrom { domain, begins, .. } => describe_evacuation(domain, *begins),
        TableCommand::Confirm => "confirm".to_owned(),
    };
    let reply = shell.submit_command(command).await;
    order_response(shell, description, &reply)
}

fn describe_evacuation(domain: &DomainName, begins: bool) -> String {
    let order = if begins { "evacuate" } else { "end the evacuation of" };
    format!("{order} {domain}")
}

/// Logs the outcome of an order and returns the response to it.
fn order_response(
    shell: &Arc<ReplicaShell>,
    description: String,
    reply: &OperatorReply,
) -> Response {
    let (status, outcome) = match reply {
        OperatorReply::Table(TableOutcome::Accepted { .. }) => (StatusCode::OK, "accepted"),
        OperatorReply::Table(TableOutcome::Conflict { .. }) => {
            (StatusCode::PRECONDITION_FAILED, "conflict")
        }
        OperatorReply::Table(TableOutcome::Stale { .. }) => (StatusCode::CONFLICT, "stale version"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "unclear"),
    };
    log_order(shell, description, outcome);
    outcome.with_status(status).into_response()
}

fn log_order(shell: &Arc<ReplicaShell>, order: String, outcome: &str) {
    shell.log_decision(&DecisionEvent::OrderEnded { order, outcome: outcome.to_owned() });
}

/// Begins or ends the evacuation of a failure domain.
///
/// An order says nothing of the state that it is meant for, and may be read long after its operator
/// has given it up and sent others: this process may have stalled, or the bytes were held up. So the
/// order is based on the state that a quorum confirms after it was read. By then the server has
/// dropped this handler if the operator has gone; if it hasn't, no later order precedes the
/// confirmation, and one that follows makes the command conflict. A conflict with another change is
/// resolved by another confirmation.
async fn run_evacuation(
    shell: &Arc<ReplicaShell>,
    domain: DomainName,
    begins: bool,
    body: Body,
) -> Response {
    // The server notices that a caller has gone only once the request has been read.
    if body.into_bytes_limit(ORDER_BYTES_MAX).await.is_err() {
        return StatusCode::PAYLOAD_TOO_LARGE.into();
    }
    let description = describe_evacuation(&domain, begins);
    let submission = async {
        let (mut confirmed, ()) =
            tokio::join!(shell.submit_command(TableCommand::Confirm), sleep(DISCONNECT_DELAY));
        loop {
            if shell.has_backlog() {
                return None;
            }
            let OperatorReply::Table(TableOutcome::Accepted { change: base }) = confirmed else {
                return Some(confirmed);
            };
            let domain = domain.clone();
            let command = TableCommand::EvacuateFrom { base, domain, begins };
            let reply = shell.submit_command(command).await;
            if !matches!(reply, OperatorReply::Table(TableOutcome::Conflict { .. })) {
                return Some(reply);
            }
            confirmed = shell.submit_command(TableCommand::Confirm).await;
        }
    };
    match timeout(EVACUATION_TIMEOUT, submission).await {
        Ok(Some(reply)) => order_response(shell, description, &reply),
        Ok(None) => {
            log_order(shell, description, "refused after a stall");
            StatusCode::SERVICE_UNAVAILABLE.into()
        }
        Err(_) => order_response(shell, description, &OperatorReply::OutcomeUnknown),
    }
}

/// Returns the current table, as confirmed by a quorum after the request arrived.
#[handler]
async fn show_table(shell: Data<&Arc<ReplicaShell>>) -> Response {
    match shell.read_table().await {
        OperatorReply::TableText(text) if !text.is_empty() => {
            text.with_content_type("application/json").into_response()
        }
        OperatorReply::TableText(_) => StatusCode::NOT_FOUND.into(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into(),
    }
}

/// Begins the evacuation of a failure domain: its targets are no longer used.
#[handler]
async fn begin_evacuation(
    shell: Data<&Arc<ReplicaShell>>,
    Path(domain): Path<DomainName>,
    body: Body,
) -> Response {
    run_evacuation(&shell, domain, true, body).await
}

/// Ends the evacuation of a failure domain: its targets may be used again.
#[handler]
async fn end_evacuation(
    shell: Data<&Arc<ReplicaShell>>,
    Path(domain): Path<DomainName>,
    body: Body,
) -> Response {
    run_evacuation(&shell, domain, false, body).await
}

/// The query parameters of a lookup.
#[derive(Deserialize)]
struct LookupQuery {
    /// The host that the caller wants to reach.
    name: String,
    /// The region of the caller.
    region: RegionName,
    /// The failure domain of the caller.
    failure_domain: DomainName,
}

/// The response to a lookup.
#[derive(Serialize)]
struct LookupResponse {
    /// The addresses of entries that the caller may connect to.
    addrs: Vec<SocketAddr>,
    /// The time for which the caller may use the response.
    ttl: TextDuration,
}

/// Returns the addresses of entries that a caller may connect to.
#[handler]
fn find_entries(shell: Data<&Arc<ReplicaShell>>, Query(query): Query<LookupQuery>) -> Response {
    let LookupQuery { name, region, failure_domain } = query;
    let mut addrs = shell.read(|state, _| state.entry_addresses(&name, &region, &failure_domain));
    if addrs.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    addrs.truncate(LOOKUP_ENTRIES_MAX);
    Json(LookupResponse { addrs, ttl: LOOKUP_TTL }).into_response()
}
