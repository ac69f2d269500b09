//! Complete answers, true refusals, cancellation, fairness and overload.

use {
    hemlockspool_model::{
        api::{OUTCOME_HEADER, RefusalReason, RefusalResponse, TARGET_HEADER},
        objects::DeclaredObject,
    },
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
        stand_in::{SEND_ID_HEADER, TargetFaults, TargetPlan, answer_byte},
    },
    reqwest::Client,
    std::{collections::BTreeSet, net::Ipv4Addr, sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, sleep},
};

const LARGE_BYTES: usize = 3_000_000;

/// One failure domain without targets, so that all its work goes through another's entry.
fn with_remote() -> ClusterPlan {
    let domain = |name, region, targets| DomainPlan { name, region, entries: 1, targets };
    let domains = vec![domain("a1", "a", 3), domain("a2", "a", 0), domain("b1", "b", 0)];
    ClusterPlan { domains, replicas: 1, proxied: true, ..ClusterPlan::default() }
}

fn one_domain(target: TargetPlan, entries: usize, targets: usize) -> ClusterPlan {
    let domains = vec![DomainPlan { name: "a1", region: "a", entries, targets }];
    ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() }
}

async fn started(plan: ClusterPlan) -> TestCluster {
    let cluster = TestCluster::start(plan).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    cluster
}

