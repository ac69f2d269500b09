/*!
Claims: idempotency keys of requests that run at most once.

A claim belongs to a token, which identifies one request at the entry that received it. A caller's
retry is another request with another token. Only the owner of the token can settle or release the
claim. A release leaves a marker, so that a claim command with the same token is refused if it
arrives later: by then the entry has given up the request, and may have told the caller that it did
not run.
*/

use {
    hemlockspool_model::names::{InstanceName, ServiceName},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// The number of kept keys at which a claim of a new key is refused. Keys that are kept only for
/// the markers of released tokens count too.
pub const CLAIMS_MAX: usize = 50_000;
/// The maximum length of a key, in bytes.
pub const KEY_BYTES_MAX: usize = 256;
/// The maximum size of a response body that is stored for retries, in bytes.
pub const STORED_RESPONSE_BYTES_MAX: usize = 4_096;

/// An idempotency key within a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The key, as the caller chose it.
    pub key: String,
}

/// Identifies a request at the entry that received it from its caller.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimToken {
    /// The entry.
    pub entry: InstanceName,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number of the request within that incarnation.
    pub request: u64,
}

/// A command that claims a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimCommand {
    /// The key.
    pub key: ClaimKey,
    /// The token of the claimant.
    pub token: ClaimToken,
    /// The SHA-256 digest of the method, kind, path, query and body of the request.
    pub digest: [u8; 32],
    /// The time for which the claim is kept, in milliseconds.
    pub retention_ms: u64,
}

/// The HTTP response of a request that ran, stored for retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the response had a valid one.
    pub content_type: Option<String>,
    /// The body, or `None` if it was too large to store or its size wasn't announced.
    pub body: Option<Vec<u8>>,
}

/// The outcome of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The token owns the key, and its request may run once.
    Granted,
    /// Another token owns the key and hasn't settled the claim, or this token was released.
    Open,
    /// The request ran before, with this response.
    Settled(StoredResponse),
    /// The key was used for a different request.
    KeyReused,
    /// The maximum number of keys is reached; see [`CLAIMS_MAX`].
    Full,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum ClaimStage {
    /// No token owns the key.
    Free,
    /// The token of the record owns the key, and its request may run.
    Held,
    Settled(StoredResponse),
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimRecord {
    token: ClaimToken,
    digest: [u8; 32],
    stage: ClaimStage,
    expires_ms: u64,
    /// The released tokens, with the time at which the marker of each expires.
    released: BTreeMap<ClaimToken, u64>,
}

/// The claims and the markers of released tokens by key, with an index by expiry time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimStore {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    expiry: BTreeSet<(u64, ClaimKey)>,
}

/// The time for which the marker of a released token is kept, in milliseconds; far longer than any
/// message can be in transit. If the key is claimed again, the marker ends with the new claim if
/// that expires sooner.
const RELEASE_MARKER_TTL_MS: u64 = 600_000;

impl ClaimStore {
    /// Returns the number of keys kept, with or without a claim.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no keys are kept.
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
                ClaimStage::Settled(response) => return ClaimOutcome::Settled(response.clone()),
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

    pub(crate) fn settle(&mut self, key: &ClaimKey, token: &ClaimToken, response: StoredResponse) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.token == *token && record.stage == ClaimStage::Held {
            record.stage = ClaimStage::Settled(response);
        }
    }

    pub(crate) fn release(&mut self, now_ms: u64, key: &ClaimKey, token: &ClaimToken) {
        let marker_expires_ms = now_ms.saturating_add(RELEASE_MARKER_TTL_MS);
        let new_record = || ClaimRecord {
            token: token.clone(),
            digest: [0; 32],
            stage: ClaimStage::Free,
            expires_ms: marker_expires_ms,
            released: BTreeMap::new(),
        };
        let mut record = self.records.get(key).cloned().unwrap_or_else(new_record);
        let is_owner = record.token == *token;
        if is_owner && matches!(record.stage, ClaimStage::Settled(_)) {
            return;
        }
        if is_owner {
            record.stage = ClaimStage::Free;
        }
        record.released.retain(|_, expires_ms| *expires_ms > now_ms);
        record.released.insert(token.clone(), marker_expires_ms);
        record.expires_ms = record.expires_ms.max(marker_expires_ms);
        self.insert(key.clone(), record);
    }

    fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        let expires_ms = record.expires_ms;
        if let Some(previous) = self.records.insert(key.clone(), record) {
            self.expiry.remove(&(previous.expires_ms, key.clone()));
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
