//! Measures the two deployments of the brief as real processes on loopback, with delays injected.
//!
//! `measure CASE [SEED]` prints one JSON line; `docs/MEASUREMENTS.md` lists the cases.

use {
    hemlockspool_model::{
        api::OUTCOME_HEADER,
        objects::{DeclaredObject, DrainObject, DrainSubject},
    },
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
        load::{LoadPlan, LoadReport, load_client, run_load},
        process_stat::{cpu_seconds, resident_mb},
        stand_in::TargetPlan,
    },
    serde_json::{Value, json},
    std::{sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, sleep},
};

const LOAD_FOR: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| "authority".to_owned());
    let seed = std::env::args().nth(2).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let figures = match case.as_str() {
        "authority" => deployment(authority(), seed).await,
        "cantabrico" => deployment(cantabrico(), seed).await,
        "added" => added_time(seed).await,
        "lookups" => lookups(seed).await,
        "overload" => overload(seed).await,
        "commits" => commits(authority()).await,
        "commits-cantabrico" => commits(cantabrico()).await,
        "drain" => drain(seed).await,
        "idle" => idle().await,
        "failover" => failover().await,
        _ => json!("no such case"),
    };
    println!("{}", json!({"case": case, "seed": seed, "figures": figures}));
}

fn plan(domains: [(&'static str, &'static str, usize, usize); 6]) -> ClusterPlan {
    let domains = domains.map(|(name, region, entries, targets)| DomainPlan {
        name,
        region,
        entries,
        targets,
    });
    ClusterPlan { domains: domains.into(), replicas: 5, ..ClusterPlan::default() }
}

/// Route registry of the Authority: 25 targets of 7 slots, 8 entries, links of 300 Mbit/s, and
/// five replicas: two in each of two regions and one in the third.
fn authority() -> ClusterPlan {
    let target = TargetPlan { slots: 7, queue: 0, service_ms: 60, ..TargetPlan::default() };
    ClusterPlan {
        target,
        delays: Some((Duration::from_micros(500), Duration::from_millis(12))),
        link_bytes_per_second: 37_500_000,
        ttl_ms: 2_000,
        ..plan([
            ("gp-a", "gp", 1, 5),
            ("wc-a", "wc", 1, 4),
            ("kz-a", "kz", 1, 4),
            ("gp-b", "gp", 1, 4),
            ("wc-b", "wc", 2, 4),
            ("kz-b", "kz", 2, 4),
        ])
    }
}

/// Calendar service of Cantábrico: 20 targets of 5 slots, 8 entries, links of 4 Gbit/s, and
/// five replicas: two in each of two regions and one in the third.
fn cantabrico() -> ClusterPlan {
    let target = TargetPlan { slots: 5, queue: 0, service_ms: 60, ..TargetPlan::default() };
    ClusterPlan {
        target,
        delays: Some((Duration::from_micros(1_500), Duration::from_millis(35))),
        link_bytes_per_second: 500_000_000,
        ttl_ms: 2_000,
        ..plan([
            ("ga-a", "ga", 1, 4),
            ("as-a", "as", 1, 3),
            ("eu-a", "eu", 1, 3),
            ("ga-b", "ga", 1, 4),
            ("as-b", "as", 2, 3),
            ("eu-b", "eu", 2, 3),
        ])
    }
}

async fn started(plan: ClusterPlan) -> TestCluster {
    let cluster = TestCluster::start(plan).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    cluster
}

/// One URL for each target, at the entries of its failure domain in turn: callers are at home where
/// there is something to serve them.
fn urls(cluster: &TestCluster, path: &str) -> Vec<String> {
    let mut all = Vec::new();
    for domain in &cluster.plan.domains {
        let nodes = cluster.nodes.iter().enumerate().filter(|(_, node)| node.domain == domain.name);
        let own: Vec<usize> = nodes.map(|(at, _)| at).collect();
        for place in 0..domain.targets * own.len() {
            all.extend(vec![cluster.url(own[place % own.len()], path); 2 / own.len()]);
        }
    }
    all
}

fn load(urls: Vec<String>, per_second: f64, seed: u64) -> LoadPlan {
    LoadPlan { urls, per_second, duration: LOAD_FOR, seed, keyed: false, body_bytes: 0 }
}

/// What the deployment's targets run a second at most.
fn capacity(cluster: &TestCluster) -> f64 {
    let slots: usize = cluster.targets.iter().map(|server| server.target.plan.slots).sum();
    // A timer of the stand-in is late by this on the average, as `added` shows.
    const TIMER_LATE_MS: f64 = 1.3;
    slots as f64 / ((cluster.plan.target.service_ms as f64 + TIMER_LATE_MS) / 1_000.0)
}

fn target_figures(cluster: &TestCluster) -> Value {
    let peak = |server: &hemlockspool_testkit::stand_in::TargetServer| {
        server.target.peak.load(Ordering::SeqCst)
    };
    let over = cluster.targets.iter().filter(|s| peak(s) as usize > s.target.plan.slots).count();
    let shed: u64 = cluster.targets.iter().map(|s| s.target.shed.load(Ordering::SeqCst)).sum();
    let regions: Vec<Value> = (cluster.regions.iter())
        .map(|(name, gauge)| json!({"region": name, "peak": gauge.peak.load(Ordering::SeqCst)}))
        .collect();
    json!({"targets_over_slots": over, "shed_by_targets": shed, "regions": regions})
}

