/*!
Fingerprints of requests: they tell whether two requests with different identifiers are the same.

A fingerprint covers what a target gets to see of a request, except for what differs each time that a
caller sends it: its identifier and the time that is left. A body counts by its length and its first
bytes, so that no body must be read whole. The caller is kept apart from the rest, since one caller's
requests must not decide alone about those of others.

The hashes are cryptographic: nobody can make up a request that has the fingerprint of another one.
*/

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::net::IpAddr,
};

/// The number of bytes at the beginning of a body that its hash covers.
const HASHED_BODY_BYTES: usize = 4 << 10;

/// Identifies a request across repeats.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestFingerprint {
    /// The hash of the head, without the caller.
    pub head: u64,
    /// The hash of the body's beginning; 0 without a body.
    pub body: u64,
    /// The hash of the caller.
    pub caller: u32,
}

impl RequestFingerprint {
    /// Returns whether two requests are the same but for their callers.
    pub fn is_same_content(&self, other: &Self) -> bool {
        (self.head, self.body) == (other.head, other.body)
    }
}

/// The part of a request's head that identifies it.
#[derive(Clone, Debug)]
pub struct HeadIdentity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The key of the object that the request is about.
    pub key: Option<&'a str>,
    /// The media type of the body.
    pub content_type: Option<&'a [u8]>,
    /// The length of the body in bytes; none if the caller doesn't state it.
    pub body_bytes: Option<u64>,
    /// The address of the caller.
    pub caller: IpAddr,
    /// The credentials that the caller sends, since callers may share an address.
    pub credentials: Vec<&'a [u8]>,
}

impl HeadIdentity<'_> {
    /// Returns the fingerprint of a request with this head and the hash of its body.
    pub fn fingerprint(&self, body: u64) -> RequestFingerprint {
        let length = self.body_bytes.map_or(Vec::new(), |bytes| bytes.to_le_bytes().to_vec());
        let parts = [self.method, self.host, self.path, self.key.unwrap_or_default()];
        let parts = parts.map(str::as_bytes).into_iter();
        let parts = parts.chain([self.content_type.unwrap_or_default(), length.as_slice()]);
        let caller = self.caller.to_string();
        let credentials = self.credentials.iter().copied();
        RequestFingerprint {
            head: hash_parts(parts),
            body,
            caller: hash_parts([caller.as_bytes()].into_iter().chain(credentials)) as u32,
        }
    }
}

/// Hashes a sequence of parts, each with its length, so that no two sequences run together.
fn hash_parts<'a, I>(parts: I) -> u64
where
    I: IntoIterator<Item = &'a [u8]>,
{
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    first_bytes(hasher)
}

fn first_bytes(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// The hash of a body's beginning while the body arrives.
#[derive(Clone, Debug, Default)]
pub struct BodyHasher {
    hasher: Sha256,
    hashed_bytes: usize,
}

impl BodyHasher {
    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        let hashed = &piece[..piece.len().min(HASHED_BODY_BYTES - self.hashed_bytes)];
        self.hasher.update(hashed);
        self.hashed_bytes += hashed.len();
    }

    /// Returns whether the rest of the body makes no difference.
    pub fn is_full(&self) -> bool {
        self.hashed_bytes == HASHED_BODY_BYTES
    }

    /// Returns the hash of what was added; 0 if that is nothing.
    pub fn hash(&self) -> u64 {
        if self.hashed_bytes == 0 { 0 } else { first_bytes(self.hasher.clone()) }
    }
}
