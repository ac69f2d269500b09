/*!
Load probes of targets, and polls of the platform's list of instances for those that are leaving.
*/

use {
    crate::{
        event_log,
        limited_body::{BodyReadError, read_limited},
        shell::NodeShell,
    },
    hemlockspool_core::{log_events::LogEvent, reducer::NodeEvent, targets::LoadReport},
    hemlockspool_model::{
        api::{ListedInstance, TargetLoad},
        names::TargetName,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// The timeout of a probe or of a read of the platform's list.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of the response to a probe, in bytes.
const LOAD_BYTES_MAX: usize = 64 << 10;
/// The maximum size of the platform's list, in bytes.
const LIST_BYTES_MAX: usize = 16 << 20;
/// The pause between reads of the platform's list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The error of reading the platform's list.
#[derive(Debug, Error)]
enum ListReadError {
    /// The response can't be read.
    #[error(transparent)]
    Body(#[from] BodyReadError),
    /// The response isn't a list.
    #[error("the list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Asks one target for its load and reports the result to the reducer.
pub(crate) async fn probe(shell: Arc<NodeShell>, target: TargetName, address: SocketAddr) {
    let address = shell.settings.connect_address(address);
    let request = shell.client.get(format!("http://{address}/load")).timeout(PROBE_TIMEOUT).send();
    let body = match request.await {
        Ok(response) => read_limited(response, LOAD_BYTES_MAX).await.ok(),
        Err(_) => None,
    };
    let reported = body.and_then(|body| serde_json::from_slice::<TargetLoad>(&body).ok());
    let report = reported.map(|load| LoadReport { load: load.load, draining: load.draining });
    shell.apply(NodeEvent::Probed { target, report });
}

/// Polls the platform's list and reports the instances that are leaving. Logs only the first of
/// several failed reads in a row.
pub(crate) async fn poll_instance_list(shell: Arc<NodeShell>, url: String) {
    let mut unreadable = false;
    loop {
        let result = read_list(&shell, &url).await;
        if result.is_err() && !unreadable {
            event_log::write(&LogEvent::InstanceListUnreadable);
        }
        unreadable = result.is_err();
        if let Ok(instances) = result {
            let leaving = instances.iter().filter(|instance| instance.leaving);
            let names = leaving.map(|instance| TargetName::new(&instance.name)).collect();
            shell.apply(NodeEvent::LeavingTargets(names));
        }
        tokio::time::sleep(LIST_POLL_INTERVAL).await;
    }
}

/// Reads the platform's list once.
async fn read_list(shell: &NodeShell, url: &str) -> Result<Vec<ListedInstance>, ListReadError> {
    let response = shell.client.get(url).timeout(PROBE_TIMEOUT).send().await;
    let response = response.and_then(|response| response.error_for_status());
    let body = read_limited(response.map_err(BodyReadError::Call)?, LIST_BYTES_MAX).await?;
    Ok(serde_json::from_slice(&body)?)
}
