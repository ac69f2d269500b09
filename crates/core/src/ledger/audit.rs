/*!
The audit trail: a hash chain of the records of accepted changes, refused calls and new member sets.

The digest of each record covers the record and the previous digest, so that an exported trail can
be verified against a later one. The oldest records are removed beyond `RECORDS_RETAINED`. Verifying
the first remaining record then requires an export that contains the last removed one.
*/

use {
    crate::ledger::publication::CHANGED_LINES_MAX,
    hemlockspool_model::{
        api::{AuditAction, AuditRecord},
        names::{ConfigVersion, OperatorName, RequestTag},
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::collections::VecDeque,
};

/// The maximum number of audit records kept.
const RECORDS_RETAINED: usize = 20_000;

/// An audit record without its sequence number and digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AuditDraft {
    pub at_ms: u64,
    pub operator: Option<OperatorName>,
    pub request: RequestTag,
    pub action: AuditAction,
    pub from: ConfigVersion,
    pub to: ConfigVersion,
    pub changed: Vec<String>,
}

/// The audit records in order, with the end of their hash chain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
    last_sequence: u64,
    last_chain: String,
}

impl AuditTrail {
    /// Returns up to `limit` records, starting at the sequence number `from`, or at the first
    /// record kept if that is later.
    pub fn records_from(&self, from: u64, limit: usize) -> Vec<AuditRecord> {
        let first = self.records.front().map_or(0, |record| record.sequence);
        let skip = from.saturating_sub(first) as usize;
        self.records.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Returns the sequence number of the last record; zero if there are no records.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub(crate) fn push(&mut self, mut draft: AuditDraft) {
        draft.changed.truncate(CHANGED_LINES_MAX);
        self.last_sequence += 1;
        let mut record = AuditRecord {
            sequence: self.last_sequence,
            at_ms: draft.at_ms,
            operator: draft.operator,
            request: draft.request,
            action: draft.action,
            from: draft.from,
            to: draft.to,
            changed: draft.changed,
            chain: String::new(),
        };
        record.chain = chain_digest(&self.last_chain, &record);
        self.last_chain.clone_from(&record.chain);
        self.records.push_back(record);
        while self.records.len() > RECORDS_RETAINED {
            self.records.pop_front();
        }
    }
}

/// Returns the digest of a record that follows a record with the digest `previous`, which is empty
/// for the first record. The `chain` field of the record itself is ignored.
pub fn chain_digest(previous: &str, record: &AuditRecord) -> String {
    let unchained = AuditRecord { chain: String::new(), ..record.clone() };
    let bytes = postcard::to_allocvec(&unchained).expect("an audit record can be encoded");
    let mut hasher = Sha256::new();
    hasher.update(previous.as_bytes());
    hasher.update(&bytes);
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
