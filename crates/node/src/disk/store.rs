/*!
One group on disk.

The segment with the highest number counts. A snapshot starts a new segment: the snapshot is put in
place first, then the segment that builds on it, then the old files go. A crash in between leaves
either the old segment or the new one in charge, and both are whole.
*/

use {
    super::{
        error::{DiskAction, DiskError},
        identity::{sync_folder, write_synced},
        record::{DamageOffset, StoredRecord, frame, read_frames},
    },
    hemlockspool_core::consensus::{LogPosition, PersistBatch, RestoredLog, SnapshotImage},
    std::{
        fs::{self, File, OpenOptions},
        io::Write,
        path::{Path, PathBuf},
    },
};

/// One group on disk, open for writing.
#[derive(Debug)]
pub(crate) struct LogStore {
    folder: PathBuf,
    number: u64,
    segment: File,
    /// The bytes of the segment that are whole records.
    length: u64,
    /// Whether a write broke off and left part of a record behind `length`.
    torn: bool,
    unsynced: bool,
}

impl LogStore {
    /// Opens a group and reads what it holds.
    ///
    /// # Errors
    ///
    /// [`DiskError::Damaged`] when synced records are damaged; others as the system has it.
    pub(crate) fn open(folder: &Path) -> Result<(Self, RestoredLog), DiskError> {
        fs::create_dir_all(folder).map_err(DiskAction::Create.at(folder))?;
        let number = newest_segment(folder)?;
        let path = segment_path(folder, number.unwrap_or(0));
        if number.is_none() {
            let mut bytes = Vec::new();
            frame(&StoredRecord::Base(LogPosition::default()), &mut bytes);
            write_synced(folder, &path, &bytes)?;
        }
        let number = number.unwrap_or(0);
        let (restored, whole_bytes) = read_group(folder, number)?;
        let segment = OpenOptions::new().write(true).open(&path);
        let segment = segment.map_err(DiskAction::Open.at(&path))?;
        segment.set_len(whole_bytes).map_err(DiskAction::Write.at(&path))?;
        segment.sync_all().map_err(DiskAction::Sync.at(&path))?;
        drop(segment);
        let segment = OpenOptions::new().append(true).open(&path);
        let segment = segment.map_err(DiskAction::Open.at(&path))?;
        let (folder, length) = (folder.to_owned(), whole_bytes);
        let store = Self { folder, number, segment, length, torn: false, unsynced: false };
        store.remove_old()?;
        Ok((store, restored))
    }

    /// Writes a batch; it lasts only after [`LogStore::sync`].
    ///
    /// # Errors
    ///
    /// [`DiskError::Io`]; after one that says that the disk is full the same batch may be written
    /// again, after any other the store must not be used any more.
    pub(crate) fn write(&mut self, batch: &PersistBatch) -> Result<(), DiskError> {
        if let Some((image, base)) = &batch.reset {
            return self.start_anew(image, *base, batch);
        }
        let mut bytes = Vec::new();
        frame_batch(batch, &mut bytes);
        let path = segment_path(&self.folder, self.number);
        if self.torn {
            self.segment.set_len(self.length).map_err(DiskAction::Write.at(&path))?;
        }
        self.torn = true;
        self.segment.write_all(&bytes).map_err(DiskAction::Write.at(&path))?;
        self.torn = false;
        self.length += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Makes everything written last.
    ///
    /// # Errors
    ///
    /// [`DiskError::Io`]; what was written may or may not last then, and the store must not be
    /// used any more.
    pub(crate) fn sync(&mut self) -> Result<(), DiskError> {
        if !self.unsynced {
            return Ok(());
        }
        let path = segment_path(&self.folder, self.number);
        self.segment.sync_data().map_err(DiskAction::Sync.at(&path))?;
        self.unsynced = false;
        Ok(())
    }

    fn start_anew(
        &mut self,
        image: &SnapshotImage,
        base: LogPosition,
        batch: &PersistBatch,
    ) -> Result<(), DiskError> {
        let number = self.number + 1;
        let mut snapshot = Vec::new();
        frame(image, &mut snapshot);
        write_synced(&self.folder, &snapshot_path(&self.folder, number), &snapshot)?;
        let mut bytes = Vec::new();
        frame(&StoredRecord::Base(base), &mut bytes);
        frame_batch(batch, &mut bytes);
        let path = segment_path(&self.folder, number);
        write_synced(&self.folder, &path, &bytes)?;
        let segment = OpenOptions::new().append(true).open(&path);
        self.segment = segment.map_err(DiskAction::Open.at(&path))?;
        self.number = number;
        self.length = bytes.len() as u64;
        self.torn = false;
        self.unsynced = false;
        self.remove_old()
    }

    fn remove_old(&self) -> Result<(), DiskError> {
        for (path, number) in numbered_files(&self.folder)? {
            if number != self.number {
                fs::remove_file(&path).map_err(DiskAction::Remove.at(&path))?;
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

fn numbered_files(folder: &Path) -> Result<Vec<(PathBuf, u64)>, DiskError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(DiskAction::Read.at(folder))? {
        let path = entry.map_err(DiskAction::Read.at(folder))?.path();
        let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
        let number = stem.split_once('-').and_then(|(_, number)| number.parse().ok());
        if let Some(number) = number {
            files.push((path, number));
        }
    }
    Ok(files)
}

fn newest_segment(folder: &Path) -> Result<Option<u64>, DiskError> {
    let files = numbered_files(folder)?;
    let segments =
        files.into_iter().filter(|(path, _)| path.extension().is_some_and(|e| e == "log"));
    Ok(segments.map(|(_, number)| number).max())
}

fn frame_batch(batch: &PersistBatch, out: &mut Vec<u8>) {
    if let Some(hard) = batch.hard {
        frame(&StoredRecord::Hard(hard), out);
    }
    if let Some(index) = batch.truncate_after {
        frame(&StoredRecord::TruncateAfter(index), out);
    }
    for entry in &batch.entries {
        frame(&StoredRecord::Entry(entry.clone()), out);
    }
}

fn read_group(folder: &Path, number: u64) -> Result<(RestoredLog, u64), DiskError> {
    let path = segment_path(folder, number);
    let bytes = fs::read(&path).map_err(DiskAction::Read.at(&path))?;
    let damaged =
        |path: &Path, at: DamageOffset| DiskError::Damaged { path: path.to_owned(), offset: at.0 };
    let read = read_frames(&bytes).map_err(|at| damaged(&path, at))?;
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
        let bytes = fs::read(&path).map_err(DiskAction::Read.at(&path))?;
        let read = read_frames(&bytes).map_err(|at| damaged(&path, at))?;
        let image = read.records.into_iter().next();
        restored.image = image.ok_or_else(|| damaged(&path, DamageOffset(0)))?;
    }
    Ok((restored, read.whole_bytes))
}
