//! A request's way through a running deployment.

use {
    hemlockspool_model::api::{ENTRY_HEADER, LookupResponse, OUTCOME_HEADER, TARGET_HEADER},
    hemlockspool_testkit::cluster::{ClusterPlan, TestCluster},
};

#[tokio::test(flavor = "multi_thread")]
async fn end_to_end_publish_lookup_request() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let version = cluster.publish_in_force("first", cluster.objects()).await;
    assert_eq!(version, 1);
    let asking = cluster.client.get(cluster.url(2, "/v1/lookup")).send().await.unwrap();
    let answer: LookupResponse = asking.json().await.unwrap();
    assert_eq!(answer.entries.len(), 3);
    assert_eq!(answer.entries[0].name.as_str(), "b1-e0");
    let sent = cluster.client.get(cluster.url(2, "/s/desk/read/x")).send().await.unwrap();
    assert_eq!(sent.status(), 200);
    assert_eq!(sent.headers()[OUTCOME_HEADER], "ran");
    assert_eq!(sent.headers()[ENTRY_HEADER], "b1-e0");
    assert!(sent.headers().contains_key(TARGET_HEADER));
    let posting = cluster.client.post(cluster.url(1, "/s/desk/book/y"));
    let booked = posting.header("idempotency-key", "k1").body("deposit").send().await.unwrap();
    assert_eq!(booked.status(), 200);
    let text = booked.text().await.unwrap();
    let posting = cluster.client.post(cluster.url(0, "/s/desk/book/y"));
    let again = posting.header("idempotency-key", "k1").body("deposit").send().await.unwrap();
    assert_eq!(again.text().await.unwrap(), text);
    let posting = cluster.client.post(cluster.url(0, "/s/desk/book/y"));
    let other = posting.header("idempotency-key", "k1").body("else").send().await.unwrap();
    assert_eq!(other.status(), 422);
    let posting = cluster.client.post(cluster.url(0, "/s/desk/book/y")).body("x");
    let long = posting.header("idempotency-key", "k".repeat(300)).send().await.unwrap();
    assert_eq!(long.status(), 400, "a key may not fill the ledger's memory");
    let bare = cluster.client.post(cluster.url(0, "/s/desk/book/y")).send().await.unwrap();
    assert_eq!(bare.status(), 400);
}
