/*!
Claims: requests that run at most once, by key.

A claim belongs to a token, which names the one attempt to run the request that an entry made. Only
the holder of the token may settle the claim or release it. A release that comes before its claim
leaves a mark, so that the late claim is refused: by then the caller has been told that the request
did not run.
*/

use {
    hemlockspool_model::names::{InstanceName, ServiceName},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Claims held at most; a new one is refused beyond.
pub const CLAIMS_MAX: usize = 50_000;
/// The longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 256;
/// The largest answer body that is kept for resends, in bytes.
pub const STORED_RESPONSE_BYTES_MAX: usize = 4_096;

/// A caller's key within a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The key, as the caller chose it.
    pub key: String,
}

/// One entry's one attempt to run a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimToken {
    /// The entry.
    pub entry: InstanceName,
    /// The life of its process.
    pub incarnation: u64,
    /// The request within that life.
    pub request: u64,
}

/// Asks for a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimCommand {
    /// The key.
    pub key: ClaimKey,
    /// Who asks.
    pub token: ClaimToken,
    /// SHA-256 of kind, path and body.
    pub digest: [u8; 32],
    /// For how long the claim is kept, in milliseconds.
    pub retention_ms: u64,
}

/// The answer of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body; none when it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What a claim came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The token holds the key and may run the request, once.
    Granted,
    /// Another token holds the key and hasn't settled.
    Open,
    /// The request ran before, with this answer.
    Settled(StoredResponse),
    /// The key was used for something else.
    KeyReused,
    /// No room for more claims.
    Full,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum ClaimStage {
    /// Nobody holds the key.
    Free,
    Held,
    Settled(StoredResponse),
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimRecord {
    token: ClaimToken,
    digest: [u8; 32],
    stage: ClaimStage,
    expires_ms: u64,
    /// Tokens that were given up, each with the time until which its claim may still come.
    released: BTreeMap<ClaimToken, u64>,
}

/// All claims that are kept.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimStore {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    expiry: BTreeSet<(u64, ClaimKey)>,
}

/// For how long the mark of a release that came before its claim is kept, in milliseconds; far
/// longer than any message is under way.
const RELEASE_MARK_MS: u64 = 600_000;

impl ClaimStore {
    /// Returns the number of claims kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no claims are kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn claim(&mut self, now_ms: u64, command: ClaimCommand) -> ClaimOutcome {
        self.expire(now_ms);
        let mut released = BTreeMap::new();
        if let Some(record) = self.records.get(&command.key) {
            if record.released.contains_key(&command.token) {
                return ClaimOutcome::Open;
            }
            match &record.stage {
                ClaimStage::Free => released.clone_from(&record.released),
                _ if record.digest != command.digest => return ClaimOutcome::KeyReused,
                ClaimStage::Held if record.token == command.token => return ClaimOutcome::Granted,
                ClaimStage::Held => return ClaimOutcome::Open,
                ClaimStage::Settled(answer) => return ClaimOutcome::Settled(answer.clone()),
            }
        } else if self.records.len() >= CLAIMS_MAX {
            return ClaimOutcome::Full;
        }
        let expires_ms = now_ms.saturating_add(command.retention_ms);
        let ClaimCommand { key, token, digest, .. } = command;
        let stage = ClaimStage::Held;
        self.insert(key, ClaimRecord { token, digest, stage, expires_ms, released });
        ClaimOutcome::Granted
    }

    pub(crate) fn settle(&mut self, key: &ClaimKey, token: &ClaimToken, answer: StoredResponse) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.token == *token && record.stage == ClaimStage::Held {
            record.stage = ClaimStage::Settled(answer);
        }
    }

    pub(crate) fn release(&mut self, now_ms: u64, key: &ClaimKey, token: &ClaimToken) {
        let stands_until = now_ms.saturating_add(RELEASE_MARK_MS);
        let fresh = || ClaimRecord {
            token: token.clone(),
            digest: [0; 32],
            stage: ClaimStage::Free,
            expires_ms: stands_until,
            released: BTreeMap::new(),
        };
        let mut record = self.records.get(key).cloned().unwrap_or_else(fresh);
        let own = record.token == *token;
        if own && matches!(record.stage, ClaimStage::Settled(_)) {
            return;
        }
        if own {
            record.stage = ClaimStage::Free;
        }
        record.released.retain(|_, until| *until > now_ms);
        record.released.insert(token.clone(), stands_until);
        record.expires_ms = record.expires_ms.max(stands_until);
        self.insert(key.clone(), record);
    }

    fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        let expires_ms = record.expires_ms;
        if let Some(old) = self.records.insert(key.clone(), record) {
            self.expiry.remove(&(old.expires_ms, key.clone()));
        }
        self.expiry.insert((expires_ms, key));
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, key)) = self.expiry.first() {
            if *expires_ms > now_ms {
                return;
            }
            let key = key.clone();
            self.expiry.pop_first();
            self.records.remove(&key);
        }
    }
}
