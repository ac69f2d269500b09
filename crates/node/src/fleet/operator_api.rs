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
    std::{net::SocketAddr, sync::Arc},
};

/// The time for which callers may use a lookup response. Some use it for three times as
/// long, and a stopping entry accepts requests for about that time.
const LOOKUP_TTL: TextDuration = TextDuration::from_millis(1_000);
/// The maximum number of entries in one lookup response.
const LOOKUP_ENTRIES_MAX: usize = 64;

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
        TableCommand::Evacuate { domain, begins: true } => format!("evacuate {domain}"),
        TableCommand::Evacuate { domain, .. } => format!("end the evacuation of {domain}"),
        TableCommand::Confirm => "confirm".to_owned(),
    };
    let reply = shell.submit_command(command).await;
    let (status, outcome) = match &reply {
        OperatorReply::Table(TableOutcome::Accepted { .. }) => (StatusCode::OK, "accepted"),
        OperatorReply::Table(TableOutcome::Conflict { .. }) => {
            (StatusCode::PRECONDITION_FAILED, "conflict")
        }
        OperatorReply::Table(TableOutcome::Stale { .. }) => (StatusCode::CONFLICT, "stale version"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "unclear"),
    };
    shell.log_decision(&DecisionEvent::OrderEnded {
        order: description,
        outcome: outcome.to_owned(),
    });
    outcome.with_status(status).into_response()
}

/// Returns the current table, as confirmed by a quorum after the request arrived.
#[handler]
async fn show_table(shell: Data<&Arc<ReplicaShell>>) -> Response {
    match shell.submit_command(TableCommand::Confirm).await {
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
) -> Response {
    run_command(&shell, TableCommand::Evacuate { domain, begins: true }).await
}

/// Ends the evacuation of a failure domain: its targets may be used again.
#[handler]
async fn end_evacuation(
    shell: Data<&Arc<ReplicaShell>>,
    Path(domain): Path<DomainName>,
) -> Response {
    run_command(&shell, TableCommand::Evacuate { domain, begins: false }).await
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
