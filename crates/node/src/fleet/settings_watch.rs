/*!
Rereading of the settings file: on SIGHUP and at regular intervals, since a file may change without
a signal.

Only changes of the seeds are applied; all other changes take effect when the process restarts.
*/

use {
    super::settings::{FleetRole, FleetSettings},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    tokio::{signal::unix::Signal, time::timeout},
};

/// The interval at which the file is reread without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Calls `on_change` with the peer addresses of the seeds after the first successful reread, even
/// if they are unchanged, and after each later reread that finds them changed.
pub(crate) async fn watch_seeds<F>(path: PathBuf, role: FleetRole, mut hangup: Signal, on_change: F)
where
    F: Fn(Vec<SocketAddr>),
{
    let mut last_seeds: Option<Vec<SocketAddr>> = None;
    loop {
        // The file is reread after a signal as well as after the interval.
        let _ = timeout(RELOAD_INTERVAL, hangup.recv()).await;
        // A file that can't be read is probably being written; the next round reads it.
        let Ok(settings) = FleetSettings::load(&path, role) else { continue };
        let seeds = settings.seed_peers();
        if last_seeds.as_ref() != Some(&seeds) {
            last_seeds = Some(seeds.clone());
            on_change(seeds);
        }
    }
}
