/*!
The whole ledger, and the command that changes it.
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

/// A change of the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerCommand {
    /// Publishes a set.
    Publish(PublishCommand),
    /// Records a request without a valid token.
    Unauthorised {
        /// The request's tag.
        request: RequestTag,
    },
    /// Records that an operator changed the replicas.
    Replicas {
        /// Who.
        operator: OperatorName,
        /// What was asked for.
        body: ReplicaRequest,
    },
    /// Claims a key.
    Claim(ClaimCommand),
    /// Records the answer of a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The claim that ran.
        token: ClaimToken,
        /// Its answer.
        answer: StoredResponse,
    },
    /// Gives a key back: the claim did not run and will not.
    Release {
        /// The key.
        key: ClaimKey,
        /// The claim that is given up.
        token: ClaimToken,
    },
    /// Reports counts.
    Tally(TallyReport),
    /// Changes the route table or the evacuations.
    Table(TableCommand),
}

/// What a command came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerOutcome {
    /// Of a publication.
    Published(PublishOutcome),
    /// Of a claim.
    Claimed(ClaimOutcome),
    /// Of a change of the route table or the evacuations.
    Tabled(TableOutcome),
    /// Of anything that is only recorded.
    Recorded,
}

/// Why a ledger can't be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The bytes aren't an encoded ledger.
    #[error("the snapshot is not an encoded ledger: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The ledger.
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
    /// Reads a ledger from a snapshot; no bytes are an empty ledger.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Malformed`] for anything that [`LedgerState::encode`] didn't make.
    pub fn decode(bytes: &[u8]) -> Result<Self, LedgerError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Returns the bytes for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a ledger has no types that postcard can't encode")
    }

    /// Returns the version that stands.
    pub fn version(&self) -> ConfigVersion {
        self.publications.version
    }

    /// Returns the set that stands.
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

    /// Applies a command that the leader took in at a time in milliseconds since 1970.
    ///
    /// The ledger's time never goes back, whatever the leaders' calendars do.
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
            LedgerCommand::Table(order) => LedgerOutcome::Tabled(self.order(now_ms, order)),
        }
    }

    /// Records a change of the replicas in the audit trail.
    pub fn record_members(&mut self, members: &MemberSet) {
        let line = |(id, member): (&ReplicaId, &ReplicaMember)| {
            let part = if member.voter { "voter" } else { "learner" };
            format!("{} {part} {id}", member.name)
        };
        let changed = members.iter().map(line).collect();
        let draft = AuditDraft { action: AuditAction::Members, changed, ..self.draft() };
        self.audit.push(draft);
    }

    fn publish(&mut self, now_ms: u64, command: PublishCommand) -> PublishOutcome {
        if let Some(answer) = self.publications.previous_outcome(&command.request) {
            return answer.clone();
        }
        let from = self.version();
        let (request, operator) = (command.request.clone(), command.operator.clone());
        let changed = command.delta.as_ref().map_or(Vec::new(), |delta| delta.summary_lines());
        let answer = self.publications.publish(command);
        let action = match &answer {
            PublishOutcome::Accepted { .. } => AuditAction::Accepted,
            PublishOutcome::Faulty { .. } => AuditAction::Faulty,
            PublishOutcome::Conflict { .. } => AuditAction::Conflict,
            _ => return answer,
        };
        let draft =
            AuditDraft { at_ms: now_ms, operator, request, action, changed, from, ..self.draft() };
        self.audit.push(draft);
        answer
    }

    /// Applies an order, and records it when it changed something or was refused.
    fn order(&mut self, now_ms: u64, order: TableCommand) -> TableOutcome {
        let before = self.tables.change();
        let from = ConfigVersion(self.tables.version());
        let line = match &order {
            TableCommand::Replace { version, .. } => format!("route table {version}"),
            TableCommand::Evacuate { domain, begins: true } => format!("evacuation of {domain}"),
            TableCommand::Evacuate { domain, .. } => format!("end of the evacuation of {domain}"),
            TableCommand::Confirm => String::new(),
        };
        let answer = self.tables.apply(order);
        let action = match answer {
            TableOutcome::Accepted { change } if change == before => return answer,
            TableOutcome::Accepted { .. } => AuditAction::Accepted,
            TableOutcome::Conflict { .. } | TableOutcome::Stale { .. } => AuditAction::Conflict,
        };
        let to = ConfigVersion(self.tables.version());
        let changed = vec![line];
        let draft = AuditDraft { at_ms: now_ms, action, from, to, changed, ..self.draft() };
        self.audit.push(draft);
        answer
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
