/*!
Framing of records in a log or snapshot file.

Each record has a header of 12 bytes (the length of the payload, the checksum of the length, the
checksum of the payload, all little-endian), followed by the payload. The length has a checksum of
its own, so that a flipped bit in it isn't mistaken for a record that extends past the end.

A file that ends within a record has a partial write at its end. That record was never acknowledged
as synced, so it is cut off. A whole header or payload that doesn't match its checksum is corrupt,
also at the end of the file: the record may have been synced, and dropping it could lose a vote.
*/

use {
    hemlockspool_core::consensus::{HardState, LogEntry, LogPosition},
    serde::{Deserialize, Serialize},
};

/// The size of a record's header, in bytes.
const HEADER_BYTES: usize = 12;

/// One record of a log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum StoredRecord {
    /// The position just before the first entry.
    Base(LogPosition),
    /// The term, vote and commit index, replacing those of earlier records.
    Hard(HardState),
    /// Removes all entries after this index.
    TruncateAfter(u64),
    /// Appends an entry.
    Entry(LogEntry),
}

/// The whole records at the start of a file, and their length in bytes.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct ValidRecords<T> {
    pub records: Vec<T>,
    pub valid_bytes: u64,
}

/// The offset of a corrupt record in its file, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CorruptionOffset(pub u64);

/// Appends a framed record to a buffer.
pub(crate) fn append_record<T>(record: &T, out: &mut Vec<u8>)
where
    T: Serialize,
{
    let payload = postcard::to_allocvec(record).expect("a record can be serialized");
    let length = (payload.len() as u32).to_le_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
}

/// Reads the records of a file, up to a partial write at its end.
///
/// # Errors
///
/// Returns [`CorruptionOffset`] if a whole header or payload doesn't match its checksum, or if a
/// payload can't be decoded.
pub(crate) fn read_records<T>(bytes: &[u8]) -> Result<ValidRecords<T>, CorruptionOffset>
where
    T: for<'de> Deserialize<'de>,
{
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(header) = bytes.get(offset..offset + HEADER_BYTES) {
        let corruption = CorruptionOffset(offset as u64);
        let read_u32 = |index: usize| {
            u32::from_le_bytes([
                header[index],
                header[index + 1],
                header[index + 2],
                header[index + 3],
            ])
        };
        if crc32fast::hash(&header[..4]) != read_u32(4) {
            return Err(corruption);
        }
        let start = offset + HEADER_BYTES;
        let Some(payload) = bytes.get(start..start + read_u32(0) as usize) else {
            break;
        };
        if crc32fast::hash(payload) != read_u32(8) {
            return Err(corruption);
        }
        records.push(postcard::from_bytes(payload).map_err(|_| corruption)?);
        offset = start + payload.len();
    }
    Ok(ValidRecords { records, valid_bytes: offset as u64 })
}
