//! Publications under races, lost responses, kills, process pauses and network cuts, and the audit
//! trail.

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

/// Longest time that a publication may take to be in force at every daemon, as the users require.
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

/// Samples the version in force at every daemon, and fails if it ever decreases.
fn watch_versions(
    cluster: &Arc<TestCluster>,
    stop: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<()> {
    let (cluster, stop) = (Arc::clone(cluster), Arc::clone(stop));
    tokio::spawn(async move {
        let mut highest = vec![0; cluster.nodes.len()];
        while !stop.load(Ordering::SeqCst) {
            for (index, highest) in highest.iter_mut().enumerate() {
                let request = cluster.client.get(cluster.url(index, "/v1/status"));
                let Ok(response) = request.timeout(Duration::from_millis(300)).send().await else {
                    continue;
                };
                let Ok(status) = response.json::<StatusResponse>().await else {
                    continue;
                };
                if let Some(version) = status.version {
                    assert!(
                        version.0 >= *highest,
                        "daemon {index} reverted from {highest} to {version}"
                    );
                    *highest = version.0;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    })
}

/// Guards against two publications with the same base that are both accepted or both rejected, and
/// against a resend that gets another outcome than the first send.
#[tokio::test(flavor = "multi_thread")]
async fn publication_racing_operators() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    for round in 0..5 {
        let base = cluster.config(0).await.unwrap().version.0;
        let (first, second) =
            (with_block(&cluster, 2 * round), with_block(&cluster, 2 * round + 1));
        let (first_tag, second_tag) = (format!("one-{round}"), format!("other-{round}"));
        let (first_outcome, second_outcome) = tokio::join!(
            cluster.publish(1, &first_tag, base, first.clone()),
            cluster.publish(2, &second_tag, base, second.clone()),
        );
        let accepted = |outcome: &Option<PublishOutcome>| {
            matches!(outcome, Some(PublishOutcome::Accepted { .. }))
        };
        assert!(
            accepted(&first_outcome) != accepted(&second_outcome),
            "not exactly one was accepted: {first_outcome:?} {second_outcome:?}"
        );
        let rejected = if accepted(&first_outcome) { &second_outcome } else { &first_outcome };
        let Some(PublishOutcome::Conflict { current, changed }) = rejected else {
            panic!("the other publication has no conflict: {rejected:?}");
        };
        assert_eq!(current.0, base + 1);
        assert!(changed.iter().any(|line| line.starts_with("+ caller-block")), "{changed:?}");
        // A later resend with the same tag gets the first outcome, at another entry or the same.
        cluster.wait_in_force(base + 1).await;
        assert_eq!(cluster.publish(0, &first_tag, base, first).await, first_outcome);
        assert_eq!(cluster.publish(2, &second_tag, base, second).await, second_outcome);
    }
}

/// Guards against a publication that is lost, applied twice or not in force in time when the leader
/// is killed. The leader is killed 0, 4 or 8 ms after the send, or on an earlier outcome.
#[tokio::test(flavor = "multi_thread")]
async fn publication_leader_killed() {
    let cluster = TestCluster::start(five_domains()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    for round in 0..3 {
        let base = cluster.config(4).await.unwrap().version.0;
        let leader = cluster.leader().await;
        let objects = with_block(&cluster, round);
        let tag = format!("round-{round}");
        let publishing = cluster.publish(4, &tag, base, objects.clone());
        let killed_after = Duration::from_millis(u64::from(round) * 4);
        let first = tokio::select! {
            outcome = publishing => outcome,
            () = sleep(killed_after) => None,
        };
        cluster.nodes[leader].kill();
        let started = Instant::now();
        let last = Cell::new(None);
        wait_until("the publication is accepted", || async {
            let outcome = cluster.publish(4, &tag, base, objects.clone()).await;
            let is_accepted = matches!(outcome, Some(PublishOutcome::Accepted { .. }));
            last.set(outcome);
            is_accepted
        })
        .await;
        let last = last.take();
        if let Some(first @ PublishOutcome::Accepted { .. }) = first {
            assert_eq!(Some(first), last, "a resend got another outcome than the first send");
        }
        assert_eq!(last, Some(PublishOutcome::Accepted { version: ConfigVersion(base + 1) }));
        cluster.wait_in_force(base + 1).await;
        assert!(started.elapsed() < IN_FORCE_MAX, "in force after {:?}", started.elapsed());
        cluster.nodes[leader].start();
        cluster.wait_in_force(base + 1).await;
    }
}

/// Guards against a version in force that decreases when a paused leader resumes with outdated
/// state or when a replica that was cut off reconnects, and against that replica deposing the
/// leader.
#[tokio::test(flavor = "multi_thread")]
async fn publication_never_reverts() {
    let cluster = Arc::new(TestCluster::start(five_domains()).await);
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_versions(&cluster, &stop);
    cluster.publish_and_wait("first", cluster.objects()).await;
    // The leader is paused until the others have elected another one and accepted a publication.
    let leader = cluster.leader().await;
    cluster.nodes[leader].pause();
    let follower = (leader + 1) % 3;
    wait_until("the other replicas accept a publication", || async {
        let Some(config) = cluster.config(4).await else { return false };
        let tag = format!("frozen-{}", config.version);
        let outcome =
            cluster.publish(follower, &tag, config.version.0, with_block(&cluster, 1)).await;
        matches!(outcome, Some(PublishOutcome::Accepted { .. }))
    })
    .await;
    let version = cluster.config(follower).await.unwrap().version.0;
    cluster.nodes[leader].resume();
    cluster.wait_in_force(version).await;
    // A replica is cut off for more than two seconds: first only the connections that the others
    // make to it, then all of its connections, while publications continue.
    let cut_off = (cluster.leader().await + 1) % 3;
    for other in (0..5).filter(|other| *other != cut_off) {
        cluster.set_link_cut(other, cut_off, true);
    }
    sleep(Duration::from_secs(2)).await;
    cluster.set_isolated(cut_off, true);
    let leader = cluster.leader().await;
    let term = cluster.status(leader).await.unwrap().replica.unwrap().term;
    for round in 0..5 {
        let base = cluster.config(leader).await.unwrap().version.0;
        let tag = format!("cut-{round}");
        let outcome = cluster.publish(leader, &tag, base, with_block(&cluster, 10 + round)).await;
        assert!(matches!(outcome, Some(PublishOutcome::Accepted { .. })), "{outcome:?}");
        wait_until("the version is in force at the leader", || async {
            cluster.config(leader).await.is_some_and(|config| config.version.0 > base)
        })
        .await;
    }
    let age = cluster.status(cut_off).await.unwrap().confirmed_age_ms;
    assert!(
        age.is_none_or(|age| age > 1_000),
        "the replica that was cut off reports a recent confirmation: {age:?}"
    );
    cluster.set_isolated(cut_off, false);
    let version = cluster.config(leader).await.unwrap().version.0;
    cluster.wait_in_force(version).await;
    let after = cluster.status(leader).await.unwrap().replica.unwrap();
    assert_eq!(
        (after.role.as_str(), after.term),
        ("leader", term),
        "the replica that was cut off deposed the leader"
    );
    stop.store(true, Ordering::SeqCst);
    watcher.await.unwrap();
}

/// Guards against a late or incomplete catch-up of a replica and an entry after 500 publications,
/// and against a version that is lost when all processes are killed together.
#[tokio::test(flavor = "multi_thread")]
async fn publication_restart_after_many_changes() {
    let cluster = TestCluster::start(five_domains()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    let stopped = (cluster.leader().await + 1) % 3;
    cluster.nodes[stopped].kill();
    cluster.nodes[4].kill();
    let leader = cluster.leader().await;
    let mut base = cluster.config(leader).await.unwrap().version.0;
    for change in 0..500 {
        let objects = with_block(&cluster, change);
        let outcome = cluster.publish(leader, &format!("many-{change}"), base, objects).await;
        assert_eq!(outcome, Some(PublishOutcome::Accepted { version: ConfigVersion(base + 1) }));
        base += 1;
        wait_until("the version is in force at the leader", || async {
            cluster.config(leader).await.is_some_and(|config| config.version.0 >= base)
        })
        .await;
    }
    let started = Instant::now();
    cluster.nodes[stopped].start();
    cluster.nodes[4].start();
    cluster.wait_in_force(base).await;
    assert!(started.elapsed() < IN_FORCE_MAX, "in force after {:?}", started.elapsed());
    // All daemons are killed together: the same version is in force after the restart.
    for node in &cluster.nodes {
        node.kill();
    }
    for node in &cluster.nodes {
        node.start();
    }
    cluster.wait_in_force(base).await;
    for node in 0..5 {
        assert_eq!(cluster.config(node).await.unwrap().version.0, base);
    }
}

/// Guards against a call without a valid token that has an effect, accepted or refused calls that
/// are missing from the audit trail, and records whose chain digest doesn't match.
#[tokio::test(flavor = "multi_thread")]
async fn publication_audit_trail() {
    let cluster = TestCluster::start(five_domains()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    let body = serde_json::json!({"request": "intruder", "base": 1, "change": {"objects": []}});
    let request =
        cluster.client.post(cluster.url(4, "/v1/publish")).bearer_auth("wrong").json(&body);
    assert_eq!(request.send().await.unwrap().status(), 401);
    let request = cluster.client.post(cluster.url(1, "/v1/replicas")).bearer_auth("wrong");
    assert_eq!(request.json("init").send().await.unwrap().status(), 401);
    let mut faulty = cluster.objects();
    faulty.remove(0);
    let outcome = cluster.publish(0, "faulty", 1, faulty).await;
    assert!(matches!(outcome, Some(PublishOutcome::Faulty { .. })), "{outcome:?}");
    wait_until("the refused change of replicas is recorded", || async {
        let response =
            cluster.client.get(cluster.url(0, "/v1/audit?limit=100")).send().await.unwrap();
        response.text().await.unwrap().contains("\"request\":\"replicas\"")
    })
    .await;
    // An entry without a data folder redirects the client to one that has the audit trail.
    let response = cluster.client.get(cluster.url(4, "/v1/audit?limit=100")).send().await.unwrap();
    let page: AuditResponse = response.json().await.unwrap();
    let record_of = |tag: &str| page.records.iter().find(|record| record.request.as_str() == tag);
    assert_eq!(record_of("first").unwrap().action, AuditAction::Accepted);
    assert_eq!(record_of("first").unwrap().operator.as_ref().unwrap().as_str(), "ops");
    assert_eq!(record_of("intruder").unwrap().action, AuditAction::Unauthorised);
    assert_eq!(record_of("intruder").unwrap().operator, None);
    assert_eq!(record_of("replicas").unwrap().action, AuditAction::Unauthorised);
    let added = page.records.iter().filter(|r| r.changed[..] == ["asked to take in a2-e0"]);
    assert!(added.clone().all(|record| record.operator == Some("ops".into())));
    assert_eq!(added.count(), 1);
    assert_eq!(record_of("faulty").unwrap().action, AuditAction::Faulty);
    assert_eq!(cluster.config(4).await.unwrap().version.0, 1);
    let mut chain = String::new();
    for record in &page.records {
        assert_eq!(record.chain, hemlockspool_core::ledger::audit::chain_digest(&chain, record));
        chain.clone_from(&record.chain);
    }
}
