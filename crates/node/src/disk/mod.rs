/*!
The data folder of an instance with a disk, which stores its replica of the log.

```text
folder/
  lock               locked while a process uses the folder
  identity.json      deployment, instance and replica id
  group-0/
    snapshot-7.bin   the ledger, once a snapshot has been taken or received
    segment-7.log    the log since the snapshot: base position, hard states, truncations, entries
```

* [`files`] performs the operations of the file system, [`whole_file`] replaces files durably.
* [`identity`] locks a folder, checks that it belongs to the instance and assigns its replica id.
* [`record`] frames records with lengths and checksums, and distinguishes a partial write from
  corruption.
* [`store`] reads and writes the log of one group.
* [`writer`] runs the thread that writes and syncs.
*/

pub(crate) mod error;
pub(crate) mod files;
pub(crate) mod identity;
pub(crate) mod record;
pub(crate) mod store;
pub(crate) mod whole_file;
pub(crate) mod writer;

pub(crate) use {
    error::DiskError,
    identity::{DataFolder, FolderOwner},
    store::LogStore,
    whole_file::write_synced,
    writer::LogWriter,
};
