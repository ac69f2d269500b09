/*!
What can go wrong with a data folder.
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

/// Why a data folder can't be used.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum DiskError {
    /// The system refused.
    #[error("{path}: {action} failed")]
    #[diagnostic(code(hemlockspool::disk::io))]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What was tried.
        action: DiskAction,
        /// Why it failed.
        #[source]
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("{path}: another process uses this data folder")]
    #[diagnostic(code(hemlockspool::disk::in_use))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// The folder is another instance's, or of another deployment.
    #[error("{path}: this data folder belongs to instance {name} of deployment {deployment}")]
    #[diagnostic(
        code(hemlockspool::disk::foreign),
        help("give this instance an empty folder; it then joins anew as a learner")
    )]
    Foreign {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        name: InstanceName,
        /// Of which deployment.
        deployment: String,
    },
    /// The identity can't be read.
    #[error("{path}: the identity of this data folder can't be read")]
    #[diagnostic(code(hemlockspool::disk::identity))]
    Identity {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: serde_json::Error,
    },
    /// Synced records are damaged.
    #[error("{path}: damaged at byte {offset}")]
    #[diagnostic(
        code(hemlockspool::disk::damaged),
        help(
            "set this folder aside and start with an empty one: the instance joins anew as a learner"
        )
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage starts.
        offset: u64,
    },
    /// The snapshot isn't a ledger.
    #[error(transparent)]
    #[diagnostic(code(hemlockspool::disk::ledger))]
    Ledger(#[from] hemlockspool_core::ledger::LedgerError),
}

impl DiskError {
    /// Tells whether the disk has no room, which may pass.
    pub(crate) fn is_full(&self) -> bool {
        let Self::Io { source, .. } = self else { return false };
        matches!(source.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
    }
}

/// What was tried with a file.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DiskAction {
    /// Making a folder.
    Create,
    /// Opening.
    Open,
    /// Reading.
    Read,
    /// Writing.
    Write,
    /// Syncing.
    Sync,
    /// Renaming.
    Rename,
    /// Removing.
    Remove,
}

impl std::fmt::Display for DiskAction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Create => "making",
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
    /// Returns what turns a system error at a path into a [`DiskError`].
    pub(crate) fn at(self, path: &std::path::Path) -> impl FnOnce(io::Error) -> DiskError {
        let path = path.to_owned();
        move |source| DiskError::Io { path, action: self, source }
    }
}
