//! Causes of responses that miss the goals of their routes.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::{
        fleet::decision_events::DecisionEvent,
        traffic::{
            request::{AttemptResult, DispatchDecision, RequestHead, TransferredBytes},
            router::RequestRouter,
        },
    },
    routing::{at, router_of},
    std::{net::SocketAddr, time::Duration},
};

const TABLE: &str = r#"{"version":1,"routes":[
    {"name":"look","host":"h","prefix":"/look/","repeat":"safe","timeout":"2s","goal":"600ms",
     "priority":1,"service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{}}"#;

const HEAD: RequestHead<'_> = RequestHead {
    id: "1",
    host: "h",
    path: "/look/x",
    key: Some("7"),
    timeout: None,
    body_bytes: Some(0),
    is_forwarded: false,
};

fn router() -> RequestRouter {
    router_of(SocketAddr::from(([10, 0, 0, 1], 1)), TABLE, 4, 1e9)
}

/// The times of a request, in milliseconds.
#[derive(Clone, Copy, Default)]
struct RequestTimes {
    earlier: u64,
    connecting: u64,
    at_target: u64,
    bodies: u64,
}

/// Answers a request with these times, and returns the cause of its lateness; none if it is in time.
fn cause_of(router: &mut RequestRouter, times: RequestTimes) -> Option<&'static str> {
    let mut request = router.admit(&HEAD, at(0)).unwrap();
    let mut now = at(times.earlier);
    let DispatchDecision::Send(attempt) = router.dispatch(&mut request, now) else {
        panic!("not sent");
    };
    let processing = Duration::from_millis(times.at_target);
    request.record_connect_time(Duration::from_millis(times.connecting));
    now = now.after(Duration::from_millis(times.connecting + times.at_target));
    let answered = AttemptResult::Answered { status: 200, load: None };
    router.finish_attempt(&mut request, &attempt.target, answered, processing, now);
    let now = now.after(Duration::from_millis(times.bodies));
    let bytes = TransferredBytes { body: 0, response: 1_000 };
    router.finish_request(&request, &attempt.target, 200, bytes, now);
    router.take_log_events().into_iter().find_map(|event| match event {
        DecisionEvent::RequestLate { cause, .. } => Some(cause),
        _ => None,
    })
}

/// Guards against late responses that nobody can explain from the log.
#[test]
fn late_cause_is_longest_part() {
    let none = RequestTimes::default();
    let cases = [
        (RequestTimes { at_target: 300, ..none }, None),
        (RequestTimes { at_target: 700, ..none }, Some("slow target or new object")),
        (RequestTimes { earlier: 400, at_target: 250, ..none }, Some("earlier attempts")),
        (RequestTimes { connecting: 400, at_target: 250, ..none }, Some("connecting")),
        (RequestTimes { bodies: 400, at_target: 250, ..none }, Some("bodies")),
    ];
    for (times, expected) in cases {
        assert_eq!(cause_of(&mut router(), times), expected);
    }
}

/// Guards against waiting times at full targets that pass for slow targets.
#[test]
fn late_cause_queue_at_target() {
    let mut router = router();
    for _ in 0..20 {
        let mut request = router.admit(&HEAD, at(0)).unwrap();
        router.dispatch(&mut request, at(0));
        if router
            .take_log_events()
            .iter()
            .any(|event| matches!(event, DecisionEvent::RequestSent { load, .. } if *load >= 3.0))
        {
            break;
        }
    }
    let times = RequestTimes { at_target: 700, ..RequestTimes::default() };
    assert_eq!(cause_of(&mut router, times), Some("queued at the target"));
}
