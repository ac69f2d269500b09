//! Ceilings of regions, shifts and links, and failure domains that are cut off.

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

fn caller(third: u8, last: u8) -> Client {
    let from = Ipv4Addr::new(127, 0, third, last);
    Client::builder().no_proxy().local_address(Some(from.into())).build().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_region_ceiling() {
    region_ceiling(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_ceiling_entry_killed() {
    region_ceiling(false).await;
}

/// Holds a region at its ceiling while an entry dies and comes back, and while another stands still.
async fn region_ceiling(freezes: bool) {
    let target = TargetPlan { slots: 8, queue: 64, service_ms: 40, ..TargetPlan::default() };
    let domains = vec![domain("a1", "a", 2, 2), domain("a2", "a", 2, 1), domain("b1", "b", 1, 0)];
    let plan = ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    const CEILING: u64 = 11;
    let objects = with_limit(&cluster, LimitResource::Region("a".into()), CEILING);
    cluster.publish_in_force("first", objects).await;
    // Reports that say that there is no load change nothing: a decision counts its own.
    let lying = TargetFaults { reported_load: Some(0), ..TargetFaults::default() };
    for server in &cluster.targets {
        server.target.set(lying.clone());
    }
    let asking = (0..60).map(|number: usize| {
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
        if freezes {
            cluster.nodes[3].pause();
        }
        sleep(Duration::from_millis(2_600)).await;
        cluster.nodes[1].start();
        if freezes {
            cluster.nodes[3].resume();
        }
    };
    tokio::join!(futures_util::future::join_all(asking), faults);
    let peak = cluster.regions["a"].peak.load(Ordering::SeqCst);
    assert!(u64::from(peak) <= CEILING, "{peak} ran at once");
    assert!(peak >= 7, "there was load: {peak}");
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_shift_cap() {
    const CAP: usize = 20;
    const WINDOW: Duration = Duration::from_secs(1);
    let target = TargetPlan { slots: 16, queue: 64, service_ms: 1, ..TargetPlan::default() };
    let domains = vec![domain("a1", "a", 1, 1), domain("b1", "b", 2, 1), domain("b2", "b", 1, 1)];
    let plan =
        ClusterPlan { domains, replicas: 1, target, ttl_ms: 1_000, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    let mut objects = with_limit(&cluster, LimitResource::Shift("b".into()), CAP as u64);
    let (prefix, domain, caller_name) =
        ("127.0.3.0/24".parse().unwrap(), "a1".into(), "far".into());
    objects.push(DeclaredObject::CallerBlock(BlockObject { prefix, domain, caller: caller_name }));
    cluster.publish_in_force("first", objects).await;
    // The home of these callers is gone, and all of them turn to the other region at once.
    let home = cluster.nodes.iter().position(|node| node.name == "a1-e0").unwrap();
    cluster.nodes[home].kill();
    let asking = (0..30).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let client = caller(3, number as u8 + 1);
            for round in 0..120 {
                let mark = format!("{number}/{round}");
                let asking = client.get(cluster.url(1 + (number + round) % 3, "/s/desk/read/x"));
                if let Ok(answer) = asking.header(SEND_ID_HEADER, mark).send().await {
                    let outcome = answer.headers()[OUTCOME_HEADER].to_str().unwrap().to_owned();
                    assert!(outcome == "ran" || answer.headers().contains_key("retry-after"));
                }
                sleep(Duration::from_millis(40)).await;
            }
        }
    });
    // An entry dies in the middle and forgets what it let in.
    let faults = async {
        sleep(Duration::from_millis(2_000)).await;
        cluster.nodes[1].kill();
        cluster.nodes[1].start();
    };
    tokio::join!(futures_util::future::join_all(asking), faults);
    let mut times: Vec<Instant> = Vec::new();
    for server in &cluster.targets {
        times.extend(server.target.ledger.lock().unwrap().started.iter().map(|(at, _)| *at));
    }
    times.sort_unstable();
    let windows = times.iter().map(|start| {
        times.iter().filter(|at| *at >= start && at.duration_since(*start) < WINDOW).count()
    });
    let most = windows.max().unwrap_or(0);
    assert!(most <= CAP, "{most} came in within a time to live");
    assert!(times.len() > CAP, "the shift goes on step by step: {}", times.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_link_bytes() {
    const LINK: u64 = 2_000_000;
    let target = TargetPlan { slots: 16, queue: 64, service_ms: 1, ..TargetPlan::default() };
    let domains = vec![domain("a1", "a", 2, 0), domain("a2", "a", 1, 0), domain("b1", "b", 1, 2)];
    let plan = ClusterPlan {
        domains,
        replicas: 1,
        target,
        proxied: true,
        link_bytes_per_second: LINK,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let uploading = (0..12).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let url = cluster.url(number % 3, "/s/desk/upload/x");
            let posting = caller(4, number as u8 + 1).post(url).body(vec![1; 500_000]);
            let posting = posting.header("hemlockspool-deadline-ms", "30000");
            let answer = posting.send().await.unwrap();
            answer.headers()[OUTCOME_HEADER] == "ran"
        }
    });
    let ran = futures_util::future::join_all(uploading).await;
    assert!(ran.iter().filter(|ran| **ran).count() >= 3, "{ran:?}");
    let peaks: Vec<usize> = (0..3).map(|from| cluster.peak_http_bytes(from, 3)).collect();
    assert!(peaks.iter().sum::<usize>() as u64 <= LINK, "{peaks:?}");
}

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
    let version = cluster.publish_in_force("first", cluster.objects()).await;
    for inside in [3, 4] {
        for outside in 0..3 {
            cluster.cut(inside, outside, true);
            cluster.cut(outside, inside, true);
        }
    }
    wait_until("the cut is noticed and shown", || async {
        let status = cluster.status(3).await.unwrap();
        status.confirmed_age_ms.is_none_or(|age| age > 5_000)
    })
    .await;
    for _ in 0..20 {
        let answer = cluster.client.get(cluster.url(3, "/s/desk/read/x")).send().await.unwrap();
        assert_eq!(answer.headers()[OUTCOME_HEADER], "ran");
        let target = answer.headers()[TARGET_HEADER].to_str().unwrap().to_owned();
        assert!(target.starts_with("b2-"), "{target}");
    }
    let posting = cluster.client.post(cluster.url(4, "/s/desk/book/y")).body("x");
    let answer = posting.header("idempotency-key", "k").send().await.unwrap();
    assert_eq!(answer.headers()[OUTCOME_HEADER], "not-run");
    let body: RefusalResponse = answer.json().await.unwrap();
    assert_eq!(body.reason, RefusalReason::NoQuorum);
    // An entry that starts while cut off takes what its neighbour has, and says that it is old.
    cluster.nodes[4].kill();
    cluster.nodes[4].start();
    wait_until("it settles", || async {
        let status = cluster.status(4).await;
        status.and_then(|status| status.version).is_some_and(|v| v.0 == version)
    })
    .await;
    let objects = with_limit(&cluster, LimitResource::Region("a".into()), 4);
    let answer = cluster.publish(0, "meanwhile", version, objects).await;
    assert!(answer.is_some());
    for inside in [3, 4] {
        for outside in 0..3 {
            cluster.cut(inside, outside, false);
            cluster.cut(outside, inside, false);
        }
    }
    cluster.in_force(version + 1).await;
}

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
    cluster.publish_in_force("first", cluster.objects()).await;
    let lost = [0, 3];
    let asking = (0..60).map(|number: usize| {
        let cluster = &cluster;
        async move {
            let client = caller(5, number as u8 + 1);
            let mut ran = 0;
            for round in 0..60 {
                // A caller goes through its list: the next entry when one doesn't answer.
                for turn in 0..5 {
                    let url = cluster.url((number + round + turn) % 5, "/s/desk/read/x");
                    let Ok(answer) = client.get(url).send().await else { continue };
                    ran += u32::from(answer.headers()[OUTCOME_HEADER] == "ran");
                    break;
                }
                sleep(Duration::from_millis(60)).await;
            }
            ran
        }
    });
    let faults = async {
        sleep(Duration::from_millis(800)).await;
        for at in lost {
            cluster.nodes[at].kill();
        }
        // Two voters of five are gone; what must run at most once still can.
        wait_until("a booking runs without the region", || async {
            let posting = cluster.client.post(cluster.url(1, "/s/desk/book/y")).body("x");
            let answer = posting.header("idempotency-key", "k").send().await.unwrap();
            answer.headers()[OUTCOME_HEADER] == "ran"
        })
        .await;
        for at in lost {
            cluster.nodes[at].start();
        }
        cluster.ready().await;
    };
    let (ran, ()) = tokio::join!(futures_util::future::join_all(asking), faults);
    for server in &cluster.targets {
        let peak = server.target.peak.load(Ordering::SeqCst);
        assert!(peak <= 4, "{} ran {peak} at once", server.target.plan.name);
    }
    let served: u32 = ran.iter().sum();
    assert!(served > 1_800, "most are served throughout: {served} of 3600");
}
