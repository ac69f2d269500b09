//! Planned stops: targets by three ways, entries, replicas and failure domains.

use {
    hemlockspool_model::{
        api::{ListedInstance, LookupResponse, OUTCOME_HEADER, TARGET_HEADER},
        objects::{DeclaredObject, DrainObject, DrainSubject},
    },
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster, free_address, wait_until},
        stand_in::{ListServer, TargetFaults},
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// A leaving target gets no new work after this.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

fn plan() -> ClusterPlan {
    let domain = |name, region| DomainPlan { name, region, entries: 1, targets: 2 };
    let domains = vec![domain("a1", "a"), domain("a2", "a"), domain("b1", "b")];
    ClusterPlan { domains, replicas: 3, ..ClusterPlan::default() }
}

async fn started(plan: ClusterPlan) -> TestCluster {
    let cluster = TestCluster::start(plan).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    cluster
}

fn with_drain(cluster: &TestCluster, subject: DrainSubject) -> Vec<DeclaredObject> {
    let mut objects = cluster.objects();
    objects.push(DeclaredObject::Drain(DrainObject { name: "stop".into(), subject }));
    objects
}

/// Sends requests until told to stop; every one must be answered.
async fn keep_asking(cluster: &TestCluster, at: usize, stop: &AtomicBool) -> u32 {
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        let answer = cluster.client.get(cluster.url(at, "/s/desk/read/x")).send().await.unwrap();
        assert_eq!(answer.headers()[OUTCOME_HEADER], "ran", "{answer:?}");
        count += 1;
        sleep(Duration::from_millis(5)).await;
    }
    count
}

