//! Measures how costs grow with the size of a deployment, for docs/CAPACITY.md.
//!
//! `capacity state BLOCKS` and `capacity claims N` run in one process; `capacity live BLOCKS`,
//! `capacity domain ENTRIES` and `capacity relays DOMAINS` start real processes.

use {
    hemlockspool_core::{
        ledger::{
            ClaimCommand, ClaimKey, ClaimToken, LedgerCommand, LedgerState, PublishCommand,
            StoredResponse,
        },
        quotas::DomainQuotas,
        steering::SteeringIndex,
    },
    hemlockspool_model::{
        api::PublishChange,
        delta::SetDelta,
        names::{ConfigVersion, RequestTag},
        objects::{
            BlockObject, DeclaredObject, DomainObject, EntryObject, KindPolicy, RegionObject,
            ServiceObject, TargetObject,
        },
        set::ObjectSet,
        validation,
    },
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TestCluster},
        process_stat::{cpu_seconds, resident_mb},
    },
    serde_json::json,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const REGIONS: usize = 5;
const DOMAINS: usize = 18;
const ENTRIES: usize = 420;
const SITES: usize = 56;
const TARGETS_PER_SITE: usize = 10;

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(8);
    let figures = match arguments.first().map(String::as_str) {
        Some("state") => state(number),
        Some("claims") => claims(number),
        Some("live") => live(number).await,
        Some("domain") => domain(number).await,
        Some("relays") => relays(number).await,
        _ => json!("state BLOCKS, claims N, live BLOCKS, domain ENTRIES or relays DOMAINS"),
    };
    println!("{figures}");
}

fn address(number: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0A00_0000 + number as u32);
    SocketAddr::from((ip, 7_000))
}

/// Returns the set of objects of a full-size deployment with `blocks` caller blocks.
fn full_set(blocks: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    let region = |number: usize| format!("region-{}", number % REGIONS);
    let domain = |number: usize| format!("domain-{}", number % DOMAINS);
    for number in 0..REGIONS {
        let name = region(number).as_str().into();
        set.upsert(DeclaredObject::Region(RegionObject { name }));
    }
    for number in 0..DOMAINS {
        let (name, region) = (domain(number).as_str().into(), region(number).as_str().into());
        set.upsert(DeclaredObject::FailureDomain(DomainObject { name, region }));
    }
    let kinds = [("read".into(), KindPolicy::default())].into();
    let service = ServiceObject { name: "desk".into(), kinds, lookup_ttl_ms: 5_000 };
    set.upsert(DeclaredObject::Service(service));
    for number in 0..ENTRIES {
        set.upsert(DeclaredObject::Entry(EntryObject {
            name: format!("entry-{number}").as_str().into(),
            domain: domain(number).as_str().into(),
            http: address(2 * number),
            peer: address(2 * number + 1),
        }));
    }
    for number in 0..SITES * TARGETS_PER_SITE {
        set.upsert(DeclaredObject::Target(TargetObject {
            name: format!("target-{number}").as_str().into(),
            service: "desk".into(),
            domain: domain(number).as_str().into(),
            address: address(100_000 + number),
            slots: 7,
            connections: 330,
            ramp_ms: None,
        }));
    }
    for number in 0..blocks {
        set.upsert(block(number, number));
    }
    set
}

/// Returns the declaration of a caller block whose home is the given failure domain.
fn block(number: usize, home: usize) -> DeclaredObject {
    let ip = Ipv4Addr::from(0x6400_0000 + ((number as u32) << 8));
    DeclaredObject::CallerBlock(BlockObject {
        prefix: format!("{ip}/24").parse().unwrap(),
        domain: format!("domain-{}", home % DOMAINS).as_str().into(),
        caller: format!("caller-{}", number % 5_000).as_str().into(),
    })
}

/// Runs an operation; returns its result and the elapsed time in milliseconds.
fn timed<T, F>(operation: F) -> (T, f64)
where
    F: FnOnce() -> T,
{
    let started_at = Instant::now();
    let result = operation();
    (result, started_at.elapsed().as_secs_f64() * 1_000.0)
}

