/*!
The data folder of an instance with a disk.

```text
folder/
  lock               held while a process uses the folder
  identity.json      deployment, instance and the life of this folder
  group-0/
    snapshot-7.bin   the ledger, when there has been a snapshot
    segment-7.log    the log since: base position, terms and votes, entries
```

* [`identity`] keeps a folder from being used for another instance, and gives it its life.
* [`record`] frames records with lengths and checksums, and tells a torn end from damage.
* [`store`] reads and writes one group.
* [`writer`] is the thread that writes and syncs.
*/

pub(crate) mod error;
pub(crate) mod identity;
pub(crate) mod record;
pub(crate) mod store;
pub(crate) mod writer;

pub(crate) use {
    error::DiskError,
    identity::{DataFolder, FolderOwner},
    store::LogStore,
    writer::LogWriter,
};
