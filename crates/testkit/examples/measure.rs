//! Measures deployments as real processes on loopback: two with injected network delays, and
//! smaller ones without delays in the cases `added` and `overload`.
//!
//! `measure CASE [SEED]` prints one JSON line; `docs/MEASUREMENTS.md` lists the cases. The seed has
//! no effect on the cases `commits`, `commits-cantabrico`, `idle` and `failover`.

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

const LOAD_DURATION: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| "authority".to_owned());
    let seed = std::env::args().nth(2).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let figures = match case.as_str() {
        "authority" => steady_load(authority(), seed).await,
        "cantabrico" => steady_load(cantabrico(), seed).await,
        "added" => entry_overhead(seed).await,
        "lookups" => lookup_rate(seed).await,
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

/// Returns a plan with five replicas from the name, region, entries and targets of each domain.
fn plan(domains: [(&'static str, &'static str, usize, usize); 6]) -> ClusterPlan {
    let domains = domains.map(|(name, region, entries, targets)| DomainPlan {
        name,
        region,
        entries,
        targets,
    });
    ClusterPlan { domains: domains.into(), replicas: 5, ..ClusterPlan::default() }
}

/// The Authority's route registry: 25 targets of 7 slots, 8 entries, links of 300 Mbit/s, and
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

/// Cantábrico's calendar service: 20 targets of 5 slots, 8 entries, links of 4 Gbit/s, and
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

async fn start_and_publish(plan: ClusterPlan) -> TestCluster {
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    cluster
}

/// Returns two URLs for each target, at the entries of its failure domain in turn, so that callers
/// are spread over the domains in proportion to the targets there. Each domain must have one or two
/// entries.
fn urls(cluster: &TestCluster, path: &str) -> Vec<String> {
    let mut all = Vec::new();
    for domain in &cluster.plan.domains {
        let nodes = cluster.nodes.iter().enumerate().filter(|(_, node)| node.domain == domain.name);
        let local_entries: Vec<usize> = nodes.map(|(index, _)| index).collect();
        for index in 0..domain.targets * local_entries.len() {
            all.extend(vec![
                cluster.url(local_entries[index % local_entries.len()], path);
                2 / local_entries.len()
            ]);
        }
    }
    all
}

fn load_plan(urls: Vec<String>, per_second: f64, seed: u64) -> LoadPlan {
    LoadPlan { urls, per_second, duration: LOAD_DURATION, seed, keyed: false, body_bytes: 0 }
}

/// Returns the most requests that the deployment's targets can run per second.
fn max_per_second(cluster: &TestCluster) -> f64 {
    let slots: usize = cluster.targets.iter().map(|server| server.target.plan.slots).sum();
    // Average delay of the stand-in's timer, as the case `added` shows.
    const TIMER_DELAY_MS: f64 = 1.3;
    slots as f64 / ((cluster.plan.target.service_ms as f64 + TIMER_DELAY_MS) / 1_000.0)
}

fn target_stats(cluster: &TestCluster) -> Value {
    let peak = |server: &hemlockspool_testkit::stand_in::TargetServer| {
        server.target.peak.load(Ordering::SeqCst)
    };
    let over_slots =
        cluster.targets.iter().filter(|s| peak(s) as usize > s.target.plan.slots).count();
    let shed: u64 = cluster.targets.iter().map(|s| s.target.shed.load(Ordering::SeqCst)).sum();
    let regions: Vec<Value> = (cluster.region_gauges.iter())
        .map(|(name, gauge)| json!({"region": name, "peak": gauge.peak.load(Ordering::SeqCst)}))
        .collect();
    json!({"targets_over_slots": over_slots, "shed_by_targets": shed, "regions": regions})
}

/// Sums the request and refusal counters of all daemons.
async fn counters(cluster: &TestCluster) -> Value {
    let mut all = std::collections::BTreeMap::new();
    for index in 0..cluster.nodes.len() {
        let text = cluster.client.get(cluster.url(index, "/metrics")).send().await.unwrap();
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

/// Measures reads at 50%, 80% and 95% of what the targets can run, then bookings.
async fn steady_load(plan: ClusterPlan, seed: u64) -> Value {
    let cluster = start_and_publish(plan).await;
    let client = load_client();
    let max_rate = max_per_second(&cluster);
    let mut steps = Vec::new();
    for fraction in [0.5, 0.8, 0.95] {
        let reads = load_plan(urls(&cluster, "/s/desk/read/x"), max_rate * fraction, seed);
        let report = run_load(&client, reads).await;
        steps.push(json!({"load": fraction, "report": report}));
    }
    let keyed = LoadPlan {
        keyed: true,
        body_bytes: 200,
        ..load_plan(urls(&cluster, "/s/desk/book/x"), 100.0, seed)
    };
    let bookings = run_load(&client, keyed).await;
    let counters = counters(&cluster).await;
    json!({"reads": steps, "bookings": bookings, "targets": target_stats(&cluster), "counts": counters})
}

/// Compares calls through an entry with direct calls to the targets, without injected delays.
async fn entry_overhead(seed: u64) -> Value {
    let target = TargetPlan { slots: 40, queue: 0, service_ms: 5, ..TargetPlan::default() };
    let domains = vec![DomainPlan { name: "a1", region: "a", entries: 1, targets: 4 }];
    let plan = ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() };
    let cluster = start_and_publish(plan).await;
    let client = load_client();
    let direct: Vec<String> = (cluster.targets.iter())
        .map(|server| format!("http://{}/read/x", server.target.address))
        .collect();
    let mut results = Vec::new();
    for per_second in [200.0, 1_000.0, 2_000.0] {
        let direct_report = run_load(&client, load_plan(direct.clone(), per_second, seed)).await;
        let entry_report =
            run_load(&client, load_plan(urls(&cluster, "/s/desk/read/x"), per_second, seed)).await;
        results.push(
            json!({"per_second": per_second, "direct": direct_report.ran_ms, "through": entry_report.ran_ms}),
        );
    }
    json!(results)
}

/// Measures the lookup rate of an entry, also per core that it uses, then the latency at 2,000
/// lookups per second.
async fn lookup_rate(seed: u64) -> Value {
    let cluster = start_and_publish(authority()).await;
    let client = load_client();
    let pid = cluster.nodes[0].pid();
    let before = cpu_seconds(pid);
    let started_at = Instant::now();
    let url = cluster.url(0, "/v1/lookup?caller=10.0.0.1");
    let workers = (0..32).map(|_| {
        let (client, url) = (client.clone(), url.clone());
        tokio::spawn(async move {
            let mut count = 0u64;
            while started_at.elapsed() < LOAD_DURATION {
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
    let wall = started_at.elapsed().as_secs_f64();
    let cpu = cpu_seconds(pid) - before;
    let paced: LoadReport = run_load(&client, load_plan(vec![url], 2_000.0, seed)).await;
    json!({
        "per_second": count as f64 / wall,
        "cores": cpu / wall,
        "per_second_a_core": count as f64 / cpu,
        "paced_at_2000": paced.ran_ms,
    })
}

/// Measures goodput at three times the rate that the targets can run.
async fn overload(seed: u64) -> Value {
    let target = TargetPlan { slots: 7, queue: 0, service_ms: 20, ..TargetPlan::default() };
    let domains = vec![
        DomainPlan { name: "a1", region: "a", entries: 2, targets: 2 },
        DomainPlan { name: "a2", region: "a", entries: 1, targets: 2 },
    ];
    let plan = ClusterPlan { domains, replicas: 1, target, ..ClusterPlan::default() };
    let cluster = start_and_publish(plan).await;
    let client = load_client();
    let max_rate = max_per_second(&cluster);
    let report =
        run_load(&client, load_plan(urls(&cluster, "/s/desk/read/x"), 3.0 * max_rate, seed)).await;
    let goodput = report.ran_per_second / max_rate;
    let counters = counters(&cluster).await;
    json!({
        "capacity": max_rate,
        "goodput_of_capacity": goodput,
        "report": report,
        "targets": target_stats(&cluster),
        "counts": counters,
    })
}

/// Measures publications one after another, then claims at a fixed rate.
async fn commits(plan: ClusterPlan) -> Value {
    let cluster = start_and_publish(plan).await;
    let leader = cluster.leader().await;
    let objects = |number: u64| {
        let mut objects = cluster.objects();
        let name = format!("drain-{number}").as_str().into();
        let subject =
            DrainSubject::Target(format!("{}-t0", cluster.nodes[0].domain).as_str().into());
        objects.push(DeclaredObject::Drain(DrainObject { name, subject }));
        objects
    };
    let (mut commit_ms, mut in_force_ms) = (Vec::new(), Vec::new());
    for number in 0..20 {
        let base = cluster.config(leader).await.unwrap().version.0;
        let started_at = Instant::now();
        let outcome = cluster.publish(leader, &format!("c{number}"), base, objects(number)).await;
        commit_ms.push(started_at.elapsed().as_secs_f64() * 1_000.0);
        assert!(outcome.is_some());
        cluster.wait_in_force(base + 1).await;
        in_force_ms.push(started_at.elapsed().as_secs_f64() * 1_000.0);
    }
    let client = load_client();
    let keyed = LoadPlan {
        keyed: true,
        body_bytes: 200,
        ..load_plan(urls(&cluster, "/s/desk/book/x"), 300.0, 7)
    };
    let claims = run_load(&client, keyed).await;
    commit_ms.sort_by(f64::total_cmp);
    in_force_ms.sort_by(f64::total_cmp);
    json!({
        "commit_ms_median": commit_ms[10], "commit_ms_max": commit_ms[19],
        "in_force_ms_median": in_force_ms[10], "in_force_ms_max": in_force_ms[19],
        "bookings": claims,
    })
}

/// Measures the time from a drain's publication until the last request starts on the target, and
/// waits until none runs there.
async fn drain(seed: u64) -> Value {
    let cluster = start_and_publish(authority()).await;
    let client = load_client();
    let target = &cluster.targets[0].target;
    let half_rate = max_per_second(&cluster) * 0.5;
    let load_run = run_load(&client, load_plan(urls(&cluster, "/s/desk/read/x"), half_rate, seed));
    let drain_run = async {
        sleep(Duration::from_secs(2)).await;
        let mut objects = cluster.objects();
        let subject = DrainSubject::Target(target.plan.name.as_str().into());
        objects.push(DeclaredObject::Drain(DrainObject { name: "d".into(), subject }));
        let started_at = Instant::now();
        cluster.publish(7, "drain", 1, objects).await;
        let committed = started_at.elapsed();
        let mut last_start = (target.ran.load(Ordering::SeqCst), started_at.elapsed());
        while started_at.elapsed() < Duration::from_secs(3) {
            let ran = target.ran.load(Ordering::SeqCst);
            if ran != last_start.0 {
                last_start = (ran, started_at.elapsed());
            }
            sleep(Duration::from_millis(1)).await;
        }
        wait_until("the target is empty", || async { target.running.load(Ordering::SeqCst) == 0 })
            .await;
        json!({"committed_ms": committed.as_millis() as u64, "last_new_work_ms": last_start.1.as_millis() as u64})
    };
    let (report, drained) = tokio::join!(load_run, drain_run);
    json!({"drained": drained, "report": report, "cancelled": target.cancelled.load(Ordering::SeqCst)})
}

/// Measures daemons without callers: processor time, memory and bytes sent to peers.
async fn idle() -> Value {
    let cluster = start_and_publish(ClusterPlan { proxied: true, ..authority() }).await;
    sleep(Duration::from_secs(2)).await;
    let pids: Vec<i32> = cluster.nodes.iter().map(|node| node.pid()).collect();
    let before: Vec<f64> = pids.iter().map(|pid| cpu_seconds(*pid)).collect();
    let sent: Vec<u64> = (0..pids.len()).map(|index| cluster.peer_bytes(index)).collect();
    sleep(Duration::from_secs(10)).await;
    let mut nodes = Vec::new();
    for (index, pid) in pids.iter().enumerate() {
        let role = cluster.status(index).await.and_then(|s| s.replica).map(|r| r.role);
        nodes.push(json!({
            "role": role.unwrap_or_else(|| "entry".to_owned()),
            "core_percent": (cpu_seconds(*pid) - before[index]) * 10.0,
            "resident_mb": resident_mb(*pid),
            "sent_bytes_per_second": (cluster.peer_bytes(index) - sent[index]) / 10,
        }));
    }
    json!(nodes)
}

/// Measures the time from the kill of the leader until a booking runs again.
async fn failover() -> Value {
    let cluster = start_and_publish(authority()).await;
    let mut times = Vec::new();
    for _ in 0..5 {
        let leader = cluster.leader().await;
        let other = (leader + 1) % 5;
        cluster.nodes[leader].kill();
        let started_at = Instant::now();
        wait_until("a booking runs", || async {
            let request = cluster.client.post(cluster.url(other, "/s/desk/book/x")).body("x");
            let key = format!("{:?}", started_at.elapsed());
            let response = request.header("idempotency-key", key).send().await;
            response.is_ok_and(|response| response.headers()[OUTCOME_HEADER] == "ran")
        })
        .await;
        times.push(started_at.elapsed().as_millis() as u64);
        cluster.nodes[leader].start();
        cluster.wait_in_force(1).await;
        sleep(Duration::from_secs(1)).await;
    }
    json!({"first_booking_after_ms": times})
}
