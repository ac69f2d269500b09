/*!
The operations of the file system that the log store needs. Tests put simulated files in their place.
*/

use {
    super::error::{DiskAction, DiskError},
    std::{
        fs::{self, File, OpenOptions},
        io::Write,
        path::{Path, PathBuf},
    },
};

/// A file that is open for writing.
#[derive(Debug)]
pub(crate) struct DiskFile {
    file: File,
    path: PathBuf,
}

impl DiskFile {
    /// Creates a file, or empties it if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`].
    pub(crate) fn create(path: &Path) -> Result<Self, DiskError> {
        let file = File::create(path).map_err(DiskAction::Create.error_at(path))?;
        Ok(Self { file, path: path.to_owned() })
    }

    /// Opens a file whose writes go to its end.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`].
    pub(crate) fn open_append(path: &Path) -> Result<Self, DiskError> {
        let file = OpenOptions::new().append(true).open(path);
        let file = file.map_err(DiskAction::Open.error_at(path))?;
        Ok(Self { file, path: path.to_owned() })
    }

    /// Writes all of the bytes in a single write, unless the system splits it.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`]. A part of the bytes may then be written.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<(), DiskError> {
        self.file.write_all(bytes).map_err(DiskAction::Write.error_at(&self.path))
    }

    /// Sets the length.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`].
    pub(crate) fn set_length(&mut self, length: u64) -> Result<(), DiskError> {
        self.file.set_len(length).map_err(DiskAction::Write.error_at(&self.path))
    }

    /// Makes the contents durable.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Io`].
    pub(crate) fn sync(&mut self) -> Result<(), DiskError> {
        self.file.sync_data().map_err(DiskAction::Sync.error_at(&self.path))
    }
}

/// Creates a folder, and those above it.
///
/// # Errors
///
/// Returns [`DiskError::Io`].
pub(crate) fn create_folder(path: &Path) -> Result<(), DiskError> {
    fs::create_dir_all(path).map_err(DiskAction::Create.error_at(path))
}

/// Returns the paths of what is in a folder.
///
/// # Errors
///
/// Returns [`DiskError::Io`].
pub(crate) fn list_folder(path: &Path) -> Result<Vec<PathBuf>, DiskError> {
    let entries = fs::read_dir(path).map_err(DiskAction::Read.error_at(path))?;
    let paths = entries.map(|entry| entry.map(|entry| entry.path()));
    paths.collect::<Result<_, _>>().map_err(DiskAction::Read.error_at(path))
}

/// Syncs a folder, so that files created, renamed or removed in it stay so after a crash.
///
/// # Errors
///
/// Returns [`DiskError::Io`] if the folder can't be opened or synced.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    let handle = File::open(folder).map_err(DiskAction::Open.error_at(folder))?;
    handle.sync_all().map_err(DiskAction::Sync.error_at(folder))
}

/// Reads a whole file.
///
/// # Errors
///
/// Returns [`DiskError::Io`].
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, DiskError> {
    fs::read(path).map_err(DiskAction::Read.error_at(path))
}

/// Renames a file, in place of one that has the new name.
///
/// # Errors
///
/// Returns [`DiskError::Io`].
pub(crate) fn rename_file(from: &Path, to: &Path) -> Result<(), DiskError> {
    fs::rename(from, to).map_err(DiskAction::Rename.error_at(to))
}

/// Removes a file.
///
/// # Errors
///
/// Returns [`DiskError::Io`].
pub(crate) fn remove_file(path: &Path) -> Result<(), DiskError> {
    fs::remove_file(path).map_err(DiskAction::Remove.error_at(path))
}
