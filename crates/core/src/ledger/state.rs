/*!
The state of the ledger and the commands that change it.
*/

use {
    crate::{
        consensus::{MemberSet, ReplicaId, ReplicaMember},
        ledger::{
            audit::{AuditDraft, AuditTrail},
            claims::{
                ClaimCommand, ClaimKey, ClaimOutcome, ClaimStore, ClaimToken, StoredResponse,
            },
            publication::{PublicationStore, PublishCommand},
            tables::{TableCommand, TableOutcome, TableStore},
            tallies::{TallyReport, TallyStore},
        },
    },
    hemlockspool_model::{
        api::{AuditAction, PublishOutcome, ReplicaRequest},
        names::{ConfigVersion, OperatorName, RequestTag},
        set::ObjectSet,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
};

/// A command that changes the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerCommand {
    /// Publishes a change of the set of objects.
    Publish(PublishCommand),
    /// Records a request without a valid token.
    Unauthorised {
        /// The request's tag.
        request: RequestTag,
    },
    /// Records a change of the replicas that an operator requested and a replica accepted.
    Replicas {
        /// The operator.
        operator: OperatorName,
        /// The requested change.
        body: ReplicaRequest,
    },
    /// Claims an idempotency key.
    Claim(ClaimCommand),
    /// Records the response of a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The token of the claim whose request ran.
        token: ClaimToken,
        /// The response of the request.
        answer: StoredResponse,
    },
    /// Releases a key whose request did not run and will not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The token of the claim to release.
        token: ClaimToken,
    },
    /// Reports the request counts of a source.
    Tally(TallyReport),
    /// Changes the route table or the evacuations, or confirms them.
    Table(TableCommand),
}

/// The outcome of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerOutcome {
    /// The outcome of a publication.
    Published(PublishOutcome),
    /// The outcome of a claim.
    Claimed(ClaimOutcome),
    /// The outcome of a command about the route table or the evacuations.
    Tabled(TableOutcome),
    /// The command was applied and has no other outcome.
    Recorded,
}

/// An error while decoding a ledger.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The bytes aren't an encoded ledger.
    #[error("the snapshot is not an encoded ledger: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The state of the ledger.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerState {
    pub(crate) publications: PublicationStore,
    pub(crate) audit: AuditTrail,
    pub(crate) claims: ClaimStore,
    pub(crate) tallies: TallyStore,
    pub(crate) tables: TableStore,
    clock_ms: u64,
}

