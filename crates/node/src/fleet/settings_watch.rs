/*!
Reading the settings again: on SIGHUP, and now and then, since a file may change without a signal.

Only the first replicas are taken from it; an address or a name holds until the process starts again.
*/

use {
    super::settings::{FleetRole, FleetSettings},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    tokio::{signal::unix::Signal, time::timeout},
};

/// The time between readings without a signal.
const READ_EVERY: Duration = Duration::from_secs(5);

/// Hands over the first replicas whenever the settings name others.
pub(crate) async fn follow<F>(path: PathBuf, role: FleetRole, mut hangup: Signal, changed: F)
where
    F: Fn(Vec<SocketAddr>),
{
    let mut known: Option<Vec<SocketAddr>> = None;
    loop {
        // A signal and the end of the wait lead to the same: the file is read.
        let _ = timeout(READ_EVERY, hangup.recv()).await;
        // A file that can't be read now is being written; the next reading sees it whole.
        let Ok(settings) = FleetSettings::load(&path, role) else { continue };
        let seeds = settings.seed_peers();
        if known.as_ref() != Some(&seeds) {
            known = Some(seeds.clone());
            changed(seeds);
        }
    }
}
