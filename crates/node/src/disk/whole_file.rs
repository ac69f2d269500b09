/*!
Durable writes of whole files.
*/

use {
    super::{
        error::DiskError,
        files::{DiskFile, rename_file, sync_folder},
    },
    std::path::Path,
};

/// Writes a file atomically and durably: writes and syncs a temporary file, renames it and syncs
/// the folder. After a crash, the file has either its old or its new contents.
///
/// # Errors
///
/// Returns [`DiskError::Io`] if an I/O operation fails.
pub(crate) fn write_synced(folder: &Path, path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
    let temp_path = path.with_extension("tmp");
    let mut file = DiskFile::create(&temp_path)?;
    file.write(bytes)?;
    file.sync()?;
    rename_file(&temp_path, path)?;
    sync_folder(folder)
}
