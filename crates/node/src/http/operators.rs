/*!
What operators ask for.

Changes need a token; what is only shown needs none. The audit trail and the tallies are on the
replicas: other instances send the asker there.
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

/// The largest publication, in bytes.
const PUBLISH_BYTES_MAX: usize = 64 << 20;
/// Records in a page of the audit trail, unless asked otherwise.
const AUDIT_PAGE: usize = 100;
/// Records in a page of the audit trail at most.
const AUDIT_PAGE_MAX: usize = 1_000;

/// Publishes a set.
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
    let change = match take_change(body.change) {
        Ok(change) => change,
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            return lines.join("\n").with_status(StatusCode::BAD_REQUEST).into_response();
        }
    };
    let operator = operator_of(&shell, request);
    let call = OperatorCall::Publish { request: body.request, operator, base: body.base, change };
    let answer = match shell.call(call).await {
        Some(OperatorReply::Publish(answer)) => answer,
        _ => PublishOutcome::Unknown,
    };
    let status = match &answer {
        PublishOutcome::Accepted { .. } => StatusCode::OK,
        PublishOutcome::Faulty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        PublishOutcome::Conflict { .. } => StatusCode::CONFLICT,
        PublishOutcome::Unauthorised => StatusCode::UNAUTHORIZED,
        PublishOutcome::Behind { .. } | PublishOutcome::Unknown => StatusCode::SERVICE_UNAVAILABLE,
    };
    Json(answer).with_status(status).into_response()
}

fn take_change(change: PublishChange) -> Result<SetChange, Vec<DeclarationError>> {
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
    let held = shell.read(|state, _| {
        let version = state.config().version()?;
        Some((version, Arc::clone(state.config().set())))
    });
    let Some((version, set)) = held else {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    };
    Json(ConfigResponse { version, objects: ObjectSet::objects(&set) }).into_response()
}

/// Shows the state of this instance.
#[handler]
pub(super) fn show_status(shell: Data<&Arc<NodeShell>>) -> Json<StatusResponse> {
    Json(shell.read(status_of))
}

/// Changes the replicas.
#[handler]
pub(super) async fn change_replicas(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    body: Json<ReplicaRequest>,
) -> Response {
    let operator = operator_of(&shell, request);
    let call = OperatorCall::Replicas { operator, body: body.0 };
    let Some(OperatorReply::Replica(answer)) = shell.call(call).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    };
    let status = match &answer {
        ReplicaResponse::Done => StatusCode::OK,
        ReplicaResponse::Unauthorised => StatusCode::UNAUTHORIZED,
        _ => StatusCode::CONFLICT,
    };
    Json(answer).with_status(status).into_response()
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct AuditQuery {
    from: u64,
    limit: Option<usize>,
    operator: Option<OperatorName>,
}

/// Shows a page of the audit trail.
#[handler]
pub(super) fn show_audit(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    query: Query<AuditQuery>,
) -> Response {
    let most = query.limit.unwrap_or(AUDIT_PAGE).min(AUDIT_PAGE_MAX);
    let page = shell.read(|state, _| {
        let trail = state.replica()?.ledger().audit();
        Some((trail.records_from(query.from, most), trail.last_sequence()))
    });
    let Some((mut records, last)) = page else {
        return at_replica(&shell, request);
    };
    let end = records.last().map(|record| record.sequence);
    let next = end.filter(|sequence| *sequence < last).map(|sequence| sequence + 1);
    if let Some(operator) = &query.operator {
        records.retain(|record| record.operator.as_ref() == Some(operator));
    }
    Json(AuditResponse { records, next }).into_response()
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TallyQuery {
    month: Option<u32>,
}

/// Shows the monthly tallies.
#[handler]
pub(super) fn show_tally(
    shell: Data<&Arc<NodeShell>>,
    request: &Request,
    query: Query<TallyQuery>,
) -> Response {
    let lines = shell
        .read(|state, _| Some(state.replica()?.ledger().tallies().monthly_totals(query.month)));
    match lines {
        Some(lines) => Json(lines).into_response(),
        None => at_replica(&shell, request),
    }
}

/// Shows metrics for Prometheus.
#[handler]
pub(super) fn show_metrics(shell: Data<&Arc<NodeShell>>) -> Vec<u8> {
    shell.read(|state, now| shell.metrics.render(state, now))
}

fn operator_of(shell: &NodeShell, request: &Request) -> Option<OperatorName> {
    let text = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    shell.operator_of(text.strip_prefix("Bearer ")?)
}

/// Sends an asker to an instance with a disk.
fn at_replica(shell: &NodeShell, request: &Request) -> Response {
    let seeds = &shell.settings.replicas;
    let place = shell.read(|state, _| {
        let set = state.config().set();
        let mut found = set.entries.values().filter(|entry| seeds.contains(&entry.peer));
        found.next().map(|entry| entry.http)
    });
    let Some(address) = place else {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    };
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    Response::builder()
        .status(StatusCode::TEMPORARY_REDIRECT)
        .header(header::LOCATION, format!("http://{address}{path}"))
        .finish()
}

fn status_of(state: &NodeState, now: Moment) -> StatusResponse {
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
