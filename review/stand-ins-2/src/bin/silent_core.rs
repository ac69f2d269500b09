//! Case 7: the open connections between the replicas go silent, while new ones work. No replica opens
//! another one, so that there is no leader any more and the configuration can't be read back.

use {
    hemlockspool_review_stand_ins_2::{
        common::{self, StandInPlatform},
        record::Record,
        silent_proxy::SilentProxy,
    },
    hemlockspool_testkit::fleet::{FleetCluster, FleetPlan},
    reqwest::Client,
    serde_json::Value,
    std::{collections::BTreeMap, fs, process::ExitCode, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// `contact` and `recovery` of `bodas-norte`.
const CONTACT: Duration = Duration::from_millis(4_000);
const RECOVERY: Duration = Duration::from_secs(15);
/// The time for which the operator waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the configuration at each replica and returns the statuses.
async fn read_everywhere(fleet: &FleetCluster, client: &Client) -> Vec<Option<u16>> {
    let reads = fleet.replicas().map(|index| async move {
        let read = common::get_table(client, fleet.operator_address(index));
        timeout(CALL_TIMEOUT, read).await.ok()?.map(|(status, _)| status)
    });
    futures_util::future::join_all(reads).await
}

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::open();
    let platform = StandInPlatform::start(&["a1", "a1", "a2", "a2", "b1", "b1"]).await;
    let plan = FleetPlan {
        replicas: vec!["a1", "a2", "b1", "a1", "b1"],
        entries: vec!["a1", "a2", "b1"],
        domains: BTreeMap::from([("a1", "a"), ("a2", "a"), ("b1", "b")]),
        list_address: platform.list_address,
        proxied: false,
        bridges: true,
        proxied_targets: Vec::new(),
    };
    let fleet = FleetCluster::start(plan).await;
    let client = common::client();
    common::publish_table(&client, &fleet, 0, 2).await;
    common::wait_all_ready(&client, &fleet).await;
    // The replicas that are no seeds become voters.
    sleep(Duration::from_secs(4)).await;
    // The connections between the replicas go through proxies from now on.
    let mut proxies = Vec::new();
    for from in fleet.replicas() {
        let mut tunnels: BTreeMap<String, String> = BTreeMap::new();
        for to in fleet.replicas().filter(|to| *to != from) {
            let peer = fleet.peer_address(to);
            let proxy = SilentProxy::start(peer).await;
            tunnels.insert(peer.to_string(), proxy.address.to_string());
            proxies.push(proxy);
        }
        let node = &fleet.nodes[from];
        let text = fs::read_to_string(&node.settings).expect("the settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        settings["tunnels"] = serde_json::to_value(tunnels).expect("a table of addresses");
        fs::write(&node.settings, settings.to_string()).expect("the settings can be written");
    }
    let replicas = || fleet.replicas().map(|index| &fleet.nodes[index]);
    futures_util::future::join_all(replicas().map(|replica| replica.stop())).await;
    replicas().for_each(|replica| replica.start());
    sleep(Duration::from_secs(6)).await;
    let opened = || proxies.iter().map(SilentProxy::opened).sum::<u64>();
    common::publish_table(&client, &fleet, 2, 4).await;
    record.line(&format!(
        "configuration 4 is acknowledged; reads: {:?}",
        read_everywhere(&fleet, &client).await
    ));
    record.line(&format!(
        "connections between replicas opened so far: {}; trouble: {trouble}",
        opened()
    ));
    if trouble {
        proxies.iter().for_each(SilentProxy::silence);
        record.line("the open connections between replicas are silent; new ones work");
    }
    sleep(RECOVERY + CONTACT).await;
    record.line(&format!("connections between replicas opened so far: {}", opened()));
    // The operator reads the configuration back, again and again.
    let began = Instant::now();
    let mut answers = 0;
    while began.elapsed() < CONTACT + CONTACT {
        let statuses = read_everywhere(&fleet, &client).await;
        answers += statuses.iter().filter(|status| **status == Some(200)).count();
        record.line(&format!("reads: {statuses:?}"));
        sleep(Duration::from_millis(500)).await;
    }
    let running = fleet.nodes.iter().filter(|node| node.is_running()).count();
    let put =
        timeout(CALL_TIMEOUT, common::put_table(&client, fleet.operator_address(0), 4, 6)).await;
    record.line(&format!(
        "a further configuration: {put:?}; {running} of {} processes run",
        fleet.nodes.len()
    ));
    record.line(&format!(
        "the configuration was read back {answers} times in {:?}",
        CONTACT + CONTACT
    ));
    if answers == 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
