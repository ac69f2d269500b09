/*!
Errors of a data folder.
*/

use {
    hemlockspool_model::names::InstanceName,
    miette::Diagnostic,
    std::{
        io::{self, ErrorKind},
        path::PathBuf,
    },
    thiserror::Error,
};

/// The error of opening, reading or writing a data folder.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum DiskError {
    /// An I/O operation failed.
    #[error("{path}: {action} failed")]
    #[diagnostic(code(hemlockspool::disk::io))]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The operation that failed.
        action: DiskAction,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error("{path}: another process uses this data folder")]
    #[diagnostic(code(hemlockspool::disk::in_use))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another instance or deployment.
    #[error("{path}: this data folder belongs to instance {name} of deployment {deployment}")]
    #[diagnostic(
        code(hemlockspool::disk::foreign),
        help("give this instance an empty folder; it then rejoins as a learner")
    )]
    Foreign {
        /// The folder.
        path: PathBuf,
        /// The instance that owns it.
        name: InstanceName,
        /// The deployment that owns it.
        deployment: String,
    },
    /// The identity file is malformed.
    #[error("{path}: can't read the identity of this data folder")]
    #[diagnostic(code(hemlockspool::disk::identity))]
    Identity {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: serde_json::Error,
    },
    /// Records that may have been synced are corrupt, or a snapshot file is incomplete.
    #[error("{path}: damaged at byte {offset}")]
    #[diagnostic(
        code(hemlockspool::disk::damaged),
        help(
            "set this folder aside and start with an empty one; the instance then rejoins as a learner"
        )
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The offset of the first corrupt record, in bytes.
        offset: u64,
    },
    /// The snapshot doesn't decode to a ledger.
    #[error(transparent)]
    #[diagnostic(code(hemlockspool::disk::ledger))]
    Ledger(#[from] hemlockspool_core::ledger::LedgerError),
}

impl DiskError {
    /// Returns whether the disk is full or over quota. This may pass, unlike other errors.
    pub(crate) fn is_full(&self) -> bool {
        let Self::Io { source, .. } = self else { return false };
        matches!(source.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
    }
}

/// An I/O operation on a file or folder.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DiskAction {
    /// Creating a file or folder.
    Create,
    /// Opening a file or folder, or locking a file.
    Open,
    /// Reading a file or folder.
    Read,
    /// Writing to a file, or setting its length.
    Write,
    /// Syncing a file or folder.
    Sync,
    /// Renaming a file.
    Rename,
    /// Removing a file.
    Remove,
}

impl std::fmt::Display for DiskAction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Create => "creating",
            Self::Open => "opening",
            Self::Read => "reading",
            Self::Write => "writing",
            Self::Sync => "syncing",
            Self::Rename => "renaming",
            Self::Remove => "removing",
        })
    }
}

impl DiskAction {
    /// Returns a closure that wraps the [`io::Error`] of this operation on `path` in a
    /// [`DiskError`].
    pub(crate) fn error_at(self, path: &std::path::Path) -> impl FnOnce(io::Error) -> DiskError {
        let path = path.to_owned();
        move |source| DiskError::Io { path, action: self, source }
    }
}
