/*!
The thread that writes and syncs.

It takes everything that is waiting, writes it in order, syncs once, and then hands the tickets
back: writes that come together share a sync.
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

/// The pause before a write to a full disk is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// The way to the thread.
#[derive(Debug)]
pub(crate) struct LogWriter {
    sender: Sender<DiskWrite>,
}

impl LogWriter {
    /// Starts the thread on a store.
    ///
    /// `done` gets each batch's last ticket once it is synced. `failed` gets the error that ends
    /// the thread; nothing after it is promised.
    pub(crate) fn start<D, F>(store: LogStore, done: D, failed: F) -> Self
    where
        D: Fn(u64) + Send + 'static,
        F: FnOnce(DiskError) + Send + 'static,
    {
        let (sender, receiver) = channel();
        thread::spawn(move || {
            if let Err(error) = write_all(store, &receiver, done) {
                failed(error);
            }
        });
        Self { sender }
    }

    /// Hands over a write.
    pub(crate) fn write(&self, effect: DiskWrite) {
        // After a failure the process is about to end, and nothing waits for this write.
        let _ = self.sender.send(effect);
    }
}

fn write_all<D>(
    mut store: LogStore,
    receiver: &Receiver<DiskWrite>,
    done: D,
) -> Result<(), DiskError>
where
    D: Fn(u64),
{
    while let Ok(first) = receiver.recv() {
        let mut ticket = first.ticket;
        write_when_possible(&mut store, &first.batch)?;
        while let Ok(next) = receiver.try_recv() {
            ticket = next.ticket;
            write_when_possible(&mut store, &next.batch)?;
        }
        store.sync()?;
        done(ticket);
    }
    Ok(())
}

/// Writes a batch, and waits while the disk is full: nothing is promised meanwhile, and an instance
/// that waits goes on with everything that needs no disk.
fn write_when_possible(store: &mut LogStore, batch: &PersistBatch) -> Result<(), DiskError> {
    loop {
        match store.write(batch) {
            Err(error) if error.is_full() => thread::sleep(FULL_PAUSE),
            result => return result,
        }
    }
}