async fn counts(cluster: &TestCluster) -> Value {
    let mut all = std::collections::BTreeMap::new();
    for at in 0..cluster.nodes.len() {
        let text = cluster.client.get(cluster.url(at, "/metrics")).send().await.unwrap();
        for line in text.text().await.unwrap().lines() {
            let counted =
                line.starts_with("hemlockspool_requests") || line.starts_with("hemlockspool_ref");
            if let (true, Some((name, value))) = (counted, line.rsplit_once(' ')) {
                *all.entry(name.to_owned()).or_insert(0.0) += value.parse::<f64>().unwrap_or(0.0);
            }
        }
    }
    json!(all)
}

async fn deployment(plan: ClusterPlan, seed: u64) -> Value {
    let cluster = started(plan).await;
    let client = load_client();
    let full = capacity(&cluster);
    let mut steps = Vec::new();
    for share in [0.5, 0.8, 0.95] {
        let reads = load(urls(&cluster, "/s/desk/read/x"), full * share, seed);
        let report = run_load(&client, reads).await;
        steps.push(json!({"load": share, "report": report}));
    }
    let keyed = LoadPlan {
        keyed: true,
        body_bytes: 200,
        ..load(urls(&cluster, "/s/desk/book/x"), 100.0, seed)
    };
    let booked = run_load(&client, keyed).await;
    let counts = counts(&cluster).await;
    json!({"reads": steps, "bookings": booked, "targets": target_figures(&cluster), "counts": counts})
}

/// What an entry adds to a direct call at half load, without injected delays.
async fn added_time(seed: u64) -> Value {
    let target = TargetPlan { slots: 40, queue: 0, service_ms: 5, ..TargetPlan::default() };
    let domains = vec![DomainPlan { name: "a1", region: "a", entries: 1, targets: 4 }];
    let plan = ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() };
    let cluster = started(plan).await;
    let client = load_client();
    let direct: Vec<String> = (cluster.targets.iter())
        .map(|server| format!("http://{}/read/x", server.target.address))
        .collect();
    let mut out = Vec::new();
    for per_second in [200.0, 1_000.0, 2_000.0] {
        let straight = run_load(&client, load(direct.clone(), per_second, seed)).await;
        let through =
            run_load(&client, load(urls(&cluster, "/s/desk/read/x"), per_second, seed)).await;
        out.push(
            json!({"per_second": per_second, "direct": straight.ran_ms, "through": through.ran_ms}),
        );
    }
    json!(out)
}

/// Look-ups a second, and the entry's processor time for each.
async fn lookups(seed: u64) -> Value {
    let cluster = started(authority()).await;
    let client = load_client();
    let pid = cluster.nodes[0].pid();
    let before = cpu_seconds(pid);
    let begun = Instant::now();
    let url = cluster.url(0, "/v1/lookup?caller=10.0.0.1");
    let workers = (0..32).map(|_| {
        let (client, url) = (client.clone(), url.clone());
        tokio::spawn(async move {
            let mut count = 0u64;
            while begun.elapsed() < LOAD_FOR {
                client.get(&url).send().await.unwrap().bytes().await.unwrap();
                count += 1;
            }
            count
        })
    });
    let mut count = 0;
    for worker in workers.collect::<Vec<_>>() {
        count += worker.await.unwrap();
    }
    let wall = begun.elapsed().as_secs_f64();
    let cpu = cpu_seconds(pid) - before;
    let paced: LoadReport = run_load(&client, load(vec![url], 2_000.0, seed)).await;
    json!({
        "per_second": count as f64 / wall,
        "cores": cpu / wall,
        "per_second_a_core": count as f64 / cpu,
        "paced_at_2000": paced.ran_ms,
    })
}

/// Three times what the targets can do.
async fn overload(seed: u64) -> Value {
    let target = TargetPlan { slots: 7, queue: 0, service_ms: 20, ..TargetPlan::default() };
    let domains = vec![
        DomainPlan { name: "a1", region: "a", entries: 2, targets: 2 },
        DomainPlan { name: "a2", region: "a", entries: 1, targets: 2 },
    ];
    let plan = ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() };
    let cluster = started(plan).await;
    let client = load_client();
    let full = capacity(&cluster);
    let report = run_load(&client, load(urls(&cluster, "/s/desk/read/x"), 3.0 * full, seed)).await;
    let goodput = report.ran_per_second / full;
    let counts = counts(&cluster).await;
    json!({
        "capacity": full,
        "goodput_of_capacity": goodput,
        "report": report,
        "targets": target_figures(&cluster),
        "counts": counts,
    })
}

