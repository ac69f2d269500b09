//! Case 6: a replica drops entries of the log that it has acknowledged to the leader, and then
//! follows no later change.
//!
//! The operator stores large configurations, reads them back and begins or ends an evacuation. Now
//! and then half of the connections of one replica are reset, and the other half shortly after. Once
//! a replica doesn't confirm reads any more, all resets end. After a calm time, the operator stores a
//! configuration without most of the routes, and clients ask every entry for a new and for a removed
//! route.

use {
    hemlockspool_review_stand_ins_2::{
        common::{self, StandInPlatform},
        record::Record,
    },
    hemlockspool_testkit::fleet::{FleetCluster, FleetPlan},
    rand::Rng,
    reqwest::Client,
    serde_json::json,
    std::{
        collections::BTreeMap,
        process::ExitCode,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until, timeout},
};

/// The zones with their regions; each has a replica.
const ZONES: [(&str, &str); 6] =
    [("a1", "a"), ("b1", "b"), ("c1", "c"), ("a2", "a"), ("b2", "b"), ("c2", "c")];
/// The replicas that entries follow after their restart, the first ones; they are seeds.
const FOLLOWED: usize = 2;
/// The zones of the entries.
const ENTRIES: [&str; 8] = ["a1", "a2", "b1", "b2", "c1", "c2", "a1", "b1"];
/// `zone` of the orders of evacuation.
const EVACUATED: &str = "c2";
/// One way, between zones and between regions, as in `bodas-norte`.
const ZONE_DELAY: Duration = Duration::from_millis(1);
const REGION_DELAY: Duration = Duration::from_millis(35);
/// `contact` and `config_apply` of `bodas-norte`.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// The number of routes that `big_config` adds there.
const MORE_ROUTES: usize = 350;
/// Concurrent reads of the configuration; with the writer, at most eight orders are in progress.
const READERS: usize = 6;
/// The time after which no round begins.
const ROUNDS_TIME: Duration = Duration::from_secs(78);
const CALM_ROUNDS_TIME: Duration = Duration::from_secs(30);

