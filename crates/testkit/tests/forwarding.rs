//! Forwarding to targets: complete responses, refusals, cancellation, fairness and overload.

use {
    futures_util::stream,
    hemlockspool_model::{
        api::{OUTCOME_HEADER, RefusalReason, RefusalResponse, TARGET_HEADER},
        objects::{DeclaredObject, KindPolicy},
    },
    hemlockspool_serve::EndpointServer,
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
        stand_in::{SEND_ID_HEADER, TargetFaults, TargetPlan, response_byte},
    },
    poem::{Request, endpoint},
    reqwest::{Body, Client},
    std::{
        collections::BTreeSet,
        io,
        net::Ipv4Addr,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const LARGE_RESPONSE_BYTES: usize = 3_000_000;

/// Returns a plan in which only the first failure domain has targets, so that the entries of the
/// others forward all requests to its entry.
fn remote_targets() -> ClusterPlan {
    let domain = |name, region, targets| DomainPlan { name, region, entries: 1, targets };
    let domains = vec![domain("a1", "a", 3), domain("a2", "a", 0), domain("b1", "b", 0)];
    ClusterPlan { domains, replicas: 1, proxied: true, ..ClusterPlan::default() }
}

fn single_domain(target: TargetPlan, entries: usize, targets: usize) -> ClusterPlan {
    let domains = vec![DomainPlan { name: "a1", region: "a", entries, targets }];
    ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() }
}

async fn start_and_publish(plan: ClusterPlan) -> TestCluster {
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    cluster
}

/// Returns a client whose requests come from its own loopback address: a separate caller.
fn caller(number: u8) -> Client {
    let from = Ipv4Addr::new(127, 0, 1, number);
    Client::builder().no_proxy().local_address(Some(from.into())).build().unwrap()
}

/// Guards against large responses that arrive incomplete or with wrong bytes when entries forward
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_large_responses_complete() {
    let cluster = start_and_publish(remote_targets()).await;
    for index in 0..3 {
        let url = cluster.url(index, &format!("/s/desk/read/x?bytes={LARGE_RESPONSE_BYTES}"));
        let response = cluster.client.get(url).send().await.unwrap();
        assert_eq!(response.headers()[OUTCOME_HEADER], "ran");
        let body = response.bytes().await.unwrap();
        assert_eq!(body.len(), LARGE_RESPONSE_BYTES);
        assert!(body.iter().enumerate().all(|(offset, byte)| *byte == response_byte(offset)));
    }
}

/// Guards against a truncated response that the caller takes for a complete one: a target cuts the
/// connection in the middle of the body.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_truncated_response_fails() {
    let cluster = start_and_publish(remote_targets()).await;
    let cutting =
        TargetFaults { cut_after_bytes: Some(LARGE_RESPONSE_BYTES / 2), ..TargetFaults::default() };
    for server in &cluster.targets {
        server.target.set(cutting.clone());
    }
    for index in 0..3 {
        let url = cluster.url(index, &format!("/s/desk/read/x?bytes={LARGE_RESPONSE_BYTES}"));
        let response = cluster.client.get(url).send().await.unwrap();
        assert!(response.bytes().await.is_err(), "entry {index} completed a truncated response");
    }
}

/// Guards against a response above the declared size that reaches the caller: over a link, it would
/// use more than was reserved.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_response_larger_than_declared() {
    let cluster = TestCluster::start(remote_targets()).await;
    let mut objects = cluster.objects();
    for object in &mut objects {
        if let DeclaredObject::Service(service) = object {
            service.kinds.get_mut(&"read".into()).unwrap().answer_bytes = 1_000;
        }
    }
    cluster.publish_and_wait("first", objects).await;
    for index in 0..3 {
        let url = cluster.url(index, "/s/desk/read/x?bytes=5000");
        let response = cluster.client.get(url).send().await.unwrap();
        assert_eq!(response.status(), 502);
        assert_eq!(response.headers()[OUTCOME_HEADER], "ran");
        let body: RefusalResponse = response.json().await.unwrap();
        assert_eq!(body.reason, RefusalReason::AnswerTooLarge);
    }
}

