//! Connections of retries at the target that refused the request.

mod common {
    pub mod routing;
}

use {
    common::routing::{at, router_with},
    hemlockspool_core::traffic::request::{
        AttemptResult, ConnectionChoice, DispatchDecision, RequestHead, TargetAttempt, TargetLoad,
    },
    std::time::Duration,
};

const TABLE: &str = r#"{"version":1,"routes":[{"name":"n","host":"h","prefix":"/","repeat":"safe",
    "timeout":"3s","goal":"1s","service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{}}"#;

fn head(key: &str) -> RequestHead<'_> {
    RequestHead {
        id: key,
        host: "h",
        path: "/x",
        key: Some(key),
        timeout: None,
        body_bytes: Some(0),
        is_forwarded: false,
    }
}

/// Guards against a request that must not run twice on a connection that has carried another one.
#[test]
fn run_once_on_unused_connection() {
    let mut router = router_with(&TABLE.replace("safe", "never"), 4, 1e8);
    let mut request = router.admit(&head("1"), at(0)).unwrap();
    let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(0)) else {
        panic!("the request isn't sent");
    };
    assert_eq!(attempt.connection, ConnectionChoice::Unused);
}

/// Guards against a refusal that a target writes once more on a kept connection, and that is taken
/// for its response to the retry, which has the same id.
#[test]
fn retry_at_same_target_on_new_connection() {
    let mut router = router_with(TABLE, 4, 1e8);
    let load = Some(TargetLoad { running: 1, waiting: 0, slots: 4 });
    let refused = AttemptResult::NotRun { load, replaced: false };
    let mut retried = 0;
    for number in 0..200 {
        let (key, now) = (number.to_string(), at(number * 10));
        let mut request = router.admit(&head(&key), now).unwrap();
        let mut previous: Option<TargetAttempt> = None;
        while let DispatchDecision::Send(attempt) = router.dispatch(&mut request, now) {
            if previous.is_some_and(|previous| previous.target == attempt.target) {
                assert_eq!(attempt.connection, ConnectionChoice::New);
                retried += 1;
            }
            let elapsed = Duration::from_millis(1);
            router.finish_attempt(&mut request, &attempt.target, refused, elapsed, now);
            previous = Some(attempt);
        }
    }
    assert!(retried > 0, "no request was retried at the target that refused it");
}
