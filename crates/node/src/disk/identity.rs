/*!
Whose a data folder is.
*/

use {
    super::error::{DiskAction, DiskError},
    crate::settings::DaemonSettings,
    hemlockspool_core::consensus::ReplicaId,
    hemlockspool_model::names::InstanceName,
    serde::{Deserialize, Serialize},
    std::{
        fs::{self, File, TryLockError},
        io::Write,
        path::{Path, PathBuf},
    },
};

/// A data folder that this process holds.
#[derive(Debug)]
pub(crate) struct DataFolder {
    path: PathBuf,
    replica: ReplicaId,
    /// Held for as long as the folder is in use.
    _lock: File,
}

/// Who wants to use a folder.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FolderOwner<'a> {
    /// The deployment.
    pub deployment: &'a str,
    /// The instance.
    pub name: &'a InstanceName,
    /// The life that the folder gets when it is empty.
    pub new_replica: ReplicaId,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct FolderIdentity {
    deployment: String,
    name: InstanceName,
    replica: ReplicaId,
}

impl DataFolder {
    /// Opens a folder, and gives it a new life when it is empty.
    ///
    /// # Errors
    ///
    /// [`DiskError`] when the folder is in use, foreign, or can't be used.
    pub(crate) fn open(path: &Path, settings: &DaemonSettings) -> Result<Self, DiskError> {
        let new_replica = ReplicaId(rand::random());
        let owner =
            FolderOwner { deployment: &settings.deployment, name: &settings.name, new_replica };
        Self::open_as(path, owner)
    }

    /// Opens a folder for an owner, and gives it the owner's new life when it is empty.
    ///
    /// # Errors
    ///
    /// [`DiskError`] when the folder is in use, foreign, or can't be used.
    pub(crate) fn open_as(path: &Path, owner: FolderOwner<'_>) -> Result<Self, DiskError> {
        fs::create_dir_all(path).map_err(DiskAction::Create.at(path))?;
        let lock_path = path.join("lock");
        let lock = File::create(&lock_path).map_err(DiskAction::Open.at(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(DiskError::InUse { path: path.to_owned() });
            }
            Err(TryLockError::Error(source)) => {
                return Err(DiskAction::Open.at(&lock_path)(source));
            }
        }
        let identity_path = path.join("identity.json");
        let identity = if identity_path.exists() {
            read_identity(&identity_path)?
        } else {
            make_identity(path, &identity_path, owner)?
        };
        if identity.deployment != owner.deployment || identity.name != *owner.name {
            let FolderIdentity { name, deployment, .. } = identity;
            return Err(DiskError::Foreign { path: path.to_owned(), name, deployment });
        }
        Ok(Self { path: path.to_owned(), replica: identity.replica, _lock: lock })
    }

    /// Returns the life of the folder.
    pub(crate) fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns where a group is stored.
    pub(crate) fn group_path(&self, group: u16) -> PathBuf {
        self.path.join(format!("group-{group}"))
    }
}

fn read_identity(path: &Path) -> Result<FolderIdentity, DiskError> {
    let text = fs::read_to_string(path).map_err(DiskAction::Read.at(path))?;
    serde_json::from_str(&text)
        .map_err(|source| DiskError::Identity { path: path.to_owned(), source })
}

fn make_identity(
    folder: &Path,
    path: &Path,
    owner: FolderOwner<'_>,
) -> Result<FolderIdentity, DiskError> {
    let identity = FolderIdentity {
        deployment: owner.deployment.to_owned(),
        name: owner.name.clone(),
        replica: owner.new_replica,
    };
    let text = serde_json::to_vec(&identity).expect("an identity can be encoded");
    write_synced(folder, path, &text)?;
    Ok(identity)
}

/// Writes a file so that it is there whole or not at all: written, synced, renamed, folder synced.
pub(crate) fn write_synced(folder: &Path, path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
    let draft = path.with_extension("tmp");
    let mut file = File::create(&draft).map_err(DiskAction::Create.at(&draft))?;
    file.write_all(bytes).map_err(DiskAction::Write.at(&draft))?;
    file.sync_all().map_err(DiskAction::Sync.at(&draft))?;
    fs::rename(&draft, path).map_err(DiskAction::Rename.at(path))?;
    sync_folder(folder)
}

/// Syncs a folder, so that names made or changed in it last.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    let handle = File::open(folder).map_err(DiskAction::Open.at(folder))?;
    handle.sync_all().map_err(DiskAction::Sync.at(folder))
}
