/*!
Load probes of targets, and polls of the platform's list of instances for those that are leaving.
*/

use {
    crate::{event_log, shell::NodeShell},
    hemlockspool_core::{log_events::LogEvent, reducer::NodeEvent, targets::LoadReport},
    hemlockspool_model::{
        api::{ListedInstance, TargetLoad},
        names::TargetName,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The timeout of a probe or of a read of the platform's list.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// The pause between reads of the platform's list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Asks one target for its load and reports the result to the reducer.
pub(crate) async fn probe(shell: Arc<NodeShell>, target: TargetName, address: SocketAddr) {
    let address = shell.settings.connect_address(address);
    let request = shell.client.get(format!("http://{address}/load")).timeout(PROBE_TIMEOUT).send();
    let reported = match request.await {
        Ok(response) => response.json::<TargetLoad>().await.ok(),
        Err(_) => None,
    };
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
async fn read_list(shell: &NodeShell, url: &str) -> Result<Vec<ListedInstance>, reqwest::Error> {
    let response = shell.client.get(url).timeout(PROBE_TIMEOUT).send().await?;
    response.error_for_status()?.json().await
}