impl LedgerState {
    /// Decodes a ledger from a snapshot; an empty slice is an empty ledger.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Malformed`] if the bytes aren't an encoded ledger.
    pub fn decode(bytes: &[u8]) -> Result<Self, LedgerError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Encodes the ledger for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("postcard encodes every type of the ledger")
    }

    /// Returns the current version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.publications.version
    }

    /// Returns the current set of objects.
    pub fn set(&self) -> &Arc<ObjectSet> {
        &self.publications.set
    }

    /// Returns the audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Returns the claims.
    pub fn claims(&self) -> &ClaimStore {
        &self.claims
    }

    /// Returns the tallies.
    pub fn tallies(&self) -> &TallyStore {
        &self.tallies
    }

    /// Returns the route table and the evacuations.
    pub fn tables(&self) -> &TableStore {
        &self.tables
    }

    /// Returns the publications.
    pub fn publications(&self) -> &PublicationStore {
        &self.publications
    }

    /// Applies a command that the leader accepted at `at_ms`, a Unix time in milliseconds.
    ///
    /// The clock of the ledger never goes back, even if the wall clock of a leader does.
    pub fn apply(&mut self, at_ms: u64, command: LedgerCommand) -> LedgerOutcome {
        self.clock_ms = self.clock_ms.max(at_ms);
        let now_ms = self.clock_ms;
        match command {
            LedgerCommand::Publish(command) => {
                LedgerOutcome::Published(self.publish(now_ms, command))
            }
            LedgerCommand::Unauthorised { request } => {
                self.record_unauthorised(now_ms, request);
                LedgerOutcome::Recorded
            }
            LedgerCommand::Replicas { operator, body } => {
                self.record_replicas(now_ms, operator, &body);
                LedgerOutcome::Recorded
            }
            LedgerCommand::Claim(command) => {
                LedgerOutcome::Claimed(self.claims.claim(now_ms, command))
            }
            LedgerCommand::Settle { key, token, answer } => {
                self.claims.settle(&key, &token, answer);
                LedgerOutcome::Recorded
            }
            LedgerCommand::Release { key, token } => {
                self.claims.release(now_ms, &key, &token);
                LedgerOutcome::Recorded
            }
            LedgerCommand::Tally(report) => {
                self.tallies.record(report);
                LedgerOutcome::Recorded
            }
            LedgerCommand::Table(command) => {
                LedgerOutcome::Tabled(self.apply_table_command(now_ms, command))
            }
        }
    }

    /// Records a new member set of the replicas in the audit trail.
    pub fn record_members(&mut self, members: &MemberSet) {
        let line = |(id, member): (&ReplicaId, &ReplicaMember)| {
            let role = if member.voter { "voter" } else { "learner" };
            format!("{} {role} {id}", member.name)
        };
        let changed = members.iter().map(line).collect();
        let draft = AuditDraft { action: AuditAction::Members, changed, ..self.draft() };
        self.audit.push(draft);
    }

    fn publish(&mut self, now_ms: u64, command: PublishCommand) -> PublishOutcome {
        if let Some(outcome) = self.publications.previous_outcome(&command.request) {
            return outcome.clone();
        }
        let from = self.version();
        let (request, operator) = (command.request.clone(), command.operator.clone());
        let changed = command.delta.as_ref().map_or(Vec::new(), |delta| delta.summary_lines());
        let outcome = self.publications.publish(command);
        let action = match &outcome {
            PublishOutcome::Accepted { .. } => AuditAction::Accepted,
            PublishOutcome::Faulty { .. } => AuditAction::Faulty,
            PublishOutcome::Conflict { .. } => AuditAction::Conflict,
            _ => return outcome,
        };
        let draft =
            AuditDraft { at_ms: now_ms, operator, request, action, changed, from, ..self.draft() };
        self.audit.push(draft);
        outcome
    }

    /// Applies a table command, and records it in the audit trail if it changed something or was
    /// refused. An evacuation in conflict isn't recorded, since its replica submits it again.
    fn apply_table_command(&mut self, now_ms: u64, command: TableCommand) -> TableOutcome {
        let previous_change = self.tables.change();
        let from = ConfigVersion(self.tables.version());
        let line = match &command {
            TableCommand::Replace { version, .. } => format!("route table {version}"),
            TableCommand::Evacuate { domain, begins: true }
            | TableCommand::EvacuateFrom { domain, begins: true, .. } => {
                format!("evacuation of {domain}")
            }
            TableCommand::Evacuate { domain, .. } | TableCommand::EvacuateFrom { domain, .. } => {
                format!("end of the evacuation of {domain}")
            }
            TableCommand::Confirm => String::new(),
        };
        let is_conditional = matches!(command, TableCommand::EvacuateFrom { .. });
        let outcome = self.tables.apply(command);
        let action = match outcome {
            TableOutcome::Conflict { .. } if is_conditional => return outcome,
            TableOutcome::Accepted { change } if change == previous_change => return outcome,
            TableOutcome::Accepted { .. } => AuditAction::Accepted,
            TableOutcome::Conflict { .. } | TableOutcome::Stale { .. } => AuditAction::Conflict,
        };
        let to = ConfigVersion(self.tables.version());
        let changed = vec![line];
        let draft = AuditDraft { at_ms: now_ms, action, from, to, changed, ..self.draft() };
        self.audit.push(draft);
        outcome
    }

    fn record_unauthorised(&mut self, now_ms: u64, request: RequestTag) {
        let action = AuditAction::Unauthorised;
        let draft = AuditDraft { at_ms: now_ms, request, action, ..self.draft() };
        self.audit.push(draft);
    }

    fn record_replicas(&mut self, now_ms: u64, operator: OperatorName, body: &ReplicaRequest) {
        let line = match body {
            ReplicaRequest::Init => "asked for the first replica".to_owned(),
            ReplicaRequest::Add(name) => format!("asked to take in {name}"),
            ReplicaRequest::Remove(name) => format!("asked to take out {name}"),
        };
        let (operator, changed) = (Some(operator), vec![line]);
        let action = AuditAction::Members;
        self.audit.push(AuditDraft { at_ms: now_ms, operator, action, changed, ..self.draft() });
    }

    fn draft(&self) -> AuditDraft {
        let version = self.version();
        AuditDraft {
            at_ms: self.clock_ms,
            operator: None,
            request: RequestTag::default(),
            action: AuditAction::Accepted,
            from: version,
            to: version,
            changed: Vec::new(),
        }
    }
}