/// Commits one after another, and claims side by side.
async fn commits(plan: ClusterPlan) -> Value {
    let cluster = started(plan).await;
    let at = cluster.leader().await;
    let objects = |number: u64| {
        let mut objects = cluster.objects();
        let name = format!("drain-{number}").as_str().into();
        let subject =
            DrainSubject::Target(format!("{}-t0", cluster.nodes[0].domain).as_str().into());
        objects.push(DeclaredObject::Drain(DrainObject { name, subject }));
        objects
    };
    let (mut commit_ms, mut force_ms) = (Vec::new(), Vec::new());
    for number in 0..20 {
        let base = cluster.config(at).await.unwrap().version.0;
        let begun = Instant::now();
        let answer = cluster.publish(at, &format!("c{number}"), base, objects(number)).await;
        commit_ms.push(begun.elapsed().as_secs_f64() * 1_000.0);
        assert!(answer.is_some());
        cluster.in_force(base + 1).await;
        force_ms.push(begun.elapsed().as_secs_f64() * 1_000.0);
    }
    let client = load_client();
    let keyed = LoadPlan {
        keyed: true,
        body_bytes: 200,
        ..load(urls(&cluster, "/s/desk/book/x"), 300.0, 7)
    };
    let claims = run_load(&client, keyed).await;
    commit_ms.sort_by(f64::total_cmp);
    force_ms.sort_by(f64::total_cmp);
    json!({
        "commit_ms_median": commit_ms[10], "commit_ms_max": commit_ms[19],
        "in_force_ms_median": force_ms[10], "in_force_ms_max": force_ms[19],
        "bookings": claims,
    })
}

/// The time from a drain's publication to the last new work, and to the target being empty.
async fn drain(seed: u64) -> Value {
    let cluster = started(authority()).await;
    let client = load_client();
    let target = &cluster.targets[0].target;
    let half = capacity(&cluster) * 0.5;
    let loading = run_load(&client, load(urls(&cluster, "/s/desk/read/x"), half, seed));
    let draining = async {
        sleep(Duration::from_secs(2)).await;
        let mut objects = cluster.objects();
        let subject = DrainSubject::Target(target.plan.name.as_str().into());
        objects.push(DeclaredObject::Drain(DrainObject { name: "d".into(), subject }));
        let begun = Instant::now();
        cluster.publish(7, "drain", 1, objects).await;
        let committed = begun.elapsed();
        let mut last = (target.ran.load(Ordering::SeqCst), begun.elapsed());
        while begun.elapsed() < Duration::from_secs(3) {
            let ran = target.ran.load(Ordering::SeqCst);
            if ran != last.0 {
                last = (ran, begun.elapsed());
            }
            sleep(Duration::from_millis(1)).await;
        }
        wait_until("the target is empty", || async { target.running.load(Ordering::SeqCst) == 0 })
            .await;
        json!({"committed_ms": committed.as_millis() as u64, "last_new_work_ms": last.1.as_millis() as u64})
    };
    let (report, drained) = tokio::join!(loading, draining);
    json!({"drained": drained, "report": report, "cancelled": target.cancelled.load(Ordering::SeqCst)})
}

/// Processor time, memory and control bytes of daemons without callers.
async fn idle() -> Value {
    let cluster = started(ClusterPlan { proxied: true, ..authority() }).await;
    sleep(Duration::from_secs(2)).await;
    let pids: Vec<i32> = cluster.nodes.iter().map(|node| node.pid()).collect();
    let before: Vec<f64> = pids.iter().map(|pid| cpu_seconds(*pid)).collect();
    let sent: Vec<u64> = (0..pids.len()).map(|at| cluster.peer_bytes(at)).collect();
    sleep(Duration::from_secs(10)).await;
    let mut nodes = Vec::new();
    for (at, pid) in pids.iter().enumerate() {
        let role = cluster.status(at).await.and_then(|s| s.replica).map(|r| r.role);
        nodes.push(json!({
            "role": role.unwrap_or_else(|| "entry".to_owned()),
            "core_percent": (cpu_seconds(*pid) - before[at]) * 10.0,
            "resident_mb": resident_mb(*pid),
            "sent_bytes_per_second": (cluster.peer_bytes(at) - sent[at]) / 10,
        }));
    }
    json!(nodes)
}

/// The time without a leader after one dies, as seen by an operator and by bookings.
async fn failover() -> Value {
    let cluster = started(authority()).await;
    let mut times = Vec::new();
    for _ in 0..5 {
        let leader = cluster.leader().await;
        let other = (leader + 1) % 5;
        cluster.nodes[leader].kill();
        let begun = Instant::now();
        wait_until("a booking runs", || async {
            let posting = cluster.client.post(cluster.url(other, "/s/desk/book/x")).body("x");
            let key = format!("{:?}", begun.elapsed());
            let answer = posting.header("idempotency-key", key).send().await;
            answer.is_ok_and(|answer| answer.headers()[OUTCOME_HEADER] == "ran")
        })
        .await;
        times.push(begun.elapsed().as_millis() as u64);
        cluster.nodes[leader].start();
        cluster.in_force(1).await;
        sleep(Duration::from_secs(1)).await;
    }
    json!({"first_booking_after_ms": times})
}