/// Checks that a target gets no work once the bound has passed, while requests go on, and that what
/// it had is not cut.
async fn check_leaving<F, Fut>(cluster: &TestCluster, place: usize, leave: F)
where
    F: FnOnce() -> Fut,
    Fut: Future<Output = ()>,
{
    let stop = AtomicBool::new(false);
    let target = &cluster.targets[place].target;
    let long = async {
        // Some of these long requests are on the target when it starts to leave.
        let asking = (0..6).map(|_| async {
            let url = cluster.url(0, "/s/desk/upload/x?service_ms=4500");
            let posting = cluster.client.post(url).body(vec![7; 200_000]);
            let answer = posting.send().await.unwrap();
            assert_eq!(answer.status(), 200);
            answer.headers()[TARGET_HEADER].to_str().unwrap().to_owned()
        });
        futures_util::future::join_all(asking).await
    };
    let watching = async {
        wait_until("the target has work", || async { target.running.load(Ordering::SeqCst) > 0 })
            .await;
        leave().await;
        sleep(NO_NEW_WORK_AFTER).await;
        let ran = target.ran.load(Ordering::SeqCst);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(target.ran.load(Ordering::SeqCst), ran, "new work after the bound");
        stop.store(true, Ordering::SeqCst);
    };
    let (went, count, ()) = tokio::join!(long, keep_asking(cluster, 0, &stop), watching);
    assert!(went.contains(&target.plan.name), "{went:?}");
    assert!(count > 50);
    assert_eq!(target.cancelled.load(Ordering::SeqCst), 0, "nothing was cut");
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_target_by_operator() {
    let cluster = started(plan()).await;
    let objects = with_drain(&cluster, DrainSubject::Target("a1-t0".into()));
    check_leaving(&cluster, 0, || async {
        let answer = cluster.publish(2, "drain", 1, objects).await;
        assert!(answer.is_some());
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_target_self_reported() {
    let cluster = started(plan()).await;
    check_leaving(&cluster, 0, || async {
        let draining = TargetFaults { draining: true, ..TargetFaults::default() };
        cluster.targets[0].target.set(draining);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_target_by_instance_list() {
    let list = ListServer::start(free_address()).await.unwrap();
    let cluster = started(ClusterPlan { instance_list: Some(list.address), ..plan() }).await;
    check_leaving(&cluster, 0, || async {
        let line = ListedInstance { name: "a1-t0".to_owned(), leaving: true };
        list.lines.lock().unwrap().push(line);
    })
    .await;
}

async fn look_up(cluster: &TestCluster, at: usize) -> Vec<String> {
    let asking = cluster.client.get(cluster.url(at, "/v1/lookup")).send().await.unwrap();
    let answer: LookupResponse = asking.json().await.unwrap();
    answer.entries.iter().map(|entry| entry.name.to_string()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_entry_stops_gracefully() {
    let plan = ClusterPlan { drain_ms: 2_500, ..plan() };
    let cluster = started(plan).await;
    assert!(look_up(&cluster, 0).await.contains(&"b1-e0".to_owned()));
    let long = async {
        let url = cluster.url(2, "/s/desk/upload/x?service_ms=4000");
        let posting = cluster.client.post(url).body(vec![7; 1_000_000]);
        let answer = posting.send().await.unwrap();
        assert_eq!(answer.headers()[OUTCOME_HEADER], "ran");
        answer.text().await.unwrap()
    };
    let stopping = async {
        let busy = || cluster.targets.iter().any(|s| s.target.running.load(Ordering::SeqCst) > 0);
        wait_until("the upload runs", || async { busy() }).await;
        let begun = Instant::now();
        let cached = async {
            // A caller that holds an older answer still comes here for a time to live.
            while begun.elapsed() < Duration::from_secs(2) {
                let url = cluster.url(2, "/s/desk/read/x");
                let answer = cluster.client.get(url).send().await.unwrap();
                assert_eq!(answer.headers()[OUTCOME_HEADER], "ran");
                sleep(Duration::from_millis(20)).await;
            }
        };
        let gone = wait_until("others don't name it any more", || async {
            !look_up(&cluster, 0).await.contains(&"b1-e0".to_owned())
        });
        let (code, (), ()) = tokio::join!(cluster.nodes[2].stop(), cached, gone);
        code
    };
    let (text, code) = tokio::join!(long, stopping);
    assert!(text.contains("1000000"), "{text}");
    assert_eq!(code, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_leader_transfers_leadership() {
    let cluster = started(plan()).await;
    let leader = cluster.leader().await;
    let other = (leader + 1) % 3;
    let begun = Instant::now();
    let (code, ()) = tokio::join!(cluster.nodes[leader].stop(), async {
        wait_until("another leads", || async {
            let role = cluster.status(other).await.and_then(|s| s.replica);
            role.is_some_and(|replica| {
                replica.leader.is_some_and(|name| name.as_str() != cluster.nodes[leader].name)
            })
        })
        .await;
        // An election for want of a leader would take 0.8 s at least after its last heartbeat.
        assert!(begun.elapsed() < Duration::from_millis(800), "after {:?}", begun.elapsed());
    });
    assert_eq!(code, Some(0));
    let answer = cluster.publish(other, "after", 1, cluster.objects()).await;
    assert!(answer.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_failure_domain() {
    let cluster = started(plan()).await;
    let objects = with_drain(&cluster, DrainSubject::FailureDomain("a1".into()));
    let stop = AtomicBool::new(false);
    let draining = async {
        sleep(Duration::from_millis(300)).await;
        let answer = cluster.publish(2, "drain", 1, objects).await;
        assert!(answer.is_some());
        cluster.in_force(2).await;
        sleep(NO_NEW_WORK_AFTER).await;
        let ran = |place: usize| cluster.targets[place].target.ran.load(Ordering::SeqCst);
        let before = ran(0) + ran(1);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(ran(0) + ran(1), before, "no new work there");
        let entries = look_up(&cluster, 2).await;
        assert!(!entries.contains(&"a1-e0".to_owned()), "{entries:?}");
        stop.store(true, Ordering::SeqCst);
    };
    // Callers that still come to the drained domain's entry are served through another.
    let (count, ()) = tokio::join!(keep_asking(&cluster, 0, &stop), draining);
    assert!(count > 50);
}
