//! What a simulated replica stores: a log, and a list of numbers as its ledger, in an encoding that
//! tells its writers apart.

use {
    hemlockspool_core::{
        consensus::{LogPayload, LogPosition, ReplicaId, ReplicaMember, RestoredLog},
        ledger::{LedgerCommand, TableCommand},
    },
    std::net::SocketAddr,
};

/// Returns the address on which a replica listens.
pub fn peer(id: ReplicaId) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], id.0 as u16))
}

/// Returns a replica as a member of the group.
pub fn member(id: ReplicaId, voter: bool) -> ReplicaMember {
    ReplicaMember { name: format!("n{}", id.0).as_str().into(), peer: peer(id), voter }
}

/// Returns the command that adds a number to the ledger.
pub fn command(number: u64) -> LogPayload {
    let command = LedgerCommand::Table(TableCommand::Confirm);
    LogPayload::Command { at_ms: number, command }
}

/// Encodes a ledger as its writer does: equal ledgers differ in their bytes between writers, as they
/// may between builds.
pub fn encode_ledger(writer: ReplicaId, numbers: &[u64], size: usize) -> Vec<u8> {
    let length = size + numbers.len() * 8 + writer.0 as usize * 100;
    let mut bytes = Vec::with_capacity(length);
    for number in [length as u64, numbers.len() as u64].iter().chain(numbers) {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    bytes.resize(length, writer.0 as u8);
    bytes
}

/// Decodes a ledger; panics if it isn't as one writer encoded it.
pub fn decode_ledger(bytes: &[u8]) -> Vec<u64> {
    let number = |index: usize| u64::from_le_bytes(bytes[index * 8..][..8].try_into().unwrap());
    assert_eq!(number(0) as usize, bytes.len(), "a snapshot of two writers");
    let count = number(1) as usize;
    let padding = &bytes[(count + 2) * 8..];
    assert!(padding.iter().all(|byte| *byte == padding[0]), "a snapshot of two writers");
    (2..count + 2).map(number).collect()
}

/// Returns the position of the entry at an index in a log; none if the log doesn't have it as an
/// entry or a base.
pub fn position_at(log: &RestoredLog, index: u64) -> Option<LogPosition> {
    if index == log.base.index {
        return Some(log.base);
    }
    let offset = index.checked_sub(log.base.index + 1)?;
    log.entries.get(offset as usize).map(|entry| entry.position)
}

/// Returns whether a log has an entry, or a snapshot that includes it.
pub fn holds(log: &RestoredLog, position: LogPosition) -> bool {
    position.index <= log.image.meta.last.index
        || position_at(log, position.index) == Some(position)
}
