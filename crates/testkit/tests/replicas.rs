//! Disks that are lost, damaged, torn or someone else's, and the replicas that take their place.

use {
    hemlockspool_model::{
        api::{PublishOutcome, ReplicaRequest, ReplicaResponse},
        objects::{DeclaredObject, RegionObject},
    },
    hemlockspool_testkit::cluster::{ClusterPlan, DomainPlan, TestCluster, wait_until},
    std::{cell::Cell, fs, path::PathBuf},
};

fn five_replicas() -> ClusterPlan {
    let domain = |name, region| DomainPlan { name, region, entries: 1, targets: 0 };
    let domains = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")]
        .map(|(n, r)| domain(n, r));
    ClusterPlan { domains: domains.into(), replicas: 5, ..ClusterPlan::default() }
}

fn with_region(cluster: &TestCluster, name: &str) -> Vec<DeclaredObject> {
    let mut objects = cluster.objects();
    objects.push(DeclaredObject::Region(RegionObject { name: name.into() }));
    objects
}

async fn publish_at(cluster: &TestCluster, at: usize, tag: &str) -> u64 {
    let version = Cell::new(0);
    // An instance whose disk is new has no configuration until a leader that was lost has a successor.
    wait_until("a publication is accepted", || async {
        let Some(config) = cluster.config(at).await else { return false };
        let objects = with_region(cluster, tag);
        let answer = cluster.publish(at, tag, config.version.0, objects).await;
        if let Some(PublishOutcome::Accepted { version: got }) = answer {
            version.set(got.0);
        }
        version.get() > 0
    })
    .await;
    version.get()
}

fn segment(cluster: &TestCluster, at: usize) -> PathBuf {
    let folder = cluster.nodes[at].data.as_ref().unwrap().join("group-0");
    let files = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files = files.filter(|path| path.extension().is_some_and(|e| e == "log"));
    files.next().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_second_loss_after_repair() {
    let cluster = TestCluster::start(five_replicas()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    let mut version = 0;
    // Each disk in turn, the leader's among them; the next goes as soon as the last is repaired.
    for lost in 0..5 {
        cluster.nodes[lost].kill();
        fs::remove_dir_all(cluster.nodes[lost].data.as_ref().unwrap()).unwrap();
        version = version.max(publish_at(&cluster, (lost + 1) % 5, &format!("lost-{lost}")).await);
        cluster.nodes[lost].start();
        let name = cluster.nodes[lost].name.clone();
        wait_until("the new life votes", || async {
            let leader = cluster.leader().await;
            let Some(status) = cluster.status(leader).await else { return false };
            let Some(replica) = status.replica else { return false };
            let voters = replica.members.iter().filter(|one| one.voter).count();
            let has_all = replica.members.iter().any(|one| {
                one.name.as_str() == name && one.voter && one.matched >= Some(replica.commit)
            });
            voters == 5 && has_all
        })
        .await;
    }
    cluster.in_force(version).await;
    let config = cluster.config(0).await.unwrap();
    let keys: Vec<String> = config.objects.iter().map(|object| object.key().to_string()).collect();
    assert!(keys.contains(&"region lost-4".to_owned()), "{keys:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_damaged_disk() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let version = cluster.publish_in_force("first", cluster.objects()).await;
    cluster.nodes[2].kill();
    let path = segment(&cluster, 2);
    let good = fs::read(&path).unwrap();
    // A flipped byte in the middle, in a length, and in the last record: refused, by name.
    for place in [good.len() / 2, 0, good.len() - 1] {
        let mut bad = good.clone();
        bad[place] ^= 0x10;
        fs::write(&path, &bad).unwrap();
        cluster.nodes[2].start();
        assert_eq!(cluster.nodes[2].wait_for_exit().await, Some(1), "byte {place}");
        assert!(cluster.nodes[2].log_text().contains("damaged"), "{}", cluster.nodes[2].log_text());
    }
    // A torn end: cut off, and everything comes back from the others.
    fs::write(&path, &good[..good.len() - 5]).unwrap();
    cluster.nodes[2].start();
    cluster.in_force(version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_foreign_folder() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let version = cluster.publish_in_force("first", cluster.objects()).await;
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    let (own, others) = (cluster.nodes[2].data.clone(), cluster.nodes[1].data.clone());
    let (own, others) = (own.unwrap(), others.unwrap());
    let aside = own.with_extension("aside");
    fs::rename(&own, &aside).unwrap();
    fs::rename(&others, &own).unwrap();
    cluster.nodes[2].start();
    assert_eq!(cluster.nodes[2].wait_for_exit().await, Some(1));
    assert!(cluster.nodes[2].log_text().contains("belongs to instance"));
    fs::rename(&own, &others).unwrap();
    fs::rename(&aside, &own).unwrap();
    cluster.nodes[1].start();
    cluster.nodes[2].start();
    cluster.in_force(version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_no_quorum_outcome_unknown() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    let answer = cluster.publish(0, "alone", 1, with_region(&cluster, "alone")).await;
    assert_eq!(answer, Some(PublishOutcome::Unknown));
    assert_eq!(cluster.config(0).await.unwrap().version.0, 1, "nothing comes into force");
    let body = ReplicaRequest::Remove(cluster.nodes[1].name.as_str().into());
    let answer = cluster.change_replicas(0, &body).await.unwrap();
    let refused =
        matches!(answer, ReplicaResponse::NotLeader { .. } | ReplicaResponse::WouldBreakQuorum);
    assert!(refused, "{answer:?}");
    cluster.nodes[1].start();
    // The first attempt's fate is settled, whichever it was, by a resend under its tag.
    wait_until("the resend is answered", || async {
        let answer = cluster.publish(0, "alone", 1, with_region(&cluster, "alone")).await;
        matches!(answer, Some(PublishOutcome::Accepted { version }) if version.0 == 2)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_init_once() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.publish_in_force("first", cluster.objects()).await;
    for at in 0..3 {
        let answer = cluster.change_replicas(at, &ReplicaRequest::Init).await;
        assert_eq!(answer, Some(ReplicaResponse::NotEmpty));
    }
}
