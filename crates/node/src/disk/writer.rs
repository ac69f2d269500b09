/*!
The thread that writes and syncs the log.

It writes all queued batches in order, syncs once, and then reports the last ticket, so that batches
that are queued together share a sync.
*/

use {
    super::{error::DiskError, store::LogStore},
    hemlockspool_core::{consensus::PersistBatch, effect::DiskWrite},
    std::{
        sync::mpsc::{Receiver, Sender, channel},
        thread,
        time::Duration,
    },
};

/// The pause before a write to a full disk is retried.
const DISK_FULL_BACKOFF: Duration = Duration::from_millis(200);

/// The queue of writes that the thread performs.
#[derive(Debug)]
pub(crate) struct LogWriter {
    sender: Sender<DiskWrite>,
}

impl LogWriter {
    /// Starts the thread for a store.
    ///
    /// After each sync, `on_synced` receives the ticket of the last write; all earlier writes are
    /// durable too. `on_failure` receives the error that ends the thread, after which nothing more
    /// is reported as synced.
    pub(crate) fn start<D, F>(store: LogStore, on_synced: D, on_failure: F) -> Self
    where
        D: Fn(u64) + Send + 'static,
        F: FnOnce(DiskError) + Send + 'static,
    {
        let (sender, receiver) = channel();
        thread::spawn(move || {
            if let Err(error) = run_writer(store, &receiver, on_synced) {
                on_failure(error);
            }
        });
        Self { sender }
    }

    /// Queues a write.
    pub(crate) fn write(&self, write: DiskWrite) {
        // Fails only after an error ended the thread. The process is then about to exit, and
        // nothing waits for this write.
        let _ = self.sender.send(write);
    }
}

/// Writes and syncs until the queue is closed or an error occurs.
fn run_writer<D>(
    mut store: LogStore,
    receiver: &Receiver<DiskWrite>,
    on_synced: D,
) -> Result<(), DiskError>
where
    D: Fn(u64),
{
    while let Ok(first) = receiver.recv() {
        let mut ticket = first.ticket;
        let mut batches = vec![first.batch];
        while let Ok(next) = receiver.try_recv() {
            ticket = next.ticket;
            batches.push(next.batch);
        }
        write_with_retry(&mut store, &batches)?;
        store.sync()?;
        on_synced(ticket);
    }
    Ok(())
}

/// Writes batches, and retries while the disk is full. Nothing is reported as synced meanwhile, and
/// the instance continues with everything that needs no disk.
fn write_with_retry(store: &mut LogStore, batches: &[PersistBatch]) -> Result<(), DiskError> {
    loop {
        match store.write(batches) {
            Err(error) if error.is_full() => thread::sleep(DISK_FULL_BACKOFF),
            result => return result,
        }
    }
}
