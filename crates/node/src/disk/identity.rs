/*!
The identity and the lock of a data folder.
*/

use {
    super::{
        error::{DiskAction, DiskError},
        whole_file::write_synced,
    },
    crate::settings::DaemonSettings,
    hemlockspool_core::consensus::ReplicaId,
    hemlockspool_model::names::InstanceName,
    serde::{Deserialize, Serialize},
    std::{
        fs::{self, File, TryLockError},
        path::{Path, PathBuf},
    },
};

/// A data folder whose lock this process holds.
#[derive(Debug)]
pub(crate) struct DataFolder {
    path: PathBuf,
    replica: ReplicaId,
    /// Stays locked until the folder is dropped.
    _lock: File,
}

/// The instance that opens a folder, to be compared with the folder's identity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FolderOwner<'a> {
    /// The name of the deployment.
    pub deployment: &'a str,
    /// The name of the instance.
    pub name: &'a InstanceName,
    /// The replica id that the folder gets if it has no identity yet.
    pub new_replica: ReplicaId,
}

/// The contents of `identity.json`.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct FolderIdentity {
    deployment: String,
    name: InstanceName,
    replica: ReplicaId,
}

impl DataFolder {
    /// Opens and locks a folder, and gives it a random replica id if it has no identity yet.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError`] if the folder is in use, belongs to another instance or deployment, or
    /// can't be read or written.
    pub(crate) fn open(path: &Path, settings: &DaemonSettings) -> Result<Self, DiskError> {
        let new_replica = ReplicaId(rand::random());
        let owner =
            FolderOwner { deployment: &settings.deployment, name: &settings.name, new_replica };
        Self::open_as(path, owner)
    }

    /// Opens and locks a folder, and gives it the owner's new replica id if it has no identity yet.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError`] if the folder is in use, belongs to another instance or deployment, or
    /// can't be read or written.
    pub(crate) fn open_as(path: &Path, owner: FolderOwner<'_>) -> Result<Self, DiskError> {
        fs::create_dir_all(path).map_err(DiskAction::Create.error_at(path))?;
        let lock_path = path.join("lock");
        let lock = File::create(&lock_path).map_err(DiskAction::Open.error_at(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(DiskError::InUse { path: path.to_owned() });
            }
            Err(TryLockError::Error(source)) => {
                return Err(DiskAction::Open.error_at(&lock_path)(source));
            }
        }
        let identity_path = path.join("identity.json");
        let identity = if identity_path.exists() {
            read_identity(&identity_path)?
        } else {
            create_identity(path, &identity_path, owner)?
        };
        if identity.deployment != owner.deployment || identity.name != *owner.name {
            let FolderIdentity { name, deployment, .. } = identity;
            return Err(DiskError::Foreign { path: path.to_owned(), name, deployment });
        }
        Ok(Self { path: path.to_owned(), replica: identity.replica, _lock: lock })
    }

    /// Returns the replica id of the folder.
    pub(crate) fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns the path of the file with the quarantined requests.
    pub(crate) fn crashes_path(&self) -> PathBuf {
        self.path.join("crashes.bin")
    }

    /// Returns the path of a group's folder.
    pub(crate) fn group_path(&self, group: u16) -> PathBuf {
        self.path.join(format!("group-{group}"))
    }
}

fn read_identity(path: &Path) -> Result<FolderIdentity, DiskError> {
    let text = fs::read_to_string(path).map_err(DiskAction::Read.error_at(path))?;
    serde_json::from_str(&text)
        .map_err(|source| DiskError::Identity { path: path.to_owned(), source })
}

fn create_identity(
    folder: &Path,
    path: &Path,
    owner: FolderOwner<'_>,
) -> Result<FolderIdentity, DiskError> {
    let identity = FolderIdentity {
        deployment: owner.deployment.to_owned(),
        name: owner.name.clone(),
        replica: owner.new_replica,
    };
    let text = serde_json::to_vec(&identity).expect("an identity serializes to JSON");
    write_synced(folder, path, &text)?;
    Ok(identity)
}