fn table(version: u64, is_small: bool) -> String {
    let route = |name: &str, prefix: &str, repeat: &str| {
        json!({ "name": name, "host": common::HOST, "prefix": prefix, "repeat": repeat,
            "timeout": "2500ms", "goal": "400ms", "priority": 1, "service": "s", "attempts": 2,
            "sticky": true, "homes": [] })
    };
    let mut routes = vec![
        route("look", "/look/", "safe"),
        route("pay", "/pay/", "never"),
        route("mark", &format!("/v{version}/"), "safe"),
    ];
    if !is_small {
        routes.push(route("dropped", "/dropped/", "safe"));
        let idle = |i| route(&format!("idle-{i}"), &format!("/idle{i}x{version}/"), "safe");
        routes.extend((0..MORE_ROUTES).map(idle));
    }
    json!({
        "version": version, "routes": routes,
        "services": [{ "name": "s", "health_path": "/health", "connections": 330,
            "cold_start": "3s", "cold_per_s": 7.5 }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms" },
    })
    .to_string()
}

fn delay_of(fleet: &FleetCluster, from: usize, to: usize) -> Duration {
    let region = |index: usize| fleet.plan.domains[fleet.domain_of(index)];
    if region(from) == region(to) { ZONE_DELAY } else { REGION_DELAY }
}

/// Resets the connections that go through some proxies.
async fn reset(fleet: &FleetCluster, pairs: &[(usize, usize)]) {
    for pair in pairs {
        fleet.proxies[pair].cut();
    }
    sleep(Duration::from_millis(15)).await;
    for pair in pairs {
        fleet.proxies[pair].delay(delay_of(fleet, pair.0, pair.1));
    }
}

/// Stores a configuration as the operator does: at one replica after the other, until it is
/// acknowledged.
async fn store(
    fleet: Arc<FleetCluster>,
    client: Client,
    base: u64,
    version: u64,
    is_small: bool,
) -> Option<Instant> {
    let deadline = Instant::now() + Duration::from_secs(8);
    let text = table(version, is_small);
    let mut index = rand::rng().random_range(0..ZONES.len());
    while Instant::now() < deadline {
        let url = format!("http://{}/v1/table", fleet.operator_address(index));
        let request = client.put(url).header("if-match", base.to_string()).body(text.clone());
        let response = timeout(Duration::from_secs(1), request.send()).await;
        if matches!(response, Ok(Ok(response)) if response.status().as_u16() == 200) {
            return Some(Instant::now());
        }
        index = (index + 1) % ZONES.len();
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Begins or ends the evacuation, at one replica after the other, until it is acknowledged.
async fn order_evacuation(fleet: &FleetCluster, client: &Client, begins: bool) -> bool {
    for attempt in 0..4 * ZONES.len() {
        let address = fleet.operator_address(attempt % ZONES.len());
        let call = common::evacuate(client, address, EVACUATED, begins);
        if timeout(Duration::from_secs(1), call).await == Ok(Some(200)) {
            return true;
        }
    }
    false
}

/// Returns the status with which each replica answers a read of the configuration.
async fn read_everywhere(fleet: &FleetCluster, client: &Client) -> Vec<Option<u16>> {
    let reads = fleet.replicas().map(|index| async move {
        let answer = common::get_table(client, fleet.operator_address(index));
        timeout(Duration::from_secs(3), answer).await.ok()?.map(|(status, _)| status)
    });
    futures_util::future::join_all(reads).await
}

/// Stores a small configuration in calm, and returns the number of requests that entries handled as
/// only an older one allows; none if the configuration wasn't acknowledged.
async fn check(
    fleet: &Arc<FleetCluster>,
    platform: &StandInPlatform,
    client: &Client,
    record: &Record,
    version: &mut u64,
) -> Option<usize> {
    sleep(CONTACT + Duration::from_secs(1)).await;
    record.line(&format!(
        "calm for over {CONTACT:?}; reads: {:?}",
        read_everywhere(fleet, client).await
    ));
    let base = *version;
    *version += 2;
    let stored = store(Arc::clone(fleet), client.clone(), base, *version, true).await?;
    record.line(&format!("configuration {version} without /dropped/ is acknowledged"));
    sleep_until(stored + CONFIG_APPLY + Duration::from_millis(500)).await;
    let mut stale = 0;
    for index in fleet.entries() {
        let address = fleet.caller_address(index);
        for (path, is_new) in [(format!("/v{version}/x"), true), ("/dropped/x".to_owned(), false)] {
            for attempt in 0..3 {
                let id = format!("{version}-{index}-{is_new}-{attempt}");
                let sent = stored.elapsed();
                let answer = common::send_request(client, address, &path, &id, &id).await;
                let runs = platform.run_count(&id);
                let is_stale = match (&answer, is_new) {
                    (common::CallerOutcome::Status { status: 404, .. }, true) => true,
                    (_, false) => runs > 0,
                    _ => false,
                };
                stale += usize::from(is_stale);
                let answer = format!("{answer:?}").chars().take(60).collect::<String>();
                record.line(&format!(
                    "{id}: GET {path} to entry {index}, {:.2} s after the acknowledgement: {answer}, runs {runs}{}",
                    sent.as_secs_f64(),
                    if is_stale { "  <- CONFIG" } else { "" },
                ));
            }
        }
    }
    record.line(&format!("reads: {:?}", read_everywhere(fleet, client).await));
    for index in fleet.entries() {
        let log = fleet.nodes[index].log_text();
        let replica = fleet.replicas().max_by_key(|replica| {
            log.rfind(&format!("\"follows\",\"replica\":\"{}\"", fleet.peer_address(*replica)))
        });
        record.line(&format!("entry {index} follows replica {replica:?} by its log"));
    }
    Some(stale)
}

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::open();
    let zones: Vec<&str> = ZONES.iter().map(|(zone, _)| *zone).collect();
    let platform = StandInPlatform::start(&zones).await;
    let plan = FleetPlan {
        replicas: zones,
        entries: ENTRIES.to_vec(),
        domains: BTreeMap::from(ZONES),
        list_address: platform.list_address,
        proxied: true,
        bridges: true,
        proxied_targets: Vec::new(),
    };
    let fleet = Arc::new(FleetCluster::start(plan).await);
    for (pair, proxy) in &fleet.proxies {
        proxy.delay(delay_of(&fleet, pair.0, pair.1));
    }
    let client = common::client();
    let mut version = 2;
    if store(Arc::clone(&fleet), client.clone(), 0, version, true).await.is_none() {
        return ExitCode::from(2);
    }
    common::wait_all_ready(&client, &fleet).await;
    // An entry that starts asks the seeds first. Those that start together with the replicas follow the
    // first one that answers; after a planned restart, each follows a seed of its own choice.
    let entries = || fleet.entries().map(|index| &fleet.nodes[index]);
    futures_util::future::join_all(entries().map(|entry| entry.stop())).await;
    entries().for_each(|entry| entry.start());
    common::wait_all_ready(&client, &fleet).await;
    sleep(Duration::from_secs(1)).await;
    record.line(&format!(
        "{} replicas and {} entries run, all ready; trouble: {trouble}",
        ZONES.len(),
        ENTRIES.len()
    ));
    let started = Instant::now();
    let rounds_time = if trouble { ROUNDS_TIME } else { CALM_ROUNDS_TIME };
    let mut round = 0;
    loop {
        let reading = Arc::new(AtomicBool::new(true));
        let readers: Vec<_> = (0..READERS)
            .map(|_| {
                let (fleet, client, reading) =
                    (Arc::clone(&fleet), client.clone(), Arc::clone(&reading));
                tokio::spawn(async move {
                    while reading.load(Ordering::SeqCst) {
                        let index = rand::rng().random_range(0..ZONES.len());
                        let read = common::get_table(&client, fleet.operator_address(index));
                        let _ = timeout(Duration::from_secs(1), read).await;
                    }
                })
            })
            .collect();
        let mut is_stuck = false;
        while started.elapsed() < rounds_time && !is_stuck {
            round += 1;
            let offset = Duration::from_millis(rand::rng().random_range(0..90));
            let (store_fleet, store_client, base) = (Arc::clone(&fleet), client.clone(), version);
            version += 2;
            let next = version;
            let storing = tokio::spawn(async move {
                sleep(offset).await;
                store(store_fleet, store_client, base, next, false).await
            });
            if trouble {
                let machine = rand::rng().random_range(0..FOLLOWED);
                let pause = offset + Duration::from_millis(rand::rng().random_range(140..180));
                let at = Instant::now();
                let others = || fleet.replicas().filter(|index| *index != machine);
                let incoming: Vec<_> = others().map(|other| (other, machine)).collect();
                let outgoing: Vec<_> = others().map(|other| (machine, other)).collect();
                reset(&fleet, &incoming).await;
                sleep_until(at + pause).await;
                reset(&fleet, &outgoing).await;
                record.line(&format!(
                    "round {round}: reset the connections of the other replicas to replica {machine}, and {pause:?} later its connections to them; configuration {next} sent after {offset:?}"
                ));
            }
            let Ok(Some(_)) = storing.await else { return ExitCode::from(2) };
            sleep(Duration::from_millis(200)).await;
            let begins = round % 2 == 1;
            if !order_evacuation(&fleet, &client, begins).await {
                return ExitCode::from(2);
            }
            sleep(Duration::from_millis(200)).await;
            let answers = read_everywhere(&fleet, &client).await;
            is_stuck = answers.contains(&Some(503));
            record.line(&format!("round {round}: evacuation of {EVACUATED}: {begins}, acknowledged; reads: {answers:?}"));
        }
        reading.store(false, Ordering::SeqCst);
        for reader in readers {
            let _ = reader.await;
        }
        let Some(stale) = check(&fleet, &platform, &client, &record, &mut version).await else {
            return ExitCode::from(2);
        };
        record.line(&format!("{stale} requests were handled as only an older configuration allows, after {round} rounds"));
        if stale > 0 {
            return ExitCode::from(1);
        }
        if started.elapsed() >= rounds_time {
            return ExitCode::SUCCESS;
        }
    }
}
