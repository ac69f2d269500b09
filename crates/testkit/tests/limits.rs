//! Limits of regions, shifts and links, and failure domains or regions that are cut off or lost.

use {
    hemlockspool_model::{
        api::{OUTCOME_HEADER, RefusalReason, RefusalResponse, TARGET_HEADER},
        objects::{BlockObject, DeclaredObject, LimitObject, LimitResource},
    },
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
        stand_in::{SEND_ID_HEADER, TargetFaults, TargetPlan},
    },
    reqwest::Client,
    std::{net::Ipv4Addr, sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, sleep},
};

fn domain(name: &'static str, region: &'static str, entries: usize, targets: usize) -> DomainPlan {
    DomainPlan { name, region, entries, targets }
}

fn with_limit(cluster: &TestCluster, resource: LimitResource, ceiling: u64) -> Vec<DeclaredObject> {
    let mut objects = cluster.objects();
    let name = "cap".into();
    objects.push(DeclaredObject::Limit(LimitObject { name, resource, ceiling }));
    objects
}

/// Returns a client whose requests come from its own loopback address: a separate caller.
fn caller(subnet: u8, host: u8) -> Client {
    let from = Ipv4Addr::new(127, 0, subnet, host);
    Client::builder().no_proxy().local_address(Some(from.into())).build().unwrap()
}

/// Guards against more requests at once in a region than its ceiling, when targets report a load of
/// zero, an entry is killed and restarted, and another is paused.
#[tokio::test(flavor = "multi_thread")]
async fn limits_region_ceiling() {
    region_ceiling(true).await;
}

/// Like [`limits_region_ceiling`], without the pause.
#[tokio::test(flavor = "multi_thread")]
async fn limits_ceiling_entry_killed() {
    region_ceiling(false).await;
}

/// Checks that a region stays within its ceiling while an entry is killed and restarted, and while
/// another is paused if `with_pause` is set.
async fn region_ceiling(with_pause: bool) {
    let target = TargetPlan { slots: 8, queue: 64, service_ms: 40, ..TargetPlan::default() };
    let domains = vec![domain("a1", "a", 2, 2), domain("a2", "a", 2, 1), domain("b1", "b", 1, 0)];
    let plan = ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    const CEILING: u64 = 11;
    let objects = with_limit(&cluster, LimitResource::Region("a".into()), CEILING);
    cluster.publish_and_wait("first", objects).await;
    // Load reports of zero must not raise the number of requests: entries count those they send.
    let false_report = TargetFaults { reported_load: Some(0), ..TargetFaults::default() };
    for server in &cluster.targets {
        server.target.set(false_report.clone());
    }
    let callers = (0..60).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let client = caller(2, number as u8 + 1);
            for _ in 0..60 {
                let _ = client.get(cluster.url(number % 5, "/s/desk/read/x")).send().await;
                sleep(Duration::from_millis(60)).await;
            }
        }
    });
    let faults = async {
        sleep(Duration::from_millis(300)).await;
        cluster.nodes[1].kill();
        if with_pause {
            cluster.nodes[3].pause();
        }
        sleep(Duration::from_millis(2_600)).await;
        cluster.nodes[1].start();
        if with_pause {
            cluster.nodes[3].resume();
        }
    };
    tokio::join!(futures_util::future::join_all(callers), faults);
    let peak = cluster.region_gauges["a"].peak.load(Ordering::SeqCst);
    assert!(u64::from(peak) <= CEILING, "{peak} ran at once");
    assert!(peak >= 7, "too little load to test the ceiling: {peak}");
}

