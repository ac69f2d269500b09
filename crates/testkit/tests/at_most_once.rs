//! Requests that run at most once, under resends, deaths, cuts and shedding.

use {
    hemlockspool_model::api::{OUTCOME_HEADER, RefusalReason, RefusalResponse},
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
        stand_in::{SEND_ID_HEADER, TargetFaults, TargetPlan},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

fn plan() -> ClusterPlan {
    let domain = |name, region| DomainPlan { name, region, entries: 1, targets: 3 };
    let domains = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")]
        .map(|(n, r)| domain(n, r));
    let target = TargetPlan { slots: 16, queue: 64, service_ms: 2, ..TargetPlan::default() };
    ClusterPlan {
        domains: domains.into(),
        replicas: 3,
        proxied: true,
        target,
        ..Default::default()
    }
}

/// One sending of a keyed request and what came back.
#[derive(Clone, Debug)]
struct SentOnce {
    key: String,
    mark: String,
    /// The outcome header; none when no answer came.
    outcome: Option<String>,
    body: String,
}

async fn send(cluster: &TestCluster, at: usize, key: &str, mark: &str) -> SentOnce {
    let (key, mark) = (key.to_owned(), mark.to_owned());
    let posting = cluster.client.post(cluster.url(at, "/s/desk/book/seat")).body("two seats");
    let posting = posting.header("idempotency-key", &key).header(SEND_ID_HEADER, &mark);
    let Ok(answer) = posting.timeout(Duration::from_secs(12)).send().await else {
        return SentOnce { key, mark, outcome: None, body: String::new() };
    };
    let outcome = answer.headers().get(OUTCOME_HEADER).map(|v| v.to_str().unwrap().to_owned());
    match answer.text().await {
        Ok(body) => SentOnce { key, mark, outcome, body },
        Err(_) => SentOnce { key, mark, outcome: None, body: String::new() },
    }
}

/// Sends each key until it is said to have run, through one entry after another.
async fn send_keys(cluster: &TestCluster, keys: usize, workers: usize) -> Vec<SentOnce> {
    const SENDINGS_MAX: usize = 12;
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let worker = || async {
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            if number >= keys {
                return;
            }
            let key = format!("key-{number}");
            for sending in 0..SENDINGS_MAX {
                let at = (number + sending) % cluster.nodes.len();
                let sent = send(cluster, at, &key, &format!("{key}/{sending}")).await;
                let ran = sent.outcome.as_deref() == Some("ran");
                all.lock().unwrap().push(sent);
                // A tenth is sent again although it ran, as by a caller that lost the answer.
                if ran && (sending > 0 || number % 10 != 0) {
                    break;
                }
                if !ran {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    };
    let all_workers = (0..workers).map(|_| worker());
    futures_util::future::join_all(all_workers).await;
    all.into_inner().unwrap()
}

/// Compares what callers were told with the targets' own ledgers.
fn check_ledgers(cluster: &TestCluster, sent: &[SentOnce]) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    let mut marks: BTreeSet<String> = BTreeSet::new();
    for server in &cluster.targets {
        for (key, count) in server.target.key_runs() {
            *runs.entry(key).or_insert(0) += count;
        }
        marks.extend(server.target.ledger.lock().unwrap().marks.iter().cloned());
    }
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    let mut bodies: BTreeMap<&str, &str> = BTreeMap::new();
    for one in sent {
        match one.outcome.as_deref() {
            Some("ran") => {
                assert_eq!(runs.get(&one.key), Some(&1), "{one:?} is said to have run");
                let first = bodies.entry(&one.key).or_insert(&one.body);
                assert_eq!(*first, one.body, "a resend gets the recorded answer");
            }
            Some("not-run") => assert!(!marks.contains(&one.mark), "{one:?} did run"),
            _ => {}
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_kills_and_cuts() {
    const KEYS: usize = 10_000;
    let cluster = TestCluster::start(plan()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let done = AtomicUsize::new(0);
    let sending = async {
        let sent = send_keys(&cluster, KEYS, 48).await;
        done.store(1, Ordering::SeqCst);
        sent
    };
    let faults = async {
        let mut round = 0;
        while done.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(400)).await;
            // Entries with and without a disk in turn, the leader's among them.
            let at = round % 5;
            match round % 3 {
                0 => {
                    cluster.nodes[at].kill();
                    sleep(Duration::from_millis(300)).await;
                    cluster.nodes[at].start();
                }
                1 => {
                    cluster.isolate(at, true);
                    sleep(Duration::from_millis(500)).await;
                    cluster.isolate(at, false);
                }
                _ => {
                    cluster.nodes[at].pause();
                    sleep(Duration::from_millis(600)).await;
                    cluster.nodes[at].resume();
                }
            }
            round += 1;
        }
    };
    let (sent, ()) = tokio::join!(sending, faults);
    check_ledgers(&cluster, &sent);
    let ran: BTreeSet<&str> = (sent.iter())
        .filter(|one| one.outcome.as_deref() == Some("ran"))
        .map(|one| one.key.as_str())
        .collect();
    assert!(ran.len() > KEYS / 2, "most ran: {} of {KEYS}", ran.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_shedding_and_lost_responses() {
    let cluster = TestCluster::start(plan()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let shedding = TargetFaults { shed: true, ..TargetFaults::default() };
    let cutting = TargetFaults { cut_before_answer: true, ..TargetFaults::default() };
    for (place, server) in cluster.targets.iter().enumerate() {
        match place % 3 {
            0 => server.target.set(shedding.clone()),
            1 => server.target.set(cutting.clone()),
            _ => {}
        }
    }
    let sent = send_keys(&cluster, 300, 16).await;
    check_ledgers(&cluster, &sent);
    // A request whose answer was cut has run, and nobody can say how it came out.
    let unknown = sent.iter().filter(|one| one.outcome.as_deref() == Some("unknown")).count();
    assert!(unknown > 0);
    let ran = sent.iter().filter(|one| one.outcome.as_deref() == Some("ran")).count();
    assert!(ran > 0);
}

/// A claim that the leader took in but could commit only after its entry had given it up.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_claim_committed_late() {
    let cluster = TestCluster::start(plan()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let leader = cluster.leader().await;
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    for other in &others {
        cluster.nodes[*other].kill();
    }
    let sent = send(&cluster, 4, "k", "k/0").await;
    assert_eq!(sent.outcome.as_deref(), Some("not-run"), "{sent:?}");
    for other in &others {
        cluster.nodes[*other].start();
    }
    let all: Mutex<Vec<SentOnce>> = Mutex::new(vec![sent]);
    wait_until("the key can be used again", || async {
        let one = send(&cluster, 3, "k", "k/1").await;
        let ran = one.outcome.as_deref() == Some("ran");
        all.lock().unwrap().push(one);
        ran
    })
    .await;
    let all = all.into_inner().unwrap();
    check_ledgers(&cluster, &all);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_without_quorum() {
    let cluster = TestCluster::start(plan()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    cluster.nodes[0].kill();
    cluster.nodes[1].kill();
    let posting = cluster.client.post(cluster.url(4, "/s/desk/book/seat")).body("two seats");
    let posting = posting.header("idempotency-key", "k").header(SEND_ID_HEADER, "k/0");
    let answer = posting.send().await.unwrap();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()[OUTCOME_HEADER], "not-run");
    assert!(answer.headers().contains_key("retry-after"));
    let body: RefusalResponse = answer.json().await.unwrap();
    assert_eq!(body.reason, RefusalReason::NoQuorum);
    // What may be repeated is served as before.
    let read = cluster.client.get(cluster.url(4, "/s/desk/read/x")).send().await.unwrap();
    assert_eq!(read.status(), 200);
    cluster.nodes[0].start();
    // The key is free: the caller was told that it had not run.
    let sent: Arc<Mutex<Vec<SentOnce>>> = Arc::default();
    wait_until("the resend runs", || async {
        let one = send(&cluster, 3, "k", "k/1").await;
        let ran = one.outcome.as_deref() == Some("ran");
        sent.lock().unwrap().push(one);
        ran
    })
    .await;
    let sent = sent.lock().unwrap().clone();
    check_ledgers(&cluster, &sent);
    let marks: BTreeSet<String> = (cluster.targets.iter())
        .flat_map(|server| server.target.ledger.lock().unwrap().marks.clone())
        .collect();
    assert!(!marks.contains("k/0"), "the refused sending did run");
}
