/*!
The stored form of the requests that are quarantined.

Each replica keeps its own file. It isn't in the replicated log: nothing depends on all replicas
having the same, and builds that don't know of quarantines pass over a file, but not over a command.
*/

use {
    crate::{fleet::messages::CrashReport, util::stable_hash},
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// The format version of the stored form.
const STORED_FORMAT: u16 = 1;
/// The size of the checksum at the end, in bytes.
const CHECKSUM_BYTES: usize = size_of::<u64>();

/// The crashes of all requests that are quarantined. Their ages are those at the time of storing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredCrashes {
    format: u16,
    /// The crashes.
    pub reports: Vec<CrashReport>,
    /// The value of [`CrashReport::run_ms`] for each of `reports`. Older builds store and read
    /// nothing after the reports.
    runs_ms: Vec<Option<u32>>,
}

/// An error in decoding stored crashes.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoredCrashesError {
    /// The checksum doesn't match.
    #[error("the checksum doesn't match")]
    Checksum,
    /// The bytes aren't the stored form.
    #[error("malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The format version is another one.
    #[error("unknown format {0}; expected {STORED_FORMAT}")]
    Format(u16),
}

impl StoredCrashes {
    /// Returns the stored form of crashes.
    pub fn new(reports: Vec<CrashReport>) -> Self {
        let runs_ms = CrashReport::runs_ms(&reports);
        Self { format: STORED_FORMAT, reports, runs_ms }
    }

    /// Returns the encoded form with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).expect("postcard can encode every type of it");
        let checksum = stable_hash(&bytes).to_le_bytes();
        bytes.extend_from_slice(&checksum);
        bytes
    }

    /// Decodes the encoded form.
    ///
    /// # Errors
    ///
    /// [`StoredCrashesError`] if the bytes are damaged or have another format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, StoredCrashesError> {
        let split = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(StoredCrashesError::Checksum)?;
        let (bytes, checksum) = bytes.split_at(split);
        if stable_hash(bytes).to_le_bytes() != checksum {
            return Err(StoredCrashesError::Checksum);
        }
        let (format, _) = postcard::take_from_bytes::<u16>(bytes)?;
        if format != STORED_FORMAT {
            return Err(StoredCrashesError::Format(format));
        }
        // An empty list follows the reports of an older build.
        let mut stored: Self = postcard::from_bytes(&[bytes, &[0]].concat())?;
        stored.reports = CrashReport::with_runs(&stored.reports, &stored.runs_ms).collect();
        Ok(stored)
    }
}
