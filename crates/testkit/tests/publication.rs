//! Publications under races, lost answers, deaths, standstills and cuts.

use {
    hemlockspool_model::{
        api::{AuditAction, AuditResponse, PublishOutcome, StatusResponse},
        names::ConfigVersion,
        objects::{BlockObject, DeclaredObject},
    },
    hemlockspool_testkit::cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
    std::{
        cell::Cell,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// In force everywhere, from the users' letter.
const IN_FORCE_MAX: Duration = Duration::from_secs(7);

fn five_domains() -> ClusterPlan {
    let domain = |name, region| DomainPlan { name, region, entries: 1, targets: 1 };
    ClusterPlan {
        domains: vec![
            domain("a1", "a"),
            domain("a2", "a"),
            domain("b1", "b"),
            domain("b2", "b"),
            domain("c1", "c"),
        ],
        replicas: 3,
        proxied: true,
        ..ClusterPlan::default()
    }
}

fn with_block(cluster: &TestCluster, number: u32) -> Vec<DeclaredObject> {
    let mut objects = cluster.objects();
    let prefix = format!("10.{}.{}.0/24", number / 256, number % 256).parse().unwrap();
    let (domain, caller) = ("a1".into(), "caller".into());
    objects.push(DeclaredObject::CallerBlock(BlockObject { prefix, domain, caller }));
    objects
}

/// Samples the version in force at every daemon, and fails if one ever falls.
fn watch_versions(
    cluster: &Arc<TestCluster>,
    stop: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<()> {
    let (cluster, stop) = (Arc::clone(cluster), Arc::clone(stop));
    tokio::spawn(async move {
        let mut highest = vec![0; cluster.nodes.len()];
        while !stop.load(Ordering::SeqCst) {
            for (at, highest) in highest.iter_mut().enumerate() {
                let asking = cluster.client.get(cluster.url(at, "/v1/status"));
                let Ok(answer) = asking.timeout(Duration::from_millis(300)).send().await else {
                    continue;
                };
                let Ok(status) = answer.json::<StatusResponse>().await else {
                    continue;
                };
                if let Some(version) = status.version {
                    assert!(version.0 >= *highest, "{at} fell from {highest} to {version}");
                    *highest = version.0;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn publication_racing_operators() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    for round in 0..5 {
        let base = cluster.config(0).await.unwrap().version.0;
        let (one, other) = (with_block(&cluster, 2 * round), with_block(&cluster, 2 * round + 1));
        let (tag_one, tag_other) = (format!("one-{round}"), format!("other-{round}"));
        let (a, b) = tokio::join!(
            cluster.publish(1, &tag_one, base, one.clone()),
            cluster.publish(2, &tag_other, base, other.clone()),
        );
        let accepted = |answer: &Option<PublishOutcome>| {
            matches!(answer, Some(PublishOutcome::Accepted { .. }))
        };
        assert!(accepted(&a) != accepted(&b), "exactly one wins: {a:?} {b:?}");
        let loser = if accepted(&a) { &b } else { &a };
        let Some(PublishOutcome::Conflict { current, changed }) = loser else {
            panic!("the other is told of a conflict: {loser:?}");
        };
        assert_eq!(current.0, base + 1);
        assert!(changed.iter().any(|line| line.starts_with("+ caller-block")), "{changed:?}");
        // A resend under the same tag, elsewhere and late, gets the first answer.
        cluster.in_force(base + 1).await;
        assert_eq!(cluster.publish(0, &tag_one, base, one).await, a);
        assert_eq!(cluster.publish(2, &tag_other, base, other).await, b);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn publication_leader_killed() {
    let cluster = TestCluster::start(five_domains()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    for round in 0..3 {
        let base = cluster.config(4).await.unwrap().version.0;
        let leader = cluster.leader().await;
        let objects = with_block(&cluster, round);
        let tag = format!("round-{round}");
        let publishing = cluster.publish(4, &tag, base, objects.clone());
        let killed_after = Duration::from_millis(u64::from(round) * 4);
        let first = tokio::select! {
            answer = publishing => answer,
            () = sleep(killed_after) => None,
        };
        cluster.nodes[leader].kill();
        let started = Instant::now();
        let last = Cell::new(None);
        wait_until("the publication is certain", || async {
            let answer = cluster.publish(4, &tag, base, objects.clone()).await;
            let certain = matches!(answer, Some(PublishOutcome::Accepted { .. }));
            last.set(answer);
            certain
        })
        .await;
        let last = last.take();
        if let Some(first @ PublishOutcome::Accepted { .. }) = first {
            assert_eq!(Some(first), last, "a resend gets the first answer");
        }
        assert_eq!(last, Some(PublishOutcome::Accepted { version: ConfigVersion(base + 1) }));
        cluster.in_force(base + 1).await;
        assert!(started.elapsed() < IN_FORCE_MAX, "in force after {:?}", started.elapsed());
        cluster.nodes[leader].start();
        cluster.in_force(base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn publication_never_reverts() {
    let cluster = Arc::new(TestCluster::start(five_domains()).await);
    let stop = Arc::new(AtomicBool::new(false));
    let watching = watch_versions(&cluster, &stop);
    cluster.publish_in_force("first", cluster.objects()).await;
    // The leader stands still for longer than every lease; the others go on without it.
    let leader = cluster.leader().await;
    cluster.nodes[leader].pause();
    let other = (leader + 1) % 3;
    wait_until("the others go on", || async {
        let Some(config) = cluster.config(4).await else { return false };
        let tag = format!("frozen-{}", config.version);
        let answer = cluster.publish(other, &tag, config.version.0, with_block(&cluster, 1)).await;
        matches!(answer, Some(PublishOutcome::Accepted { .. }))
    })
    .await;
    let version = cluster.config(other).await.unwrap().version.0;
    cluster.nodes[leader].resume();
    cluster.in_force(version).await;
    // A replica is cut off for long, first one way and then both, while changes go on.
    let cut_off = (cluster.leader().await + 1) % 3;
    for other in (0..5).filter(|other| *other != cut_off) {
        cluster.cut(other, cut_off, true);
    }
    sleep(Duration::from_secs(2)).await;
    cluster.isolate(cut_off, true);
    let leader = cluster.leader().await;
    let term = cluster.status(leader).await.unwrap().replica.unwrap().term;
    for round in 0..5 {
        let base = cluster.config(leader).await.unwrap().version.0;
        let tag = format!("cut-{round}");
        let answer = cluster.publish(leader, &tag, base, with_block(&cluster, 10 + round)).await;
        assert!(matches!(answer, Some(PublishOutcome::Accepted { .. })), "{answer:?}");
        wait_until("the leader has it in force", || async {
            cluster.config(leader).await.is_some_and(|config| config.version.0 > base)
        })
        .await;
    }
    let age = cluster.status(cut_off).await.unwrap().confirmed_age_ms;
    assert!(age.is_none_or(|age| age > 1_000), "the one cut off shows the age: {age:?}");
    cluster.isolate(cut_off, false);
    let version = cluster.config(leader).await.unwrap().version.0;
    cluster.in_force(version).await;
    let after = cluster.status(leader).await.unwrap().replica.unwrap();
    assert_eq!((after.role.as_str(), after.term), ("leader", term), "nobody is deposed by it");
    stop.store(true, Ordering::SeqCst);
    watching.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn publication_restart_after_many_changes() {
    let cluster = TestCluster::start(five_domains()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let down = (cluster.leader().await + 1) % 3;
    cluster.nodes[down].kill();
    cluster.nodes[4].kill();
    let at = cluster.leader().await;
    let mut base = cluster.config(at).await.unwrap().version.0;
    for change in 0..500 {
        let objects = with_block(&cluster, change);
        let answer = cluster.publish(at, &format!("many-{change}"), base, objects).await;
        assert_eq!(answer, Some(PublishOutcome::Accepted { version: ConfigVersion(base + 1) }));
        base += 1;
        wait_until("it is in force where the next is made", || async {
            cluster.config(at).await.is_some_and(|config| config.version.0 >= base)
        })
        .await;
    }
    let started = Instant::now();
    cluster.nodes[down].start();
    cluster.nodes[4].start();
    cluster.in_force(base).await;
    assert!(started.elapsed() < IN_FORCE_MAX, "in force after {:?}", started.elapsed());
    // All at once: what is in force afterwards is what was before.
    for node in &cluster.nodes {
        node.kill();
    }
    for node in &cluster.nodes {
        node.start();
    }
    cluster.in_force(base).await;
    for node in 0..5 {
        assert_eq!(cluster.config(node).await.unwrap().version.0, base);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn publication_audit_trail() {
    let cluster = TestCluster::start(five_domains()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let body = serde_json::json!({"request": "intruder", "base": 1, "change": {"objects": []}});
    let posting =
        cluster.client.post(cluster.url(4, "/v1/publish")).bearer_auth("wrong").json(&body);
    assert_eq!(posting.send().await.unwrap().status(), 401);
    let posting = cluster.client.post(cluster.url(1, "/v1/replicas")).bearer_auth("wrong");
    assert_eq!(posting.json("init").send().await.unwrap().status(), 401);
    let mut faulty = cluster.objects();
    faulty.remove(0);
    let answer = cluster.publish(0, "faulty", 1, faulty).await;
    assert!(matches!(answer, Some(PublishOutcome::Faulty { .. })), "{answer:?}");
    wait_until("the refused change of replicas is recorded", || async {
        let page = cluster.client.get(cluster.url(0, "/v1/audit?limit=100")).send().await.unwrap();
        page.text().await.unwrap().contains("\"request\":\"replicas\"")
    })
    .await;
    // An entry without a disk sends the asker on to one that has the trail.
    let page = cluster.client.get(cluster.url(4, "/v1/audit?limit=100")).send().await.unwrap();
    let page: AuditResponse = page.json().await.unwrap();
    let of = |tag: &str| page.records.iter().find(|record| record.request.as_str() == tag);
    assert_eq!(of("first").unwrap().action, AuditAction::Accepted);
    assert_eq!(of("first").unwrap().operator.as_ref().unwrap().as_str(), "ops");
    assert_eq!(of("intruder").unwrap().action, AuditAction::Unauthorised);
    assert_eq!(of("intruder").unwrap().operator, None);
    assert_eq!(of("replicas").unwrap().action, AuditAction::Unauthorised);
    let asked = page.records.iter().filter(|r| r.changed[..] == ["asked to take in a2-e0"]);
    assert!(asked.clone().all(|record| record.operator == Some("ops".into())));
    assert_eq!(asked.count(), 1);
    assert_eq!(of("faulty").unwrap().action, AuditAction::Faulty);
    assert_eq!(cluster.config(4).await.unwrap().version.0, 1);
    let mut chain = String::new();
    for record in &page.records {
        assert_eq!(record.chain, hemlockspool_core::ledger::audit::chain_digest(&chain, record));
        chain.clone_from(&record.chain);
    }
}
