//! What a target says of itself, and what an entry then sends it.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::{
        clock::Moment,
        traffic::{
            request::{
                AdmittedRequest, AttemptResult, DispatchDecision, RequestHead, RequestRefusal,
            },
            router::RequestRouter,
            target_notice::TargetNotice,
        },
    },
    hemlockspool_model::names::TargetName,
    routing::{at, router_with},
    std::time::Duration,
};

const TABLE: &str = r#"{"version":1,"routes":[
    {"name":"look","host":"h","prefix":"/look/","repeat":"safe","timeout":"2s","goal":"600ms",
     "priority":1,"service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{}}"#;
/// The number of targets of the service.
const TARGETS: usize = 8;

fn router() -> RequestRouter {
    router_with(TABLE, 40, 1e9)
}

fn target(number: usize) -> TargetName {
    TargetName::new(&format!("t{number}"))
}

fn admit(router: &mut RequestRouter, key: usize, now: Moment) -> AdmittedRequest {
    let key = key.to_string();
    let (id, host, path) = ("1", "h", "/look/x");
    let head = RequestHead {
        id,
        host,
        path,
        key: Some(&key),
        timeout: None,
        body_bytes: Some(0),
        is_forwarded: false,
    };
    router.admit(&head, now).unwrap()
}

/// Sends requests for 40 objects; returns the targets that got one, and the last refusal.
fn targets_used(
    router: &mut RequestRouter,
    now: Moment,
) -> (Vec<TargetName>, Option<RequestRefusal>) {
    let (mut targets, mut last_refusal) = (Vec::new(), None);
    for key in 0..40 {
        let mut request = admit(router, key, now);
        match router.dispatch(&mut request, now) {
            DispatchDecision::Send(attempt) => {
                let result = AttemptResult::Answered { status: 200, load: None };
                let elapsed = Duration::from_millis(10);
                router.finish_attempt(&mut request, &attempt.target, result, elapsed, now);
                targets.push(attempt.target);
            }
            DispatchDecision::Refuse(refusal) => last_refusal = Some(refusal),
            DispatchDecision::Forward(attempt) => panic!("forwarded: {attempt:?}"),
        }
    }
    (targets, last_refusal)
}

/// Guards against requests to a target that says that it leaves while the list still shows it as
/// ready, and against probes of it.
#[test]
fn notice_leaving_gets_no_requests() {
    let mut router = router();
    assert!(targets_used(&mut router, at(0)).0.contains(&target(0)));
    let leaving = TargetNotice { is_leaving: true, ..TargetNotice::default() };
    router.record_notice(&target(0), leaving, at(10));
    // A response that was on its way, without the word, and the list that is behind.
    router.record_notice(&target(0), TargetNotice::default(), at(20));
    let list = routing::target_list(40);
    for now_ms in (20..10_000).step_by(500) {
        router.set_targets(&list, at(now_ms));
        let (used, refusal) = targets_used(&mut router, at(now_ms));
        assert!(!used.contains(&target(0)), "{now_ms} ms: the leaving target got a request");
        assert_eq!(refusal, None);
        assert_eq!(router.tick(at(now_ms)), []);
    }
}

/// Guards against requests to leaving targets when all targets of a service leave at once.
#[test]
fn notice_all_leaving_refuses() {
    let mut router = router();
    let leaving = TargetNotice { is_leaving: true, ..TargetNotice::default() };
    (0..TARGETS).for_each(|number| router.record_notice(&target(number), leaving, at(0)));
    let (used, refusal) = targets_used(&mut router, at(1));
    assert_eq!(used, []);
    assert!(refusal.is_some_and(|refusal| refusal.reason.is_known_not_run()));
}

/// Guards against requests and probes that reach a target while it pauses, against a target that is
/// left unused afterwards, and against callers who are told to come back before any target takes
/// requests.
#[test]
fn notice_pause_is_kept() {
    let mut router = router();
    let pause = |millis| TargetNotice {
        pause: Some(Duration::from_millis(millis)),
        ..TargetNotice::default()
    };
    router.record_notice(&target(0), pause(2_000), at(0));
    // A shorter pause, with the response to an earlier request, doesn't end the longer one.
    router.record_notice(&target(0), pause(100), at(10));
    for now_ms in (10..2_000).step_by(100) {
        let (used, refusal) = targets_used(&mut router, at(now_ms));
        assert!(!used.contains(&target(0)), "{now_ms} ms: the pausing target got a request");
        assert_eq!(refusal, None);
        assert_eq!(router.tick(at(now_ms)), []);
    }
    assert!(targets_used(&mut router, at(2_000)).0.contains(&target(0)), "it stays unused");
    (0..TARGETS).for_each(|number| {
        router.record_notice(&target(number), pause(3_000 + 100 * number as u64), at(3_000));
    });
    let (used, refusal) = targets_used(&mut router, at(4_000));
    assert_eq!(used, []);
    let refusal = refusal.unwrap();
    assert!(refusal.reason.is_known_not_run());
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(2_000)));
}
