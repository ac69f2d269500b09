/*!
The log of one group on disk.

The segment with the highest number is the current one. A snapshot starts a new segment: the
snapshot is written first, then the segment that builds on it, and then the old files are removed.
After a crash in between, either the old or the new segment is current, and both are complete.

The position before the first entry is repeated at the beginning of each write, and after everything
that is known to be synced when a segment is created or opened. Damage before such a record is never
taken for a torn write. Builds that don't write them read them as what they are.
*/

use {
    super::{
        error::DiskError,
        files::{DiskFile, create_folder, list_folder, read_file, remove_file, sync_folder},
        record::{CorruptionOffset, StoredRecord, append_record, is_torn_write, read_records},
        whole_file::write_synced,
    },
    hemlockspool_core::consensus::{LogPosition, PersistBatch, RestoredLog, SnapshotImage},
    std::path::{Path, PathBuf},
};

/// The log of one group, open for writing.
#[derive(Debug)]
pub(crate) struct LogStore {
    folder: PathBuf,
    /// The number of the current segment and snapshot.
    number: u64,
    segment: DiskFile,
    /// The position before the first entry.
    base: LogPosition,
    /// The length of the segment's whole records, in bytes.
    length: u64,
    /// The length of the torn write that was cut off when the log was opened, in bytes.
    torn_bytes: Option<u64>,
    /// Whether a write failed and may have left part of a batch after `length`.
    partial_write: bool,
    /// Whether bytes were written since the last sync.
    unsynced: bool,
}

impl LogStore {
    /// Opens a group's folder and reads its log. Creates an empty log if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Corrupt`] if records are corrupt, or [`DiskError::Io`] if an I/O
    /// operation fails.
    pub(crate) fn open(folder: &Path) -> Result<(Self, RestoredLog), DiskError> {
        create_folder(folder)?;
        // What is synced in the folder is lost with the folder's name.
        folder.parent().map_or(Ok(()), sync_folder)?;
        let number = newest_segment(folder)?;
        let path = segment_path(folder, number.unwrap_or(0));
        if number.is_none() {
            let base = LogPosition::default();
            write_synced(folder, &path, &first_records(base, &PersistBatch::default()))?;
        }
        let number = number.unwrap_or(0);
        let StoredGroup { restored, valid_bytes, torn_bytes, is_marked } =
            read_group(folder, number)?;
        let mut segment = DiskFile::open_append(&path)?;
        segment.set_length(valid_bytes)?;
        segment.sync()?;
        let mut store = Self {
            folder: folder.to_owned(),
            number,
            segment,
            base: restored.base,
            length: valid_bytes,
            torn_bytes,
            partial_write: false,
            unsynced: false,
        };
        if !is_marked {
            store.append(&[])?;
            store.sync()?;
        }
        store.remove_old_files()?;
        Ok((store, restored))
    }

    /// Returns the length of the torn write that was cut off when the log was opened, in bytes.
    pub(crate) fn torn_bytes(&self) -> Option<u64> {
        self.torn_bytes
    }

    /// Writes batches, in their order and in a single write. They are durable only after
    /// [`LogStore::sync`], except for a snapshot and what came before it.
    ///
    /// A loss of power may keep any of the writes since the last sync and lose others. With one
    /// write for each sync, what it leaves ends with a partial write and has no hole in it.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`]. If the disk is full ([`DiskError::is_full`]), the same batches may
    /// be written again. After any other error, the store must no longer be used.
    pub(crate) fn write(&mut self, batches: &[PersistBatch]) -> Result<(), DiskError> {
        // A snapshot comes with the whole log as it is then, so it replaces all earlier batches.
        let last_reset = batches.iter().rposition(|batch| batch.reset.is_some());
        if let Some(index) = last_reset
            && let Some((image, base)) = &batches[index].reset
        {
            self.replace_with_snapshot(image, *base, &batches[index])?;
        }
        let rest = &batches[last_reset.map_or(0, |index| index + 1)..];
        if rest.iter().all(|batch| *batch == PersistBatch::default()) {
            return Ok(());
        }
        self.append(rest)
    }