/// Measures the memory and encoded sizes of a set of objects, and the time of the operations on it.
fn state(blocks: usize) -> serde_json::Value {
    let declared = full_set(blocks);
    let declared_bytes = postcard::to_allocvec(&declared).unwrap();
    // An instance holds a decoded set, in which equal names of caller blocks share their memory.
    let mb_before = resident_mb(current_pid());
    let (set, decode_ms) = timed(|| postcard::from_bytes::<ObjectSet>(&declared_bytes).unwrap());
    let set_mb = resident_mb(current_pid()) - mb_before;
    assert_eq!(set, declared);
    drop(declared);
    let (errors, check_ms) = timed(|| validation::validate(&set));
    assert!(errors.is_empty());
    let (index, index_ms) = timed(|| SteeringIndex::new(&set));
    let (_, quotas_ms) = timed(|| DomainQuotas::new(&set, &"domain-1".into(), &"entry-1".into()));
    let rounds = 200_000u32;
    let (found, lookup_ms) = timed(|| {
        let mut found = 0;
        for round in 0..rounds {
            let ip = Ipv4Addr::from(
                0x6400_0000 + round.wrapping_mul(2_654_435_761) % ((blocks as u32) << 8),
            );
            let home = set.find_block(IpAddr::V4(ip)).map(|block| &block.domain);
            let home = home.cloned().unwrap_or_else(|| "domain-1".into());
            found += index.ranked_entries(&home, IpAddr::V4(ip), |_| true).len();
        }
        found
    });
    assert!(found > 0);
    let mut next = set.clone();
    for number in 0..20 {
        next.upsert(block(number * 7, number + 1));
    }
    let (delta, diff_ms) = timed(|| SetDelta::between(&set, &next));
    let delta_bytes = postcard::to_allocvec(&delta).unwrap().len();
    let mut applied = set.clone();
    let (_, apply_ms) = timed(|| delta.apply(&mut applied));
    let (_, clone_ms) = timed(|| set.clone());
    drop((next, applied));
    let mut ledger = LedgerState::default();
    let publish = |base, delta| {
        LedgerCommand::Publish(PublishCommand {
            request: RequestTag::new(&format!("p{base}")),
            operator: Some("ops".into()),
            base: ConfigVersion(base),
            delta: Some(delta),
            faults: Vec::new(),
        })
    };
    ledger.apply(1, publish(0, SetDelta::between(&ObjectSet::default(), &set)));
    let (_, publish_ms) = timed(|| ledger.apply(2, publish(1, delta)));
    let (bytes, encode_ms) = timed(|| ledger.encode());
    json!({
        "blocks": blocks, "objects": set.len(), "set_mb": set_mb, "whole_bytes": declared_bytes.len(), "whole_decoded_ms": decode_ms, "check_ms": check_ms,
        "index_ms": index_ms, "caps_ms": quotas_ms, "lookup_us": lookup_ms * 1_000.0 / f64::from(rounds),
        "delta_of_20_bytes": delta_bytes, "delta_made_ms": diff_ms, "delta_applied_ms": apply_ms,
        "set_cloned_ms": clone_ms, "publish_applied_ms": publish_ms,
        "snapshot_bytes": bytes.len(), "snapshot_made_ms": encode_ms,
    })
}

/// Measures the memory and the snapshot size of settled claims.
fn claims(count: usize) -> serde_json::Value {
    let mb_before = resident_mb(current_pid());
    let mut ledger = LedgerState::default();
    for number in 0..count {
        let key = ClaimKey { service: "desk".into(), key: format!("caller-key-{number:016}") };
        let token = ClaimToken { entry: "entry-17".into(), incarnation: 1, request: number as u64 };
        let command = ClaimCommand {
            key: key.clone(),
            token: token.clone(),
            digest: [7; 32],
            retention_ms: 1 << 40,
        };
        ledger.apply(1, LedgerCommand::Claim(command));
        let body = Some(vec![0; 200]);
        let response = StoredResponse { status: 200, content_type: None, body };
        ledger.apply(1, LedgerCommand::Settle { key, token, answer: response });
    }
    let held_mb = resident_mb(current_pid()) - mb_before;
    let bytes = ledger.encode().len();
    json!({"claims": count, "mb": held_mb, "bytes_each": held_mb * 1_048_576.0 / count as f64, "snapshot_bytes": bytes})
}

