/*!
Framing of records in a file.

Each record has a header of 12 bytes (its length, the checksum of the length, the checksum of the
payload, all little-endian) and then its payload. The length has a checksum of its own, so that a
flipped bit in it isn't taken for a record that runs past the end.

Bytes that end before a record does are a torn write: nobody was promised anything about them, and
they are cut off. A whole record that doesn't match its checksum is damage, also at the end of the
file, since it may have been synced: guessing would forget a vote.
*/

use {
    hemlockspool_core::consensus::{HardState, LogEntry, LogPosition},
    serde::{Deserialize, Serialize},
};

/// The size of a header, in bytes.
const HEADER_BYTES: usize = 12;

/// One record of a log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum StoredRecord {
    /// The position before the first entry.
    Base(LogPosition),
    /// The term and vote from here on.
    Hard(HardState),
    /// All entries after this index are dropped.
    TruncateAfter(u64),
    /// One more entry.
    Entry(LogEntry),
}

/// The records of a file, and the length of the part that is whole.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct ReadRecords<T> {
    pub records: Vec<T>,
    pub whole_bytes: u64,
}

/// Damage at an offset in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DamageOffset(pub u64);

/// Adds a record to a buffer.
pub(crate) fn frame<T>(record: &T, out: &mut Vec<u8>)
where
    T: Serialize,
{
    let payload = postcard::to_allocvec(record).expect("a record can be encoded");
    let length = (payload.len() as u32).to_le_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
}

/// Reads the records of a file.
///
/// # Errors
///
/// [`DamageOffset`] when a whole record doesn't match its checksums.
pub(crate) fn read_frames<T>(bytes: &[u8]) -> Result<ReadRecords<T>, DamageOffset>
where
    T: for<'de> Deserialize<'de>,
{
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(header) = bytes.get(offset..offset + HEADER_BYTES) {
        let damage = DamageOffset(offset as u64);
        let word = |at: usize| {
            u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        if crc32fast::hash(&header[..4]) != word(4) {
            return Err(damage);
        }
        let start = offset + HEADER_BYTES;
        let Some(payload) = bytes.get(start..start + word(0) as usize) else {
            break;
        };
        if crc32fast::hash(payload) != word(8) {
            return Err(damage);
        }
        records.push(postcard::from_bytes(payload).map_err(|_| damage)?);
        offset = start + payload.len();
    }
    Ok(ReadRecords { records, whole_bytes: offset as u64 })
}