    /// Appends batches without a snapshot in a single write.
    fn append(&mut self, batches: &[PersistBatch]) -> Result<(), DiskError> {
        let mut bytes = Vec::new();
        append_record(&StoredRecord::Base(self.base), &mut bytes);
        batches.iter().for_each(|batch| append_batch(batch, &mut bytes));
        if self.partial_write {
            self.segment.set_length(self.length)?;
        }
        self.partial_write = true;
        self.segment.write(&bytes)?;
        self.partial_write = false;
        self.length += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Makes everything that was written durable.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`]. It is then unknown whether the writes are durable, and the store
    /// must no longer be used.
    pub(crate) fn sync(&mut self) -> Result<(), DiskError> {
        if !self.unsynced {
            return Ok(());
        }
        self.segment.sync()?;
        self.unsynced = false;
        Ok(())
    }

    /// Starts a new segment from a snapshot and removes the old files.
    fn replace_with_snapshot(
        &mut self,
        image: &SnapshotImage,
        base: LogPosition,
        batch: &PersistBatch,
    ) -> Result<(), DiskError> {
        let number = self.number + 1;
        let mut snapshot = Vec::new();
        append_record(image, &mut snapshot);
        write_synced(&self.folder, &snapshot_path(&self.folder, number), &snapshot)?;
        let bytes = first_records(base, batch);
        let path = segment_path(&self.folder, number);
        write_synced(&self.folder, &path, &bytes)?;
        self.segment = DiskFile::open_append(&path)?;
        self.number = number;
        self.base = base;
        self.length = bytes.len() as u64;
        self.partial_write = false;
        self.unsynced = false;
        self.remove_old_files()
    }

    /// Removes all segments, snapshots and temporary files that don't have the current number.
    fn remove_old_files(&self) -> Result<(), DiskError> {
        for (path, number) in numbered_files(&self.folder)? {
            if number != self.number {
                remove_file(&path)?;
            }
        }
        sync_folder(&self.folder)
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("segment-{number}.log"))
}

fn snapshot_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("snapshot-{number}.bin"))
}

/// Returns the segments, snapshots and temporary files in a folder, with their numbers.
fn numbered_files(folder: &Path) -> Result<Vec<(PathBuf, u64)>, DiskError> {
    let mut files = Vec::new();
    for path in list_folder(folder)? {
        let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
        let number = stem.split_once('-').and_then(|(_, number)| number.parse().ok());
        if let Some(number) = number {
            files.push((path, number));
        }
    }
    Ok(files)
}

/// Returns the highest number of a segment in a folder.
fn newest_segment(folder: &Path) -> Result<Option<u64>, DiskError> {
    let files = numbered_files(folder)?;
    let segments = files
        .into_iter()
        .filter(|(path, _)| path.extension().is_some_and(|extension| extension == "log"));
    Ok(segments.map(|(_, number)| number).max())
}

/// Appends the records of a batch, in the order of the batch's fields.
fn append_batch(batch: &PersistBatch, out: &mut Vec<u8>) {
    if let Some(hard) = batch.hard {
        append_record(&StoredRecord::Hard(hard), out);
    }
    if let Some(index) = batch.truncate_after {
        append_record(&StoredRecord::TruncateAfter(index), out);
    }
    for entry in &batch.entries {
        append_record(&StoredRecord::Entry(entry.clone()), out);
    }
}

/// Returns the contents of a new segment.
fn first_records(base: LogPosition, batch: &PersistBatch) -> Vec<u8> {
    let mut bytes = Vec::new();
    append_record(&StoredRecord::Base(base), &mut bytes);
    append_batch(batch, &mut bytes);
    append_record(&StoredRecord::Base(base), &mut bytes);
    bytes
}

/// What was read from a segment and its snapshot.
struct StoredGroup {
    restored: RestoredLog,
    /// The length of the segment's whole records, in bytes.
    valid_bytes: u64,
    /// The length of a torn write after them, in bytes.
    torn_bytes: Option<u64>,
    /// Whether they end with a base record besides the first.
    is_marked: bool,
}

/// Reads a segment and its snapshot.
fn read_group(folder: &Path, number: u64) -> Result<StoredGroup, DiskError> {
    let path = segment_path(folder, number);
    let bytes = read_file(&path)?;
    let corrupt = |path: &Path, offset: CorruptionOffset| DiskError::Corrupt {
        path: path.to_owned(),
        offset: offset.0,
    };
    let mut torn_bytes = None;
    let read = read_records(&bytes).or_else(|corruption| {
        let (valid, torn) = bytes.split_at(corruption.0 as usize);
        let read = read_records(valid)?;
        torn_bytes = Some(torn.len() as u64);
        if is_torn_write(&bytes, &read.records, corruption) { Ok(read) } else { Err(corruption) }
    });
    let read = read.map_err(|corruption| corrupt(&path, corruption))?;
    let is_marked =
        read.records.len() > 1 && matches!(read.records.last(), Some(StoredRecord::Base(_)));
    let mut restored = RestoredLog::default();
    for record in read.records {
        match record {
            StoredRecord::Base(base) => restored.base = base,
            StoredRecord::Hard(hard) => restored.hard = hard,
            StoredRecord::TruncateAfter(index) => {
                restored.entries.retain(|entry| entry.position.index <= index);
            }
            StoredRecord::Entry(entry) => restored.entries.push(entry),
        }
    }
    if number > 0 {
        let path = snapshot_path(folder, number);
        let bytes = read_file(&path)?;
        let read = read_records(&bytes).map_err(|offset| corrupt(&path, offset))?;
        let image = read.records.into_iter().next();
        restored.image = image.ok_or_else(|| corrupt(&path, CorruptionOffset(0)))?;
    }
    Ok(StoredGroup { restored, valid_bytes: read.valid_bytes, torn_bytes, is_marked })
}
