//! Connections of retries at the target that refused the request.

mod common {
    pub mod routing;
}

use {
    common::routing::{at, router_with},
    hemlockspool_core::traffic::request::{
        AttemptResult, DispatchDecision, RequestHead, TargetAttempt, TargetLoad,
    },
    std::time::Duration,
};

const TABLE: &str = r#"{"version":1,"routes":[{"name":"n","host":"h","prefix":"/","repeat":"safe",
    "timeout":"3s","goal":"1s","service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{}}"#;

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
        let head = RequestHead {
            id: &key,
            host: "h",
            path: "/x",
            key: Some(&key),
            timeout: None,
            body_bytes: Some(0),
            is_forwarded: false,
        };
        let mut request = router.admit(&head, now).unwrap();
        let mut previous: Option<TargetAttempt> = None;
        while let DispatchDecision::Send(attempt) = router.dispatch(&mut request, now) {
            if previous.is_some_and(|previous| previous.target == attempt.target) {
                assert!(attempt.new_connection);
                retried += 1;
            }
            let elapsed = Duration::from_millis(1);
            router.finish_attempt(&mut request, &attempt.target, refused, elapsed, now);
            previous = Some(attempt);
        }
    }
    assert!(retried > 0, "no request was retried at the target that refused it");
}
