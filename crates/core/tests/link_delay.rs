//! Timeouts of requests at an entry whose link delays packets.

mod common {
    pub mod routing;
}

use {
    common::routing::{at, router_with},
    hemlockspool_core::traffic::{
        request::{DispatchDecision, RequestHead},
        router::RequestRouter,
    },
    hemlockspool_model::names::TargetName,
    std::time::Duration,
};

const TABLE: &str = r#"{"version":1,"routes":[{"name":"n","host":"h","prefix":"/","repeat":"never",
    "timeout":"3s","goal":"1s","service":"s"}],"services":[{"name":"s"}],"limits":{}}"#;

fn router() -> RequestRouter {
    router_with(TABLE, 4, 250_000.0)
}

/// Admits a request whose caller waits for 10 s, and returns what is decided about it.
fn dispatch_at(router: &mut RequestRouter, now_ms: u64) -> DispatchDecision {
    let head = RequestHead {
        id: "1",
        host: "h",
        path: "/x",
        key: None,
        timeout: Some(Duration::from_secs(10)),
        body_bytes: Some(0),
        is_forwarded: false,
    };
    let mut request = router.admit(&head, at(now_ms)).unwrap();
    router.dispatch(&mut request, at(now_ms))
}

fn time_left_at(router: &mut RequestRouter, now_ms: u64) -> Duration {
    match dispatch_at(router, now_ms) {
        DispatchDecision::Send(attempt) => attempt.time_left,
        other => panic!("{other:?}"),
    }
}

/// Guards against requests that are held past their route's timeout, because the time that they and
/// their responses wait on the entry's link isn't counted.
#[test]
fn timeout_includes_link_delay() {
    let mut router = router();
    router.record_round_trip(Duration::from_millis(1_100), at(0));
    assert_eq!(time_left_at(&mut router, 100), Duration::from_millis(2_000));
    // A round trip to a distant region isn't a delay.
    router.record_round_trip(Duration::from_millis(100), at(200));
    assert_eq!(time_left_at(&mut router, 300), Duration::from_secs(3));
    // An old measurement says nothing about the present.
    router.record_round_trip(Duration::from_millis(1_100), at(400));
    assert_eq!(time_left_at(&mut router, 2_000), Duration::from_secs(3));
}

/// Guards against timeouts that are shortened because the followed replica is slow.
#[test]
fn timeout_beside_slow_replica() {
    let mut router = router();
    for _ in 0..30 {
        router.record_connect_time(&TargetName::new("t0"), Duration::from_millis(2), at(0));
    }
    router.record_round_trip(Duration::from_millis(1_100), at(0));
    assert_eq!(time_left_at(&mut router, 100), Duration::from_secs(3));
}

/// Guards against requests that are held past their timeout because connections that were made before
/// the link filled up seem to show that it isn't slow. While it is, new ones aren't made in time.
#[test]
fn timeout_includes_link_delay_after_fast_connections() {
    let mut router = router();
    for _ in 0..30 {
        router.record_connect_time(&TargetName::new("t0"), Duration::from_millis(2), at(0));
    }
    router.record_round_trip(Duration::from_millis(1_100), at(3_000));
    assert_eq!(time_left_at(&mut router, 3_100), Duration::from_millis(2_000));
}

/// Guards against requests that are sent to a target although their time is over, as the link has
/// delayed them for longer.
#[test]
fn timeout_within_link_delay_refused() {
    let mut router = router();
    router.record_round_trip(Duration::from_millis(3_200), at(0));
    match dispatch_at(&mut router, 100) {
        DispatchDecision::Refuse(refusal) => {
            assert!(refusal.reason.is_known_not_run());
            assert!(refusal.retry_after.is_some());
        }
        other => panic!("{other:?}"),
    }
}
