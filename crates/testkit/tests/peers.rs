//! Instances outlive their peers: processes that die and return at any moment harm no other.

use {
    hemlockspool_testkit::cluster::{ClusterPlan, DomainPlan, TestCluster},
    std::time::Duration,
    tokio::time::sleep,
};

/// Kills of each round, each at another moment of the peer's life.
const KILLS: u64 = 120;

#[tokio::test(flavor = "multi_thread")]
async fn peers_killed_repeatedly() {
    let domain = |name, region| DomainPlan { name, region, entries: 2, targets: 1 };
    let domains = vec![domain("a1", "a"), domain("b1", "b"), domain("c1", "c")];
    let plan = ClusterPlan { domains, replicas: 5, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    for round in 0..KILLS {
        // Two peers at a time; the first entry is the one that sends most.
        let killed = [1 + round as usize % 5, 1 + (round as usize + 2) % 5];
        killed.iter().for_each(|at| cluster.nodes[*at].kill());
        killed.iter().for_each(|at| cluster.nodes[*at].start());
        sleep(Duration::from_millis(5 + round * 7 % 60)).await;
        for node in &cluster.nodes {
            node.reap();
            assert!(node.is_running(), "{} has ended by itself in round {round}", node.name);
        }
    }
    cluster.in_force(1).await;
}
