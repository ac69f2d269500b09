/*!
The handlers of operators' requests.

Changes need a token; requests that only show something need none. The audit trail and the tallies
are stored on the replicas, so other instances redirect requests for them.
*/

use {
    crate::shell::NodeShell,
    hemlockspool_core::{
        clock::Moment,
        effect::OperatorReply,
        operators::{OperatorCall, SetChange},
        reducer::NodeState,
    },
    hemlockspool_model::{
        api::{
            AuditResponse, ConfigResponse, EntryVersion, MemberStatus, PublishChange,
            PublishOutcome, PublishRequest, ReplicaRequest, ReplicaResponse, ReplicaStatus,
            StatusResponse,
        },
        declaration::{self, DeclarationError},
        names::OperatorName,
        set::ObjectSet,
    },
    poem::{
        IntoResponse, Request, Response, handler,
        http::{StatusCode, header},
        web::{Data, Json, Query},
    },
    serde::Deserialize,
    std::sync::Arc,
};

/// The maximum size of a publication's body, in bytes.
const PUBLISH_BYTES_MAX: usize = 64 << 20;
/// The default number of records in a page of the audit trail.
const AUDIT_PAGE_RECORDS_DEFAULT: usize = 100;
/// The maximum number of records in a page of the audit trail.
const AUDIT_PAGE_RECORDS_MAX: usize = 1_000;

/// Publishes a change of the set in force.
#[handler]
pub(super) async fn publish(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    body: poem::Body,
) -> Response {
    let Ok(bytes) = body.into_bytes_limit(PUBLISH_BYTES_MAX).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into();
    };
    let body: PublishRequest = match serde_json::from_slice(&bytes) {
        Ok(body) => body,
        Err(error) => {
            return error.to_string().with_status(StatusCode::BAD_REQUEST).into_response();
        }
    };
    let change = match parse_change(body.change) {
        Ok(change) => change,
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            return lines.join("\n").with_status(StatusCode::BAD_REQUEST).into_response();
        }
    };
    let operator = authenticated_operator(&shell, request);
    let call = OperatorCall::Publish { request: body.request, operator, base: body.base, change };
    let outcome = match shell.call(call).await {
        Some(OperatorReply::Publish(outcome)) => outcome,
        _ => PublishOutcome::Unknown,
    };
    let status = match &outcome {
        PublishOutcome::Accepted { .. } => StatusCode::OK,
        PublishOutcome::Faulty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        PublishOutcome::Conflict { .. } => StatusCode::CONFLICT,
        PublishOutcome::Unauthorised => StatusCode::UNAUTHORIZED,
        PublishOutcome::Behind { .. } | PublishOutcome::Unknown => StatusCode::SERVICE_UNAVAILABLE,
    };
    Json(outcome).with_status(status).into_response()
}

/// Converts the change of a publication, and checks the declarations of a whole set.
fn parse_change(change: PublishChange) -> Result<SetChange, Vec<DeclarationError>> {
    match change {
        PublishChange::Objects(objects) => {
            Ok(SetChange::Whole(Box::new(declaration::collect(objects)?)))
        }
        PublishChange::Delta(delta) => Ok(SetChange::Delta(delta)),
    }
}

/// Shows the set in force.
#[handler]
pub(super) fn show_config(shell: Data<&Arc<NodeShell>>) -> Response {
    let current = shell.read(|state, _| {
        let version = state.config().version()?;
        Some((version, Arc::clone(state.config().set())))
    });
    let Some((version, set)) = current else {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    };
    Json(ConfigResponse { version, objects: ObjectSet::objects(&set) }).into_response()
}

/// Shows the state of this instance.
#[handler]
pub(super) fn show_status(shell: Data<&Arc<NodeShell>>) -> Json<StatusResponse> {
    Json(shell.read(status_response))
}

/// Changes the replicas.
#[handler]
pub(super) async fn change_replicas(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    body: Json<ReplicaRequest>,
) -> Response {
    let operator = authenticated_operator(&shell, request);
    let call = OperatorCall::Replicas { operator, body: body.0 };
    let Some(OperatorReply::Replica(response)) = shell.call(call).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    };
    let status = match &response {
        ReplicaResponse::Done => StatusCode::OK,
        ReplicaResponse::Unauthorised => StatusCode::UNAUTHORIZED,
        _ => StatusCode::CONFLICT,
    };
    Json(response).with_status(status).into_response()
}