/// Guards against more shifted requests than the ceiling within the time to live of a lookup
/// response, when all callers of a lost domain turn to another region and an entry there restarts.
#[tokio::test(flavor = "multi_thread")]
async fn limits_shift_cap() {
    const SHIFT_CEILING: usize = 20;
    const WINDOW: Duration = Duration::from_secs(1);
    let target = TargetPlan { slots: 16, queue: 64, service_ms: 1, ..TargetPlan::default() };
    let domains = vec![domain("a1", "a", 1, 1), domain("b1", "b", 2, 1), domain("b2", "b", 1, 1)];
    let plan =
        ClusterPlan { domains, replicas: 1, target, ttl_ms: 1_000, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    let mut objects = with_limit(&cluster, LimitResource::Shift("b".into()), SHIFT_CEILING as u64);
    let (prefix, domain, caller_name) =
        ("127.0.3.0/24".parse().unwrap(), "a1".into(), "far".into());
    objects.push(DeclaredObject::CallerBlock(BlockObject { prefix, domain, caller: caller_name }));
    cluster.publish_and_wait("first", objects).await;
    // The callers' home domain is down, and all of them turn to the other region at once.
    let home = cluster.nodes.iter().position(|node| node.name == "a1-e0").unwrap();
    cluster.nodes[home].kill();
    let callers = (0..30).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let client = caller(3, number as u8 + 1);
            for round in 0..120 {
                let send_id = format!("{number}/{round}");
                let request = client.get(cluster.url(1 + (number + round) % 3, "/s/desk/read/x"));
                if let Ok(response) = request.header(SEND_ID_HEADER, send_id).send().await {
                    let outcome = response.headers()[OUTCOME_HEADER].to_str().unwrap().to_owned();
                    assert!(outcome == "ran" || response.headers().contains_key("retry-after"));
                }
                sleep(Duration::from_millis(40)).await;
            }
        }
    });
    // An entry is killed meanwhile and loses its count of admitted requests.
    let faults = async {
        sleep(Duration::from_millis(2_000)).await;
        cluster.nodes[1].kill();
        cluster.nodes[1].start();
    };
    tokio::join!(futures_util::future::join_all(callers), faults);
    let mut start_times: Vec<Instant> = Vec::new();
    for server in &cluster.targets {
        start_times
            .extend(server.target.ledger.lock().unwrap().starts.iter().map(|(time, _)| *time));
    }
    start_times.sort_unstable();
    let windows = start_times.iter().map(|start| {
        start_times
            .iter()
            .filter(|time| *time >= start && time.duration_since(*start) < WINDOW)
            .count()
    });
    let max_in_window = windows.max().unwrap_or(0);
    assert!(
        max_in_window <= SHIFT_CEILING,
        "{max_in_window} requests started within a time to live"
    );
    assert!(
        start_times.len() > SHIFT_CEILING,
        "no shifted requests ran after the first window: {} in all",
        start_times.len()
    );
}

/// Guards against a link that carries more than its rate, when the entries of two failure domains
/// forward large uploads over it together.
#[tokio::test(flavor = "multi_thread")]
async fn limits_link_bytes() {
    const LINK_BYTES_PER_S: u64 = 2_000_000;
    let target = TargetPlan { slots: 16, queue: 64, service_ms: 1, ..TargetPlan::default() };
    let domains = vec![domain("a1", "a", 2, 0), domain("a2", "a", 1, 0), domain("b1", "b", 1, 2)];
    let plan = ClusterPlan {
        domains,
        replicas: 1,
        target,
        proxied: true,
        link_bytes_per_second: LINK_BYTES_PER_S,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    let uploading = (0..12).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let url = cluster.url(number % 3, "/s/desk/upload/x");
            let request = caller(4, number as u8 + 1).post(url).body(vec![1; 500_000]);
            let request = request.header("hemlockspool-deadline-ms", "30000");
            let response = request.send().await.unwrap();
            response.headers()[OUTCOME_HEADER] == "ran"
        }
    });
    let ran = futures_util::future::join_all(uploading).await;
    assert!(ran.iter().filter(|ran| **ran).count() >= 3, "{ran:?}");
    let peaks: Vec<usize> = (0..3).map(|from| cluster.peak_http_bytes(from, 3)).collect();
    assert!(peaks.iter().sum::<usize>() as u64 <= LINK_BYTES_PER_S, "{peaks:?}");
}

