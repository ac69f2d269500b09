/*!
Asking targets how they are, and the platform which instances are leaving.
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

/// How long an answer is waited for.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// The time between readings of the platform's list.
const LIST_EVERY: Duration = Duration::from_millis(500);

/// Asks one target for its load.
pub(crate) async fn probe(shell: Arc<NodeShell>, target: TargetName, address: SocketAddr) {
    let address = shell.settings.connect_address(address);
    let asking = shell.client.get(format!("http://{address}/load")).timeout(PROBE_TIMEOUT).send();
    let report = match asking.await {
        Ok(answer) => answer.json::<TargetLoad>().await.ok(),
        Err(_) => None,
    };
    let report = report.map(|said| LoadReport { load: said.load, draining: said.draining });
    shell.apply(NodeEvent::Probed { target, report });
}

/// Reads the platform's list over and over.
pub(crate) async fn follow_list(shell: Arc<NodeShell>, url: String) {
    let mut lost = false;
    loop {
        let read = read_list(&shell, &url).await;
        if read.is_err() && !lost {
            event_log::write(&LogEvent::InstanceListUnreadable);
        }
        lost = read.is_err();
        if let Ok(lines) = read {
            let leaving = lines.iter().filter(|line| line.leaving);
            let names = leaving.map(|line| TargetName::new(&line.name)).collect();
            shell.apply(NodeEvent::LeavingTargets(names));
        }
        tokio::time::sleep(LIST_EVERY).await;
    }
}

async fn read_list(shell: &NodeShell, url: &str) -> Result<Vec<ListedInstance>, reqwest::Error> {
    let answer = shell.client.get(url).timeout(PROBE_TIMEOUT).send().await?;
    answer.error_for_status()?.json().await
}