/// Guards against a request body above the declared size that runs because it is chunked.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_chunked_body_over_limit() {
    static COMPLETE_BYTES: AtomicUsize = AtomicUsize::new(0);
    let route = endpoint::make(|request: Request| async move {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        COMPLETE_BYTES.fetch_add(body.len(), Ordering::SeqCst);
        r#"{"load":0,"draining":false}"#
    });
    let server = EndpointServer::bind((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let cluster = TestCluster::start(single_domain(TargetPlan::default(), 1, 1)).await;
    let mut objects = cluster.objects();
    let limit = |policy: &mut KindPolicy| policy.request_bytes = 100_000;
    objects.iter_mut().for_each(|object| match object {
        DeclaredObject::Service(service) => service.kinds.values_mut().for_each(limit),
        DeclaredObject::Target(target) => target.address = server.address(),
        _ => {}
    });
    tokio::spawn(server.serve(route, std::future::pending(), Duration::ZERO));
    cluster.publish_and_wait("first", objects).await;
    for (pieces, allowed) in [(30, false), (10, true)] {
        let pieces = (0..pieces).map(|_| io::Result::Ok(vec![1; 10_000]));
        let request = cluster.client.post(cluster.url(0, "/s/desk/upload/x"));
        let response = request.body(Body::wrap_stream(stream::iter(pieces))).send().await;
        assert_eq!(response.is_ok_and(|response| response.status().is_success()), allowed);
    }
    assert_eq!(COMPLETE_BYTES.load(Ordering::SeqCst), 100_000);
}

/// Guards against a retryable request that fails because one of the targets cuts its connections
/// before the response.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_small_truncated_response_retried() {
    let cluster = start_and_publish(remote_targets()).await;
    let cutting = TargetFaults { cut_before_answer: true, ..TargetFaults::default() };
    cluster.targets[0].target.set(cutting);
    for round in 0..30 {
        let index = round % 3;
        let response =
            cluster.client.get(cluster.url(index, "/s/desk/read/x")).send().await.unwrap();
        assert_eq!(response.status(), 200);
        let target = response.headers()[TARGET_HEADER].to_str().unwrap().to_owned();
        let text = response.text().await.unwrap();
        assert!(text.starts_with(&format!("{target} ran")), "{target}: {text}");
    }
}

/// Guards against responses that go to the wrong request when many run at once with different
/// service times. Requests that are refused aren't checked.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_responses_match_requests() {
    let cluster = start_and_publish(remote_targets()).await;
    let requests = (0..400).map(|number| {
        let cluster = &cluster;
        async move {
            let service_ms = (number * 7) % 40;
            let path = format!("/s/desk/read/item-{number}?service_ms={service_ms}");
            let url = cluster.url(number % 3, &path);
            let response = cluster.client.get(url).send().await.unwrap();
            if response.headers()[OUTCOME_HEADER] == "ran" {
                let text = response.text().await.unwrap();
                assert!(text.contains(&format!("/read/item-{number}?")), "{number}: {text}");
            }
        }
    });
    futures_util::future::join_all(requests).await;
}

/// Guards against a slot that stays taken after its caller has disconnected, because the target
/// never sees the cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_cancelled_request_frees_slot() {
    let target = TargetPlan { slots: 1, queue: 0, ..TargetPlan::default() };
    let cluster = start_and_publish(single_domain(target, 1, 1)).await;
    let request = cluster.client.get(cluster.url(0, "/s/desk/read/x?service_ms=20000"));
    let result = tokio::time::timeout(Duration::from_millis(300), request.send()).await;
    assert!(result.is_err());
    let target = &cluster.targets[0].target;
    wait_until("the target sees the cancellation", || async {
        target.cancelled.load(Ordering::SeqCst) == 1
    })
    .await;
    wait_until("the slot is free", || async {
        let response = cluster.client.get(cluster.url(0, "/s/desk/read/y")).send().await.unwrap();
        response.status() == 200
    })
    .await;
}