/// A client whose requests come from another address of loopback.
fn caller(number: u8) -> Client {
    let from = Ipv4Addr::new(127, 0, 1, number);
    Client::builder().no_proxy().local_address(Some(from.into())).build().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_large_responses_complete() {
    let cluster = started(with_remote()).await;
    for at in 0..3 {
        let url = cluster.url(at, &format!("/s/desk/read/x?bytes={LARGE_BYTES}"));
        let answer = cluster.client.get(url).send().await.unwrap();
        assert_eq!(answer.headers()[OUTCOME_HEADER], "ran");
        let body = answer.bytes().await.unwrap();
        assert_eq!(body.len(), LARGE_BYTES);
        assert!(body.iter().enumerate().all(|(place, byte)| *byte == answer_byte(place)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_truncated_response_fails() {
    let cluster = started(with_remote()).await;
    let cutting =
        TargetFaults { cut_after_bytes: Some(LARGE_BYTES / 2), ..TargetFaults::default() };
    for server in &cluster.targets {
        server.target.set(cutting.clone());
    }
    for at in 0..3 {
        let url = cluster.url(at, &format!("/s/desk/read/x?bytes={LARGE_BYTES}"));
        let answer = cluster.client.get(url).send().await.unwrap();
        assert!(answer.bytes().await.is_err(), "a cut answer is cut towards the caller too");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_response_larger_than_declared() {
    let cluster = TestCluster::start(with_remote()).await;
    let mut objects = cluster.objects();
    for object in &mut objects {
        if let DeclaredObject::Service(service) = object {
            service.kinds.get_mut(&"read".into()).unwrap().answer_bytes = 1_000;
        }
    }
    cluster.publish_in_force("first", objects).await;
    for at in 0..3 {
        let url = cluster.url(at, "/s/desk/read/x?bytes=5000");
        let answer = cluster.client.get(url).send().await.unwrap();
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.headers()[OUTCOME_HEADER], "ran");
        let body: RefusalResponse = answer.json().await.unwrap();
        assert_eq!(body.reason, RefusalReason::AnswerTooLarge);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_small_truncated_response_retried() {
    let cluster = started(with_remote()).await;
    let cutting = TargetFaults { cut_before_answer: true, ..TargetFaults::default() };
    cluster.targets[0].target.set(cutting);
    for round in 0..30 {
        let at = round % 3;
        let answer = cluster.client.get(cluster.url(at, "/s/desk/read/x")).send().await.unwrap();
        assert_eq!(answer.status(), 200);
        let own = answer.headers()[TARGET_HEADER].to_str().unwrap().to_owned();
        let text = answer.text().await.unwrap();
        assert!(text.starts_with(&format!("{own} ran")), "{own}: {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_responses_match_requests() {
    let cluster = started(with_remote()).await;
    let asking = (0..400).map(|number| {
        let cluster = &cluster;
        async move {
            let slow = (number * 7) % 40;
            let path = format!("/s/desk/read/item-{number}?service_ms={slow}");
            let url = cluster.url(number % 3, &path);
            let answer = cluster.client.get(url).send().await.unwrap();
            if answer.headers()[OUTCOME_HEADER] == "ran" {
                let text = answer.text().await.unwrap();
                assert!(text.contains(&format!("/read/item-{number}?")), "{number}: {text}");
            }
        }
    });
    futures_util::future::join_all(asking).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_cancelled_request_frees_slot() {
    let target = TargetPlan { slots: 1, queue: 0, ..TargetPlan::default() };
    let cluster = started(one_domain(target, 1, 1)).await;
    let asking = cluster.client.get(cluster.url(0, "/s/desk/read/x?service_ms=20000"));
    let gone = tokio::time::timeout(Duration::from_millis(300), asking.send()).await;
    assert!(gone.is_err());
    let target = &cluster.targets[0].target;
    wait_until("the target sees that it is cancelled", || async {
        target.cancelled.load(Ordering::SeqCst) == 1
    })
    .await;
    wait_until("the slot is free", || async {
        let answer = cluster.client.get(cluster.url(0, "/s/desk/read/y")).send().await.unwrap();
        answer.status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_overload_refused_immediately() {
    let target = TargetPlan { slots: 4, queue: 0, service_ms: 50, ..TargetPlan::default() };
    let cluster = started(one_domain(target, 2, 2)).await;
    let marks: std::sync::Mutex<BTreeSet<String>> = Default::default();
    let refused = std::sync::atomic::AtomicU32::new(0);
    let asking = (0..200).map(|number| {
        let (cluster, marks, refused) = (&cluster, &marks, &refused);
        async move {
            sleep(Duration::from_millis(number * 4)).await;
            let mark = format!("m{number}");
            let sent = Instant::now();
            let client = caller((number % 100) as u8 + 1);
            let asking = client.get(cluster.url((number % 2) as usize, "/s/desk/read/x"));
            let answer = asking.header(SEND_ID_HEADER, &mark).send().await.unwrap();
            if answer.headers()[OUTCOME_HEADER] == "not-run" {
                assert!(answer.headers().contains_key("retry-after"));
                let took = sent.elapsed();
                let body: RefusalResponse = answer.json().await.unwrap();
                // Refusals don't wait for the deadline of ten seconds.
                assert!(took < Duration::from_secs(3), "{body:?} took {took:?}");
                marks.lock().unwrap().insert(mark);
                refused.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    futures_util::future::join_all(asking).await;
    let refused_marks = marks.into_inner().unwrap();
    let mut ran = 0;
    for server in &cluster.targets {
        let target = &server.target;
        assert!(target.peak.load(Ordering::SeqCst) <= 4, "no target gets more than its slots");
        assert_eq!(target.shed.load(Ordering::SeqCst), 0, "nothing is left for the target to shed");
        let ledger = target.ledger.lock().unwrap();
        assert!(ledger.marks.is_disjoint(&refused_marks), "what was refused did not run");
        ran += ledger.marks.len();
    }
    assert_eq!(ran as u32 + refused.load(Ordering::SeqCst), 200, "each ran or was refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_flood_leaves_fair_share() {
    let target = TargetPlan { slots: 4, queue: 0, service_ms: 20, ..TargetPlan::default() };
    let cluster = started(one_domain(target, 1, 1)).await;
    let url = cluster.url(0, "/s/desk/read/x");
    let flooding = (0..60).map(|_| {
        let (client, url) = (caller(200), url.clone());
        async move {
            for _ in 0..20 {
                let _ = client.get(&url).send().await;
            }
        }
    });
    let modest = async {
        let client = caller(201);
        let mut ran = 0;
        for _ in 0..20 {
            let answer = client.get(&url).send().await.unwrap();
            ran += u32::from(answer.status() == 200);
            sleep(Duration::from_millis(10)).await;
        }
        ran
    };
    let (_, ran) = tokio::join!(futures_util::future::join_all(flooding), modest);
    assert!(ran >= 18, "the modest caller got {ran} of 20");
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_deadline_too_short() {
    let target = TargetPlan { slots: 2, queue: 0, service_ms: 200, ..TargetPlan::default() };
    let cluster = started(one_domain(target, 1, 1)).await;
    let url = cluster.url(0, "/s/desk/read/x");
    for _ in 0..5 {
        assert_eq!(cluster.client.get(&url).send().await.unwrap().status(), 200);
    }
    let ran = cluster.targets[0].target.ran.load(Ordering::SeqCst);
    let asking = cluster.client.get(&url).header("hemlockspool-deadline-ms", "20");
    let answer = asking.send().await.unwrap();
    assert_eq!(answer.headers()[OUTCOME_HEADER], "not-run");
    let body: RefusalResponse = answer.json().await.unwrap();
    assert_eq!(body.reason, RefusalReason::DeadlineTooShort);
    assert_eq!(cluster.targets[0].target.ran.load(Ordering::SeqCst), ran);
}
