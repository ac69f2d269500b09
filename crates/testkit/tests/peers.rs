//! Processes that are killed and restarted don't affect their peers.

use {
    hemlockspool_testkit::cluster::{ClusterPlan, DomainPlan, TestCluster},
    std::time::Duration,
    tokio::time::sleep,
};

/// Rounds of kills, at varying times after the peers were started.
const ROUNDS: u64 = 120;

/// Guards against a process that exits because a peer is killed while it sends to that peer.
#[tokio::test(flavor = "multi_thread")]
async fn peers_killed_repeatedly() {
    let domain = |name, region| DomainPlan { name, region, entries: 2, targets: 1 };
    let domains = vec![domain("a1", "a"), domain("b1", "b"), domain("c1", "c")];
    let plan = ClusterPlan { domains, replicas: 5, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    for round in 0..ROUNDS {
        // Two peers at a time, but never the first entry, which leads after the bootstrap and then
        // sends most.
        let killed = [1 + round as usize % 5, 1 + (round as usize + 2) % 5];
        killed.iter().for_each(|index| cluster.nodes[*index].kill());
        killed.iter().for_each(|index| cluster.nodes[*index].start());
        sleep(Duration::from_millis(5 + round * 7 % 60)).await;
        for node in &cluster.nodes {
            node.reap();
            assert!(node.is_running(), "{} has exited by itself in round {round}", node.name);
        }
    }
    cluster.wait_in_force(1).await;
}