/// Guards against a failure domain that, while cut off, stops serving its callers, runs
/// at-most-once requests, or has an entry that can't restart. Also guards against one that doesn't
/// get the newest version after the cut.
#[tokio::test(flavor = "multi_thread")]
async fn limits_cut_off_domain_serves() {
    let domains = vec![
        domain("a1", "a", 1, 1),
        domain("a2", "a", 1, 1),
        domain("b1", "b", 1, 1),
        domain("b2", "b", 2, 2),
    ];
    let plan = ClusterPlan { domains, replicas: 3, proxied: true, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    let version = cluster.publish_and_wait("first", cluster.objects()).await;
    for inside in [3, 4] {
        for outside in 0..3 {
            cluster.set_link_cut(inside, outside, true);
            cluster.set_link_cut(outside, inside, true);
        }
    }
    wait_until("the status shows an old confirmation", || async {
        let status = cluster.status(3).await.unwrap();
        status.confirmed_age_ms.is_none_or(|age| age > 5_000)
    })
    .await;
    for _ in 0..20 {
        let response = cluster.client.get(cluster.url(3, "/s/desk/read/x")).send().await.unwrap();
        assert_eq!(response.headers()[OUTCOME_HEADER], "ran");
        let target = response.headers()[TARGET_HEADER].to_str().unwrap().to_owned();
        assert!(target.starts_with("b2-"), "{target}");
    }
    let request = cluster.client.post(cluster.url(4, "/s/desk/book/y")).body("x");
    let response = request.header("idempotency-key", "k").send().await.unwrap();
    assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
    let body: RefusalResponse = response.json().await.unwrap();
    assert_eq!(body.reason, RefusalReason::NoQuorum);
    // An entry that starts while cut off gets the configuration from the other entry of its domain.
    cluster.nodes[4].kill();
    cluster.nodes[4].start();
    wait_until("the entry has the configuration", || async {
        let status = cluster.status(4).await;
        status.and_then(|status| status.version).is_some_and(|v| v.0 == version)
    })
    .await;
    let objects = with_limit(&cluster, LimitResource::Region("a".into()), 4);
    let outcome = cluster.publish(0, "meanwhile", version, objects).await;
    assert!(outcome.is_some());
    for inside in [3, 4] {
        for outside in 0..3 {
            cluster.set_link_cut(inside, outside, false);
            cluster.set_link_cut(outside, inside, false);
        }
    }
    cluster.wait_in_force(version + 1).await;
}

/// Guards against targets that run more requests at once than they have slots, requests of which
/// half or fewer run, and at-most-once requests that can't run, when the entries of a region, two
/// of the five voters, are killed and restarted.
#[tokio::test(flavor = "multi_thread")]
async fn limits_region_lost_and_restored() {
    let target = TargetPlan { slots: 4, queue: 64, service_ms: 30, ..TargetPlan::default() };
    let domains = vec![
        domain("a1", "a", 1, 2),
        domain("b1", "b", 1, 2),
        domain("c1", "c", 1, 2),
        domain("a2", "a", 1, 2),
        domain("b2", "b", 1, 2),
    ];
    let plan = ClusterPlan { domains, replicas: 5, target, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    let lost = [0, 3];
    let callers = (0..60).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let client = caller(5, number as u8 + 1);
            let mut ran = 0;
            for round in 0..60 {
                // A caller tries the next entry of its list when one doesn't respond.
                for offset in 0..5 {
                    let url = cluster.url((number + round + offset) % 5, "/s/desk/read/x");
                    let Ok(response) = client.get(url).send().await else { continue };
                    ran += u32::from(response.headers()[OUTCOME_HEADER] == "ran");
                    break;
                }
                sleep(Duration::from_millis(60)).await;
            }
            ran
        }
    });
    let faults = async {
        sleep(Duration::from_millis(800)).await;
        for index in lost {
            cluster.nodes[index].kill();
        }
        // Two of five voters are down; the other three are a quorum, so at-most-once requests run.
        wait_until("a booking runs without the region", || async {
            let request = cluster.client.post(cluster.url(1, "/s/desk/book/y")).body("x");
            let response = request.header("idempotency-key", "k").send().await.unwrap();
            response.headers()[OUTCOME_HEADER] == "ran"
        })
        .await;
        for index in lost {
            cluster.nodes[index].start();
        }
        cluster.wait_ready().await;
    };
    let (ran, ()) = tokio::join!(futures_util::future::join_all(callers), faults);
    for server in &cluster.targets {
        let peak = server.target.peak.load(Ordering::SeqCst);
        assert!(peak <= 4, "{} ran {peak} at once", server.target.plan.name);
    }
    let ran_total: u32 = ran.iter().sum();
    assert!(ran_total > 1_800, "only {ran_total} of 3600 requests ran");
}
