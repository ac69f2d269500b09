//! Data folders that are lost, corrupt, truncated or of another instance, loss of the quorum, and a
//! repeated `init`.

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

/// Publishes the objects with one more region, until accepted, and returns the version.
async fn publish_region(cluster: &TestCluster, index: usize, tag: &str) -> u64 {
    let version = Cell::new(0);
    // An instance with a new data folder has no configuration while the replicas elect a leader in
    // place of a lost one.
    wait_until("a publication is accepted", || async {
        let Some(config) = cluster.config(index).await else { return false };
        let objects = with_region(cluster, tag);
        let outcome = cluster.publish(index, tag, config.version.0, objects).await;
        if let Some(PublishOutcome::Accepted { version: accepted }) = outcome {
            version.set(accepted.0);
        }
        version.get() > 0
    })
    .await;
    version.get()
}

/// Returns the path of a log segment in a daemon's data folder.
fn segment_path(cluster: &TestCluster, index: usize) -> PathBuf {
    let folder = cluster.nodes[index].data.as_ref().unwrap().join("group-0");
    let files = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files = files.filter(|path| path.extension().is_some_and(|e| e == "log"));
    files.next().unwrap()
}

/// Guards against committed data that is lost, and against replicas that don't become voters again,
/// when the data folders of all replicas are lost one after another, each right after the replica
/// before it has become a voter and caught up.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_second_loss_after_repair() {
    let cluster = TestCluster::start(five_replicas()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    let mut version = 0;
    // Each data folder in turn, the leader's among them, as soon as the replica before it has
    // caught up.
    for lost in 0..5 {
        cluster.nodes[lost].kill();
        fs::remove_dir_all(cluster.nodes[lost].data.as_ref().unwrap()).unwrap();
        version =
            version.max(publish_region(&cluster, (lost + 1) % 5, &format!("lost-{lost}")).await);
        cluster.nodes[lost].start();
        let name = cluster.nodes[lost].name.clone();
        wait_until("the new incarnation is a voter and has caught up", || async {
            let leader = cluster.leader().await;
            let Some(status) = cluster.status(leader).await else { return false };
            let Some(replica) = status.replica else { return false };
            let voters = replica.members.iter().filter(|member| member.voter).count();
            let caught_up = replica.members.iter().any(|member| {
                member.name.as_str() == name
                    && member.voter
                    && member.matched >= Some(replica.commit)
            });
            voters == 5 && caught_up
        })
        .await;
    }
    cluster.wait_in_force(version).await;
    let config = cluster.config(0).await.unwrap();
    let keys: Vec<String> = config.objects.iter().map(|object| object.key().to_string()).collect();
    assert!(keys.contains(&"region lost-4".to_owned()), "{keys:?}");
}

/// Guards against a replica that starts with a corrupt log, or that refuses to start because a
/// crash truncated the last record.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_damaged_disk() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let version = cluster.publish_and_wait("first", cluster.objects()).await;
    cluster.nodes[2].kill();
    let path = segment_path(&cluster, 2);
    let contents = fs::read(&path).unwrap();
    // A flipped bit in the middle, in a length field or in the last record: the replica logs that
    // the log is damaged and exits.
    for offset in [contents.len() / 2, 0, contents.len() - 1] {
        let mut corrupted = contents.clone();
        corrupted[offset] ^= 0x10;
        fs::write(&path, &corrupted).unwrap();
        cluster.nodes[2].start();
        assert_eq!(cluster.nodes[2].wait_for_exit().await, Some(1), "byte {offset}");
        assert!(cluster.nodes[2].log_text().contains("damaged"), "{}", cluster.nodes[2].log_text());
    }
    // An incomplete last record: the replica removes it and gets the rest from the others.
    fs::write(&path, &contents[..contents.len() - 5]).unwrap();
    cluster.nodes[2].start();
    cluster.wait_in_force(version).await;
}

/// Guards against a replica that starts with another instance's data folder, as after a mix-up of
/// disks.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_foreign_folder() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let version = cluster.publish_and_wait("first", cluster.objects()).await;
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    let (own_folder, other_folder) = (cluster.nodes[2].data.clone(), cluster.nodes[1].data.clone());
    let (own_folder, other_folder) = (own_folder.unwrap(), other_folder.unwrap());
    let moved_folder = own_folder.with_extension("aside");
    fs::rename(&own_folder, &moved_folder).unwrap();
    fs::rename(&other_folder, &own_folder).unwrap();
    cluster.nodes[2].start();
    assert_eq!(cluster.nodes[2].wait_for_exit().await, Some(1));
    assert!(cluster.nodes[2].log_text().contains("belongs to instance"));
    fs::rename(&own_folder, &other_folder).unwrap();
    fs::rename(&moved_folder, &own_folder).unwrap();
    cluster.nodes[1].start();
    cluster.nodes[2].start();
    cluster.wait_in_force(version).await;
}

/// Guards against a publication or a membership change that succeeds without a quorum, and against
/// a publication of unknown outcome that stays so after the quorum returns.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_no_quorum_outcome_unknown() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    let outcome = cluster.publish(0, "alone", 1, with_region(&cluster, "alone")).await;
    assert_eq!(outcome, Some(PublishOutcome::Unknown));
    assert_eq!(
        cluster.config(0).await.unwrap().version.0,
        1,
        "a version came into force without a quorum"
    );
    let body = ReplicaRequest::Remove(cluster.nodes[1].name.as_str().into());
    let response = cluster.change_replicas(0, &body).await.unwrap();
    let refused =
        matches!(response, ReplicaResponse::NotLeader { .. } | ReplicaResponse::WouldBreakQuorum);
    assert!(refused, "{response:?}");
    cluster.nodes[1].start();
    // A resend with the same tag is accepted once, whether or not the first attempt committed.
    wait_until("the resend is accepted", || async {
        let outcome = cluster.publish(0, "alone", 1, with_region(&cluster, "alone")).await;
        matches!(outcome, Some(PublishOutcome::Accepted { version }) if version.0 == 2)
    })
    .await;
}

/// Guards against a second log when `init` is called on a deployment that has one.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_init_once() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.publish_and_wait("first", cluster.objects()).await;
    for index in 0..3 {
        let response = cluster.change_replicas(index, &ReplicaRequest::Init).await;
        assert_eq!(response, Some(ReplicaResponse::NotEmpty));
    }
}
