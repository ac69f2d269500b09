/*!
The thread that writes and syncs.

It takes everything that is waiting, writes it in order, syncs once, and then hands the tickets
back: writes that come together share a sync.
*/

use {
    super::{error::DiskError, store::LogStore},
    hemlockspool_core::effect::DiskEffect,
    std::{
        sync::mpsc::{Receiver, Sender, channel},
        thread,
    },
};

/// The way to the thread.
#[derive(Debug)]
pub(crate) struct LogWriter {
    sender: Sender<DiskEffect>,
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
    pub(crate) fn write(&self, effect: DiskEffect) {
        // After a failure the process is about to end, and nothing waits for this write.
        let _ = self.sender.send(effect);
    }
}

fn write_all<D>(
    mut store: LogStore,
    receiver: &Receiver<DiskEffect>,
    done: D,
) -> Result<(), DiskError>
where
    D: Fn(u64),
{
    while let Ok(first) = receiver.recv() {
        let mut ticket = first.ticket;
        store.write(&first.batch)?;
        while let Ok(next) = receiver.try_recv() {
            ticket = next.ticket;
            store.write(&next.batch)?;
        }
        store.sync()?;
        done(ticket);
    }
    Ok(())
}
