//! Declared targets that send bytes without end.

use {
    hemlockspool_model::objects::DeclaredObject,
    hemlockspool_testkit::{
        cluster::{ClusterPlan, TestCluster, wait_until},
        endless_target::{EndlessResponse, EndlessTarget},
        process_stat::peak_resident_mb,
    },
    std::{sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time after the deadline within which a request must have ended.
const LATE_MAX: Duration = Duration::from_millis(500);

/// Starts a cluster all targets of which respond without end.
async fn start_cluster(response: EndlessResponse) -> (TestCluster, Vec<EndlessTarget>) {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let mut objects = cluster.objects();
    let mut targets = Vec::new();
    for object in &mut objects {
        if let DeclaredObject::Target(declared) = object {
            let target = EndlessTarget::start(response).await;
            declared.address = target.address;
            targets.push(target);
        }
    }
    cluster.publish_and_wait("endless", objects).await;
    (cluster, targets)
}

/// Returns the numbers of endless responses that have begun, and that have ended.
fn counts(targets: &[EndlessTarget]) -> (usize, usize) {
    let received = targets.iter().map(|target| target.received.load(Ordering::SeqCst));
    let closed = targets.iter().map(|target| target.closed.load(Ordering::SeqCst));
    (received.sum(), closed.sum())
}

/// Guards against requests that last longer than their deadline because the body of a response never
/// ends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_body_past_deadline() {
    let response = EndlessResponse {
        request: "get /read/",
        beginning: "HTTP/1.1 200 OK\r\ncontent-length: 4000000\r\n\r\n",
        repeated: b"x",
        pause: Duration::from_millis(20),
    };
    let (cluster, targets) = start_cluster(response).await;
    cluster.wait_ready().await;
    let started = Instant::now();
    let request = cluster.client.get(cluster.url(0, "/s/desk/read/x"));
    let request = request.header("hemlockspool-deadline-ms", DEADLINE.as_millis().to_string());
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.bytes().await.is_err());
    assert!(started.elapsed() < DEADLINE + LATE_MAX, "{:?}", started.elapsed());
    wait_until("the connection to the target is closed", || async {
        matches!(counts(&targets), (received, closed) if closed >= received)
    })
    .await;
}

/// Guards against entries that run out of memory because the response to a load probe never ends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_load_response() {
    /// Twice what such an entry uses at rest.
    const MEMORY_MB_MAX: f64 = 64.0;
    let response = EndlessResponse {
        request: "get /load",
        beginning: "HTTP/1.1 200 OK\r\n\r\n",
        repeated: &[b'x'; 1 << 16],
        pause: Duration::ZERO,
    };
    let (cluster, targets) = start_cluster(response).await;
    wait_until("targets have been probed several times", || async { counts(&targets).1 >= 20 })
        .await;
    sleep(Duration::from_millis(100)).await;
    for node in &cluster.nodes {
        let peak = peak_resident_mb(node.pid());
        assert!(peak < MEMORY_MB_MAX, "{}: {peak} MiB", node.name);
    }
}