/// Measures real processes that hold `blocks` caller blocks: memory, and times until a version is
/// in force after a publication and after the restart of an entry.
async fn live(blocks: usize) -> serde_json::Value {
    let domain = |name, region| DomainPlan { name, region, entries: 2, targets: 1 };
    let domains = vec![domain("domain-0", "a"), domain("domain-1", "b"), domain("domain-2", "c")];
    let plan = ClusterPlan { domains, replicas: 3, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    let mut objects = cluster.objects();
    objects.extend((0..blocks).map(|number| block(number, number % 3)));
    let started_at = Instant::now();
    cluster.publish(0, "blocks", 1, objects).await;
    cluster.wait_in_force(2).await;
    let first_ms = started_at.elapsed().as_millis() as u64;
    sleep(Duration::from_secs(3)).await;
    let memory =
        || -> Vec<f64> { cluster.nodes.iter().map(|node| resident_mb(node.pid())).collect() };
    let after_first = memory();
    let mut change_ms = Vec::new();
    for change in 0..20 {
        let object = block(change * 7, (change * 7 + 1) % 3);
        let delta = SetDelta { upserts: vec![object], removals: Vec::new() };
        let base = cluster.status(0).await.and_then(|s| s.version).unwrap().0;
        let started_at = Instant::now();
        let tag = format!("change-{change}");
        let body = PublishChange::Delta(delta);
        let outcome = cluster.publish_change(0, &tag, ConfigVersion(base), body).await;
        assert!(outcome.is_some());
        cluster.wait_in_force(base + 1).await;
        change_ms.push(started_at.elapsed().as_millis() as u64);
    }
    let after_changes = memory();
    let started_at = Instant::now();
    cluster.nodes[5].kill();
    cluster.nodes[5].start();
    cluster.wait_in_force(22).await;
    let restart_ms = started_at.elapsed().as_millis() as u64;
    json!({
        "blocks": blocks, "first_in_force_ms": first_ms, "change_in_force_ms": change_ms,
        "mb_after_first": after_first, "mb_after_changes": after_changes,
        "entry_restart_in_force_ms": restart_ms,
    })
}

/// Measures the processor time, memory and bytes sent to peers of daemons without callers, by role,
/// and the time until a version is in force.
async fn measure_idle(cluster: &TestCluster) -> serde_json::Value {
    const SECONDS: u64 = 10;
    sleep(Duration::from_secs(4)).await;
    let count = cluster.nodes.len();
    let cpu_before: Vec<f64> = cluster.nodes.iter().map(|node| cpu_seconds(node.pid())).collect();
    let bytes_before: Vec<u64> = (0..count).map(|index| cluster.peer_bytes(index)).collect();
    sleep(Duration::from_secs(SECONDS)).await;
    let mut roles: std::collections::BTreeMap<String, Vec<[f64; 3]>> = Default::default();
    for index in 0..count {
        let pid = cluster.nodes[index].pid();
        let cpu = (cpu_seconds(pid) - cpu_before[index]) * 100.0 / SECONDS as f64;
        let bytes = (cluster.peer_bytes(index) - bytes_before[index]) as f64 / SECONDS as f64;
        let role = cluster.status(index).await.and_then(|s| s.replica).map(|r| r.role);
        let role = role.unwrap_or_else(|| "entry".to_owned());
        roles.entry(role).or_default().push([cpu, resident_mb(pid), bytes]);
    }
    let started_at = Instant::now();
    let leader = cluster.leader().await;
    let mut objects = cluster.objects();
    objects.push(block(1, 1));
    if let Some(DeclaredObject::CallerBlock(block)) = objects.last_mut() {
        block.domain = cluster.nodes[0].domain.as_str().into();
    }
    let outcome = cluster.publish(leader, "timed", 1, objects).await;
    assert!(outcome.is_some());
    cluster.wait_in_force(2).await;
    let in_force_ms = started_at.elapsed().as_millis() as u64;
    let summary: serde_json::Map<String, serde_json::Value> = (roles.iter())
        .map(|(role, samples)| {
            let max =
                |column: usize| samples.iter().map(|sample| sample[column]).fold(0.0, f64::max);
            let mean = |column: usize| {
                samples.iter().map(|sample| sample[column]).sum::<f64>() / samples.len() as f64
            };
            let stats = json!({
                "count": samples.len(), "core_percent_mean": mean(0), "core_percent_max": max(0),
                "resident_mb_max": max(1), "sent_bytes_mean": mean(2), "sent_bytes_max": max(2),
            });
            (role.clone(), stats)
        })
        .collect();
    json!({"nodes": count, "roles": summary, "in_force_ms": in_force_ms})
}

/// Measures one failure domain with many entries, besides five replicas elsewhere.
async fn domain(entries: usize) -> serde_json::Value {
    let replica = |name, region| DomainPlan { name, region, entries: 1, targets: 0 };
    let mut domains: Vec<DomainPlan> =
        [("r1", "a"), ("r2", "a"), ("r3", "b"), ("r4", "b"), ("r5", "c")]
            .map(|(n, r)| replica(n, r))
            .into();
    domains.push(DomainPlan { name: "big", region: "a", entries, targets: 4 });
    let plan = ClusterPlan { domains, replicas: 5, proxied: true, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    measure_idle(&cluster).await
}

/// Measures many failure domains of two entries each, besides five replicas.
async fn relays(count: usize) -> serde_json::Value {
    let mut domains = Vec::new();
    for number in 0..count + 5 {
        let name: &'static str = format!("d{number}").leak();
        let entries = if number < 5 { 1 } else { 2 };
        domains.push(DomainPlan { name, region: ["a", "b", "c"][number % 3], entries, targets: 0 });
    }
    let plan = ClusterPlan { domains, replicas: 5, proxied: true, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    measure_idle(&cluster).await
}

fn current_pid() -> i32 {
    std::process::id() as i32
}
