/*!
Framing of records in a log or snapshot file.

Each record has a header of 12 bytes (the length of the payload, the checksum of the length, the
checksum of the payload, all little-endian), followed by the payload. The length has a checksum of
its own, so that a flipped bit in it isn't mistaken for a record that extends past the end.

A file that ends within a record has a partial write at its end. That record was never acknowledged
as synced, so it is cut off. A whole header or payload that doesn't match its checksum is corrupt,
also at the end of the file: the record may have been synced, and dropping it could lose a vote.

The exception is a write that a loss of power has torn in its middle ([`is_torn_write`]). File systems
keep whole sectors, and those that are lost read as zeros. Each write begins with a base record, and
begins after the one before it is synced, so that only the last one may be torn.
*/

use {
    hemlockspool_core::consensus::{HardState, LogEntry, LogPosition},
    serde::{Deserialize, Serialize},
};

/// The size of a record's header, in bytes.
const HEADER_BYTES: usize = 12;

/// The smallest unit of a file that a loss of power keeps or loses, in bytes.
const SECTOR_BYTES: usize = 512;
/// The zeros that are wanted in a lost sector of which the write has only a part. The header of a record
/// never begins with as many.
const HEADER_ZEROS_MIN: usize = 8;
/// The same if that part begins in a payload.
const PAYLOAD_ZEROS_MIN: usize = 64;

/// One record of a log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum StoredRecord {
    /// The position just before the first entry. It is the same in all records of a segment.
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
        let length = payload_length(header).ok_or(corruption)?;
        let start = offset + HEADER_BYTES;
        let Some(payload) = bytes.get(start..start + length) else {
            break;
        };
        if crc32fast::hash(payload) != read_u32(&header[8..]) {
            return Err(corruption);
        }
        records.push(postcard::from_bytes(payload).map_err(|_| corruption)?);
        offset = start + length;
    }
    Ok(ValidRecords { records, valid_bytes: offset as u64 })
}

/// Returns whether the first corrupt record of a segment is what a loss of power has left of the last
/// write, which was never acknowledged as synced: it has lost a sector, and no write begins after it.
/// `valid` are the records before it.
pub(crate) fn is_torn_write(
    bytes: &[u8],
    valid: &[StoredRecord],
    corruption: CorruptionOffset,
) -> bool {
    let offset = corruption.0 as usize;
    // Earlier builds don't mark the beginnings of writes. Their segments have a base record only at
    // their beginning.
    let bases = valid.iter().filter(|record| matches!(record, StoredRecord::Base(_)));
    bases.count() > 1
        && has_lost_sector(bytes, offset)
        && (offset + 1..bytes.len()).all(|start| !is_base(&bytes[start..]))
}

/// Returns whether a sector with some of the corrupt record at `offset` is lost.
fn has_lost_sector(bytes: &[u8], offset: usize) -> bool {
    let header = &bytes[offset..offset + HEADER_BYTES];
    let end = offset + HEADER_BYTES + payload_length(header).unwrap_or_default();
    (offset / SECTOR_BYTES..end.div_ceil(SECTOR_BYTES)).any(|sector| {
        // What comes before the record in its first sector was kept, so it was written before.
        let start = offset.max(sector * SECTOR_BYTES);
        let part = &bytes[start..bytes.len().min((sector + 1) * SECTOR_BYTES)];
        let zeros_min = if start == offset { HEADER_ZEROS_MIN } else { PAYLOAD_ZEROS_MIN };
        part.len() >= zeros_min && part.iter().all(|byte| *byte == 0)
    })
}

/// Returns whether bytes begin with a base record.
fn is_base(bytes: &[u8]) -> bool {
    let Some(header) = bytes.get(..HEADER_BYTES) else { return false };
    let Some(length) = payload_length(header) else { return false };
    let Some(payload) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else { return false };
    crc32fast::hash(payload) == read_u32(&header[8..])
        && matches!(postcard::from_bytes(payload), Ok(StoredRecord::Base(_)))
}

/// Returns the length of a record's payload; none if its checksum doesn't match.
fn payload_length(header: &[u8]) -> Option<usize> {
    let is_valid = crc32fast::hash(&header[..4]) == read_u32(&header[4..]);
    is_valid.then(|| read_u32(header) as usize)
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
