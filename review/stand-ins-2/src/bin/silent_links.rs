//! Case 8: the open connections between an entry and the replicas go silent, while new ones work.
//! The entry goes on with the configuration that it has.

use {
    hemlockspool_review_stand_ins_2::{
        common::{self, CallerOutcome, StandInPlatform},
        record::Record,
        silent_proxy::SilentProxy,
    },
    hemlockspool_testkit::fleet::{FleetCluster, FleetPlan},
    serde_json::Value,
    std::{collections::BTreeMap, fs, process::ExitCode, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// `contact` and `config_apply` of `bodas-norte`.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

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
    // The connections between the first entry and the replicas go through proxies from now on.
    let entry = fleet.entries().start;
    let mut proxies = Vec::new();
    let mut tunnels: BTreeMap<usize, BTreeMap<String, String>> = BTreeMap::new();
    for replica in fleet.replicas() {
        for (from, to) in [(entry, replica), (replica, entry)] {
            let peer = fleet.peer_address(to);
            let proxy = SilentProxy::start(peer).await;
            tunnels.entry(from).or_default().insert(peer.to_string(), proxy.address.to_string());
            proxies.push((from, to, proxy));
        }
    }
    for (index, tunnels) in &tunnels {
        let node = &fleet.nodes[*index];
        let text = fs::read_to_string(&node.settings).expect("the settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        settings["tunnels"] = serde_json::to_value(tunnels).expect("a table of addresses");
        fs::write(&node.settings, settings.to_string()).expect("the settings can be written");
    }
    let restarted = || tunnels.keys().map(|index| &fleet.nodes[*index]);
    futures_util::future::join_all(restarted().map(|node| node.stop())).await;
    restarted().for_each(|node| node.start());
    sleep(Duration::from_secs(2)).await;
    common::wait_all_ready(&client, &fleet).await;
    sleep(Duration::from_secs(6)).await;
    let opened = |proxies: &[(usize, usize, SilentProxy)]| -> Vec<u64> {
        proxies.iter().map(|(_, _, proxy)| proxy.opened()).collect()
    };
    record.line(&format!(
        "entry {entry} is ready; connections opened so far: {:?}; trouble: {trouble}",
        opened(&proxies)
    ));
    if trouble {
        proxies.iter().for_each(|(_, _, proxy)| proxy.silence());
        record.line("its open connections to and from replicas are silent; new ones work");
    }
    sleep(CONTACT + CONTACT).await;
    record.line(&format!("connections opened so far: {:?}", opened(&proxies)));
    common::publish_table(&client, &fleet, 2, 4).await;
    let acknowledged = Instant::now();
    record.line("configuration 4 is acknowledged");
    let mut stale = 0;
    for wait in [CONFIG_APPLY + Duration::from_millis(500), Duration::from_secs(8)] {
        sleep_until(acknowledged + wait).await;
        for index in fleet.entries() {
            let ready = client
                .get(format!("http://{}/v1/ready", fleet.readiness_address(index)))
                .send()
                .await;
            let ready = ready.map(|response| response.status().as_u16()).unwrap_or(0);
            for (path, is_new) in [("/v4/x", true), ("/v2/x", false)] {
                let id = format!("{}-{index}-{is_new}", wait.as_millis());
                let answer =
                    common::send_request(&client, fleet.caller_address(index), path, &id, &id)
                        .await;
                let runs = platform.run_count(&id);
                let is_stale = match is_new {
                    true => matches!(answer, CallerOutcome::Status { status: 404, .. }),
                    false => runs > 0,
                };
                stale += usize::from(is_stale);
                let answer = format!("{answer:?}").chars().take(50).collect::<String>();
                record.line(&format!(
                    "{id}: GET {path} to entry {index} (ready: {ready}), {:.2} s after the acknowledgement: {answer}, runs {runs}{}",
                    acknowledged.elapsed().as_secs_f64(),
                    if is_stale { "  <- CONFIG" } else { "" },
                ));
            }
        }
    }
    record.line(&format!("connections opened so far: {:?}", opened(&proxies)));
    record.line(&format!(
        "{stale} of 12 requests were handled as only an older configuration allows"
    ));
    if stale > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
