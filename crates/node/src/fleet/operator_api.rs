/*!
What operators and callers ask of a replica.
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

/// How long callers may use a look-up's answer: some keep it three times as long, and a stopping
/// entry serves them for about that long.
const LOOKUP_TTL: TextDuration = TextDuration::from_millis(1_000);
/// The most entries named in one answer.
const ENTRIES_MAX: usize = 64;

/// Returns the routes that a replica serves.
pub(crate) fn routes(shell: &Arc<ReplicaShell>) -> impl poem::Endpoint + use<> {
    Route::new()
        .at("/v1/table", put(replace_table).get(show_table))
        .at("/v1/evacuations/:domain", post(begin_evacuation).delete(end_evacuation))
        .at("/v1/entries", get(find_entries))
        .data(Arc::clone(shell))
}

/// Puts a table in place of the one that stands.
#[handler]
async fn replace_table(shell: Data<&Arc<ReplicaShell>>, request: &Request, body: Body) -> Response {
    let Ok(bytes) = body.into_bytes_limit(TABLE_BYTES_MAX).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into();
    };
    let base = request.headers().get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let base = match base.map(|text| text.trim().trim_matches('"').parse()) {
        None => None,
        Some(Ok(base)) => Some(base),
        Some(Err(_)) => return refuse("If-Match is not a version".to_owned()),
    };
    let Ok(text) = String::from_utf8(bytes.into()) else {
        return refuse("the table is not text".to_owned());
    };
    let table = match RouteTable::parse(&text) {
        Ok(table) => table,
        Err(fault) => return refuse(fault.to_string()),
    };
    if let Some(fault) = table.validate().first() {
        return refuse(fault.to_string());
    }
    let version = table.version;
    give_order(&shell, TableCommand::Replace { base, version, text }).await
}

fn refuse(reason: String) -> Response {
    reason.with_status(StatusCode::BAD_REQUEST).into_response()
}

async fn give_order(shell: &Arc<ReplicaShell>, order: TableCommand) -> Response {
    let name = match &order {
        TableCommand::Replace { version, .. } => format!("table {version}"),
        TableCommand::Evacuate { domain, begins: true } => format!("evacuate {domain}"),
        TableCommand::Evacuate { domain, .. } => format!("end the evacuation of {domain}"),
        TableCommand::Confirm => "confirm".to_owned(),
    };
    let reply = shell.order(order).await;
    let (status, outcome) = match &reply {
        OperatorReply::Table(TableOutcome::Accepted { .. }) => (StatusCode::OK, "accepted"),
        OperatorReply::Table(TableOutcome::Conflict { .. }) => {
            (StatusCode::PRECONDITION_FAILED, "conflict")
        }
        OperatorReply::Table(TableOutcome::Stale { .. }) => (StatusCode::CONFLICT, "stale version"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "unclear"),
    };
    shell.note(&DecisionEvent::OrderEnded { order: name, outcome: outcome.to_owned() });
    outcome.with_status(status).into_response()
}

/// Shows the table that stands, confirmed by a quorum since this was asked.
#[handler]
async fn show_table(shell: Data<&Arc<ReplicaShell>>) -> Response {
    match shell.order(TableCommand::Confirm).await {
        OperatorReply::TableText(text) if !text.is_empty() => {
            text.with_content_type("application/json").into_response()
        }
        OperatorReply::TableText(_) => StatusCode::NOT_FOUND.into(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into(),
    }
}

/// Takes a failure domain's targets out of use.
#[handler]
async fn begin_evacuation(
    shell: Data<&Arc<ReplicaShell>>,
    Path(domain): Path<DomainName>,
) -> Response {
    give_order(&shell, TableCommand::Evacuate { domain, begins: true }).await
}

/// Gives a failure domain's targets back.
#[handler]
async fn end_evacuation(
    shell: Data<&Arc<ReplicaShell>>,
    Path(domain): Path<DomainName>,
) -> Response {
    give_order(&shell, TableCommand::Evacuate { domain, begins: false }).await
}

/// A caller's question where to connect.
#[derive(Deserialize)]
struct LookupQuestion {
    /// The host that it wants.
    name: String,
    region: RegionName,
    failure_domain: DomainName,
}

/// The answer.
#[derive(Serialize)]
struct LookupAddresses {
    addrs: Vec<SocketAddr>,
    ttl: TextDuration,
}

/// Tells a caller where to connect.
#[handler]
fn find_entries(
    shell: Data<&Arc<ReplicaShell>>,
    Query(question): Query<LookupQuestion>,
) -> Response {
    let LookupQuestion { name, region, failure_domain } = question;
    let mut addrs = shell.read(|state, _| state.front_addresses(&name, &region, &failure_domain));
    if addrs.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    addrs.truncate(ENTRIES_MAX);
    Json(LookupAddresses { addrs, ttl: LOOKUP_TTL }).into_response()
}
