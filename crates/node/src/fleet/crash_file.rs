/*!
The file of a replica with the requests that are quarantined.

A replica works without it: what it lacks, entries and other replicas have, unless all of them lost
their memory.
*/

use {
    super::replica_shell::ReplicaShell,
    crate::disk::{DiskError, write_synced},
    hemlockspool_core::fleet::{
        decision_events::DecisionEvent,
        stored_crashes::{StoredCrashes, StoredCrashesError},
    },
    std::{
        fs,
        io::{self, ErrorKind},
        path::{Path, PathBuf},
        sync::Arc,
    },
    thiserror::Error,
    tokio::{sync::watch, task::spawn_blocking},
};

/// An error with the file.
#[derive(Debug, Error)]
enum CrashFileError {
    /// The file can't be read.
    #[error("can't read it: {0}")]
    Read(#[from] io::Error),
    /// The file is damaged, or of another format.
    #[error("can't use it: {0}")]
    Decode(#[from] StoredCrashesError),
    /// The file can't be written.
    #[error("can't write it: {0}")]
    Write(#[from] DiskError),
}

/// Takes over what an earlier process stored, if anything. A file that can't be used is logged.
pub(super) fn restore(shell: &Arc<ReplicaShell>, path: &Path) {
    match read(path) {
        Ok(stored) => shell.apply_with(|state, clock| {
            state.restore_crashes(&stored, clock.now);
            Vec::new()
        }),
        Err(error) => log_error(shell, &error),
    }
}

/// Writes the file whenever there is something new to store, until the sender is dropped.
pub(super) async fn write_changes(
    shell: Arc<ReplicaShell>,
    path: PathBuf,
    mut crashes: watch::Receiver<StoredCrashes>,
) {
    while crashes.changed().await.is_ok() {
        let bytes = crashes.borrow_and_update().encode();
        let path = path.clone();
        let writing = spawn_blocking(move || {
            let folder = path.parent().unwrap_or(&path);
            write_synced(folder, &path, &bytes)
        });
        if let Ok(Err(error)) = writing.await {
            log_error(&shell, &error.into());
        }
    }
}

fn read(path: &Path) -> Result<StoredCrashes, CrashFileError> {
    match fs::read(path) {
        Ok(bytes) => Ok(StoredCrashes::decode(&bytes)?),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(StoredCrashes::default()),
        Err(error) => Err(error.into()),
    }
}

fn log_error(shell: &ReplicaShell, error: &CrashFileError) {
    shell.log_decision(&DecisionEvent::CrashesUnstored { reason: error.to_string() });
}