/// Guards against an overload that entries pass on to targets, refusals that come only at the
/// deadline, refused requests that ran, and requests that neither ran nor were refused.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_overload_refused_immediately() {
    let target = TargetPlan { slots: 4, queue: 0, service_ms: 50, ..TargetPlan::default() };
    let cluster = start_and_publish(single_domain(target, 2, 2)).await;
    let refused_ids: std::sync::Mutex<BTreeSet<String>> = Default::default();
    let refused = std::sync::atomic::AtomicU32::new(0);
    let requests = (0..200).map(|number| {
        let (cluster, refused_ids, refused) = (&cluster, &refused_ids, &refused);
        async move {
            sleep(Duration::from_millis(number * 4)).await;
            let send_id = format!("m{number}");
            let sent_at = Instant::now();
            let client = caller((number % 100) as u8 + 1);
            let request = client.get(cluster.url((number % 2) as usize, "/s/desk/read/x"));
            let response = request.header(SEND_ID_HEADER, &send_id).send().await.unwrap();
            if response.headers()[OUTCOME_HEADER] == "not-run" {
                assert!(response.headers().contains_key("retry-after"));
                let elapsed = sent_at.elapsed();
                let body: RefusalResponse = response.json().await.unwrap();
                // Refusals don't wait for the deadline of ten seconds.
                assert!(elapsed < Duration::from_secs(3), "{body:?} took {elapsed:?}");
                refused_ids.lock().unwrap().insert(send_id);
                refused.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    futures_util::future::join_all(requests).await;
    let refused_ids = refused_ids.into_inner().unwrap();
    let mut ran = 0;
    for server in &cluster.targets {
        let target = &server.target;
        assert!(
            target.peak.load(Ordering::SeqCst) <= 4,
            "a target ran more requests at once than it has slots"
        );
        assert_eq!(
            target.shed.load(Ordering::SeqCst),
            0,
            "the entries sent more than a target could run"
        );
        let ledger = target.ledger.lock().unwrap();
        assert!(ledger.send_ids.is_disjoint(&refused_ids), "a refused request has run");
        ran += ledger.send_ids.len();
    }
    assert_eq!(
        ran as u32 + refused.load(Ordering::SeqCst),
        200,
        "a request neither ran nor was refused"
    );
}

/// Guards against a caller that is refused because another one floods the entry with requests.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_flood_leaves_fair_share() {
    let target = TargetPlan { slots: 4, queue: 0, service_ms: 20, ..TargetPlan::default() };
    let cluster = start_and_publish(single_domain(target, 1, 1)).await;
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
            let response = client.get(&url).send().await.unwrap();
            ran += u32::from(response.status() == 200);
            sleep(Duration::from_millis(10)).await;
        }
        ran
    };
    let (_, ran) = tokio::join!(futures_util::future::join_all(flooding), modest);
    assert!(ran >= 18, "only {ran} of 20 requests of the other caller ran");
}

/// Guards against a request that is sent to a target although it can't finish within its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_deadline_too_short() {
    let target = TargetPlan { slots: 2, queue: 0, service_ms: 200, ..TargetPlan::default() };
    let cluster = start_and_publish(single_domain(target, 1, 1)).await;
    let url = cluster.url(0, "/s/desk/read/x");
    for _ in 0..5 {
        assert_eq!(cluster.client.get(&url).send().await.unwrap().status(), 200);
    }
    let ran = cluster.targets[0].target.ran.load(Ordering::SeqCst);
    let request = cluster.client.get(&url).header("hemlockspool-deadline-ms", "20");
    let response = request.send().await.unwrap();
    assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
    let body: RefusalResponse = response.json().await.unwrap();
    assert_eq!(body.reason, RefusalReason::DeadlineTooShort);
    assert_eq!(cluster.targets[0].target.ran.load(Ordering::SeqCst), ran);
}
