//! Publication, lookup and requests in a running deployment, end to end.

use {
    hemlockspool_model::api::{ENTRY_HEADER, LookupResponse, OUTCOME_HEADER, TARGET_HEADER},
    hemlockspool_testkit::cluster::{ClusterPlan, TestCluster},
};

/// Guards against a publication, lookup, read or booking that fails in a cluster without faults, a
/// resend that gets another response, and the acceptance of an idempotency key that is missing, too
/// long or reused for another request.
#[tokio::test(flavor = "multi_thread")]
async fn end_to_end_publish_lookup_request() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let version = cluster.publish_and_wait("first", cluster.objects()).await;
    assert_eq!(version, 1);
    let response = cluster.client.get(cluster.url(2, "/v1/lookup")).send().await.unwrap();
    let lookup: LookupResponse = response.json().await.unwrap();
    assert_eq!(lookup.entries.len(), 3);
    assert_eq!(lookup.entries[0].name.as_str(), "b1-e0");
    let read = cluster.client.get(cluster.url(2, "/s/desk/read/x")).send().await.unwrap();
    assert_eq!(read.status(), 200);
    assert_eq!(read.headers()[OUTCOME_HEADER], "ran");
    assert_eq!(read.headers()[ENTRY_HEADER], "b1-e0");
    assert!(read.headers().contains_key(TARGET_HEADER));
    let request = cluster.client.post(cluster.url(1, "/s/desk/book/y"));
    let booked = request.header("idempotency-key", "k1").body("deposit").send().await.unwrap();
    assert_eq!(booked.status(), 200);
    let text = booked.text().await.unwrap();
    let request = cluster.client.post(cluster.url(0, "/s/desk/book/y"));
    let resent = request.header("idempotency-key", "k1").body("deposit").send().await.unwrap();
    assert_eq!(resent.text().await.unwrap(), text);
    let request = cluster.client.post(cluster.url(0, "/s/desk/book/y"));
    let reused = request.header("idempotency-key", "k1").body("else").send().await.unwrap();
    assert_eq!(reused.status(), 422);
    let request = cluster.client.post(cluster.url(0, "/s/desk/book/y")).body("x");
    let long_key = request.header("idempotency-key", "k".repeat(300)).send().await.unwrap();
    assert_eq!(
        long_key.status(),
        400,
        "a long key was accepted, which could fill the ledger's memory"
    );
    let without_key = cluster.client.post(cluster.url(0, "/s/desk/book/y")).send().await.unwrap();
    assert_eq!(without_key.status(), 400);
}