/// The query parameters of the audit trail.
#[derive(Default, Deserialize)]
#[serde(default)]
struct AuditQuery {
    /// The sequence number of the first record.
    from: u64,
    /// The maximum number of records in the page, counted before `operator` is applied.
    limit: Option<usize>,
    /// The operator whose records to show; all operators if absent.
    operator: Option<OperatorName>,
}

/// Shows a page of the audit trail.
#[handler]
pub(super) fn show_audit(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    query: Query<AuditQuery>,
) -> Response {
    let limit = query.limit.unwrap_or(AUDIT_PAGE_RECORDS_DEFAULT).min(AUDIT_PAGE_RECORDS_MAX);
    let page = shell.read(|state, _| {
        let trail = state.replica()?.ledger().audit();
        Some((trail.records_from(query.from, limit), trail.last_sequence()))
    });
    let Some((mut records, last_sequence)) = page else {
        return redirect_to_replica(&shell, request);
    };
    let page_end = records.last().map(|record| record.sequence);
    let next = page_end.filter(|sequence| *sequence < last_sequence).map(|sequence| sequence + 1);
    if let Some(operator) = &query.operator {
        records.retain(|record| record.operator.as_ref() == Some(operator));
    }
    Json(AuditResponse { records, next }).into_response()
}

/// The query parameters of the tallies.
#[derive(Default, Deserialize)]
#[serde(default)]
struct TallyQuery {
    /// The month to show, as year times 100 plus month; all months if absent.
    month: Option<u32>,
}

/// Shows the monthly tallies.
#[handler]
pub(super) fn show_tally(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    query: Query<TallyQuery>,
) -> Response {
    let totals = shell
        .read(|state, _| Some(state.replica()?.ledger().tallies().monthly_totals(query.month)));
    match totals {
        Some(totals) => Json(totals).into_response(),
        None => redirect_to_replica(&shell, request),
    }
}

/// Shows the metrics in the Prometheus text format.
#[handler]
pub(super) fn show_metrics(shell: Data<&Arc<NodeShell>>) -> Vec<u8> {
    shell.read(|state, now| shell.metrics.render(state, now))
}

/// Returns the operator whose bearer token a request carries.
fn authenticated_operator(shell: &NodeShell, request: &Request) -> Option<OperatorName> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    shell.authenticate(value.strip_prefix("Bearer ")?)
}

/// Redirects a request to an instance with a disk, or refuses it if the set in force declares no
/// entry of such an instance.
fn redirect_to_replica(shell: &NodeShell, request: &Request) -> Response {
    let seeds = &shell.settings.replicas;
    let replica_address = shell.read(|state, _| {
        let set = state.config().set();
        let mut replicas = set.entries.values().filter(|entry| seeds.contains(&entry.peer));
        replicas.next().map(|entry| entry.http)
    });
    let Some(address) = replica_address else {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    };
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    Response::builder()
        .status(StatusCode::TEMPORARY_REDIRECT)
        .header(header::LOCATION, format!("http://{address}{path}"))
        .finish()
}

fn status_response(state: &NodeState, now: Moment) -> StatusResponse {
    let config = state.config();
    let age = config.confirmed_age(now);
    let share = state.peers().share(now);
    let reported = config.reported_versions(now).into_iter();
    StatusResponse {
        instance: state.identity().name.clone(),
        domain: state.identity().domain.clone(),
        version: config.version(),
        confirmed_age_ms: age.map(|age| age.as_millis() as u64),
        stopping: state.peers().leaving(),
        domain_members: state.peers().members(now),
        in_flight: state.targets().total_in_flight(),
        queued: state.requests().queued(),
        targets: state.targets().status(share, now),
        replica: state.replica().map(|replica| replica_status(replica.group())),
        in_force: reported.map(|(name, version)| EntryVersion { name, version }).collect(),
    }
}

fn replica_status(group: &hemlockspool_core::consensus::ConsensusGroup) -> ReplicaStatus {
    let members = group.members().iter().map(|(id, member)| MemberStatus {
        name: member.name.clone(),
        voter: member.voter,
        matched: group.is_leader().then(|| group.match_index(*id)).flatten(),
    });
    ReplicaStatus {
        role: group.role_name().to_owned(),
        term: group.term(),
        commit: group.commit_index(),
        durable: group.durable_index(),
        leader: group.leader_name().cloned(),
        members: members.collect(),
    }
}
